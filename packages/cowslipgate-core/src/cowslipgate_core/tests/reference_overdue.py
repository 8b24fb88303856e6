"""Reference implementation of overdue tasks: a log of all events."""

import datetime


class ReferenceOverdueTasks:
    """Starts and ends in the order of their calls."""

    def __init__(self) -> None:
        self._events: list[tuple] = []

    def start(
        self,
        agent: str,
        attempt: int,
        seconds: float,
        now: datetime.datetime,
    ) -> None:
        """Record a start."""
        self._events.append(("start", agent, attempt, seconds, now))

    def end(self, agent: str, attempt: int) -> None:
        """Record an end."""
        self._events.append(("end", agent, attempt))

    def lower_speed(
        self, agent: str, speed: float, now: datetime.datetime
    ) -> float:
        """Return the speed, computed from all events."""
        lateness = 0.0
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
            run_times = (now - event[4]) / datetime.timedelta(seconds=expected)
            if run_times > 3:
                lateness += run_times - 3
        return speed / (1 + lateness / 8)
