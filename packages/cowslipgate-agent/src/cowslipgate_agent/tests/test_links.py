"""Tests of the agent's links over real sockets and a manual clock."""

from collections.abc import Callable, Iterator
import datetime
import threading
import time

import circuits
from circuits.core import events
from circuits.core import pollers
import cowslipgate_core as core
import cowslipgate_transport as transport
import msgspec
import pytest
import zmq

from cowslipgate_agent import _discovery
from cowslipgate_agent import _events
from cowslipgate_agent import _links
from cowslipgate_agent import _settings

ENTRY = 7
ROUNDS = 20_000
ROUND_SECONDS = 0.005
IDLE_SECONDS = 0.000_5
"""Least time of a round in which nothing happens: 10 s in all."""

SETTLE_ROUNDS = 10
DUE_AFTER = datetime.timedelta(seconds=1.2)
"""Time after which an idle link has reported; its heartbeat is 1 s."""

FLAGS = {
    "name": "agent-1",
    "domain": "kaai-zuid",
    "balancer": "127.0.0.1:1",
    "heartbeat": "1s",
}


class Rig:
    """One link to an entry that the test plays."""

    def __init__(self) -> None:
        self.clock = core.ManualClock()
        self.root = circuits.BaseComponent(channel="root")
        poller = pollers.EPoll().register(self.root)
        context = zmq.Context.instance()
        self.router = transport.open_router(context, "tcp://127.0.0.1:0")
        self.reports: list[core.Report] = []
        self.identity = b""
        settings = core.load_settings(_settings.AgentSettings, FLAGS, {})
        self.links = _links.Links(
            settings, core.Executor(1, 2), 1, self.clock, poller
        ).register(self.root)
        balancer = transport.Address("127.0.0.1", 1)
        _discovery.BalancerDiscovery(balancer).register(self.root)
        self._introduce()
        self.run_until(lambda: self.links.get_link(ENTRY), "a link")
        self._due_at = self.clock.now() + DUE_AFTER
        self.run_until(self._hear_report, "the first report")

    def _hear_report(self) -> bool:
        # A report is due by then. Were more time let pass, the agent would
        # connect anew before a slow machine has made the connection.
        if self.clock.now() < self._due_at:
            self.clock.advance(datetime.timedelta(milliseconds=20))
            self.root.fire(_events.tick(), _links.CHANNEL)
        return bool(self.reports)

    def _introduce(self) -> None:
        address = self.router.getsockopt(zmq.LAST_ENDPOINT).decode()
        member = core.Member(ENTRY, address, "127.0.0.1:1", "kaai-zuid")
        body = msgspec.json.encode((member,))
        address = transport.Address("127.0.0.1", 1)
        call = transport.Call(1, address, "GET", "/v1/members")
        answer = transport.CallAnswer(call, 200, {}, body)
        self.root.fire(transport.http_answered(answer), "discovery")

    def turn(self) -> None:
        """Run one round and take in what the agent sent."""
        if not len(self.root):
            event = events.generate_events(threading.RLock(), ROUND_SECONDS)
            self.root.fire(event, "*")
            time.sleep(IDLE_SECONDS)
        self.root.tick()
        while self.router.getsockopt(zmq.EVENTS) & zmq.POLLIN:
            self.identity, *frames = self.router.recv_multipart()
            self.reports.append(core.decode_message(*frames))

    def run_until(self, check: Callable[[], object], what: str) -> None:
        """Run rounds until ``check`` is true."""
        for _ in range(ROUNDS):
            if check():
                return
            self.turn()
        raise AssertionError(f"never: {what}")

    def send_beat(self, heartbeat_ms: int, version: int) -> None:
        """Send a heartbeat of the entry and wait until it has arrived."""
        beat = core.Beat(ENTRY, version, (), heartbeat_ms=heartbeat_ms)
        frames = core.encode_message(beat)
        self.router.send_multipart([self.identity, *frames])
        link = self.links.get_link(ENTRY)
        expected = datetime.timedelta(milliseconds=max(heartbeat_ms, 1_000))
        self.run_until(lambda: link.interval == expected, "followed")

    def pass_time(self, seconds: int) -> datetime.timedelta:
        """Let time pass and return the longest time between two reports."""
        link = self.links.get_link(ENTRY)
        longest = datetime.timedelta()
        for _ in range(seconds):
            before = link.reported_at
            self.clock.advance(datetime.timedelta(seconds=1))
            self.root.fire(_events.tick(), _links.CHANNEL)
            self._settle()
            longest = max(longest, link.reported_at - before)
        return longest

    def _settle(self) -> None:
        for _ in range(SETTLE_ROUNDS):
            self.turn()


@pytest.fixture
def rig() -> Iterator[Rig]:
    rig = Rig()
    yield rig
    for sock in rig.links.sockets:
        sock.close()
    rig.router.close(linger=0)


@pytest.mark.parametrize(("heartbeat_ms", "seconds"), [(0, 1), (5_000, 5)])
def test_idle_link_follows_the_interval_that_the_entry_asks_for(
    rig: Rig, heartbeat_ms: int, seconds: int
) -> None:
    rig.send_beat(heartbeat_ms, version=1)
    longest = rig.pass_time(15)
    assert longest // datetime.timedelta(seconds=1) == seconds


def test_entry_with_long_heartbeats_is_not_given_up_early(rig: Rig) -> None:
    rig.send_beat(10_000, version=1)
    rig.pass_time(45)
    assert not rig.links.get_link(ENTRY).lost
