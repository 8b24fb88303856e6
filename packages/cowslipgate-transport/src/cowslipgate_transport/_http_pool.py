"""Connections of the HTTP client: those in use, idle ones and their limit."""

import collections
from collections.abc import Callable
import datetime
import socket

import attrs
from circuits.web import parsers

from cowslipgate_transport import _http_calls

IDLE_LIMIT = 64


@attrs.frozen
class Pending:
    """A call with the time at which it fails."""

    call: _http_calls.Call
    """The call."""

    expires: datetime.datetime
    """When it times out."""

    request: bytes
    """Its request as it is sent."""


@attrs.define(eq=False)
class Connection:
    """One connection to a server."""

    sock: socket.socket
    """Its socket."""

    address: _http_calls.Address
    """Its server."""

    connect_by: datetime.datetime
    """When connecting counts as failed."""

    connected: bool = False
    """Whether the connection stands."""

    reused: bool = False
    """Whether it has served a call before."""

    pending: Pending | None = None
    """Call under way."""

    sent: bool = False
    """Whether any byte of the call has left."""

    unsent: bytes = b""
    """Bytes of the call still to be sent."""

    received: int = 0
    """Bytes of the answer so far."""

    parser: parsers.HttpParser | None = None
    """Parser of the answer."""

    def is_stale(self) -> bool:
        """Tell whether the server has closed it or sent what nobody asked."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True


class Pool:
    """Every connection of a client, and the calls that wait for one."""

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
        """Whether any call is under way or waits."""
        return bool(self._waiting) or any(
            connection.pending is not None
            for connection in self._connections.values()
        )

    def get(self, sock: socket.socket) -> Connection | None:
        """Return the connection of a socket, or None."""
        return self._connections.get(sock)

    def get_active(self) -> list[Connection]:
        """Return the connections with a call under way."""
        return [
            connection
            for connection in self._connections.values()
            if connection.pending is not None
        ]

    def add(self, connection: Connection) -> None:
        """Take in a new connection."""
        self._connections[connection.sock] = connection
        self._open[connection.address] += 1

    def remove(self, connection: Connection) -> None:
        """Forget a connection that is closed."""
        address = connection.address
        idle = self._idle.get(address, [])
        if connection in idle:
            self._take(address, connection)
        del self._connections[connection.sock]
        self._open[address] -= 1
        if not self._open[address]:
            del self._open[address]

    def take_idle(self, address: _http_calls.Address) -> Connection | None:
        """Return an idle connection to a server, or None."""
        idle = self._idle.get(address)
        if not idle:
            return None
        connection = idle[-1]
        self._take(address, connection)
        return connection

    def keep_idle(self, connection: Connection) -> bool:
        """Keep a connection for the next call; return whether it was kept."""
        idle = self._idle.setdefault(connection.address, [])
        if len(idle) >= IDLE_LIMIT:
            return False
        connection.reused = True
        idle.append(connection)
        return True

    def is_full(self, call: _http_calls.Call) -> bool:
        """Tell whether a call must wait for a connection."""
        limit = call.connection_limit
        return 0 < limit <= self._open[call.address]

    def wait(self, pending: Pending) -> None:
        """Have a call wait for a connection."""
        address = pending.call.address
        queue = self._waiting.setdefault(address, collections.deque())
        queue.append(pending)

    def pop_waiting(self, address: _http_calls.Address) -> Pending | None:
        """Return the call that has waited longest for a server, or None."""
        queue = self._waiting.get(address)
        if queue is None:
            return None
        pending = queue.popleft()
        if not queue:
            del self._waiting[address]
        return pending

    def pop_expired(self, now: datetime.datetime) -> list[Pending]:
        """Return the waiting calls that have timed out."""
        return self._pop_where(lambda pending: now >= pending.expires)

    def pop_call(self, call_id: int) -> list[Pending]:
        """Return the waiting calls with an id."""
        return self._pop_where(lambda pending: pending.call.id == call_id)

    def _pop_where(self, check: Callable[[Pending], bool]) -> list[Pending]:
        popped = []
        for address, queue in list(self._waiting.items()):
            chosen = [pending for pending in queue if check(pending)]
            popped.extend(chosen)
            for pending in chosen:
                queue.remove(pending)
            if not queue:
                del self._waiting[address]
        return popped

    def _take(
        self, address: _http_calls.Address, connection: Connection
    ) -> None:
        idle = self._idle[address]
        idle.remove(connection)
        if not idle:
            del self._idle[address]
