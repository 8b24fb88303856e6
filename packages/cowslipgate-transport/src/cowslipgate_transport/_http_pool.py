"""Connection pool of the HTTP client."""

import collections
from collections.abc import Callable
import datetime
import socket

import attrs
from circuits.web import parsers

from cowslipgate_transport import _http_calls

MAX_IDLE_CONNECTIONS = 64
"""Maximum number of idle connections to each server."""


@attrs.frozen
class Pending:
    """A call with its deadline and its encoded request."""

    call: _http_calls.Call
    """The call."""

    expires: datetime.datetime
    """When the call times out."""

    request: bytes
    """Encoded request."""


@attrs.define(eq=False)
class Connection:
    """One connection to a server."""

    sock: socket.socket
    """Socket of the connection, non-blocking."""

    address: _http_calls.Address
    """Server of the connection."""

    connect_by: datetime.datetime
    """When connecting counts as failed."""

    heard_at: datetime.datetime
    """When it was opened or bytes last arrived on it."""

    connected: bool = False
    """Whether the connection is established."""

    reused: bool = False
    """Whether it has carried an earlier call."""

    pending: Pending | None = None
    """Call in progress, or None while idle."""

    started_at: datetime.datetime | None = None
    """When the call in progress was given to it."""

    sent: bool = False
    """Whether any byte of the request has been sent."""

    unsent: bytes = b""
    """Rest of the request that is still to be sent."""

    received: int = 0
    """Number of bytes of the answer received so far."""

    unparsed: bytes = b""
    """Start of an answer or interim response, whose rest is missing."""

    answer_begun: bool = False
    """Whether a part of the answer itself was received."""

    parser: parsers.HttpParser | None = None
    """Parser of the answer, or None while idle."""

    def is_stale(self) -> bool:
        """Return whether the server closed it or sent unrequested bytes."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True


class Pool:
    """All connections of a client, and the calls that wait for one."""

    def __init__(self) -> None:
        self._connections: dict[socket.socket, Connection] = {}
        self._open: collections.Counter[_http_calls.Address] = (
            collections.Counter()
        )
        self._idle: dict[_http_calls.Address, list[Connection]] = {}
        self._waiting: dict[
            _http_calls.Address, collections.deque[Pending]
        ] = {}

    @property
    def busy(self) -> bool:
        """Whether any call is in progress or waiting."""
        return bool(self._waiting) or any(
            connection.pending is not None
            for connection in self._connections.values()
        )

    def get(self, sock: socket.socket) -> Connection | None:
        """Return the connection of a socket, or None if it is closed."""
        return self._connections.get(sock)

    def get_active(self) -> list[Connection]:
        """Return the connections with a call in progress."""
        return [
            connection
            for connection in self._connections.values()
            if connection.pending is not None
        ]

    def add(self, connection: Connection) -> None:
        """Add a new connection."""
        self._connections[connection.sock] = connection
        self._open[connection.address] += 1

    def remove(self, connection: Connection) -> None:
        """Remove a connection that is being closed."""
        address = connection.address
        idle = self._idle.get(address, [])
        if connection in idle:
            self._remove_idle(address, connection)
        del self._connections[connection.sock]
        self._open[address] -= 1
        if not self._open[address]:
            del self._open[address]

    def take_idle(self, address: _http_calls.Address) -> Connection | None:
        """Remove and return an idle connection to a server, or None."""
        idle = self._idle.get(address)
        if not idle:
            return None
        connection = idle[-1]
        self._remove_idle(address, connection)
        return connection

    def take_all_idle(self, address: _http_calls.Address) -> list[Connection]:
        """Remove and return the idle connections to a server."""
        return self._idle.pop(address, [])

    def keep_idle(self, connection: Connection) -> bool:
        """Keep a connection for reuse; return False at the idle limit."""
        idle = self._idle.setdefault(connection.address, [])
        if len(idle) >= MAX_IDLE_CONNECTIONS:
            return False
        connection.reused = True
        idle.append(connection)
        return True

    def is_full(self, call: _http_calls.Call) -> bool:
        """Return whether the call's limit of connections is reached."""
        limit = call.connection_limit
        return 0 < limit <= self._open[call.address]

    def enqueue(self, pending: Pending) -> None:
        """Queue a call that waits for a connection."""
        address = pending.call.address
        queue = self._waiting.setdefault(address, collections.deque())
        queue.append(pending)

    def pop_waiting(self, address: _http_calls.Address) -> Pending | None:
        """Remove and return the call that has waited longest, or None."""
        queue = self._waiting.get(address)
        if queue is None:
            return None
        pending = queue.popleft()
        if not queue:
            del self._waiting[address]
        return pending

    def pop_expired(self, now: datetime.datetime) -> list[Pending]:
        """Remove and return the waiting calls that have timed out."""
        return self._pop_where(lambda pending: now >= pending.expires)

    def pop_call(self, call_id: int) -> list[Pending]:
        """Remove and return the waiting calls with an id."""
        return self._pop_where(lambda pending: pending.call.id == call_id)

    def _pop_where(self, check: Callable[[Pending], bool]) -> list[Pending]:
        popped = []
        for address, queue in list(self._waiting.items()):
            matching = [pending for pending in queue if check(pending)]
            popped.extend(matching)
            for pending in matching:
                queue.remove(pending)
            if not queue:
                del self._waiting[address]
        return popped

    def _remove_idle(
        self, address: _http_calls.Address, connection: Connection
    ) -> None:
        idle = self._idle[address]
        idle.remove(connection)
        if not idle:
            del self._idle[address]
