"""Incarnation numbers, which increase with each start of a process."""

import secrets

from cowslipgate_core import _clock

RANDOM_BITS = 12
"""Random low bits, so that starts in one millisecond rarely collide."""


def make_incarnation(clock: _clock.Clock) -> int:
    """Return a number larger than those made in earlier milliseconds."""
    milliseconds = int(clock.now().timestamp() * 1000)
    return (milliseconds << RANDOM_BITS) | secrets.randbits(RANDOM_BITS)
