"""Builders of stored estimates."""

import datetime
import random
import zlib

import cowslipgate_core as core
from cowslipgate_core.tests import builders
import msgspec

SPEEDS = {f"agent-{n}": 0.7 if n % 2 else 1.7 for n in range(8)}


def learn(
    estimates: core.Estimates,
    runs: int = 400,
    agents: tuple[str, ...] = tuple(SPEEDS),
    seconds: float = 0.25,
) -> core.Estimates:
    """Observe tasks of a kind on targets of two speeds.

    :param seconds: run time of the tasks at speed one
    """
    generator = random.Random(5)
    for _ in range(runs):
        agent = generator.choice(agents)
        run_ms = seconds * 1_000 * generator.lognormvariate(0, 0.1)
        estimates.observe(agent, "hall", "tag", 250, run_ms / SPEEDS[agent])
    return estimates


def make_row(
    estimates: core.Estimates, age_seconds: float = 0.0, key: str = "ruwi"
) -> core.TableRow:
    """Return the row of a snapshot that was made some time before NOW."""
    written_at = builders.NOW - datetime.timedelta(seconds=age_seconds)
    snapshot = core.take_snapshot(estimates, written_at)
    return core.TableRow(key, core.encode_snapshot(snapshot), 1)


def restore(*rows: core.TableRow) -> core.Estimates:
    """Return the estimates of an entry that starts at NOW."""
    estimates = core.Estimates()
    decoded = core.decode_snapshots(rows, builders.NOW)
    merged = core.merge_snapshots(decoded.snapshots, builders.NOW)
    if merged is not None:
        estimates.add_stored(merged.histories, merged.speeds)
    return estimates


def change_document(row: core.TableRow, **fields: object) -> core.TableRow:
    """Return a row whose document has other values of some fields."""
    document = msgspec.json.decode(zlib.decompress(row.value))
    value = zlib.compress(msgspec.json.encode(document | fields))
    return core.TableRow(row.key, value, row.version)
