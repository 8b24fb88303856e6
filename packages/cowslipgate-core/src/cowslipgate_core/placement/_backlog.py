"""Waiting tasks of an entry, sorted by upper run time."""

import bisect
import collections
import datetime

import attrs

from cowslipgate_core.jobs import _jobs
from cowslipgate_core.messages import _resources
from cowslipgate_core.placement import _room
from cowslipgate_core.placement import _targets


@attrs.frozen
class WaitingTask:
    """A task that waits to be sent."""

    job: str
    """Id of its job."""

    index: int
    """Index in the job."""

    seconds: float
    """Expected run time on a target of speed one, in seconds."""

    needs: _resources.Resources = _resources.Resources()
    """Resources that it needs of its target."""

    upper_seconds: float = 0.0
    """Run time at speed one that few similar tasks exceed, in seconds."""


@attrs.define(eq=False)
class WaitingJob:
    """A job and its waiting tasks."""

    job: str
    """Id of the job."""

    team: str
    """Team of the caller."""

    submitted_at: datetime.datetime
    """When the job was accepted."""

    tasks: list[WaitingTask]
    """Waiting tasks in ascending order of their upper run time."""

    remaining_seconds: float = 0.0
    """Expected run time of its unfinished tasks at speed one, in seconds."""

    terms: _jobs.JobTerms = _jobs.DEFAULT_TERMS
    """Terms on which the job is run."""

    placed: collections.Counter[str] = attrs.Factory(collections.Counter)
    """Unfinished attempts by agent; empty unless the terms limit them."""

    needs: frozenset[_resources.Resources] = attrs.field(init=False)
    """Distinct needs of all tasks that waited at first."""

    waiting_seconds: float = attrs.field(init=False)
    """Expected run time of its waiting tasks at speed one, in seconds."""

    due_at: datetime.datetime | None = attrs.field(init=False)
    """When the answer is due by the objective, or None without one."""

    def __attrs_post_init__(self) -> None:
        self.tasks.sort(key=_get_order)
        self.needs = frozenset(task.needs for task in self.tasks)
        self.waiting_seconds = sum(task.seconds for task in self.tasks)
        self.due_at = self._compute_due_at()
        if not self.remaining_seconds:
            self.remaining_seconds = self.waiting_seconds

    def _compute_due_at(self) -> datetime.datetime | None:
        if not self.terms.objective:
            return None
        longest = max(task.seconds for task in self.tasks)
        allowed = datetime.timedelta(seconds=longest * self.terms.slowdown)
        return self.submitted_at + self.terms.objective + allowed

    @property
    def longest_seconds(self) -> float:
        """Upper run time of its longest waiting task at speed one."""
        return self.tasks[-1].upper_seconds

    @property
    def mean_seconds(self) -> float:
        """Mean run time of its waiting tasks at speed one."""
        return self.waiting_seconds / len(self.tasks)

    @property
    def is_selective(self) -> bool:
        """Whether targets with equal offers may differ for the job."""
        return bool(self.terms.limit_per_target or self.terms.preferred_label)

    def may_use(self, target: _targets.TargetView) -> bool:
        """Return whether a target is below the job's limit per target."""
        limit = self.terms.limit_per_target
        return not limit or self.placed[target.agent] < limit

    def is_near(self, target: _targets.TargetView) -> bool:
        """Return whether a target is labelled as near the job's data."""
        preferred_label = self.terms.preferred_label
        return (
            not preferred_label or preferred_label in target.resources.labels
        )

    def find_longest(
        self, limit_seconds: float, offer: _resources.Resources
    ) -> int | None:
        """Return the position of the longest task that fits, or None.

        :param limit_seconds: largest allowed upper run time at speed one
        :param offer: resources that the next task may use
        """
        if not self.tasks or self.tasks[0].upper_seconds > limit_seconds:
            return None
        end = bisect.bisect_right(
            self.tasks, limit_seconds, key=lambda task: task.upper_seconds
        )
        for position in range(end - 1, -1, -1):
            if _room.covers_needs(offer, self.tasks[position].needs):
                return position
        return None

    def find_shortest(
        self, limit_seconds: float, offer: _resources.Resources
    ) -> int | None:
        """Return the position of the shortest task that fits, or None.

        :param limit_seconds: largest allowed upper run time at speed one
        :param offer: resources that the next task may use
        """
        for position, task in enumerate(self.tasks):
            if task.upper_seconds > limit_seconds:
                return None
            if _room.covers_needs(offer, task.needs):
                return position
        return None

    def take(self, position: int) -> WaitingTask:
        """Remove and return the task at a position."""
        task = self.tasks.pop(position)
        self.waiting_seconds -= task.seconds
        return task

    def requeue(self, task: WaitingTask) -> None:
        """Queue a task again."""
        self.waiting_seconds += task.seconds
        bisect.insort(self.tasks, task, key=_get_order)


def _get_order(task: WaitingTask) -> tuple[float, int]:
    return (task.upper_seconds, -task.index)
