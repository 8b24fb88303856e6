"""Detection of stalled runs: so long that the target is likely at fault.

If its job's terms allow a rerun, a stalled run is stopped and its task is
sent to another target.
"""

import datetime

from cowslipgate_core.placement import _backlog
from cowslipgate_core.placement import _room
from cowslipgate_core.placement import _targets

STALL_FACTOR = 4.0
"""Multiple of a task's ``upper_seconds`` at which its run counts as stalled.
On the users' workloads the longest of 10,000 runs takes about three times
``upper_seconds``."""

MIN_STALL_TIME = datetime.timedelta(milliseconds=300)
"""Run time below which no run counts as stalled: detecting, stopping and
restarting take about 20 ms, and the shortest tasks vary most."""


def is_stalled(
    task: _backlog.WaitingTask, speed: float, elapsed: datetime.timedelta
) -> bool:
    """Return whether a run has stalled.

    :param speed: its target's speed, learned from finished runs
    :param elapsed: time since the attempt was sent
    """
    limit = STALL_FACTOR * task.upper_seconds / speed
    return elapsed >= MIN_STALL_TIME and elapsed.total_seconds() > limit


def fits_elsewhere(
    task: _backlog.WaitingTask,
    agent: str,
    pool: _targets.Pool,
    now: datetime.datetime,
) -> bool:
    """Return whether a target other than ``agent``'s can take the task."""
    return any(
        view.agent != agent and _room.covers_needs(view.offer, task.needs)
        for view in pool.iterate_open(now)
    )
