"""Choice of a target for each waiting task.

A policy is a record; ``choose_assignments`` dispatches on its type. Each
policy has a module of its own that registers its choice.
"""

import datetime
import functools

import attrs

from cowslipgate_core.placement import _backlog
from cowslipgate_core.placement import _room
from cowslipgate_core.placement import _targets


@attrs.frozen
class Assignment:
    """A task and the agent that it is sent to."""

    job: str
    """Id of the job."""

    index: int
    """Index of the task in the job."""

    agent: str
    """Name of the agent."""


@attrs.frozen
class Policy:
    """Base of the policies by which targets are chosen."""

    @property
    def queue_allowance(self) -> int:
        """Number of tasks that may queue at a target beyond its slots."""
        return 0


@functools.singledispatch
def choose_assignments(
    policy: Policy,
    jobs: list[_backlog.WaitingJob],
    pool: _targets.Pool,
    allowances: dict[str, int],
    now: datetime.datetime,
    entries: int = 1,
) -> list[Assignment]:
    """Return the tasks to send now, with the agent for each.

    :param jobs: jobs with waiting tasks, in order of submission; the chosen
        tasks are removed from them
    :param pool: targets of the service; updated in place
    :param allowances: slots that each team may still take; updated in place
    :param now: the current instant
    :param entries: number of entries that share the targets
    """
    raise NotImplementedError(type(policy).__name__)


def can_run(target: _targets.TargetView, task: _backlog.WaitingTask) -> bool:
    """Return whether ``target`` offers the resources of ``task``."""
    return _room.covers_needs(target.offer, task.needs)


def take_task(
    job: _backlog.WaitingJob,
    position: int,
    target: _targets.TargetView,
    pool: _targets.Pool,
    allowances: dict[str, int],
) -> Assignment:
    """Remove a waiting task from its job and place it on a target."""
    return place_task(job, job.take(position), target, pool, allowances)


def place_task(
    job: _backlog.WaitingJob,
    task: _backlog.WaitingTask,
    target: _targets.TargetView,
    pool: _targets.Pool,
    allowances: dict[str, int],
) -> Assignment:
    """Occupy a slot and room of a target for a task that does not wait."""
    if job.terms.limit_per_target:
        job.placed[target.agent] += 1
    pool.occupy(target, task.needs)
    allowances[job.team] -= 1
    return Assignment(job.job, task.index, target.agent)
