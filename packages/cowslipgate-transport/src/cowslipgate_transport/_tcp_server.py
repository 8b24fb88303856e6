"""TCP server of circuits without its faults on closed sockets."""

import socket

import circuits
from circuits.net import sockets


class TcpServer(sockets.TCPServer):
    """Writes nothing to closed sockets and discards their write buffers."""

    @property
    def buffered(self) -> int:
        """Number of sockets with a write buffer, empty or not."""
        return len(self._buffers)

    def discard_closed(self) -> None:
        """Discard buffers that were created for already closed sockets."""
        closed = [sock for sock in self._buffers if sock.fileno() < 0]
        for sock in closed:
            del self._buffers[sock]

    @circuits.handler("write")
    def write(self, sock: socket.socket, data: bytes) -> None:
        """Buffer data for a socket, unless it was closed since."""
        # The caller may leave between an answer and its head's event; that of
        # circuits then polls a closed socket, which is an error.
        if sock.fileno() >= 0:
            super().write(sock, data)
