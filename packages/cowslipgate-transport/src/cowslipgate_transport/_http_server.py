"""HTTP server whose requests are answered later, by an event."""

import datetime
import socket
import urllib.parse

import circuits
from circuits.core import pollers
from circuits.core import utils
from circuits.net import events as net_events
from circuits.web import wrappers

import cowslipgate_core as core
from cowslipgate_transport import _caller_probes
from cowslipgate_transport import _http_connections
from cowslipgate_transport import _http_exchanges
from cowslipgate_transport import _http_heads
from cowslipgate_transport import _http_refusals
from cowslipgate_transport import _request_parser
from cowslipgate_transport import _tcp_server
from cowslipgate_transport import _timer

READ_SIZE = 65_536
BACKLOG = 1_024
"""Connections that may wait to be accepted."""

TICK_SECONDS = 0.5
"""Interval between checks of the connections."""

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class HttpServer(circuits.BaseComponent):
    """Owns a listening socket and the connections of its callers.

    It delimits requests itself and passes complete ones to the parser of
    circuits.web, one at a time per connection.
    """

    def __init__(
        self,
        bind: tuple[str, int],
        channel: str,
        clock: core.Clock,
        limits: _http_exchanges.ServerLimits,
    ) -> None:
        super().__init__(channel=channel)
        self._clock = clock
        self._limits = limits
        self._connections: dict[
            socket.socket, _http_connections.Connection
        ] = {}
        self._poller: pollers.BasePoller | None = None
        self._drain_since: datetime.datetime | None = None
        self._probes: _caller_probes.CallerProbes | None = None
        listener = _open_listener(bind)
        self._listener: socket.socket | None = listener
        self._port = listener.getsockname()[1]
        self._server = _tcp_server.TcpServer(
            listener, channel=channel, bufsize=READ_SIZE
        ).register(self)
        self._parser = _request_parser.RequestParser(
            self._server, channel
        ).register(self)
        _timer.Timer(
            TICK_SECONDS,
            _http_exchanges.check_connections(),
            channel,
            persist=True,
        ).register(self)
        if limits.probe_callers:
            self._probes = _caller_probes.CallerProbes(clock)
            _timer.Timer(
                _caller_probes.CHECK_SECONDS,
                _http_exchanges.check_callers(),
                channel,
                persist=True,
            ).register(self)

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        return self._port

    @property
    def buffered(self) -> int:
        """Number of sockets with a write buffer, empty or not."""
        return self._server.buffered

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def closed(self) -> bool:
        """Whether it has stopped listening and no connection is open."""
        return self._listener is None and not self._connections

    @property
    def waiting(self) -> int:
        """Number of requests whose answer is not sent completely."""
        return sum(
            1
            for sock, connection in self._connections.items()
            if connection.busy
            or (connection.answered and self._is_sending(sock))
        )

    @circuits.handler("connect")
    def _on_connect(self, sock: socket.socket, *address: object) -> None:
        connection = _http_connections.Connection(self._clock.now())
        full = len(self._connections) >= self._limits.max_connections
        self._connections[sock] = connection
        if full:
            error = _http_heads.HeadError(
                503, "too_many_connections", "try again later"
            )
            self._refuse(sock, connection, error)

    @circuits.handler("disconnect")
    def _on_disconnect(self, sock: socket.socket) -> None:
        self._parser.discard(sock)
        connection = self._connections.pop(sock, None)
        if connection is not None and connection.exchange is not None:
            if self._probes is not None:
                self._probes.discard(connection.exchange)
            self.fire(_http_exchanges.http_abandoned(connection.exchange))

    @circuits.handler("read")
    def _on_read(self, sock: socket.socket, data: bytes) -> None:
        connection = self._connections.get(sock)
        if connection is None or connection.refused:
            return
        if not connection.received and not connection.busy:
            connection.last_activity = self._clock.now()
        connection.received += data
        if self._probes is not None:
            connection.seen_at = self._probes.request_seen_at
        if not (connection.busy or self._is_sending(sock)):
            self._take_request(sock, connection)
        elif len(connection.received) > self._max_request_bytes:
            self._abort(sock, connection, "pipelined")

    @property
    def _max_request_bytes(self) -> int:
        return self._limits.max_header_bytes + self._limits.max_body_bytes

    def _take_request(
        self, sock: socket.socket, connection: _http_connections.Connection
    ) -> None:
        try:
            complete = self._find_request(sock, connection)
        except _http_heads.HeadError as error:
            self._refuse(sock, connection, error)
            return
        if complete:
            size = connection.head_size + connection.head.content_length
            request = bytes(connection.received[:size])
            del connection.received[:size]
            self._parse(sock, connection, request)

    def _find_request(
        self, sock: socket.socket, connection: _http_connections.Connection
    ) -> bool:
        received = connection.received
        if connection.head is None:
            limit = self._limits.max_header_bytes
            end = received.find(_http_heads.HEAD_END, 0, limit)
            if end < 0:
                if len(received) >= limit:
                    raise _http_heads.HeadError(
                        431,
                        "headers_too_large",
                        f"send at most {limit} bytes of headers",
                    )
                return False
            connection.head = _http_heads.parse_head(
                bytes(received[:end]),
                self._limits.max_headers,
                self._limits.max_body_bytes,
            )
            connection.head_size = end + len(_http_heads.HEAD_END)
            self._check_method(connection.head)
            if connection.head.expects_continue:
                self.fire(net_events.write(sock, CONTINUE))
        size = connection.head_size + connection.head.content_length
        return len(received) >= size

    def _check_method(self, head: _http_heads.Head) -> None:
        # circuits.web never completes the answer to HEAD.
        if head.method in ("HEAD", "CONNECT", "TRACE"):
            raise _http_heads.HeadError(
                405, "method_not_allowed", "see docs/API.md"
            )

    def _parse(
        self,
        sock: socket.socket,
        connection: _http_connections.Connection,
        request: bytes,
    ) -> None:
        size = connection.head_size
        # The parser of circuits.web decodes backslash escapes in heads.
        head = request[:size].replace(b"\\", b"\\\\")
        connection.head = None
        connection.parsing = True
        self._parser.parse(sock, head + request[size:])

    def _refuse(
        self,
        sock: socket.socket,
        connection: _http_connections.Connection,
        error: _http_heads.HeadError,
    ) -> None:
        head = connection.head
        bodiless = head is not None and head.method == "HEAD"
        connection.refused = True
        connection.received.clear()
        connection.last_activity = self._clock.now()
        self.fire(
            net_events.write(
                sock, _http_refusals.encode_refusal(error, bodiless)
            )
        )
        self.fire(_http_exchanges.http_refused(error.kind))
        # Closing while the body arrives would reset the connection, and the
        # caller would lose the answer.
        if error.status not in (411, 413):
            self.fire(net_events.close(sock))

    def _abort(
        self,
        sock: socket.socket,
        connection: _http_connections.Connection,
        reason: str,
    ) -> None:
        connection.refused = True
        connection.aborted = True
        connection.received.clear()
        self.fire(_http_exchanges.http_refused(reason))
        try:
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            self.fire(net_events.close(sock))

    @circuits.handler("request_parsed")
    def _on_request_parsed(
        self, request: wrappers.Request, response: wrappers.Response
    ) -> None:
        connection = self._connections.get(request.sock)
        if connection is None:
            return
        connection.parsing = False
        connection.exchange = _http_exchanges.Exchange(
            request.method,
            urllib.parse.unquote(request.path),
            dict(urllib.parse.parse_qsl(request.qs)),
            {key.lower(): value for key, value in request.headers.items()},
            request.body.read(),
            response,
            self._find_seen_at(request, connection),
        )
        if self._probes is not None:
            self._probes.add(connection.exchange)
        self.fire(_http_exchanges.http_requested(connection.exchange))

    def _find_seen_at(
        self,
        request: wrappers.Request,
        connection: _http_connections.Connection,
    ) -> datetime.datetime | None:
        # Callers of HTTP/1.0 know no interim responses. A request may have
        # waited for the answer to the one before it.
        return None if request.protocol < (1, 1) else connection.seen_at

    @circuits.handler("check_callers")
    def _on_check_callers(self) -> None:
        seen = self._probes.check()
        for exchange in self._probes.list_due():
            sent_at = self._clock.now()
            if self._send_probe(exchange.response.request.sock):
                self._probes.record_probe(exchange, sent_at)
        if seen:
            self.fire(_http_exchanges.callers_seen(seen))

    def _send_probe(self, sock: socket.socket) -> bool:
        """Send an interim response, unless other bytes wait to be sent."""
        if sock.fileno() < 0 or self._is_sending(sock):
            return False
        probe = _caller_probes.PROBE
        try:
            size = sock.send(probe)
        except BlockingIOError:
            return False
        except OSError:
            # The event loop reads the end of the connection.
            return False
        if size < len(probe):
            self._server.write(sock, probe[size:])
        return True

    @circuits.handler("parse_failed")
    def _on_parse_failed(self, sock: socket.socket) -> None:
        connection = self._connections.get(sock)
        if connection is not None and not connection.refused:
            error = _http_heads.HeadError(
                400, "malformed", "the request is not valid HTTP/1.1"
            )
            self._refuse(sock, connection, error)

    @circuits.handler("answer_http")
    def _on_answer_http(
        self,
        exchange: _http_exchanges.Exchange,
        answer: _http_exchanges.Answer,
    ) -> None:
        sock = exchange.response.request.sock
        connection = self._connections.get(sock)
        if connection is None or connection.exchange is not exchange:
            return
        if self._probes is not None:
            self._probes.discard(exchange)
        connection.exchange = None
        connection.answering = True
        connection.answered = True
        connection.last_activity = self._clock.now()
        response = exchange.response
        response.status = answer.status
        response.headers["Content-Type"] = answer.content_type
        for name, value in answer.headers.items():
            response.headers[name] = value
        response.body = answer.body
        if self._drain_since is not None:
            response.close = True
        self._parser.respond(response)

    @circuits.handler("write")
    def _on_write(self, sock: socket.socket, data: bytes) -> None:
        connection = self._connections.get(sock)
        if connection is not None:
            connection.answering = False

    @circuits.handler("http_requested_failure")
    def _on_http_requested_failure(
        self, failed: _http_exchanges.http_requested, error: object
    ) -> None:
        answer = _http_exchanges.Answer(
            500, _http_refusals.encode_error("internal", "unknown", "")
        )
        self._on_answer_http(failed.args[0], answer)

    @circuits.handler("answer_rest_http")
    def _on_answer_rest_http(self) -> None:
        body = _http_refusals.encode_error("stopping", "unknown", "")
        answer = _http_exchanges.Answer(502, body)
        for connection in list(self._connections.values()):
            if connection.exchange is not None:
                self._on_answer_http(connection.exchange, answer)

    @circuits.handler("drain_http")
    def _on_drain_http(self) -> None:
        if self._drain_since is None:
            self._drain_since = self._clock.now()

    @circuits.handler("close_idle_http")
    def _on_close_idle_http(self) -> None:
        # A request may be on its way on connections opened after the drain.
        drain_since = self._drain_since
        if drain_since is not None:
            self._close_idle(drain_since)

    @circuits.handler("close_http")
    def _on_close_http(self) -> None:
        if self._listener is not None:
            self.fire(net_events.close(self._listener))
            self._listener = None
        self._close_idle(self._clock.now())

    def _close_idle(self, since: datetime.datetime) -> None:
        """Close the connections that have been idle since a time."""
        for sock, connection in self._connections.items():
            if connection.busy or connection.received:
                continue
            if connection.last_activity <= since and not self._is_sending(
                sock
            ):
                self.fire(net_events.close(sock))

    @circuits.handler("check_connections")
    def _on_check_connections(self) -> None:
        self._server.discard_closed()
        now = self._clock.now()
        for sock, connection in list(self._connections.items()):
            if not connection.busy:
                self._check_connection(sock, connection, now)

    def _check_connection(
        self,
        sock: socket.socket,
        connection: _http_connections.Connection,
        now: datetime.datetime,
    ) -> None:
        elapsed = now - connection.last_activity
        if connection.aborted:
            # The poller has not reported its end yet.
            self.fire(net_events.close(sock))
        elif self._is_sending(sock):
            if elapsed > self._limits.send_timeout:
                self._abort(sock, connection, "slow_reader")
        elif connection.refused:
            self.fire(net_events.close(sock))
        elif connection.received:
            # Requests received before the last answer was sent.
            if connection.answered:
                connection.answered = False
                connection.last_activity = now
                self._take_request(sock, connection)
            elif elapsed > self._limits.request_timeout:
                error = _http_heads.HeadError(
                    408, "request_timeout", "send the request faster"
                )
                self._refuse(sock, connection, error)
        elif elapsed > self._limits.idle_timeout:
            self.fire(net_events.close(sock))

    def _is_sending(self, sock: socket.socket) -> bool:
        if self._poller is None:
            self._poller = utils.findcmp(self.root, pollers.BasePoller)
        return self._poller.isWriting(sock)


def _open_listener(bind: tuple[str, int]) -> socket.socket:
    listener = socket.create_server(bind, backlog=BACKLOG)
    listener.setblocking(False)
    # Accepted connections inherit the option.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return listener
