"""An event loop on a virtual clock."""

from collections.abc import Callable
import datetime
import heapq
import itertools

import cowslipgate_core as core

Action = Callable[[], None]


class Loop(core.Clock):
    """Calls actions in order of their due times; the clock jumps to each."""

    def __init__(self) -> None:
        self._now = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
        self._start = self._now
        self._actions: list[tuple[datetime.datetime, int, Action]] = []
        self._numbers = itertools.count()

    def now(self) -> datetime.datetime:
        """Return the current virtual time."""
        return self._now

    def read_steady(self) -> datetime.timedelta:
        """Return the virtual time since the start; nothing is suspended."""
        return self._now - self._start

    @property
    def elapsed(self) -> float:
        """Virtual seconds since the start."""
        return (self._now - self._start).total_seconds()

    def call_in(self, seconds: float, action: Action) -> None:
        """Schedule an action; those due at the same time run in call order."""
        due = self._now + datetime.timedelta(seconds=seconds)
        heapq.heappush(self._actions, (due, next(self._numbers), action))

    def run(self, seconds: float) -> None:
        """Run the actions due up to ``seconds`` after the start."""
        until = self._start + datetime.timedelta(seconds=seconds)
        while self._actions and self._actions[0][0] <= until:
            self._now, _, action = heapq.heappop(self._actions)
            action()
        self._now = until
