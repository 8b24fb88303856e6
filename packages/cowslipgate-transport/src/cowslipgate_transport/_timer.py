"""Timers on the monotonic clock.

The timer of ``circuits`` uses the system clock: when that is set back by some
seconds, nothing fires for as long.
"""

import time

import circuits


class Timer(circuits.BaseComponent):
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
        super().__init__()
        self._seconds = seconds
        self._event = event
        self._event_channels = channels
        self._persist = persist
        self._due = time.monotonic() + seconds

    @circuits.handler("generate_events")
    def _on_generate_events(self, event: circuits.Event) -> None:
        now = time.monotonic()
        if now < self._due:
            event.reduce_time_left(self._due - now)
            return
        if self.unregister_pending:
            return
        self.fire(self._event, *self._event_channels)
        if self._persist:
            self._due = now + self._seconds
        else:
            self.unregister()
        event.reduce_time_left(0)


class Countdown(circuits.BaseComponent):
    """Fires an event some time after each start.

    Unlike a timer it stays registered: circuits looks up every handler again
    after a component was registered or removed, which costs more than the
    event.

    :param event: event to fire
    :param channel: channel to fire on
    """

    def __init__(self, event: circuits.Event, channel: str) -> None:
        super().__init__()
        self._event = event
        self._event_channel = channel
        self._due: float | None = None

    @property
    def running(self) -> bool:
        """Whether the event is still to be fired."""
        return self._due is not None

    def start(self, seconds: float) -> None:
        """Fire the event after some time, in place of an earlier start."""
        self._due = time.monotonic() + seconds

    @circuits.handler("generate_events")
    def _on_generate_events(self, event: circuits.Event) -> None:
        if self._due is None:
            return
        left = self._due - time.monotonic()
        if left > 0:
            event.reduce_time_left(left)
            return
        self._due = None
        self.fire(self._event, self._event_channel)
        event.reduce_time_left(0)
