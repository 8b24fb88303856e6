"""Looks for entries by asking whichever one the balancer chooses."""

import datetime
import itertools

import circuits
import msgspec

from cowslipgate_agent import _events
import cowslipgate_core as core
import cowslipgate_transport as transport

CHANNEL = "discovery"
DISCOVERY_TIMEOUT = datetime.timedelta(seconds=3)
MEMBERS_PATH = "/v1/members"


class BalancerDiscovery(circuits.BaseComponent):
    """Asks for the list of members when it is told to."""

    channel = CHANNEL

    def __init__(self, balancer: transport.Address) -> None:
        super().__init__()
        self._balancer = balancer
        self._numbers = itertools.count(1)

    @circuits.handler("discover_entries")
    def _on_discover_entries(self) -> None:
        call = transport.Call(
            next(self._numbers),
            self._balancer,
            "GET",
            MEMBERS_PATH,
            timeout=DISCOVERY_TIMEOUT,
        )
        self.fire(transport.call_http(call))

    @circuits.handler("http_answered")
    def _on_http_answered(self, answer: transport.CallAnswer) -> None:
        try:
            members = msgspec.json.decode(
                answer.body, type=tuple[core.Member, ...]
            )
        except msgspec.MsgspecError:
            return
        self.fire(_events.members_found(members), "links")
