"""Exact estimates, to compare with those that entries learn."""

from collections.abc import Callable
import math

import cowslipgate_core as core


class ExactEstimates(core.Estimates):
    """Estimates from each task's true size and each target's true speed.

    :param find_speed: returns the current speed of an agent's target
    """

    def __init__(self, find_speed: Callable[[str], float]) -> None:
        super().__init__()
        self._find_speed = find_speed

    def get_speed(self, agent: str, kind: str | None = None) -> float:
        """Return the current speed of a target, the same for all kinds."""
        return self._find_speed(agent)

    def estimate_size(
        self, team: str, kind: str, size_ms: float
    ) -> core.SizeEstimate:
        """Return the declared size in seconds; here it is the true one."""
        seconds = size_ms / 1_000
        return core.SizeEstimate(seconds, seconds, math.log(seconds))

    def observe(
        self,
        agent: str,
        team: str,
        kind: str,
        size_ms: float,
        run_ms: float,
        excess: float = 1.0,
    ) -> float | None:
        """Ignore the run: the estimates are exact."""
        return None
