"""Selection of the waiting jobs that a pass over the targets considers."""

import datetime

from cowslipgate_core.messages import _resources
from cowslipgate_core.placement import _backlog
from cowslipgate_core.placement import _room
from cowslipgate_core.placement import _targets

MAX_JOBS_TRIED = 256
"""Jobs considered for each target, which bounds the cost of a pass."""


def list_ready(
    jobs: list[_backlog.WaitingJob], allowances: dict[str, int]
) -> list[_backlog.WaitingJob]:
    """Return the jobs with waiting tasks and an allowance of their team."""
    return [
        job for job in jobs if job.tasks and allowances.get(job.team, 0) > 0
    ]


def drop_done(
    jobs: list[_backlog.WaitingJob],
    job: _backlog.WaitingJob,
    allowances: dict[str, int],
) -> None:
    """Remove ``job`` without tasks, and all jobs of a team at its limit."""
    if not job.tasks:
        jobs.remove(job)
    if allowances[job.team] <= 0:
        jobs[:] = [j for j in jobs if j.team != job.team]


def find_fitting(
    jobs: list[_backlog.WaitingJob],
    pool: _targets.Pool,
    now: datetime.datetime,
) -> list[_backlog.WaitingJob]:
    """Return the jobs with a task that fits an open target.

    Up to ``MAX_JOBS_TRIED`` jobs are returned unchecked: all of them are
    tried, so a job that fits nothing displaces no other.
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
        if any(_room.covers_needs(offer, need) for offer in offers)
    }
    if len(covered) == len(needs):
        return list(jobs)
    return [
        job
        for job in jobs
        if job.needs <= covered
        or any(task.needs in covered for task in job.tasks)
    ]
