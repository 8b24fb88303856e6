"""Callers that have closed their connections, whether that is read or not.

The server reads a connection in order. It notices its end only after all that
was received before, and one process reads many connections.
"""

import select

from cowslipgate_transport import _http_exchanges

_ENDED = select.POLLRDHUP


def has_hung_up(exchange: _http_exchanges.Exchange) -> bool:
    """Return whether the caller has closed or reset its connection."""
    sock = exchange.response.request.sock
    if sock.fileno() < 0:
        return True
    poll = select.poll()
    # A reset is reported whether it is asked for or not.
    poll.register(sock, _ENDED)
    return bool(poll.poll(0))
