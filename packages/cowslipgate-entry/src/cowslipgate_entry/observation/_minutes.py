"""Slot time by the minute, as the supplier bills it."""

import datetime

import attrs

MINUTE = datetime.timedelta(minutes=1)


@attrs.frozen
class Minute:
    """Slot-seconds of one minute."""

    used: float = 0.0
    """Of all tasks that ended."""

    needed: float = 0.0
    """Of the tasks of complete jobs."""

    def to_labels(self) -> dict[tuple[str, ...], float]:
        """Return the values by label."""
        return {("used",): self.used, ("needed",): self.needed}


@attrs.define
class Minutes:
    """Slot-seconds by the minute in which tasks ended."""

    last: Minute = Minute()
    """Last whole minute."""

    busiest: Minute = Minute()
    """Whole minute in which most was used."""

    _used: float = 0.0
    """Slot-seconds used in the minute under way."""

    _needed: float = 0.0
    """Slot-seconds needed in the minute under way."""

    _ends_at: datetime.datetime | None = None
    """End of the minute under way, or None before the first."""

    def turn(self, now: datetime.datetime) -> None:
        """Begin another minute when the time has come."""
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
        """Add the slot time of a task that ended."""
        self.turn(now)
        self._used += seconds

    def add_needed(self, seconds: float, now: datetime.datetime) -> None:
        """Add the slot time of a complete job."""
        self.turn(now)
        self._needed += seconds
