"""The HTTP server against callers of every kind."""

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
def served() -> Iterator[builders.Served]:
    """Run a server with small limits."""
    running = builders.Served(LIMITS)
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
def test_bad_request_gets_a_typed_error_and_others_go_on(
    served: builders.Served, request_bytes: bytes, status: int, kind: str
) -> None:
    waiting = served.connect()
    served.send(waiting, b"GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
    served.run_until(lambda: served.echo.held, "held")
    sock = served.connect()
    served.send(sock, request_bytes)
    reply = served.read_reply(sock)
    assert reply.status == status
    assert reply.body["error"]["type"] == kind
    assert reply.body["error"]["started"] == "none"
    assert served.echo.refused == [kind]
    served.check()
    served.run_until(lambda: served.is_closed(sock), "closed")
    answer = transport.Answer(200, b"{}")
    served.root.fire(
        transport.answer_http(served.echo.held[0], answer), builders.CHANNEL
    )
    assert served.read_reply(waiting).status == 200


def test_head_is_refused_without_a_body(served: builders.Served) -> None:
    sock = served.connect()
    served.send(sock, b"HEAD /ok HTTP/1.0\r\n\r\n")
    served.run_until(lambda: served.echo.refused, "refused")
    served.run_until(lambda: served.server.connections == 0, "closed")
    served.check()
    assert served.server.buffered == 0
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
    served: builders.Served, request_bytes: bytes, method: str, path: str
) -> None:
    sock = served.connect()
    served.send(sock, request_bytes)
    reply = served.read_reply(sock)
    assert reply.status == 200
    assert (reply.body["method"], reply.body["path"]) == (method, path)


def test_no_event_follows_those_of_a_request_and_its_answer(
    served: builders.Served,
) -> None:
    sequels = builders.Sequels().register(served.root)
    sock = served.connect()
    for _ in range(2):
        served.send(sock, _post(b"/ok", b"hello"))
        assert served.read_reply(sock).status == 200
    assert sequels.count == 0


def test_backslashes_in_headers_arrive_as_they_are(
    served: builders.Served,
) -> None:
    sock = served.connect()
    token = rb"Bearer a\x41\q"
    served.send(sock, _post(b"/ok", b"\\x", b"Authorization: " + token))
    reply = served.read_reply(sock)
    assert reply.body["token"] == token.decode()
    assert reply.body["body"] == "\\x"


@pytest.mark.parametrize("turns", range(6))
def test_answer_under_way_when_the_server_closes_arrives_whole(
    served: builders.Served, turns: int
) -> None:
    sock = served.connect()
    served.send(sock, _post(b"/hold", b""))
    served.run_until(lambda: served.echo.held, "the request")
    body = json.dumps("x" * 1_000).encode()
    answer = transport.Answer(200, body)
    event = transport.answer_http(served.echo.held[0], answer)
    served.root.fire(event, builders.CHANNEL)
    for _ in range(turns):
        served.root.flush()
    served.root.fire(transport.close_http(), builders.CHANNEL)
    assert served.read_reply(sock).body == "x" * 1_000
    served.run_until(lambda: not served.server.waiting, "no more to write")
    served.root.fire(transport.close_http(), builders.CHANNEL)
    served.run_until(lambda: served.is_closed(sock), "the end")


def test_request_in_single_bytes_is_answered(served: builders.Served) -> None:
    sock = served.connect()
    for byte in _post(b"/ok", b"hello"):
        served.send(sock, bytes([byte]))
        served.turn()
    assert served.read_reply(sock).body["body"] == "hello"


def test_pipelined_requests_are_answered_in_order(
    served: builders.Served,
) -> None:
    sock = served.connect()
    served.send(sock, b"".join(_post(b"/ok", b"%d" % n) for n in range(3)))
    bodies = []
    for _ in range(3):
        bodies.append(served.read_reply(sock).body["body"])
        served.check()
    assert bodies == ["0", "1", "2"]


def test_body_is_sent_after_leave_was_given(served: builders.Served) -> None:
    sock = served.connect()
    whole = _post(b"/ok", b"hello", b"Expect: 100-continue")
    served.send(sock, whole[:-5])
    assert served.read_reply(sock).status == 100
    served.send(sock, whole[-5:])
    assert served.read_reply(sock).body["body"] == "hello"


def test_connections_beyond_the_limit_are_refused(
    served: builders.Served,
) -> None:
    for _ in range(LIMITS.max_connections):
        served.connect()
    sock = served.connect()
    reply = served.read_reply(sock)
    assert reply.status == 503
    assert reply.body["error"]["type"] == "too_many_connections"


