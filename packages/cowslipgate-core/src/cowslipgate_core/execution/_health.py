"""Judges whether a target fails the tasks of many jobs in a row."""

import datetime

import attrs

FAILURE_MEMORY = datetime.timedelta(seconds=60)
JOBS_TO_QUARANTINE = 3
FIRST_QUARANTINE = datetime.timedelta(seconds=2)
LONGEST_QUARANTINE = datetime.timedelta(seconds=60)


@attrs.define
class FailureWindow:
    """Jobs that failed since the last success, and the time of the next try.

    A job counts once, so a job whose every task is bad does not make a target
    look broken. A success counts when its task started after the failures
    began; tasks that started before say nothing about the target now.
    """

    _jobs: dict[str, datetime.datetime] = attrs.Factory(dict)
    """When a task of each failed job last failed."""

    _failing_since: datetime.datetime | None = None
    """When the first of the failed tasks started."""

    _duration: datetime.timedelta = FIRST_QUARANTINE
    """Duration of the next quarantine."""

    _until: datetime.datetime | None = None
    """When the current quarantine ends."""

    @property
    def failing(self) -> bool:
        """Whether the target is to be quarantined."""
        return len(self._jobs) >= JOBS_TO_QUARANTINE

    def note_success(self, started_at: datetime.datetime) -> None:
        """Take in a finished task."""
        since = self._failing_since
        if since is not None and started_at < since:
            return
        self._clear()
        self._duration = FIRST_QUARANTINE
        self._until = None

    def note_failure(
        self, job: str, started_at: datetime.datetime, now: datetime.datetime
    ) -> None:
        """Take in a failed task of ``job``."""
        self._expire(now)
        if not self._jobs:
            self._failing_since = started_at
        if job in self._jobs or not self.failing:
            self._jobs[job] = now

    def quarantine(self, now: datetime.datetime) -> None:
        """Begin a quarantine, twice as long as the one before."""
        self._until = now + self._duration
        self._duration = min(self._duration * 2, LONGEST_QUARANTINE)

    def is_quarantined(self, now: datetime.datetime) -> bool:
        """Tell whether a quarantine is under way."""
        return self._until is not None and now < self._until

    def may_try(self, now: datetime.datetime) -> bool:
        """Tell whether the quarantine is over."""
        return not self.is_quarantined(now)

    def _expire(self, now: datetime.datetime) -> None:
        for job, failed_at in list(self._jobs.items()):
            if now - failed_at > FAILURE_MEMORY:
                del self._jobs[job]

    def _clear(self) -> None:
        self._jobs.clear()
        self._failing_since = None
