"""Tests of the forecast of waiting jobs, and of refusals for it.

The loads are bursts on a target with few slots: urgent jobs of 8 tasks of
0.12 s, jobs of 2 tasks of 0.4 s, and long jobs of 4 tasks of 1.8 s.
"""

import collections
from collections.abc import Iterable
import datetime
import itertools
import random
import statistics

import attrs
import cowslipgate_core as core
from cowslipgate_core.tests import builders
from cowslipgate_core.tests import overload_builders
import pytest

SECOND = datetime.timedelta(seconds=1)


def _run_burst(
    admission: core.Admission, kinds: tuple[int, ...]
) -> overload_builders.Entry:
    """Submit 20 jobs of each kind (its priority) at once and run 15 s."""
    shapes = {0: (8, 120.0, 6.0), 1: (2, 400.0, 6.0), 2: (4, 1_800.0, 6.0)}
    entry = overload_builders.Entry(8, admission)
    for kind in kinds:
        entry.learn(f"kind{kind}", shapes[kind][1])
    for _ in range(20):
        for kind in kinds:
            entry.submit(
                entry.build_job(f"kind{kind}", *shapes[kind], priority=kind)
            )
    entry.run(15)
    return entry


def _count_kinds(jobs: Iterable[str]) -> collections.Counter[str]:
    return collections.Counter(job.partition("-")[0] for job in jobs)


# Guards against callers that wait to the end for what is known at once, and
# against refusals of jobs that would have been done.
@pytest.mark.parametrize(
    "kinds", [pytest.param((2,), id="one"), pytest.param((0, 1, 2), id="all")]
)
def test_burst_is_refused_early_and_as_many_jobs_are_done(
    kinds: tuple[int, ...],
) -> None:
    forecast = _run_burst(core.Admission.FORECAST, kinds).outcomes
    deadline = _run_burst(core.Admission.DEADLINE, kinds).outcomes
    assert not forecast.other
    assert _count_kinds(forecast.complete) >= _count_kinds(deadline.complete)
    assert min(deadline.overloaded.values()) > 5 * SECOND
    waits = [
        wait
        for job, wait in forecast.overloaded.items()
        if job.startswith("kind2")
    ]
    assert statistics.median(waits) < SECOND


# Guards against refusals by a forecast that a service has not enabled.
def test_no_job_is_refused_early_without_the_feature() -> None:
    entry = overload_builders.Entry(1, core.Admission.DEADLINE)
    entry.learn("long", 1_000)
    for _ in range(30):
        entry.submit(entry.build_job("long", 1, 1_000, 2.0))
    entry.run(1)
    assert not entry.outcomes.overloaded
    assert not entry.ledger.overload.list_rates()


# Guards against a refusal while a target has room, also behind jobs that do
# not fit it.
def test_no_job_is_refused_while_there_is_room_for_it() -> None:
    room = core.Resources(0, 0, 8_000)
    entry = overload_builders.Entry(core.UNBOUNDED_SLOTS, room=room)
    entry.learn("long", 1_800)
    for _ in range(40):
        entry.submit(entry.build_job("long", 1, 1_800, 30.0, millicores=3_000))
    entry.tick()
    accepted = [
        entry.submit(
            entry.build_job("long", 1, 1_800, 3.0, millicores=millicores)
        )
        for millicores in (3_000, 1_500, 1_500)
    ]
    assert accepted == [False, True, False]


# Guards against work that is counted although nobody waits for it any more.
def test_work_of_callers_that_disconnect_no_longer_counts() -> None:
    entry = overload_builders.Entry(2)
    entry.learn("long", 1_000)
    jobs = [entry.build_job("long", 1, 1_000, 30.0) for _ in range(30)]
    for job in jobs:
        entry.submit(job)
    entry.tick()
    late = entry.build_job("long", 1, 1_000, 5.0)
    forecast = entry.ledger.overload.find_forecast(late, entry.now)
    assert entry.ledger.overload.is_overloaded(late, forecast, entry.now)
    for job in jobs[4:]:
        entry.ledger.cancel(job, entry.now)
    entry.tick()
    assert entry.submit(entry.build_job("long", 1, 1_000, 5.0))


