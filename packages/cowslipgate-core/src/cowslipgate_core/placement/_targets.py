"""An entry's view of the targets of one service."""

import bisect
from collections.abc import Iterator
import datetime

import attrs
import msgspec

from cowslipgate_core.messages import _resources
from cowslipgate_core.placement import _overdue
from cowslipgate_core.placement import _room

PROBATION = "probation"


@attrs.define(eq=False)
class TargetView:
    """An entry's view of one agent and its target."""

    agent: str
    """Name of the agent."""

    resources: _resources.Resources
    """Largest resources that one task may use."""

    slots: int
    """Slots open to work; zero while the agent departs."""

    occupied: int
    """Expected number of tasks running or queued, for all entries."""

    speed: float
    """Learned speed; run times are inversely proportional to it."""

    usable_until: datetime.datetime | None = None
    """Time from which the agent is suspect, or None for never."""

    awaits_load: bool = False
    """Whether it refused a task and has not reported its load since."""

    on_probation: bool = False
    """Whether it gets one trial task at a time after a quarantine."""

    rank: int = 0
    """Position in the pool, set by it; zero is the fastest target."""

    listed: bool = False
    """Whether the pool lists it as open; set by the pool."""

    room: _resources.Room = msgspec.UNSET
    """Resources that all its tasks share; unset if only slots limit it."""

    used: _resources.Resources = _resources.Resources()
    """Part of the room that the tasks of all entries take."""

    near: bool = True
    """Whether it is in the failure domain of the entry."""

    @property
    def free(self) -> int:
        """Expected number of free slots; negative if tasks are queued."""
        return self.slots - self.occupied

    @property
    def offer(self) -> _resources.Resources:
        """Resources that the next task may use."""
        if self.room is msgspec.UNSET:
            return self.resources
        return _room.subtract_resources(self.room, self.used)

    @property
    def awaits_trial(self) -> bool:
        """Whether it is on probation and has no task."""
        return self.on_probation and not self.occupied

    def is_usable(self, now: datetime.datetime) -> bool:
        """Return whether work may be sent to it."""
        if self.awaits_load or not self.slots:
            return False
        return self.usable_until is None or now < self.usable_until


