"""What an entry knows when it decides whether a job may enter."""

import collections
import datetime
import math

import attrs

import cowslipgate_core as core

MICROSECONDS_PER_SECOND = 1_000_000


@attrs.define
class TakenWork:
    """Estimated work of the jobs in flight, by service.

    It is kept in whole microseconds, so that the totals do not drift.
    """

    _jobs: dict[str, int] = attrs.Factory(dict)
    """Work of each job in microseconds at speed one, rounded up."""

    _totals: collections.Counter[str] = attrs.Factory(collections.Counter)
    """Sum by service."""

    def add(self, job: core.Job, seconds: float) -> None:
        """Take in a job that was taken."""
        work = math.ceil(seconds * MICROSECONDS_PER_SECOND)
        self._jobs[job.id] = work
        self._totals[job.service] += work

    def drop(self, job: core.Job) -> None:
        """Take in that a job was answered; others are ignored."""
        self._totals[job.service] -= self._jobs.pop(job.id, 0)
        if not self._totals[job.service]:
            del self._totals[job.service]

    def get_seconds(self, service: str) -> float:
        """Return the sum for a service, what has ended of its jobs too."""
        return self._totals[service] / MICROSECONDS_PER_SECOND


class Admission:
    """Offers of targets and the work that was taken."""

    def __init__(self, ledger: core.Ledger) -> None:
        self._ledger = ledger
        self._offers = core.OfferHistory()
        self._unproved = core.UncheckedJobs()
        self._work: dict[str, float] = {}
        self._taken = TakenWork()

    @property
    def unproved(self) -> int:
        """Number of jobs that may yet prove infeasible."""
        return len(self._unproved)

    def note_report(self, report: core.Report, now: datetime.datetime) -> None:
        """Take in what an agent's target offers."""
        if report.service:
            self._offers.record_offer(report.service, report.resources, now)

    def find_refusal(
        self, job: core.Job, services: dict[str, core.Service]
    ) -> core.Refusal | None:
        """Return why a job is not taken, or None."""
        service = services.get(job.service)
        if service is None:
            return core.Refusal(
                core.Failure.UNKNOWN_SERVICE,
                f"there is no service {job.service!r}",
            )
        waiting = self._ledger.count_waiting(job.service)
        return (
            core.check_limits(service, len(job.request.tasks), waiting)
            or self._find_infeasible(job)
            or self._check_wait(job)
        )

    def add_job(self, job: core.Job) -> None:
        """Take in that a job was taken."""
        self._taken.add(job, self._estimate_work(job))
        if not self._offers.is_conclusive(job.submitted_at):
            self._unproved.add(job)

    def forget_job(self, job: core.Job) -> None:
        """Take in that a job was answered or refused."""
        self._work.pop(job.id, None)
        self._taken.drop(job)
        self._unproved.remove(job.id)

    def pop_infeasible(
        self, now: datetime.datetime
    ) -> list[tuple[core.Job, core.Refusal]]:
        """Return the jobs taken that are now proved infeasible."""
        found = self._unproved.pop_infeasible(self._offers, now)
        return [(job, _refuse_infeasible(index)) for job, index in found]

    def _find_infeasible(self, job: core.Job) -> core.Refusal | None:
        index = self._offers.find_infeasible(
            job.service, job.request, job.submitted_at
        )
        return None if index is None else _refuse_infeasible(index)

    def _check_wait(self, job: core.Job) -> core.Refusal | None:
        allowed = job.deadline - job.submitted_at
        if self._is_soon(job.service, allowed):
            return None
        own = self._estimate_work(job)
        ahead = [
            self._estimate_work(other)
            for other in self._ledger.jobs.values()
            if other.service == job.service and other.waiting
        ]
        shorter = sum(work for work in ahead if work <= own)
        capacity = self._measure_capacity(job.service) if shorter else 0.0
        return core.check_wait(shorter, capacity, allowed)

    def _is_soon(self, service: str, allowed: datetime.timedelta) -> bool:
        # All work in flight is no less than what goes before any one job, so
        # that most often no job has to be looked at.
        pool = self._ledger.find_pool(service)
        if pool is None:
            return False
        work = self._taken.get_seconds(service)
        return work <= pool.capacity * allowed.total_seconds()

    def _estimate_work(self, job: core.Job) -> float:
        if job.id not in self._work:
            sizes = self._ledger.estimates.estimate_tasks(
                job.team, job.request.tasks
            )
            self._work[job.id] = sum(size.mean_seconds for size in sizes)
        tasks = len(job.request.tasks)
        left = tasks - len(job.results)
        return self._work[job.id] * left / tasks

    def _measure_capacity(self, service: str) -> float:
        pool = self._ledger.find_pool(service)
        if pool is None:
            return 0.0
        get_speed = self._ledger.estimates.get_speed
        return sum(
            pool.count_parallel(view) * get_speed(view.agent)
            for view in pool.ranked
        )


def _refuse_infeasible(index: int) -> core.Refusal:
    return core.Refusal(
        core.Failure.INFEASIBLE,
        "no target has what the task needs",
        f"$.tasks[{index}].needs",
    )
