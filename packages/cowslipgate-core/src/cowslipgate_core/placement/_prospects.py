"""Whether a job can still be done before its deadline."""

from collections.abc import Iterable
import datetime

from cowslipgate_core.placement import _sizes

SHORTEST_SHARE = 0.5
"""Share of the mean run time within which few tasks end."""

MIN_CONFIDENCE = 0.5
"""Weight of finished tasks in an estimate from which on it can be relied on.
A declaration alone may be far off, and would never be corrected if jobs were
refused for it."""


def can_end(
    sizes: Iterable[_sizes.SizeEstimate],
    speed: float,
    left: datetime.timedelta,
) -> bool:
    """Return whether tasks may end in time if all of them start now.

    :param sizes: estimates of the tasks
    :param speed: speed of the fastest target
    :param left: time until the deadline
    """
    reachable = left.total_seconds() * speed
    return not any(
        size.confidence >= MIN_CONFIDENCE
        and size.mean_seconds * SHORTEST_SHARE > reachable
        for size in sizes
    )
