"""Tests of an entry's planned stop, with a manual clock."""

import datetime
import io

import attrs
import circuits
import cowslipgate_core as core
import cowslipgate_transport as transport
import pytest

from cowslipgate_entry import _events
from cowslipgate_entry import _settings
from cowslipgate_entry import _shutdown
from cowslipgate_entry.tests import control_builders

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

    @circuits.handler(
        "drain_http", "close_idle_http", "close_http", "answer_rest_http"
    )
    def _on_event(self, event: circuits.Event) -> None:
        self.names.append(event.name)


@attrs.define
class Server:
    """What the process asks of its HTTP server."""

    waiting: int = 0
    """Requests without an answer."""

    closed: bool = False
    """Whether it has stopped listening."""


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


def _drain(
    process: _shutdown.EntryProcess, clock: core.ManualClock, server: Server
) -> None:
    process.attach_server(server)
    _fire(process, circuits.Event.create("signal", SIGTERM, None))
    clock.advance(datetime.timedelta(seconds=3))
    _fire(process, _events.tick())


def _tick(process: _shutdown.EntryProcess) -> int | None:
    """Let a tick pass; return the status with which the process exits."""
    codes: list[int] = []
    # Circuits stops the process when a handler exits.
    process.stop = codes.append
    _fire(process, _events.tick())
    return codes[0] if codes else None


# Guards against status 1 of an entry whose last job is answered in the tick in
# which the drain's time ends (fault soak, seed 3009).
def test_entry_that_has_answered_everybody_exits_with_0(
    process: _shutdown.EntryProcess, clock: core.ManualClock
) -> None:
    server = Server(waiting=1)
    _drain(process, clock, server)
    server.waiting = 0
    clock.advance(datetime.timedelta(seconds=3))
    assert _tick(process) == 0


# Guards against an entry that ends before its components have seen that the
# drain has ended, as after a pause.
def test_entry_gives_the_last_answers_after_a_pause(
    process: _shutdown.EntryProcess,
    clock: core.ManualClock,
    server_events: ServerEvents,
) -> None:
    server = Server(waiting=1)
    _drain(process, clock, server)
    clock.advance(datetime.timedelta(seconds=30))
    assert _tick(process) is None
    assert "answer_rest_http" not in server_events.names
    assert _tick(process) is None
    assert server_events.names[-1] == "answer_rest_http"
    server.waiting = 0
    assert _tick(process) == 0


def test_entry_with_an_answer_that_is_not_read_exits_with_1(
    process: _shutdown.EntryProcess, clock: core.ManualClock
) -> None:
    _drain(process, clock, Server(waiting=1))
    clock.advance(datetime.timedelta(seconds=3))
    statuses = [_tick(process) for _ in range(_shutdown.EXTRA_TICKS + 1)]
    assert statuses == [None] * _shutdown.EXTRA_TICKS + [1]


# Guards against jobs that end when the process does, and not before.
def test_jobs_are_told_to_end_before_the_process(
    process: _shutdown.EntryProcess, clock: core.ManualClock
) -> None:
    recorder = control_builders.Recorder("dispatcher").register(process)
    began = clock.now()
    _drain(process, clock, Server(waiting=1))
    ((stops_at,),) = recorder.take("stop_at")
    assert stops_at - began == datetime.timedelta(seconds=5.8)
