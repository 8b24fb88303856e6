"""Runs an entry that binds another port for agents than it announces.

Agents connect to the announced port, which a proxy serves.
"""

import runpy
import typing

import zmq

PORT_OFFSET = 10_000
"""What is added to the announced port."""

_bind = zmq.Socket.bind


def bind_with_offset(sock: zmq.Socket, address: str) -> typing.Any:
    """Bind a socket; a TCP port is moved by the offset."""
    host, _, port = address.rpartition(":")
    if host.startswith("tcp:"):
        address = f"{host}:{int(port) + PORT_OFFSET}"
    return _bind(sock, address)


if __name__ == "__main__":
    zmq.Socket.bind = bind_with_offset
    runpy.run_module(
        "cowslipgate_platform", run_name="__main__", alter_sys=True
    )
