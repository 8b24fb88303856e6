"""Queue and running attempts of one agent."""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import datetime

import attrs
import msgspec

from cowslipgate_core.execution import _executor_actions
from cowslipgate_core.messages import _attempts
from cowslipgate_core.messages import _resources
from cowslipgate_core.placement import _room


@attrs.define(eq=False)
class HeldAttempt:
    """An attempt that is queued or running."""

    key: _executor_actions.AttemptKey
    """The attempt."""

    order: _attempts.Order
    """Task and payload to run."""

    queued_at: datetime.datetime
    """Time at which the agent received it."""

    started_at: datetime.datetime | None = None
    """Time at which the target was called, or None while queued."""

    address: str = ""
    """Address of the target that was called."""

    stopping: bool = False
    """Whether the target was asked to stop it."""

    stalled: bool = False
    """Whether it is stopped as a stalled run, which counts as a failure."""

    needed_at: datetime.datetime | None = None
    """Time of the last sign that the attempt rested on before it was given
    up, or None while its result may be needed."""


class Slots:
    """Queued and running attempts, started in order of arrival."""

    def __init__(self) -> None:
        self._queue: collections.OrderedDict[
            _executor_actions.AttemptKey, HeldAttempt
        ] = collections.OrderedDict()
        self.running: dict[_executor_actions.AttemptKey, HeldAttempt] = {}

    def __len__(self) -> int:
        return len(self._queue) + len(self.running)

    def __iter__(self) -> Iterator[_executor_actions.AttemptKey]:
        yield from self._queue
        yield from self.running

    def __contains__(self, key: _executor_actions.AttemptKey) -> bool:
        return key in self._queue or key in self.running

    def count(self, entry: int) -> int:
        """Return the number of attempts held for an entry."""
        return sum(1 for key in self if key.entry == entry)

    def get_entries(self) -> set[int]:
        """Return the entries for which attempts are held."""
        return {key.entry for key in self}

    def find_run(self, name: str) -> HeldAttempt | None:
        """Return the run of a task, or None if the name is empty."""
        if not name:
            return None
        for held in self.running.values():
            if held.order.name == name:
                return held
        return None

    def push(self, held: HeldAttempt) -> None:
        """Add an attempt to the end of the queue."""
        self._queue[held.key] = held

    def withdraw(self, key: _executor_actions.AttemptKey) -> bool:
        """Remove an attempt from the queue; return whether it was queued."""
        return self._queue.pop(key, None) is not None

    def withdraw_all(
        self, entry: int | None = None
    ) -> list[_executor_actions.AttemptKey]:
        """Remove the attempts of one entry, or of all; return their keys."""
        keys = [
            key for key in self._queue if entry is None or key.entry == entry
        ]
        for key in keys:
            del self._queue[key]
        return keys

    def withdraw_unfit(
        self, covers: Callable[[_resources.Resources], bool]
    ) -> list[_executor_actions.AttemptKey]:
        """Remove the queued attempts whose needs are not covered."""
        keys = [
            key
            for key, held in self._queue.items()
            if not covers(held.order.needs)
        ]
        for key in keys:
            del self._queue[key]
        return keys

    @property
    def queued(self) -> int:
        """Number of queued attempts."""
        return len(self._queue)

    def covers(
        self, room: _resources.Resources, needs: _resources.Resources
    ) -> bool:
        """Return whether room is left for one more beside all attempts."""
        used = _room.sum_resources(
            held.order.needs
            for held in (*self._queue.values(), *self.running.values())
        )
        left = _room.subtract_resources(room, used)
        return _room.covers_needs(left, needs)

    def measure_use(self, entry: int) -> _resources.Resources:
        """Return the resources that attempts of all other entries need."""
        return _room.sum_resources(
            held.order.needs
            for held in (*self._queue.values(), *self.running.values())
            if held.key.entry != entry
        )

    def start_next(
        self,
        limit: int,
        room: _resources.Room,
        address: str,
        now: datetime.datetime,
    ) -> HeldAttempt | None:
        """Start the head of the queue, if a slot and room are free.

        :param limit: attempts that may run at once
        :param room: resources that all running attempts share
        """
        if not self._queue or len(self.running) >= limit:
            return None
        if room is not msgspec.UNSET:
            needs = next(iter(self._queue.values())).order.needs
            if not _room.covers_needs(self._measure_left(room), needs):
                return None
        key, held = self._queue.popitem(last=False)
        held.started_at = now
        held.address = address
        self.running[key] = held
        return held

    def _measure_left(
        self, room: _resources.Resources
    ) -> _resources.Resources:
        used = _room.sum_resources(
            held.order.needs for held in self.running.values()
        )
        return _room.subtract_resources(room, used)
