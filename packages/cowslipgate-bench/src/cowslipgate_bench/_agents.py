"""Stand-in for many agents in one process, whose tasks take no time.

It measures what an entry costs, so it answers each dispatch at once and sends
the heartbeats that real agents send.
"""

import circuits
from circuits.core import pollers
import cowslipgate_core as core
import cowslipgate_transport as transport
import msgspec
import zmq

CHANNEL = "agents"
HEARTBEAT_SECONDS = 1.0
DISCOVERY_CHANNEL = "discovery"
SLOTS = 8
INCARNATION = 1


class beat(circuits.Event):
    """Asks to send a heartbeat for every agent."""


class StandInAgents(circuits.BaseComponent):
    """Owns one socket for each pair of agent and entry."""

    channel = CHANNEL

    def __init__(
        self,
        service: str,
        prefix: str,
        count: int,
        balancer: int,
        poller: pollers.BasePoller,
    ) -> None:
        super().__init__()
        self._service = service
        self._names = [f"{prefix}-{number}" for number in range(count)]
        self._balancer = balancer
        self._poller = poller
        self._context = zmq.Context.instance()
        self._sockets: dict[bytes, transport.MessageSocket] = {}
        self._version = 0

    @circuits.handler("beat")
    def _on_beat(self) -> None:
        if not self._sockets:
            call = transport.Call(
                1,
                transport.Address("127.0.0.1", self._balancer),
                "GET",
                "/v1/members",
            )
            self.fire(transport.call_http(call), DISCOVERY_CHANNEL)
        for peer in self._sockets:
            self._report(peer)

    @circuits.handler("http_answered", channel=DISCOVERY_CHANNEL)
    def _on_http_answered(self, answer: transport.CallAnswer) -> None:
        members = msgspec.json.decode(
            answer.body, type=tuple[core.Member, ...]
        )
        for member in members:
            for name in self._names:
                self._open(name, member)

    @circuits.handler("peer_connected", channel="*")
    def _on_peer_connected(self, peer: bytes) -> None:
        self._report(peer)

    @circuits.handler("message_received", channel="*")
    def _on_message_received(self, peer: bytes, message: object) -> None:
        version = getattr(message, "configuration_version", 0)
        self._version = max(self._version, version)
        if not isinstance(message, core.Dispatch):
            return
        reports = tuple(
            core.AttemptReport(order.attempt, core.Outcome.FINISHED)
            for order in message.orders
        )
        name = peer.decode().partition("@")[0]
        results = core.Results(name, INCARNATION, _make_load(), reports)
        self._send(peer, results)

    def _open(self, name: str, member: core.Member) -> None:
        peer = f"{name}@{member.incarnation}".encode()
        identity = core.encode_identity(name, INCARNATION)
        sock = transport.open_dealer(self._context, member.address, identity)
        self._sockets[peer] = transport.MessageSocket(
            peer.decode(), self._poller, sock, peer
        ).register(self)

    def _report(self, peer: bytes) -> None:
        report = core.Report(
            peer.decode().partition("@")[0],
            INCARNATION,
            self._service,
            "kaai-zuid",
            "serving",
            core.Resources(128_000, 0),
            _make_load(),
            self._version,
            "",
        )
        self._send(peer, report)

    def _send(self, peer: bytes, message: object) -> None:
        channel = self._sockets[peer].channel
        self.fire(transport.send_message(b"", message), channel)


def _make_load() -> core.Load:
    return core.Load(SLOTS, 0, 0)


def run_agents(service: str, prefix: str, count: int, balancer: int) -> None:
    """Serve ``count`` agents that find the entries by the balancer."""
    process = circuits.Component()
    poller = pollers.EPoll().register(process)
    clock = core.SystemClock()
    transport.HttpClient(DISCOVERY_CHANNEL, poller, clock).register(process)
    StandInAgents(service, prefix, count, balancer, poller).register(process)
    circuits.Timer(HEARTBEAT_SECONDS, beat(), CHANNEL, persist=True).register(
        process
    )
    print(count, flush=True)
    process.run()
