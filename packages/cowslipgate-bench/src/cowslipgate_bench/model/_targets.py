"""Played targets."""

import random

import attrs
import cowslipgate_core as core

from cowslipgate_bench.model import _loop
from cowslipgate_bench.model import _sites

SLOW_FACTOR = 5.0
"""Multiple of the run time at a slow target, as on the users' days."""

FAILING_SECONDS = 0.02
"""Time that a run takes which fails at once."""

USELESS_SPEED = 0.001
"""Speed of a target that ends nothing well, for whoever knows of it."""

LOST_SECONDS = 0.2
"""Time until an agent knows for certain that a lost order runs nowhere."""


@attrs.frozen
class Run:
    """What becomes of an order."""

    seconds: float
    """Time until it ends, unless it is stopped."""

    outcome: core.Outcome = core.Outcome.FINISHED
    """How it ends."""


@attrs.define(eq=False)
class Target:
    """A target with its trouble."""

    speed: float
    """A speed of two halves the run time."""

    millicores: int
    """Processor time that its tasks share."""

    loop: _loop.Loop
    """The clock."""

    source: random.Random
    """Source of what happens by chance."""

    trouble: _sites.Trouble = _sites.Trouble.NONE
    """What strikes it."""

    share: float = 0.0
    """Share of the orders that it strikes."""

    begin: float = 0.0
    """Second of the day at which that begins."""

    end: float = 0.0
    """Second of the day at which that ends."""

    def order(self, seconds: float) -> Run:
        """Return what becomes of an order that comes now.

        :param seconds: run time at speed one
        """
        now = self.loop.elapsed
        alone = seconds / self.speed
        match self._find_trouble():
            case _sites.Trouble.SLOW:
                return Run(alone * SLOW_FACTOR)
            case _sites.Trouble.HANG:
                return Run(self.end - now + alone)
            case _sites.Trouble.FAIL:
                return Run(FAILING_SECONDS, core.Outcome.FAILED)
            case _sites.Trouble.LOST_ORDERS:
                if self.source.random() < self.share:
                    return Run(LOST_SECONDS, core.Outcome.LOST)
        return Run(alone)

    def get_present_speed(self) -> float:
        """Return the speed that orders meet now, next to none in a trouble."""
        match self._find_trouble():
            case _sites.Trouble.SLOW:
                return self.speed / SLOW_FACTOR
            case _sites.Trouble.HANG | _sites.Trouble.FAIL:
                return USELESS_SPEED
        return self.speed

    def _find_trouble(self) -> _sites.Trouble:
        struck = self.begin <= self.loop.elapsed < self.end
        return self.trouble if struck else _sites.Trouble.NONE
