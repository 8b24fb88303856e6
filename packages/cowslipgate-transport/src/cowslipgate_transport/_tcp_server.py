"""TCP server of circuits without its leak of write buffers."""

from circuits.net import sockets


class TcpServer(sockets.TCPServer):
    """Discards the write buffers of closed sockets on request."""

    @property
    def buffered(self) -> int:
        """Number of sockets with a write buffer, empty or not."""
        return len(self._buffers)

    def discard_closed(self) -> None:
        """Discard buffers that were created for already closed sockets."""
        closed = [sock for sock in self._buffers if sock.fileno() < 0]
        for sock in closed:
            del self._buffers[sock]
