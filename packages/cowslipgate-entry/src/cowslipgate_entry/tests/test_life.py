"""Tests of an entry's orderly stop, with a manual clock."""

import datetime
import io

import circuits
import cowslipgate_core as core
import cowslipgate_transport as transport
import pytest

from cowslipgate_entry import _events
from cowslipgate_entry import _life
from cowslipgate_entry import _settings

SIGTERM = 15
FLAGS = {
    "domain": "kaai-zuid",
    "platform": "127.0.0.1:1",
    "balancer": "127.0.0.1:2",
    "drain_delay": "2s",
    "drain_timeout": "6s",
}


class Asked(circuits.BaseComponent):
    """Keeps what the HTTP server is asked to do."""

    channel = _events.GATEWAY

    def __init__(self) -> None:
        super().__init__()
        self.names: list[str] = []

    @circuits.handler("drain_http", "close_idle_http", "close_http")
    def _on_asked(self, event: circuits.Event) -> None:
        self.names.append(event.name)


@pytest.fixture
def clock() -> core.ManualClock:
    return core.ManualClock()


@pytest.fixture
def asked() -> Asked:
    return Asked()


@pytest.fixture
def process(clock: core.ManualClock, asked: Asked) -> _life.EntryProcess:
    settings = core.load_settings(_settings.EntrySettings, FLAGS, {})
    logs = transport.Logs("json", "info", {}, io.StringIO())
    process = _life.EntryProcess(clock, settings, logs)
    asked.register(process)
    return process


def _tell(process: _life.EntryProcess, event: circuits.Event) -> None:
    process.fire(event, "process")
    while len(process):
        process.flush()


def test_idle_connections_are_closed_once_the_balancer_has_noticed(
    process: _life.EntryProcess, clock: core.ManualClock, asked: Asked
) -> None:
    _tell(process, circuits.Event.create("signal", SIGTERM, None))
    clock.advance(datetime.timedelta(seconds=1))
    _tell(process, _events.tick())
    assert asked.names == ["drain_http"]
    clock.advance(datetime.timedelta(seconds=1))
    _tell(process, _events.tick())
    _tell(process, _events.tick())
    assert asked.names == ["drain_http", "close_idle_http"]
