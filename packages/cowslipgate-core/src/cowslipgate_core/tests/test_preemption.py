"""Tests of stopping runs for more urgent jobs.

The load: a burst of jobs of 4 tasks of 1.8 s takes all room, and jobs of 8
tasks of 0.12 s arrive just after it.
"""

import datetime

import cowslipgate_core as core
from cowslipgate_core.tests import builders
from cowslipgate_core.tests import preemption_builders
import pytest

NOW = preemption_builders.after(0.05)
FULL = 5
"""Runs that fill a target."""

TARGETS = 4


def _build_runs(targets: int = 2, **changes: object) -> list[core.RunningTask]:
    """Return runs that fill the targets, sent 50 ms before the decision."""
    return [
        preemption_builders.build_run(
            number, f"agent-{number // FULL}", **changes
        )
        for number in range(targets * FULL)
    ]


def _choose(
    runs: list[core.RunningTask],
    *jobs: core.WaitingJob,
    targets: int = 2,
    now: datetime.datetime = NOW,
) -> list[core.Preemption]:
    pool = preemption_builders.build_pool(runs, targets)
    least_urgent = max(run.priority for run in runs)
    claimants = core.find_claimants(jobs, pool, now, least_urgent)
    return core.choose_preemptions(claimants, runs, pool, now)


def test_as_many_runs_are_stopped_as_the_job_lacks_room() -> None:
    urgent = preemption_builders.build_waiting(submitted=0.05)
    chosen = _choose(_build_runs(), urgent)
    assert len(chosen) == len(urgent.tasks)
    assert {each.for_job for each in chosen} == {"urgent"}
    assert all(
        each.lost_core_seconds == pytest.approx(0.05 * 2.7) for each in chosen
    )


def test_runs_with_the_least_work_lost_are_stopped() -> None:
    runs = _build_runs(3)
    young = [
        preemption_builders.build_run(100 + n, "agent-3", sent=0.04)
        for n in range(FULL)
    ]
    urgent = preemption_builders.build_waiting(submitted=0.05)
    chosen = _choose(runs + young, urgent, targets=TARGETS)
    assert {run.attempt for run in young} <= {each.attempt for each in chosen}


def test_several_small_runs_make_room_together() -> None:
    half = core.Resources(0, 0, 1_600)
    runs = [
        preemption_builders.build_run(number, needs=half, sent=0.04)
        for number in range(10)
    ]
    urgent = preemption_builders.build_waiting(submitted=0.05)
    del urgent.tasks[1:]
    assert len(_choose(runs, urgent, targets=1)) == 2


# Each guards against a stop that gains nothing, or less than it costs.
@pytest.mark.parametrize(
    ("changes", "priority", "waited"),
    [
        # The waiting job is not more urgent.
        ({"priority": 1}, 1, 0.0),
        # It is too late for its objective, or would be after the stop.
        ({}, 0, 0.2),
        ({}, 0, 0.1),
        # More work would be lost than it makes room for.
        ({"sent": -0.1}, 0, 0.0),
        # The runs end in time by themselves.
        ({"sent": -1.78}, 0, 0.0),
        # Their jobs may not run again, or have been preempted before.
        ({"repeatable": False}, 0, 0.0),
        ({"preemptions": 1}, 0, 0.0),
        # They would miss an objective that they can meet.
        ({"due_at": preemption_builders.after(1.9)}, 0, 0.0),
        # Room is to come: their stops are under way.
        ({"stopping": True}, 0, 0.0),
    ],
)
def test_run_is_not_stopped(
    changes: dict, priority: int, waited: float
) -> None:
    submitted = 0.05 - waited
    job = preemption_builders.build_waiting("job", priority, submitted)
    assert _choose(_build_runs(**changes), job) == []


def test_run_that_is_late_anyway_or_resumes_is_stopped() -> None:
    urgent = preemption_builders.build_waiting(submitted=0.05)
    late = _build_runs(due_at=preemption_builders.after(0.1))
    assert len(_choose(late, urgent)) == len(urgent.tasks)
    resuming = _build_runs(
        sent=-0.4, resumes=True, due_at=preemption_builders.after(4)
    )
    assert len(_choose(resuming, urgent)) == len(urgent.tasks)


# Guards against stops for a job that misses its objective all the same.
def test_no_run_is_stopped_if_not_all_tasks_get_room() -> None:
    urgent = preemption_builders.build_waiting(submitted=0.05)
    assert _choose(_build_runs(1), urgent, targets=1) == []


def test_no_run_is_stopped_while_any_target_has_room() -> None:
    urgent = preemption_builders.build_waiting(submitted=0.05)
    assert _choose(_build_runs(), urgent, targets=3) == []


# Guards against a second stop for the same tasks in the next decision.
def test_room_to_come_serves_the_first_job_only() -> None:
    runs = _build_runs(TARGETS)
    first, second = (
        preemption_builders.build_waiting(name, submitted=0.05)
        for name in ("first", "second")
    )
    chosen = _choose(runs, first, targets=TARGETS)
    stopping = {each.attempt for each in chosen}
    runs = [
        preemption_builders.build_run(
            run.attempt, run.agent, stopping=run.attempt in stopping
        )
        for run in runs
    ]
    assert _choose(runs, first, targets=TARGETS) == []
    again = _choose(runs, first, second, targets=TARGETS)
    assert {each.for_job for each in again} == {"second"}
    assert not stopping & {each.attempt for each in again}


