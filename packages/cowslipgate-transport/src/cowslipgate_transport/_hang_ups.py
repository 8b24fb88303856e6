"""Callers that have closed their connections, whether that is read or not.

The server reads a connection in order. It notices its end only after all that
was received before, and one process reads many connections.
"""

import contextlib
import select

from cowslipgate_transport import _http_exchanges

_ENDED = select.EPOLLRDHUP
"""Event of a connection that its caller has closed; the same for ``poll``."""


class HangUpWatch:
    """Unanswered requests, and those whose callers have hung up."""

    def __init__(self) -> None:
        self._poll = select.epoll()
        self._exchanges: dict[int, _http_exchanges.Exchange] = {}
        self._descriptors: dict[_http_exchanges.Exchange, int] = {}

    def __len__(self) -> int:
        return len(self._descriptors)

    def add(self, exchange: _http_exchanges.Exchange) -> None:
        """Watch the caller of a request; a closed connection is ignored."""
        descriptor = exchange.response.request.sock.fileno()
        if descriptor < 0:
            return
        # A connection carries one request after another.
        earlier = self._exchanges.get(descriptor)
        if earlier is not None:
            self.discard(earlier)
        self._poll.register(descriptor, _ENDED)
        self._exchanges[descriptor] = exchange
        self._descriptors[exchange] = descriptor

    def discard(self, exchange: _http_exchanges.Exchange) -> None:
        """Stop watching the caller of a request, if it is watched."""
        descriptor = self._descriptors.pop(exchange, None)
        # The number of a closed descriptor may belong to another by now.
        if self._exchanges.get(descriptor) is not exchange:
            return
        del self._exchanges[descriptor]
        with contextlib.suppress(OSError):
            self._poll.unregister(descriptor)

    def take(self) -> list[_http_exchanges.Exchange]:
        """Return the requests whose callers have hung up, each once."""
        found = [
            self._exchanges[descriptor] for descriptor, _ in self._poll.poll(0)
        ]
        for exchange in found:
            self.discard(exchange)
        return found


def has_hung_up(exchange: _http_exchanges.Exchange) -> bool:
    """Return whether the caller has closed or reset its connection."""
    sock = exchange.response.request.sock
    if sock.fileno() < 0:
        return True
    poll = select.poll()
    # A reset is reported whether it is asked for or not.
    poll.register(sock, _ENDED)
    return bool(poll.poll(0))
