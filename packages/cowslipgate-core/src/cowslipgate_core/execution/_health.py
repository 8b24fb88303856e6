"""Detection of targets that fail the tasks of several jobs in a row."""

import datetime

import attrs

FAILURE_MEMORY = datetime.timedelta(seconds=60)
"""Time after which a failed job no longer counts."""

JOBS_TO_QUARANTINE = 3
FIRST_QUARANTINE = datetime.timedelta(seconds=2)
LONGEST_QUARANTINE = datetime.timedelta(seconds=60)


@attrs.define
class FailureWindow:
    """Jobs that failed since the last success, and the current quarantine.

    A job counts once, so one job with faulty tasks does not quarantine the
    target. A success counts only if its task started after the failures
    began; an earlier task does not show the target's present state.
    """

    _jobs: dict[str, datetime.datetime] = attrs.Factory(dict)
    """Time of the latest failure, by job."""

    _failing_since: datetime.datetime | None = None
    """Start of the first failed task, or None after a success."""

    _duration: datetime.timedelta = FIRST_QUARANTINE
    """Duration of the next quarantine."""

    _until: datetime.datetime | None = None
    """End of the latest quarantine, or None after a success."""

    @property
    def failing(self) -> bool:
        """Whether enough jobs failed to quarantine the target."""
        return len(self._jobs) >= JOBS_TO_QUARANTINE

    def record_success(self, started_at: datetime.datetime) -> None:
        """Record a finished task; it ends the failures unless it is older."""
        since = self._failing_since
        if since is not None and started_at < since:
            return
        self._clear()
        self._duration = FIRST_QUARANTINE
        self._until = None

    def record_failure(
        self, job: str, started_at: datetime.datetime, now: datetime.datetime
    ) -> None:
        """Record a failed task of ``job``."""
        self._expire(now)
        if not self._jobs:
            self._failing_since = started_at
        if job in self._jobs or not self.failing:
            self._jobs[job] = now

    def quarantine(self, now: datetime.datetime) -> None:
        """Begin a quarantine and double the next one, up to the limit."""
        self._until = now + self._duration
        self._duration = min(self._duration * 2, LONGEST_QUARANTINE)

    def is_quarantined(self, now: datetime.datetime) -> bool:
        """Return whether a quarantine is in force."""
        return self._until is not None and now < self._until

    def allows_probation(self, now: datetime.datetime) -> bool:
        """Return whether no quarantine is in force."""
        return not self.is_quarantined(now)

    def _expire(self, now: datetime.datetime) -> None:
        for job, failed_at in list(self._jobs.items()):
            if now - failed_at > FAILURE_MEMORY:
                del self._jobs[job]

    def _clear(self) -> None:
        self._jobs.clear()
        self._failing_since = None
