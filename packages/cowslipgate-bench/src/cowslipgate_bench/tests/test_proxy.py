"""The proxy of the soaks, apart from the faults that the soaks inject."""

import asyncio
import contextlib
import socket

import attrs

from cowslipgate_bench import _proxy


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