# Guards against room that an older job takes before the urgent one.
def test_nothing_is_stopped_behind_an_aged_job_that_waits() -> None:
    urgent = preemption_builders.build_waiting(submitted=0.05)
    aged = preemption_builders.build_waiting("aged", 2, submitted=-10.1)
    assert _choose(_build_runs(), urgent, aged) == []


def test_one_run_of_a_job_is_stopped_at_most() -> None:
    runs = [
        core.RunningTask(
            number,
            f"job-{number // 2}",
            f"agent-{number // FULL}",
            2,
            preemption_builders.NEEDS,
            builders.NOW,
            1.8,
            builders.NOW,
        )
        for number in range(TARGETS * FULL)
    ]
    urgent = preemption_builders.build_waiting(submitted=0.05)
    chosen = _choose(runs, urgent, targets=TARGETS)
    assert len({each.attempt // 2 for each in chosen}) == len(chosen) == 8


def _play(
    preemption: bool, seed: int
) -> tuple[preemption_builders.Fleet, int]:
    """Return the fleet and how many of the urgent jobs were in time.

    Every 4 s, 10 jobs of priority 2 fill it, and an urgent job comes 50 ms
    later.
    """
    fleet = preemption_builders.Fleet(TARGETS * 2, preemption, seed)
    urgent = []
    for wave in range(10):
        fleet.run_until(4 * wave)
        for _ in range(10):
            fleet.submit(2)
        fleet.run_until(4 * wave + 0.05)
        urgent.append(fleet.submit(0))
    fleet.run_until(60)
    assert len(fleet.answers) == 110
    return fleet, sum(fleet.is_in_time(job) for job in urgent)


@pytest.mark.parametrize("seed", range(1, 6))
def test_urgent_jobs_behind_a_burst_are_in_time_more_often(seed: int) -> None:
    _, without = _play(False, seed)
    fleet, in_time = _play(True, seed)
    assert in_time > without
    counters = fleet.ledger.counters
    assert counters.preempted == len(fleet.preemptions) > 0
    jobs = {each.preemption.for_job for each, _ in fleet.preemptions}
    tasks, seconds = preemption_builders.KINDS[0]
    gained = len(jobs) * tasks * seconds * preemption_builders.CORES
    assert 0 < counters.preempted_core_seconds <= gained


@pytest.mark.parametrize("seed", range(1, 4))
def test_no_job_is_stopped_twice_in_a_row(seed: int) -> None:
    fleet = preemption_builders.Fleet(TARGETS * 2, seed=seed)
    for wave in range(5):
        fleet.run_until(4 * wave)
        for _ in range(10):
            fleet.submit(2)
        # By then, tasks that were stopped for the first urgent job have just
        # started again, so that little work would be lost.
        for seconds in (0.05, 0.3, 0.35):
            fleet.run_until(4 * wave + seconds)
            fleet.submit(0)
    finished: dict[str, int] = {}
    for report, results in fleet.preemptions:
        job = report.attempt.job.id
        assert results > finished.get(job, -1)
        finished[job] = results
    assert len(fleet.preemptions) > 8


def test_service_without_the_field_stops_nothing() -> None:
    fleet, _ = _play(False, 1)
    assert fleet.ledger.counters.preempted == 0


# Guards against starving: urgent jobs that are late themselves came first
# until a job was 10 s old.
@pytest.mark.parametrize(("late_by_age", "first"), [(True, 2), (False, 0)])
def test_late_jobs_go_by_age_once_their_objective_has_passed(
    late_by_age: bool, first: int
) -> None:
    pool = preemption_builders.build_pool([])
    old = preemption_builders.build_waiting("old", 2, submitted=-4.0)
    urgent = preemption_builders.build_waiting("urgent", 0, submitted=-1.0)
    timely = preemption_builders.build_waiting("timely", 1, submitted=0.0)
    jobs = [urgent, old, timely]
    core.sort_jobs(jobs, pool, NOW, late_by_age=late_by_age)
    assert jobs[0] is timely
    assert jobs[1].terms.priority == first


# Guards against starving: urgent jobs take more than all room for 3 s, and
# less than two thirds of it afterwards, while those that are late still wait.
@pytest.mark.parametrize("seed", range(1, 4))
@pytest.mark.parametrize(
    ("preemption", "least", "most"), [(True, 0, 8), (False, 10, 20)]
)
def test_wait_of_a_less_urgent_job_is_bounded(
    preemption: bool, least: float, most: float, seed: int
) -> None:
    fleet = preemption_builders.Fleet(TARGETS, preemption, seed)
    seconds = 0.0
    slow = None
    while slow is None or slow.id not in fleet.answers:
        fleet.run_until(seconds)
        fleet.submit(0)
        if slow is None and seconds > 0.2:
            slow = fleet.submit(2)
        seconds += 1 / 45 if seconds < 3 else 1 / 9
    took = fleet.answers[slow.id] - slow.submitted_at
    assert least < took.total_seconds() < most
