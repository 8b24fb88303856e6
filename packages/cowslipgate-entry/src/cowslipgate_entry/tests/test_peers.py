"""Tests of membership and gossip between entries."""

from collections.abc import Iterator
import datetime

import circuits
from circuits.core import pollers
import cowslipgate_core as core
import cowslipgate_transport as transport
import msgspec
import pytest
import zmq

from cowslipgate_entry import _events
from cowslipgate_entry.peers import _leases
from cowslipgate_entry.peers import _peers
from cowslipgate_entry.tests import control_builders

SECOND = datetime.timedelta(seconds=1)
TEAMS = 42
MAX_BYTES_PER_SECOND = 22_000


@pytest.fixture(autouse=True)
def _close_sockets() -> Iterator[None]:
    yield
    # A context is limited to about a thousand sockets.
    zmq.Context.instance().destroy(linger=0)


class _Node:
    """Peers component of one entry, whose messages the test delivers."""

    def __init__(self, member: core.Member) -> None:
        self.member = member
        self.harness = control_builders.ComponentHarness(
            "gateway", "configuration-manager"
        )
        self.peers = _peers.Peers(
            member,
            transport.Address("127.0.0.1", 1),
            self.harness.clock,
            pollers.EPoll(),
        )
        self.sent: list[tuple[int, object]] = []
        self.peers.register(self.harness.root)
        _SendRecorder(self.sent).register(self.harness.root)
        self.harness.flush_all()

    def advance(self) -> list[tuple[int, object]]:
        """Advance the clock by 1 s; return receivers and messages sent."""
        self.harness.clock.advance(SECOND)
        self.harness.fire(_events.tick(), "peers")
        sent, self.sent[:] = list(self.sent), []
        return sent

    def deliver(self, message: object) -> None:
        """Deliver a message."""
        event = transport.message_received(b"", message)
        self.harness.fire(event, _peers.INTERNAL_CHANNEL)

    def get_entries(self) -> set[int]:
        """Return the incarnations of the live members."""
        changes = self.harness.recorders["gateway"].take("members_changed")
        if changes:
            self.known = {m.incarnation for m in changes[-1][0]}
        return self.known

    known: set[int] = set()


class _SendRecorder(circuits.BaseComponent):
    """Records the messages to the peers' sockets instead of sending them."""

    channel = "*"

    def __init__(self, sent: list[tuple[int, object]]) -> None:
        super().__init__()
        self._sent = sent

    @circuits.handler("send_message", priority=100)
    def _on_send_message(
        self, event: circuits.Event, identity: bytes, message: object
    ) -> None:
        event.stop()
        entry = int(event.channels[0].removeprefix("peer-"))
        self._sent.append((entry, message))


def _build_nodes(count: int) -> dict[int, _Node]:
    members = [
        control_builders.build_member(n, 2000 + 2 * n)
        for n in range(1, count + 1)
    ]
    nodes = {member.incarnation: _Node(member) for member in members}
    for node in nodes.values():
        node.harness.fire(_events.members_found(tuple(members)), "peers")
    return nodes


def _pass_seconds(
    nodes: dict[int, _Node], seconds: int, cut: frozenset = frozenset()
) -> None:
    for _ in range(seconds):
        for sender, node in list(nodes.items()):
            for receiver, message in node.advance():
                if receiver in nodes and (sender, receiver) not in cut:
                    nodes[receiver].deliver(message)


def _find_views(nodes: dict[int, _Node]) -> list[set[int]]:
    return [node.get_entries() for node in nodes.values()]


def test_stopped_entry_expires_and_is_not_restored_by_other_lists() -> None:
    nodes = _build_nodes(4)
    _pass_seconds(nodes, 3)
    assert _find_views(nodes) == [{1, 2, 3, 4}] * 4
    del nodes[4]
    _pass_seconds(nodes, 17)
    for _ in range(60):
        _pass_seconds(nodes, 1)
        assert _find_views(nodes) == [{1, 2, 3}] * 3


def test_halves_of_a_partition_reconnect_once_members_are_found() -> None:
    nodes = _build_nodes(4)
    _pass_seconds(nodes, 3)
    halves = ({1, 2}, {3, 4})
    cut = frozenset(
        (a, b)
        for a in range(1, 5)
        for b in range(1, 5)
        if (a in halves[0]) != (b in halves[0])
    )
    _pass_seconds(nodes, 40, cut)
    assert _find_views(nodes) == [{1, 2}, {1, 2}, {3, 4}, {3, 4}]
    found = tuple(node.member for node in nodes.values())
    nodes[1].harness.fire(_events.members_found(found), "peers")
    _pass_seconds(nodes, 20)
    assert _find_views(nodes) == [{1, 2, 3, 4}] * 4


