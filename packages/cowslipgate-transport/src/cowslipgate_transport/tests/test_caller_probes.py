"""Tests of the probes of callers that wait for an answer."""

from collections.abc import Iterator
import contextlib
import datetime
import http.client
import socket
import threading
import time
import types

import cowslipgate_core as core
import cowslipgate_transport as transport
from cowslipgate_transport import _caller_probes
from cowslipgate_transport.tests import builders
import pytest

HOLD = b"GET /hold HTTP/1.1\r\nHost: a\r\n\r\n"
HOLD_OLD = b"GET /hold HTTP/1.0\r\nHost: a\r\n\r\n"
CHECK = datetime.timedelta(seconds=_caller_probes.CHECK_SECONDS)
PROBE_SIZE = len(_caller_probes.PROBE)


class _Caller:
    """A socket whose acknowledgements the test chooses."""

    def __init__(self) -> None:
        self.unacknowledged = 0


class _Fixture:
    """Probes of one caller, checked at regular times."""

    def __init__(self) -> None:
        self.clock = core.ManualClock()
        self.probes = _caller_probes.CallerProbes(self.clock)
        self.check(), self.check()
        self.caller = _Caller()
        request = types.SimpleNamespace(sock=self.caller)
        self.exchange = transport.Exchange(
            "POST",
            "/",
            {},
            {},
            b"",
            types.SimpleNamespace(request=request),
            self.probes.request_seen_at,
        )
        self.probes.add(self.exchange)

    def check(self) -> dict[transport.Exchange, datetime.datetime]:
        """Perform the next check, and probe callers that are due."""
        self.clock.advance(CHECK)
        seen = self.probes.check()
        for exchange in self.probes.list_due():
            self.caller.unacknowledged += PROBE_SIZE
            self.probes.record_probe(exchange, self.clock.now())
        return seen


@pytest.fixture
def fixture(monkeypatch: pytest.MonkeyPatch) -> _Fixture:
    monkeypatch.setattr(
        _caller_probes,
        "count_unacknowledged",
        lambda sock: sock.unacknowledged,
    )
    return _Fixture()


@pytest.fixture
def harness() -> Iterator[builders.ServerHarness]:
    harness = builders.ServerHarness(
        transport.ServerLimits(probe_callers=True)
    )
    yield harness
    harness.close()


def test_caller_counts_as_seen_when_its_acknowledged_probe_was_sent(
    fixture: _Fixture,
) -> None:
    fixture.check()
    assert fixture.check() == {}
    sent_at = fixture.clock.now()
    fixture.caller.unacknowledged = 0
    assert fixture.check() == {fixture.exchange: sent_at}


# Guards against a caller that counts as seen though nothing of it came.
def test_caller_that_acknowledges_nothing_is_not_seen(
    fixture: _Fixture,
) -> None:
    assert [fixture.check() for _ in range(20)] == [{}] * 20


# Guards against a caller on a slow path, of which a probe is always under way.
def test_probes_under_way_hide_no_earlier_acknowledgement(
    fixture: _Fixture,
) -> None:
    for _ in range(6):
        fixture.check()
    assert fixture.caller.unacknowledged == 5 * PROBE_SIZE
    fixture.caller.unacknowledged -= PROBE_SIZE + 1
    (seen_at,) = fixture.check().values()
    first = fixture.clock.now() - 5 * CHECK
    assert seen_at == first


# Guards against a request that was read late and counts as new.
def test_request_read_after_a_pause_is_dated_before_it(
    fixture: _Fixture,
) -> None:
    before = fixture.clock.now()
    fixture.clock.advance(datetime.timedelta(seconds=2))
    fixture.check()
    assert fixture.probes.request_seen_at == before


def test_caller_is_probed_no_more_once_it_is_answered(
    fixture: _Fixture,
) -> None:
    fixture.probes.discard(fixture.exchange)
    assert [fixture.check() for _ in range(5)] == [{}] * 5
    assert (fixture.caller.unacknowledged, len(fixture.probes)) == (0, 0)


def _probe_twice(
    harness: builders.ServerHarness, exchange: transport.Exchange
) -> None:
    """Let a caller get two probes, whose acknowledgements may be delayed."""
    sock = exchange.response.request.sock

    def is_acknowledged() -> bool:
        time.sleep(builders.ROUND_SECONDS)
        return not _caller_probes.count_unacknowledged(sock)

    for _ in range(2):
        harness.check_callers()
        harness.check_callers()
        harness.run_until(is_acknowledged, "acknowledged")
    harness.check_callers()


