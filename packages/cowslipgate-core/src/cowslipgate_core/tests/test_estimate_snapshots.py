"""Tests of estimates that outlive an entry.

Failure: all entries lose power at once, and the ones that start know neither
sizes nor speeds.
"""

import datetime
import math
import zlib

import cowslipgate_core as core
from cowslipgate_core.tests import builders
from cowslipgate_core.tests import fleet_builders
from cowslipgate_core.tests import snapshot_builders
import pytest

EMPTY = core.TableRow(
    "ruwi", core.encode_snapshot(core.Snapshot(builders.NOW, (), ())), 1
)
HISTORY = [["16"], 2.0, 0.5, -2.8, [[40, 2.0]]]


def _get_ratio(estimates: core.Estimates) -> float:
    """Return the speed of a fast target over that of a slow one."""
    return estimates.get_speed("agent-0") / estimates.get_speed("agent-1")


def _expect_run(estimates: core.Estimates, agent: str) -> float:
    """Return the run time that a task is expected to take, in seconds."""
    size = estimates.estimate_size("hall", "tag", 250)
    return math.exp(size.log_mean) / estimates.get_speed(agent)


def test_snapshot_is_read_as_it_was_written() -> None:
    estimates = snapshot_builders.learn(core.Estimates())
    snapshot = core.take_snapshot(estimates, builders.NOW)
    row = core.TableRow("ruwi", core.encode_snapshot(snapshot), 1)
    decoded = core.decode_snapshots((row,), builders.NOW)
    assert not decoded.faults
    (read,) = decoded.snapshots
    assert read.written_at == builders.NOW
    assert [s.agent for s in read.speeds] == [s.agent for s in snapshot.speeds]
    for old, new in zip(snapshot.speeds, read.speeds, strict=True):
        assert new.log_speed == pytest.approx(old.log_speed, abs=1e-3)
    for old, new in zip(snapshot.histories, read.histories, strict=True):
        assert (new.key, new.runs, new.bins) == (old.key, old.runs, old.bins)
        assert new.seconds == pytest.approx(old.seconds)
        assert new.log_sum == pytest.approx(old.log_sum, abs=1e-3)


@pytest.mark.parametrize("agent", ["agent-0", "agent-1"])
def test_entry_that_starts_expects_the_run_times_known_before(
    agent: str,
) -> None:
    before = snapshot_builders.learn(core.Estimates())
    after = snapshot_builders.restore(snapshot_builders.make_row(before))
    assert _expect_run(after, agent) == pytest.approx(
        _expect_run(before, agent), rel=0.1
    )


def test_no_task_of_the_first_200_after_a_restart_is_late() -> None:
    fleet = fleet_builders.Fleet({"a": 0.55, "b": 1.7}, load=0.5)
    day = fleet_builders.Day(fleet, 1)
    day.run(1_000)
    row = snapshot_builders.make_row(day.estimates, 5)
    late = {}
    for name, rows in {"nothing": (), "row": (row,)}.items():
        estimates = snapshot_builders.restore(*rows)
        results = fleet_builders.Day(fleet, 2, estimates).run(200)
        late[name] = sum(result.late for result in results)
    assert late["nothing"] > 5
    assert late["row"] == 0


def test_rows_of_entries_with_other_targets_are_aligned() -> None:
    """Speeds are relative to the mean of the targets that an entry has."""
    agents = tuple(snapshot_builders.SPEEDS)
    fast = snapshot_builders.learn(
        core.Estimates(), agents=(*agents[::2], "agent-1")
    )
    slow = snapshot_builders.learn(
        core.Estimates(), agents=(*agents[1::2], "agent-0")
    )
    merged = snapshot_builders.restore(
        snapshot_builders.make_row(fast, key="ruwi"),
        snapshot_builders.make_row(slow, key="seeb"),
    )
    ratio = merged.get_speed("agent-2") / merged.get_speed("agent-3")
    assert ratio == pytest.approx(1.7 / 0.7, rel=0.2)
    for agent, speed in snapshot_builders.SPEEDS.items():
        expected = pytest.approx(0.25 / speed, rel=0.2)
        assert _expect_run(merged, agent) == expected


def test_runs_count_half_after_a_minute() -> None:
    estimates = snapshot_builders.learn(core.Estimates(), 16)
    rows = [snapshot_builders.make_row(estimates, age) for age in (0, 60)]
    runs = []
    for row in rows:
        decoded = core.decode_snapshots((row,), builders.NOW)
        merged = core.merge_snapshots(decoded.snapshots, builders.NOW)
        runs.append([speed.runs for speed in merged.speeds])
    assert runs[1] == pytest.approx([count / 2 for count in runs[0]])


def test_newer_row_weighs_more_than_an_older_one() -> None:
    long = snapshot_builders.learn(core.Estimates(), 60, seconds=1.0)
    short = snapshot_builders.learn(core.Estimates(), 60, seconds=0.1)
    rows = (
        snapshot_builders.make_row(long, 300, "ruwi"),
        snapshot_builders.make_row(short, 0, "seeb"),
    )
    merged = snapshot_builders.restore(*rows)
    assert _expect_run(merged, "agent-0") < 0.2


