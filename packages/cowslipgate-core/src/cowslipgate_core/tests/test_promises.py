"""Placement of jobs whose callers are promised an answer by some time.

The pattern: a quarter of the targets is half as fast, the fast ones are full,
and short tasks would end in time on the slow ones.
"""

import datetime

import cowslipgate_core as core
from cowslipgate_core.tests import builders
import pytest

NEEDS = core.Resources(0, 0, 1_000)
OBJECTIVE = datetime.timedelta(milliseconds=60)
TERMS = core.JobTerms(objective=OBJECTIVE, slowdown=1.6)
NO_PROMISE = core.DEFAULT_TERMS


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
    """Return the agent that the only task of a job goes to now, if any."""
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
        # 109 ms on the slow one are within 60 + 96 ms.
        (60, 0, ["slow"]),
        # After 60 ms they are not, but the fast one may still do it.
        (60, 60, []),
        # Nothing keeps the promise any more: any target beats waiting.
        (60, 140, ["slow"]),
        # 1,636 ms on the slow one are beyond 60 + 1,440 ms.
        (900, 0, []),
    ],
)
def test_slow_target_is_used_when_it_keeps_the_promise(
    milliseconds: float, waited_ms: int, agents: list[str]
) -> None:
    assert _place(milliseconds, TERMS, waited_ms, full=True) == agents


def test_naive_horizon_waits_although_the_slow_target_would_do() -> None:
    assert _place(60, NO_PROMISE, 0, full=True) == []


@pytest.mark.parametrize("milliseconds", [60, 900])
def test_fast_target_with_room_goes_first(milliseconds: float) -> None:
    assert _place(milliseconds, TERMS, 0, full=False) == ["fast"]
