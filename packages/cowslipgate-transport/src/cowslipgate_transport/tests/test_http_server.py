"""Tests of the HTTP server with correct, faulty and slow callers."""

from collections.abc import Iterator
import json

from circuits.web import parsers
import pytest

import cowslipgate_transport as transport
from cowslipgate_transport.tests import builders

LIMITS = transport.ServerLimits(
    max_body_bytes=1_000,
    max_connections=3,
    max_header_bytes=500,
    max_headers=5,
)
HOST = b"Host: h\r\n"
GOOD = b"GET /ok HTTP/1.1\r\nHost: h\r\n\r\n"


def _post(path: bytes, body: bytes, *headers: bytes) -> bytes:
    length = b"Content-Length: %d" % len(body)
    lines = [b"POST %s HTTP/1.1" % path, b"Host: h", length, *headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


@pytest.fixture
def harness() -> Iterator[builders.ServerHarness]:
    """Run a server with small limits."""
    running = builders.ServerHarness(LIMITS)
    yield running
    running.close()


@pytest.mark.parametrize(
    ("request_bytes", "status", "kind"),
    [
        (b"nonsense\r\n\r\n", 400, "malformed"),
        (b"\x16\x03\x01\x02\x00\r\n\r\n", 400, "malformed"),
        (b"GET /a b HTTP/1.1\r\n" + HOST + b"\r\n", 400, "malformed"),
        (b"GET /%zz HTTP/1.1\r\n" + HOST + b"\r\n", 400, "malformed"),
        (b"GET /%ff HTTP/1.1\r\n" + HOST + b"\r\n", 400, "malformed"),
        (b"GET /\xc3\xa9 HTTP/1.1\r\n" + HOST + b"\r\n", 400, "malformed"),
        (b"GET /a#b HTTP/1.1\r\n" + HOST + b"\r\n", 400, "malformed"),
        (b"GET /../%2e/a HTTP/1.1\r\n" + HOST + b"\r\n", 400, "malformed"),
        (b"GET http://h/a HTTP/1.1\r\n" + HOST + b"\r\n", 400, "malformed"),
        (b"GET /a HTTP/1.1\r\n\r\n", 400, "malformed"),
        (b"GET /a HTTP/1.1\r\nHost: \x80h\r\n\r\n", 400, "malformed"),
        (b"GET /a HTTP/1.1\r\nHost: h:x\r\n\r\n", 400, "malformed"),
        (
            b"GET /a HTTP/2.0\r\n" + HOST + b"\r\n",
            505,
            "version_not_supported",
        ),
        (b"GET /a HTTP/1.1\r\nHost h\r\n\r\n", 400, "malformed"),
        (b"GET /a HTTP/1.1\r\n" + HOST * 2 + b"\r\n", 400, "malformed"),
        (b"GET /a HTTP/1.1\r\n" + HOST + b" x\r\n\r\n", 400, "malformed"),
        (b"GET /a HTTP/1.1\r\n" + HOST + b"A:\x00\r\n\r\n", 400, "malformed"),
        (
            b"GET /a HTTP/1.1\r\n" + HOST + b"X: 1\r\n" * 5 + b"\r\n",
            431,
            "headers_too_large",
        ),
        (b"GET /" + b"a" * 600, 431, "headers_too_large"),
        (_post(b"/a", b"", b"Content-Length: 0"), 400, "malformed"),
        (
            b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: abc\r\n\r\n",
            400,
            "malformed",
        ),
        (
            b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: -5\r\n\r\n",
            400,
            "malformed",
        ),
        (
            b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: "
            + b"9" * 30
            + b"\r\n\r\n",
            400,
            "malformed",
        ),
        (_post(b"/a", b"x" * 1_001), 413, "too_large"),
        (
            b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
            b"\r\n1\r\nx\r\n0\r\n\r\n",
            411,
            "length_required",
        ),
        (
            _post(b"/a", b"x", b"Content-Encoding: gzip"),
            415,
            "unsupported_encoding",
        ),
    ],
)
def test_bad_request_gets_a_typed_error_and_others_continue(
    harness: builders.ServerHarness,
    request_bytes: bytes,
    status: int,
    kind: str,
) -> None:
    waiting = harness.connect()
    harness.send(waiting, b"GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
    harness.run_until(lambda: harness.echo.held, "held")
    sock = harness.connect()
    harness.send(sock, request_bytes)
    reply = harness.read_reply(sock)
    assert reply.status == status
    assert reply.body["error"]["type"] == kind
    assert reply.body["error"]["started"] == "none"
    assert harness.echo.refused == [kind]
    harness.check()
    harness.run_until(lambda: harness.is_closed(sock), "closed")
    answer = transport.Answer(200, b"{}")
    harness.root.fire(
        transport.answer_http(harness.echo.held[0], answer), builders.CHANNEL
    )
    assert harness.read_reply(waiting).status == 200


def test_head_is_refused_without_a_body(
    harness: builders.ServerHarness,
) -> None:
    sock = harness.connect()
    harness.send(sock, b"HEAD /ok HTTP/1.0\r\n\r\n")
    harness.run_until(lambda: harness.echo.refused, "refused")
    harness.run_until(lambda: harness.server.connections == 0, "closed")
    harness.check()
    assert harness.server.buffered == 0
    received = sock.recv(builders.READ_SIZE)
    assert received.startswith(b"HTTP/1.1 405")
    assert received.endswith(b"\r\n\r\n")


@pytest.mark.parametrize(
    ("request_bytes", "method", "path"),
    [
        (GOOD, "GET", "/ok"),
        (b"GET /ok HTTP/1.0\r\n\r\n", "GET", "/ok"),
        (b"OPTIONS /ok HTTP/1.1\r\nHost: h\r\n\r\n", "OPTIONS", "/ok"),
        (b"GET /a%20b HTTP/1.1\r\nHost: h\r\n\r\n", "GET", "/a b"),
        (b"GET /%C3%A9 HTTP/1.1\r\nHost: h\r\n\r\n", "GET", "/\xe9"),
    ],
)
def test_good_requests_are_answered(
    harness: builders.ServerHarness,
    request_bytes: bytes,
    method: str,
    path: str,
) -> None:
    sock = harness.connect()
    harness.send(sock, request_bytes)
    reply = harness.read_reply(sock)
    assert reply.status == 200
    assert (reply.body["method"], reply.body["path"]) == (method, path)


def test_request_and_answer_create_no_follow_up_events(
    harness: builders.ServerHarness,
) -> None:
    follow_ups = builders.FollowUpCounter().register(harness.root)
    sock = harness.connect()
    for _ in range(2):
        harness.send(sock, _post(b"/ok", b"hello"))
        assert harness.read_reply(sock).status == 200
    assert follow_ups.count == 0


def test_backslashes_in_headers_arrive_as_they_are(
    harness: builders.ServerHarness,
) -> None:
    sock = harness.connect()
    token = rb"Bearer a\x41\q"
    harness.send(sock, _post(b"/ok", b"\\x", b"Authorization: " + token))
    reply = harness.read_reply(sock)
    assert reply.body["token"] == token.decode()
    assert reply.body["body"] == "\\x"


@pytest.mark.parametrize("rounds", range(6))
def test_answer_in_progress_when_the_server_closes_is_completed(
    harness: builders.ServerHarness, rounds: int
) -> None:
    sock = harness.connect()
    harness.send(sock, _post(b"/hold", b""))
    harness.run_until(lambda: harness.echo.held, "held")
    body = json.dumps("x" * 1_000).encode()
    answer = transport.Answer(200, body)
    event = transport.answer_http(harness.echo.held[0], answer)
    harness.root.fire(event, builders.CHANNEL)
    for _ in range(rounds):
        harness.root.flush()
    harness.root.fire(transport.close_http(), builders.CHANNEL)
    assert harness.read_reply(sock).body == "x" * 1_000
    harness.run_until(lambda: not harness.server.waiting, "answer sent")
    harness.root.fire(transport.close_http(), builders.CHANNEL)
    harness.run_until(lambda: harness.is_closed(sock), "closed")


def test_request_in_single_bytes_is_answered(
    harness: builders.ServerHarness,
) -> None:
    sock = harness.connect()
    for byte in _post(b"/ok", b"hello"):
        harness.send(sock, bytes([byte]))
        harness.run_round()
    assert harness.read_reply(sock).body["body"] == "hello"


def test_pipelined_requests_are_answered_in_order(
    harness: builders.ServerHarness,
) -> None:
    sock = harness.connect()
    harness.send(sock, b"".join(_post(b"/ok", b"%d" % n) for n in range(3)))
    bodies = []
    for _ in range(3):
        bodies.append(harness.read_reply(sock).body["body"])
        harness.check()
    assert bodies == ["0", "1", "2"]


def test_body_may_follow_after_100_continue(
    harness: builders.ServerHarness,
) -> None:
    sock = harness.connect()
    whole = _post(b"/ok", b"hello", b"Expect: 100-continue")
    harness.send(sock, whole[:-5])
    assert harness.read_reply(sock).status == 100
    harness.send(sock, whole[-5:])
    assert harness.read_reply(sock).body["body"] == "hello"


def test_connections_beyond_the_limit_are_refused(
    harness: builders.ServerHarness,
) -> None:
    for _ in range(LIMITS.max_connections):
        harness.connect()
    sock = harness.connect()
    reply = harness.read_reply(sock)
    assert reply.status == 503
    assert reply.body["error"]["type"] == "too_many_connections"


@pytest.mark.parametrize("size", [1, 30, 51])
def test_slow_sender_is_refused(
    harness: builders.ServerHarness, size: int
) -> None:
    sock = harness.connect()
    harness.send(sock, _post(b"/ok", b"hello")[:size])
    harness.run_until(lambda: not len(harness.root), "events handled")
    harness.advance(LIMITS.request_timeout.total_seconds() + 1)
    assert harness.read_reply(sock).status == 408


def test_idle_connection_is_closed(harness: builders.ServerHarness) -> None:
    sock = harness.connect()
    harness.send(sock, GOOD)
    harness.read_reply(sock)
    harness.advance(LIMITS.idle_timeout.total_seconds() + 1)
    harness.run_until(lambda: harness.is_closed(sock), "closed")


def test_caller_that_never_reads_is_aborted(
    harness: builders.ServerHarness,
) -> None:
    sock = harness.connect()
    harness.send(sock, _post(b"/ok?size=20000000", b""))
    harness.run_until(
        lambda: harness.server.waiting, "an answer is being sent"
    )
    harness.run_until(lambda: not len(harness.root), "written")
    harness.advance(LIMITS.send_timeout.total_seconds() + 1)
    harness.run_until(lambda: harness.server.connections == 0, "aborted")
    assert harness.echo.refused == ["slow_reader"]


def test_connection_that_is_checked_again_is_aborted_once(
    harness: builders.ServerHarness,
) -> None:
    sock = harness.connect()
    harness.send(sock, _post(b"/ok?size=20000000", b""))
    harness.run_until(
        lambda: harness.server.waiting, "an answer is being sent"
    )
    harness.run_until(lambda: not len(harness.root), "written")
    harness.clock.advance(2 * LIMITS.send_timeout)
    for _ in range(2):
        harness.root.fire(
            transport.check_connections(), harness.server.channel
        )
    harness.run_until(lambda: harness.server.connections == 0, "aborted")
    assert harness.echo.refused == ["slow_reader"]


def test_truncated_request_is_not_reported_as_abandoned(
    harness: builders.ServerHarness,
) -> None:
    sock = harness.connect()
    harness.send(sock, _post(b"/ok", b"hello")[:-2])
    sock.close()
    harness.run_until(lambda: harness.server.connections == 0, "closed")
    assert not harness.echo.abandoned


def test_request_of_a_disconnected_caller_is_abandoned(
    harness: builders.ServerHarness,
) -> None:
    sock = harness.connect()
    harness.send(sock, b"GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
    harness.run_until(lambda: harness.echo.held, "held")
    sock.close()
    harness.run_until(lambda: harness.echo.abandoned, "abandoned")
    assert harness.echo.abandoned == harness.echo.held


def test_failure_of_the_parser_is_answered(
    harness: builders.ServerHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail(*arguments: object) -> None:
        raise ValueError

    monkeypatch.setattr(parsers.HttpParser, "execute", fail)
    sock = harness.connect()
    harness.send(sock, GOOD)
    assert harness.read_reply(sock).status == 400


def test_a_failing_handler_answers_without_its_internals(
    harness: builders.ServerHarness,
) -> None:
    sock = harness.connect()
    harness.send(sock, b"GET /crash HTTP/1.1\r\nHost: h\r\n\r\n")
    reply = harness.read_reply(sock)
    assert reply.status == 500
    assert reply.body["error"]["type"] == "internal"
    assert "secret" not in json.dumps(reply.body)


@pytest.mark.parametrize("rounds", range(8))
def test_answer_to_a_caller_that_just_disconnected_is_dropped(
    harness: builders.ServerHarness, rounds: int
) -> None:
    sock = harness.connect()
    harness.send(sock, b"GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
    harness.run_until(lambda: harness.echo.held, "held")
    answer = transport.Answer(200, b"x" * 1_000_000)
    event = transport.answer_http(harness.echo.held[0], answer)
    harness.root.fire(event, builders.CHANNEL)
    for _ in range(rounds):
        harness.root.flush()
    sock.close()
    harness.run_until(lambda: not harness.server.connections, "closed")
    harness.check()
    assert harness.echo.exceptions == []
    assert harness.server.buffered == 0


def test_connection_idle_since_before_the_drain_is_closed(
    harness: builders.ServerHarness,
) -> None:
    idle = harness.connect()
    harness.advance(1)
    harness.root.fire(transport.drain_http(), builders.CHANNEL)
    harness.check()
    harness.advance(1)
    fresh = harness.connect()
    harness.root.fire(transport.close_idle_http(), builders.CHANNEL)
    harness.run_until(lambda: harness.is_closed(idle), "closed")
    harness.send(fresh, _post(b"/ok", b"late"))
    assert harness.read_reply(fresh).body["body"] == "late"


def test_connection_with_a_request_is_not_closed_as_idle(
    harness: builders.ServerHarness,
) -> None:
    sock = harness.connect()
    harness.send(sock, _post(b"/hold", b""))
    harness.run_until(lambda: harness.echo.held, "held")
    harness.root.fire(transport.drain_http(), builders.CHANNEL)
    harness.root.fire(transport.close_idle_http(), builders.CHANNEL)
    harness.check()
    answer = transport.Answer(200, b'"whole"')
    event = transport.answer_http(harness.echo.held[0], answer)
    harness.root.fire(event, builders.CHANNEL)
    assert harness.read_reply(sock).body == "whole"


# Guards against connections that are closed without an answer when a process
# ends.
def test_rest_of_the_requests_is_answered(
    harness: builders.ServerHarness,
) -> None:
    waiting = harness.connect()
    harness.send(waiting, b"GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
    idle = harness.connect()
    harness.run_until(lambda: harness.echo.held, "held")
    harness.root.fire(transport.answer_rest_http(), builders.CHANNEL)
    reply = harness.read_reply(waiting)
    assert reply.status == 502
    assert reply.body["error"]["started"] == "unknown"
    harness.send(idle, GOOD)
    assert harness.read_reply(idle).status == 200
