"""Tests of the order of jobs.

A burst on every route leaves no room for all: some miss their objective.
"""

import datetime

import cowslipgate_core as core
from cowslipgate_core.tests import builders
import pytest

NEEDS = core.Resources(0, 0, 1_000)
ROOM = core.Resources(1_000, 0, 1_000)
OBJECTIVE = datetime.timedelta(milliseconds=60)


def _build_job(
    name: str,
    priority: int = 0,
    milliseconds: float = 100,
    waited_ms: int = 0,
    has_objective: bool = True,
) -> core.WaitingJob:
    """Return a job of one task, due after 60 ms plus 1.6 times its size."""
    seconds = milliseconds / 1_000
    task = core.WaitingTask(name, 0, seconds, NEEDS, seconds)
    terms = core.JobTerms(
        priority=priority,
        objective=OBJECTIVE if has_objective else datetime.timedelta(),
        slowdown=1.6,
    )
    submitted_at = builders.NOW - datetime.timedelta(milliseconds=waited_ms)
    return core.WaitingJob(name, "hall", submitted_at, [task], terms=terms)


def _choose_first(*jobs: core.WaitingJob) -> str:
    """Return the id of the job that gets the only place."""
    view = core.TargetView(
        "agent-1", ROOM, core.UNBOUNDED_SLOTS, 0, 1.0, room=ROOM
    )
    pool = core.Pool([view])
    (assignment,) = core.choose_assignments(
        core.Matching(), list(jobs), pool, {"hall": 100}, builders.NOW
    )
    return assignment.job


@pytest.mark.parametrize(
    ("jobs", "first"),
    [
        # The operators' priority goes before size.
        ([("long", 0, 900), ("short", 1, 60)], "long"),
        # Among jobs of equal priority, the smallest goes first.
        ([("long", 1, 900), ("short", 1, 60)], "short"),
        # A job that can meet its objective goes before a late one.
        ([("late", 0, 100, 200), ("timely", 2, 100)], "timely"),
        # Among late jobs, priority counts again.
        ([("late", 1, 100, 200), ("urgent", 0, 100, 200)], "urgent"),
        # After 10 s a job goes before all younger ones.
        ([("old", 2, 100, 10_001), ("timely", 0, 100)], "old"),
        # Without an objective no job is late.
        ([("old", 0, 100, 5_000, False), ("new", 0, 110)], "old"),
    ],
)
def test_order_of_jobs(jobs: list[tuple], first: str) -> None:
    assert _choose_first(*(_build_job(*job) for job in jobs)) == first
    assert _choose_first(*(_build_job(*job) for job in jobs[::-1])) == first
