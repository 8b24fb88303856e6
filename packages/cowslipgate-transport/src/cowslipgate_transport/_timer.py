"""Timers on the steady clock.

The timer of ``circuits`` waits by the time of day: when that goes back by
some seconds, nothing fires for as long.
"""

import time

import circuits


class Timer(circuits.BaseComponent):
    """Fires an event after some time, once or again and again.

    :param seconds: time until the event is fired
    :param event: what is fired
    :param channels: where to; without any, on the event's own channels
    :param persist: whether it is fired again after the same time
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
        self._targets = channels
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
        self.fire(self._event, *self._targets)
        if self._persist:
            self._due = now + self._seconds
        else:
            self.unregister()
        event.reduce_time_left(0)
