"""Requests that reach an entry before its first configuration."""

import datetime

import circuits
import cowslipgate_core as core
import cowslipgate_transport as transport
import pytest

from cowslipgate_entry import _events
from cowslipgate_entry.callers import _early
from cowslipgate_entry.tests import control_builders


class Gateway(circuits.BaseComponent):
    """Keeps what is handed to it, with whether it was configured then."""

    channel = _events.GATEWAY

    def __init__(self) -> None:
        super().__init__()
        self.configured = False
        self.taken: list[tuple[transport.Exchange, bool]] = []

    @circuits.handler("configuration_adopted")
    def _on_configuration_adopted(self, *arguments: object) -> None:
        self.configured = True

    @circuits.handler("http_requested")
    def _on_http_requested(self, exchange: transport.Exchange) -> None:
        self.taken.append((exchange, self.configured))


class Rig:
    """The component with a gateway and a manual clock."""

    def __init__(self) -> None:
        self.clock = core.ManualClock()
        self.gateway = Gateway()
        _early.EarlyRequests(self.clock).register(self.gateway)

    def tell(
        self, event: circuits.Event, channel: str = _events.GATEWAY
    ) -> None:
        """Fire an event and let all follow."""
        self.gateway.fire(event, channel)
        while len(self.gateway):
            self.gateway.flush()

    def request(self) -> transport.Exchange:
        """Send a request."""
        exchange = transport.Exchange("POST", "/", {}, {}, b"", None)
        self.tell(transport.http_requested(exchange))
        return exchange

    def adopt(self) -> None:
        """Bring the first configuration into force."""
        configuration = core.parse_configuration(1, control_builders.SECTIONS)
        self.tell(_events.configuration_adopted(configuration))

    def pass_time(self, milliseconds: int) -> None:
        """Let time pass and look at it."""
        self.clock.advance(datetime.timedelta(milliseconds=milliseconds))
        self.tell(_events.tick(), _early.CHANNEL)


@pytest.fixture
def rig() -> Rig:
    return Rig()


def test_early_requests_are_handed_on_once_configured(rig: Rig) -> None:
    exchanges = [rig.request(), rig.request()]
    assert rig.gateway.taken == []
    rig.adopt()
    assert rig.gateway.taken == [(exchange, True) for exchange in exchanges]


def test_later_requests_are_not_kept_back(rig: Rig) -> None:
    rig.adopt()
    exchange = rig.request()
    assert rig.gateway.taken == [(exchange, True)]


def test_requests_wait_for_a_moment_only(rig: Rig) -> None:
    exchange = rig.request()
    rig.pass_time(290)
    assert rig.gateway.taken == []
    rig.pass_time(20)
    assert rig.gateway.taken == [(exchange, False)]
    rig.request()
    assert len(rig.gateway.taken) == 2


def test_request_whose_caller_has_left_is_dropped(rig: Rig) -> None:
    left, kept = rig.request(), rig.request()
    rig.tell(transport.http_abandoned(left))
    rig.adopt()
    assert rig.gateway.taken == [(kept, True)]