def test_caller_that_waits_gets_probes_and_then_its_answer(
    harness: builders.ServerHarness,
) -> None:
    caller = harness.connect()
    for number in range(2):
        harness.send(caller, HOLD)
        harness.run_until(
            lambda number=number: len(harness.echo.held) > number, "requested"
        )
        exchange = harness.echo.held[-1]
        _probe_twice(harness, exchange)
        assert harness.echo.seen[-1][exchange] > exchange.seen_at
        harness.root.fire(
            transport.answer_http(exchange, transport.Answer(200, b"{}")),
            builders.CHANNEL,
        )
        received = bytearray()

        def is_answered(received: bytearray = received) -> bool:
            with contextlib.suppress(BlockingIOError):
                received.extend(caller.recv(builders.READ_SIZE))
            return received.endswith(b"\r\n\r\n{}")

        harness.run_until(is_answered, "answered")
        probe, answer = _caller_probes.PROBE, b"HTTP/1.1 200"
        assert received.startswith(probe * 2)
        assert received.replace(probe, b"").startswith(answer)


def test_library_that_knows_no_probes_reads_the_answer(
    harness: builders.ServerHarness,
) -> None:
    statuses = []

    def call() -> None:
        connection = http.client.HTTPConnection(
            "127.0.0.1", harness.server.port
        )
        connection.request("GET", "/hold")
        statuses.append(connection.getresponse().status)
        connection.close()

    thread = threading.Thread(target=call)
    thread.start()
    harness.run_until(lambda: bool(harness.echo.held), "requested")
    _probe_twice(harness, harness.echo.held[0])
    assert len(harness.echo.seen) == 2
    answer = transport.Answer(200, b"{}")
    harness.root.fire(
        transport.answer_http(harness.echo.held[0], answer), builders.CHANNEL
    )
    harness.run_until(lambda: bool(statuses), "answered")
    thread.join()
    assert statuses == [200]


# Guards against a probe that counts as sent when its process goes on again,
# after its caller has acknowledged it and gone.
def test_probe_counts_as_sent_before_it_was_written(
    harness: builders.ServerHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    caller = harness.connect()
    harness.send(caller, HOLD)
    harness.run_until(lambda: bool(harness.echo.held), "requested")
    (exchange,) = harness.echo.held
    send = harness.server._send_probe

    def send_and_stand_still(sock: socket.socket) -> bool:
        sent = send(sock)
        harness.clock.advance(10 * CHECK)
        return sent

    monkeypatch.setattr(harness.server, "_send_probe", send_and_stand_still)
    harness.clock.advance(3 * CHECK)
    sent_at = harness.clock.now()
    harness.root.fire(transport.check_callers(), builders.CHANNEL)
    harness.run_until(
        lambda: harness.clock.now() - sent_at >= 10 * CHECK, "probed"
    )
    harness.run_until(
        lambda: (
            not _caller_probes.count_unacknowledged(
                exchange.response.request.sock
            )
        ),
        "acknowledged",
    )
    harness.root.fire(transport.check_callers(), builders.CHANNEL)
    harness.run_until(lambda: bool(harness.echo.seen), "seen")
    assert harness.echo.seen[0] == {exchange: sent_at}


# Guards against a request that waited behind another one on its connection
# and counts as new, though its caller has gone since.
def test_pipelined_request_is_dated_when_it_was_read(
    harness: builders.ServerHarness,
) -> None:
    caller = harness.connect()
    harness.send(caller, HOLD * 2)
    harness.run_until(lambda: bool(harness.echo.held), "requested")
    first = harness.echo.held[0]
    for _ in range(10):
        harness.clock.advance(CHECK)
        harness.root.fire(transport.check_callers(), builders.CHANNEL)
        harness.run_round()
    answer = transport.Answer(200, b"{}")
    harness.root.fire(transport.answer_http(first, answer), builders.CHANNEL)
    harness.run_until(lambda: not harness.server.waiting, "answered")
    harness.check()
    harness.run_until(lambda: len(harness.echo.held) > 1, "requested again")
    assert harness.echo.held[1].seen_at == first.seen_at


# Guards against an interim response to a caller of HTTP/1.0, which knows none.
def test_caller_of_an_older_version_is_not_probed(
    harness: builders.ServerHarness,
) -> None:
    old, new = harness.connect(), harness.connect()
    harness.send(old, HOLD_OLD)
    harness.run_until(lambda: bool(harness.echo.held), "requested")
    assert harness.echo.held[0].seen_at is None
    harness.send(new, HOLD)
    harness.run_until(lambda: len(harness.echo.held) > 1, "requested")
    _probe_twice(harness, harness.echo.held[1])
    assert harness.echo.seen[-1].keys() == {harness.echo.held[1]}
    old.setblocking(False)
    with pytest.raises(BlockingIOError):
        old.recv(1)


def test_closed_connection_has_no_acknowledgements(
    harness: builders.ServerHarness,
) -> None:
    caller = harness.connect()
    caller.close()
    assert _caller_probes.count_unacknowledged(caller) is None
