"""Stand-in for many agents in one process, without targets.

Used to measure the cost of an entry. Each task ends after a run time drawn
from a seeded generator; heartbeats are sent as real agents send them.
"""

import datetime
import heapq
import itertools
import random

import circuits
from circuits.core import pollers
import cowslipgate_core as core
import cowslipgate_transport as transport
import msgspec
import zmq

CHANNEL = "agents"
HEARTBEAT_SECONDS = 1.0
DISCOVERY_CHANNEL = "discovery"
TICK_SECONDS = 0.002
SLOTS = 8
INCARNATION = 1


class heartbeat_due(circuits.Event):
    """Fired when every agent is to send a heartbeat."""


class end_due(circuits.Event):
    """Fired every ``TICK_SECONDS`` to end tasks whose run time is over."""


class StandInAgents(circuits.BaseComponent):
    """Agents with one socket for each pair of agent and entry."""

    channel = CHANNEL

    def __init__(
        self,
        service: str,
        prefix: str,
        count: int,
        balancer: int,
        poller: pollers.BasePoller,
        clock: core.Clock,
        longest_run: datetime.timedelta,
    ) -> None:
        super().__init__()
        self._clock = clock
        self._longest_run = longest_run
        self._random = random.Random(prefix)
        self._numbers = itertools.count(1)
        self._ends: list[tuple[datetime.datetime, int, bytes, int]] = []
        self._service = service
        self._names = [f"{prefix}-{number}" for number in range(count)]
        self._balancer = balancer
        self._poller = poller
        self._context = zmq.Context.instance()
        self._sockets: dict[bytes, transport.MessageSocket] = {}
        self._version = 0

    @circuits.handler("heartbeat_due")
    def _on_heartbeat_due(self) -> None:
        if not self._sockets:
            call = transport.Call(
                1,
                transport.Address("127.0.0.1", self._balancer),
                "GET",
                "/v1/members",
            )
            self.fire(transport.call_http(call), DISCOVERY_CHANNEL)
        for peer in self._sockets:
            self._send_report(peer)

    @circuits.handler("http_answered", channel=DISCOVERY_CHANNEL)
    def _on_http_answered(self, answer: transport.CallAnswer) -> None:
        members = msgspec.json.decode(
            answer.body, type=tuple[core.Member, ...]
        )
        for member in members:
            for name in self._names:
                self._open_socket(name, member)

    @circuits.handler("peer_connected", channel="*")
    def _on_peer_connected(self, peer: bytes) -> None:
        self._send_report(peer)

    @circuits.handler("message_received", channel="*")
    def _on_message_received(self, peer: bytes, message: object) -> None:
        version = getattr(message, "configuration_version", 0)
        self._version = max(self._version, version)
        if not isinstance(message, core.Dispatch):
            return
        attempts = [order.attempt for order in message.orders]
        if not self._longest_run:
            self._finish(peer, attempts)
            return
        now = self._clock.now()
        for attempt in attempts:
            end = now + self._longest_run * self._random.random()
            item = (end, next(self._numbers), peer, attempt)
            heapq.heappush(self._ends, item)

    @circuits.handler("end_due")
    def _on_end_due(self) -> None:
        now = self._clock.now()
        while self._ends and self._ends[0][0] <= now:
            _, _, peer, attempt = heapq.heappop(self._ends)
            self._finish(peer, [attempt])

    def _finish(self, peer: bytes, attempts: list[int]) -> None:
        reports = tuple(
            core.AttemptReport(attempt, core.Outcome.FINISHED)
            for attempt in attempts
        )
        name, _, entry = peer.decode().partition("@")
        results = core.Results(
            name, INCARNATION, _make_load(), reports, int(entry)
        )
        self._send(peer, results)

    def _open_socket(self, name: str, member: core.Member) -> None:
        peer = f"{name}@{member.incarnation}".encode()
        identity = core.encode_identity(name, INCARNATION)
        sock = transport.open_dealer(self._context, member.address, identity)
        self._sockets[peer] = transport.MessageSocket(
            peer.decode(), self._poller, sock, peer
        ).register(self)

    def _send_report(self, peer: bytes) -> None:
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


def run_agents(
    service: str,
    prefix: str,
    count: int,
    balancer: int,
    longest_run: datetime.timedelta,
) -> None:
    """Serve ``count`` agents that discover entries through the balancer.

    :param balancer: port of the balancer
    :param longest_run: longest run time of a task; zero ends tasks at once
    """
    process = circuits.Component()
    poller = pollers.EPoll().register(process)
    clock = core.SystemClock()
    transport.HttpClient(DISCOVERY_CHANNEL, poller, clock).register(process)
    StandInAgents(
        service, prefix, count, balancer, poller, clock, longest_run
    ).register(process)
    if longest_run:
        circuits.Timer(
            TICK_SECONDS, end_due(), CHANNEL, persist=True
        ).register(process)
    circuits.Timer(
        HEARTBEAT_SECONDS, heartbeat_due(), CHANNEL, persist=True
    ).register(process)
    print(count, flush=True)
    process.run()
