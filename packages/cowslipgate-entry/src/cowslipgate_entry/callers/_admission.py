"""Admission of jobs from offered capacity and the work in flight."""

import collections
import datetime
import math

import attrs

import cowslipgate_core as core
from cowslipgate_entry.callers import _retry_after

MICROSECONDS_PER_SECOND = 1_000_000


@attrs.define
class WorkInFlight:
    """Estimated work of the jobs in flight, by service.

    Whole microseconds keep the totals free of floating-point drift.
    """

    _jobs: dict[str, int] = attrs.Factory(dict)
    """Work in microseconds at target speed 1 by job id, rounded up."""

    _totals: collections.Counter[str] = attrs.Factory(collections.Counter)
    """Sum in microseconds by service."""

    def add(self, job: core.Job, seconds: float) -> None:
        """Add an accepted job with its work in seconds at speed 1."""
        work = math.ceil(seconds * MICROSECONDS_PER_SECOND)
        self._jobs[job.id] = work
        self._totals[job.service] += work

    def remove(self, job: core.Job) -> None:
        """Remove a job that was answered; unknown jobs are ignored."""
        self._totals[job.service] -= self._jobs.pop(job.id, 0)
        if not self._totals[job.service]:
            del self._totals[job.service]

    def get_seconds(self, service: str) -> float:
        """Return the work of a service in seconds, ended tasks included.

        The work of a job counts in full until the job is answered.
        """
        return self._totals[service] / MICROSECONDS_PER_SECOND


class Admission:
    """Admission checks against offered resources and accepted work."""

    def __init__(self, ledger: core.Ledger) -> None:
        self._ledger = ledger
        self._offers = core.OfferHistory()
        self._feasibility = core.UncheckedJobs()
        self._work: dict[str, float] = {}
        self._in_flight = WorkInFlight()
        # Forecasts for which jobs are refused, until they are answered.
        self._forecasts: dict[str, core.Forecast] = {}

    @property
    def unverified(self) -> int:
        """Number of accepted jobs whose feasibility is still unknown."""
        return len(self._feasibility)

    def record_report(
        self, report: core.Report, now: datetime.datetime
    ) -> None:
        """Record the resources that an agent's target offers."""
        if report.service:
            self._offers.record_offer(report.service, report.resources, now)

    def find_refusal(
        self, job: core.Job, services: dict[str, core.Service]
    ) -> core.Refusal | None:
        """Return why a job is refused, or None if it is accepted."""
        service = services.get(job.service)
        if service is None:
            return core.Refusal(
                core.Failure.UNKNOWN_SERVICE,
                f"there is no service {job.service!r}",
            )
        waiting = self._ledger.count_waiting(job.service)
        check_wait = self._check_wait
        if service.admission is core.Admission.FORECAST:
            check_wait = self._check_forecast
        return (
            core.check_limits(service, len(job.request.tasks), waiting)
            or self._find_infeasible(job)
            or check_wait(job)
        )

    def add_job(self, job: core.Job) -> None:
        """Record an accepted job."""
        self._in_flight.add(job, self._estimate_work(job))
        if not self._offers.is_conclusive(job.submitted_at):
            self._feasibility.add(job)

    def forget_job(self, job: core.Job) -> None:
        """Remove the records of a job that was answered or refused."""
        self._work.pop(job.id, None)
        self._forecasts.pop(job.id, None)
        self._in_flight.remove(job)
        self._feasibility.remove(job.id)

    def pop_infeasible(
        self, now: datetime.datetime
    ) -> list[tuple[core.Job, core.Refusal]]:
        """Remove and return accepted jobs now known to be infeasible."""
        found = self._feasibility.pop_infeasible(self._offers, now)
        return [(job, _refuse_infeasible(index)) for job, index in found]

    def list_overloaded(
        self, services: dict[str, core.Service], now: datetime.datetime
    ) -> list[tuple[core.Job, core.Refusal]]:
        """Return the waiting jobs to refuse for their forecasts."""
        forecast_services = {
            name
            for name, service in services.items()
            if service.admission is core.Admission.FORECAST
        }
        self._ledger.overload.retain_services(forecast_services)
        overloaded = []
        for name in sorted(forecast_services):
            for job, forecast in self._ledger.overload.list_overloaded(
                name, now
            ):
                self._forecasts[job.id] = forecast
                overloaded.append((job, _refuse_overloaded(forecast)))
        return overloaded

    def complete_answer(
        self, job: core.Job, answer: core.JobAnswer, now: datetime.datetime
    ) -> core.JobAnswer:
        """Return the answer to a refused job with the time to come back.

        Answers of services that are not admitted by forecasts, and while
        targets have room, are returned unchanged.
        """
        if (
            answer.failure is not core.Failure.OVERLOADED
            or answer.started is not core.Started.NONE
        ):
            return answer
        forecast = self._forecasts.get(job.id)
        if forecast is None:
            forecast = self._ledger.overload.find_forecast(job, now)
        if forecast is None:
            return answer
        return attrs.evolve(
            answer,
            retry_after=_retry_after.choose_retry_after(
                forecast.start_seconds, job.terms.request or job.id
            ),
            forecast=datetime.timedelta(seconds=forecast.end_seconds),
            rate=forecast.rate,
        )

    def _check_forecast(self, job: core.Job) -> core.Refusal | None:
        overload = self._ledger.overload
        forecast = overload.find_forecast(job, job.submitted_at)
        if forecast is None or not overload.is_overloaded(
            job, forecast, job.submitted_at
        ):
            return None
        self._forecasts[job.id] = forecast
        return _refuse_overloaded(forecast)

    def _find_infeasible(self, job: core.Job) -> core.Refusal | None:
        index = self._offers.find_infeasible(
            job.service, job.request, job.submitted_at
        )
        return None if index is None else _refuse_infeasible(index)

    def _check_wait(self, job: core.Job) -> core.Refusal | None:
        allowed = job.deadline - job.submitted_at
        if self._fits_deadline(job.service, allowed):
            return None
        own = self._estimate_work(job)
        ahead = [
            self._estimate_work(other)
            for other in self._ledger.jobs.values()
            if other.service == job.service and other.waiting
        ]
        shorter = sum(work for work in ahead if work <= own)
        capacity = self._sum_capacity(job.service) if shorter else 0.0
        return core.check_wait(shorter, capacity, allowed)

    def _fits_deadline(
        self, service: str, allowed: datetime.timedelta
    ) -> bool:
        # All work in flight is at least the work ahead of any one job, so
        # this check usually saves the iteration over the jobs.
        pool = self._ledger.find_pool(service)
        if pool is None:
            return False
        work = self._in_flight.get_seconds(service)
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

    def _sum_capacity(self, service: str) -> float:
        pool = self._ledger.find_pool(service)
        if pool is None:
            return 0.0
        get_speed = self._ledger.estimates.get_speed
        return sum(
            pool.count_parallel(view) * get_speed(view.agent)
            for view in pool.ranked
        )


def _refuse_overloaded(forecast: core.Forecast) -> core.Refusal:
    return core.Refusal(core.Failure.OVERLOADED, forecast.reason)


def _refuse_infeasible(index: int) -> core.Refusal:
    return core.Refusal(
        core.Failure.INFEASIBLE,
        "no target has what the task needs",
        f"$.tasks[{index}].needs",
    )
