"""The waiting jobs that a pass over the targets looks at."""

import datetime

from cowslipgate_core.messages import _resources
from cowslipgate_core.placement import _backlog
from cowslipgate_core.placement import _room
from cowslipgate_core.placement import _targets

MAX_JOBS_TRIED = 256


def list_ready(
    jobs: list[_backlog.WaitingJob], allowances: dict[str, int]
) -> list[_backlog.WaitingJob]:
    """Return the jobs with tasks that their team may send."""
    return [
        job for job in jobs if job.tasks and allowances.get(job.team, 0) > 0
    ]


def drop_done(
    jobs: list[_backlog.WaitingJob],
    job: _backlog.WaitingJob,
    allowances: dict[str, int],
) -> None:
    """Take out what ended with a task of ``job``: itself or its team."""
    if not job.tasks:
        jobs.remove(job)
    if allowances[job.team] <= 0:
        jobs[:] = [j for j in jobs if j.team != job.team]


def find_fitting(
    jobs: list[_backlog.WaitingJob],
    pool: _targets.Pool,
    now: datetime.datetime,
) -> list[_backlog.WaitingJob]:
    """Return the jobs that have a task for an open target.

    Where all are tried, those that fit nothing are in nobody's way.
    """
    if len(jobs) <= MAX_JOBS_TRIED:
        return list(jobs)
    offers = {target.offer for target in pool.iterate_open(now)}
    needs = frozenset[_resources.Resources]().union(
        *(job.needs for job in jobs)
    )
    covered = {
        need
        for need in needs
        if any(_room.fits_resources(offer, need) for offer in offers)
    }
    if len(covered) == len(needs):
        return list(jobs)
    return [
        job
        for job in jobs
        if job.needs <= covered
        or any(task.needs in covered for task in job.tasks)
    ]
