"""The clock interface, a system clock and a clock for tests.

A clock tells two kinds of time, which a suspension of the VM drives apart.
They have different types, so that neither passes for the other.
"""

import abc
import datetime
import time


class Clock(abc.ABC):
    """Source of the current time and of steady time."""

    @abc.abstractmethod
    def now(self) -> datetime.datetime:
        """Return the current time in UTC, which never goes backwards.

        It counts suspensions, as the clocks of others do meanwhile. It dates
        what others may have done: deadlines, silences, ages of what is known.
        """

    @abc.abstractmethod
    def read_steady(self) -> datetime.timedelta:
        """Return the time since an arbitrary moment without suspensions.

        It measures what stands still with the VM: work on it, and the leases
        that a target beside this process counts down.
        """


class SystemClock(Clock):
    """Wall-clock time at construction plus the time since then.

    Source: ``CLOCK_BOOTTIME``, which counts suspensions, and
    ``CLOCK_MONOTONIC``, which doesn't.
    """

    def __init__(self) -> None:
        self._origin = datetime.datetime.now(datetime.UTC)
        self._started = time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime.datetime:
        """Return the current time in UTC."""
        elapsed = time.clock_gettime(time.CLOCK_BOOTTIME) - self._started
        return self._origin + datetime.timedelta(seconds=elapsed)

    def read_steady(self) -> datetime.timedelta:
        """Return the steady time of the kernel."""
        return datetime.timedelta(seconds=time.monotonic())


class ManualClock(Clock):
    """A clock for tests, which changes only by its methods."""

    def __init__(self) -> None:
        self._now = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
        self._steady = datetime.timedelta(hours=1)

    def now(self) -> datetime.datetime:
        """Return the time that the clock is set to, in UTC."""
        return self._now

    def read_steady(self) -> datetime.timedelta:
        """Return the steady time that the clock is set to."""
        return self._steady

    def advance(self, duration: datetime.timedelta) -> None:
        """Move both times forward by ``duration``."""
        self._now += duration
        self._steady += duration

    def suspend(self, duration: datetime.timedelta) -> None:
        """Move forward only what counts suspensions."""
        self._now += duration
