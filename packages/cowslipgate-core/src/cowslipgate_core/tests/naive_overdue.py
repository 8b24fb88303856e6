"""Naive twin of the overdue tasks: a list of all that ever happened."""

import datetime


class OverdueTwin:
    """Starts and ends in the order in which they were told."""

    def __init__(self) -> None:
        self._events: list[tuple] = []

    def start(
        self,
        agent: str,
        attempt: int,
        seconds: float,
        now: datetime.datetime,
    ) -> None:
        """Note a start."""
        self._events.append(("start", agent, attempt, seconds, now))

    def end(self, agent: str, attempt: int) -> None:
        """Note an end."""
        self._events.append(("end", agent, attempt))

    def lower_speed(
        self, agent: str, speed: float, now: datetime.datetime
    ) -> float:
        """Return the speed by a scan of everything."""
        late = 0.0
        for number, event in enumerate(self._events):
            later = [other[:3] for other in self._events[number + 1 :]]
            if event[0] != "start" or event[1] != agent:
                continue
            attempt = event[2]
            if ("end", agent, attempt) in later:
                continue
            if ("start", agent, attempt) in later:
                continue
            expected = event[3] / speed
            runs = (now - event[4]) / datetime.timedelta(seconds=expected)
            if runs > 3:
                late += runs - 3
        return speed / (1 + late / 8)
