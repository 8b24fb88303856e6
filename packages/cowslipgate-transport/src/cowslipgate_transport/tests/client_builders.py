"""An HTTP client beside a server that answers with any bytes."""

from collections.abc import Iterator
import contextlib
import datetime
import socket
import threading
import time
import zlib

import circuits
from circuits.core import events
from circuits.core import pollers

import cowslipgate_core as core
import cowslipgate_transport as transport
from cowslipgate_transport import _caller_probes

CHANNEL = "client"
DELIVERY_SECONDS = 20.0
"""Time for an answer to reach the client's kernel. A round does not wait, and
the kernel may deliver late while other processes keep the processors busy."""

ROUNDS = 4_000
"""Rounds in which the client may read what its kernel has received."""

ROUND_SECONDS = 0.005
TIMEOUT = datetime.timedelta(hours=1)
"""Longer than a test; a call that waits for it counts as unanswered."""


class ClientHarness(circuits.BaseComponent):
    """A client, its results, and the errors of its handlers."""

    channel = CHANNEL

    def __init__(self, clock: core.ManualClock) -> None:
        super().__init__()
        self.answers: list[transport.CallAnswer] = []
        self.failures: list[transport.CallFailure] = []
        self.errors: list[BaseException] = []
        poller = pollers.EPoll().register(self)
        transport.HttpClient(CHANNEL, poller, clock).register(self)

    @circuits.handler("http_answered")
    def _on_http_answered(self, answer: transport.CallAnswer) -> None:
        self.answers.append(answer)

    @circuits.handler("http_failed")
    def _on_http_failed(self, failure: transport.CallFailure) -> None:
        self.failures.append(failure)

    @circuits.handler("exception", channel="*")
    def _on_exception(
        self, kind: type, error: BaseException, *more: object, **rest: object
    ) -> None:
        self.errors.append(error)

    @property
    def results(self) -> int:
        """Number of calls that were answered or have failed."""
        return len(self.answers) + len(self.failures)

    def call(
        self,
        address: transport.Address,
        number: int = 1,
        method: str = "GET",
        timeout: datetime.timedelta = TIMEOUT,
        connection_limit: int = 0,
    ) -> None:
        """Make a call."""
        call = transport.Call(
            number,
            address,
            method,
            "/",
            timeout=timeout,
            connection_limit=connection_limit,
        )
        self.fire(transport.call_http(call), CHANNEL)
        self.run_round()

    def run_round(self) -> None:
        """Run one round."""
        if not len(self):
            event = events.generate_events(threading.RLock(), ROUND_SECONDS)
            self.fire(event, "*")
        self.tick()


class HushedServer:
    """Answers each request, but not on connections that were silenced."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.setblocking(False)
        self._connections: list[socket.socket] = []
        self._silent: set[socket.socket] = set()
        self.requests: list[bytes] = []
        host, port = self._listener.getsockname()
        self.address = transport.Address(host, port)

    @property
    def accepted(self) -> int:
        """Number of connections that were opened."""
        return len(self._connections)

    def silence(self, *numbers: int) -> None:
        """Answer no more on the open connections, or on some of them.

        :param numbers: the connections, counted from zero; all if none
        """
        chosen = [self._connections[number] for number in numbers]
        self._silent.update(chosen or self._connections)

    def poll(self) -> None:
        """Accept connections and answer requests."""
        with contextlib.suppress(BlockingIOError):
            connection, _ = self._listener.accept()
            connection.setblocking(False)
            self._connections.append(connection)
        for sock in self._connections:
            with contextlib.suppress(OSError):
                request = sock.recv(65_536)
                if request:
                    self.requests.append(request)
                if request and sock not in self._silent:
                    sock.sendall(
                        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                    )

    def close(self) -> None:
        """Close the server and its connections."""
        for sock in [self._listener, *self._connections]:
            sock.close()


class RawServer:
    """Answers each connection with the same bytes.

    :param piece: number of bytes sent at each poll, or 0 for all at once
    """

    def __init__(self, answer: bytes, piece: int = 0) -> None:
        self._answer = answer
        self._piece = piece or len(answer)
        self._unsent: dict[socket.socket, bytes] = {}
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.setblocking(False)
        self._connections: list[socket.socket] = []
        host, port = self._listener.getsockname()
        self.address = transport.Address(host, port)

    @property
    def delivered(self) -> bool:
        """Whether the client's kernel has the whole answer."""
        return bool(self._unsent) and not any(
            unsent or _caller_probes.count_unacknowledged(connection)
            for connection, unsent in self._unsent.items()
        )

    def poll(self) -> None:
        """Accept connections and answer on them."""
        with contextlib.suppress(BlockingIOError):
            connection, _ = self._listener.accept()
            self._unsent[connection] = self._answer
            self._connections.append(connection)
        for connection, unsent in self._unsent.items():
            connection.sendall(unsent[: self._piece])
            self._unsent[connection] = unsent[self._piece :]

    def close(self) -> None:
        """Close the server and its connections."""
        for sock in [self._listener, *self._connections]:
            sock.close()


@contextlib.contextmanager
def serve(answer: bytes, piece: int = 0) -> Iterator[RawServer]:
    """Yield a server, and close it."""
    server = RawServer(answer, piece)
    try:
        yield server
    finally:
        server.close()


def get(answer: bytes, piece: int = 0) -> ClientHarness:
    """Make a call of a server that answers with some bytes.

    :param piece: number of bytes sent in each round, or 0 for all at once
    :return: the harness, once the call has ended, or ROUNDS after the whole
        answer was delivered
    """
    harness = ClientHarness(core.ManualClock())
    deadline = time.monotonic() + DELIVERY_SECONDS
    rounds = 0
    with serve(answer, piece) as server:
        harness.call(server.address)
        while rounds < ROUNDS and time.monotonic() < deadline:
            server.poll()
            harness.run_round()
            if harness.results or harness.errors:
                break
            rounds += server.delivered
    return harness


def compress(size: int, encoding: str) -> bytes:
    """Return many zero bytes, compressed.

    :param encoding: ``gzip`` or ``deflate``
    """
    window = zlib.MAX_WBITS + (16 if encoding == "gzip" else 0)
    compressor = zlib.compressobj(wbits=window)
    return compressor.compress(bytes(size)) + compressor.flush()
