"""Slot time by the minute, as the supplier bills it."""

import datetime

import attrs

SECONDS_PER_MINUTE = 60


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

    number: int = 0
    """Minutes since the epoch."""

    current: Minute = Minute()
    """Minute under way."""

    last: Minute = Minute()
    """Last whole minute."""

    busiest: Minute = Minute()
    """Whole minute in which most was used."""

    def turn(self, now: datetime.datetime) -> None:
        """Begin another minute when the time has come."""
        number = int(now.timestamp()) // SECONDS_PER_MINUTE
        if number == self.number:
            return
        if self.current.used > self.busiest.used:
            self.busiest = self.current
        follows = number == self.number + 1
        self.last = self.current if follows else Minute()
        self.current = Minute()
        self.number = number

    def add_used(self, seconds: float, now: datetime.datetime) -> None:
        """Add the slot time of a task that ended."""
        self.turn(now)
        used = self.current.used + seconds
        self.current = attrs.evolve(self.current, used=used)

    def add_needed(self, seconds: float, now: datetime.datetime) -> None:
        """Add the slot time of a complete job."""
        self.turn(now)
        needed = self.current.needed + seconds
        self.current = attrs.evolve(self.current, needed=needed)
