"""Tests of the preference for targets in the entry's failure domain.

Pattern: 35 entries in five domains, each with links to targets of all of
them, where every byte between domains costs. A task stays near while a target
there keeps the objective; when the domain is full it goes elsewhere at once,
and a task that is late takes the fastest target anywhere.
"""

import datetime

import cowslipgate_core as core
from cowslipgate_core.tests import builders
import hypothesis
from hypothesis import strategies
import pytest

NEEDS = core.Resources(0, 0, 5_000)
ROOM = core.Resources(65_536, 0, 32_000)
TASKS_A_TARGET = 6
TERMS = core.JobTerms(
    objective=datetime.timedelta(milliseconds=60), slowdown=1.6
)
SECONDS = 0.12
SLOW = 0.7
FAST = 1.7


def _build_view(
    agent: str, speed: float, near: bool, used: int = 0
) -> core.TargetView:
    return core.TargetView(
        agent,
        ROOM,
        core.UNBOUNDED_SLOTS,
        used,
        speed,
        room=ROOM,
        used=core.Resources(0, 0, used * NEEDS.millicores),
        near=near,
    )


def _place(
    near_used: int,
    tasks: int = 1,
    waited_ms: int = 0,
    terms: core.JobTerms = TERMS,
) -> list[str]:
    """Choose among a slow target nearby and a fast one elsewhere."""
    views = [
        _build_view("near-slow", SLOW, True, near_used),
        _build_view("far-fast", FAST, False),
    ]
    return _choose(views, tasks, waited_ms, terms)


def _choose(
    views: list[core.TargetView],
    tasks: int,
    waited_ms: int,
    terms: core.JobTerms,
    policy: core.Matching = core.Matching(),
) -> list[str]:
    """Return the agents chosen for a job's equal tasks, in order."""
    pool = core.Pool(views)
    pool.typical_needs = NEEDS
    pool.rank_targets()
    waiting = [
        core.WaitingTask("job-1", number, SECONDS, NEEDS, SECONDS)
        for number in range(tasks)
    ]
    job = core.WaitingJob("job-1", "hall", builders.NOW, waiting, terms=terms)
    chosen = core.choose_assignments(
        policy,
        [job],
        pool,
        {"hall": 100},
        builders.NOW + datetime.timedelta(milliseconds=waited_ms),
    )
    return [assignment.agent for assignment in chosen]


def test_task_stays_near_while_a_target_there_keeps_the_objective() -> None:
    # 171 ms are within 60 + 192 ms.
    assert _place(near_used=0) == ["near-slow"]


def test_tasks_beyond_the_room_nearby_go_elsewhere_at_once() -> None:
    agents = _place(near_used=TASKS_A_TARGET - 2, tasks=8)
    assert agents.count("near-slow") == 2
    assert agents.count("far-fast") == TASKS_A_TARGET


@pytest.mark.parametrize(
    ("waited_ms", "terms"),
    [
        pytest.param(120, TERMS, id="only the fast one keeps the objective"),
        pytest.param(300, TERMS, id="no target keeps the objective"),
        pytest.param(0, core.DEFAULT_TERMS, id="no objective"),
    ],
)
def test_task_that_gains_by_speed_takes_the_fastest_target(
    waited_ms: int, terms: core.JobTerms
) -> None:
    assert _place(0, waited_ms=waited_ms, terms=terms) == ["far-fast"]


def _place_two(
    views: list[core.TargetView], waited: datetime.timedelta
) -> dict[str, list[str]]:
    """Return the agents of the tasks of an urgent job and of another.

    Each has four equal tasks; the urgent one has come last.

    :param waited: age of the other job, which has no objective if aged
    """
    pool = core.Pool(views)
    pool.typical_needs = NEEDS
    pool.rank_targets()
    jobs = []
    for name, priority, age in (("other", 2, waited), ("urgent", 0, None)):
        tasks = [
            core.WaitingTask(name, number, SECONDS, NEEDS, SECONDS)
            for number in range(4)
        ]
        terms = core.JobTerms(
            objective=TERMS.objective, slowdown=1.6, priority=priority
        )
        submitted_at = builders.NOW - (age or datetime.timedelta())
        jobs.append(
            core.WaitingJob(name, "hall", submitted_at, tasks, terms=terms)
        )
    policy = core.Matching(plans_far_use=True)
    chosen = core.choose_assignments(
        policy, jobs, pool, {"hall": 100}, builders.NOW
    )
    agents: dict[str, list[str]] = {"urgent": [], "other": []}
    for assignment in chosen:
        agents[assignment.job].append(assignment.agent)
    return agents


