"""Differential tests of the policies, and tests of their rules."""

import copy
import datetime

import attrs
import cowslipgate_core as core
from cowslipgate_core.tests import builders
from cowslipgate_core.tests import reference_placement
import hypothesis
from hypothesis import strategies
import pytest

SETTINGS = hypothesis.settings(
    derandomize=True, database=None, max_examples=400, deadline=None
)
# Eighths of a second add up without rounding in any order.
_SECONDS = strategies.integers(1, 64).map(lambda eighths: eighths / 8)
_MEMORY = strategies.sampled_from((0, 100, 200))


@strategies.composite
def _make_jobs(draw: strategies.DrawFn) -> list[core.WaitingJob]:
    jobs = []
    for number in range(draw(strategies.integers(0, 4))):
        tasks = []
        for index in range(draw(strategies.integers(1, 5))):
            seconds = draw(_SECONDS)
            tasks.append(
                core.WaitingTask(
                    f"job-{number}",
                    index,
                    seconds,
                    core.Resources(draw(_MEMORY)),
                    seconds * draw(strategies.sampled_from((1, 2))),
                )
            )
        waited = datetime.timedelta(seconds=draw(strategies.integers(0, 20)))
        team = draw(strategies.sampled_from(("hall", "ward")))
        jobs.append(
            core.WaitingJob(
                f"job-{number}", team, builders.NOW - waited, tasks
            )
        )
    return jobs


@strategies.composite
def _make_pool(draw: strategies.DrawFn) -> core.Pool:
    targets = []
    for number in range(draw(strategies.integers(1, 4))):
        targets.append(
            core.TargetView(
                f"agent-{number}",
                core.Resources(draw(_MEMORY)),
                draw(strategies.integers(0, 3)),
                draw(strategies.integers(0, 3)),
                draw(strategies.sampled_from((0.125, 0.5, 1.0, 2.0))),
                awaits_load=draw(strategies.booleans()),
                on_probation=draw(strategies.booleans()),
            )
        )
    queue_allowance = draw(strategies.integers(0, 1))
    return core.Pool(targets, queue_allowance)


_ALLOWANCES = strategies.fixed_dictionaries(
    {team: strategies.integers(0, 6) for team in ("hall", "ward")}
)


@SETTINGS
@hypothesis.given(_make_jobs(), _make_pool(), _ALLOWANCES)
def test_round_robin_matches_its_reference(
    jobs: list[core.WaitingJob], pool: core.Pool, allowances: dict[str, int]
) -> None:
    expected = reference_placement.choose_round_robin(
        copy.deepcopy(jobs), pool, dict(allowances), builders.NOW
    )
    assert expected == core.choose_assignments(
        core.RoundRobin(), jobs, pool, allowances, builders.NOW
    )


@SETTINGS
@hypothesis.given(_make_jobs(), _make_pool(), _ALLOWANCES)
def test_least_completion_matches_its_reference(
    jobs: list[core.WaitingJob], pool: core.Pool, allowances: dict[str, int]
) -> None:
    expected = reference_placement.choose_least_completion(
        copy.deepcopy(jobs), pool, dict(allowances), builders.NOW
    )
    assert expected == core.choose_assignments(
        core.LeastCompletion(), jobs, pool, allowances, builders.NOW
    )


@pytest.mark.parametrize("backlog_seconds", [0, 2])
@pytest.mark.parametrize(
    "policy",
    [
        core.LateBinding(),
        core.Matching(),
        core.Matching(probed_speed=0.9, probed_capacity=0.5),
    ],
)
@SETTINGS
@hypothesis.given(_make_jobs(), _make_pool(), _ALLOWANCES)
def test_late_binding_matches_its_reference(
    policy: core.LateBinding,
    backlog_seconds: int,
    jobs: list[core.WaitingJob],
    pool: core.Pool,
    allowances: dict[str, int],
) -> None:
    max_backlog_time = datetime.timedelta(seconds=backlog_seconds)
    policy = attrs.evolve(
        policy, queue_allowance=1, max_backlog_time=max_backlog_time
    )
    pool.set_queue_allowance(policy.queue_allowance)
    expected = reference_placement.choose_late_binding(
        policy,
        copy.deepcopy(jobs),
        pool,
        dict(allowances),
        builders.NOW,
    )
    assert expected == core.choose_assignments(
        policy,
        jobs,
        pool,
        allowances,
        builders.NOW,
        reference_placement.ENTRIES,
    )


def _build_target(agent: str, speed: float, occupied: int = 0) -> object:
    return core.TargetView(agent, core.Resources(), 1, occupied, speed)


def _build_job(seconds: float, waited_seconds: float = 0) -> core.WaitingJob:
    task = core.WaitingTask("job-1", 0, seconds, upper_seconds=seconds)
    waited = datetime.timedelta(seconds=waited_seconds)
    return core.WaitingJob("job-1", "hall", builders.NOW - waited, [task])


