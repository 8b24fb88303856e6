"""Timers on the monotonic clock, which share the wake-ups of a process.

The timer of ``circuits`` uses the system clock: when that is set back by some
seconds, nothing fires for as long.
"""

import math
import time

import circuits
from circuits.core import utils

ALIGNMENT_SECONDS = 0.1
"""Longer waits end at multiples of this time since the schedule was created,
at most half of it early or late, so that several timers need one wake-up."""


class Schedule(circuits.BaseComponent):
    """Fires the events of all timers below the same root component.

    One handler of ``generate_events`` serves them all; circuits calls each of
    them before it waits.
    """

    channel = "schedule"

    def __init__(self) -> None:
        super().__init__()
        self._origin = time.monotonic()
        # Timers that wait, in the order in which they were started.
        self._running: dict[_Scheduled, None] = {}
        self._next = math.inf

    def start(self, timer: "_Scheduled", seconds: float) -> None:
        """Fire a timer after some time, in place of an earlier start."""
        timer.due = self._align(seconds)
        self._running[timer] = None
        self._update()

    @circuits.handler("unregistered", channel="*")
    def _on_unregistered(
        self, component: circuits.BaseComponent, manager: object
    ) -> None:
        self._running = {
            timer: None for timer in self._running if timer.root is self.root
        }
        self._update()

    @circuits.handler("generate_events")
    def _on_generate_events(self, event: circuits.Event) -> None:
        if self._next == math.inf:
            return
        left = self._next - time.monotonic()
        if left > 0:
            event.reduce_time_left(left)
            return
        event.reduce_time_left(0)
        now = time.monotonic()
        for timer in [each for each in self._running if each.due <= now]:
            del self._running[timer]
            timer.expire()
        self._update()

    def _align(self, seconds: float) -> float:
        due = time.monotonic() + seconds
        if seconds < ALIGNMENT_SECONDS:
            return due
        steps = round((due - self._origin) / ALIGNMENT_SECONDS)
        return self._origin + steps * ALIGNMENT_SECONDS

    def _update(self) -> None:
        self._next = min(
            (timer.due for timer in self._running), default=math.inf
        )


class _Scheduled(circuits.BaseComponent):
    """A timer that waits in the schedule of its root component."""

    def __init__(self, event: circuits.Event, channels: tuple[str, ...]):
        super().__init__()
        self._event = event
        self._event_channels = channels
        self._schedule: Schedule | None = None
        self._seconds: float | None = None
        self.due = math.inf

    @property
    def running(self) -> bool:
        """Whether the event is still to be fired."""
        return self._seconds is not None

    def start(self, seconds: float) -> None:
        """Fire the event after some time, in place of an earlier start."""
        self._seconds = seconds
        if self._schedule is not None:
            self._schedule.start(self, seconds)

    def expire(self) -> None:
        """Fire the event."""
        self._seconds = None
        if not self.unregister_pending:
            self.fire(self._event, *self._event_channels)

    @circuits.handler("registered", channel="*")
    def _on_registered(
        self, component: circuits.BaseComponent, manager: object
    ) -> None:
        # The root is known once the event is handled, not when it is fired.
        root = self.root
        if self._schedule is not None and self._schedule.root is root:
            return
        found = utils.findcmp(root, Schedule)
        self._schedule = found or Schedule().register(root)
        if self._seconds is not None:
            self._schedule.start(self, self._seconds)


class Timer(_Scheduled):
    """Fires an event after some time, once or repeatedly.

    :param seconds: time until the event is fired
    :param event: event to fire
    :param channels: channels to fire on; by default the event's own
    :param persist: whether to fire again at the same interval
    """

    def __init__(
        self,
        seconds: float,
        event: circuits.Event,
        *channels: str,
        persist: bool = False,
    ) -> None:
        super().__init__(event, channels)
        self._interval = seconds
        self._persist = persist
        self.start(seconds)

    def expire(self) -> None:
        """Fire the event, and wait again or end."""
        super().expire()
        if self._persist:
            self.start(self._interval)
        else:
            self.unregister()


class Countdown(_Scheduled):
    """Fires an event some time after each start.

    Unlike a timer it stays registered: circuits looks up every handler again
    after a component was registered or removed, which costs more than the
    event.

    :param event: event to fire
    :param channel: channel to fire on
    """

    def __init__(self, event: circuits.Event, channel: str) -> None:
        super().__init__(event, (channel,))
