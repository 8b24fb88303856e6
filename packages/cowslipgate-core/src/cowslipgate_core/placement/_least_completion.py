"""Least completion: tasks go at once to the target expected to end first."""

import datetime

import attrs

from cowslipgate_core.placement import _backlog
from cowslipgate_core.placement import _placement
from cowslipgate_core.placement import _targets


@attrs.frozen
class LeastCompletion(_placement.Policy):
    """Policy that sends each task at once where it should end first."""


@_placement.choose_assignments.register
def choose_least_completion(
    policy: LeastCompletion,
    jobs: list[_backlog.WaitingJob],
    pool: _targets.Pool,
    allowances: dict[str, int],
    now: datetime.datetime,
    entries: int = 1,
) -> list[_placement.Assignment]:
    """Assign each task that a target can run, a job's longest first."""
    usable = [target for target in pool.ranked if target.is_usable(now)]
    assignments = []
    for job in jobs:
        for position in range(len(job.tasks) - 1, -1, -1):
            if allowances.get(job.team, 0) <= 0:
                break
            task = job.tasks[position]
            fitting = [
                target
                for target in usable
                if job.may_use(target) and _placement.can_run(target, task)
            ]
            if not fitting:
                continue
            target = min(
                fitting, key=lambda t: estimate_completion_seconds(t, task)
            )
            assignments.append(
                _placement.take_task(job, position, target, pool, allowances)
            )
    return assignments


def estimate_completion_seconds(
    target: _targets.TargetView, task: _backlog.WaitingTask
) -> float:
    """Return the expected seconds until ``target`` has finished ``task``.

    Tasks ahead of it are assumed to be as long as the task itself.
    """
    ahead = max(0, target.occupied - target.slots + 1)
    return task.seconds / target.speed * (1 + ahead / target.slots)
