"""Links to the entries: discovery, heartbeats and outcomes."""

import datetime
import itertools

import attrs
import circuits
from circuits.core import pollers
import msgspec
import zmq

from cowslipgate_agent import _events
from cowslipgate_agent import _settings
import cowslipgate_core as core
import cowslipgate_transport as transport

CHANNEL = "links"
DISCOVERY_INTERVAL = datetime.timedelta(seconds=1)
DISCOVERY_TIMEOUT = datetime.timedelta(seconds=3)


@attrs.define(eq=False)
class _Link:
    """The connection to one entry."""

    member: core.Member
    """The entry."""

    socket: transport.MessageSocket
    """Component that owns the socket."""

    heard_at: datetime.datetime
    """When the entry was last heard."""


class Links(circuits.BaseComponent):
    """Owns one link for each entry of the agent's subset."""

    channel = CHANNEL

    def __init__(
        self,
        settings: _settings.AgentSettings,
        executor: core.Executor,
        incarnation: int,
        clock: core.Clock,
        poller: pollers.BasePoller,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._executor = executor
        self._incarnation = incarnation
        self._clock = clock
        self._poller = poller
        self._context = zmq.Context.instance()
        self._members: tuple[core.Member, ...] = ()
        self._links: dict[int, _Link] = {}
        self._numbers = itertools.count(1)
        self._next_discovery = clock.now()
        self._next_report = clock.now()

    @property
    def sockets(self) -> list[transport.MessageSocket]:
        """Sockets of the links, for measurements."""
        return [link.socket for link in self._links.values()]

    @circuits.handler("tick")
    def _on_tick(self) -> None:
        now = self._clock.now()
        for incarnation, link in list(self._links.items()):
            if now - link.heard_at > self._settings.entry_lost_after:
                self._drop(incarnation)
        if not self._links and now >= self._next_discovery:
            self._next_discovery = now + DISCOVERY_INTERVAL
            self._discover()
        if now >= self._next_report:
            self._next_report = now + self._settings.heartbeat
            self._report_all()

    @circuits.handler("send_reports")
    def _on_send_reports(self) -> None:
        self._report_all()

    @circuits.handler("report_attempts")
    def _on_report_attempts(self, action: core.SendReports) -> None:
        link = self._links.get(action.entry)
        if link is None:
            return
        results = core.Results(
            self._settings.name,
            self._incarnation,
            self._executor.measure_load(action.entry),
            action.reports,
            action.entry,
            self._executor.configuration_version,
        )
        self.fire(transport.send_message(b"", results), link.socket.channel)

    @circuits.handler("peer_connected", channel="*")
    def _on_peer_connected(self, peer: bytes) -> None:
        link = self._links.get(int(peer))
        if link is None:
            return
        self._executor.connect(int(peer))
        self._report(int(peer), link)

    @circuits.handler("message_received", channel="*")
    def _on_message_received(self, peer: bytes, message: object) -> None:
        link = self._links.get(int(peer))
        if link is None:
            return
        entry = getattr(message, "entry", 0)
        if entry > int(peer):
            # Another incarnation answers at the address of the lost one.
            self._drop(int(peer))
        if entry != int(peer):
            return
        link.heard_at = self._clock.now()
        self.fire(_events.entry_heard(message), "runner")
        if isinstance(message, core.Beat) and message.members:
            self._learn_members(message.members)

    @circuits.handler("http_answered", channel="discovery")
    def _on_http_answered(self, answer: transport.CallAnswer) -> None:
        try:
            members = msgspec.json.decode(
                answer.body, type=tuple[core.Member, ...]
            )
        except msgspec.MsgspecError:
            return
        self._learn_members(members)

    def _discover(self) -> None:
        address = transport.Address(
            self._settings.balancer.host, self._settings.balancer.port
        )
        call = transport.Call(
            next(self._numbers),
            address,
            "GET",
            "/v1/members",
            timeout=DISCOVERY_TIMEOUT,
        )
        self.fire(transport.call_http(call), "discovery")

    def _learn_members(self, members: tuple[core.Member, ...]) -> None:
        chosen = core.choose_entries(
            self._settings.name, members, self._settings.entries
        )
        wanted = {member.incarnation: member for member in chosen}
        reborn = {member.address: member.incarnation for member in members}
        for incarnation, link in list(self._links.items()):
            newest = reborn.get(link.member.address, incarnation)
            if newest > incarnation:
                self._drop(incarnation)
        for incarnation, member in wanted.items():
            if incarnation not in self._links:
                self._open(member)
        self._members = members

    def _open(self, member: core.Member) -> None:
        identity = core.encode_identity(self._settings.name, self._incarnation)
        sock = transport.open_dealer(self._context, member.address, identity)
        component = transport.MessageSocket(
            f"entry-{member.incarnation}",
            self._poller,
            sock,
            str(member.incarnation).encode(),
        ).register(self)
        link = _Link(member, component, self._clock.now())
        self._links[member.incarnation] = link

    def _drop(self, incarnation: int) -> None:
        link = self._links.pop(incarnation)
        link.socket.close()
        # The next entry that answers tells whom to connect to.
        self._members = ()
        self.fire(_events.entry_dropped(incarnation), "runner")

    def _report_all(self) -> None:
        for incarnation, link in self._links.items():
            self._report(incarnation, link)

    def _report(self, incarnation: int, link: _Link) -> None:
        executor = self._executor
        announcement = executor.announcement
        report = core.Report(
            self._settings.name,
            self._incarnation,
            announcement.service if announcement else "",
            self._settings.domain,
            executor.state,
            announcement.resources if announcement else core.Resources(),
            executor.measure_load(incarnation),
            executor.configuration_version,
            core.digest_members(self._members),
            executor.get_link(incarnation),
        )
        self.fire(transport.send_message(b"", report), link.socket.channel)
