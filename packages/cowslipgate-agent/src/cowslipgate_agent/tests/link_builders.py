"""Builders of an agent's links to fake entries."""

import collections
from collections.abc import Callable
import datetime
import threading
import time

import attrs
import circuits
from circuits.core import events
from circuits.core import pollers
import cowslipgate_core as core
import cowslipgate_transport as transport
import msgspec
import zmq

from cowslipgate_agent import _discovery
from cowslipgate_agent import _evacuation
from cowslipgate_agent import _events
from cowslipgate_agent import _links
from cowslipgate_agent import _runner
from cowslipgate_agent import _settings

AGENT = "agent-1"
ROUNDS = 5_000
ROUND_SECONDS = 0.002
INSTANT = datetime.timedelta(microseconds=1)
STEP = datetime.timedelta(milliseconds=500)
TARGET_LAPSE = datetime.timedelta(hours=1)
FLAGS = {
    "name": AGENT,
    "domain": "kaai-zuid",
    "balancer": "127.0.0.1:1",
    "heartbeat": "1s",
    "entry_lost_after": "5s",
    "link_expires_after": "5s",
    "entries": "1",
}


@attrs.define
class _DelayedMessage:
    """A message that its entry has not sent yet."""

    message: object
    """The message to send."""

    polls: int
    """Polls of the entry until the message is sent."""


class Arrivals(circuits.BaseComponent):
    """Counter of the messages that an agent received on each link."""

    channel = "arrivals"

    def __init__(self) -> None:
        super().__init__()
        self._counts: collections.Counter[int] = collections.Counter()

    def count(self, entry: int) -> int:
        """Return the number of messages received from an entry."""
        return self._counts[entry]

    @circuits.handler("message_received", channel="*")
    def _on_message_received(self, peer: bytes, message: object) -> None:
        self._counts[int(peer)] += 1


class FakeEntry:
    """An entry that answers each report with a heartbeat.

    Unless ``confirming`` is cleared, as for an entry of an earlier version,
    its messages tell which report or outcome it has received last.
    """

    def __init__(self, incarnation: int) -> None:
        context = zmq.Context.instance()
        self.incarnation = incarnation
        self.router = transport.open_router(context, "tcp://127.0.0.1:0")
        self.address = self.router.getsockopt(zmq.LAST_ENDPOINT).decode()
        self.member = core.Member(
            incarnation, self.address, "127.0.0.1:1", "kaai-zuid"
        )
        self.identity = b""
        self.answering = True
        self.beat = core.Beat(incarnation, 1, ())
        self.received: list[object] = []
        self.sent = 0
        self.delay_polls = 0
        self.confirming = True
        self.received_ms = 0
        self._delayed: list[_DelayedMessage] = []

    def pop_messages(self, kind: type) -> list[object]:
        """Remove and return the received messages of one type."""
        found = [m for m in self.received if isinstance(m, kind)]
        self.received = [m for m in self.received if not isinstance(m, kind)]
        return found

    def send(self, message: object) -> None:
        """Send a message to the agent after ``delay_polls`` polls."""
        self.sent += 1
        if self.confirming and isinstance(message, core.Beat | core.Dispatch):
            message = attrs.evolve(message, received_ms=self.received_ms)
        self._delayed.append(_DelayedMessage(message, self.delay_polls))
        self._send_due()

    def _send_due(self) -> None:
        while self._delayed and self._delayed[0].polls <= 0:
            frames = core.encode_message(self._delayed.pop(0).message)
            self.router.send_multipart([self.identity, *frames])

    def poll(self) -> None:
        """Send what is due, receive messages and answer reports."""
        for delayed in self._delayed:
            delayed.polls -= 1
        self._send_due()
        while self.router.getsockopt(zmq.EVENTS) & zmq.POLLIN:
            identity, *frames = self.router.recv_multipart()
            message = core.decode_message(*frames)
            self.received.append(message)
            self.identity = identity
            sent_ms = getattr(message, "sent_ms", 0)
            self.received_ms = max(self.received_ms, sent_ms)
            if self.answering and isinstance(message, core.Report):
                self.send(self.beat)


class LinksHarness:
    """Links and runner of an agent, with a manual clock and no target.

    :param evacuates: whether evacuations are enabled
    """

    def __init__(self, *entries: FakeEntry, evacuates: bool = False) -> None:
        self.entries = entries
        self.clock = core.ManualClock()
        self.root = circuits.BaseComponent(channel="root")
        self._arrivals = Arrivals().register(self.root)
        poller = pollers.EPoll().register(self.root)
        settings = core.load_settings(_settings.AgentSettings, FLAGS, {})
        self.executor = core.Executor(1, 2, settings.entry_lost_after)
        evacuation = None
        if evacuates:
            evacuation = _evacuation.Evacuation(
                AGENT, 1, settings.domain, self.executor, self.clock
            ).register(self.root)
        self.links = _links.Links(
            settings,
            self.executor,
            1,
            self.clock,
            poller,
            evacuation=evacuation,
        ).register(self.root)
        balancer = transport.Address("127.0.0.1", 1)
        _discovery.BalancerDiscovery(balancer).register(self.root)
        _runner.Runner(self.executor, self.clock, TARGET_LAPSE).register(
            self.root
        )

    def send_members(self, *members: core.Member) -> None:
        """Send the agent a list of entries."""
        call = transport.Call(
            1, transport.Address("127.0.0.1", 1), "GET", "/v1/members"
        )
        body = msgspec.json.encode(members)
        answer = transport.CallAnswer(call, 200, {}, body)
        self.root.fire(transport.http_answered(answer), "discovery")
        self.run_until(self._is_idle, "idle")

    def run_round(self) -> None:
        """Run one round of components and entries."""
        if not len(self.root):
            event = events.generate_events(threading.RLock(), ROUND_SECONDS)
            self.root.fire(event, "*")
            time.sleep(ROUND_SECONDS / 10)
        self.root.tick()
        for entry in self.entries:
            entry.poll()

    def deliver(self, entry: FakeEntry, message: object) -> None:
        """Send a message from an entry and wait until it is handled.

        Messages that the entry sent before are handled as well.
        """
        self.clock.advance(INSTANT)
        entry.send(message)
        self.run_until(
            lambda: self._arrivals.count(entry.incarnation) == entry.sent,
            "the message",
        )
        self.run_until(self._is_idle, "idle")

    def _is_idle(self) -> bool:
        now = self.clock.now()
        for entry in self.entries:
            link = self.links.get_link(entry.incarnation)
            if link is None:
                continue
            answered = link.received_at == now or not entry.answering
            if link.reported_at == now and not (answered or link.departure):
                return False
        return not len(self.root)

    def run_until(self, check: Callable[[], object], what: str) -> None:
        """Run rounds until ``check`` is true."""
        for _ in range(ROUNDS):
            if check():
                return
            self.run_round()
        raise AssertionError(f"not reached in {ROUNDS} rounds: {what}")

    def pass_time(self, seconds: float) -> None:
        """Advance the clock in steps, with a tick after each."""
        span = datetime.timedelta(seconds=seconds)
        for _ in range(span // STEP):
            self.clock.advance(STEP)
            self.root.fire(_events.tick(), _links.CHANNEL, _runner.CHANNEL)
            self.run_until(self._is_idle, "idle")

    def close(self) -> None:
        """Close every socket."""
        for sock in self.links.sockets:
            sock.close()
        for entry in self.entries:
            entry.router.close(linger=0)
