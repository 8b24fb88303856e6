"""Snapshots of estimates, which an entry that starts uses as its prior.

The value of a row is JSON in the zlib format. Log speeds in a snapshot are
relative to their mean, and its sizes belong to these speeds. Snapshots of
several entries are therefore aligned by the targets that they have in common.
"""

from collections.abc import Iterable
import datetime
from typing import Annotated
import zlib

import attrs
import msgspec

from cowslipgate_core import _exceptions
from cowslipgate_core.configuration import _compression
from cowslipgate_core.messages import _decoding
from cowslipgate_core.messages import _fields
from cowslipgate_core.messages import _tables
from cowslipgate_core.placement import _estimates
from cowslipgate_core.placement import _sizes

ESTIMATES_TABLE = "estimates"
"""Name of the table with one row per failure domain."""

FORMAT = 1
"""Format of a snapshot; rows of another one are skipped."""

MAX_ROW_BYTES = 48_000
"""Largest value of a row. In base64, which the store's protocol uses, it stays
below the 65,536 bytes that a row holds."""

MAX_STORED_HISTORIES = 200
"""Histories in a snapshot, which bounds the time to make one."""

MAX_STORED_SPEEDS = 300
"""Speeds in a snapshot, which bounds the time to make one."""

HALF_LIFE = datetime.timedelta(minutes=1)
"""Age at which the runs of a snapshot count half."""

MAX_AGE = datetime.timedelta(minutes=10)
"""Age from which on a snapshot is not used."""

MAX_LEAD = datetime.timedelta(minutes=1)
"""Most that the clock of the writer may be ahead. A row dated further in the
future would seem new for too long."""

PRIOR_HISTORY_RUNS = 100.0
"""Most runs that a stored history counts for; later runs replace it."""

PRIOR_SPEED_RUNS = 30.0
"""Most runs that a stored speed counts for; later runs replace it."""

_COUNT_TOLERANCE = 0.01

_Finite = Annotated[float, msgspec.Meta(ge=-1e9, le=1e9)]
_Positive = Annotated[float, msgspec.Meta(gt=0, le=1e9)]
_LogSpeed = Annotated[float, msgspec.Meta(ge=-20, le=20)]
_Bin = Annotated[int, msgspec.Meta(ge=0, lt=_sizes.BINS)]
_Key = Annotated[
    tuple[str, ...],
    msgspec.Meta(min_length=1, max_length=_sizes.MAX_KEY_PARTS),
]


class _History(msgspec.Struct, array_like=True):
    key: _Key
    runs: _Positive
    seconds: _Positive
    log_sum: _Finite
    bins: tuple[tuple[_Bin, _Positive], ...]


class _Speed(msgspec.Struct, array_like=True):
    agent: _fields.Text
    log_speed: _LogSpeed
    runs: _Positive


class _Header(msgspec.Struct):
    format: int


class _Document(msgspec.Struct):
    format: int
    # Unix time by the clock of the writer.
    written_ms: int
    histories: list[_History]
    speeds: list[_Speed]


_HEADER_DECODER = msgspec.json.Decoder(_Header)
_DECODER = msgspec.json.Decoder(_Document)


@attrs.frozen
class Snapshot:
    """Sizes and speeds that an entry had learned."""

    written_at: datetime.datetime
    """When it was made, by the clock of that entry."""

    histories: tuple[_sizes.StoredHistory, ...]
    """Histories of run times, those with the most runs first."""

    speeds: tuple[_estimates.StoredSpeed, ...]
    """Speeds relative to their mean, those with the most runs first."""


@attrs.frozen
class SnapshotRows:
    """Snapshots that rows hold, and the rows that hold none."""

    snapshots: tuple[Snapshot, ...]
    """Snapshots that are new enough, the newest first."""

    faults: tuple[_tables.RowFault, ...]
    """Faults of rows that were skipped, apart from removed and old ones."""


