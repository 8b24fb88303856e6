"""Tests of message sockets over real connections."""

from collections.abc import Callable, Iterator
import threading
import time

import circuits
from circuits.core import events
from circuits.core import pollers
import pytest
import zmq

import cowslipgate_transport as transport

MAX_ROUNDS = 20_000
ROUND_SECONDS = 0.005
IDLE_SECONDS = 0.000_5
"""Shortest round without events; ``MAX_ROUNDS`` of them take 10 s."""

WAIT_MS = 10_000
LOOPBACK = "tcp://127.0.0.1:0"
PEER = b"peer"


class Recorder(circuits.BaseComponent):
    """Records the peers that were reported as connected."""

    channel = "*"

    def __init__(self) -> None:
        super().__init__()
        self.connected: list[bytes] = []

    @circuits.handler("peer_connected")
    def _on_peer_connected(self, peer: bytes) -> None:
        self.connected.append(peer)


class SocketHarness:
    """Components without a thread, and their own ZeroMQ context."""

    def __init__(self) -> None:
        self.context = zmq.Context()
        self.root = circuits.BaseComponent(channel="root")
        self.poller = pollers.EPoll().register(self.root)
        self.recorder = Recorder().register(self.root)

    def own_socket(self, sock: zmq.Socket) -> transport.MessageSocket:
        """Register a component that owns the socket."""
        return transport.MessageSocket(
            "link", self.poller, sock, PEER
        ).register(self.root)

    def run_until(self, check: Callable[[], object], what: str) -> None:
        """Run rounds until ``check`` is true; fail after ``MAX_ROUNDS``."""
        for _ in range(MAX_ROUNDS):
            if check():
                return
            if not len(self.root):
                event = events.generate_events(
                    threading.RLock(), ROUND_SECONDS
                )
                self.root.fire(event, "*")
                time.sleep(IDLE_SECONDS)
            self.root.tick()
        raise AssertionError(f"timed out: {what}")


@pytest.fixture
def harness() -> Iterator[SocketHarness]:
    harness = SocketHarness()
    yield harness
    harness.context.destroy(linger=0)


def test_connection_made_before_the_socket_is_polled_is_reported(
    harness: SocketHarness,
) -> None:
    router = transport.open_router(harness.context, LOOPBACK)
    address = router.getsockopt(zmq.LAST_ENDPOINT).decode()
    dealer = transport.open_dealer(harness.context, address, b"agent-1/1")
    # The socket is writable only while it is connected.
    assert dealer.poll(WAIT_MS, zmq.POLLOUT)
    harness.own_socket(dealer)
    harness.run_until(lambda: harness.recorder.connected, "the connection")
    assert harness.recorder.connected == [PEER]
