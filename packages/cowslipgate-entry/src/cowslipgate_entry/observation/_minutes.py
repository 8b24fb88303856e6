"""Slot time by minute, the unit in which the supplier bills it."""

import datetime

import attrs

MINUTE = datetime.timedelta(minutes=1)


@attrs.frozen
class Minute:
    """Slot-seconds of one clock minute."""

    used: float = 0.0
    """Slot-seconds of all tasks that ended."""

    needed: float = 0.0
    """Slot-seconds of the tasks of complete jobs."""

    def to_labels(self) -> dict[tuple[str, ...], float]:
        """Return the slot-seconds by value of the label ``use``."""
        return {("used",): self.used, ("needed",): self.needed}


@attrs.define
class Minutes:
    """Slot-seconds, counted in the minute in which a task or job ended."""

    last: Minute = Minute()
    """Last whole minute, zero if no task ended in it."""

    busiest: Minute = Minute()
    """Whole minute with the most slot time used since the start."""

    _used: float = 0.0
    """Slot-seconds used in the current minute."""

    _needed: float = 0.0
    """Slot-seconds needed in the current minute."""

    _ends_at: datetime.datetime | None = None
    """End of the current minute, or None before the first call."""

    def advance(self, now: datetime.datetime) -> None:
        """Start a new minute once the current one has ended."""
        if self._ends_at is not None and now < self._ends_at:
            return
        ended = Minute(self._used, self._needed)
        if ended.used > self.busiest.used:
            self.busiest = ended
        start = now.replace(second=0, microsecond=0)
        self.last = ended if start == self._ends_at else Minute()
        self._used = self._needed = 0.0
        self._ends_at = start + MINUTE

    def add_used(self, seconds: float, now: datetime.datetime) -> None:
        """Add the slot-seconds of a task that ended."""
        self.advance(now)
        self._used += seconds

    def add_needed(self, seconds: float, now: datetime.datetime) -> None:
        """Add the slot-seconds of a complete job."""
        self.advance(now)
        self._needed += seconds
