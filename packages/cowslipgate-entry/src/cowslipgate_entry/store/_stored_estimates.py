"""Estimates that are kept in the store for entries that start.

In each failure domain the live entry with the lowest key writes a snapshot.
No request waits for a call of this component.
"""

import datetime

import circuits

import cowslipgate_core as core
from cowslipgate_entry import _events
from cowslipgate_entry.agents import _dispatcher
from cowslipgate_entry.observation import _changes
import cowslipgate_transport as transport

CHANNEL = "stored-estimates"

WRITE_INTERVAL = datetime.timedelta(seconds=5)
"""Time between two writes of a snapshot."""

RETRY_INTERVAL = datetime.timedelta(milliseconds=500)
"""Time between a read that failed and the next."""

READ_WITHIN = datetime.timedelta(minutes=1)
"""Time after the start from which on the table is no longer read, since what
the entry itself has learned is better by then."""


class StoredEstimates(circuits.BaseComponent):
    """Reads the stored estimates once and writes those of this entry.

    Nothing is written before the table was read, so that an entry that has
    just started does not replace what others have learned. Nothing is written
    in a deployment with one failure domain either.
    """

    channel = CHANNEL

    def __init__(
        self,
        dispatcher: _dispatcher.Dispatcher,
        member: core.Member,
        clock: core.Clock,
    ) -> None:
        super().__init__()
        self._estimates = dispatcher.ledger.estimates
        self._member = member
        self._clock = clock
        self._members: tuple[core.Member, ...] = (member,)
        self._give_up_at = clock.now() + READ_WITHIN
        self._reads = True
        self._busy = False
        self._enabled = False
        self._next_call = clock.now()
        self._writing = 0
        self._written = 0
        self._passed_over = transport.RowsPassedOver(self)

    @circuits.handler("started", channel="*")
    def _on_started(self, *arguments: object) -> None:
        self._send_call()

    @circuits.handler("tick")
    def _on_tick(self) -> None:
        self._send_call()

    @circuits.handler("members_changed", channel=_events.GATEWAY)
    def _on_members_changed(self, members: tuple[core.Member, ...]) -> None:
        self._members = members

    @circuits.handler("table_answered")
    def _on_table_answered(self, answer: core.TableAnswer) -> None:
        self._busy = False
        done = answer.result is core.TableResult.DONE
        if isinstance(answer.call, core.TableWrite):
            if done:
                self._written = self._writing
        elif done:
            self._reads = False
            self._next_call = self._clock.now() + WRITE_INTERVAL
            self._use_rows(answer.rows)
        else:
            self._next_call = self._clock.now() + RETRY_INTERVAL

    def _send_call(self) -> None:
        now = self._clock.now()
        if self._busy or now < self._next_call:
            return
        if self._reads and now < self._give_up_at:
            self._busy = True
            call = core.TableRead(CHANNEL, core.ESTIMATES_TABLE)
            self.fire(transport.call_table(call), "store")
            return
        self._reads = False
        self._next_call = now + WRITE_INTERVAL
        if self._is_writer() and self._estimates.observed != self._written:
            self._write(now)

    def _is_writer(self) -> bool:
        domains = {member.domain for member in self._members}
        if len(domains) < 2:
            return False
        if not self._enabled:
            self._enabled = True
            reason = f"entries in {len(domains)} failure domains"
            change = transport.FeatureEnabled("stored-estimates", reason)
            self.fire(transport.changed(change), "logs")
        near = [m for m in self._members if m.domain == self._member.domain]
        first = min(near, key=core.name_lease)
        return core.name_lease(first) == core.name_lease(self._member)

    def _write(self, now: datetime.datetime) -> None:
        self._busy = True
        self._writing = self._estimates.observed
        snapshot = core.take_snapshot(self._estimates, now)
        call = core.TableWrite(
            CHANNEL,
            core.ESTIMATES_TABLE,
            self._member.domain,
            core.encode_snapshot(snapshot),
        )
        self.fire(transport.call_table(call), "store")

    def _use_rows(self, rows: tuple[core.TableRow, ...]) -> None:
        now = self._clock.now()
        decoded = core.decode_snapshots(rows, now)
        self._passed_over.log(core.ESTIMATES_TABLE, decoded.faults)
        merged = core.merge_snapshots(decoded.snapshots, now)
        if merged is None:
            return
        self._estimates.add_stored(merged.histories, merged.speeds)
        change = _changes.EstimatesRestored(
            len(decoded.snapshots),
            len(merged.histories),
            len(merged.speeds),
            (now - merged.written_at) // datetime.timedelta(milliseconds=1),
        )
        self.fire(transport.changed(change), "logs")
