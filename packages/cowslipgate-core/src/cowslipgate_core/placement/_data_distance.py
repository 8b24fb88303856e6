"""Where a task ends first: near its data, or elsewhere."""

import datetime

from cowslipgate_core.placement import _backlog
from cowslipgate_core.placement import _near_room
from cowslipgate_core.placement import _room
from cowslipgate_core.placement import _targets


def ends_first_near(
    job: _backlog.WaitingJob,
    target: _targets.TargetView,
    pool: _targets.Pool,
    ahead: int,
    now: datetime.datetime,
) -> bool:
    """Return whether a job's next task should not go away from its data.

    :param target: a target with room that is not near the data
    :param ahead: tasks that wait for the same data and come before
    """
    seconds = job.mean_seconds
    elsewhere = seconds * job.terms.away_factor / target.speed
    near = forecast_end(job, pool, ahead, now)
    return near is not None and near <= elsewhere


def forecast_end(
    job: _backlog.WaitingJob,
    pool: _targets.Pool,
    ahead: int,
    now: datetime.datetime,
) -> float | None:
    """Return the seconds until a job's next task ends near its data.

    Each running task makes room for one; those whose start is not known, such
    as the tasks of other entries, are taken to have just begun. None if no
    target that may run the task is near the data.

    :param ahead: tasks that take their places before
    """
    ends: list[float] = []
    longest = 0.0
    for view in pool.ranked:
        if not job.is_near(view) or not view.is_usable(now):
            continue
        if not job.may_use(view) or not _may_hold(job, view):
            continue
        run = job.mean_seconds / view.speed
        longest = max(longest, run)
        places = min(_near_room.count_places(view, pool), ahead + 1)
        if places and any(
            _room.covers_needs(view.offer, need) for need in job.needs
        ):
            ends += [run] * places
        known = pool.list_remaining(view, now)
        unknown = min(max(0, view.occupied - len(known)), ahead + 1)
        ends += [left + run for left in known]
        ends += [run + run] * unknown
    if not ends:
        return None
    ends.sort()
    rounds, position = divmod(ahead, len(ends))
    return ends[position] + rounds * longest


def _may_hold(job: _backlog.WaitingJob, target: _targets.TargetView) -> bool:
    return any(
        _room.covers_needs(target.resources, need) for need in job.needs
    )
