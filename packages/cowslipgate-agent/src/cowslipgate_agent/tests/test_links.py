"""Tests of the agent's links with real sockets and a manual clock."""

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
"""Minimum time of a round without events: 10 s over all rounds."""

IDLE_ROUNDS = 10
DUE_AFTER = datetime.timedelta(seconds=1.2)
"""Time after which an idle link has reported at a heartbeat of 1 s."""

FLAGS = {
    "name": "agent-1",
    "domain": "kaai-zuid",
    "balancer": "127.0.0.1:1",
    "heartbeat": "1s",
}


class LinkHarness:
    """One link of an agent to an entry whose socket the test owns."""

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
        self._send_members()
        self.run_until(lambda: self.links.get_link(ENTRY), "a link")
        self._due_at = self.clock.now() + DUE_AFTER
        self.run_until(self._receive_report, "the first report")

    def _receive_report(self) -> bool:
        # Every tick is handled before the test goes on.
        if self.reports:
            return True
        # A report is due by then. If the clock advanced further, the agent
        # would reconnect before a slow VM completes the first connection.
        if self.clock.now() < self._due_at:
            self.clock.advance(datetime.timedelta(milliseconds=20))
            self.root.fire(_events.tick(), _links.CHANNEL)
        return False

    def _send_members(self) -> None:
        address = self.router.getsockopt(zmq.LAST_ENDPOINT).decode()
        member = core.Member(ENTRY, address, "127.0.0.1:1", "kaai-zuid")
        body = msgspec.json.encode((member,))
        address = transport.Address("127.0.0.1", 1)
        call = transport.Call(1, address, "GET", "/v1/members")
        answer = transport.CallAnswer(call, 200, {}, body)
        self.root.fire(transport.http_answered(answer), "discovery")

    def run_round(self) -> None:
        """Run one round and receive what the agent sent."""
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
            self.run_round()
        raise AssertionError(f"not reached in {ROUNDS} rounds: {what}")

    def send_beat(self, heartbeat_ms: int, version: int) -> None:
        """Send a heartbeat of the entry and wait until it has arrived."""
        beat = core.Beat(ENTRY, version, (), heartbeat_ms=heartbeat_ms)
        frames = core.encode_message(beat)
        self.router.send_multipart([self.identity, *frames])
        link = self.links.get_link(ENTRY)
        expected = datetime.timedelta(milliseconds=max(heartbeat_ms, 1_000))
        self.run_until(lambda: link.interval == expected, "the interval")

    def pass_time(self, seconds: int) -> datetime.timedelta:
        """Advance the clock; return the longest time between two reports."""
        link = self.links.get_link(ENTRY)
        longest = datetime.timedelta()
        for _ in range(seconds):
            before = link.reported_at
            self.clock.advance(datetime.timedelta(seconds=1))
            self.root.fire(_events.tick(), _links.CHANNEL)
            self._run_idle_rounds()
            longest = max(longest, link.reported_at - before)
        return longest

    def _run_idle_rounds(self) -> None:
        for _ in range(IDLE_ROUNDS):
            self.run_round()


@pytest.fixture
def harness() -> Iterator[LinkHarness]:
    harness = LinkHarness()
    yield harness
    for sock in harness.links.sockets:
        sock.close()
    harness.router.close(linger=0)


@pytest.mark.parametrize(("heartbeat_ms", "seconds"), [(0, 1), (5_000, 5)])
def test_idle_link_follows_the_interval_that_the_entry_asks_for(
    harness: LinkHarness, heartbeat_ms: int, seconds: int
) -> None:
    harness.send_beat(heartbeat_ms, version=1)
    longest = harness.pass_time(15)
    assert longest // datetime.timedelta(seconds=1) == seconds


def test_entry_with_long_heartbeats_is_not_lost_early(
    harness: LinkHarness,
) -> None:
    harness.send_beat(10_000, version=1)
    harness.pass_time(45)
    assert not harness.links.get_link(ENTRY).lost
