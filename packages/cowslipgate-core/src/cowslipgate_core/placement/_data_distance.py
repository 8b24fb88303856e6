"""Where a task ends first: near its data, or elsewhere."""

import collections
from collections.abc import Iterable
import datetime

from cowslipgate_core.placement import _backlog
from cowslipgate_core.placement import _near_room
from cowslipgate_core.placement import _room
from cowslipgate_core.placement import _targets


class DataForecasts:
    """Ends of jobs' next tasks near their data, each forecast once in a pass.

    A pass looks at each pair of job and target, so that making them anew each
    time would cost a look at all targets for each pair.

    :param jobs: jobs in the order in which they get targets
    """

    def __init__(
        self,
        jobs: Iterable[_backlog.WaitingJob],
        pool: _targets.Pool,
        now: datetime.datetime,
    ) -> None:
        self._pool = pool
        self._now = now
        self._ends: dict[str, float | None] = {}
        # Tasks that wait for the same data and come before, by job.
        self._ahead: dict[str, int] = {}
        totals: collections.Counter[str] = collections.Counter()
        for job in jobs:
            label = job.terms.preferred_label
            if label:
                self._ahead[job.job] = totals[label]
                totals[label] += len(job.tasks)

    def ends_first_near(
        self, job: _backlog.WaitingJob, target: _targets.TargetView
    ) -> bool:
        """Return whether a job's next task should not go away from its data.

        :param target: a target with room
        """
        if job.is_near(target):
            return False
        if job.job not in self._ends:
            ahead = self._ahead.get(job.job, 0)
            self._ends[job.job] = forecast_end(
                job, self._pool, ahead, self._now
            )
        near = self._ends[job.job]
        elsewhere = job.mean_seconds * job.terms.away_factor / target.speed
        return near is not None and near <= elsewhere

    def forget(self, job: _backlog.WaitingJob) -> None:
        """Forecast a job anew, as one of its tasks was given a target."""
        self._ends.pop(job.job, None)


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