# Guards against jobs of suspended callers that keep others out.
def test_work_of_unseen_callers_does_not_count() -> None:
    entry = overload_builders.Entry(1)
    entry.learn("long", 1_000)
    entry.learn("running", 60_000)
    entry.submit(entry.build_job("running", 1, 60_000, 90.0))
    for _ in range(30):
        job = entry.build_job("long", 1, 1_000, 60.0)
        # Without an objective it stays ahead of later jobs.
        job.terms = core.DEFAULT_TERMS
        job.caller_seen_at = entry.now
        entry.submit(job)
    entry.run(0.5)
    late = entry.build_job("long", 1, 1_000, 5.0)
    assert not entry.submit(late)
    entry.run(1)
    suspended = [job for job in entry.ledger.jobs.values() if job.suspended]
    assert len(suspended) == 30
    entry.submit(entry.build_job("long", 1, 1_000, 60.0))
    entry.run(0.5)
    assert entry.submit(entry.build_job("long", 1, 1_000, 5.0))


# Guards against a size that is only declared, and never corrected.
def test_own_declared_size_alone_refuses_no_job() -> None:
    entry = overload_builders.Entry(1)
    entry.submit(entry.build_job("new", 1, 5_000, 30.0))
    entry.submit(entry.build_job("new", 1, 5_000, 30.0))
    entry.tick()
    assert entry.submit(entry.build_job("other", 1, 60_000, 8.0))


# Guards against "not run" for a job that may have run.
def test_job_with_an_attempt_is_not_refused() -> None:
    entry = overload_builders.Entry(1)
    entry.learn("long", 1_000)
    entry.submit(entry.build_job("long", 12, 1_000, 3.0))
    entry.run(2)
    assert not entry.outcomes.overloaded
    entry.run(2)
    assert entry.outcomes.other


# Guards against a pause of the entry that looks as if targets took nothing.
@pytest.mark.parametrize("paused_seconds", [0.6, 1.5, 5.0])
def test_no_job_is_refused_for_a_rate_that_a_pause_has_lowered(
    paused_seconds: float,
) -> None:
    rate = core.StartRate()
    now = builders.NOW
    tenth = datetime.timedelta(milliseconds=100)
    rate.observe(4.0, True, now)
    for _ in range(30):
        now += tenth
        rate.observe(0.4, True, now)
    assert rate.measure(1.0, 0.0, now) == pytest.approx(4.0)
    now += datetime.timedelta(seconds=paused_seconds)
    rate.observe(0.0, True, now)
    assert rate.measure(4.0, 0.0, now) == 4.0
    for _ in range(20):
        now += tenth
        rate.observe(0.4, True, now)
    assert rate.measure(1.0, 0.0, now) == pytest.approx(4.0)


def test_paused_entry_refuses_only_what_is_too_late() -> None:
    entry = overload_builders.Entry(4)
    entry.learn("short", 500)
    for _ in range(24):
        entry.submit(entry.build_job("short", 1, 500, 8.0))
    entry.run(0.5)
    entry.pause(3)
    entry.run(10)
    assert len(entry.outcomes.complete) == 24


# Guards against what filled free targets being taken for what they take.
def test_work_that_filled_free_room_is_not_counted() -> None:
    rate = core.StartRate()
    rate.observe(500.0, True, builders.NOW)
    assert rate.measure(3.0, 2.0, builders.NOW) == 3.0
    later = builders.NOW + 0.4 * SECOND
    rate.observe(0.5, True, later)
    assert rate.measure(3.0, 2.0, builders.NOW + SECOND) == 2.0


# Guards against a rate of zero while links are down, which would refuse all.
def test_rate_is_never_below_a_part_of_the_share() -> None:
    rate = core.StartRate()
    now = builders.NOW
    for _ in range(100):
        rate.observe(0.0, True, now)
        now += 0.1 * SECOND
    assert rate.measure(8.0, 0.0, now) == 2.0


def test_share_counts_the_entries_that_share_a_target() -> None:
    view = core.TargetView("agent-1", core.Resources(), 16, 0, 1.0)
    pool = core.Pool([view])
    shares = [core.compute_share(pool, entries) for entries in (1, 4, 14)]
    assert shares == [16.0, 4.0, 2.0]


