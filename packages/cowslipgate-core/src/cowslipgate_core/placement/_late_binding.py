"""Late binding: tasks wait at the entry until a slot is free."""

from collections.abc import Callable
import datetime
import functools
import math

import attrs

from cowslipgate_core.messages import _resources
from cowslipgate_core.placement import _backlog
from cowslipgate_core.placement import _data_distance
from cowslipgate_core.placement import _job_order
from cowslipgate_core.placement import _near_room
from cowslipgate_core.placement import _placement
from cowslipgate_core.placement import _ready_jobs
from cowslipgate_core.placement import _separation
from cowslipgate_core.placement import _targets

TaskFinder = Callable[[_backlog.WaitingJob, _targets.TargetView], int | None]
"""Returns the position of the job's task for a target, or None."""


@attrs.frozen
class LateBinding(_placement.Policy):
    """Policy that gives the fastest free slot to the shortest job."""

    queue_allowance: int = 0
    """Number of tasks that may queue at an agent beyond its slots."""

    ageing: datetime.timedelta = _job_order.AGEING
    """Age after which a job goes before all younger ones."""

    late_by_age: bool = False
    """Whether jobs that have waited longer than their objective go before the
    other late ones."""

    max_backlog_time: datetime.timedelta = datetime.timedelta()
    """A target stays unused if faster ones clear the backlog in this time;
    zero uses every target."""

    plans_far_use: bool = False
    """Whether tasks for which the near targets have no room use far ones in
    the first pass, so that the most urgent jobs choose first."""

    separation: _separation.Separation | None = attrs.field(
        default=None, eq=False
    )
    """Choice among equally good targets in this pass, or None."""


@_placement.choose_assignments.register
def choose_late_binding(
    policy: LateBinding,
    jobs: list[_backlog.WaitingJob],
    pool: _targets.Pool,
    allowances: dict[str, int],
    now: datetime.datetime,
    entries: int = 1,
) -> list[_placement.Assignment]:
    """Fill free slots, the fastest first, with the longest task of a job."""
    return fill_slots(
        policy, jobs, pool, allowances, now, entries, _find_longest
    )


def fill_slots(
    policy: LateBinding,
    jobs: list[_backlog.WaitingJob],
    pool: _targets.Pool,
    allowances: dict[str, int],
    now: datetime.datetime,
    entries: int,
    find: TaskFinder,
) -> list[_placement.Assignment]:
    """Fill free slots, the fastest first, for late-binding policies.

    :param find: chooses a task of a job for a target
    """
    if not pool.has_open(now):
        return []
    ordered = _ready_jobs.list_ready(jobs, allowances)
    _job_order.sort_jobs(ordered, pool, now, policy.ageing, policy.late_by_age)
    fitting = _ready_jobs.find_fitting(ordered, pool, now)
    trials = pool.list_trials(now)
    assignments = _assign_trials(trials, fitting, pool, allowances)
    if assignments:
        fitting = _ready_jobs.list_ready(fitting, allowances)
    fill = functools.partial(
        _fill_targets, policy, fitting, ordered, pool, allowances, now, entries
    )
    if not pool.all_near:
        assignments += _fill_near(
            policy, fitting, pool, allowances, now, entries, find
        )
        fitting[:] = _ready_jobs.list_ready(fitting, allowances)
    assignments += fill(find)
    if any(job.terms.preferred_label for job in fitting):
        # The first pass skipped targets for them while they would end first
        # near their data.
        assignments += fill(find)
    return assignments


def _fill_near(
    policy: LateBinding,
    fitting: list[_backlog.WaitingJob],
    pool: _targets.Pool,
    allowances: dict[str, int],
    now: datetime.datetime,
    entries: int,
    find: TaskFinder,
) -> list[_placement.Assignment]:
    """Fill targets of the entry's failure domain that meet an objective.

    Bytes between domains cost more, and a job with an objective gains nothing
    from a target that is faster still. Tasks for which there is no room here
    go elsewhere in the same pass, so that the most urgent jobs choose first.
    """
    jobs = [
        job
        for job in fitting
        if job.due_at is not None and not _job_order.is_late(job, pool, now)
    ]
    far_use = _near_room.NO_FAR_USE
    aged = bool(fitting) and now - fitting[0].submitted_at > policy.ageing
    if policy.plans_far_use and jobs and not aged:
        far_use = _near_room.plan_far_use(jobs, pool, now)
    return _fill_targets(
        policy, jobs, jobs, pool, allowances, now, entries, find, far_use
    )


