"""Tests of the watch for callers that hang up."""

from collections.abc import Iterator
import gc
import socket
import struct

import pytest

import cowslipgate_transport as transport
from cowslipgate_transport.tests import builders

HOLD = b"GET /hold HTTP/1.1\r\nHost: a\r\n\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@pytest.fixture
def harness() -> Iterator[builders.ServerHarness]:
    harness = builders.ServerHarness(transport.ServerLimits())
    yield harness
    harness.close()


def _request(
    harness: builders.ServerHarness, caller: socket.socket
) -> transport.Exchange:
    """Send a request that is not answered, and return its exchange."""
    before = len(harness.echo.held)
    harness.send(caller, HOLD)
    harness.run_until(lambda: len(harness.echo.held) > before, "requested")
    return harness.echo.held[-1]


def _answer(
    harness: builders.ServerHarness,
    exchange: transport.Exchange,
    caller: socket.socket,
) -> None:
    answer = transport.Answer(200, b"{}")
    harness.root.fire(
        transport.answer_http(exchange, answer), builders.CHANNEL
    )
    assert harness.read_reply(caller).status == 200


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("more", [b"", HOLD])
def test_caller_that_hangs_up_is_found_once_before_it_is_read(
    harness: builders.ServerHarness, reset: bool, more: bytes
) -> None:
    caller = harness.connect()
    exchange = _request(harness, caller)
    watch = transport.HangUpWatch()
    watch.add(exchange)
    assert (watch.take(), transport.has_hung_up(exchange)) == ([], False)
    caller.sendall(more)
    if reset:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    caller.close()
    assert (watch.take(), transport.has_hung_up(exchange)) == (
        [exchange],
        True,
    )
    assert (watch.take(), len(watch)) == ([], 0)


def test_caller_of_a_closed_connection_has_hung_up(
    harness: builders.ServerHarness,
) -> None:
    caller = harness.connect()
    exchange = _request(harness, caller)
    caller.close()
    harness.run_until(lambda: harness.echo.abandoned, "abandoned")
    assert transport.has_hung_up(exchange)
    watch = transport.HangUpWatch()
    watch.add(exchange)
    assert (watch.take(), len(watch)) == ([], 0)


def test_second_request_of_a_connection_takes_the_place_of_the_first(
    harness: builders.ServerHarness,
) -> None:
    caller = harness.connect()
    watch = transport.HangUpWatch()
    first = _request(harness, caller)
    watch.add(first)
    _answer(harness, first, caller)
    second = _request(harness, caller)
    watch.add(second)
    watch.discard(first)
    caller.close()
    assert watch.take() == [second]


# Guards against a caller that is no longer watched: a connection took the
# descriptor of another that had been closed, and that was forgotten late.
def test_closed_connection_is_discarded_after_its_descriptor_is_used_again(
    harness: builders.ServerHarness,
) -> None:
    # Sockets of earlier tests that are collected later free lower ones.
    gc.collect()
    watch = transport.HangUpWatch()
    caller = harness.connect()
    first = _request(harness, caller)
    descriptor = first.response.request.sock.fileno()
    watch.add(first)
    caller.close()
    harness.run_until(lambda: harness.echo.abandoned, "abandoned")
    caller = harness.connect()
    second = _request(harness, caller)
    assert second.response.request.sock.fileno() == descriptor
    watch.add(second)
    watch.discard(first)
    assert watch.take() == []
    caller.close()
    assert watch.take() == [second]
