"""Requests that arrive before a starting entry has read the store.

It needs the configuration and the cancellations that were stored before its
start. Most callers do not retry a refused request, and the store answers
within about 10 ms, so these requests are held for a short time.
"""

import datetime

import circuits

import cowslipgate_core as core
from cowslipgate_entry import _events
import cowslipgate_transport as transport

CHANNEL = "held-requests"

HOLD_TIMEOUT = datetime.timedelta(milliseconds=300)
"""Longest time after the start that requests are held: a third of the time
allowed for the store's answer, and less than any deadline."""


class HeldRequests(circuits.BaseComponent):
    """Component that holds requests until both are read, or the timeout.

    It then forwards them in order of arrival and unregisters itself.
    """

    channel = CHANNEL

    def __init__(self, clock: core.Clock) -> None:
        super().__init__()
        self._clock = clock
        self._hold_deadline = clock.now() + HOLD_TIMEOUT
        self._held: list[transport.Exchange] = []
        self._released = False
        self._configured = False
        self._knows_cancelled = False

    @circuits.handler("http_requested", channel=_events.GATEWAY, priority=10)
    def _on_http_requested(
        self, event: circuits.Event, exchange: transport.Exchange
    ) -> None:
        if not self._released:
            event.stop()
            self._held.append(exchange)

    @circuits.handler("http_abandoned", channel=_events.GATEWAY)
    def _on_http_abandoned(self, exchange: transport.Exchange) -> None:
        self._held = [held for held in self._held if held is not exchange]

    @circuits.handler(
        "configuration_adopted", channel=_events.GATEWAY, priority=-1
    )
    def _on_configuration_adopted(
        self, configuration: core.Configuration
    ) -> None:
        self._configured = True
        self._release_when_ready()

    @circuits.handler(
        "cancellations_read", channel=_events.GATEWAY, priority=-1
    )
    def _on_cancellations_read(
        self, cancelled: tuple[tuple[str, str], ...]
    ) -> None:
        self._knows_cancelled = True
        self._release_when_ready()

    @circuits.handler("tick")
    def _on_tick(self) -> None:
        if self._clock.now() >= self._hold_deadline:
            self._release()

    def _release_when_ready(self) -> None:
        if self._configured and self._knows_cancelled:
            self._release()

    def _release(self) -> None:
        if self._released:
            return
        self._released = True
        for exchange in self._held:
            self.fire(transport.http_requested(exchange), _events.GATEWAY)
        self._held.clear()
        self.unregister()
