"""The clock interface, a system clock and a clock for tests."""

import abc
import datetime
import time


class Clock(abc.ABC):
    """Source of the current time."""

    @abc.abstractmethod
    def now(self) -> datetime.datetime:
        """Return the current time in UTC, which never goes backwards."""


class SystemClock(Clock):
    """Wall-clock time at construction plus steady time since then.

    The steady time includes that for which the VM was suspended.
    """

    def __init__(self) -> None:
        self._origin = datetime.datetime.now(datetime.UTC)
        self._started = time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime.datetime:
        """Return the current time in UTC."""
        elapsed = time.clock_gettime(time.CLOCK_BOOTTIME) - self._started
        return self._origin + datetime.timedelta(seconds=elapsed)


class ManualClock(Clock):
    """A clock for tests, which changes only by ``advance``."""

    def __init__(self) -> None:
        self._now = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)

    def now(self) -> datetime.datetime:
        """Return the time that the clock is set to, in UTC."""
        return self._now

    def advance(self, duration: datetime.timedelta) -> None:
        """Move the clock forward by ``duration``."""
        self._now += duration