def take_snapshot(
    estimates: _estimates.Estimates, now: datetime.datetime
) -> Snapshot:
    """Return what is worth storing of an entry's estimates."""
    return Snapshot(
        now,
        tuple(estimates.list_histories(MAX_STORED_HISTORIES)),
        tuple(estimates.list_speeds(MAX_STORED_SPEEDS)),
    )


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the value of a row, at most ``MAX_ROW_BYTES`` long.

    What has the fewest runs is left out until the rest fits.
    """
    histories, speeds = snapshot.histories, snapshot.speeds
    while True:
        written = snapshot.written_at.timestamp() * 1_000
        document = _Document(
            FORMAT,
            round(written),
            [_encode_history(history) for history in histories],
            [
                _Speed(s.agent, round(s.log_speed, 4), round(s.runs, 2))
                for s in speeds
            ],
        )
        value = zlib.compress(msgspec.json.encode(document))
        if len(value) <= MAX_ROW_BYTES:
            return value
        histories = histories[: len(histories) * 3 // 4]
        speeds = speeds[: len(speeds) * 3 // 4]


def _encode_history(history: _sizes.StoredHistory) -> _History:
    return _History(
        history.key,
        round(history.runs, 3),
        round(history.seconds, 6),
        round(history.log_sum, 4),
        tuple((bin_, round(count, 3)) for bin_, count in history.bins),
    )


def decode_snapshots(
    rows: Iterable[_tables.TableRow], now: datetime.datetime
) -> SnapshotRows:
    """Return the snapshots in ``rows``; other programs may write rows too."""
    snapshots = []
    faults = []
    for row in rows:
        if row.removed:
            continue
        try:
            snapshot = _decode_snapshot(row.value, now)
        except _exceptions.WireError as error:
            fault = _tables.RowFault(row.key, row.version, error.problem)
            faults.append(fault)
            continue
        if now - snapshot.written_at <= MAX_AGE:
            snapshots.append(snapshot)
    snapshots.sort(key=lambda snapshot: snapshot.written_at, reverse=True)
    return SnapshotRows(tuple(snapshots), tuple(faults))


def _decode_snapshot(value: bytes, now: datetime.datetime) -> Snapshot:
    document = _compression.decompress_document(value)
    header = _decoding.decode(_HEADER_DECODER, document, b"estimates")
    if header.format != FORMAT:
        problem = f"format {header.format} is not known"
        raise _exceptions.WireError(b"estimates", problem)
    decoded = _decoding.decode(_DECODER, document, b"estimates")
    if abs(decoded.written_ms / 1_000 - now.timestamp()) > 1e9:
        raise _exceptions.WireError(b"estimates", "the time is not valid")
    written_at = datetime.datetime.fromtimestamp(
        decoded.written_ms / 1_000, datetime.UTC
    )
    if written_at - now > MAX_LEAD:
        raise _exceptions.WireError(b"estimates", "the time is in the future")
    for history in decoded.histories:
        total = sum(count for _, count in history.bins)
        if abs(total - history.runs) > _COUNT_TOLERANCE * history.runs:
            raise _exceptions.WireError(b"estimates", "the counts differ")
    return Snapshot(
        written_at,
        tuple(
            _sizes.StoredHistory(h.key, h.runs, h.seconds, h.log_sum, h.bins)
            for h in decoded.histories
        ),
        tuple(
            _estimates.StoredSpeed(s.agent, s.log_speed, s.runs)
            for s in decoded.speeds
        ),
    )


def merge_snapshots(
    snapshots: tuple[Snapshot, ...], now: datetime.datetime
) -> Snapshot | None:
    """Return one snapshot that weighs others by their runs and ages.

    :param snapshots: snapshots, the newest first
    :return: the merged snapshot, or None without any
    """
    if not snapshots:
        return None
    reference = {speed.agent: speed for speed in snapshots[0].speeds}
    speeds: dict[str, _estimates.StoredSpeed] = {}
    table = _sizes.SizeTable()
    for snapshot in snapshots:
        age = max(datetime.timedelta(), now - snapshot.written_at)
        weight = 0.5 ** (age / HALF_LIFE)
        offset = _find_offset(reference, snapshot.speeds)
        for speed in snapshot.speeds:
            aged = _estimates.StoredSpeed(
                speed.agent, speed.log_speed + offset, speed.runs * weight
            )
            known = speeds.get(speed.agent)
            speeds[speed.agent] = aged if known is None else known.add(aged)
        for history in snapshot.histories:
            table.add(history.shift(offset).scale(weight))
    return Snapshot(
        snapshots[0].written_at,
        tuple(
            history.scale(min(1.0, PRIOR_HISTORY_RUNS / history.runs))
            for history in table.list_largest(_sizes.MAX_HISTORIES)
        ),
        tuple(
            attrs.evolve(speed, runs=min(speed.runs, PRIOR_SPEED_RUNS))
            for speed in speeds.values()
        ),
    )


def _find_offset(
    reference: dict[str, _estimates.StoredSpeed],
    speeds: tuple[_estimates.StoredSpeed, ...],
) -> float:
    """Return what to add to log speeds so that they agree with others."""
    total = weight = 0.0
    for speed in speeds:
        known = reference.get(speed.agent)
        if known is None:
            continue
        runs = min(known.runs, speed.runs)
        total += runs * (known.log_speed - speed.log_speed)
        weight += runs
    return total / weight if weight else 0.0
