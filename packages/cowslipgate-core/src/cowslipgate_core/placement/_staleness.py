"""What an old view of a target's load is still worth.

An entry hears of a target when a task of its own ends there. Until then the
tasks of other entries end too, and some follow them.
"""

import datetime
import math

DECAY = datetime.timedelta(seconds=1)
LASTING_SHARE = 0.5
LEAST_INTERVAL = datetime.timedelta(milliseconds=100)
INTERVAL_PER_TARGET = datetime.timedelta(microseconds=250)


def expect_others(others: int, age: datetime.timedelta, speed: float) -> float:
    """Return how many tasks of other entries a target is likely to have.

    :param others: number of them when the target was last heard of
    :param age: time since then
    :param speed: speed of the target
    """
    kept = math.exp(-max(0.0, age / DECAY) * speed)
    return others * (kept + (1 - kept) * LASTING_SHARE)


def choose_interval(targets: int) -> datetime.timedelta:
    """Return how often the views of so many targets are brought up to date."""
    return max(LEAST_INTERVAL, targets * INTERVAL_PER_TARGET)
