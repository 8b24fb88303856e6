"""The TCP server of circuits without its leak."""

from circuits.net import sockets


class TcpServer(sockets.TCPServer):
    """Forgets the buffers of closed connections when it is asked to."""

    @property
    def buffered(self) -> int:
        """Number of sockets that have a buffer, empty or not."""
        return len(self._buffers)

    def forget_closed(self) -> None:
        """Drop buffers that were made for sockets after their end."""
        closed = [sock for sock in self._buffers if sock.fileno() < 0]
        for sock in closed:
            del self._buffers[sock]
