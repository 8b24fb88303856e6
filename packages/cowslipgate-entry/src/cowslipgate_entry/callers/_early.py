"""Requests that come while an entry that starts reads its configuration.

Most callers send a refused request no second time, and the store answers
within some 10 ms, so these requests wait for a moment.
"""

import datetime

import circuits

import cowslipgate_core as core
from cowslipgate_entry import _events
import cowslipgate_transport as transport

CHANNEL = "early"

WAIT = datetime.timedelta(milliseconds=300)
"""Time after the start in which requests wait for the configuration; a third
of the time that the store has for an answer, and less than any deadline."""


class EarlyRequests(circuits.BaseComponent):
    """Keeps requests back until the first configuration, or the wait ends.

    Then it hands them on in the order in which they came, and is gone.
    """

    channel = CHANNEL

    def __init__(self, clock: core.Clock) -> None:
        super().__init__()
        self._clock = clock
        self._until = clock.now() + WAIT
        self._held: list[transport.Exchange] = []
        self._over = False

    @circuits.handler("http_requested", channel=_events.GATEWAY, priority=10)
    def _on_http_requested(
        self, event: circuits.Event, exchange: transport.Exchange
    ) -> None:
        if not self._over:
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
        self._hand_on()

    @circuits.handler("tick")
    def _on_tick(self) -> None:
        if self._clock.now() >= self._until:
            self._hand_on()

    def _hand_on(self) -> None:
        if self._over:
            return
        self._over = True
        for exchange in self._held:
            self.fire(transport.http_requested(exchange), _events.GATEWAY)
        self._held.clear()
        self.unregister()