@pytest.mark.parametrize(("age_seconds", "used"), [(599, True), (601, False)])
def test_row_older_than_ten_minutes_is_not_used(
    age_seconds: int, used: bool
) -> None:
    estimates = snapshot_builders.learn(core.Estimates())
    row = snapshot_builders.make_row(estimates, age_seconds)
    decoded = core.decode_snapshots((row,), builders.NOW)
    assert bool(decoded.snapshots) is used
    assert not decoded.faults


def test_own_runs_replace_what_was_stored() -> None:
    """Guards against a stored history that outweighs a changed load."""
    before = snapshot_builders.learn(core.Estimates(), 3_000)
    after = snapshot_builders.restore(snapshot_builders.make_row(before))
    snapshot_builders.learn(after, 400, seconds=1.0)
    assert _expect_run(after, "agent-0") > 0.35


def test_many_estimates_fit_a_row_and_those_with_most_runs_stay() -> None:
    histories = tuple(
        core.StoredHistory(
            (str(number), "k" * 50 + str(number * 7919)),
            float(2_000 - number),
            1.0 + number * math.pi,
            -math.e * number,
            tuple((b, (2_000 - number) / 97) for b in range(97)),
        )
        for number in range(900)
    )
    snapshot = core.Snapshot(builders.NOW, histories, ())
    value = core.encode_snapshot(snapshot)
    assert 10_000 < len(value) <= core.MAX_ROW_BYTES
    row = core.TableRow("ruwi", value, 1)
    (read,) = core.decode_snapshots((row,), builders.NOW).snapshots
    assert 0 < len(read.histories) < 900
    kept = [history.key for history in read.histories]
    assert kept == [h.key for h in histories[: len(kept)]]


def _change(**fields: object) -> core.TableRow:
    return snapshot_builders.change_document(EMPTY, **fields)


@pytest.mark.parametrize(
    "row",
    [
        pytest.param(core.TableRow("x", b"", 3), id="empty"),
        pytest.param(core.TableRow("x", b"{}", 3), id="not compressed"),
        pytest.param(core.TableRow("x", EMPTY.value[:-6], 3), id="cut off"),
        pytest.param(
            core.TableRow("x", zlib.compress(b"0" * 9_000_000), 3), id="bomb"
        ),
        pytest.param(core.TableRow("x", zlib.compress(b"[]"), 3), id="array"),
        pytest.param(_change(format=0), id="older format"),
        pytest.param(_change(format=2, speeds="?"), id="newer format"),
        pytest.param(_change(written_ms=10**17), id="no time"),
        pytest.param(
            _change(written_ms=int(builders.NOW.timestamp() + 300) * 1_000),
            id="from the future",
        ),
        pytest.param(_change(speeds=[["agent-1", 99.0, 1.0]]), id="speed"),
        pytest.param(_change(speeds=[["agent-1", 0.0, 0.0]]), id="no runs"),
        pytest.param(_change(histories=[[]]), id="no history"),
        pytest.param(
            _change(histories=[[["16"], 2.0, 0.5, -2.8, [[97, 2.0]]]]),
            id="no bin",
        ),
        pytest.param(
            _change(histories=[[["16"], 2.0, 0.5, -2.8, [[40, 9.0]]]]),
            id="counts differ",
        ),
    ],
)
def test_row_that_cannot_be_used_is_skipped(row: core.TableRow) -> None:
    good = _change(histories=[HISTORY])
    decoded = core.decode_snapshots((row, good), builders.NOW)
    assert len(decoded.snapshots) == 1
    assert [fault.key for fault in decoded.faults] == [row.key]


def test_removed_row_is_no_fault() -> None:
    row = core.TableRow("ruwi", b"", 4, removed=True)
    decoded = core.decode_snapshots((row,), builders.NOW)
    assert not decoded.snapshots and not decoded.faults
    assert core.merge_snapshots(decoded.snapshots, builders.NOW) is None


def test_stored_speeds_are_used_with_the_models_found_later() -> None:
    fleet = fleet_builders.Fleet({"a": 0.55, "b": 1.7})
    day = fleet_builders.Day(fleet, 3)
    day.run(600)
    known = core.take_snapshot(day.estimates, builders.NOW)
    estimates = core.Estimates()
    estimates.add_stored(
        known.histories, [s for s in known.speeds if s.agent != "agent-19"]
    )
    fleet.record_labels(estimates)
    assert len(estimates.models) == 2
    ratio = estimates.get_speed("agent-19") / estimates.get_speed("agent-18")
    assert ratio == pytest.approx(1.7 / 0.55, rel=0.25)


def test_stored_speeds_stay_within_the_bound(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("cowslipgate_core.placement._estimates.MAX_SPEEDS", 3)
    estimates = core.Estimates()
    speeds = [core.StoredSpeed(str(n), 0.0, 1.0) for n in range(5)]
    estimates.add_stored((), speeds)
    assert estimates.speeds == 3


def test_half_life_is_that_of_the_specification() -> None:
    assert core.HALF_LIFE == datetime.timedelta(minutes=1)
