"""Cancellations in the store, which entries read at their start.

An entry writes a row for each cancellation and then reads the list of entries.
A starting entry writes its row in that list and then reads the cancellations.
So at least one of the two learns of the other.
"""

import datetime
import itertools

import circuits

import cowslipgate_core as core
from cowslipgate_entry import _events
from cowslipgate_entry.callers import _cancelled_jobs
from cowslipgate_entry.store import _cancellation_rows
import cowslipgate_transport as transport

CHANNEL = "stored-cancellations"

RETRY_INTERVAL = datetime.timedelta(milliseconds=200)
"""Delay after a failed call; five calls per second from each entry are far
below what the store allows."""

RENEW_AFTER = _cancelled_jobs.KEPT_CANCELLED / 2
"""Age from which the row of a job that is cancelled again is written anew."""

REMOVE_INTERVAL = datetime.timedelta(seconds=10)
"""Least time between two removals of rows, so that one read and few
transactions serve many rows."""


class StoredCancellations(circuits.BaseComponent):
    """Writes cancellations to the store, and reads those of other entries."""

    channel = CHANNEL

    def __init__(self, member: core.Member, clock: core.Clock) -> None:
        super().__init__()
        self._member = member
        self._clock = clock
        self._members: tuple[core.Member, ...] = (member,)
        self._passed_over = transport.RowsPassedOver(self)
        # Cancellations without a row, and when each arrived, oldest first.
        self._unwritten: dict[_cancelled_jobs.Key, datetime.datetime] = {}
        self._write: core.TableTransaction | None = None
        self._writing: dict[_cancelled_jobs.Key, datetime.datetime] = {}
        self._next_write = clock.now()
        # Cancellations with a row that was written before no read of the list
        # of entries, and those that the read in progress serves.
        self._unlisted: dict[_cancelled_jobs.Key, None] = {}
        self._listing: dict[_cancelled_jobs.Key, None] = {}
        self._next_list = clock.now()
        # Read at the start, None before and after it.
        self._start_read: core.TableRead | None = None
        self._start_read_due = False
        self._next_start_read = clock.now()
        self._ages = _cancellation_rows.RowAges(member.incarnation)
        # Whether rows of an earlier process at this address may be left, or
        # rows of this one whose writes were not answered.
        self._has_former_rows = False
        self._next_removal: datetime.datetime | None = None
        self._removal_read: core.TableRead | None = None
        self._removal_read_at = clock.now()
        self._removal: core.TableTransaction | None = None
        self._expired: tuple[core.TableRow, ...] = ()

    @property
    def unwritten(self) -> int:
        """Number of cancellations whose row is not written."""
        return len(self._unwritten) + len(self._writing)

    @property
    def unlisted(self) -> int:
        """Number of cancellations that await a read of the list of entries."""
        return len(self._unlisted) + len(self._listing)

    @circuits.handler("started", channel="*")
    def _on_started(self, *arguments: object) -> None:
        change = transport.FeatureEnabled("cancellations", "always on")
        self.fire(transport.changed(change), "logs")

    @circuits.handler("members_changed", channel=_events.GATEWAY)
    def _on_members_changed(self, members: tuple[core.Member, ...]) -> None:
        self._members = members

    @circuits.handler("member_stored")
    def _on_member_stored(self) -> None:
        self._start_read_due = True
        self._read_at_start()

    @circuits.handler("cancellation_relayed")
    def _on_cancellation_relayed(self) -> None:
        # Its writer may be gone when its row has to be removed.
        self._schedule_removal()

    @circuits.handler("store_cancellation")
    def _on_store_cancellation(self, team: str, resource: str) -> None:
        key = team, resource
        now = self._clock.now()
        for waiting in (self._unwritten, self._writing):
            if waiting.pop(key, None) is not None:
                # Its row is due for as long as that of a new one.
                waiting[key] = now
                return
        if key in self._unlisted or key in self._listing:
            return
        row_key = _cancellation_rows.name_row(key)
        written_at = self._ages.get_written(row_key)
        if written_at is not None and now - written_at < RENEW_AFTER:
            self._unlisted[key] = None
            self._limit_unlisted()
            self._list_entries()
            return
        self._unwritten[key] = now
        if self.unwritten > _cancelled_jobs.MAX_CANCELLED:
            del self._unwritten[next(iter(self._unwritten))]
        self._write_rows()

    @circuits.handler("members_refreshed")
    def _on_members_refreshed(
        self, members: tuple[core.Member, ...] | None
    ) -> None:
        listed, self._listing = self._listing, {}
        if members is None:
            self._unlisted = listed | self._unlisted
            self._limit_unlisted()
            self._next_list = self._clock.now() + RETRY_INTERVAL
            return
        for team, resource in listed:
            event = _events.cancellation_stored(team, resource, members)
            self.fire(event, "requested-jobs")
        self._list_entries()

    @circuits.handler("tick")
    def _on_tick(self) -> None:
        self._read_at_start()
        self._write_rows()
        self._list_entries()
        self._read_for_removal()

    @circuits.handler("table_answered")
    def _on_table_answered(self, answer: core.TableAnswer) -> None:
        if answer.call is self._write:
            self._finish_write(answer)
        elif answer.call is self._start_read:
            self._finish_start_read(answer)
        elif answer.call is self._removal_read:
            self._finish_removal_read(answer)
        elif answer.call is self._removal:
            self._finish_removal(answer)

    def _read_at_start(self) -> None:
        if (
            not self._start_read_due
            or self._start_read is not None
            or self._clock.now() < self._next_start_read
        ):
            return
        self._start_read = core.TableRead(CHANNEL, _cancellation_rows.TABLE)
        self.fire(transport.call_table(self._start_read), "store")

    def _finish_start_read(self, answer: core.TableAnswer) -> None:
        self._start_read = None
        now = self._clock.now()
        if answer.result is not core.TableResult.DONE:
            self._next_start_read = now + RETRY_INTERVAL
            return
        self._start_read_due = False
        rows = self._decode(answer)
        self._ages.record_read(rows, now)
        values = sorted(
            (value for _, value in rows), key=lambda value: value.time_ms
        )
        own_key = core.name_lease(self._member)
        self._has_former_rows = any(v.writer == own_key for v in values)
        if rows:
            self._schedule_removal()
            self._count(_cancelled_jobs.CancellationAction.READ, len(rows))
        cancelled = tuple((value.team, value.resource) for value in values)
        event = _events.cancellations_read(cancelled)
        self.fire(event, _events.GATEWAY)

    def _write_rows(self) -> None:
        now = self._clock.now()
        if self._write is not None or now < self._next_write:
            return
        limit = now - _cancelled_jobs.KEPT_CANCELLED
        kept = {
            key: since
            for key, since in self._unwritten.items()
            if since >= limit
        }
        if len(kept) < len(self._unwritten):
            # The others may be written, with their answers lost.
            self._has_former_rows = True
            self._schedule_removal()
        self._unwritten = kept
        batch = list(self._unwritten)[: core.MAX_TRANSACTION_ROWS]
        if not batch:
            return
        self._writing = {key: self._unwritten.pop(key) for key in batch}
        time_ms = int(now.timestamp() * 1_000)
        rows = tuple(
            core.TableRowWrite(
                _cancellation_rows.name_row(key),
                self._encode_value(key, time_ms),
            )
            for key in batch
        )
        self._write = core.TableTransaction(
            CHANNEL, _cancellation_rows.TABLE, rows
        )
        self.fire(transport.call_table(self._write), "store")

    def _encode_value(self, key: _cancelled_jobs.Key, time_ms: int) -> bytes:
        row = _cancellation_rows.CancellationRow(
            *key,
            core.name_lease(self._member),
            self._member.incarnation,
            time_ms,
        )
        return _cancellation_rows.encode_row(row)

    def _finish_write(self, answer: core.TableAnswer) -> None:
        self._write = None
        written, self._writing = self._writing, {}
        now = self._clock.now()
        if answer.result is not core.TableResult.DONE:
            # One that took effect without an answer is repeated, too.
            self._unwritten = written | self._unwritten
            self._next_write = now + RETRY_INTERVAL
            return
        for key in written:
            self._ages.record_write(_cancellation_rows.name_row(key), now)
            self._unlisted[key] = None
        self._limit_unlisted()
        self._count(_cancelled_jobs.CancellationAction.WRITTEN, len(written))
        self._schedule_removal()
        self._write_rows()
        self._list_entries()

    def _limit_unlisted(self) -> None:
        excess = self.unlisted - _cancelled_jobs.MAX_CANCELLED
        for key in list(itertools.islice(self._unlisted, max(0, excess))):
            del self._unlisted[key]

    def _list_entries(self) -> None:
        """Read the list of entries for all whose rows are written by now."""
        if self._listing or not self._unlisted:
            return
        if self._clock.now() < self._next_list:
            return
        self._listing, self._unlisted = self._unlisted, {}
        self.fire(_events.refresh_members(), "members")

    def _schedule_removal(self) -> None:
        if self._next_removal is None:
            kept = _cancelled_jobs.KEPT_CANCELLED
            self._next_removal = self._clock.now() + kept

    def _removes_for_others(self) -> bool:
        first = min(self._members, key=core.name_lease)
        return first.address == self._member.address

    def _read_for_removal(self) -> None:
        now = self._clock.now()
        busy = self._removal_read is not None or self._removal is not None
        if busy or self._next_removal is None or now < self._next_removal:
            return
        own = self._ages.oldest is not None or self._has_former_rows
        if not own and not self._removes_for_others():
            return
        self._next_removal = None
        self._removal_read_at = now
        self._removal_read = core.TableRead(CHANNEL, _cancellation_rows.TABLE)
        self.fire(transport.call_table(self._removal_read), "store")

    def _finish_removal_read(self, answer: core.TableAnswer) -> None:
        self._removal_read = None
        now = self._clock.now()
        if answer.result is not core.TableResult.DONE:
            self._next_removal = now + REMOVE_INTERVAL
            return
        rows = self._decode(answer)
        self._ages.forget_missing(
            {row.key for row, _ in rows}, self._removal_read_at
        )
        self._ages.record_read(rows, now)
        due = [
            (row, self._ages.find_due(row, value, now))
            for row, value in self._select_rows(rows)
        ]
        self._expired = tuple(
            row for row, due_at in due if due_at is None or due_at <= now
        )
        own_key = core.name_lease(self._member)
        self._has_former_rows = any(
            value.writer == own_key
            and value.incarnation != self._member.incarnation
            for _, value in rows
        )
        if due:
            left = [due_at for _, due_at in due if due_at is not None]
            next_due = min(left, default=now)
            self._next_removal = max(next_due, now + REMOVE_INTERVAL)
        elif rows:
            # Live entries remove these, unless they leave before.
            self._schedule_removal()
        self._remove_next()

    def _select_rows(
        self, rows: tuple[_cancellation_rows.DecodedRow, ...]
    ) -> tuple[_cancellation_rows.DecodedRow, ...]:
        """Return the rows that this entry removes once their time is over."""
        own_key = core.name_lease(self._member)
        others = self._removes_for_others()
        live = {core.name_lease(member) for member in self._members}
        return tuple(
            (row, value)
            for row, value in rows
            if (
                value.writer == own_key
                or (others and value.writer not in live)
            )
            and not self._awaits_write((value.team, value.resource))
        )

    def _awaits_write(self, key: _cancelled_jobs.Key) -> bool:
        """Return whether a row awaits its write, or the answer to it."""
        return key in self._writing or key in self._unwritten

    def _remove_next(self) -> None:
        batch = self._expired[: core.MAX_TRANSACTION_ROWS]
        self._expired = self._expired[core.MAX_TRANSACTION_ROWS :]
        if not batch:
            return
        # A row that was written anew since the read stays.
        rows = tuple(
            core.TableRowWrite(row.key, b"", row.version) for row in batch
        )
        self._removal = core.TableTransaction(
            CHANNEL, _cancellation_rows.TABLE, rows
        )
        self.fire(transport.call_table(self._removal), "store")

    def _finish_removal(self, answer: core.TableAnswer) -> None:
        removal, self._removal = self._removal, None
        if answer.result is not core.TableResult.DONE:
            # The table is read anew in REMOVE_INTERVAL.
            self._expired = ()
            return
        for row in removal.rows:
            self._ages.record_removal(row.key)
        self._count(
            _cancelled_jobs.CancellationAction.REMOVED, len(removal.rows)
        )
        self._remove_next()

    def _decode(
        self, answer: core.TableAnswer
    ) -> tuple[_cancellation_rows.DecodedRow, ...]:
        decoded = _cancellation_rows.decode_rows(answer.rows)
        self._passed_over.log(_cancellation_rows.TABLE, decoded.faults)
        return decoded.rows

    def _count(
        self, action: _cancelled_jobs.CancellationAction, count: int
    ) -> None:
        event = _events.cancellations_counted(action, count)
        self.fire(event, _events.GATEWAY)
