"""The proxy of the soaks, apart from the faults that the soaks inject."""

import asyncio
import contextlib
import socket
import threading
import time

import attrs
import pytest

from cowslipgate_bench import _proxy
from cowslipgate_bench import _waits


@attrs.define
class Side:
    """One side of a proxied connection, as its writer."""

    sock: socket.socket
    """Socket of the side."""

    aborted: bool = False
    """Whether its transport was aborted."""

    @property
    def transport(self) -> "Side":
        """Transport of the writer."""
        return self

    def get_extra_info(self, name: str) -> socket.socket:
        """Return the socket."""
        return self.sock

    def abort(self) -> None:
        """Record the abort."""
        self.aborted = True


def test_reset_of_a_half_closed_connection_reaches_the_open_side() -> None:
    with contextlib.ExitStack() as stack:
        first, second = socket.socketpair()
        stack.callback(first.close)
        stack.callback(second.close)
        sides = Side(first), Side(second)
        first.close()
        _proxy._Connection(*sides).reset()
    assert [side.aborted for side in sides] == [True, True]


def test_reset_reaches_both_peers() -> None:
    async def connect_and_reset() -> list[type[BaseException]]:
        accepted: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()
        server = await asyncio.start_server(
            lambda reader, writer: accepted.put_nowait(writer), "127.0.0.1", 0
        )
        port = server.sockets[0].getsockname()[1]
        readers = []
        for _ in range(2):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            readers.append((reader, writer))
        sides = await accepted.get(), await accepted.get()
        _proxy._Connection(*sides).reset()
        problems = []
        for reader, _ in readers:
            try:
                await asyncio.wait_for(reader.read(1), 5)
            except ConnectionResetError as error:
                problems.append(type(error))
        for _, writer in readers:
            writer.close()
        server.close()
        return problems

    problems = asyncio.run(connect_and_reset())
    assert problems == [ConnectionResetError] * 2


def _serve_nobody(stack: contextlib.ExitStack) -> int:
    """Return the port of a server that accepts no connection."""
    server = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
    return server.getsockname()[1]


def _connect(
    stack: contextlib.ExitStack, link: _proxy.Link, count: int
) -> list[socket.socket]:
    address = _proxy.HOST, link.port
    return [
        stack.enter_context(socket.create_connection(address))
        for _ in range(count)
    ]


# A late proxy that connected all of them ran out of descriptors.
def test_clients_that_left_before_they_were_accepted_are_not_served() -> None:
    with contextlib.ExitStack() as stack:
        proxy = stack.enter_context(_proxy.Proxy())
        link = proxy.open_link(_serve_nobody(stack))
        busy, released = threading.Event(), threading.Event()
        for command in (busy.set, released.wait):
            proxy._loop.call_soon_threadsafe(command)
        assert busy.wait(5)
        for sock in _connect(stack, link, 20):
            sock.sendall(b"order")
            sock.close()
        _connect(stack, link, 1)
        released.set()
        _waits.wait_until(lambda: link.accepted, "a connection served")
        assert (link.accepted, link.count_connections()) == (1, 1)


# Calls that time out in a cut leave a connection each, until the cut ends.
def test_connections_beyond_the_limit_wait_for_those_before() -> None:
    with contextlib.ExitStack() as stack:
        proxy = stack.enter_context(_proxy.Proxy())
        link = proxy.open_link(_serve_nobody(stack), max_connections=2)
        link.hold(*_proxy.Direction)
        clients = _connect(stack, link, 5)
        _waits.wait_until(lambda: link.accepted == 2, "two connections")
        time.sleep(0.2)
        assert link.count_connections() == 2
        link.clear_faults()
        for sock in clients[:2]:
            sock.close()
        _waits.wait_until(lambda: link.accepted == 4, "the next two")


# Agents and entries heard at once of a reset that a cut should have lost.
def test_reset_of_clients_reaches_the_upstream_after_the_hold() -> None:
    with contextlib.ExitStack() as stack:
        proxy = stack.enter_context(_proxy.Proxy())
        server = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        link = proxy.open_link(server.getsockname()[1])
        (client,) = _connect(stack, link, 1)
        accepted = stack.enter_context(server.accept()[0])
        link.hold(*_proxy.Direction)
        link.reset_clients()
        client.settimeout(5)
        with pytest.raises(ConnectionResetError):
            client.recv(1)
        accepted.settimeout(0.3)
        with pytest.raises(TimeoutError):
            accepted.recv(1)
        link.clear_faults()
        accepted.settimeout(5)
        assert accepted.recv(1) == b""
