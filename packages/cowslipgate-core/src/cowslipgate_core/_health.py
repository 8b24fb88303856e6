"""Judges whether a target fails the tasks of many jobs in a row."""

import datetime

import attrs

FAILURES_TO_QUARANTINE = 4
JOBS_TO_QUARANTINE = 2
FIRST_QUARANTINE = datetime.timedelta(seconds=2)
LONGEST_QUARANTINE = datetime.timedelta(seconds=60)


@attrs.define
class FailureWindow:
    """Failures since the last success, and the time of the next try."""

    _failures: int = 0
    """Failures since the last success."""

    _jobs: set[str] = attrs.Factory(set)
    """Jobs that saw those failures."""

    _duration: datetime.timedelta = FIRST_QUARANTINE
    """Duration of the next quarantine."""

    _until: datetime.datetime | None = None
    """When the current quarantine ends."""

    @property
    def failing(self) -> bool:
        """Whether the target is to be quarantined."""
        return (
            self._failures >= FAILURES_TO_QUARANTINE
            and len(self._jobs) >= JOBS_TO_QUARANTINE
        )

    def note_success(self) -> None:
        """Take in a finished task."""
        self._failures = 0
        self._jobs.clear()
        self._duration = FIRST_QUARANTINE

    def note_failure(self, job: str, now: datetime.datetime) -> None:
        """Take in a failed task of ``job``."""
        self._failures += 1
        if len(self._jobs) < JOBS_TO_QUARANTINE:
            self._jobs.add(job)

    def quarantine(self, now: datetime.datetime) -> None:
        """Begin a quarantine, twice as long as the one before."""
        self._until = now + self._duration
        self._duration = min(self._duration * 2, LONGEST_QUARANTINE)

    def may_try(self, now: datetime.datetime) -> bool:
        """Tell whether the quarantine is over."""
        return self._until is not None and now >= self._until