NO_WAIT = datetime.timedelta()


def test_urgent_job_is_the_first_to_use_an_idle_domain() -> None:
    """Otherwise it takes the slow rest of a busy one, as the first job."""
    agents = _place_two(
        [
            _build_view("near-slow", SLOW, True, TASKS_A_TARGET - 2),
            _build_view("far-fast", FAST, False),
        ],
        NO_WAIT,
    )
    assert agents["urgent"] == ["far-fast"] * 4
    assert sorted(agents["other"]) == ["far-fast"] * 2 + ["near-slow"] * 2


def test_slower_targets_of_an_idle_domain_are_used_last() -> None:
    agents = _place_two(
        [
            _build_view("near-fast", FAST, True, TASKS_A_TARGET - 4),
            _build_view("far-slow", SLOW, False),
        ],
        NO_WAIT,
    )
    assert agents["urgent"] == ["near-fast"] * 4
    assert agents["other"] == ["far-slow"] * 4


def test_near_targets_with_room_for_all_are_used_alone() -> None:
    agents = _place_two(
        [
            _build_view("near-slow", SLOW, True),
            _build_view("near-slow-2", SLOW, True, TASKS_A_TARGET - 2),
            _build_view("far-fast", FAST, False),
        ],
        NO_WAIT,
    )
    assert "far-fast" not in agents["urgent"] + agents["other"]


def test_aged_job_is_not_overtaken_in_an_idle_domain() -> None:
    agents = _place_two(
        [
            _build_view("near-slow", SLOW, True, TASKS_A_TARGET - 2),
            _build_view("far-fast", FAST, False, TASKS_A_TARGET - 4),
        ],
        core.AGEING + datetime.timedelta(seconds=1),
    )
    assert agents["other"] == ["far-fast"] * 4


_TARGETS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from((0.3, SLOW, 1.0, FAST)),
        strategies.booleans(),
        strategies.integers(0, TASKS_A_TARGET),
    ),
    min_size=1,
    max_size=8,
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(
    targets=_TARGETS,
    tasks=strategies.integers(1, 30),
    waited_ms=strategies.integers(0, 180),
    plans_far_use=strategies.booleans(),
)
def test_near_room_that_keeps_the_objective_is_filled_and_none_is_stranded(
    targets: list[tuple[float, bool, int]],
    tasks: int,
    waited_ms: int,
    plans_far_use: bool,
) -> None:
    views = [
        _build_view(f"agent-{number}", speed, near, used)
        for number, (speed, near, used) in enumerate(targets)
    ]
    policy = core.Matching(plans_far_use=plans_far_use)
    chosen = _choose(views, tasks, waited_ms, TERMS, policy)
    left = 0.06 + 1.6 * SECONDS - waited_ms / 1_000
    places = [
        (TASKS_A_TARGET - used) * (left * speed >= SECONDS)
        for speed, _, used in targets
    ]
    near_places = sum(
        count
        for count, (_, near, _) in zip(places, targets, strict=True)
        if near
    )
    placed = [chosen.count(view.agent) for view in views]
    near_placed = sum(
        min(count, most)
        for count, most, view in zip(placed, places, views, strict=True)
        if view.near
    )
    assert near_placed == min(tasks, near_places)
    assert len(chosen) >= min(tasks, sum(places))


@pytest.mark.parametrize(("domain", "near"), [("ruwi", False), ("", True)])
def test_ledger_tells_near_targets_by_their_domain(
    domain: str, near: bool
) -> None:
    ledger = core.Ledger(core.Matching(), domain=domain)
    ledger.handle_report(builders.build_report(), builders.NOW)
    pool = ledger.find_pool("print")
    assert [view.near for view in pool.ranked] == [near]
    assert pool.all_near is near
