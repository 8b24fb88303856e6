"""Tests of an agent's refusal of orders during an evacuation."""

from collections.abc import Iterator

import attrs
import circuits
import cowslipgate_core as core
import cowslipgate_transport as transport
import pytest

from cowslipgate_agent import _evacuation
from cowslipgate_agent import _evacuation_follower
from cowslipgate_agent import _events
from cowslipgate_agent import _links
from cowslipgate_agent.tests import link_builders

DOMAIN = "kaai-zuid"
ENTRY = 5
OTHER = 6


class EvacuationHarness(circuits.BaseComponent):
    """An agent's evacuation, its follower and what they fire."""

    channel = "*"

    def __init__(self) -> None:
        super().__init__()
        self.clock = core.ManualClock()
        self.executor = core.Executor(1, 0)
        announcement = core.Announcement("print", "http://127.0.0.1:1", 8, 8)
        self.executor.announce(announcement, self.clock.now())
        self.evacuation = _evacuation.Evacuation(
            "agent-1", 1, DOMAIN, self.executor, self.clock
        ).register(self)
        _evacuation_follower.EvacuationFollower(
            "op", self._find_domain, self.clock
        ).register(self)
        self.calls: list[core.TableCall] = []
        self.sent: list[tuple[int, object]] = []
        self.told: list[tuple[object, str]] = []
        self.reports = 0
        self.run_event(circuits.Event.create("started"), "*")

    @staticmethod
    def _find_domain(key: str) -> str | None:
        return key.removeprefix("evacuate/") if "/" in key else None

    @circuits.handler("call_table")
    def _on_call_table(self, call: core.TableCall) -> None:
        self.calls.append(call)

    @circuits.handler("send_to_entry")
    def _on_send_to_entry(self, entry: int, message: object) -> None:
        self.sent.append((entry, message))

    @circuits.handler("send_message")
    def _on_send_message(
        self, event: circuits.Event, identity: bytes, message: object
    ) -> None:
        self.told.append((message, event.channels[0]))

    @circuits.handler("send_reports")
    def _on_send_reports(self) -> None:
        self.reports += 1

    def run_event(self, event: circuits.Event, channel: str) -> None:
        """Fire an event and handle all that follow."""
        self.fire(event, channel)
        while len(self):
            self.flush()

    def notify(self, version: int, *domains: str, entry: int = ENTRY) -> None:
        """Deliver a notice of an entry."""
        notice = core.EvacuationNotice(entry, version, domains)
        self.run_event(_events.entry_message_received(notice), "runner")

    def answer(
        self,
        version: int,
        *rows: core.TableRow,
        result: core.TableResult = core.TableResult.DONE,
    ) -> None:
        """Answer the last call of the store."""
        answer = core.TableAnswer(self.calls[-1], result, rows, version)
        event = transport.table_answered(answer)
        self.run_event(event, _evacuation_follower.CHANNEL)

    def tell(self, entry: int, channel: str) -> list[object]:
        """Return what is sent before a report on a link."""
        self.told.clear()
        self.evacuation.tell(entry, channel)
        while len(self):
            self.flush()
        return [message for message, _ in self.told]


@pytest.fixture
def harness() -> EvacuationHarness:
    """Return an agent that has read an empty table at version 8."""
    harness = EvacuationHarness()
    harness.answer(8)
    return harness


def _held(version: int, *domains: str) -> core.EvacuationHeld:
    return core.EvacuationHeld("agent-1", 1, version, domains)


def test_notice_is_confirmed_and_orders_are_refused(
    harness: EvacuationHarness,
) -> None:
    assert harness.executor.slots == 8
    harness.notify(10, DOMAIN)
    assert harness.executor.slots == 0
    assert harness.sent == [(ENTRY, _held(10, DOMAIN))]
    harness.notify(11)
    assert harness.executor.slots == 8
    # Entries learn both from reports that are sent at once.
    assert harness.reports == 3


def test_other_domains_close_nothing(harness: EvacuationHarness) -> None:
    harness.notify(10, "kaai-noord")
    assert harness.executor.slots == 8


# Guards against a notice that was held up by a cut.
def test_older_notice_is_answered_with_the_newest_set(
    harness: EvacuationHarness,
) -> None:
    harness.notify(10, DOMAIN)
    harness.notify(9, entry=OTHER)
    assert harness.executor.slots == 0
    assert harness.sent[-1] == (OTHER, _held(10, DOMAIN))


@pytest.mark.parametrize(
    "result", [core.TableResult.UNREACHABLE, core.TableResult.REFUSED]
)
def test_nothing_starts_before_the_store_was_asked(
    result: core.TableResult,
) -> None:
    harness = EvacuationHarness()
    assert harness.executor.slots == 0
    harness.answer(0, result=result)
    assert harness.executor.slots == 8


