"""Links to the other entries: membership and gossip.

Only an entry's own gossip makes it a member. Another entry's list or a lease
makes it a candidate, to which this entry sends gossip for a limited time, so
that it can answer. Lists of others thus can't keep a stopped member alive.
"""

import datetime
import itertools

import circuits
from circuits.core import pollers
import zmq

import cowslipgate_core as core
from cowslipgate_entry import _events
import cowslipgate_transport as transport

CHANNEL = "peers"
INTERNAL_CHANNEL = "internal"
LIST_ROUNDS = 3
"""Gossip rounds per message that has the whole list of members."""

PEER_MESSAGES = (
    core.Gossip
    | core.ConfigurationPush
    | core.ConfigurationRequest
    | core.ConfigurationAcknowledge
)


class Peers(circuits.BaseComponent):
    """Owns the links to the other entries."""

    channel = CHANNEL

    def __init__(
        self,
        member: core.Member,
        balancer: transport.Address,
        clock: core.Clock,
        poller: pollers.BasePoller,
    ) -> None:
        super().__init__()
        self._member = member
        self._balancer = balancer
        self._clock = clock
        self._poller = poller
        self._context = zmq.Context.instance()
        self._numbers = itertools.count(1)
        self._membership = core.Membership()
        self._membership.record_member(member, clock.now())
        self._candidates = core.Candidates()
        self._sockets: dict[int, transport.MessageSocket] = {}
        self._opened_at: dict[int, datetime.datetime] = {}
        self._version = -1
        self._lease_revision = 0
        self._starved = False
        self._round = 0
        self._urgent = False
        self._next_gossip = clock.now()
        self._leaving = False

    @property
    def sockets(self) -> list[transport.MessageSocket]:
        """Sockets of the links to other entries, for metrics."""
        return list(self._sockets.values())

    @circuits.handler("configuration_adopted")
    def _on_configuration_adopted(
        self, configuration: core.Configuration
    ) -> None:
        self._version = configuration.version

    @circuits.handler("lease_changed")
    def _on_lease_changed(self, revision: int, starved: bool) -> None:
        self._lease_revision = revision
        if starved and not self._starved:
            # The others release slots sooner when they learn of it at once.
            self._urgent = True
        self._starved = starved

    @circuits.handler("tick")
    def _on_tick(self) -> None:
        now = self._clock.now()
        self._membership.record_member(self._member, now)
        for member in self._membership.expire(now):
            self._disconnect(member.incarnation)
            self._fire_members_changed()
        limit = self._membership.expires_after
        for member in self._candidates.expire(limit, now):
            if not self._membership.is_live(member):
                self._disconnect(member.incarnation)
        if self._urgent:
            self._send_to_all()
        elif now >= self._next_gossip:
            self._send_gossip()

    @circuits.handler("drain")
    def _on_drain(self) -> None:
        self._leaving = True
        self._send_to_all()

    @circuits.handler("send_to_peers")
    def _on_send_to_peers(self, message: object) -> None:
        for entry in self._sockets:
            self._send(entry, message)

    @circuits.handler("send_to_peer")
    def _on_send_to_peer(self, entry: int, message: object) -> None:
        self._send(entry, message)

    @circuits.handler("members_found")
    def _on_members_found(self, members: tuple[core.Member, ...]) -> None:
        for member in members:
            self._add_candidate(member)

    @circuits.handler("message_received", channel=INTERNAL_CHANNEL)
    def _on_message_received(self, identity: bytes, message: object) -> None:
        if isinstance(message, core.Gossip):
            if self._membership.is_superseded(message.member):
                return
            self._handle_gossip(message)
        if isinstance(message, PEER_MESSAGES):
            self.fire(
                _events.peer_message_received(message),
                "configuration-manager",
                "leases",
            )
        if isinstance(message, core.CancelRequest | core.CancelReply):
            self.fire(_events.peer_message_received(message), "cancellations")

    @circuits.handler("discover_members")
    def _on_discover_members(self) -> None:
        call = transport.Call(
            next(self._numbers), self._balancer, "GET", "/v1/members"
        )
        self.fire(transport.call_http(call), "discovery")

    @circuits.handler("http_answered", channel="discovery")
    def _on_http_answered(self, answer: transport.CallAnswer) -> None:
        address = answer.call.address
        source = f"{address.host}:{address.port}"
        for member in core.decode_members(answer.body, source).members:
            self._add_candidate(member)

    def _handle_gossip(self, gossip: core.Gossip) -> None:
        if gossip.leaving:
            if self._membership.is_live(gossip.member):
                self._membership.remove(gossip.member)
                self._fire_members_changed()
            self._disconnect(gossip.member.incarnation)
            return
        if self._membership.record_member(gossip.member, self._clock.now()):
            self._connect(gossip.member)
            self._disconnect_superseded()
            self._fire_members_changed()
        if gossip.members and self._member not in gossip.members:
            self._reconnect_stale(gossip.member)
        for member in gossip.members:
            self._add_candidate(member)
        if gossip.configuration_version > self._version:
            event = _events.newer_configuration_reported(
                gossip.configuration_version
            )
            self.fire(event, "configuration-manager")

    def _add_candidate(self, member: core.Member) -> None:
        known = self._membership.is_live(member)
        if known or self._membership.is_superseded(member):
            return
        if member.address == self._member.address:
            return
        if self._candidates.add(member, self._clock.now()):
            self._connect(member)

    def _connect(self, member: core.Member) -> None:
        if member.incarnation in self._sockets:
            return
        if member.address == self._member.address:
            return
        identity = core.encode_entry_identity(
            self._member.incarnation, next(self._numbers)
        )
        sock = transport.open_dealer(self._context, member.address, identity)
        component = transport.MessageSocket(
            f"peer-{member.incarnation}",
            self._poller,
            sock,
            str(member.incarnation).encode(),
        ).register(self)
        self._sockets[member.incarnation] = component
        self._opened_at[member.incarnation] = self._clock.now()

    def _reconnect_stale(self, member: core.Member) -> None:
        # The peer had time to receive from this entry but does not list it.
        opened_at = self._opened_at.get(member.incarnation)
        if opened_at is None:
            return
        if self._clock.now() - opened_at > core.MEMBER_EXPIRES_AFTER:
            self._disconnect(member.incarnation)
            self._connect(member)

    def _disconnect(self, entry: int) -> None:
        sock = self._sockets.pop(entry, None)
        if sock is not None:
            del self._opened_at[entry]
            sock.close()

    def _disconnect_superseded(self) -> None:
        known = self._membership.get_members() + self._candidates.get_members()
        wanted = {
            member.incarnation
            for member in known
            if not self._membership.is_superseded(member)
        }
        for entry in set(self._sockets) - wanted:
            self._disconnect(entry)

    def _fire_members_changed(self) -> None:
        members = self._membership.get_members()
        event = _events.members_changed(members)
        self.fire(
            event,
            "dispatcher",
            "configuration-manager",
            "gateway",
            "cancellations",
            "leases",
        )

    def _send(self, entry: int, message: object) -> None:
        sock = self._sockets.get(entry)
        if sock is not None:
            self.fire(transport.send_message(b"", message), sock.channel)

    def _send_gossip(self) -> None:
        self._next_gossip = self._clock.now() + core.GOSSIP_INTERVAL
        self._round += 1
        entries = sorted(self._sockets)
        if not entries:
            return
        receivers = set(core.choose_receivers(entries, self._round))
        # Every LIST_ROUNDS rounds, one peer in turn gets the whole list.
        turn, rest = divmod(self._round, LIST_ROUNDS)
        listed = entries[turn % len(entries)] if rest == 0 else None
        for entry in entries:
            if entry == listed or entry in receivers:
                self._send(entry, self._make_gossip(entry == listed))

    def _send_to_all(self) -> None:
        self._urgent = False
        for entry in self._sockets:
            self._send(entry, self._make_gossip(with_members=False))

    def _make_gossip(self, with_members: bool) -> core.Gossip:
        members = self._membership.get_members()
        return core.Gossip(
            self._member,
            self._version,
            members if with_members else (),
            self._starved,
            self._lease_revision,
            self._leaving,
        )
