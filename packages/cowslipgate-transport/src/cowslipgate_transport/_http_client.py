"""HTTP client with pooled connections, driven by events.

A failure says whether any byte of the request may have been sent, since only a
request that was never sent may be repeated.
"""

import datetime
import errno
import os
import socket

import circuits
from circuits.core import pollers
from circuits.web import parsers

import cowslipgate_core as core
from cowslipgate_transport import _http_calls
from cowslipgate_transport import _http_heads
from cowslipgate_transport import _http_pool
from cowslipgate_transport import _timer

CONNECT_TIMEOUT = datetime.timedelta(seconds=3)
MAX_ANSWER_BYTES = core.MAX_RESULT_BYTES + 65_536
"""Largest answer with its head."""

READ_SIZE = 65_536
RESPONSE_PARSER = 1
"""Kind of ``HttpParser`` that parses responses."""

REPEATABLE_METHODS = frozenset(("GET", "HEAD"))
"""Methods of calls that change nothing at the server."""

_INTERIM = b"HTTP/1.1 100 "
"""Start of an interim response, which a waiting call may get any number of."""

RECENTLY_HEARD = datetime.timedelta(milliseconds=100)
"""Age of the last bytes on an idle connection up to which a time-out casts no
doubt on it. An answer is due at least this long before its call times out, so
the silence that swallowed it began before."""

SHORTEST_SILENCE = datetime.timedelta(milliseconds=250)
"""Least time limit of a call whose time-out casts doubt on connections beside
it. One that is given up sooner shows that its own answer is late or lost."""

TICK_SECONDS = 0.1
"""Interval between checks for calls that have timed out."""


class call_http(circuits.Event):
    """Asks the client to make a call; the argument is a Call."""


class cancel_http(circuits.Event):
    """Asks the client to cancel a call; the argument is the call's id."""


class http_answered(circuits.Event):
    """A call was answered; the argument is a CallAnswer."""


class http_failed(circuits.Event):
    """A call failed; the argument is a CallFailure."""


class check_calls(circuits.Event):
    """Asks the client to fail the calls that have timed out."""


