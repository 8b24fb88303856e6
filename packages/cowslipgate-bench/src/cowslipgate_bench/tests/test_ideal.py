"""Tests of the ideal schedules on traces with hand-computed results."""

import cowslipgate_core as core
import pytest

from cowslipgate_bench import _ideal
from cowslipgate_bench import _workload

FAST = _ideal.TargetSpeed(1, 2.0)
SLOW = _ideal.TargetSpeed(1, 0.5)


def _build_trace(*jobs: tuple[float, tuple[float, ...]]) -> _workload.Trace:
    """Return a trace of jobs given by arrival and sizes in seconds."""
    placed = tuple(
        _workload.TraceJob(
            arrival,
            "team-a",
            "",
            tuple(
                _workload.TaskSize("tag", s * 1000, s * 1000) for s in sizes
            ),
        )
        for arrival, sizes in jobs
    )
    return _workload.Trace(placed, 0.0, 10.0)


def test_bound_of_a_response_is_its_longest_task_or_total_work() -> None:
    trace = _build_trace((0.0, (4.0,)), (0.0, (2.0, 2.0, 2.0, 2.0)))
    bounds = _ideal.bound_responses(trace, [FAST, SLOW])
    assert bounds == pytest.approx([2.0, 8 / 2.5])


def test_bound_of_the_mean_serves_the_least_remaining_work_first() -> None:
    # 10 s of work arrive first, 2.5 s a second later, on speeds of 2.5.
    trace = _build_trace((0.0, (5.0, 5.0)), (1.0, (1.25, 1.25)))
    assert _ideal.bound_mean(trace, [FAST, SLOW]) == pytest.approx(3.0)


@pytest.mark.parametrize(
    ("policy", "responses"),
    [
        # The short job takes the fast slot, the long one the slow slot.
        (core.LateBinding(), (8.0, 0.5)),
        # The long job waits for the fast slot.
        (core.Matching(horizon_factor=1.0), (2.5, 0.5)),
    ],
)
def test_list_schedule_follows_the_policy(
    policy: core.Policy, responses: tuple[float, ...]
) -> None:
    trace = _build_trace((0.0, (4.0,)), (0.0, (1.0,)))
    schedule = _ideal.make_schedule("hand", policy, trace, [FAST, SLOW])
    assert schedule.responses == pytest.approx(responses)


def test_best_schedule_is_not_below_the_bound() -> None:
    options = _workload.TraceOptions(
        seed=3, load=0.7, capacity=5.0, duration=20.0, warm_up=0.0
    )
    trace = _workload.make_trace(options)
    targets = [FAST, SLOW, FAST, SLOW]
    schedule = _ideal.find_best_schedule(trace, targets)
    mean = sum(schedule.responses) / len(schedule.responses)
    assert mean >= _ideal.bound_mean(trace, targets)
