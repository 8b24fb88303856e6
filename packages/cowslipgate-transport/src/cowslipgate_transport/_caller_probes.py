"""When callers that wait for an answer were last known to be connected.

A connection may not show that its caller has gone or that the path is cut. An
interim response makes the caller's kernel acknowledge some bytes. Once it has,
the caller is known to have been connected after they were sent.
"""

import collections
import datetime
import fcntl
import socket
import struct
import termios

import attrs

import cowslipgate_core as core
from cowslipgate_transport import _http_exchanges

PROBE = b"HTTP/1.1 100 Continue\r\n\r\n"
"""A caller that does not expect it ignores it (RFC 9110, section 15.2.1)."""

CHECK_SECONDS = 0.1
"""Interval at which acknowledgements are read."""

PROBE_INTERVAL = datetime.timedelta(seconds=CHECK_SECONDS)
"""Time between two probes of a caller. A near caller is known to have been
connected 0.2 s ago at the latest, one that is 0.3 s away 0.9 s ago: this time,
both ways, a delayed acknowledgement (40 ms on Linux), and a check."""

_ALLOWANCE = datetime.timedelta(milliseconds=20)
"""Earliness with which a probe may be sent; checks are not exactly regular."""

_FIRST_PROBE_DELAY = datetime.timedelta(seconds=2 * CHECK_SECONDS)
"""Time from the date of a request, the check before the last, from which the
interval to its first probe counts."""

_COUNTER = struct.Struct("i")


@attrs.define(eq=False)
class _Probed:
    """A caller that waits for an answer."""

    seen_at: datetime.datetime
    """When it was last known to be connected."""

    probed_at: datetime.datetime
    """When the last probe was sent; until then, the time from which the
    interval to the first one counts."""

    sent: collections.deque[datetime.datetime] = attrs.Factory(
        collections.deque
    )
    """When the probes were sent that are not acknowledged."""


class CallerProbes:
    """Probes of the callers of one server.

    The server owns their connections and asks for a check at intervals.
    """

    def __init__(self, clock: core.Clock) -> None:
        self._clock = clock
        self._callers: dict[_http_exchanges.Exchange, _Probed] = {}
        now = clock.now()
        # The last two checks. A request may have been received after the
        # earlier one, even if the process did not run since.
        self._checks = (now, now)

    def __len__(self) -> int:
        return len(self._callers)

    @property
    def request_seen_at(self) -> datetime.datetime:
        """Time at which the caller of a request read now was connected."""
        return self._checks[0]

    def add(self, exchange: _http_exchanges.Exchange) -> None:
        """Probe the caller of a request until it is discarded."""
        if exchange.seen_at is None:
            return
        # The first probe goes out one check later than the next: its answer
        # from a distant caller has to come before the caller counts as lost,
        # and most short requests are answered before.
        probed_at = exchange.seen_at + _FIRST_PROBE_DELAY
        self._callers[exchange] = _Probed(exchange.seen_at, probed_at)

    def discard(self, exchange: _http_exchanges.Exchange) -> None:
        """Probe the caller of a request no longer, if it is probed."""
        self._callers.pop(exchange, None)

    def check(
        self,
    ) -> dict[_http_exchanges.Exchange, datetime.datetime]:
        """Return when callers were seen, for those seen since the last check.

        These are the callers that have acknowledged a probe meanwhile.
        """
        now = self._clock.now()
        self._checks = (self._checks[1], now)
        seen = {}
        for exchange, caller in self._callers.items():
            if self._is_acknowledged(exchange, caller):
                seen[exchange] = caller.seen_at
        return seen

    def list_due(self) -> list[_http_exchanges.Exchange]:
        """Return the requests whose callers are to be probed now."""
        now = self._clock.now()
        return [
            exchange
            for exchange, caller in self._callers.items()
            if now - caller.probed_at >= PROBE_INTERVAL - _ALLOWANCE
        ]

    def record_probe(
        self,
        exchange: _http_exchanges.Exchange,
        sent_at: datetime.datetime,
    ) -> None:
        """Record that a probe was passed to the kernel.

        :param sent_at: time read before that; the process may stand still
            between the two, while the caller acknowledges the probe
        """
        caller = self._callers[exchange]
        caller.probed_at = sent_at
        caller.sent.append(sent_at)

    def _is_acknowledged(
        self, exchange: _http_exchanges.Exchange, caller: _Probed
    ) -> bool:
        if not caller.sent:
            return False
        sock = exchange.response.request.sock
        unacknowledged = count_unacknowledged(sock)
        if unacknowledged is None:
            return False
        # An incomplete probe counts as one that is not acknowledged.
        left = -(-unacknowledged // len(PROBE))
        found = False
        while len(caller.sent) > left:
            caller.seen_at = caller.sent.popleft()
            found = True
        return found


def count_unacknowledged(sock: socket.socket) -> int | None:
    """Return the sent bytes that the peer's kernel has not acknowledged.

    None without an open connection.
    """
    if sock.fileno() < 0:
        return None
    try:
        packed = fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(_COUNTER.size))
    except OSError:
        return None
    return _COUNTER.unpack(packed)[0]
