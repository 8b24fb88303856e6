"""Decisions whether a job may enter; each refusal means "not run"."""

import datetime

import attrs

from cowslipgate_core.configuration import _configuration
from cowslipgate_core.jobs import _jobs
from cowslipgate_core.messages import _resources
from cowslipgate_core.placement import _room

VIEW_SETTLES_AFTER = datetime.timedelta(seconds=15)
OFFERS_KEPT_FOR = datetime.timedelta(minutes=10)
MAX_OFFERS = 1_000


@attrs.frozen
class Refusal:
    """Why a job was not taken."""

    failure: _jobs.Failure
    """Kind of refusal."""

    message: str
    """What the caller can do."""

    path: str = ""
    """Path of the offending value in the job, or empty."""


@attrs.define
class OfferBook:
    """What targets have offered of late, those now absent included.

    A target that restarts offers the same again, so its absence proves
    nothing; neither does the view of an entry that has just started.
    """

    _seen: dict[tuple[str, _resources.Resources], datetime.datetime] = (
        attrs.Factory(dict)
    )
    """When each offer was last announced, by service and resources."""

    _since: datetime.datetime | None = None
    """When the first announcement came."""

    def note(
        self,
        service: str,
        resources: _resources.Resources,
        now: datetime.datetime,
    ) -> None:
        """Take in an announcement."""
        if self._since is None:
            self._since = now
        if len(self._seen) >= MAX_OFFERS:
            self._forget_old(now)
        if len(self._seen) < MAX_OFFERS or (service, resources) in self._seen:
            self._seen[service, resources] = now

    def find_infeasible(
        self, service: str, request: _jobs.JobRequest, now: datetime.datetime
    ) -> int | None:
        """Return the index of a task that provably no target can run.

        None is returned while nothing is proved.
        """
        offers = self._get_offers(service, now)
        if not offers or not self.is_settled(now):
            return None
        for index, task in enumerate(request.tasks):
            if not any(
                _room.fits_resources(offer, task.needs) for offer in offers
            ):
                return index
        return None

    def is_settled(self, now: datetime.datetime) -> bool:
        """Tell whether what is missing here proves anything."""
        if self._since is None or len(self._seen) >= MAX_OFFERS:
            return False
        return now - self._since >= VIEW_SETTLES_AFTER

    def _get_offers(
        self, service: str, now: datetime.datetime
    ) -> list[_resources.Resources]:
        return [
            resources
            for (name, resources), seen in self._seen.items()
            if name == service and now - seen <= OFFERS_KEPT_FOR
        ]

    def _forget_old(self, now: datetime.datetime) -> None:
        self._seen = {
            offer: seen
            for offer, seen in self._seen.items()
            if now - seen <= OFFERS_KEPT_FOR
        }


@attrs.define
class FeasibilityWatch:
    """Jobs that were taken before anything was proved of the targets."""

    _waiting: dict[str, _jobs.Job] = attrs.Factory(dict)
    """Those jobs by id."""

    def add(self, job: _jobs.Job) -> None:
        """Take in a job that is not known to be infeasible."""
        self._waiting[job.id] = job

    def __len__(self) -> int:
        return len(self._waiting)

    def forget(self, job_id: str) -> None:
        """Take in that a job was answered."""
        self._waiting.pop(job_id, None)

    def take_infeasible(
        self, book: OfferBook, now: datetime.datetime
    ) -> list[tuple[_jobs.Job, int]]:
        """Return the jobs now proved infeasible, each with a task's index."""
        if not self._waiting or not book.is_settled(now):
            return []
        found = []
        for job in self._waiting.values():
            index = book.find_infeasible(job.service, job.request, now)
            if index is not None:
                found.append((job, index))
        self._waiting.clear()
        return found


def check_limits(
    service: _configuration.Service, tasks: int, waiting: int
) -> Refusal | None:
    """Return the refusal of a job that is too large, or None.

    :param tasks: tasks of the job
    :param waiting: tasks of the service that wait at this entry
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

    Only tasks already taken count: what this job declares of itself may be
    far off, and would never be learned if it were refused for it.

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
