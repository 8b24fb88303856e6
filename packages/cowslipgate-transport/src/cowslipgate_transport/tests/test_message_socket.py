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

ROUNDS = 20_000
ROUND_SECONDS = 0.005
IDLE_SECONDS = 0.000_5
"""Least time of a round in which nothing happens: 10 s in all."""

WAIT_MS = 10_000
LOOPBACK = "tcp://127.0.0.1:0"
PEER = b"peer"


class Recorder(circuits.BaseComponent):
    """Keeps the connections that are told."""

    channel = "*"

    def __init__(self) -> None:
        super().__init__()
        self.connected: list[bytes] = []

    @circuits.handler("peer_connected")
    def _on_peer_connected(self, peer: bytes) -> None:
        self.connected.append(peer)


class Rig:
    """Components without a thread, and a context of their own."""

    def __init__(self) -> None:
        self.context = zmq.Context()
        self.root = circuits.BaseComponent(channel="root")
        self.poller = pollers.EPoll().register(self.root)
        self.recorder = Recorder().register(self.root)

    def watch(self, sock: zmq.Socket) -> transport.MessageSocket:
        """Have a component own a socket."""
        return transport.MessageSocket(
            "link", self.poller, sock, PEER
        ).register(self.root)

    def run_until(self, check: Callable[[], object], what: str) -> None:
        """Run rounds until ``check`` is true."""
        for _ in range(ROUNDS):
            if check():
                return
            if not len(self.root):
                event = events.generate_events(
                    threading.RLock(), ROUND_SECONDS
                )
                self.root.fire(event, "*")
                time.sleep(IDLE_SECONDS)
            self.root.tick()
        raise AssertionError(f"never: {what}")


@pytest.fixture
def rig() -> Iterator[Rig]:
    rig = Rig()
    yield rig
    rig.context.destroy(linger=0)


def test_connection_made_before_the_socket_is_watched_is_told(
    rig: Rig,
) -> None:
    router = transport.open_router(rig.context, LOOPBACK)
    address = router.getsockopt(zmq.LAST_ENDPOINT).decode()
    dealer = transport.open_dealer(rig.context, address, b"agent-1/1")
    # Without a connection the socket takes nothing.
    assert dealer.poll(WAIT_MS, zmq.POLLOUT)
    rig.watch(dealer)
    rig.run_until(lambda: rig.recorder.connected, "the connection")
    assert rig.recorder.connected == [PEER]
