"""Second runs of tasks whose first run takes far too long.

A job whose terms allow it gets a copy of a straggler on another target; the
first run to finish counts. Copies take only what no waiting task wants.
"""

from collections.abc import Iterable
import datetime

import attrs

from cowslipgate_core.placement import _backlog
from cowslipgate_core.placement import _placement
from cowslipgate_core.placement import _room
from cowslipgate_core.placement import _targets

COPY_AFTER = 2.0
"""Multiple of the run time that few tasks exceed, after which a copy pays: a
copy then ends before the first run if that lasts three times as long."""


@attrs.frozen
class Run:
    """An attempt under way, as far as copies are concerned."""

    task: _backlog.WaitingTask
    """The task."""

    agent: str
    """Agent whose target runs it."""

    sent_at: datetime.datetime
    """When it was sent."""


def choose_copies(
    job: _backlog.WaitingJob,
    runs: Iterable[Run],
    pool: _targets.Pool,
    allowances: dict[str, int],
    now: datetime.datetime,
) -> list[_placement.Assignment]:
    """Return the copies to send now, at most one beside each first run.

    :param job: the job, none of whose service's tasks wait
    :param runs: its attempts under way
    :param pool: targets of the service; brought up to date
    :param allowances: slots that each team may still take; brought up to date
    """
    by_index: dict[int, list[Run]] = {}
    for run in runs:
        by_index.setdefault(run.task.index, []).append(run)
    assignments = []
    for together in by_index.values():
        first = together[0]
        if len(together) > 1 or not is_straggler(first, pool, now):
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
    """Tell whether a run takes far longer than tasks like it.

    The time is that on the fastest target: one that is slow for everything
    makes a straggler too.
    """
    fastest = pool.get_fastest(run.task.needs)
    if fastest <= 0:
        return False
    elapsed = (now - run.sent_at).total_seconds()
    return elapsed > COPY_AFTER * run.task.upper_seconds / fastest


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
        fits = _room.fits_resources(target.offer, run.task.needs)
        if fits and job.may_use(target):
            return target
    return None
