"""Tests of the figures on records with hand-computed results."""

import pathlib

import pytest

from cowslipgate_bench import _bench
from cowslipgate_bench import _figures
from cowslipgate_bench import _ideal
from cowslipgate_bench import _load
from cowslipgate_bench import _report

COUNTERS = {
    "dispatches": 90,
    "results": 110,
    "refused": 2,
    "refusals": 1,
    "withdrawals": 3,
    "idle_results": 4,
    "inquiry_messages": 5,
    "acknowledgements": 6,
    "heartbeats": 70,
}
ZERO = dict.fromkeys(COUNTERS, 0)


def _build_outcome(response: float, status: int = 200) -> _load.JobOutcome:
    return _load.JobOutcome(response, 0.0, status, "job", "task_failed")


def test_ratios_compare_only_complete_jobs() -> None:
    outcomes = [_build_outcome(2.0), _build_outcome(9.0, 502)]
    schedule = _ideal.Schedule("hand", (1.0, 1.0))
    ratios = _figures.compare_responses(outcomes, schedule, [0, 1])
    assert (ratios.mean, ratios.median, ratios.tail) == (2.0, 2.0, 2.0)
    assert _figures.count_failures(outcomes, [0, 1]) == {"task_failed": 1}


def test_messages_are_counted_by_cause_over_all_entries() -> None:
    messages = _figures.count_messages([ZERO, ZERO], [COUNTERS, COUNTERS])
    assert (messages.useful, messages.refusals) == (400, 6)
    assert (messages.withdrawals, messages.inquiries) == (14, 10)
    assert messages.wasted_share == pytest.approx((6 + 14 + 10 + 12) / 400)


def test_busiest_minute_includes_work_of_incomplete_jobs() -> None:
    usage = [
        _figures.Usage("kept", 0.0, 10.0),
        _figures.Usage("lost", 70.5, 72.0),
        _figures.Usage("kept", 71.0, 101.0),
    ]
    minute = _figures.find_busiest_minute(usage, {"kept"})
    assert minute.used == pytest.approx(31.5)
    assert minute.needed == pytest.approx(30.0)


def test_usage_pairs_each_start_with_its_end_or_stop() -> None:
    journal = [
        {"event": "start", "task": "job.0.1", "at": 1.0},
        {"event": "start", "task": "job.1.2", "at": 1.5},
        {"event": "stop", "task": "job.1.2", "at": 2.0},
        {"event": "end", "task": "job.0.1", "at": 4.0},
    ]
    usage = _figures.read_usage(journal)
    assert usage == [
        _figures.Usage("job", 1.5, 2.0),
        _figures.Usage("job", 1.0, 4.0),
    ]


def test_small_run_is_reported_in_every_form(tmp_path: pathlib.Path) -> None:
    options = _bench.BenchOptions(
        ("matching",), (0.2,), seconds=2.0, warm_up=0.5, targets=3
    )
    runs = list(_bench.run_bench(options))
    _report.write_report(runs, tmp_path)
    assert len(_report.format_table(runs).splitlines()) == 1 + len(runs)
    assert len((tmp_path / "runs.jsonl").read_text().splitlines()) == 1
    assert (tmp_path / "runs.png").stat().st_size
    assert runs[0].jobs and not runs[0].failures