class HttpClient(circuits.BaseComponent):
    """Owns connections to servers; each carries one call at a time."""

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
        self._pool = _http_pool.Pool()
        self._countdown = _timer.Countdown(check_calls(), channel).register(
            self
        )

    @circuits.handler("call_http")
    def _on_call_http(self, call: _http_calls.Call) -> None:
        expires = self._clock.now() + call.timeout
        try:
            request = _http_calls.encode_request(call, self._headers)
        except UnicodeEncodeError:
            problem = _http_calls.CallProblem.PROTOCOL
            self.fire(
                http_failed(_http_calls.CallFailure(call, problem, False))
            )
            return
        self._start_call(_http_pool.Pending(call, expires, request))

    @circuits.handler("cancel_http")
    def _on_cancel_http(self, call_id: int) -> None:
        problem = _http_calls.CallProblem.CANCELLED
        for pending in self._pool.pop_call(call_id):
            self._fire_failure(pending, problem, sent=False)
        for connection in self._pool.get_active():
            if connection.pending.call.id == call_id:
                self._fail(connection, problem)

    @circuits.handler("check_calls")
    def _on_check_calls(self) -> None:
        now = self._clock.now()
        for pending in self._pool.pop_expired(now):
            problem = _http_calls.CallProblem.TIMEOUT
            self._fire_failure(pending, problem, sent=False)
        for connection in self._pool.get_active():
            if connection.pending is None:
                # It ended with an overdue one before it.
                continue
            if not connection.connected and now >= connection.connect_by:
                self._fail(connection, _http_calls.CallProblem.UNREACHABLE)
            elif now >= connection.pending.expires:
                self._end_overdue(connection)
        self._schedule_check()

    @circuits.handler("_write")
    def _on_writable(self, sock: socket.socket) -> None:
        connection = self._pool.get(sock)
        if connection is None:
            return
        if not connection.connected:
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                self._fail(connection, _classify_connect_error(code))
                return
            connection.connected = True
            connection.heard_at = self._clock.now()
        self._send(connection)

    @circuits.handler("_read")
    def _on_readable(self, sock: socket.socket) -> None:
        connection = self._pool.get(sock)
        if connection is None:
            return
        try:
            data = sock.recv(READ_SIZE)
        except BlockingIOError:
            return
        except OSError as error:
            self._handle_loss(connection, error.errno)
            return
        connection.heard_at = self._clock.now()
        if not data or connection.pending is None:
            self._handle_loss(connection)
            return
        self._receive(connection, data)

    @circuits.handler("_disconnect", "_error")
    def _on_lost(self, sock: socket.socket, *error: object) -> None:
        connection = self._pool.get(sock)
        if connection is not None:
            self._handle_loss(connection)

    def _start_call(self, pending: _http_pool.Pending) -> None:
        call = pending.call
        connection = self._take_idle(call.address)
        if connection is None:
            if self._pool.is_full(call):
                self._pool.enqueue(pending)
                self._schedule_check()
                return
            try:
                connection = self._open(call.address)
            except OSError as error:
                problem = _classify_connect_error(error.errno)
                self._fire_failure(pending, problem, sent=False)
                self._start_waiting(call.address)
                return
        connection.pending = pending
        connection.started_at = self._clock.now()
        connection.sent = False
        connection.received = 0
        connection.unparsed = b""
        connection.answer_begun = False
        connection.unsent = pending.request
        connection.parser = parsers.HttpParser(RESPONSE_PARSER)
        self._schedule_check()
        self._send(connection)

    def _take_idle(
        self, address: _http_calls.Address
    ) -> _http_pool.Connection | None:
        while connection := self._pool.take_idle(address):
            if not connection.is_stale():
                return connection
            self._close(connection)
        return None

    def _open(self, address: _http_calls.Address) -> _http_pool.Connection:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            code = sock.connect_ex((address.host, address.port))
        except (OSError, ValueError, OverflowError, TypeError) as error:
            # No socket accepts such a host or port.
            sock.close()
            raise OSError(errno.EINVAL, str(error)) from error
        if code not in (0, errno.EINPROGRESS):
            sock.close()
            raise OSError(code, os.strerror(code))
        now = self._clock.now()
        connection = _http_pool.Connection(
            sock, address, now + CONNECT_TIMEOUT, now, connected=code == 0
        )
        self._pool.add(connection)
        self._poller.addReader(self, sock)
        return connection

    def _send(self, connection: _http_pool.Connection) -> None:
        sock = connection.sock
        if connection.connected and connection.unsent:
            try:
                count = sock.send(connection.unsent)
            except BlockingIOError:
                count = 0
            except OSError:
                # A failed send has sent none of the bytes.
                self._handle_loss(connection)
                return
            connection.sent = connection.sent or count > 0
            connection.unsent = connection.unsent[count:]
        writing = self._poller.isWriting(sock)
        wanted = bool(connection.unsent) or not connection.connected
        if wanted and not writing:
            self._poller.addWriter(self, sock)
        elif writing and not wanted:
            self._poller.removeWriter(sock)

    def _receive(self, connection: _http_pool.Connection, data: bytes) -> None:
        parser = connection.parser
        connection.received += len(data)
        if connection.received > MAX_ANSWER_BYTES:
            self._fail(connection, _http_calls.CallProblem.TOO_LARGE)
            return
        data = _drop_interim(connection, data)
        if not data:
            return
        try:
            parser.execute(data, len(data))
        except Exception:
            # It raises errors of many kinds when an answer is not HTTP.
            self._fail(connection, _http_calls.CallProblem.PROTOCOL)
            return
        if parser.errno is not None:
            self._fail(connection, _http_calls.CallProblem.PROTOCOL)
            return
        if parser.is_message_complete():
            self._finish(connection)

    def _finish(self, connection: _http_pool.Connection) -> None:
        parser = connection.parser
        headers = {
            key.lower(): value for key, value in parser.get_headers().items()
        }
        answer = _http_calls.CallAnswer(
            connection.pending.call,
            parser.get_status_code(),
            headers,
            parser.recv_body(),
        )
        connection.pending = None
        connection.parser = None
        keep = parser.should_keep_alive() and not connection.unsent
        if keep and self._pool.keep_idle(connection):
            self._start_waiting(connection.address)
        else:
            self._close(connection)
        self.fire(http_answered(answer))

    def _end_overdue(self, connection: _http_pool.Connection) -> None:
        """Fail a call that has timed out, and doubt connections beside it.

        All open connections to a server may have gone silent at once. The
        idle ones that were not heard lately are closed, so that nobody waits
        for them as well. A call that waits on one that has been silent for as
        long fails now if it may be repeated.
        """
        problem = _http_calls.CallProblem.TIMEOUT
        address = connection.address
        limit = connection.pending.call.timeout
        unheard = connection.connected and connection.sent
        if not unheard or limit < SHORTEST_SILENCE:
            self._fail(connection, problem)
            return
        # Calls that wait for a connection start as these are closed.
        before = self._clock.now() - RECENTLY_HEARD
        for idle in self._pool.take_idle_since(address, before):
            self._close(idle)
        since = connection.started_at
        self._fail(connection, problem)
        for other in self._pool.get_active():
            if (
                other.address == address
                and other.connected
                and other.heard_at <= since
                and other.pending.call.method in REPEATABLE_METHODS
            ):
                self._fail(other, problem)

    def _handle_loss(
        self, connection: _http_pool.Connection, code: int | None = None
    ) -> None:
        if not connection.connected:
            sock = connection.sock
            if code is None:
                code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            self._fail(connection, _classify_connect_error(code))
            return
        pending = connection.pending
        if connection.reused and pending is not None and not connection.sent:
            connection.pending = None
            self._close(connection)
            self._start_call(pending)
            return
        self._fail(connection, _http_calls.CallProblem.CLOSED)

    def _fail(
        self,
        connection: _http_pool.Connection,
        problem: _http_calls.CallProblem,
    ) -> None:
        pending = connection.pending
        connection.pending = None
        self._close(connection)
        if pending is not None:
            self._fire_failure(pending, problem, connection.sent)

    def _fire_failure(
        self,
        pending: _http_pool.Pending,
        problem: _http_calls.CallProblem,
        sent: bool,
    ) -> None:
        failure = _http_calls.CallFailure(pending.call, problem, sent)
        self.fire(http_failed(failure))

    def _close(self, connection: _http_pool.Connection) -> None:
        self._pool.remove(connection)
        self._poller.discard(connection.sock)
        connection.sock.close()
        self._start_waiting(connection.address)

    def _start_waiting(self, address: _http_calls.Address) -> None:
        pending = self._pool.pop_waiting(address)
        if pending is not None:
            self._start_call(pending)

    def _schedule_check(self) -> None:
        # An idle client wakes for nothing.
        if not self._countdown.running and self._pool.busy:
            self._countdown.start(TICK_SECONDS)


def _drop_interim(connection: _http_pool.Connection, data: bytes) -> bytes:
    """Return what an answer begins with, without interim responses (100).

    The parser needs the whole first line at once.
    """
    if connection.answer_begun:
        return data
    data = connection.unparsed + data
    while data.startswith(_INTERIM) and _http_heads.HEAD_END in data:
        _, _, data = data.partition(_http_heads.HEAD_END)
    connection.answer_begun = b"\r\n" in data and not data.startswith(_INTERIM)
    connection.unparsed = b"" if connection.answer_begun else data
    return data if connection.answer_begun else b""


def _classify_connect_error(code: int | None) -> _http_calls.CallProblem:
    if code == errno.ECONNREFUSED:
        return _http_calls.CallProblem.REFUSED
    return _http_calls.CallProblem.UNREACHABLE
