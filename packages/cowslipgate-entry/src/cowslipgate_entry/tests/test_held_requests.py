"""Tests of requests that arrive before the first configuration."""

import datetime

import circuits
import cowslipgate_core as core
import cowslipgate_transport as transport
import pytest

from cowslipgate_entry import _events
from cowslipgate_entry.callers import _held_requests
from cowslipgate_entry.tests import control_builders


class GatewayRecorder(circuits.BaseComponent):
    """Recorder of requests, each with whether it was configured then."""

    channel = _events.GATEWAY

    def __init__(self) -> None:
        super().__init__()
        self.configured = False
        self.received: list[tuple[transport.Exchange, bool]] = []

    @circuits.handler("configuration_adopted")
    def _on_configuration_adopted(self, *arguments: object) -> None:
        self.configured = True

    @circuits.handler("http_requested")
    def _on_http_requested(self, exchange: transport.Exchange) -> None:
        self.received.append((exchange, self.configured))


class HeldRequestsHarness:
    """The component with a recording gateway and a manual clock."""

    def __init__(self) -> None:
        self.clock = core.ManualClock()
        self.gateway = GatewayRecorder()
        _held_requests.HeldRequests(self.clock).register(self.gateway)

    def fire(
        self, event: circuits.Event, channel: str = _events.GATEWAY
    ) -> None:
        """Fire an event and process it with all events that follow."""
        self.gateway.fire(event, channel)
        while len(self.gateway):
            self.gateway.flush()

    def request(self) -> transport.Exchange:
        """Deliver a request as the HTTP server does."""
        exchange = transport.Exchange("POST", "/", {}, {}, b"", None)
        self.fire(transport.http_requested(exchange))
        return exchange

    def adopt(self) -> None:
        """Adopt the first configuration."""
        configuration = core.parse_configuration(
            1, control_builders.CONFIGURATION
        )
        self.fire(_events.configuration_adopted(configuration))

    def read_cancellations(self) -> None:
        """Read the stored cancellations, of which there are none."""
        self.fire(_events.cancellations_read(()))

    def advance(self, milliseconds: int) -> None:
        """Advance the clock and fire a tick."""
        self.clock.advance(datetime.timedelta(milliseconds=milliseconds))
        self.fire(_events.tick(), _held_requests.CHANNEL)


@pytest.fixture
def starting() -> HeldRequestsHarness:
    return HeldRequestsHarness()


@pytest.fixture
def harness(starting: HeldRequestsHarness) -> HeldRequestsHarness:
    starting.read_cancellations()
    return starting


# Guards against a job that runs though the store says that it was cancelled.
@pytest.mark.parametrize("configured_first", [True, False])
def test_requests_wait_for_the_cancellations_as_well(
    starting: HeldRequestsHarness, configured_first: bool
) -> None:
    exchange = starting.request()
    steps = [starting.adopt, starting.read_cancellations]
    for step in steps if configured_first else reversed(steps):
        assert starting.gateway.received == []
        step()
    assert starting.gateway.received == [(exchange, True)]


# Guards against requests that wait for a store that is down.
def test_requests_wait_for_the_cancellations_until_the_timeout(
    starting: HeldRequestsHarness,
) -> None:
    exchange = starting.request()
    starting.adopt()
    starting.advance(290)
    assert starting.gateway.received == []
    starting.advance(20)
    assert starting.gateway.received == [(exchange, True)]


def test_early_requests_are_forwarded_once_configured(
    harness: HeldRequestsHarness,
) -> None:
    exchanges = [harness.request(), harness.request()]
    assert harness.gateway.received == []
    harness.adopt()
    assert harness.gateway.received == [
        (exchange, True) for exchange in exchanges
    ]


def test_later_requests_are_not_held(harness: HeldRequestsHarness) -> None:
    harness.adopt()
    exchange = harness.request()
    assert harness.gateway.received == [(exchange, True)]


def test_held_requests_are_forwarded_after_the_timeout(
    harness: HeldRequestsHarness,
) -> None:
    exchange = harness.request()
    harness.advance(290)
    assert harness.gateway.received == []
    harness.advance(20)
    assert harness.gateway.received == [(exchange, False)]
    harness.request()
    assert len(harness.gateway.received) == 2


def test_request_of_a_disconnected_caller_is_dropped(
    harness: HeldRequestsHarness,
) -> None:
    left, kept = harness.request(), harness.request()
    harness.fire(transport.http_abandoned(left))
    harness.adopt()
    assert harness.gateway.received == [(kept, True)]
