"""Links to the other entries: membership, gossip and leases."""

import datetime
import itertools

import circuits
from circuits.core import pollers
import msgspec
import zmq

import cowslipgate_core as core
from cowslipgate_entry import _dispatcher
from cowslipgate_entry import _events
from cowslipgate_entry import _requests
import cowslipgate_transport as transport

CHANNEL = "peers"
INTERNAL_CHANNEL = "internal"
MEMBERS_ROW = ("entries", "live")
GOSSIP_INTERVAL = datetime.timedelta(seconds=1)
LEASE_INTERVAL = datetime.timedelta(seconds=10)
LEASE_RETRY = datetime.timedelta(milliseconds=500)
LEASE_LAPSE_MS = 30_000


class Peers(circuits.BaseComponent):
    """Owns the links to the other entries and the lease row."""

    channel = CHANNEL

    def __init__(
        self,
        member: core.Member,
        dispatcher: _dispatcher.Dispatcher,
        balancer: transport.Address,
        clock: core.Clock,
        poller: pollers.BasePoller,
    ) -> None:
        super().__init__()
        self._member = member
        self._dispatcher = dispatcher
        self._balancer = balancer
        self._clock = clock
        self._poller = poller
        self._context = zmq.Context.instance()
        self._numbers = itertools.count(1)
        self._membership = core.Membership()
        self._sockets: dict[int, transport.MessageSocket] = {}
        self._demand: dict[int, dict[str, int]] = {}
        self._configuration: core.Configuration | None = None
        self._next_gossip = clock.now()
        self._next_lease = clock.now()
        self._leaving = False

    @circuits.handler("configuration_adopted")
    def _on_configuration_adopted(
        self, configuration: core.Configuration
    ) -> None:
        self._configuration = configuration
        self._share_quotas()

    @circuits.handler("tick")
    def _on_tick(self) -> None:
        now = self._clock.now()
        self._membership.hear(self._member, now)
        for member in self._membership.expire(now):
            self._disconnect(member)
        if now >= self._next_lease and not self._leaving:
            self._next_lease = now + LEASE_INTERVAL
            self._read_leases()
        if now >= self._next_gossip:
            self._next_gossip = now + GOSSIP_INTERVAL
            self._gossip()
            self._share_quotas()

    @circuits.handler("drain")
    def _on_drain(self) -> None:
        self._leaving = True
        self._gossip()

    @circuits.handler("tell_peers")
    def _on_tell_peers(self, message: object) -> None:
        for sock in self._sockets.values():
            self.fire(transport.send_message(b"", message), sock.channel)

    @circuits.handler("tell_peer")
    def _on_tell_peer(self, entry: int, message: object) -> None:
        sock = self._sockets.get(entry)
        if sock is not None:
            self.fire(transport.send_message(b"", message), sock.channel)

    @circuits.handler("message_received", channel=INTERNAL_CHANNEL)
    def _on_message_received(self, identity: bytes, message: object) -> None:
        if isinstance(message, core.Gossip):
            self._hear_gossip(message)
        if isinstance(
            message,
            core.Gossip
            | core.ConfigurationPush
            | core.ConfigurationRequest
            | core.ConfigurationAcknowledge,
        ):
            self.fire(_events.peer_heard(message), "keeper")
        if isinstance(message, core.CancelRequest | core.CancelReply):
            self.fire(_events.peer_heard(message), "cancellations")

    @circuits.handler("store_answered")
    def _on_store_answered(self, answer: _requests.StoreAnswer) -> None:
        if answer.call.read is None:
            if answer.result is not _requests.StoreResult.DONE:
                self._next_lease = self._clock.now() + LEASE_RETRY
            return
        match answer.result:
            case _requests.StoreResult.DONE:
                self._renew_lease(answer.value, answer.revision)
            case _requests.StoreResult.ABSENT:
                self._renew_lease([], 0)
            case _:
                self._discover()

    @circuits.handler("http_answered", channel="discovery")
    def _on_http_answered(self, answer: transport.CallAnswer) -> None:
        try:
            members = msgspec.json.decode(
                answer.body, type=tuple[core.Member, ...]
            )
        except msgspec.MsgspecError:
            return
        for member in members:
            self._hear_of(member)

    def _read_leases(self) -> None:
        call = _requests.StoreCall(next(self._numbers), CHANNEL, MEMBERS_ROW)
        self.fire(_events.call_store(call), "store")

    def _renew_lease(self, leases: list[dict], revision: int) -> None:
        now_ms = int(self._clock.now().timestamp() * 1000)
        kept = []
        for lease in leases:
            member = msgspec.convert(lease["member"], core.Member)
            if now_ms - lease["renewed_ms"] > LEASE_LAPSE_MS:
                continue
            if member.address == self._member.address:
                continue
            kept.append(lease)
            self._hear_of(member)
        own = {
            "member": msgspec.to_builtins(self._member),
            "renewed_ms": now_ms,
        }
        row = _requests.Row(*MEMBERS_ROW, [*kept, own], revision)
        call = _requests.StoreCall(next(self._numbers), CHANNEL, writes=(row,))
        self.fire(_events.call_store(call), "store")

    def _discover(self) -> None:
        call = transport.Call(
            next(self._numbers), self._balancer, "GET", "/v1/members"
        )
        self.fire(transport.call_http(call), "discovery")

    def _hear_gossip(self, gossip: core.Gossip) -> None:
        if gossip.leaving:
            self._membership.remove(gossip.member)
            self._disconnect(gossip.member)
            return
        if self._membership.hear(gossip.member, self._clock.now()):
            self._connect(gossip.member)
        self._demand[gossip.member.incarnation] = gossip.demand
        for member in gossip.members:
            self._hear_of(member)
        version = gossip.configuration_version
        known = self._configuration
        if known is None or version > known.version:
            self.fire(_events.configuration_wanted(version), "keeper")

    def _hear_of(self, member: core.Member) -> None:
        # Hearsay makes a member known but does not prove that it lives.
        known = {m.address: m for m in self._membership.get_members()}
        current = known.get(member.address)
        if current is None or current.incarnation < member.incarnation:
            self._membership.hear(member, self._clock.now())
            self._connect(member)

    def _connect(self, member: core.Member) -> None:
        if member.incarnation in self._sockets:
            return
        if member.address == self._member.address:
            return
        identity = f"entry-{self._member.incarnation}".encode()
        sock = transport.open_dealer(self._context, member.address, identity)
        component = transport.MessageSocket(
            f"peer-{member.incarnation}",
            self._poller,
            sock,
            str(member.incarnation).encode(),
        ).register(self)
        self._sockets[member.incarnation] = component
        self._tell_members()

    def _disconnect(self, member: core.Member) -> None:
        self._demand.pop(member.incarnation, None)
        sock = self._sockets.pop(member.incarnation, None)
        if sock is not None:
            sock.close()
        self._tell_members()

    def _tell_members(self) -> None:
        members = self._membership.get_members()
        event = _events.members_changed(members)
        self.fire(event, "dispatcher", "keeper", "gateway")

    def _gossip(self) -> None:
        configuration = self._configuration
        version = configuration.version if configuration is not None else -1
        gossip = core.Gossip(
            self._member,
            version,
            self._membership.get_members(),
            self._dispatcher.ledger.count_demand(),
            self._leaving,
        )
        self.fire(_events.tell_peers(gossip), CHANNEL)

    def _share_quotas(self) -> None:
        if self._configuration is None:
            return
        own = self._dispatcher.ledger.count_demand()
        entries = max(1, len(self._membership.get_members()))
        shares = {}
        for name, team in self._configuration.document.teams.items():
            others = {
                entry: demand.get(name, 0)
                for entry, demand in self._demand.items()
            }
            shares[name] = core.share_slots(
                team.slots, own.get(name, 0), others, entries
            )
        self.fire(_events.demand_measured(shares), "dispatcher")
