"""Answers to callers that close their connection at the same moment.

Pattern: after an outage dozens of callers give up in the turn of the event
loop in which their answers are written.
"""

import socket

import circuits
from circuits.core import pollers
import pytest

from cowslipgate_transport import _tcp_server

CHANNEL = "server"


class write(circuits.Event):
    """Asks the server to write; socket and data."""


class Errors(circuits.BaseComponent):
    """Recorder of exceptions in handlers."""

    def __init__(self) -> None:
        super().__init__()
        self.raised: list[type[BaseException]] = []

    @circuits.handler("exception", channel="*")
    def _on_exception(
        self, kind: type[BaseException], *rest: object, **details: object
    ) -> None:
        self.raised.append(kind)


@pytest.mark.parametrize("closed", [False, True])
def test_write_to_a_closed_socket_is_no_error(closed: bool) -> None:
    root = circuits.BaseComponent(channel="root")
    pollers.EPoll().register(root)
    errors = Errors().register(root)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        server = _tcp_server.TcpServer(listener, channel=CHANNEL)
        server.register(root)
        first, second = socket.socketpair()
        with first, second:
            if closed:
                first.close()
            root.fire(write(first, b"answer"), CHANNEL)
            while len(root):
                root.flush()
            assert errors.raised == []
            assert server.buffered == (0 if closed else 1)
