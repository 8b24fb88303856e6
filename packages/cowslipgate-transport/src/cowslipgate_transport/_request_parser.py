"""Parser and response writer of circuits.web, for validated requests."""

import socket

import circuits
from circuits.net import events as net_events
from circuits.net import sockets
from circuits.web import events as web_events
from circuits.web import http as web_http
from circuits.web import wrappers


class request_parsed(circuits.Event):
    """A request was parsed; the arguments are Request and Response."""


class parse_failed(circuits.Event):
    """A request could not be parsed; the argument is its socket."""


class _Http(web_http.HTTP):
    """Parser of circuits.web that bears connections reset by their caller."""

    @circuits.handler("read", override=True)
    def _on_read(self, sock: socket.socket, data: bytes) -> object:
        try:
            return super()._on_read(sock, data)
        except OSError:
            # The socket has no peer left whose name could be read.
            self._buffers.pop(sock, None)
            return self.fire(net_events.close(sock))


class RequestParser(circuits.BaseComponent):
    """Passes whole requests to circuits.web and its answers to the server.

    It uses a channel of its own, so that circuits.web only sees bytes that
    the server has validated and sends no answers by itself.
    """

    def __init__(self, server: sockets.TCPServer, channel: str) -> None:
        super().__init__(channel=f"{channel}-web")
        self._owner = channel
        self._http = _Http(server, channel=self.channel)
        self._http.register(self)

    def parse(self, sock: socket.socket, data: bytes) -> None:
        """Parse one complete request."""
        event = net_events.read(sock, data)
        event.failure = True
        self.fire(event)

    def respond(self, response: wrappers.Response) -> None:
        """Write an answer."""
        event = web_events.response(response)
        _suppress_follow_ups(event)
        self.fire(event)

    def discard(self, sock: socket.socket) -> None:
        """Discard the state of a closed connection."""
        self.fire(net_events.disconnect(sock))

    @circuits.handler("request", priority=10)
    def _on_request(
        self,
        event: circuits.Event,
        request: wrappers.Request,
        response: wrappers.Response,
        *certificate: object,
    ) -> bool:
        event.stop()
        _suppress_follow_ups(event)
        self.fire(request_parsed(request, response), self._owner)
        # A boolean makes circuits.web expect the answer later.
        return True

    @circuits.handler("httperror", "redirect", priority=10)
    def _on_httperror(
        self,
        event: circuits.Event,
        request: wrappers.Request,
        *details: object,
        **more: object,
    ) -> None:
        event.stop()
        self.fire(parse_failed(request.sock), self._owner)

    @circuits.handler("read_failure")
    def _on_read_failure(self, failed: circuits.Event, error: object) -> None:
        sock = failed.args[0]
        # circuits.web keeps the parser of a request that it failed to parse.
        self._http._buffers.pop(sock, None)
        self.fire(parse_failed(sock), self._owner)

    @circuits.handler("write")
    def _on_write(self, sock: socket.socket, data: bytes) -> None:
        self.fire(net_events.write(sock, data), self._owner)

    @circuits.handler("close")
    def _on_close(self, sock: socket.socket) -> None:
        self.fire(net_events.close(sock), self._owner)


def _suppress_follow_ups(event: circuits.Event) -> None:
    """Suppress an event's follow-ups; circuits makes a class for each."""
    event.success = False
    event.complete = False
