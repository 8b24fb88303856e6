"""Tests of the tie-break that keeps interfering kinds apart.

The load is one job of four ``draw`` tasks and targets at which a ``tag`` task
runs; ``draw`` is 30% slower beside ``tag``.
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
        agent,
        ROOM,
        core.UNBOUNDED_SLOTS,
        used,
        speed,
        room=ROOM,
        used=use,
        near=near,
    )


def _choose(
    targets: list[core.TargetView], route: str = "draw", **terms: object
) -> tuple[list[str], int]:
    """Return the agents of the four tasks, and how many were changed.

    A ``tag`` task runs at ``agent-1``.
    """
    interference = interference_builders.build_found("draw", "tag")
    interference.start("agent-1", 1, "tag", 0, builders.NOW)
    waiting = [
        core.WaitingTask("job-1", index, 0.1, NEEDS, 0.12)
        for index in range(4)
    ]
    job = core.WaitingJob(
        "job-1",
        "hall",
        builders.NOW,
        waiting,
        terms=core.JobTerms(route=route, **terms),
    )
    separation = core.Separation(interference)
    chosen = core.choose_assignments(
        core.Matching(separation=separation),
        [job],
        core.Pool(targets),
        {"hall": 9},
        builders.NOW,
    )
    return [each.agent for each in chosen], interference.separated


def test_tasks_are_separated_where_there_is_room() -> None:
    targets = [_build_target("agent-1"), _build_target("agent-2", 0.95, 0)]
    assert _choose(targets) == (["agent-2"] * 4, 4)


# Guards against tasks of the same pass that meet although neither runs yet.
def test_tasks_of_the_same_pass_are_counted() -> None:
    interference = interference_builders.build_found("draw", "tag")
    jobs = [
        core.WaitingJob(
            route,
            "hall",
            builders.NOW,
            [core.WaitingTask(route, 0, 0.1, NEEDS, 0.12)],
            terms=core.JobTerms(route=route),
        )
        for route in ("tag", "draw")
    ]
    pool = core.Pool(
        [_build_target("agent-1", used=0), _build_target("agent-2", used=0)]
    )
    policy = core.Matching(separation=core.Separation(interference))
    chosen = core.choose_assignments(
        policy, jobs, pool, {"hall": 9}, builders.NOW
    )
    assert {each.agent for each in chosen} == {"agent-1", "agent-2"}


# Guards against a wait or a late job for the sake of separation.
@pytest.mark.parametrize(
    "other",
    [
        pytest.param(_build_target("agent-2", used=4), id="no room"),
        pytest.param(
            core.TargetView("agent-2", ROOM, 1, 1, 1.0), id="no slot"
        ),
        pytest.param(_build_target("agent-2", 0.8, 0), id="slower"),
        pytest.param(_build_target("agent-2", used=0, near=False), id="far"),
    ],
)
def test_tasks_are_not_separated_where_targets_are_not_equally_good(
    other: core.TargetView,
) -> None:
    agents, changed = _choose([_build_target("agent-1"), other])
    assert agents.count("agent-1") >= 3
    assert changed == 0


def test_task_that_would_miss_its_objective_elsewhere_stays() -> None:
    targets = [_build_target("agent-1"), _build_target("agent-2", 0.95, 0)]
    objective = datetime.timedelta(milliseconds=122)
    agents, changed = _choose(targets, objective=objective)
    assert agents.count("agent-1") >= 3
    assert changed == 0


def test_route_without_a_pair_is_placed_as_before() -> None:
    targets = [_build_target("agent-1"), _build_target("agent-2", 0.95, 0)]
    agents, changed = _choose(targets, "paint")
    assert agents.count("agent-1") == 3
    assert changed == 0


# Guards against counting as spare a target that is full after this pass.
def test_no_more_tasks_are_moved_than_there_is_room_for() -> None:
    targets = [_build_target("agent-1"), _build_target("agent-2", 0.95, 2)]
    agents, changed = _choose(targets)
    assert sorted(agents) == ["agent-1"] * 2 + ["agent-2"] * 2
    assert changed == 2
