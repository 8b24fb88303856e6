"""Running tasks that take longer than tasks with the same declaration.

The elapsed time of a running task already bounds its target's speed from
above. A single late task may just be long, so a target's speed is reduced by
the total lateness of its tasks.
"""

import datetime

import attrs

TOLERATED_RUN_TIMES = 3.0
"""Multiple of the expected run time from which on a task is late."""

HALVING_LATENESS = 8.0
"""Total lateness, in expected run times, that halves a target's speed."""


@attrs.frozen
class _Running:
    """A task that was sent and has not ended."""

    sent_at: datetime.datetime
    """When the entry sent it."""

    seconds: float
    """Expected run time in seconds on a target of speed one."""


class OverdueTasks:
    """Running tasks by agent, and what they imply for its target's speed."""

    def __init__(self) -> None:
        self._running: dict[str, dict[int, _Running]] = {}

    def start(
        self,
        agent: str,
        attempt: int,
        seconds: float,
        now: datetime.datetime,
    ) -> None:
        """Record that an attempt was sent.

        :param seconds: expected run time in seconds on a target of speed one
        """
        self._running.setdefault(agent, {})[attempt] = _Running(now, seconds)

    def end(self, agent: str, attempt: int) -> None:
        """Record that an attempt has ended; unknown ones are ignored."""
        running = self._running.get(agent)
        if running is None:
            return
        running.pop(attempt, None)
        if not running:
            del self._running[agent]

    def list_remaining(
        self, agent: str, speed: float, now: datetime.datetime
    ) -> list[float]:
        """Return the seconds that each task at a target is expected to run.

        A task that is late is expected to take as long again as it is late,
        so that nothing waits for a stalled one for long.

        :param speed: speed of the target
        """
        return [
            abs(task.seconds / speed - (now - task.sent_at).total_seconds())
            for task in self._running.get(agent, {}).values()
        ]

    def lower_speed(
        self, agent: str, speed: float, now: datetime.datetime
    ) -> float:
        """Return the speed of a target, reduced for its overdue tasks.

        :param speed: speed learned from finished tasks
        """
        lateness = 0.0
        for task in self._running.get(agent, {}).values():
            elapsed = (now - task.sent_at).total_seconds()
            run_times = elapsed * speed / task.seconds
            lateness += max(0.0, run_times - TOLERATED_RUN_TIMES)
        return speed * HALVING_LATENESS / (HALVING_LATENESS + lateness)
