"""Running tasks that take longer than tasks declared alike.

A task that has not ended yet says already that its target is at most so fast.
One such task may just be long, so a target's speed falls with the sum of what
its tasks are late.
"""

import datetime

import attrs

TOLERATED_RUNS = 3.0
PRIOR_RUNS = 8.0


@attrs.frozen
class _Running:
    """A task under way."""

    sent_at: datetime.datetime
    """When it was sent."""

    seconds: float
    """Expected run time on a target of speed one."""


class OverdueTasks:
    """Tasks under way by target."""

    def __init__(self) -> None:
        self._running: dict[str, dict[int, _Running]] = {}

    def start(
        self,
        agent: str,
        attempt: int,
        seconds: float,
        now: datetime.datetime,
    ) -> None:
        """Take in that a task was sent.

        :param seconds: expected run time on a target of speed one
        """
        self._running.setdefault(agent, {})[attempt] = _Running(now, seconds)

    def end(self, agent: str, attempt: int) -> None:
        """Take in that a task is no longer under way."""
        running = self._running.get(agent)
        if running is None:
            return
        running.pop(attempt, None)
        if not running:
            del self._running[agent]

    def lower_speed(
        self, agent: str, speed: float, now: datetime.datetime
    ) -> float:
        """Return the speed of a target in view of its overdue tasks.

        :param speed: speed learned from finished tasks
        """
        late = 0.0
        for task in self._running.get(agent, {}).values():
            elapsed = (now - task.sent_at).total_seconds()
            runs = elapsed * speed / task.seconds
            late += max(0.0, runs - TOLERATED_RUNS)
        return speed * PRIOR_RUNS / (PRIOR_RUNS + late)
