"""Estimates that know: what a scheduler could do that learns nothing."""

from collections.abc import Callable
import math

import cowslipgate_core as core


class KnownEstimates(core.Estimates):
    """True sizes, declared by each task for itself, and true speeds.

    :param find_speed: returns the speed of an agent's target as it is now
    """

    def __init__(self, find_speed: Callable[[str], float]) -> None:
        super().__init__()
        self._find_speed = find_speed

    def get_speed(self, agent: str, kind: str | None = None) -> float:
        """Return a target's speed, the same for all kinds."""
        return self._find_speed(agent)

    def estimate_size(
        self, team: str, kind: str, size_ms: float
    ) -> core.SizeEstimate:
        """Return the declared size, which is true."""
        seconds = size_ms / 1_000
        return core.SizeEstimate(seconds, seconds, math.log(seconds))

    def observe(
        self, agent: str, team: str, kind: str, size_ms: float, run_ms: float
    ) -> None:
        """Learn nothing: all is known."""