def _fill_targets(
    policy: LateBinding,
    fitting: list[_backlog.WaitingJob],
    ordered: list[_backlog.WaitingJob],
    pool: _targets.Pool,
    allowances: dict[str, int],
    now: datetime.datetime,
    entries: int,
    find: TaskFinder,
    far_use: _near_room.FarUse | None = None,
) -> list[_placement.Assignment]:
    """Fill the open targets in one pass, the fastest first.

    :param far_use: use of targets of other failure domains, or None for any
    """
    assignments = []
    far_tasks = 0
    # No task fits these offers here, nor on slower targets.
    exhausted: set[_resources.Resources] = set()
    forecasts = _data_distance.DataForecasts(fitting, pool, now)
    for target in pool.iterate_open(now):
        if not fitting:
            break
        if far_use is not None and not far_use.allows(target, far_tasks):
            continue
        if policy.max_backlog_time:
            waiting = _ready_jobs.list_ready(ordered, allowances)
            if is_unneeded(policy, target, pool, waiting, now, entries):
                break
        while pool.has_free_place(target) and fitting:
            if target.offer in exhausted:
                break
            if target.occupied and is_probed(policy, target, pool):
                break
            found = _find_task(fitting, target, find, forecasts)
            if found is None and far_use is None:
                found = _find_any_task(fitting, target, pool, forecasts)
            if found is None:
                if not any(job.is_selective for job in fitting):
                    exhausted.add(target.offer)
                break
            job, position = found
            chosen = target
            if policy.separation is not None:
                chosen = policy.separation.choose_target(
                    job, position, target, pool, find, now
                )
            assignments.append(
                _placement.take_task(job, position, chosen, pool, allowances)
            )
            forecasts.forget(job)
            _ready_jobs.drop_done(fitting, job, allowances)
            if far_use is not None and not target.near:
                far_tasks += 1
                if not far_use.allows(target, far_tasks):
                    break
    return assignments


def _assign_trials(
    targets: list[_targets.TargetView],
    jobs: list[_backlog.WaitingJob],
    pool: _targets.Pool,
    allowances: dict[str, int],
) -> list[_placement.Assignment]:
    """Assign a short task to each target on probation, whatever its speed.

    Only a task can end the probation, and under light load faster targets
    would get all tasks.
    """
    assignments = []
    for target in targets:
        for job in jobs[: _ready_jobs.MAX_JOBS_TRIED]:
            if allowances[job.team] <= 0 or not job.may_use(target):
                continue
            position = job.find_shortest(math.inf, target.offer)
            if position is None:
                continue
            assignments.append(
                _placement.take_task(job, position, target, pool, allowances)
            )
            break
    return assignments


@functools.singledispatch
def is_probed(
    policy: LateBinding, target: _targets.TargetView, pool: _targets.Pool
) -> bool:
    """Return whether a target gets one task at a time.

    These tasks show whether a slow target becomes faster again.
    """
    return False


def is_unneeded(
    policy: LateBinding,
    target: _targets.TargetView,
    pool: _targets.Pool,
    jobs: list[_backlog.WaitingJob],
    now: datetime.datetime,
    entries: int,
) -> bool:
    """Return whether faster targets clear the backlog soon enough.

    A slow target takes more slot-seconds for the same work.
    """
    if not pool.is_faster_busy(target):
        return False
    for job in jobs:
        if now - job.submitted_at > policy.ageing:
            return False
        if any(pool.get_fastest(need) <= target.speed for need in job.needs):
            return False
    waiting = sum(job.waiting_seconds for job in jobs)
    faster = pool.get_faster_capacity(target) / entries
    return waiting <= faster * policy.max_backlog_time.total_seconds()


def _find_task(
    jobs: list[_backlog.WaitingJob],
    target: _targets.TargetView,
    find: TaskFinder,
    forecasts: _data_distance.DataForecasts,
) -> tuple[_backlog.WaitingJob, int] | None:
    """Return the first job with a task that the policy gives the target."""
    for job in jobs[: _ready_jobs.MAX_JOBS_TRIED]:
        if not job.may_use(target):
            continue
        if forecasts.ends_first_near(job, target):
            continue
        position = find(job, target)
        if position is not None:
            return job, position
    return None


def _find_any_task(
    jobs: list[_backlog.WaitingJob],
    target: _targets.TargetView,
    pool: _targets.Pool,
    forecasts: _data_distance.DataForecasts,
) -> tuple[_backlog.WaitingJob, int] | None:
    """Return the longest task that fits if every faster target is idle."""
    if pool.is_faster_busy(target):
        return None
    return _find_task(jobs, target, _find_longest, forecasts)


def _find_longest(
    job: _backlog.WaitingJob, target: _targets.TargetView
) -> int | None:
    return job.find_longest(math.inf, target.offer)