@pytest.mark.parametrize("size", [1, 30, 51])
def test_slow_sender_is_refused(served: builders.Served, size: int) -> None:
    sock = served.connect()
    served.send(sock, _post(b"/ok", b"hello")[:size])
    served.run_until(lambda: not len(served.root), "taken in")
    served.advance(LIMITS.request_timeout.total_seconds() + 1)
    assert served.read_reply(sock).status == 408


def test_idle_connection_is_closed(served: builders.Served) -> None:
    sock = served.connect()
    served.send(sock, GOOD)
    served.read_reply(sock)
    served.advance(LIMITS.idle_timeout.total_seconds() + 1)
    served.run_until(lambda: served.is_closed(sock), "closed")


def test_caller_that_never_reads_is_cut_off(served: builders.Served) -> None:
    sock = served.connect()
    served.send(sock, _post(b"/ok?size=20000000", b""))
    served.run_until(lambda: served.server.waiting, "an answer is leaving")
    served.run_until(lambda: not len(served.root), "written")
    served.advance(LIMITS.send_timeout.total_seconds() + 1)
    served.run_until(lambda: served.server.connections == 0, "cut off")
    assert served.echo.refused == ["slow_reader"]


def test_connection_that_is_checked_again_is_cut_off_once(
    served: builders.Served,
) -> None:
    sock = served.connect()
    served.send(sock, _post(b"/ok?size=20000000", b""))
    served.run_until(lambda: served.server.waiting, "an answer is leaving")
    served.run_until(lambda: not len(served.root), "written")
    served.clock.advance(2 * LIMITS.send_timeout)
    for _ in range(2):
        served.root.fire(transport.check_connections(), served.server.channel)
    served.run_until(lambda: served.server.connections == 0, "cut off")
    assert served.echo.refused == ["slow_reader"]


def test_truncated_request_leaves_nothing_behind(
    served: builders.Served,
) -> None:
    sock = served.connect()
    served.send(sock, _post(b"/ok", b"hello")[:-2])
    sock.close()
    served.run_until(lambda: served.server.connections == 0, "closed")
    assert not served.echo.abandoned


def test_caller_that_goes_away_abandons_its_request(
    served: builders.Served,
) -> None:
    sock = served.connect()
    served.send(sock, b"GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
    served.run_until(lambda: served.echo.held, "held")
    sock.close()
    served.run_until(lambda: served.echo.abandoned, "abandoned")
    assert served.echo.abandoned == served.echo.held


def test_failure_of_the_parser_is_answered(
    served: builders.Served, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail(*arguments: object) -> None:
        raise ValueError

    monkeypatch.setattr(parsers.HttpParser, "execute", fail)
    sock = served.connect()
    served.send(sock, GOOD)
    assert served.read_reply(sock).status == 400


def test_a_failing_handler_answers_without_its_internals(
    served: builders.Served,
) -> None:
    sock = served.connect()
    served.send(sock, b"GET /crash HTTP/1.1\r\nHost: h\r\n\r\n")
    reply = served.read_reply(sock)
    assert reply.status == 500
    assert reply.body["error"]["type"] == "internal"
    assert "secret" not in json.dumps(reply.body)


@pytest.mark.parametrize("turns", range(8))
def test_an_answer_to_a_caller_that_just_left_is_dropped(
    served: builders.Served, turns: int
) -> None:
    sock = served.connect()
    served.send(sock, b"GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
    served.run_until(lambda: served.echo.held, "held")
    answer = transport.Answer(200, b"x" * 1_000_000)
    event = transport.answer_http(served.echo.held[0], answer)
    served.root.fire(event, builders.CHANNEL)
    for _ in range(turns):
        served.root.flush()
    sock.close()
    served.run_until(lambda: not served.server.connections, "closed")
    served.check()
    assert served.echo.exceptions == []
    assert served.server.buffered == 0


def test_connection_that_idles_since_before_the_drain_is_closed(
    served: builders.Served,
) -> None:
    idle = served.connect()
    served.advance(1)
    served.root.fire(transport.drain_http(), builders.CHANNEL)
    served.check()
    served.advance(1)
    fresh = served.connect()
    served.root.fire(transport.close_idle_http(), builders.CHANNEL)
    served.run_until(lambda: served.is_closed(idle), "the end")
    served.send(fresh, _post(b"/ok", b"late"))
    assert served.read_reply(fresh).body["body"] == "late"


def test_connection_with_a_request_is_not_closed_as_idle(
    served: builders.Served,
) -> None:
    sock = served.connect()
    served.send(sock, _post(b"/hold", b""))
    served.run_until(lambda: served.echo.held, "the request")
    served.root.fire(transport.drain_http(), builders.CHANNEL)
    served.root.fire(transport.close_idle_http(), builders.CHANNEL)
    served.check()
    answer = transport.Answer(200, b'"whole"')
    event = transport.answer_http(served.echo.held[0], answer)
    served.root.fire(event, builders.CHANNEL)
    assert served.read_reply(sock).body == "whole"
