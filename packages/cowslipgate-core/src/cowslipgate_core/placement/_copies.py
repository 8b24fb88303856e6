"""Speculative copies of stragglers.

Where a job's terms allow it, a straggler also runs on another target and the
first run to finish counts. Waiting tasks go before copies.
"""

from collections.abc import Iterable
import datetime

import attrs

from cowslipgate_core.placement import _backlog
from cowslipgate_core.placement import _placement
from cowslipgate_core.placement import _room
from cowslipgate_core.placement import _targets

STRAGGLER_FACTOR = 2.0
"""Multiple of the upper run time after which a run is copied. The copy then
ends first if the run lasts more than three times the upper run time."""


@attrs.frozen
class Run:
    """A running attempt of a job that allows copies."""

    task: _backlog.WaitingTask
    """Task that it runs."""

    agent: str
    """Name of the agent whose target runs it."""

    sent_at: datetime.datetime
    """When it was sent."""


def choose_copies(
    job: _backlog.WaitingJob,
    runs: Iterable[Run],
    pool: _targets.Pool,
    allowances: dict[str, int],
    now: datetime.datetime,
) -> list[_placement.Assignment]:
    """Return the copies to send now, at most one for each task.

    :param job: a job of a service without waiting tasks
    :param runs: its running attempts
    :param pool: targets of the service; updated in place
    :param allowances: slots that each team may still take; updated in place
    """
    by_index: dict[int, list[Run]] = {}
    for run in runs:
        by_index.setdefault(run.task.index, []).append(run)
    assignments = []
    for task_runs in by_index.values():
        first = task_runs[0]
        if len(task_runs) > 1 or not is_straggler(first, pool, now):
            continue
        target = _find_target(job, first, pool, now)
        if target is None or allowances.get(job.team, 0) <= 0:
            continue
        assignments.append(
            _placement.place_task(job, first.task, target, pool, allowances)
        )
    return assignments


def is_straggler(
    run: Run, pool: _targets.Pool, now: datetime.datetime
) -> bool:
    """Return whether a run takes far longer than similar tasks.

    The limit is that of the fastest target, so that a run is also copied if
    its target is slow for all tasks.
    """
    fastest = pool.get_fastest(run.task.needs)
    if fastest <= 0:
        return False
    elapsed = (now - run.sent_at).total_seconds()
    return elapsed > STRAGGLER_FACTOR * run.task.upper_seconds / fastest


def _find_target(
    job: _backlog.WaitingJob,
    run: Run,
    pool: _targets.Pool,
    now: datetime.datetime,
) -> _targets.TargetView | None:
    """Return the fastest other target with room for the task."""
    for target in pool.iterate_open(now):
        if target.agent == run.agent or target.on_probation:
            continue
        fits = _room.covers_needs(target.offer, run.task.needs)
        if fits and job.may_use(target):
            return target
    return None
