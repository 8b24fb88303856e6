"""Tests of the placement of jobs with a response-time objective.

Set-up: a quarter of the targets is half as fast, the fast ones are full, and
short tasks would meet their objective on the slow ones.
"""

import datetime

import cowslipgate_core as core
from cowslipgate_core.tests import builders
import pytest

NEEDS = core.Resources(0, 0, 1_000)
OBJECTIVE = datetime.timedelta(milliseconds=60)
TERMS = core.JobTerms(objective=OBJECTIVE, slowdown=1.6)
NO_OBJECTIVE = core.DEFAULT_TERMS


def _build_view(agent: str, speed: float, full: bool) -> core.TargetView:
    room = core.Resources(1_000, 0, 4_000)
    view = core.TargetView(
        agent, room, core.UNBOUNDED_SLOTS, 0, speed, room=room
    )
    if full:
        view.used = room
        view.occupied = 4
    return view


def _build_job(milliseconds: float, terms: core.JobTerms) -> core.WaitingJob:
    seconds = milliseconds / 1_000
    task = core.WaitingTask("job-1", 0, seconds, NEEDS, seconds)
    return core.WaitingJob("job-1", "hall", builders.NOW, [task], terms=terms)


def _place(
    milliseconds: float, terms: core.JobTerms, waited_ms: int, full: bool
) -> list[str]:
    """Return the agents chosen for a job of one task: one or none."""
    pool = core.Pool(
        [
            _build_view("fast", 1.2, full),
            _build_view("slow", 0.55, False),
        ]
    )
    pool.typical_needs = NEEDS
    pool.rank_targets()
    now = builders.NOW + datetime.timedelta(milliseconds=waited_ms)
    chosen = core.choose_assignments(
        core.Matching(),
        [_build_job(milliseconds, terms)],
        pool,
        {"hall": 100},
        now,
    )
    return [assignment.agent for assignment in chosen]


@pytest.mark.parametrize(
    ("milliseconds", "waited_ms", "agents"),
    [
        # 109 ms on the slow target are within 60 + 96 ms.
        (60, 0, ["slow"]),
        # After 60 ms they are not, but the fast target can still meet it.
        (60, 60, []),
        # No target can meet it any more: start on any free one.
        (60, 140, ["slow"]),
        # 1,636 ms on the slow target are beyond 60 + 1,440 ms.
        (900, 0, []),
    ],
)
def test_slow_target_is_used_when_it_meets_the_objective(
    milliseconds: float, waited_ms: int, agents: list[str]
) -> None:
    assert _place(milliseconds, TERMS, waited_ms, full=True) == agents


def test_task_without_objective_waits_for_the_fast_target() -> None:
    assert _place(60, NO_OBJECTIVE, 0, full=True) == []


@pytest.mark.parametrize("milliseconds", [60, 900])
def test_fast_target_with_room_is_chosen_first(milliseconds: float) -> None:
    assert _place(milliseconds, TERMS, 0, full=False) == ["fast"]
