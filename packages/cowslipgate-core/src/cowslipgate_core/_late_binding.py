"""Late binding: the backlog stays at the entry until a slot is free."""

from collections.abc import Callable
import datetime
import functools
import math

import attrs

from cowslipgate_core import _backlog
from cowslipgate_core import _messages
from cowslipgate_core import _placement
from cowslipgate_core import _targets

MAX_JOBS_TRIED = 256
AGEING = datetime.timedelta(seconds=10)

Horizon = Callable[[_backlog.WaitingJob], float]
Finder = Callable[[_backlog.WaitingJob, _targets.TargetView], int | None]


@attrs.frozen
class LateBinding(_placement.Policy):
    """Send to the fastest target with a free slot, shortest job first."""

    queue_allowance: int = 0
    """Tasks that may queue at an agent beyond its slots."""

    ageing: datetime.timedelta = AGEING
    """Waiting time after which a job goes before shorter ones."""

    patience: datetime.timedelta = datetime.timedelta()
    """A slow target is used when faster ones alone would take longer."""

    @property
    def margin(self) -> int:
        """Tasks that may queue at a target beyond its slots."""
        return self.queue_allowance


@attrs.frozen
class Matching(LateBinding):
    """Late binding that keeps long tasks away from slow targets."""

    horizon_factor: float = 1.5
    """Time allowed to a task over the time that its job needs anyway."""

    slow_speed: float = 0.8
    """Targets below this share of the mean speed take the shortest tasks."""

    probed_speed: float = 0.3
    """Targets below this share of the mean speed get one task at a time."""

    probed_capacity: float = 0.05
    """Share of the capacity that these targets make up at most."""


@_placement.choose_assignments.register
def choose_late_binding(
    policy: LateBinding,
    jobs: list[_backlog.WaitingJob],
    pool: _targets.Pool,
    allowances: dict[str, int],
    now: datetime.datetime,
    entries: int = 1,
) -> list[_placement.Assignment]:
    """Fill free slots, the fastest first, with the longest tasks."""
    return _fill_slots(
        policy, jobs, pool, allowances, now, entries, _find_longest
    )


@_placement.choose_assignments.register
def choose_matching(
    policy: Matching,
    jobs: list[_backlog.WaitingJob],
    pool: _targets.Pool,
    allowances: dict[str, int],
    now: datetime.datetime,
    entries: int = 1,
) -> list[_placement.Assignment]:
    """Fill free slots with tasks that end within their job's horizon.

    Slow targets take the shortest of them, the others the longest.
    """
    horizons: dict[str, float] = {}

    def get_horizon(job: _backlog.WaitingJob) -> float:
        known = horizons.get(job.job)
        if known is None:
            known = measure_horizon(policy, job, pool, now, entries)
            horizons[job.job] = known
        return known

    def find_fitting(
        job: _backlog.WaitingJob, target: _targets.TargetView
    ) -> int | None:
        limit = get_horizon(job) * target.speed
        # A task that is longer than declared costs most on a slow target.
        if is_slow(policy, target, pool):
            return job.find_shortest(limit, target.resources)
        return job.find_longest(limit, target.resources)

    return _fill_slots(
        policy, jobs, pool, allowances, now, entries, find_fitting
    )


def is_slow(
    policy: Matching, target: _targets.TargetView, pool: _targets.Pool
) -> bool:
    """Tell whether a target is far below the mean speed of all slots."""
    return target.speed * pool.slots < policy.slow_speed * pool.capacity


def measure_horizon(
    policy: Matching,
    job: _backlog.WaitingJob,
    pool: _targets.Pool,
    now: datetime.datetime,
    entries: int,
) -> float:
    """Return the seconds within which tasks of a job should end."""
    if now - job.submitted_at > policy.ageing:
        return math.inf
    fastest = min(pool.get_fastest(needs) for needs in job.needs)
    if fastest <= 0 or pool.capacity <= 0:
        return math.inf
    alone = job.longest_seconds / fastest
    alone += job.mean_seconds / (fastest * pool.slots)
    shared = job.remaining_seconds / (pool.capacity / entries)
    return policy.horizon_factor * max(alone, shared)


def sort_jobs(
    policy: LateBinding,
    jobs: list[_backlog.WaitingJob],
    now: datetime.datetime,
) -> None:
    """Put aged jobs first, the oldest before the others, then the smallest."""
    aged_before = now - policy.ageing

    def rank(job: _backlog.WaitingJob) -> tuple[int, float]:
        if job.submitted_at < aged_before:
            return (0, (job.submitted_at - now).total_seconds())
        return (1, job.remaining_seconds)

    jobs.sort(key=rank)


