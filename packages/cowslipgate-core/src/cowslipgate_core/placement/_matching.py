"""Matching: late binding that fits tasks to the speeds of targets."""

import datetime
import math

import attrs

from cowslipgate_core.placement import _backlog
from cowslipgate_core.placement import _late_binding
from cowslipgate_core.placement import _placement
from cowslipgate_core.placement import _targets


@attrs.frozen
class Matching(_late_binding.LateBinding):
    """Late binding that keeps long tasks off slow targets."""

    horizon_factor: float = 1.5
    """Multiple of the time that a job needs anyway, allowed to its tasks."""

    slow_speed: float = 0.8
    """Share of the mean speed below which targets get the shortest tasks."""

    probed_speed: float = 0.3
    """Share of the mean speed below which targets get one task at a time."""

    probed_capacity: float = 0.05
    """Largest share of the capacity that may be limited in this way."""


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

    Slow targets get the shortest of them, other targets the longest.
    """
    horizons: dict[str, float] = {}

    def get_horizon(job: _backlog.WaitingJob) -> float:
        horizon = horizons.get(job.job)
        if horizon is None:
            horizon = compute_horizon(policy, job, pool, now, entries)
            horizons[job.job] = horizon
        return horizon

    def find_fitting(
        job: _backlog.WaitingJob, target: _targets.TargetView
    ) -> int | None:
        limit = get_horizon(job) * target.speed
        if not job.is_near(target):
            limit /= job.terms.away_factor
        # A task that is longer than declared costs most on a slow target.
        if is_slow(policy, target, pool):
            return job.find_shortest(limit, target.offer)
        return job.find_longest(limit, target.offer)

    return _late_binding.fill_slots(
        policy, jobs, pool, allowances, now, entries, find_fitting
    )


def is_slow(
    policy: Matching, target: _targets.TargetView, pool: _targets.Pool
) -> bool:
    """Return whether a target is far below the mean speed of all slots."""
    return target.speed * pool.slots < policy.slow_speed * pool.capacity


def compute_horizon(
    policy: Matching,
    job: _backlog.WaitingJob,
    pool: _targets.Pool,
    now: datetime.datetime,
    entries: int,
) -> float:
    """Return the seconds within which tasks of a job should end.

    With an objective, every target that meets it will do. Once none can, any
    target is better than waiting.
    """
    if now - job.submitted_at > policy.ageing:
        return math.inf
    fastest = min(pool.get_fastest(needs) for needs in job.needs)
    if fastest <= 0 or pool.capacity <= 0:
        return math.inf
    if job.due_at is not None:
        left = (job.due_at - now).total_seconds()
        return left if left * fastest >= job.longest_seconds else math.inf
    alone = job.longest_seconds / fastest
    alone += job.mean_seconds / (fastest * pool.slots)
    shared = job.remaining_seconds / (pool.capacity / entries)
    return policy.horizon_factor * max(alone, shared)


@_late_binding.is_probed.register
def _is_probed_in_matching(
    policy: Matching, target: _targets.TargetView, pool: _targets.Pool
) -> bool:
    if target.speed * pool.slots >= policy.probed_speed * pool.capacity:
        return False
    slow_capacity = pool.capacity - pool.get_faster_capacity(target)
    if slow_capacity > policy.probed_capacity * pool.capacity:
        return False
    return pool.is_faster_busy(target)
