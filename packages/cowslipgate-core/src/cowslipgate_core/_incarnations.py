"""Incarnation numbers, which grow from one start of a process to the next."""

import secrets

from cowslipgate_core import _clock

RANDOM_BITS = 12


def make_incarnation(clock: _clock.Clock) -> int:
    """Return a number larger than that of any earlier start."""
    milliseconds = int(clock.now().timestamp() * 1000)
    return (milliseconds << RANDOM_BITS) | secrets.randbits(RANDOM_BITS)
