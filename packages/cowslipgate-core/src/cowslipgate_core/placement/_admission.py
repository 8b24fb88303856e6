"""Job admission; no task of a refused job has run."""

import datetime

import attrs

from cowslipgate_core.configuration import _configuration
from cowslipgate_core.jobs import _jobs
from cowslipgate_core.messages import _resources
from cowslipgate_core.placement import _room

OFFERS_CONCLUSIVE_AFTER = datetime.timedelta(seconds=15)
"""Time from the first offer until a missing offer is conclusive."""

OFFERS_KEPT_FOR = datetime.timedelta(minutes=10)
"""Time for which the offer of an absent target still counts."""

MAX_OFFERS = 1_000
"""Offers kept over all services; a full table proves nothing."""


@attrs.frozen
class Refusal:
    """Reason for refusing a job."""

    failure: _jobs.Failure
    """Kind of refusal."""

    message: str
    """What the caller can do."""

    path: str = ""
    """Path of the offending value in the job, or empty."""


@attrs.define
class OfferHistory:
    """Resources offered within ``OFFERS_KEPT_FOR``, by absent targets too.

    A restarted target offers the same again, so its absence proves nothing.
    An entry that has just started may not know all targets yet.
    """

    _last_seen_at: dict[
        tuple[str, _resources.Resources], datetime.datetime
    ] = attrs.Factory(dict)
    """When each pair of service and resources was last announced."""

    _first_seen_at: datetime.datetime | None = None
    """When the first offer was announced, or None before that."""

    def record_offer(
        self,
        service: str,
        resources: _resources.Resources,
        now: datetime.datetime,
    ) -> None:
        """Record the resources that a target of a service offers."""
        if self._first_seen_at is None:
            self._first_seen_at = now
        if len(self._last_seen_at) >= MAX_OFFERS:
            self._remove_old(now)
        if (
            len(self._last_seen_at) < MAX_OFFERS
            or (service, resources) in self._last_seen_at
        ):
            self._last_seen_at[service, resources] = now

    def find_infeasible(
        self, service: str, request: _jobs.JobRequest, now: datetime.datetime
    ) -> int | None:
        """Return the index of the first task that no target can run.

        Return None if there is none, or while offers are inconclusive.
        """
        offers = self._get_offers(service, now)
        if not offers or not self.is_conclusive(now):
            return None
        for index, task in enumerate(request.tasks):
            if not any(
                _room.covers_needs(offer, task.needs) for offer in offers
            ):
                return index
        return None

    def is_conclusive(self, now: datetime.datetime) -> bool:
        """Return whether a missing offer is conclusive."""
        if (
            self._first_seen_at is None
            or len(self._last_seen_at) >= MAX_OFFERS
        ):
            return False
        return now - self._first_seen_at >= OFFERS_CONCLUSIVE_AFTER

    def _get_offers(
        self, service: str, now: datetime.datetime
    ) -> list[_resources.Resources]:
        return [
            resources
            for (name, resources), seen_at in self._last_seen_at.items()
            if name == service and now - seen_at <= OFFERS_KEPT_FOR
        ]

    def _remove_old(self, now: datetime.datetime) -> None:
        self._last_seen_at = {
            offer: seen_at
            for offer, seen_at in self._last_seen_at.items()
            if now - seen_at <= OFFERS_KEPT_FOR
        }


@attrs.define
class UncheckedJobs:
    """Jobs accepted while the offers of targets were inconclusive."""

    _waiting: dict[str, _jobs.Job] = attrs.Factory(dict)
    """Jobs without an answer, by id."""

    def add(self, job: _jobs.Job) -> None:
        """Add an accepted job that is not known to be infeasible."""
        self._waiting[job.id] = job

    def __len__(self) -> int:
        return len(self._waiting)

    def remove(self, job_id: str) -> None:
        """Remove a job that was answered."""
        self._waiting.pop(job_id, None)

    def pop_infeasible(
        self, history: OfferHistory, now: datetime.datetime
    ) -> list[tuple[_jobs.Job, int]]:
        """Return the infeasible jobs, each with the index of such a task.

        The jobs are checked once, when offers are conclusive, and removed.
        """
        if not self._waiting or not history.is_conclusive(now):
            return []
        found = []
        for job in self._waiting.values():
            index = history.find_infeasible(job.service, job.request, now)
            if index is not None:
                found.append((job, index))
        self._waiting.clear()
        return found


def check_limits(
    service: _configuration.Service, tasks: int, waiting: int
) -> Refusal | None:
    """Return the refusal of a job that exceeds a limit, or None.

    :param tasks: number of tasks of the job
    :param waiting: number of tasks of the service that wait at this entry
    """
    if tasks > service.max_tasks:
        return Refusal(
            _jobs.Failure.TOO_LARGE,
            f"a job may have {service.max_tasks} tasks",
            "$.tasks",
        )
    if waiting + tasks > service.max_backlog:
        return Refusal(
            _jobs.Failure.OVERLOADED, "too many tasks wait; try later"
        )
    return None


def check_wait(
    ahead: float, capacity: float, allowed: datetime.timedelta
) -> Refusal | None:
    """Return the refusal of a job that would wait past its deadline.

    Only accepted tasks count. The size that this job declares may be far off,
    and would never be corrected if the job were refused for it.

    :param ahead: estimated seconds at speed one of the jobs that go first
    :param capacity: sum of slots times speed of the service's targets
    :param allowed: time until the deadline
    """
    if capacity <= 0:
        return None
    wait = ahead / capacity
    if wait <= allowed.total_seconds():
        return None
    return Refusal(
        _jobs.Failure.OVERLOADED,
        f"the job would wait about {wait:.1f} s; try later or allow more",
    )
