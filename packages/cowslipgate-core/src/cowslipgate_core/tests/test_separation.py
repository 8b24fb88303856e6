"""Tests of the tie-break that keeps interfering kinds apart.

The load is a job of three tasks and two targets; at one of them a ``tag`` task
runs, and ``draw`` is 30% slower beside ``tag``.
"""

import datetime

import cowslipgate_core as core
from cowslipgate_core.tests import builders
from cowslipgate_core.tests import interference_builders
import pytest

ROOM = core.Resources(65_536, 0, 16_000)
NEEDS = core.Resources(0, 0, 4_000)


def _build_target(
    agent: str, speed: float = 1.0, used: int = 1, near: bool = True
) -> core.TargetView:
    use = core.Resources(0, 0, 4_000 * used)
    return core.TargetView(
        agent, ROOM, 10_000, used, speed, room=ROOM, used=use, near=near
    )


def _build_job(route: str, tasks: int, **terms: object) -> core.WaitingJob:
    waiting = [
        core.WaitingTask(route, index, 0.1, NEEDS, 0.12)
        for index in range(tasks)
    ]
    terms = core.JobTerms(route=route, **terms)
    return core.WaitingJob(route, "hall", builders.NOW, waiting, terms=terms)


def _choose(
    targets: list[core.TargetView], *jobs: core.WaitingJob, tags: int = 1
) -> tuple[list[str], int]:
    """Return the agents of the tasks, and how many were changed.

    :param tags: number of ``tag`` tasks that run at ``agent-1``
    """
    interference = interference_builders.build_found("draw", "tag")
    for sequence in range(tags):
        interference.start("agent-1", sequence, "tag", 0, builders.NOW)
    policy = core.Matching(separation=core.Separation(interference))
    chosen = core.choose_assignments(
        policy, list(jobs), core.Pool(targets), {"hall": 9}, builders.NOW
    )
    return [each.agent for each in chosen], interference.separated


SPARE = (0.95, 0)
TIGHT = {"objective": datetime.timedelta(milliseconds=122)}
"""Terms with an objective that is met at full speed alone."""


# Guards against tasks that meet where there is room, and against a wait, a
# late job or a far target for the sake of separation.
@pytest.mark.parametrize(
    ("other", "route", "terms", "moved"),
    [
        pytest.param(SPARE, "draw", {}, 3, id="room for all"),
        pytest.param((0.95, 2), "draw", {}, 2, id="room for two"),
        pytest.param((0.95, 4), "draw", {}, 0, id="no room"),
        pytest.param((0.8, 0), "draw", {}, 0, id="slower"),
        pytest.param((1.0, 0, False), "draw", {}, 0, id="far"),
        pytest.param(SPARE, "draw", TIGHT, 0, id="late there"),
        pytest.param(SPARE, "paint", {}, 0, id="no pair"),
    ],
)
def test_tasks_are_separated_only_where_targets_are_equally_good(
    other: tuple[float | bool, ...],
    route: str,
    terms: dict[str, object],
    moved: int,
) -> None:
    targets = [_build_target("agent-1"), _build_target("agent-2", *other)]
    agents, changed = _choose(targets, _build_job(route, 3, **terms))
    assert changed == moved
    assert agents.count("agent-2") == moved
    assert len(agents) == 3


# Guards against tasks of the same pass that meet although neither runs yet.
def test_tasks_of_the_same_pass_are_counted() -> None:
    targets = [_build_target(f"agent-{n}", used=0) for n in (1, 2)]
    jobs = [_build_job(route, 1) for route in ("tag", "draw")]
    agents, changed = _choose(targets, *jobs, tags=0)
    assert (set(agents), changed) == ({"agent-1", "agent-2"}, 1)
