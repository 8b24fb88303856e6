"""An HTTP client with pooled connections, driven by events.

It tells whether any byte of a failed request may have left, since only a
request that never left may be repeated.
"""

import collections
import datetime
import enum
import errno
import os
import socket

import attrs
import circuits
from circuits.core import pollers
from circuits.web import parsers

import cowslipgate_core as core

READ_SIZE = 65_536
RESPONSE_PARSER = 1
TICK_SECONDS = 0.05
IDLE_LIMIT = 64


class CallProblem(enum.StrEnum):
    """Why a call got no answer."""

    UNREACHABLE = "unreachable"
    CLOSED = "closed"
    TIMEOUT = "timeout"
    PROTOCOL = "protocol"
    CANCELLED = "cancelled"


@attrs.frozen
class Address:
    """Where a server listens."""

    host: str
    """IP number."""

    port: int
    """TCP port."""


@attrs.frozen
class Call:
    """A request to be made."""

    id: int
    """Number that the caller of the client knows it by."""

    address: Address
    """Server."""

    method: str
    """HTTP method."""

    path: str
    """Path and query."""

    headers: dict[str, str] = attrs.Factory(dict)
    """Headers besides Host and Content-Length."""

    body: bytes = b""
    """Body."""

    timeout: datetime.timedelta = datetime.timedelta(seconds=10)
    """Time after which it fails."""


@attrs.frozen
class CallAnswer:
    """The answer to a call."""

    call: Call
    """The call."""

    status: int
    """HTTP status."""

    headers: dict[str, str]
    """Header values by name in lower case."""

    body: bytes
    """Body."""


@attrs.frozen
class CallFailure:
    """A call that got no answer."""

    call: Call
    """The call."""

    problem: CallProblem
    """Why."""

    sent: bool
    """Whether any byte of the request may have left."""


@attrs.define(eq=False)
class _Connection:
    """One connection to a server."""

    sock: socket.socket
    """Its socket."""

    address: Address
    """Its server."""

    call: Call | None = None
    """Call under way."""

    connected: bool = False
    """Whether the connection stands."""

    sent: bool = False
    """Whether any byte of the call has left."""

    unsent: bytes = b""
    """Bytes of the call still to be sent."""

    parser: parsers.HttpParser | None = None
    """Parser of the answer."""

    expires: datetime.datetime | None = None
    """When the call times out."""


class call_http(circuits.Event):
    """Asks the client to make a Call."""


class cancel_http(circuits.Event):
    """Asks the client to give up the call with an id."""


class http_answered(circuits.Event):
    """A call was answered; the argument is a CallAnswer."""


class http_failed(circuits.Event):
    """A call failed; the argument is a CallFailure."""


class check_calls(circuits.Event):
    """Asks the client to fail the calls that have timed out."""


