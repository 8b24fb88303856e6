"""An HTTP server whose requests are answered later, by an event."""

import datetime
import socket
import urllib.parse

import attrs
import circuits
from circuits.net import events as net_events
from circuits.net import sockets
from circuits.web import events as web_events
from circuits.web import http as web_http
from circuits.web import wrappers

import cowslipgate_core as core

READ_SIZE = 65_536
TICK_SECONDS = 1.0


@attrs.frozen
class ServerLimits:
    """What one HTTP server accepts."""

    max_body_bytes: int = 8_388_608
    """Largest request, headers included, in bytes."""

    max_connections: int = 1_024
    """Most connections open at once."""

    request_timeout: datetime.timedelta = datetime.timedelta(seconds=30)
    """Time in which a request must arrive whole."""

    idle_timeout: datetime.timedelta = datetime.timedelta(seconds=120)
    """Time after which an idle connection is closed."""


@attrs.frozen(eq=False)
class Exchange:
    """A request that is to be answered once."""

    method: str
    """HTTP method."""

    path: str
    """Decoded path."""

    query: dict[str, str]
    """Query parameters, the last of each name."""

    headers: dict[str, str]
    """Header values by name in lower case."""

    body: bytes
    """Body."""

    response: wrappers.Response
    """Response object of circuits.web."""


@attrs.frozen
class Answer:
    """The answer to an exchange."""

    status: int
    """HTTP status."""

    body: bytes
    """Body."""

    headers: dict[str, str] = attrs.Factory(dict)
    """Headers besides the content type."""

    content_type: str = "application/json"
    """Media type of the body."""


@attrs.define(eq=False)
class _Connection:
    """What the server keeps of one connection."""

    since: datetime.datetime
    """When it was opened or last answered."""

    received: int = 0
    """Bytes of the current request."""

    exchange: Exchange | None = None
    """Request that waits for its answer."""


class http_requested(circuits.Event):
    """A request has arrived; the argument is its Exchange."""


class http_abandoned(circuits.Event):
    """A caller went away; the argument is its unanswered Exchange."""


class answer_http(circuits.Event):
    """Asks the server to answer; the arguments are Exchange and Answer."""


class check_connections(circuits.Event):
    """Asks the server to close slow and idle connections."""


class HttpServer(circuits.BaseComponent):
    """Owns a listening socket and the connections of its callers."""

    def __init__(
        self,
        bind: tuple[str, int],
        channel: str,
        clock: core.Clock,
        limits: ServerLimits,
    ) -> None:
        super().__init__(channel=channel)
        self._clock = clock
        self._limits = limits
        self._connections: dict[socket.socket, _Connection] = {}
        self._server = sockets.TCPServer(
            bind, channel=channel, bufsize=READ_SIZE
        ).register(self)
        self._http = web_http.HTTP(self._server, channel=channel)
        self._http.register(self)
        circuits.Timer(
            TICK_SECONDS, check_connections(), channel, persist=True
        ).register(self)

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        return self._server.port

    @property
    def waiting(self) -> int:
        """Number of requests that wait for their answer."""
        return sum(
            1
            for connection in self._connections.values()
            if connection.exchange is not None
        )

    @circuits.handler("connect")
    def _on_connect(self, sock: socket.socket, *address: object) -> None:
        if len(self._connections) >= self._limits.max_connections:
            self.fire(net_events.close(sock))
            return
        self._connections[sock] = _Connection(self._clock.now())

    @circuits.handler("disconnect")
    def _on_disconnect(self, sock: socket.socket) -> None:
        # HTTP keeps the parser of a request that was cut off.
        self._http._buffers.pop(sock, None)
        connection = self._connections.pop(sock, None)
        if connection is not None and connection.exchange is not None:
            self.fire(http_abandoned(connection.exchange))

    @circuits.handler("read", priority=10)
    def _on_read(
        self, event: circuits.Event, sock: socket.socket, data: bytes
    ) -> None:
        connection = self._connections.get(sock)
        if connection is None:
            event.stop()
            return
        if connection.received == 0:
            connection.since = self._clock.now()
        connection.received += len(data)
        if connection.received > self._limits.max_body_bytes:
            event.stop()
            self._refuse_oversized(sock)

    def _refuse_oversized(self, sock: socket.socket) -> None:
        body = b'{"error":{"type":"too_large","started":"none"}}'
        head = (
            "HTTP/1.1 413 Content Too Large\r\n"
            "Content-Type: application/json\r\nConnection: close\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self.fire(net_events.write(sock, head.encode() + body))
        self.fire(net_events.close(sock))

    @circuits.handler("request", priority=10)
    def _on_request(
        self,
        event: circuits.Event,
        request: wrappers.Request,
        response: wrappers.Response,
        *certificate: object,
    ) -> bool:
        event.stop()
        exchange = Exchange(
            request.method,
            request.path,
            dict(urllib.parse.parse_qsl(request.qs)),
            {key.lower(): value for key, value in request.headers.items()},
            request.body.read(),
            response,
        )
        connection = self._connections.get(request.sock)
        if connection is not None:
            connection.exchange = exchange
            self.fire(http_requested(exchange))
        # A boolean tells circuits.web that the answer comes later.
        return True

    @circuits.handler("answer_http")
    def _on_answer_http(self, exchange: Exchange, answer: Answer) -> None:
        sock = exchange.response.request.sock
        connection = self._connections.get(sock)
        if connection is None or connection.exchange is not exchange:
            return
        connection.exchange = None
        connection.received = 0
        connection.since = self._clock.now()
        response = exchange.response
        response.status = answer.status
        response.headers["Content-Type"] = answer.content_type
        for name, value in answer.headers.items():
            response.headers[name] = value
        response.body = answer.body
        self.fire(web_events.response(response))

    @circuits.handler("check_connections")
    def _on_check_connections(self) -> None:
        now = self._clock.now()
        for sock, connection in self._connections.items():
            if connection.exchange is not None:
                continue
            limit = self._limits.idle_timeout
            if connection.received:
                limit = self._limits.request_timeout
            if now - connection.since > limit:
                self.fire(net_events.close(sock))
