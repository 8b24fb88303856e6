"""Runs that take so long that their target must be to blame.

Such a run is stopped, where its job's terms allow it to run again, and its
task goes to another target.
"""

import datetime

from cowslipgate_core.placement import _backlog
from cowslipgate_core.placement import _room
from cowslipgate_core.placement import _targets

STALL_FACTOR = 4.0
"""Multiple of the run time that few tasks exceed. On the users' workloads the
longest of 10,000 runs takes some three times as long as few exceed."""

LEAST_STALL = datetime.timedelta(milliseconds=300)
"""Time before which no run counts as stalled: what finds out, stops and
starts again takes some 20 ms, and the shortest tasks vary most."""


def is_stalled(
    task: _backlog.WaitingTask, speed: float, elapsed: datetime.timedelta
) -> bool:
    """Tell whether a run has stalled.

    :param speed: what its target has shown before
    :param elapsed: time since it was sent
    """
    expected = STALL_FACTOR * task.upper_seconds / speed
    return elapsed >= LEAST_STALL and elapsed.total_seconds() > expected


def has_other_place(
    task: _backlog.WaitingTask,
    agent: str,
    pool: _targets.Pool,
    now: datetime.datetime,
) -> bool:
    """Tell whether another target has room for the task."""
    return any(
        view.agent != agent and _room.fits_resources(view.offer, task.needs)
        for view in pool.iterate_open(now)
    )