def _fill_slots(
    policy: LateBinding,
    jobs: list[_backlog.WaitingJob],
    pool: _targets.Pool,
    allowances: dict[str, int],
    now: datetime.datetime,
    entries: int,
    find: Finder,
) -> list[_placement.Assignment]:
    if not pool.has_open(now):
        return []
    ordered = _list_ready(jobs, allowances)
    sort_jobs(policy, ordered, now)
    fitting = _find_fitting(ordered, pool, now)
    trials = pool.list_trials(now)
    assignments = _try_targets(trials, fitting, pool, allowances)
    if assignments:
        ordered = _list_ready(ordered, allowances)
        fitting = _list_ready(fitting, allowances)
    # What no task fits on one target fits on no slower one like it.
    exhausted: set[_messages.Resources] = set()
    for target in pool.iterate_open(now):
        if not ordered:
            break
        if policy.patience and can_spare(
            policy, target, pool, ordered, now, entries
        ):
            break
        while target.free + policy.margin > 0 and fitting:
            if target.resources in exhausted:
                break
            if target.occupied and is_probed(policy, target, pool):
                break
            found = _find_task(fitting, target, pool, find)
            if found is None:
                exhausted.add(target.resources)
                break
            job, position = found
            assignments.append(
                _placement.take_task(job, position, target, pool, allowances)
            )
            _drop_done(ordered, job, allowances)
            _drop_done(fitting, job, allowances)
    return assignments


def _try_targets(
    targets: list[_targets.TargetView],
    jobs: list[_backlog.WaitingJob],
    pool: _targets.Pool,
    allowances: dict[str, int],
) -> list[_placement.Assignment]:
    """Give each of some targets a short task, whatever its speed.

    Only a task takes a target off probation, and under a light load faster
    targets would take them all.
    """
    assignments = []
    for target in targets:
        for job in jobs[:MAX_JOBS_TRIED]:
            if allowances[job.team] <= 0:
                continue
            position = job.find_shortest(math.inf, target.resources)
            if position is None:
                continue
            assignments.append(
                _placement.take_task(job, position, target, pool, allowances)
            )
            break
    return assignments


def _list_ready(
    jobs: list[_backlog.WaitingJob], allowances: dict[str, int]
) -> list[_backlog.WaitingJob]:
    return [
        job for job in jobs if job.tasks and allowances.get(job.team, 0) > 0
    ]


def _drop_done(
    jobs: list[_backlog.WaitingJob],
    job: _backlog.WaitingJob,
    allowances: dict[str, int],
) -> None:
    if not job.tasks:
        jobs.remove(job)
    if allowances[job.team] <= 0:
        jobs[:] = [j for j in jobs if j.team != job.team]


def _find_fitting(
    jobs: list[_backlog.WaitingJob],
    pool: _targets.Pool,
    now: datetime.datetime,
) -> list[_backlog.WaitingJob]:
    """Return the jobs that have a task for an open target.

    Where all are tried, those that fit nothing are in nobody's way.
    """
    if len(jobs) <= MAX_JOBS_TRIED:
        return list(jobs)
    offers = {target.resources for target in pool.iterate_open(now)}
    needs = frozenset[_messages.Resources]().union(
        *(job.needs for job in jobs)
    )
    covered = {
        need
        for need in needs
        if any(_targets.fits_resources(offer, need) for offer in offers)
    }
    if len(covered) == len(needs):
        return list(jobs)
    return [
        job
        for job in jobs
        if job.needs <= covered
        or any(task.needs in covered for task in job.tasks)
    ]


@functools.singledispatch
def is_probed(
    policy: LateBinding, target: _targets.TargetView, pool: _targets.Pool
) -> bool:
    """Tell whether a target gets one task at a time.

    Its speed is learned from these tasks, in case it becomes faster again.
    """
    return False


@is_probed.register
def _is_probed_in_matching(
    policy: Matching, target: _targets.TargetView, pool: _targets.Pool
) -> bool:
    if target.speed * pool.slots >= policy.probed_speed * pool.capacity:
        return False
    lost = pool.capacity - pool.measure_faster(target)
    if lost > policy.probed_capacity * pool.capacity:
        return False
    return pool.is_faster_busy(target)


def can_spare(
    policy: LateBinding,
    target: _targets.TargetView,
    pool: _targets.Pool,
    jobs: list[_backlog.WaitingJob],
    now: datetime.datetime,
    entries: int,
) -> bool:
    """Tell whether faster targets manage the backlog within the patience.

    A slow target takes more slot-seconds for the same work.
    """
    if not pool.is_faster_busy(target):
        return False
    for job in jobs:
        if now - job.submitted_at > policy.ageing:
            return False
        if any(pool.get_fastest(need) <= target.speed for need in job.needs):
            return False
    waiting = sum(job.waiting_seconds for job in jobs)
    faster = pool.measure_faster(target) / entries
    return waiting <= faster * policy.patience.total_seconds()


def _find_task(
    jobs: list[_backlog.WaitingJob],
    target: _targets.TargetView,
    pool: _targets.Pool,
    find: Finder,
) -> tuple[_backlog.WaitingJob, int] | None:
    for job in jobs[:MAX_JOBS_TRIED]:
        position = find(job, target)
        if position is not None:
            return job, position
    if pool.is_faster_busy(target):
        return None
    for job in jobs[:MAX_JOBS_TRIED]:
        position = _find_longest(job, target)
        if position is not None:
            return job, position
    return None


def _find_longest(
    job: _backlog.WaitingJob, target: _targets.TargetView
) -> int | None:
    return job.find_longest(math.inf, target.resources)