class HttpClient(circuits.BaseComponent):
    """Owns connections to servers, one call at a time on each."""

    def __init__(
        self,
        channel: str,
        poller: pollers.BasePoller,
        clock: core.Clock,
        headers: dict[str, str] | None = None,
    ) -> None:
        super().__init__(channel=channel)
        self._headers = headers or {}
        self._poller = poller
        self._clock = clock
        self._connections: dict[socket.socket, _Connection] = {}
        self._idle: dict[Address, list[_Connection]] = collections.defaultdict(
            list
        )
        circuits.Timer(
            TICK_SECONDS, check_calls(), channel, persist=True
        ).register(self)

    @circuits.handler("call_http")
    def _on_call_http(self, call: Call) -> None:
        idle = self._idle[call.address]
        if idle:
            connection = idle.pop()
        else:
            try:
                connection = self._open(call.address)
            except OSError:
                failure = CallFailure(call, CallProblem.UNREACHABLE, False)
                self.fire(http_failed(failure))
                return
        connection.call = call
        connection.sent = False
        connection.unsent = _encode_request(call, self._headers)
        connection.parser = parsers.HttpParser(RESPONSE_PARSER, True)
        connection.expires = self._clock.now() + call.timeout
        self._send(connection)

    @circuits.handler("cancel_http")
    def _on_cancel_http(self, call_id: int) -> None:
        for connection in list(self._connections.values()):
            if connection.call is not None and connection.call.id == call_id:
                self._fail(connection, CallProblem.CANCELLED)

    @circuits.handler("check_calls")
    def _on_check_calls(self) -> None:
        now = self._clock.now()
        for connection in list(self._connections.values()):
            if connection.call is not None and now >= connection.expires:
                self._fail(connection, CallProblem.TIMEOUT)

    @circuits.handler("_write")
    def _on_writable(self, sock: socket.socket) -> None:
        connection = self._connections.get(sock)
        if connection is None:
            return
        if not connection.connected:
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                self._fail(connection, CallProblem.UNREACHABLE)
                return
            connection.connected = True
        self._send(connection)

    @circuits.handler("_read")
    def _on_readable(self, sock: socket.socket) -> None:
        connection = self._connections.get(sock)
        if connection is None:
            return
        try:
            data = sock.recv(READ_SIZE)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data or connection.call is None:
            self._fail(connection, CallProblem.CLOSED)
            return
        self._receive(connection, data)

    @circuits.handler("_disconnect", "_error")
    def _on_lost(self, sock: socket.socket, *error: object) -> None:
        connection = self._connections.get(sock)
        if connection is not None:
            problem = CallProblem.CLOSED
            if not connection.connected:
                problem = CallProblem.UNREACHABLE
            self._fail(connection, problem)

    def _open(self, address: Address) -> _Connection:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = sock.connect_ex((address.host, address.port))
        if code not in (0, errno.EINPROGRESS):
            sock.close()
            raise OSError(code, os.strerror(code))
        connection = _Connection(sock, address, connected=code == 0)
        self._connections[sock] = connection
        self._poller.addReader(self, sock)
        return connection

    def _send(self, connection: _Connection) -> None:
        sock = connection.sock
        if connection.connected and connection.unsent:
            # Bytes may leave even when the call below fails.
            connection.sent = True
            try:
                count = sock.send(connection.unsent)
            except BlockingIOError:
                count = 0
            except OSError:
                self._fail(connection, CallProblem.CLOSED)
                return
            connection.unsent = connection.unsent[count:]
        writing = self._poller.isWriting(sock)
        wanted = bool(connection.unsent) or not connection.connected
        if wanted and not writing:
            self._poller.addWriter(self, sock)
        elif writing and not wanted:
            self._poller.removeWriter(sock)

    def _receive(self, connection: _Connection, data: bytes) -> None:
        parser = connection.parser
        parser.execute(data, len(data))
        if parser.errno is not None:
            self._fail(connection, CallProblem.PROTOCOL)
            return
        if not parser.is_message_complete():
            return
        headers = {
            key.lower(): value for key, value in parser.get_headers().items()
        }
        answer = CallAnswer(
            connection.call,
            parser.get_status_code(),
            headers,
            parser.recv_body(),
        )
        connection.call = None
        idle = self._idle[connection.address]
        keep = parser.should_keep_alive() and not connection.unsent
        if keep and len(idle) < IDLE_LIMIT:
            idle.append(connection)
        else:
            self._close(connection)
        self.fire(http_answered(answer))

    def _fail(self, connection: _Connection, problem: CallProblem) -> None:
        call = connection.call
        self._close(connection)
        if call is not None:
            failure = CallFailure(call, problem, connection.sent)
            self.fire(http_failed(failure))

    def _close(self, connection: _Connection) -> None:
        idle = self._idle[connection.address]
        if connection in idle:
            idle.remove(connection)
        if not idle:
            del self._idle[connection.address]
        del self._connections[connection.sock]
        self._poller.discard(connection.sock)
        connection.sock.close()


def _encode_request(call: Call, headers: dict[str, str]) -> bytes:
    every = headers | call.headers
    lines = [
        f"{call.method} {call.path} HTTP/1.1",
        f"Host: {call.address.host}:{call.address.port}",
        f"Content-Length: {len(call.body)}",
    ]
    lines.extend(f"{name}: {value}" for name, value in every.items())
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + call.body


def parse_address(text: str) -> Address:
    """Return the address in ``host:port`` or ``http://host:port``.

    :raises ValueError: when the port is missing or no number
    """
    host, _, port = text.removeprefix("http://").rstrip("/").rpartition(":")
    return Address(host, int(port))
