"""Round robin, the baseline: each task goes at once to the next target."""

import datetime

import attrs

from cowslipgate_core.placement import _backlog
from cowslipgate_core.placement import _placement
from cowslipgate_core.placement import _targets


@attrs.frozen
class RoundRobin(_placement.Policy):
    """Policy that sends each task at once to the next target, busy or not."""


@_placement.choose_assignments.register
def choose_round_robin(
    policy: RoundRobin,
    jobs: list[_backlog.WaitingJob],
    pool: _targets.Pool,
    allowances: dict[str, int],
    now: datetime.datetime,
    entries: int = 1,
) -> list[_placement.Assignment]:
    """Assign each task that a target can run, in the order of agents."""
    ring = sorted(pool.ranked, key=lambda target: target.agent)
    ring = [target for target in ring if target.is_usable(now)]
    assignments = []
    for job in jobs:
        ordered = sorted(job.tasks, key=lambda task: task.index)
        for task in ordered:
            if allowances.get(job.team, 0) <= 0:
                break
            target = _find_next(ring, pool, job, task)
            if target is None:
                continue
            position = job.tasks.index(task)
            assignments.append(
                _placement.take_task(job, position, target, pool, allowances)
            )
    return assignments


def _find_next(
    ring: list[_targets.TargetView],
    pool: _targets.Pool,
    job: _backlog.WaitingJob,
    task: _backlog.WaitingTask,
) -> _targets.TargetView | None:
    for _ in ring:
        target = ring[pool.turn % len(ring)]
        pool.turn += 1
        if job.may_use(target) and _placement.can_run(target, task):
            return target
    return None
