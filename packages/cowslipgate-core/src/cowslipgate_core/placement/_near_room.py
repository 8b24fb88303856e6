"""Whether the room near an entry holds what waits there."""

import datetime

import attrs
import msgspec

from cowslipgate_core.placement import _backlog
from cowslipgate_core.placement import _room
from cowslipgate_core.placement import _targets

SPEED_TOLERANCE = 0.9
"""Share of a speed that counts as the same, since speeds are estimates."""


@attrs.frozen
class FarUse:
    """Use of targets of other failure domains beside the near ones."""

    tasks: int
    """Tasks that may go there, since the near targets have no room."""

    least_speed: float
    """Speed from which on a target is as good as the near ones with room."""

    def allows(self, target: _targets.TargetView, sent: int) -> bool:
        """Return whether a target may be used, as each near one may.

        :param sent: tasks sent to other failure domains so far
        """
        if target.near:
            return True
        return sent < self.tasks and target.speed >= self.least_speed


NO_FAR_USE = FarUse(0, 0.0)
"""Use of near targets only."""


def plan_far_use(
    jobs: list[_backlog.WaitingJob],
    pool: _targets.Pool,
    now: datetime.datetime,
) -> FarUse:
    """Return which use of other failure domains cannot be avoided.

    The near targets get as many tasks as they have room for all the same, so
    no more bytes go to other domains. Without any room nearby the order of
    the jobs alone decides.

    :param jobs: jobs whose tasks may be sent now
    """
    waiting = sum(len(job.tasks) for job in jobs)
    least_speed = None
    for target in pool.iterate_open(now):
        if not target.near:
            continue
        # The fastest come first, so the last one is the slowest.
        least_speed = target.speed * SPEED_TOLERANCE
        waiting -= count_places(target, pool)
        if waiting <= 0:
            return NO_FAR_USE
    if least_speed is None:
        return NO_FAR_USE
    return FarUse(waiting, least_speed)


def count_places(target: _targets.TargetView, pool: _targets.Pool) -> int:
    """Return how many tasks of typical needs a target has room for now."""
    if target.room is msgspec.UNSET:
        return max(0, target.free)
    fitting = _room.count_fitting(target.offer, pool.typical_needs)
    return max(0, min(target.free, fitting))
