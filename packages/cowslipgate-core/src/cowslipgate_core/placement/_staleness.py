"""Correction of target loads for the age of the last report.

An entry receives a target's load when one of its own tasks ends there. Until
then tasks of other entries end too, and new ones replace some of them.
"""

import datetime
import math

DECAY_TIME = datetime.timedelta(seconds=1)
"""Time constant with which tasks end on a target of speed one."""

REPLACED_SHARE = 0.5
"""Share of ended tasks that other entries replace by new ones."""

MIN_UPDATE_INTERVAL = datetime.timedelta(milliseconds=100)

UPDATE_INTERVAL_PER_TARGET = datetime.timedelta(microseconds=250)
"""Update interval per target, since an update visits each of them."""


def expect_others(others: int, age: datetime.timedelta, speed: float) -> float:
    """Return the expected number of tasks of other entries at a target.

    :param others: their number in the last load received
    :param age: time since that load was received
    :param speed: learned speed of the target
    """
    running = math.exp(-max(0.0, age / DECAY_TIME) * speed)
    return others * (running + (1 - running) * REPLACED_SHARE)


def choose_update_interval(targets: int) -> datetime.timedelta:
    """Return the interval between load updates of a pool.

    :param targets: number of targets in the pool
    """
    return max(MIN_UPDATE_INTERVAL, targets * UPDATE_INTERVAL_PER_TARGET)
