"""Late binding: the backlog stays at the entry until a slot is free."""

from collections.abc import Callable
import datetime
import math

import attrs

from cowslipgate_core import _backlog
from cowslipgate_core import _messages
from cowslipgate_core import _placement
from cowslipgate_core import _targets

MAX_JOBS_TRIED = 256
AGEING = datetime.timedelta(seconds=10)

Horizon = Callable[[_backlog.WaitingJob], float]


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
        policy, jobs, pool, allowances, now, entries, lambda job: math.inf
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
    """Fill free slots with tasks that end within their job's horizon."""
    horizons: dict[str, float] = {}

    def get_horizon(job: _backlog.WaitingJob) -> float:
        known = horizons.get(job.job)
        if known is None:
            known = measure_horizon(policy, job, pool, now, entries)
            horizons[job.job] = known
        return known

    return _fill_slots(
        policy, jobs, pool, allowances, now, entries, get_horizon
    )


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


def rank_job(
    policy: LateBinding, job: _backlog.WaitingJob, now: datetime.datetime
) -> tuple[int, float]:
    """Return the key that orders jobs: aged ones, then the least work."""
    waited = now - job.submitted_at
    if waited > policy.ageing:
        return (0, -waited.total_seconds())
    return (1, job.remaining_seconds)


def _fill_slots(
    policy: LateBinding,
    jobs: list[_backlog.WaitingJob],
    pool: _targets.Pool,
    allowances: dict[str, int],
    now: datetime.datetime,
    entries: int,
    get_horizon: Horizon,
) -> list[_placement.Assignment]:
    targets = pool.list_open(now)
    if not targets:
        return []
    ordered = [
        job for job in jobs if job.tasks and allowances.get(job.team, 0) > 0
    ]
    ordered.sort(key=lambda job: rank_job(policy, job, now))
    fitting = list(ordered)
    if len(ordered) > MAX_JOBS_TRIED:
        # Only the first are tried, so those that fit nothing make way.
        fitting = _find_fitting(ordered, targets)
    assignments: list[_placement.Assignment] = []
    # What no task fits on one target fits on no slower one like it.
    exhausted: set[_messages.Resources] = set()
    for target in targets:
        if policy.patience and can_spare(
            policy, target, pool, ordered, now, entries
        ):
            break
        while target.free + policy.margin > 0 and fitting:
            if target.resources in exhausted:
                break
            found = _find_task(fitting, target, pool, get_horizon)
            if found is None:
                exhausted.add(target.resources)
                break
            job, position = found
            assignments.append(
                _placement.take_task(job, position, target, pool, allowances)
            )
            if not job.tasks:
                ordered.remove(job)
                fitting.remove(job)
            if allowances[job.team] <= 0:
                ordered = [j for j in ordered if j.team != job.team]
                fitting = [j for j in fitting if j.team != job.team]
    return assignments


def _find_fitting(
    jobs: list[_backlog.WaitingJob], targets: list[_targets.TargetView]
) -> list[_backlog.WaitingJob]:
    offers = {target.resources for target in targets}
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
    get_horizon: Horizon,
) -> tuple[_backlog.WaitingJob, int] | None:
    for job in jobs[:MAX_JOBS_TRIED]:
        limit = get_horizon(job) * target.speed
        position = job.find_longest(limit, target.resources)
        if position is not None:
            return job, position
    if pool.is_faster_busy(target):
        return None
    for job in jobs[:MAX_JOBS_TRIED]:
        position = job.find_longest(math.inf, target.resources)
        if position is not None:
            return job, position
    return None
