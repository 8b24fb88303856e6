"""Choice of a target for each waiting task.

The policy is a record; ``choose_assignments`` dispatches on its type.
"""

import datetime
import functools
import heapq

import attrs

from cowslipgate_core import _messages


@attrs.define(eq=False)
class TargetView:
    """What an entry knows of one agent and its target."""

    agent: str
    """Name of the agent."""

    resources: _messages.Resources
    """What one task may use."""

    slots: int
    """Slots open to work."""

    occupied: int
    """Tasks running or queued, those of other entries included."""

    speed: float
    """Learned speed; a target of speed two halves the run time."""

    @property
    def free(self) -> int:
        """Number of slots that are likely free."""
        return self.slots - self.occupied


@attrs.frozen
class WaitingTask:
    """A task without an attempt under way."""

    job: str
    """Id of its job."""

    index: int
    """Index in the job."""

    seconds: float
    """Estimated run time on a target of speed one."""

    needs: _messages.Resources
    """What it needs of its target."""


@attrs.frozen
class WaitingJob:
    """A job with tasks that wait."""

    job: str
    """Id of the job."""

    team: str
    """Team of its caller."""

    submitted_at: datetime.datetime
    """When it was accepted."""

    remaining_seconds: float
    """Estimated run time of all its unfinished tasks at speed one."""

    tasks: tuple[WaitingTask, ...]
    """Waiting tasks, the longest first."""


@attrs.frozen
class Assignment:
    """A task with the agent that it goes to."""

    job: str
    """Id of the job."""

    index: int
    """Index of the task in the job."""

    agent: str
    """Name of the agent."""


@attrs.frozen
class RoundRobin:
    """The naive baseline: push each task at once to the next target."""


@attrs.frozen
class LateBinding:
    """Hold the backlog; send to the fastest target with a free slot."""

    queue_allowance: int = 0
    """Tasks that may queue at an agent beyond its slots."""

    ageing: datetime.timedelta = datetime.timedelta(seconds=10)
    """Waiting time after which a job goes before shorter ones."""


Policy = RoundRobin | LateBinding


@functools.singledispatch
def choose_assignments(
    policy: Policy,
    jobs: list[WaitingJob],
    targets: list[TargetView],
    allowances: dict[str, int],
    now: datetime.datetime,
) -> list[Assignment]:
    """Return the tasks to send now, with the agent for each.

    :param jobs: jobs with waiting tasks, in order of submission
    :param targets: targets of the service; ``occupied`` is brought up to date
    :param allowances: slots that each team may still take; brought up to date
    :param now: the current instant
    """
    raise NotImplementedError(type(policy).__name__)


@choose_assignments.register
def _choose_round_robin(
    policy: RoundRobin,
    jobs: list[WaitingJob],
    targets: list[TargetView],
    allowances: dict[str, int],
    now: datetime.datetime,
) -> list[Assignment]:
    assignments = []
    ring = sorted(targets, key=lambda target: target.agent)
    for task in (task for job in jobs for task in job.tasks):
        fitting = [t for t in ring if t.slots and can_run(t, task)]
        if not fitting:
            continue
        target = min(fitting, key=lambda t: t.occupied / t.slots)
        target.occupied += 1
        assignments.append(Assignment(task.job, task.index, target.agent))
    return assignments


@choose_assignments.register
def _choose_late_binding(
    policy: LateBinding,
    jobs: list[WaitingJob],
    targets: list[TargetView],
    allowances: dict[str, int],
    now: datetime.datetime,
) -> list[Assignment]:
    assignments: list[Assignment] = []
    heap = [
        (-target.speed, target.agent, target)
        for target in targets
        if target.slots and target.free + policy.queue_allowance > 0
    ]
    heapq.heapify(heap)
    for job in sorted(jobs, key=lambda j: _rank_job(policy, j, now)):
        if not heap:
            break
        for task in job.tasks:
            if allowances.get(job.team, 0) <= 0:
                break
            target = _take_target(policy, heap, task)
            if target is None:
                continue
            allowances[job.team] -= 1
            assignments.append(Assignment(job.job, task.index, target.agent))
    return assignments


def _rank_job(
    policy: LateBinding, job: WaitingJob, now: datetime.datetime
) -> tuple[int, float]:
    waited = now - job.submitted_at
    if waited > policy.ageing:
        return (0, -waited.total_seconds())
    return (1, job.remaining_seconds)


def _take_target(
    policy: LateBinding,
    heap: list[tuple[float, str, TargetView]],
    task: WaitingTask,
) -> TargetView | None:
    passed = []
    taken = None
    while heap and taken is None:
        item = heapq.heappop(heap)
        target = item[2]
        if not can_run(target, task):
            passed.append(item)
            continue
        taken = target
        target.occupied += 1
        if target.free + policy.queue_allowance > 0:
            passed.append(item)
    for item in passed:
        heapq.heappush(heap, item)
    return taken


def can_run(target: TargetView, task: WaitingTask) -> bool:
    """Tell whether ``target`` has what ``task`` needs."""
    return fits_resources(target.resources, task.needs)


def fits_resources(
    offer: _messages.Resources, needs: _messages.Resources
) -> bool:
    """Tell whether ``offer`` covers ``needs``."""
    return (
        needs.memory_mb <= offer.memory_mb
        and needs.accelerators <= offer.accelerators
    )
