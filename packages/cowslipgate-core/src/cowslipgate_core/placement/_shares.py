"""Shares of the started work that routes get while work waits.

Each route with a share and waiting work is credited with its share of all
work that is started. Its jobs go first as long as it has credit. What a route
does not use is not saved for later.
"""

import datetime

from cowslipgate_core.placement import _backlog
from cowslipgate_core.placement import _overload
from cowslipgate_core.placement import _placement
from cowslipgate_core.placement import _targets


class Shares:
    """Credits of routes with a share, by service."""

    def __init__(self) -> None:
        # Credits in seconds at speed one by route.
        self._credits: dict[str, dict[str, float]] = {}

    def add_job(self, service: str, job: _backlog.WaitingJob) -> None:
        """Record that jobs of a service have shares."""
        if job.terms.share:
            self._credits.setdefault(service, {})

    def get_credit(self, service: str, route: str) -> float:
        """Return the credit of a route, in seconds at speed one."""
        return self._credits.get(service, {}).get(route, 0.0)

    def choose_assignments(
        self,
        service: str,
        policy: _placement.Policy,
        jobs: list[_backlog.WaitingJob],
        pool: _targets.Pool,
        allowances: dict[str, int],
        now: datetime.datetime,
        entries: int,
    ) -> list[_placement.Assignment]:
        """Return the tasks to send now; routes with credit come first.

        The parameters are those of ``core.choose_assignments``.
        """
        credits = self._credits.get(service)
        shares = (
            {job.terms.route: job.terms.share for job in jobs}
            if credits is not None
            else {}
        )
        shares = {route: share for route, share in shares.items() if share}
        if not shares:
            self._credits.pop(service, None)
            return _placement.choose_assignments(
                policy, jobs, pool, allowances, now, entries
            )
        before = _sum_work(jobs)
        chosen: list[_placement.Assignment] = []
        for route in sorted(shares, key=lambda name: -credits.get(name, 0.0)):
            first = _list_first(
                policy, jobs, pool, now, route, credits.get(route, 0.0)
            )
            if first:
                chosen += _placement.choose_assignments(
                    policy, first, pool, allowances, now, entries
                )
        first_left = _sum_work(jobs)
        chosen += _placement.choose_assignments(
            policy,
            [job for job in jobs if job.tasks],
            pool,
            allowances,
            now,
            entries,
        )
        left = _sum_work(jobs)
        started = sum(before.values()) - sum(left.values())
        self._credits[service] = {
            route: _update_credit(
                credits.get(route, 0.0) + share * started,
                before[route] - first_left[route],
                first_left[route] - left[route],
                left[route],
            )
            for route, share in shares.items()
            if left[route] > 0
        }
        return chosen


def _update_credit(
    credit: float, first: float, ordinary: float, left: float
) -> float:
    """Return a route's credit after a pass.

    Work that it got in the ordinary order, of what others left, counts only
    against credit that it has.

    :param first: work started for its credit
    :param ordinary: work started in the ordinary order
    :param left: its work that still waits, which bounds the credit
    """
    credit -= first
    if credit > 0:
        credit = max(0.0, credit - ordinary)
    return min(credit, left)


def _sum_work(jobs: list[_backlog.WaitingJob]) -> dict[str, float]:
    work: dict[str, float] = {}
    for job in jobs:
        route = job.terms.route
        work[route] = work.get(route, 0.0) + _measure_waiting(job)
    return work


def _measure_waiting(job: _backlog.WaitingJob) -> float:
    # Differences of floats may leave a little work of a job without tasks.
    return job.waiting_seconds if job.tasks else 0.0


def _list_first(
    policy: _placement.Policy,
    jobs: list[_backlog.WaitingJob],
    pool: _targets.Pool,
    now: datetime.datetime,
    route: str,
    credit: float,
) -> list[_backlog.WaitingJob]:
    """Return the jobs of a route, in their order, that its credit covers."""
    if credit <= 0:
        return []
    own = [job for job in jobs if job.tasks and job.terms.route == route]
    _overload.sort_queue(policy, own, pool, now)
    first = []
    for job in own:
        if credit <= 0:
            break
        first.append(job)
        credit -= job.waiting_seconds
    return first