def test_newer_incarnation_replaces_the_older_one() -> None:
    nodes = _build_nodes(2)
    _pass_seconds(nodes, 3)
    restarted = control_builders.build_member(9, 2004)
    nodes[1].deliver(core.Gossip(restarted, 1))
    assert nodes[1].get_entries() == {1, 9}
    nodes[1].deliver(core.Gossip(nodes[2].member, 5))
    assert nodes[1].get_entries() == {1, 9}
    assert {entry for entry, _ in nodes[1].advance()} == {9}


def test_leaving_entry_is_removed_at_once() -> None:
    nodes = _build_nodes(3)
    _pass_seconds(nodes, 3)
    nodes[1].deliver(core.Gossip(nodes[2].member, 1, leaving=True))
    assert nodes[1].get_entries() == {1, 3}


def _build_node(entries: int) -> _Node:
    first, *others = [
        control_builders.build_member(n, 2000 + 2 * n)
        for n in range(1, entries + 1)
    ]
    node = _Node(first)
    for other in others:
        node.deliver(core.Gossip(other, 1))
    return node


@pytest.mark.parametrize("entries", [6, 30, 57])
def test_gossip_and_leases_stay_within_their_byte_rate(entries: int) -> None:
    node = _build_node(entries)
    rounds = _peers.LIST_ROUNDS * core.count_gossip_rounds(entries - 1)
    sent = [message for _ in range(rounds) for message in node.advance()]
    outgoing = sum(
        len(frame)
        for _, message in sent
        for frame in core.encode_message(message)
    )
    # Incoming traffic equals outgoing traffic, also for the lease row.
    gossip = 2 * outgoing / rounds
    row = 2 * entries * _measure_lease(node.member)
    renewals = row / _leases.RENEW_INTERVAL.total_seconds()
    assert gossip + renewals < MAX_BYTES_PER_SECOND


@pytest.mark.parametrize("entries", [6, 30, 57])
def test_every_peer_gets_gossip_within_half_the_expiry_time(
    entries: int,
) -> None:
    node = _build_node(entries)
    half_expiry = core.compute_member_expiry(entries - 1) / 2
    receivers = {
        entry
        for _ in range(half_expiry // core.GOSSIP_INTERVAL)
        for entry, _ in node.advance()
    }
    assert receivers == set(range(2, entries + 1))


@pytest.mark.parametrize("entries", [6, 57])
def test_every_peer_gets_the_whole_list_in_its_turn(entries: int) -> None:
    node = _build_node(entries)
    listed = []
    for _ in range(_peers.LIST_ROUNDS * (entries - 1)):
        sent = node.advance()
        listed += [entry for entry, gossip in sent if gossip.members]
        # Peers that get nothing stay members as well.
        for number in range(2, entries + 1):
            other = control_builders.build_member(number, 2000 + 2 * number)
            node.deliver(core.Gossip(other, 1))
    assert sorted(listed) == list(range(2, entries + 1))


@pytest.mark.parametrize(
    "event",
    [_events.drain(), _events.lease_changed(1, True)],
    ids=["leaving", "starved"],
)
def test_urgent_gossip_goes_to_every_peer_at_once(
    event: circuits.Event,
) -> None:
    node = _build_node(57)
    node.advance()
    node.harness.fire(event, "peers")
    node.harness.fire(_events.tick(), "peers")
    assert {entry for entry, _ in node.sent} == set(range(2, 58))


def test_many_entries_stay_members_of_each_other() -> None:
    nodes = _build_nodes(16)
    _pass_seconds(nodes, 15)
    everyone = set(range(1, 17))
    assert _find_views(nodes) == [everyone] * 16
    del nodes[16]
    expiry = core.compute_member_expiry(15) + core.GOSSIP_INTERVAL * 2
    _pass_seconds(nodes, expiry // core.GOSSIP_INTERVAL)
    assert _find_views(nodes) == [everyone - {16}] * 15


def _measure_lease(member: core.Member) -> int:
    shares = {f"team-{number}": core.Share(50, 100) for number in range(TEAMS)}
    return len(msgspec.json.encode(core.Lease(member, 3600, shares)))
