"""Tasks that wait at an entry, in the order that decisions need."""

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
    """A task without an attempt under way."""

    job: str
    """Id of its job."""

    index: int
    """Index in the job."""

    seconds: float
    """Expected run time on a target of speed one."""

    needs: _resources.Resources = _resources.Resources()
    """What it needs of its target."""

    upper_seconds: float = 0.0
    """Run time at speed one that few tasks like it exceed."""


@attrs.define(eq=False)
class WaitingJob:
    """A job with tasks that wait."""

    job: str
    """Id of the job."""

    team: str
    """Team of its caller."""

    submitted_at: datetime.datetime
    """When it was accepted."""

    tasks: list[WaitingTask]
    """Waiting tasks, the shortest first."""

    remaining_seconds: float = 0.0
    """Expected run time at speed one of its unfinished tasks."""

    terms: _jobs.JobTerms = _jobs.DEFAULT_TERMS
    """How the job is run."""

    placed: collections.Counter[str] = attrs.Factory(collections.Counter)
    """Tasks under way by agent, where the terms limit them."""

    needs: frozenset[_resources.Resources] = attrs.field(init=False)
    """The different needs of its tasks."""

    waiting_seconds: float = attrs.field(init=False)
    """Expected run time at speed one of its waiting tasks."""

    due_at: datetime.datetime | None = attrs.field(init=False)
    """When its callers are promised the answer, or None for no promise."""

    def __attrs_post_init__(self) -> None:
        self.tasks.sort(key=_get_order)
        self.needs = frozenset(task.needs for task in self.tasks)
        self.waiting_seconds = sum(task.seconds for task in self.tasks)
        self.due_at = self._find_due()
        if not self.remaining_seconds:
            self.remaining_seconds = self.waiting_seconds

    def _find_due(self) -> datetime.datetime | None:
        if not self.terms.objective:
            return None
        longest = max(task.seconds for task in self.tasks)
        allowed = datetime.timedelta(seconds=longest * self.terms.slowdown)
        return self.submitted_at + self.terms.objective + allowed

    @property
    def longest_seconds(self) -> float:
        """Upper run time at speed one of its longest waiting task."""
        return self.tasks[-1].upper_seconds

    @property
    def mean_seconds(self) -> float:
        """Mean run time at speed one of its waiting tasks."""
        return self.waiting_seconds / len(self.tasks)

    @property
    def is_selective(self) -> bool:
        """Whether equal targets are not alike for the job."""
        return bool(self.terms.limit_per_target or self.terms.prefers)

    def may_use(self, target: _targets.TargetView) -> bool:
        """Tell whether one more task may run on a target."""
        limit = self.terms.limit_per_target
        return not limit or self.placed[target.agent] < limit

    def is_near(self, target: _targets.TargetView) -> bool:
        """Tell whether a target is near the job's data."""
        prefers = self.terms.prefers
        return not prefers or prefers in target.resources.labels

    def find_longest(
        self, limit_seconds: float, offer: _resources.Resources
    ) -> int | None:
        """Return the position of the longest task that fits.

        :param limit_seconds: upper run time at speed one that is allowed
        :param offer: what the target lets one task use
        """
        if not self.tasks or self.tasks[0].upper_seconds > limit_seconds:
            return None
        end = bisect.bisect_right(
            self.tasks, limit_seconds, key=lambda task: task.upper_seconds
        )
        for position in range(end - 1, -1, -1):
            if _room.fits_resources(offer, self.tasks[position].needs):
                return position
        return None

    def find_shortest(
        self, limit_seconds: float, offer: _resources.Resources
    ) -> int | None:
        """Return the position of the shortest task that fits.

        :param limit_seconds: upper run time at speed one that is allowed
        :param offer: what the target lets one task use
        """
        for position, task in enumerate(self.tasks):
            if task.upper_seconds > limit_seconds:
                return None
            if _room.fits_resources(offer, task.needs):
                return position
        return None

    def take(self, position: int) -> WaitingTask:
        """Take the task at a position out."""
        task = self.tasks.pop(position)
        self.waiting_seconds -= task.seconds
        return task

    def put_back(self, task: WaitingTask) -> None:
        """Let a task wait again."""
        self.waiting_seconds += task.seconds
        bisect.insort(self.tasks, task, key=_get_order)


def _get_order(task: WaitingTask) -> tuple[float, int]:
    return (task.upper_seconds, -task.index)