class Pool:
    """Targets of one service, the fastest first.

    :param queue_allowance: tasks that may queue at a target beyond its slots
    """

    def __init__(
        self, targets: list[TargetView] | None = None, queue_allowance: int = 0
    ) -> None:
        self._views: dict[str, TargetView] = {}
        self._ranked: list[TargetView] = []
        self._open_ranks: list[int] = []
        self._views_on_probation: dict[str, TargetView] = {}
        self._faster_capacities: list[float] = []
        self._all_near = True
        self._fastest_speeds: dict[_resources.Resources, float] = {}
        self._queue_allowance = queue_allowance
        self.running: _overdue.OverdueTasks | None = None
        self.typical_needs = _resources.Resources()
        self.capacity = 0.0
        self.slots = 0
        self.turn = 0
        for target in targets or ():
            self._views[target.agent] = target
        self.rank_targets()

    @property
    def ranked(self) -> list[TargetView]:
        """Targets, the fastest first as of the last ranking."""
        return self._ranked

    @property
    def all_near(self) -> bool:
        """Whether every target is in the failure domain of the entry."""
        return self._all_near

    def __contains__(self, agent: str) -> bool:
        return agent in self._views

    def __len__(self) -> int:
        return len(self._views)

    def get(self, agent: str) -> TargetView | None:
        """Return the view of an agent's target, or None if it is unknown."""
        return self._views.get(agent)

    def add(self, target: TargetView) -> None:
        """Add a target; it is ranked last until the next ranking."""
        self._views[target.agent] = target
        target.rank = len(self._ranked)
        self._ranked.append(target)
        self._faster_capacities.append(self._faster_capacities[-1])
        self._fastest_speeds.clear()
        self._all_near = self._all_near and target.near
        self.update(target)

    def remove(self, agent: str) -> None:
        """Remove a target, if known, and rank the others."""
        if self._views.pop(agent, None) is not None:
            self.rank_targets()

    def set_queue_allowance(self, queue_allowance: int) -> None:
        """Set how many tasks may queue at a target beyond its slots."""
        if queue_allowance != self._queue_allowance:
            self._queue_allowance = queue_allowance
            self.rank_targets()

    def rank_targets(self) -> None:
        """Order the targets by speed and recompute slots and capacity."""
        self._ranked = sorted(
            self._views.values(), key=lambda view: (-view.speed, view.agent)
        )
        self._all_near = all(view.near for view in self._ranked)
        self._fastest_speeds.clear()
        self._open_ranks.clear()
        self._views_on_probation.clear()
        for rank, view in enumerate(self._ranked):
            view.rank = rank
            view.listed = False
            self.update(view)
        self.slots = sum(self.count_parallel(view) for view in self._ranked)
        self._faster_capacities = [0.0]
        for view in self._ranked:
            capacity = self.count_parallel(view) * view.speed
            self._faster_capacities.append(
                self._faster_capacities[-1] + capacity
            )
        self.capacity = self._faster_capacities[-1]

    def update(self, target: TargetView) -> None:
        """Update the lists for a target whose load or state has changed."""
        if target.on_probation:
            self._views_on_probation[target.agent] = target
        else:
            self._views_on_probation.pop(target.agent, None)
        is_open = self.has_free_place(target) and target.slots > 0
        if is_open == target.listed:
            return
        target.listed = is_open
        position = bisect.bisect_left(self._open_ranks, target.rank)
        if is_open:
            self._open_ranks.insert(position, target.rank)
        else:
            del self._open_ranks[position]

    def has_free_place(self, target: TargetView) -> bool:
        """Return whether a slot or queue place and processor time are free."""
        if target.free + self._queue_allowance <= 0:
            return False
        return target.room is msgspec.UNSET or target.offer.millicores > 0

    def count_parallel(self, target: TargetView) -> int:
        """Return how many tasks of typical needs a target runs at once."""
        if target.room is msgspec.UNSET:
            return target.slots
        fitting = _room.count_fitting(target.room, self.typical_needs)
        return min(target.slots, fitting)

    def occupy(self, target: TargetView, needs: _resources.Resources) -> None:
        """Record that a task is assigned to a target."""
        target.occupied += 1
        target.used = _room.add_resources(target.used, needs)
        self.update(target)

    def list_remaining(
        self, target: TargetView, now: datetime.datetime
    ) -> list[float]:
        """Return the seconds that each task known to run there will take."""
        if self.running is None:
            return []
        return self.running.list_remaining(target.agent, target.speed, now)

    def has_open(self, now: datetime.datetime) -> bool:
        """Return whether any target may take a task."""
        return next(self.iterate_open(now), None) is not None

    def iterate_open(self, now: datetime.datetime) -> Iterator[TargetView]:
        """Yield the targets that may take a task, the fastest first.

        Those that fill up during the iteration are yielded too.
        """
        for rank in tuple(self._open_ranks):
            view = self._ranked[rank]
            if view.is_usable(now):
                yield view

    def list_trials(self, now: datetime.datetime) -> list[TargetView]:
        """Return the targets that need a trial task, the fastest first."""
        waiting = [
            view
            for view in self._views_on_probation.values()
            if view.awaits_trial and view.listed and view.is_usable(now)
        ]
        waiting.sort(key=lambda view: view.rank)
        return waiting

    def get_fastest(self, needs: _resources.Resources) -> float:
        """Return the speed of the fastest target that covers ``needs``.

        Zero if there is none; current loads are ignored.
        """
        speed = self._fastest_speeds.get(needs)
        if speed is None:
            speed = self._find_fastest(needs)
            self._fastest_speeds[needs] = speed
        return speed

    def _find_fastest(self, needs: _resources.Resources) -> float:
        for view in self._ranked:
            if view.slots and _room.covers_needs(view.resources, needs):
                return view.speed
        return 0.0

    def get_faster_capacity(self, target: TargetView) -> float:
        """Return the sum of slots times speed of the faster targets."""
        return self._faster_capacities[target.rank]

    def is_faster_busy(self, target: TargetView) -> bool:
        """Return whether a faster target has running or queued tasks."""
        for view in self._ranked:
            if view.speed <= target.speed:
                return False
            if view.occupied and view.slots:
                return True
        return False
