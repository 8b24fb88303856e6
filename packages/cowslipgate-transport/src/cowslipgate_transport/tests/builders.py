"""Harness for tests of the HTTP server."""

from collections.abc import Callable
import contextlib
import datetime
import json
import socket
import threading
import time
from typing import Any

import attrs
import circuits
from circuits.core import events
from circuits.core import pollers

import cowslipgate_core as core
import cowslipgate_transport as transport
from cowslipgate_transport import _caller_probes

CHANNEL = "served"
LIMIT_SECONDS = 10.0
"""Time for a condition, not counted in rounds: these do not wait, and the
kernel may deliver late while other processes keep the processors busy."""

READ_SIZE = 65_536
ROUND_SECONDS = 0.005


class Echo(circuits.BaseComponent):
    """Answers each request with its content, or holds it for ``/hold``."""

    channel = CHANNEL

    def __init__(self) -> None:
        super().__init__()
        self.held: list[transport.Exchange] = []
        self.abandoned: list[transport.Exchange] = []
        self.refused: list[str] = []
        self.exceptions: list[object] = []
        self.seen: list[dict[transport.Exchange, datetime.datetime]] = []

    @circuits.handler("callers_seen")
    def _on_callers_seen(
        self, seen: dict[transport.Exchange, datetime.datetime]
    ) -> None:
        self.seen.append(seen)

    @circuits.handler("http_requested")
    def _on_http_requested(self, exchange: transport.Exchange) -> None:
        if exchange.path == "/hold":
            self.held.append(exchange)
            return
        if exchange.path == "/crash":
            raise ValueError("a secret detail")
        size = int(exchange.query.get("size", 0))
        body = {
            "method": exchange.method,
            "path": exchange.path,
            "token": exchange.headers.get("authorization", ""),
            "body": exchange.body.decode(errors="replace") + "x" * size,
        }
        answer = transport.Answer(200, json.dumps(body).encode())
        self.fire(transport.answer_http(exchange, answer))

    @circuits.handler("http_abandoned")
    def _on_http_abandoned(self, exchange: transport.Exchange) -> None:
        self.abandoned.append(exchange)

    @circuits.handler("http_refused")
    def _on_http_refused(self, kind: str) -> None:
        self.refused.append(kind)

    @circuits.handler("exception", channel="*")
    def _on_exception(self, *arguments: object, **details: object) -> None:
        self.exceptions.append(arguments)


class FollowUpCounter(circuits.BaseComponent):
    """Counts the follow-up events of requests and responses."""

    channel = "follow-ups"

    def __init__(self) -> None:
        super().__init__()
        self.count = 0

    @circuits.handler(
        "request_success",
        "request_complete",
        "response_success",
        "response_complete",
        channel="*",
    )
    def _on_follow_up(self, *arguments: object) -> None:
        self.count += 1


@attrs.frozen
class HttpReply:
    """An HTTP answer read from a raw socket."""

    status: int
    """HTTP status."""

    body: Any
    """Decoded JSON body, or None if it is empty."""


class ServerHarness:
    """A server with an ``Echo``, run round by round without a thread."""

    def __init__(self, limits: transport.ServerLimits) -> None:
        self.clock = core.ManualClock()
        self.root = circuits.BaseComponent(channel="root")
        self.poller = pollers.EPoll().register(self.root)
        self.echo = Echo().register(self.root)
        self.server = transport.HttpServer(
            ("127.0.0.1", 0), CHANNEL, self.clock, limits
        ).register(self.root)
        self._stack = contextlib.ExitStack()

    def run_round(self, seconds: float = 0.0) -> None:
        """Run one round, waiting for sockets for at most ``seconds``."""
        if not len(self.root):
            event = events.generate_events(threading.RLock(), seconds)
            self.root.fire(event, "*")
        self.root.tick()

    def run_until(self, check: Callable[[], object], what: str) -> None:
        """Run rounds until ``check`` is true; fail after the limit."""
        deadline = time.monotonic() + LIMIT_SECONDS
        while time.monotonic() < deadline:
            self.run_round(ROUND_SECONDS)
            if check():
                return
        raise AssertionError(f"timed out: {what}")

    def connect(self) -> socket.socket:
        """Return a non-blocking connection that the server has accepted."""
        address = ("127.0.0.1", self.server.port)
        before = self.server.connections
        sock = self._stack.enter_context(socket.create_connection(address))
        sock.setblocking(False)
        self.run_until(lambda: self.server.connections > before, "connected")
        return sock

    def send(self, sock: socket.socket, data: bytes) -> None:
        """Send all of ``data`` while the server runs."""
        view = memoryview(data)
        while view:
            try:
                view = view[sock.send(view) :]
            except BlockingIOError:
                self.run_round(ROUND_SECONDS)
            except OSError:
                return

    def read_reply(self, sock: socket.socket) -> HttpReply:
        """Read one answer."""
        received = bytearray()

        def check() -> bool:
            with contextlib.suppress(BlockingIOError):
                received.extend(sock.recv(1))
            return _is_complete(received)

        self.run_until_fast(check)
        head, _, body = bytes(received).partition(b"\r\n\r\n")
        status = int(head.split()[1])
        return HttpReply(status, json.loads(body) if body else None)

    def run_until_fast(self, check: Callable[[], object]) -> None:
        """Run rounds that do not wait until ``check`` is true."""
        deadline = time.monotonic() + LIMIT_SECONDS
        while time.monotonic() < deadline:
            if check():
                return
            self.run_round()
        raise AssertionError("timed out: complete answer")

    def is_closed(self, sock: socket.socket) -> bool:
        """Return whether the server has closed the connection."""
        try:
            return sock.recv(READ_SIZE) == b""
        except BlockingIOError:
            return False
        except ConnectionError:
            return True

    def advance(self, seconds: float) -> None:
        """Advance the clock and check the connections."""
        self.clock.advance(datetime.timedelta(seconds=seconds))
        self.check()

    def check(self) -> None:
        """Run the server's check of its connections."""
        self.root.fire(transport.check_connections(), CHANNEL)
        for _ in range(5):
            self.run_round()

    def check_callers(self) -> None:
        """Let the server check and probe its callers after some time."""
        self.advance(_caller_probes.CHECK_SECONDS)
        self.root.fire(transport.check_callers(), CHANNEL)
        for _ in range(5):
            self.run_round(ROUND_SECONDS)

    def close(self) -> None:
        """Close every socket."""
        self._stack.close()
        self.root.fire(events.stopped(self.root), "*")
        for _ in range(5):
            self.run_round()


def _is_complete(received: bytearray) -> bool:
    head, end, body = bytes(received).partition(b"\r\n\r\n")
    if not end:
        return False
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return len(body) >= int(line.partition(b":")[2])
    return True
