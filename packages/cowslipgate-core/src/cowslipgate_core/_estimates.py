"""Learned speeds of targets and corrections of declared sizes."""

import attrs

LEARNING_RATE = 0.1
MAX_SPEEDS = 10_000
MAX_CORRECTIONS = 1_000
MIN_RATIO = 0.01
MAX_RATIO = 100.0


@attrs.define
class Estimates:
    """Moving averages of speeds and declaration errors."""

    _speeds: dict[str, float] = attrs.Factory(dict)
    """Speed by agent; one is an average target."""

    _corrections: dict[str, float] = attrs.Factory(dict)
    """True over declared size at speed one, by kind."""

    def get_speed(self, agent: str) -> float:
        """Return the learned speed of an agent's target, one if unknown."""
        return self._speeds.get(agent, 1.0)

    def estimate_seconds(self, kind: str, size_ms: float) -> float:
        """Return the expected run time at speed one in seconds."""
        return size_ms / 1000 * self._corrections.get(kind, 1.0)

    def observe(
        self, agent: str, kind: str, size_ms: float, run_ms: float
    ) -> None:
        """Learn from a finished task.

        :param size_ms: declared size in milliseconds
        :param run_ms: run time at the target in milliseconds
        """
        expected = self.estimate_seconds(kind, size_ms) * 1000
        ratio = expected / self.get_speed(agent) / max(run_ms, 0.1)
        ratio = min(max(ratio, MIN_RATIO), MAX_RATIO)
        step = ratio**LEARNING_RATE
        if agent in self._speeds or len(self._speeds) < MAX_SPEEDS:
            self._speeds[agent] = self.get_speed(agent) * step
        known = self._corrections.get(kind)
        if known is not None or len(self._corrections) < MAX_CORRECTIONS:
            self._corrections[kind] = (known or 1.0) / step
