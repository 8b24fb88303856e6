"""A TCP proxy that injects faults into links, controlled by tests.

It runs on its own thread. When a network loses every packet of one direction,
TCP retransmits, so the bytes arrive late; ``hold`` reproduces this.
"""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
import enum
import select
import socket
import struct
import threading
from typing import Any

import attrs

HOST = "127.0.0.1"
READ_SIZE_BYTES = 65_536
SNIFF_LIMIT_BYTES = 1_024
COMMAND_TIMEOUT_SECONDS = 10.0
MAX_CONNECTIONS = 1_024
"""Default limit of a link's connections at once."""

_IDENTITY_PROPERTY = b"\x08Identity"  # Name of a property in ZMTP's READY.


class Direction(enum.Enum):
    """Direction of the bytes on a connection."""

    FORWARD = "from whoever connected"
    BACKWARD = "to whoever connected"


@attrs.frozen
class Fault:
    """Fault of the connections of some peers."""

    peer: str = ""
    """Prefix of the ZeroMQ identities affected; empty for all."""

    held: frozenset[Direction] = frozenset()
    """Directions in which bytes are held back."""

    broken: frozenset[Direction] = frozenset()
    """Directions in which half of the next read passes before a reset."""

    delay_seconds: float = 0.0
    """Latency added in each direction, in seconds."""

    refused: bool = False
    """Whether connections are reset once their peer is identified."""


@attrs.define(eq=False)
class _Connection:
    """One proxied connection."""

    client: asyncio.StreamWriter
    """Writer to the connecting side."""

    server: asyncio.StreamWriter
    """Writer to the upstream."""

    sniffed: bytes = b""
    """First bytes from the connecting side, searched for its identity."""

    peer: str = ""
    """ZeroMQ identity of the connecting side, empty until found."""

    def reset(self) -> None:
        """Reset both sides with a TCP RST."""
        for writer in (self.client, self.server):
            _reset_side(writer)

    def reset_client(self) -> None:
        """Reset the connecting side; the other hears of it after a hold."""
        _reset_side(self.client)

    def sniff(self, data: bytes) -> None:
        """Search the first forward bytes for the identity and record it."""
        if self.peer or len(self.sniffed) > SNIFF_LIMIT_BYTES:
            return
        self.sniffed += data
        start = self.sniffed.find(_IDENTITY_PROPERTY)
        if start < 0:
            return
        start += len(_IDENTITY_PROPERTY)
        size = int.from_bytes(self.sniffed[start : start + 4], "big")
        name = self.sniffed[start + 4 : start + 4 + size]
        self.peer = name.decode(errors="replace")


