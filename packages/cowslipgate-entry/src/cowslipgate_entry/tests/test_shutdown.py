"""Tests of an entry's planned stop, with a manual clock."""

import datetime
import io

import circuits
import cowslipgate_core as core
import cowslipgate_transport as transport
import pytest

from cowslipgate_entry import _events
from cowslipgate_entry import _settings
from cowslipgate_entry import _shutdown

SIGTERM = 15
FLAGS = {
    "domain": "kaai-zuid",
    "platform": "127.0.0.1:1",
    "balancer": "127.0.0.1:2",
    "drain_delay": "2s",
    "drain_timeout": "6s",
}


class ServerEvents(circuits.BaseComponent):
    """Recorder of the events that control the HTTP server."""

    channel = _events.GATEWAY

    def __init__(self) -> None:
        super().__init__()
        self.names: list[str] = []

    @circuits.handler("drain_http", "close_idle_http", "close_http")
    def _on_event(self, event: circuits.Event) -> None:
        self.names.append(event.name)


@pytest.fixture
def clock() -> core.ManualClock:
    return core.ManualClock()


@pytest.fixture
def server_events() -> ServerEvents:
    return ServerEvents()


@pytest.fixture
def process(
    clock: core.ManualClock, server_events: ServerEvents
) -> _shutdown.EntryProcess:
    settings = core.load_settings(_settings.EntrySettings, FLAGS, {})
    logs = transport.Logs("json", "info", {}, io.StringIO())
    process = _shutdown.EntryProcess(clock, settings, logs)
    server_events.register(process)
    return process


def _fire(process: _shutdown.EntryProcess, event: circuits.Event) -> None:
    process.fire(event, "process")
    while len(process):
        process.flush()


def test_idle_connections_are_closed_after_the_drain_delay(
    process: _shutdown.EntryProcess,
    clock: core.ManualClock,
    server_events: ServerEvents,
) -> None:
    _fire(process, circuits.Event.create("signal", SIGTERM, None))
    clock.advance(datetime.timedelta(seconds=1))
    _fire(process, _events.tick())
    assert server_events.names == ["drain_http"]
    clock.advance(datetime.timedelta(seconds=1))
    _fire(process, _events.tick())
    _fire(process, _events.tick())
    assert server_events.names == ["drain_http", "close_idle_http"]
