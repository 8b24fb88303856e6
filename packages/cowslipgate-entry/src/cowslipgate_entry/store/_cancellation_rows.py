"""Rows of the table of cancelled jobs, and when they are removed."""

import collections
import datetime

import attrs
import msgspec

import cowslipgate_core as core
from cowslipgate_entry.callers import _cancelled_jobs

TABLE = "cancelled"
"""Name of the table with one row for each cancelled job."""


@attrs.frozen
class CancellationRow:
    """Value of a row."""

    team: str
    """Team of the job."""

    resource: str
    """Host and path of the job's requests."""

    writer: str
    """Key of the writer's row in the list of entries."""

    incarnation: int
    """Incarnation of the writer."""

    time_ms: int
    """Time of the write by the writer's clock, in ms since 1970."""


_DECODER = msgspec.json.Decoder(CancellationRow)


def encode_row(row: CancellationRow) -> bytes:
    """Return the value of a row."""
    return msgspec.json.encode(row)


def name_row(key: _cancelled_jobs.Key) -> str:
    """Return the key of a job's row, a digest of team and resource."""
    return core.digest_claim(*key)


DecodedRow = tuple[core.TableRow, CancellationRow]
"""A row with its value."""


@attrs.frozen
class DecodedRows:
    """Rows of the table, decoded."""

    rows: tuple[DecodedRow, ...]
    """Each row with its value."""

    faults: tuple[core.RowFault, ...]
    """Faults of the other rows, apart from removed ones."""


def decode_rows(rows: tuple[core.TableRow, ...]) -> DecodedRows:
    """Return the cancellations in rows of the table."""
    decoded = []
    faults = []
    for row in rows:
        if row.removed:
            continue
        try:
            value = core.decode(_DECODER, row.value, b"cancellation")
        except core.WireError as error:
            faults.append(core.RowFault(row.key, row.version, error.problem))
            continue
        decoded.append((row, value))
    return DecodedRows(tuple(decoded), tuple(faults))


@attrs.define(eq=False)
class RowAges:
    """Ages of rows by this process's clock.

    Rows of other processes count from when they were first read here, since
    the clocks of the VMs may differ.
    """

    incarnation: int
    """Incarnation of this entry."""

    _written: collections.OrderedDict[str, datetime.datetime] = attrs.Factory(
        collections.OrderedDict
    )
    """When this process wrote each row, by key, oldest first."""

    _seen: dict[tuple[str, int], datetime.datetime] = attrs.Factory(dict)
    """When rows of other processes were first read, by key and version."""

    @property
    def oldest(self) -> datetime.datetime | None:
        """When the oldest row of this process was written, or None."""
        return next(iter(self._written.values()), None)

    def get_written(self, key: str) -> datetime.datetime | None:
        """Return when this process wrote a row that is kept, or None."""
        return self._written.get(key)

    def record_write(self, key: str, now: datetime.datetime) -> None:
        """Record that this process wrote a row."""
        self._written[key] = now
        self._written.move_to_end(key)
        while len(self._written) > _cancelled_jobs.MAX_CANCELLED:
            self._written.popitem(last=False)

    def record_removal(self, key: str) -> None:
        """Record that a row was removed."""
        self._written.pop(key, None)

    def forget_missing(
        self, present: set[str], before: datetime.datetime
    ) -> None:
        """Forget rows that were written before a read and are not in it.

        :param present: keys of the rows that were read
        :param before: time at which the read was sent
        """
        missing = [
            key
            for key, written_at in self._written.items()
            if key not in present and written_at < before
        ]
        for key in missing:
            del self._written[key]

    def record_read(
        self, rows: tuple[DecodedRow, ...], now: datetime.datetime
    ) -> None:
        """Record that all rows of the table were read.

        Those beyond MAX_CANCELLED count from the next read.
        """
        seen: dict[tuple[str, int], datetime.datetime] = {}
        for row, value in rows:
            if value.incarnation == self.incarnation:
                continue
            if len(seen) >= _cancelled_jobs.MAX_CANCELLED:
                break
            key = row.key, row.version
            seen[key] = self._seen.get(key, now)
        self._seen = seen

    def find_due(
        self,
        row: core.TableRow,
        value: CancellationRow,
        now: datetime.datetime,
    ) -> datetime.datetime | None:
        """Return when a row is to be removed, or None for at once.

        :param now: when it was read
        """
        if value.incarnation == self.incarnation:
            # One that is missing here exceeds MAX_CANCELLED.
            since = self._written.get(row.key)
        else:
            since = self._seen.get((row.key, row.version), now)
        if since is None:
            return None
        return since + _cancelled_jobs.KEPT_CANCELLED
