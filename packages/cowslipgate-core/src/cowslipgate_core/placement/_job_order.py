"""Order in which waiting jobs get slots."""

import datetime

from cowslipgate_core.placement import _backlog
from cowslipgate_core.placement import _targets

AGEING = datetime.timedelta(seconds=10)
"""Default age at which a job goes before all younger ones."""

Rank = tuple[int, int, int, float]


def sort_jobs(
    jobs: list[_backlog.WaitingJob],
    pool: _targets.Pool,
    now: datetime.datetime,
    ageing: datetime.timedelta = AGEING,
    late_by_age: bool = False,
) -> None:
    """Sort jobs in place by the order in which they get slots.

    Aged jobs go first, the oldest before the others. Then come jobs that can
    meet their objective and last those that cannot, each by priority and
    remaining run time.

    :param ageing: age after which a job goes before all younger ones
    :param late_by_age: whether jobs that have waited longer than their
        objective go before the other late jobs, the oldest first, so that
        later urgent jobs do not starve them
    """
    aged_before = now - ageing

    def rank(job: _backlog.WaitingJob) -> Rank:
        if job.submitted_at < aged_before:
            return (0, 0, 0, (job.submitted_at - now).total_seconds())
        if not is_late(job, pool, now):
            return (1, 0, job.terms.priority, job.remaining_seconds)
        if late_by_age and job.due_at < now:
            return (2, 0, 0, (job.submitted_at - now).total_seconds())
        return (2, 1, job.terms.priority, job.remaining_seconds)

    jobs.sort(key=rank)


def is_late(
    job: _backlog.WaitingJob, pool: _targets.Pool, now: datetime.datetime
) -> bool:
    """Return whether even the fastest target is too slow for the objective."""
    if job.due_at is None:
        return False
    fastest = max(pool.get_fastest(needs) for needs in job.needs)
    left = (job.due_at - now).total_seconds()
    return left * fastest < job.longest_seconds
