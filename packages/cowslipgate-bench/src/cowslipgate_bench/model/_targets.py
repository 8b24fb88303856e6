"""Simulated targets."""

import random

import attrs
import cowslipgate_core as core

from cowslipgate_bench.model import _loop
from cowslipgate_bench.model import _sites

SLOW_FACTOR = 5.0
"""Multiple of the run time at a slow target; the users' figure."""

FAILURE_SECONDS = 0.02
"""Time until a run at a failing target fails."""

FAULTY_SPEED = 0.001
"""Speed that exact estimates give a target on which no run succeeds."""

LOSS_DETECTION_SECONDS = 0.2
"""Time until an agent is certain that a lost order runs nowhere."""


@attrs.frozen
class Run:
    """Duration and outcome of a simulated run."""

    seconds: float
    """Seconds until it ends, unless it is stopped."""

    outcome: core.Outcome = core.Outcome.FINISHED
    """Outcome at its end."""


@attrs.define(eq=False)
class Target:
    """A simulated target and its fault."""

    speed: float
    """Relative speed; two halves the run time."""

    millicores: int
    """Processor time that its tasks share, in thousandths of a core."""

    loop: _loop.Loop
    """Virtual clock."""

    rng: random.Random
    """Random generator that chooses lost orders."""

    fault: _sites.Fault = _sites.Fault.NONE
    """Fault from ``begin`` to ``end``."""

    share: float = 0.0
    """Share of the orders that are lost, for LOST_ORDERS."""

    begin: float = 0.0
    """Virtual seconds at which the fault begins."""

    end: float = 0.0
    """Virtual seconds at which the fault ends."""

    def start_run(self, seconds: float) -> Run:
        """Return the run of an order that arrives now.

        :param seconds: run time at speed one
        """
        now = self.loop.elapsed
        run_seconds = seconds / self.speed
        match self._get_active_fault():
            case _sites.Fault.SLOW:
                return Run(run_seconds * SLOW_FACTOR)
            case _sites.Fault.HANG:
                return Run(self.end - now + run_seconds)
            case _sites.Fault.FAIL:
                return Run(FAILURE_SECONDS, core.Outcome.FAILED)
            case _sites.Fault.LOST_ORDERS:
                if self.rng.random() < self.share:
                    return Run(LOSS_DETECTION_SECONDS, core.Outcome.LOST)
        return Run(run_seconds)

    def get_current_speed(self) -> float:
        """Return the current speed; near zero while no run succeeds."""
        match self._get_active_fault():
            case _sites.Fault.SLOW:
                return self.speed / SLOW_FACTOR
            case _sites.Fault.HANG | _sites.Fault.FAIL:
                return FAULTY_SPEED
        return self.speed

    def _get_active_fault(self) -> _sites.Fault:
        active = self.begin <= self.loop.elapsed < self.end
        return self.fault if active else _sites.Fault.NONE