def test_set_is_read_and_followed(harness: EvacuationHarness) -> None:
    assert harness.calls[-1].after == 8
    harness.answer(12, core.TableRow(f"evacuate/{DOMAIN}", b"", 11))
    assert harness.executor.slots == 0
    harness.answer(0, result=core.TableResult.EXPIRED)
    assert isinstance(harness.calls[-1], core.TableRead)
    assert harness.executor.slots == 0
    harness.answer(30)
    assert harness.executor.slots == 8


def test_failed_call_is_repeated_after_the_interval(
    harness: EvacuationHarness,
) -> None:
    harness.answer(0, result=core.TableResult.UNREACHABLE)
    harness.run_event(_events.tick(), _evacuation_follower.CHANNEL)
    assert len(harness.calls) == 2
    harness.clock.advance(_evacuation_follower.RETRY_INTERVAL)
    harness.run_event(_events.tick(), _evacuation_follower.CHANNEL)
    assert harness.calls[-1].after == 8


def test_each_link_is_told_once(harness: EvacuationHarness) -> None:
    assert harness.tell(ENTRY, "link-1") == []
    harness.notify(10, DOMAIN)
    assert harness.tell(ENTRY, "link-1") == [_held(10, DOMAIN)]
    assert harness.tell(ENTRY, "link-1") == []
    assert harness.tell(ENTRY, "link-2") == [_held(10, DOMAIN)]
    event = transport.peer_disconnected(str(ENTRY).encode())
    harness.run_event(event, "link-2")
    assert harness.tell(ENTRY, "link-2") == [_held(10, DOMAIN)]
    harness.notify(12)
    assert harness.tell(ENTRY, "link-2") == [_held(12)]


def test_refusals_are_counted(harness: EvacuationHarness) -> None:
    refused = core.AttemptReport(
        1, core.Outcome.NOT_STARTED, core.Reason.NOT_SERVING
    )
    event = _events.report_attempts
    harness.run_event(event(core.SendReports(ENTRY, (refused,))), "links")
    assert b"evacuation_refusals_total 1" not in harness.evacuation.render()
    harness.notify(10, DOMAIN)
    harness.run_event(event(core.SendReports(ENTRY, (refused,))), "links")
    assert b"evacuation_refusals_total 1" in harness.evacuation.render()


@pytest.fixture
def linked() -> Iterator[link_builders.LinksHarness]:
    """Return links whose agent knows an evacuation, before any entry."""
    entry = link_builders.FakeEntry(ENTRY)
    harness = link_builders.LinksHarness(entry, evacuates=True)
    known = core.Evacuations(10, frozenset((DOMAIN,)))
    event = _events.evacuations_read(known)
    harness.root.fire(event, _evacuation.CHANNEL)
    yield harness
    harness.close()


# Guards against an entry that sends orders by a report before it learns the
# set, which only the agent may be able to tell it.
def test_entry_learns_the_set_before_the_agent(
    linked: link_builders.LinksHarness,
) -> None:
    (entry,) = linked.entries
    linked.send_members(entry.member)
    linked.run_until(lambda: entry.received, "the first message")
    linked.run_until(lambda: len(entry.received) > 1, "the report")
    first, second = entry.received[:2]
    assert first == core.EvacuationHeld(link_builders.AGENT, 1, 10, (DOMAIN,))
    assert isinstance(second, core.Report)
    linked.root.fire(_events.send_reports(), _links.CHANNEL)
    linked.run_until(lambda: len(entry.received) > 2, "another report")
    assert len(entry.pop_messages(core.EvacuationHeld)) == 1


# Guards against agents that open and drop a link to an outdated incarnation at
# each answer: after a loss of all power 58 agents did so 2,400 times a second.
def test_notice_of_a_newer_incarnation_leaves_its_heartbeat_to_relink(
    linked: link_builders.LinksHarness,
) -> None:
    (entry,) = linked.entries
    linked.send_members(entry.member)
    linked.run_until(lambda: entry.pop_messages(core.Report), "the report")
    linked.deliver(entry, core.EvacuationNotice(OTHER, 11, ()))
    assert linked.links.get_link(ENTRY) is not None
    assert not linked.executor.evacuated
    newer = attrs.evolve(entry.member, incarnation=OTHER)
    entry.send(core.Beat(OTHER, 1, (newer,)))
    linked.run_until(lambda: linked.links.get_link(OTHER), "the new link")
    assert linked.links.get_link(ENTRY) is None


# Guards against calls without a pause to a store that keeps no history, from
# every agent.
def test_store_without_history_is_not_called_without_a_pause(
    harness: EvacuationHarness,
) -> None:
    before = answered = len(harness.calls)
    harness.answer(0, result=core.TableResult.EXPIRED)
    for version in range(9, 109):
        if len(harness.calls) > answered:
            answered = len(harness.calls)
            if isinstance(harness.calls[-1], core.TableFollow):
                harness.answer(0, result=core.TableResult.EXPIRED)
            else:
                harness.answer(version)
        harness.clock.advance(_evacuation_follower.RETRY_INTERVAL / 50)
        harness.run_event(_events.tick(), _evacuation_follower.CHANNEL)
    assert len(harness.calls) - before <= 6