def _reset_side(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    # One side may have been closed while the other is still open.
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Link:
    """A port that forwards to an upstream port, with switchable faults.

    The public methods, except ``listen``, may be called from any thread
    outside the proxy's and return when the fault is in force. Connections
    beyond the limit wait in the listener's queue, without a descriptor.
    """

    def __init__(
        self,
        proxy: "Proxy",
        upstream: int,
        upstream_host: str = HOST,
        max_connections: int = MAX_CONNECTIONS,
        bind: tuple[str, int] = (HOST, 0),
    ) -> None:
        self._proxy = proxy
        self._upstream_host = upstream_host
        self._faults: tuple[Fault, ...] = ()
        self._changed = asyncio.Event()
        self._connections: list[_Connection] = []
        self._free = asyncio.Semaphore(max_connections)
        self._accepting: asyncio.Task[None] | None = None
        self._serving: set[asyncio.Task[None]] = set()
        self.upstream = upstream
        self.host, self.port = bind
        self.resets = 0
        self.accepted = 0

    async def listen(self) -> None:
        """Listen on its port; one that the system assigns stays the same."""
        listener = socket.create_server((self.host, self.port))
        listener.setblocking(False)
        self.port = listener.getsockname()[1]
        self._accepting = asyncio.create_task(self._accept(listener))

    def inject(self, *faults: Fault) -> None:
        """Replace the faults in force."""
        self._proxy.call(lambda: self._inject(faults))

    def add_fault(self, fault: Fault) -> None:
        """Add a fault; of those of a peer, the first one counts."""
        self._proxy.call(lambda: self._inject((*self._faults, fault)))

    def clear_faults(self) -> None:
        """Remove every fault and release the bytes held back."""
        self.inject()

    def hold(self, *directions: Direction, peer: str = "") -> None:
        """Hold bytes back, as if all packets of the directions were lost."""
        self.inject(Fault(peer, held=frozenset(directions)))

    def reset_mid_message(self, direction: Direction, peer: str = "") -> None:
        """Reset a connection in the middle of its next read."""
        self.inject(Fault(peer, broken=frozenset({direction})))

    def refuse_connections(self, peer: str = "") -> None:
        """Reset connections and refuse new ones until ``clear_faults``."""
        self.inject(Fault(peer, refused=True))

    def close(self) -> None:
        """Refuse connections and reset the open ones, until ``open``."""
        self._proxy.run(self._stop_listening())
        self.reset()

    def open(self) -> None:
        """Accept connections on the same port again."""
        self._proxy.run(self.listen())

    def reset(self, peer: str = "") -> None:
        """Reset the connections that are open now."""
        self._proxy.call(lambda: self._reset_peer(peer))

    def reset_clients(self) -> None:
        """Reset the connecting sides; in a cut the upstream hears nothing."""

        def reset() -> None:
            for connection in list(self._connections):
                connection.reset_client()

        self._proxy.call(reset)

    def count_connections(self, peer: str = "") -> int:
        """Return the number of open connections."""
        return sum(
            1
            for connection in list(self._connections)
            if connection.peer.startswith(peer)
        )

    def _inject(self, faults: tuple[Fault, ...]) -> None:
        self._faults = faults
        for fault in faults:
            if fault.refused:
                self._reset_peer(fault.peer)
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _reset_peer(self, peer: str) -> None:
        for connection in list(self._connections):
            if connection.peer.startswith(peer):
                self._reset_connection(connection)

    def _reset_connection(self, connection: _Connection) -> None:
        if connection in self._connections:
            self._connections.remove(connection)
            self.resets += 1
            connection.reset()
            self._notify()

    def _find_fault(self, connection: _Connection) -> Fault:
        for fault in self._faults:
            if connection.peer.startswith(fault.peer):
                return fault
        return Fault()

    async def _stop_listening(self) -> None:
        self._accepting.cancel()
        await asyncio.gather(self._accepting, return_exceptions=True)

    async def _accept(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with listener:
            while True:
                await self._free.acquire()
                try:
                    sock, _ = await loop.sock_accept(listener)
                except BaseException:
                    self._free.release()
                    raise
                task = loop.create_task(self._serve(sock))
                self._serving.add(task)
                task.add_done_callback(self._end_serving)

    def _end_serving(self, task: asyncio.Task[None]) -> None:
        self._serving.discard(task)
        self._free.release()

    async def _serve(self, sock: socket.socket) -> None:
        # Whoever waited in the queue may have left.
        if _has_hung_up(sock):
            sock.close()
            return
        reader, writer = await asyncio.open_connection(sock=sock)
        try:
            upstream = await asyncio.open_connection(
                self._upstream_host, self.upstream
            )
        except OSError:
            writer.transport.abort()
            return
        except asyncio.CancelledError:
            writer.close()
            raise
        self.accepted += 1
        connection = _Connection(writer, upstream[1])
        self._connections.append(connection)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._copy(connection, Direction.FORWARD, reader)
                )
                group.create_task(
                    self._copy(connection, Direction.BACKWARD, upstream[0])
                )
        finally:
            if connection in self._connections:
                self._connections.remove(connection)
            connection.client.close()
            connection.server.close()

    async def _copy(
        self,
        connection: _Connection,
        direction: Direction,
        reader: asyncio.StreamReader,
    ) -> None:
        forward = direction is Direction.FORWARD
        writer = connection.server if forward else connection.client
        try:
            while data := await reader.read(READ_SIZE_BYTES):
                if forward:
                    connection.sniff(data)
                if not await self._forward(
                    connection, direction, data, writer
                ):
                    return
                await writer.drain()
            await self._wait_while_held(connection, direction)
        except OSError:
            pass
        writer.close()

    async def _forward(
        self,
        connection: _Connection,
        direction: Direction,
        data: bytes,
        writer: asyncio.StreamWriter,
    ) -> bool:
        await self._wait_while_held(connection, direction)
        fault = self._find_fault(connection)
        if fault.delay_seconds:
            await asyncio.sleep(fault.delay_seconds)
        if fault.refused:
            self._reset_connection(connection)
            return False
        if direction in fault.broken:
            writer.write(data[: len(data) // 2])
            await writer.drain()
            self._reset_connection(connection)
            return False
        writer.write(data)
        return True

    async def _wait_while_held(
        self, connection: _Connection, direction: Direction
    ) -> None:
        while (
            connection in self._connections
            and direction in self._find_fault(connection).held
        ):
            await self._changed.wait()


class Proxy:
    """Thread and event loop that serve the links."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True
        )

    def __enter__(self) -> "Proxy":
        self._thread.start()
        return self

    def __exit__(self, *error: object) -> None:
        self.run(_cancel_others())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def open_link(
        self,
        upstream: int = 0,
        upstream_host: str = HOST,
        max_connections: int = MAX_CONNECTIONS,
        bind: tuple[str, int] = (HOST, 0),
    ) -> Link:
        """Return a link to the port ``upstream``; 0 if it is set later."""
        link = Link(self, upstream, upstream_host, max_connections, bind)
        self.run(link.listen())
        return link

    def call(self, command: Callable[[], None]) -> None:
        """Run ``command`` on the proxy's thread and wait for its end."""

        async def run() -> None:
            command()

        self.run(run())

    def run(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine on the proxy's thread and wait for its end."""
        future = asyncio.run_coroutine_threadsafe(work, self._loop)
        future.result(COMMAND_TIMEOUT_SECONDS)


def _has_hung_up(sock: socket.socket) -> bool:
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


async def _cancel_others() -> None:
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)
