"""Jobs whose callers must have been seen lately for their tasks to run.

A caller whose connection broke submits its job again elsewhere, and the news
of the break may be lost. So a job counts on its caller only for a limited time
after the caller was last known to be connected.
"""

from collections.abc import Iterable
import datetime

from cowslipgate_core.jobs import _jobs

_NEVER = datetime.datetime.max.replace(tzinfo=datetime.UTC)


class CallerWatch:
    """Finds the jobs whose callers have not been seen for too long.

    :param limit: time since a caller was last known to be connected; None if
        callers are not probed
    """

    def __init__(self, limit: datetime.timedelta | None) -> None:
        self._limit = limit
        # No job that is not suspended expires before this time.
        self._next_expiry = _NEVER

    def add(self, job: _jobs.Job) -> None:
        """Consider a job that was submitted or resumed."""
        if self._limit is not None and job.caller_seen_at is not None:
            expiry = job.caller_seen_at + self._limit
            self._next_expiry = min(self._next_expiry, expiry)

    def is_seen(self, job: _jobs.Job, now: datetime.datetime) -> bool:
        """Return whether the caller of a job was seen lately."""
        if self._limit is None or job.caller_seen_at is None:
            return True
        return now - job.caller_seen_at <= self._limit

    def list_unseen(
        self, jobs: Iterable[_jobs.Job], now: datetime.datetime
    ) -> list[_jobs.Job]:
        """Return the jobs to suspend.

        :param jobs: all jobs that are not answered
        """
        if now <= self._next_expiry:
            return []
        self._next_expiry = _NEVER
        unseen = []
        for job in jobs:
            if job.suspended or job.failure is not None:
                continue
            if self.is_seen(job, now):
                self.add(job)
            else:
                unseen.append(job)
        return unseen