@pytest.mark.parametrize(
    ("occupied", "waited_seconds", "agents"),
    [
        (0, 0, ["fast"]),
        (1, 0, []),
        (1, 30, ["slow"]),
    ],
)
def test_matching_waits_for_a_fast_slot_until_the_job_has_aged(
    occupied: int, waited_seconds: float, agents: list[str]
) -> None:
    pool = core.Pool(
        [_build_target("fast", 2.0, occupied), _build_target("slow", 0.5)]
    )
    job = _build_job(1.0, waited_seconds)
    chosen = core.choose_assignments(
        core.Matching(), [job], pool, {"hall": 9}, builders.NOW
    )
    assert [assignment.agent for assignment in chosen] == agents


@pytest.mark.parametrize("occupied", [0, 1])
def test_slow_target_on_probation_is_tried_once(occupied: int) -> None:
    slow = _build_target("slow", 0.1, occupied)
    slow.on_probation = True
    pool = core.Pool([_build_target("fast", 2.0), slow], queue_allowance=1)
    tasks = [
        core.WaitingTask("job-1", index, seconds, upper_seconds=seconds)
        for index, seconds in enumerate((3.0, 1.0))
    ]
    job = core.WaitingJob("job-1", "hall", builders.NOW, tasks)
    chosen = core.choose_assignments(
        core.Matching(queue_allowance=1),
        [job],
        pool,
        {"hall": 9},
        builders.NOW,
    )
    tried = [a.index for a in chosen if a.agent == "slow"]
    assert tried == ([] if occupied else [1])


def test_matching_uses_a_slow_slot_when_no_faster_target_is_busy() -> None:
    pool = core.Pool([_build_target("slow", 0.5)])
    fast = _build_target("fast", 2.0)
    fast.awaits_load = True
    pool.add(fast)
    pool.rank_targets()
    chosen = core.choose_assignments(
        core.Matching(), [_build_job(1.0)], pool, {"hall": 9}, builders.NOW
    )
    assert [assignment.agent for assignment in chosen] == ["slow"]


@pytest.mark.parametrize(
    ("speed", "seconds"), [(2.0, 0.5), (0.9, 0.5), (0.7, 0.25)]
)
def test_matching_gives_a_slow_target_the_shortest_task(
    speed: float, seconds: float
) -> None:
    sizes = (0.25, 0.5)
    busy = [_build_target(f"busy-{n}", 1.0, occupied=1) for n in range(9)]
    pool = core.Pool([*busy, _build_target("free", speed)])
    tasks = [
        core.WaitingTask("job-1", index, size, upper_seconds=size)
        for index, size in enumerate(sizes)
    ]
    job = core.WaitingJob("job-1", "hall", builders.NOW, tasks)
    chosen = core.choose_assignments(
        core.Matching(), [job], pool, {"hall": 9}, builders.NOW
    )
    assert [sizes[a.index] for a in chosen] == [seconds]


@pytest.mark.parametrize(
    ("slots", "occupied", "count"), [(8, 0, 1), (8, 1, 0), (80, 1, 2)]
)
def test_very_slow_target_gets_one_task_unless_its_capacity_matters(
    slots: int, occupied: int, count: int
) -> None:
    busy = [_build_target(f"busy-{n}", 1.0, occupied=1) for n in range(50)]
    slow = core.TargetView("slow", core.Resources(), slots, occupied, 0.1)
    pool = core.Pool([*busy, slow])
    tasks = [
        core.WaitingTask("job-1", index, size, upper_seconds=size)
        for index, size in enumerate((0.125, 0.125, 8.0))
    ]
    job = core.WaitingJob("job-1", "hall", builders.NOW, tasks)
    chosen = core.choose_assignments(
        core.Matching(), [job], pool, {"hall": 9}, builders.NOW
    )
    assert [a.agent for a in chosen] == ["slow"] * count


@SETTINGS
@hypothesis.given(
    _make_pool(),
    strategies.lists(
        strategies.tuples(strategies.integers(0, 3), strategies.integers(0, 4))
    ),
)
def test_pool_lists_the_open_targets_that_a_scan_finds(
    pool: core.Pool, changes: list[tuple[int, int]]
) -> None:
    pool.set_queue_allowance(1)
    for number, occupied in changes:
        view = pool.get(f"agent-{number}")
        if view is not None:
            view.occupied = occupied
            pool.update(view)
    scanned = [
        view
        for view in pool.ranked
        if view.slots and view.free + 1 > 0 and not view.awaits_load
    ]
    assert list(pool.iterate_open(builders.NOW)) == scanned
    assert pool.has_open(builders.NOW) == bool(scanned)
