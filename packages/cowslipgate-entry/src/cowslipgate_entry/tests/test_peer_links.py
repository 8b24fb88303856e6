"""Tests of links between entries over ZeroMQ connections."""

from collections.abc import Callable, Iterator
import datetime
import threading
import time

from circuits.core import events
from circuits.core import pollers
import cowslipgate_core as core
import cowslipgate_transport as transport
import pytest
import zmq

from cowslipgate_entry import _events
from cowslipgate_entry.peers import _peers
from cowslipgate_entry.tests import control_builders

OWN = control_builders.build_member(1, 9)
EARLIER = 7
LATER = 8
ROUNDS = 5_000
ROUND_SECONDS = 0.001
SECOND = datetime.timedelta(seconds=1)


class PeerLinkHarness:
    """Peers component of one entry, and the bound socket of another."""

    def __init__(self) -> None:
        self.harness = control_builders.ComponentHarness()
        poller = pollers.EPoll().register(self.harness.root)
        self.peers = _peers.Peers(
            OWN,
            transport.Address("127.0.0.1", 1),
            self.harness.clock,
            poller,
        ).register(self.harness.root)
        context = zmq.Context.instance()
        self.router = transport.open_router(context, "tcp://127.0.0.1:0")
        self.address = self.router.getsockopt(zmq.LAST_ENDPOINT).decode()
        self.identities: list[bytes] = []

    def build_member(self, incarnation: int) -> core.Member:
        """Return an incarnation of the entry at the socket's address."""
        return core.Member(incarnation, self.address, "127.0.0.1:1", "ruwi")

    def report_found(self, incarnation: int) -> None:
        """Report an incarnation as found."""
        event = _events.members_found((self.build_member(incarnation),))
        self.harness.root.fire(event, _peers.CHANNEL)

    def deliver(self, gossip: core.Gossip) -> None:
        """Deliver gossip from the entry at the socket's address."""
        event = transport.message_received(b"", gossip)
        self.harness.root.fire(event, _peers.INTERNAL_CHANNEL)

    def wait_gossip(self, connections: int = 1) -> None:
        """Advance the clock until gossip came from this many connections."""
        self.identities.clear()

        def check() -> bool:
            self.harness.clock.advance(SECOND / 100)
            self.harness.root.fire(_events.tick(), _peers.CHANNEL)
            return len(set(self.identities)) >= connections

        self._run_until(check, f"gossip from {connections} connections")

    def _run_until(self, check: Callable[[], object], what: str) -> None:
        root = self.harness.root
        for _ in range(ROUNDS):
            if check():
                return
            root.fire(
                events.generate_events(threading.RLock(), ROUND_SECONDS), "*"
            )
            root.tick()
            time.sleep(ROUND_SECONDS)
            while self.router.getsockopt(zmq.EVENTS) & zmq.POLLIN:
                self.identities.append(self.router.recv_multipart()[0])
        raise AssertionError(f"never: {what}")


@pytest.fixture
def harness() -> Iterator[PeerLinkHarness]:
    harness = PeerLinkHarness()
    yield harness
    for sock in harness.peers.sockets:
        sock.close()
    harness.router.close(linger=0)


def test_gossip_arrives_after_a_late_connection_to_an_earlier_incarnation(
    harness: PeerLinkHarness,
) -> None:
    harness.report_found(LATER)
    harness.wait_gossip()
    harness.report_found(EARLIER)
    harness.wait_gossip(connections=2)
    harness.deliver(core.Gossip(harness.build_member(LATER), 1))
    harness.wait_gossip()
    assert len(harness.peers.sockets) == 1


def test_peer_that_does_not_know_this_entry_gets_another_connection(
    harness: PeerLinkHarness,
) -> None:
    peer = harness.build_member(LATER)
    harness.deliver(core.Gossip(peer, 1))
    harness.wait_gossip()
    before = set(harness.identities)
    for _ in range(2):
        harness.harness.clock.advance(core.MEMBER_EXPIRES_AFTER / 2 + SECOND)
        harness.deliver(core.Gossip(peer, 1, (peer,)))
    harness.wait_gossip()
    assert not before & set(harness.identities)
