"""The clock interface and its implementation by the system's clock."""

import abc
import datetime
import time


class Clock(abc.ABC):
    """Source of the current time."""

    @abc.abstractmethod
    def now(self) -> datetime.datetime:
        """Return the current instant in UTC, never earlier than before."""


class SystemClock(Clock):
    """Wall-clock time at construction, advanced by the monotonic clock."""

    def __init__(self) -> None:
        self._origin = datetime.datetime.now(datetime.UTC)
        self._started = time.monotonic()

    def now(self) -> datetime.datetime:
        """Return the current instant in UTC."""
        elapsed = time.monotonic() - self._started
        return self._origin + datetime.timedelta(seconds=elapsed)


class ManualClock(Clock):
    """A clock that stands still until it is advanced, for tests."""

    def __init__(self) -> None:
        self._now = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)

    def now(self) -> datetime.datetime:
        """Return the instant that the clock was advanced to."""
        return self._now

    def advance(self, duration: datetime.timedelta) -> None:
        """Move the clock forward by ``duration``."""
        self._now += duration
