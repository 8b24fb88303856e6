"""What an entry knows of the targets of one service."""

import bisect
from collections.abc import Iterator
import datetime

import attrs
import msgspec

from cowslipgate_core.messages import _resources
from cowslipgate_core.placement import _room

PROBATION = "probation"


@attrs.define(eq=False)
class TargetView:
    """What an entry knows of one agent and its target."""

    agent: str
    """Name of the agent."""

    resources: _resources.Resources
    """What one task may use."""

    slots: int
    """Slots open to work."""

    occupied: int
    """Tasks running or queued, those of other entries included."""

    speed: float
    """Learned speed; a target of speed two halves the run time."""

    usable_until: datetime.datetime | None = None
    """When the agent has been silent too long, or None for never."""

    held: bool = False
    """Whether it refused a task and has not told its load since."""

    on_probation: bool = False
    """Whether a first task has to show that it works again."""

    rank: int = 0
    """Position in the pool, the fastest target first."""

    listed: bool = False
    """Whether the pool lists it as open."""

    room: _resources.Room = msgspec.UNSET
    """What all its tasks share."""

    used: _resources.Resources = _resources.Resources()
    """What tasks under way take of the room, those of other entries too."""

    @property
    def free(self) -> int:
        """Number of slots that are likely free."""
        return self.slots - self.occupied

    @property
    def offer(self) -> _resources.Resources:
        """What the next task may use."""
        if self.room is msgspec.UNSET:
            return self.resources
        return _room.subtract_resources(self.room, self.used)

    @property
    def awaits_trial(self) -> bool:
        """Whether it is on probation and nobody tries it yet."""
        return self.on_probation and not self.occupied

    def is_usable(self, now: datetime.datetime) -> bool:
        """Tell whether work may be sent to it."""
        if self.held or not self.slots:
            return False
        return self.usable_until is None or now < self.usable_until


class Pool:
    """Targets of one service in the order of their speeds.

    :param margin: tasks that may queue at a target that is listed as open
    """

    def __init__(
        self, targets: list[TargetView] | None = None, margin: int = 0
    ) -> None:
        self._views: dict[str, TargetView] = {}
        self._ranked: list[TargetView] = []
        self._open: list[int] = []
        self._probation: dict[str, TargetView] = {}
        self._faster: list[float] = []
        self._fastest: dict[_resources.Resources, float] = {}
        self._margin = margin
        self.typical_needs = _resources.Resources()
        self.capacity = 0.0
        self.slots = 0
        self.turn = 0
        for target in targets or ():
            self._views[target.agent] = target
        self.rank_targets()

    @property
    def ranked(self) -> list[TargetView]:
        """Targets, the fastest first."""
        return self._ranked

    def __contains__(self, agent: str) -> bool:
        return agent in self._views

    def __len__(self) -> int:
        return len(self._views)

    def get(self, agent: str) -> TargetView | None:
        """Return the view of an agent's target."""
        return self._views.get(agent)

    def add(self, target: TargetView) -> None:
        """Take in a target; it is ranked last until the next ranking."""
        self._views[target.agent] = target
        target.rank = len(self._ranked)
        self._ranked.append(target)
        self._faster.append(self._faster[-1])
        self._fastest.clear()
        self.update(target)

    def remove(self, agent: str) -> None:
        """Forget a target."""
        if self._views.pop(agent, None) is not None:
            self.rank_targets()

    def set_margin(self, margin: int) -> None:
        """Change the number of tasks that may queue at an open target."""
        if margin != self._margin:
            self._margin = margin
            self.rank_targets()

    def rank_targets(self) -> None:
        """Order the targets by their present speeds."""
        self._ranked = sorted(
            self._views.values(), key=lambda view: (-view.speed, view.agent)
        )
        self._fastest.clear()
        self._open.clear()
        self._probation.clear()
        for rank, view in enumerate(self._ranked):
            view.rank = rank
            view.listed = False
            self.update(view)
        self.slots = sum(self.count_parallel(view) for view in self._ranked)
        self._faster = [0.0]
        for view in self._ranked:
            power = self.count_parallel(view) * view.speed
            self._faster.append(self._faster[-1] + power)
        self.capacity = self._faster[-1]

    def update(self, target: TargetView) -> None:
        """Take in that a target's load or state has changed."""
        if target.on_probation:
            self._probation[target.agent] = target
        else:
            self._probation.pop(target.agent, None)
        is_open = self.has_place(target) and target.slots > 0
        if is_open == target.listed:
            return
        target.listed = is_open
        position = bisect.bisect_left(self._open, target.rank)
        if is_open:
            self._open.insert(position, target.rank)
        else:
            del self._open[position]

    def has_place(self, target: TargetView) -> bool:
        """Tell whether some task may go to a target."""
        if target.free + self._margin <= 0:
            return False
        return target.room is msgspec.UNSET or target.offer.millicores > 0

    def count_parallel(self, target: TargetView) -> int:
        """Return how many typical tasks a target runs at once."""
        if target.room is msgspec.UNSET:
            return target.slots
        fitting = _room.count_fitting(target.room, self.typical_needs)
        return min(target.slots, fitting)

    def occupy(self, target: TargetView, needs: _resources.Resources) -> None:
        """Take in that a task goes to a target."""
        target.occupied += 1
        target.used = _room.add_resources(target.used, needs)
        self.update(target)

    def has_open(self, now: datetime.datetime) -> bool:
        """Tell whether a target may take a task."""
        return next(self.iterate_open(now), None) is not None

    def iterate_open(self, now: datetime.datetime) -> Iterator[TargetView]:
        """Return the targets that may take a task, the fastest first.

        Those that close meanwhile are returned too.
        """
        for rank in tuple(self._open):
            view = self._ranked[rank]
            if view.is_usable(now):
                yield view

    def list_trials(self, now: datetime.datetime) -> list[TargetView]:
        """Return the targets that wait for a trial, the fastest first."""
        waiting = [
            view
            for view in self._probation.values()
            if view.awaits_trial and view.listed and view.is_usable(now)
        ]
        waiting.sort(key=lambda view: view.rank)
        return waiting

    def get_fastest(self, needs: _resources.Resources) -> float:
        """Return the speed of the fastest target that covers ``needs``."""
        known = self._fastest.get(needs)
        if known is None:
            known = self._find_fastest(needs)
            self._fastest[needs] = known
        return known

    def _find_fastest(self, needs: _resources.Resources) -> float:
        for view in self._ranked:
            if view.slots and _room.fits_resources(view.resources, needs):
                return view.speed
        return 0.0

    def measure_faster(self, target: TargetView) -> float:
        """Return the slots times speeds of the faster targets."""
        return self._faster[target.rank]

    def is_faster_busy(self, target: TargetView) -> bool:
        """Tell whether a faster target has tasks under way."""
        for view in self._ranked:
            if view.speed <= target.speed:
                return False
            if view.occupied and view.slots:
                return True
        return False
