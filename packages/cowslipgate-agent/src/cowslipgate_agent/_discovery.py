"""Discovery of entries through the balancer."""

import datetime
import itertools

import circuits

from cowslipgate_agent import _events
from cowslipgate_agent import _member_calls
import cowslipgate_transport as transport

CHANNEL = "discovery"
DISCOVERY_TIMEOUT = datetime.timedelta(seconds=3)


class BalancerDiscovery(circuits.BaseComponent):
    """Component that requests the list of members on ``discover_entries``."""

    channel = CHANNEL

    def __init__(self, balancer: transport.Address) -> None:
        super().__init__()
        self._balancer = balancer
        self._numbers = itertools.count(1)
        self._passed_over = transport.RowsPassedOver(self)

    @circuits.handler("discover_entries")
    def _on_discover_entries(self) -> None:
        call = _member_calls.make_members_call(
            next(self._numbers), self._balancer, DISCOVERY_TIMEOUT
        )
        self.fire(transport.call_http(call))

    @circuits.handler("http_answered")
    def _on_http_answered(self, answer: transport.CallAnswer) -> None:
        members = _member_calls.decode_members(answer, self._passed_over)
        if members:
            self.fire(_events.members_found(members), "links")