def _find_earliest_end(
    free_at: list[float], tasks: list[float], own: list[float]
) -> float:
    """Return the earliest end of ``own`` over all choices of slots.

    Tasks start in their order, each when its slot is free or later.
    """
    ends = []
    for slots in itertools.product(
        range(len(free_at)), repeat=len(tasks) + len(own)
    ):
        free = list(free_at)
        start = 0.0
        end = 0.0
        for number, slot in enumerate(slots):
            seconds = (tasks + own)[number]
            start = max(start, free[slot])
            free[slot] = start + seconds
            if number >= len(tasks):
                end = max(end, free[slot])
        ends.append(end)
    return min(ends)


# Guards against a refusal of a job that would have been done in time.
@pytest.mark.parametrize("seed", range(60))
def test_no_job_is_refused_that_some_schedule_ends_in_time(seed: int) -> None:
    source = random.Random(seed)
    slots = source.randint(1, 3)
    free_at = [source.uniform(0, 1) for _ in range(slots)]
    sizes = {
        str(number): [source.choice((0.12, 0.4, 1.8))] * source.randint(1, 2)
        for number in range(4)
    }
    queued = [
        overload_builders.build_queued(
            name, sum(tasks), max(tasks), source.uniform(0.2, 4.0)
        )
        for name, tasks in sizes.items()
    ]
    queue = core.Queue(queued, float(slots), 1.0, builders.NOW)
    refused = {forecast.job for forecast in queue.refused}
    ahead: list[float] = []
    for job in queued:
        if job.job in refused:
            end = _find_earliest_end(free_at, ahead, sizes[job.job])
            assert end > job.allowed_seconds
        else:
            ahead += sizes[job.job]


def test_some_of_these_schedules_are_refused() -> None:
    queued = [
        overload_builders.build_queued(str(number), 1.8, 1.8, 2.0)
        for number in range(8)
    ]
    queue = core.Queue(queued, 2.0, 1.0, builders.NOW)
    assert [forecast.job for forecast in queue.refused] == list("34567")


# Guards against refused jobs that keep those behind them out.
def test_refused_work_does_not_count_as_ahead() -> None:
    large = overload_builders.build_queued("large", 90.0, 1.0, 0.5)
    first = overload_builders.build_queued("first", 4.0, 1.0, 9.0)
    last = overload_builders.build_queued("last", 1.0, 1.0, 9.0)
    queue = core.Queue([first, large, last], 1.0, 1.0, builders.NOW)
    assert [forecast.job for forecast in queue.refused] == ["large"]
    behind = attrs.evolve(last, job="behind", priority=3)
    assert queue.forecast_new(behind).start_seconds == 5.0


def test_new_job_is_forecast_behind_its_priority() -> None:
    queued = [
        overload_builders.build_queued("a", 2.0, 1.0, 90.0, priority=0),
        overload_builders.build_queued("b", 3.0, 1.0, 90.0, priority=1),
        attrs.evolve(
            overload_builders.build_queued("c", 4.0, 1.0, 90.0), late=True
        ),
    ]
    queue = core.Queue(queued, 1.0, 1.0, builders.NOW)
    starts = [
        queue.forecast_new(
            overload_builders.build_queued("x", work, 1.0, 9.0, priority=p)
        ).start_seconds
        for p, work in [(0, 1.0), (0, 2.5), (1, 1.0), (1, 9.0), (2, 1.0)]
    ]
    assert starts == [0.0, 2.0, 2.0, 5.0, 5.0]


# Guards against late jobs that take the place of those that can be in time.
def test_job_that_misses_its_objective_is_served_late() -> None:
    entry = overload_builders.Entry(1)
    entry.learn("late", 400)
    entry.learn("timely", 400)
    for _ in range(4):
        entry.submit(entry.build_job("late", 1, 400, 20.0))
    entry.run(1)
    assert len(entry.outcomes.complete) == 2
    entry.submit(entry.build_job("timely", 1, 400, 20.0))
    entry.run(3)
    order = [job.partition("-")[0] for job in entry.outcomes.complete]
    assert order == ["late", "late", "late", "timely", "late"]
