"""Tests that an entry counts as alive by what it has received of the agent."""

from collections.abc import Iterator
import datetime

import attrs
import cowslipgate_core as core
import cowslipgate_transport as transport
import pytest

from cowslipgate_agent import _events
from cowslipgate_agent import _links
from cowslipgate_agent import _runner
from cowslipgate_agent.tests import link_builders

ENTRY = 7
LOST_SECONDS = 6.0
"""More than ``entry_lost_after`` of the harness and a tick."""

UNCONFIRMED_SECONDS = 4.0
"""Less than that, but more than the age up to which orders start at once."""


@pytest.fixture
def entry() -> link_builders.FakeEntry:
    return link_builders.FakeEntry(ENTRY)


@pytest.fixture
def harness(
    entry: link_builders.FakeEntry,
) -> Iterator[link_builders.LinksHarness]:
    """Return links to the entry whose target has free slots."""
    harness = link_builders.LinksHarness(entry)
    harness.send_members(entry.member)
    harness.run_until(
        lambda: entry.pop_messages(core.Report), "a first report"
    )
    announcement = core.Announcement("print", "http://127.0.0.1:1", 4, 8)
    event = _events.target_announced(announcement)
    harness.root.fire(event, _runner.CHANNEL)
    harness.deliver(entry, entry.beat)
    yield harness
    harness.close()


def _build_dispatch(harness: link_builders.LinksHarness) -> core.Dispatch:
    order = core.Order(1, "job.0.1", "tag", b"{}")
    link = harness.executor.get_link(ENTRY)
    return core.Dispatch(ENTRY, 1, 1, (order,), (), link)


def _send_beats_until_stopping(
    harness: link_builders.LinksHarness,
    entry: link_builders.FakeEntry,
    held: core.HeldAttempt,
) -> None:
    """Pass time while the entry receives nothing but sends heartbeats."""
    entry.answering = False
    received_ms = entry.received_ms
    for _ in range(int(LOST_SECONDS / link_builders.STEP.total_seconds())):
        harness.pass_time(link_builders.STEP.total_seconds())
        if held.stopping:
            # The agent connects anew, so nothing reaches it for a moment.
            return
        entry.received_ms = received_ms
        harness.deliver(entry, entry.beat)


# Guards against two runs of a task: an entry that hears nothing of the agent
# runs it elsewhere, though its own heartbeats arrive.
def test_tasks_stop_though_an_entry_that_hears_nothing_sends_heartbeats(
    harness: link_builders.LinksHarness, entry: link_builders.FakeEntry
) -> None:
    harness.deliver(entry, _build_dispatch(harness))
    (held,) = harness.executor.running.values()
    _send_beats_until_stopping(harness, entry, held)
    assert held.stopping


def test_tasks_go_on_while_heartbeats_are_answered(
    harness: link_builders.LinksHarness, entry: link_builders.FakeEntry
) -> None:
    harness.deliver(entry, _build_dispatch(harness))
    (held,) = harness.executor.running.values()
    harness.pass_time(LOST_SECONDS)
    assert not held.stopping


# Guards against an order that a cut delayed until its caller has sent the job
# to another entry.
def test_order_waits_while_its_entry_is_not_known_to_be_alive(
    harness: link_builders.LinksHarness, entry: link_builders.FakeEntry
) -> None:
    entry.answering = False
    harness.pass_time(UNCONFIRMED_SECONDS)
    entry.received_ms = 1
    entry.pop_messages(core.Report)
    harness.deliver(entry, _build_dispatch(harness))
    assert not harness.executor.running
    harness.run_until(
        lambda: entry.pop_messages(core.Report), "a report for the order"
    )
    harness.deliver(entry, entry.beat)
    assert len(harness.executor.running) == 1


def test_order_withdrawn_while_it_waits_does_not_start(
    harness: link_builders.LinksHarness, entry: link_builders.FakeEntry
) -> None:
    entry.answering = False
    harness.pass_time(UNCONFIRMED_SECONDS)
    entry.received_ms = 1
    harness.deliver(entry, _build_dispatch(harness))
    harness.deliver(entry, core.Withdraw(ENTRY, 1, (1,), True))
    entry.received_ms = round(UNCONFIRMED_SECONDS * 1_000)
    harness.deliver(entry, entry.beat)
    assert not harness.executor.running


def test_order_that_waits_is_forgotten_when_its_entry_is_lost(
    harness: link_builders.LinksHarness, entry: link_builders.FakeEntry
) -> None:
    entry.answering = False
    harness.pass_time(UNCONFIRMED_SECONDS)
    entry.received_ms = 1
    harness.deliver(entry, _build_dispatch(harness))
    harness.clock.advance(datetime.timedelta(minutes=1))
    harness.root.fire(_events.tick(), _links.CHANNEL, _runner.CHANNEL)
    harness.run_until(lambda: harness.links.get_link(ENTRY).lost, "the loss")
    assert not harness.links.get_link(ENTRY).held


def test_entry_of_an_earlier_version_counts_as_alive_when_it_sends() -> None:
    earlier = link_builders.FakeEntry(ENTRY)
    earlier.confirming = False
    harness = link_builders.LinksHarness(earlier)
    harness.send_members(earlier.member)
    harness.run_until(lambda: earlier.pop_messages(core.Report), "a report")
    harness.deliver(earlier, earlier.beat)
    harness.clock.advance(datetime.timedelta(seconds=1))
    harness.deliver(earlier, earlier.beat)
    link = harness.links.get_link(ENTRY)
    assert link.confirmed_at == link.received_at
    harness.close()


# Guards against messages that a cut delayed: those that nothing dates came
# before the first one that tells what its entry has received.
def test_message_that_nothing_dates_confirms_nothing() -> None:
    entry = link_builders.FakeEntry(ENTRY)
    entry.answering = False
    harness = link_builders.LinksHarness(entry)
    harness.send_members(entry.member)
    harness.run_until(lambda: entry.pop_messages(core.Report), "a report")
    opened_at = harness.links.get_link(ENTRY).confirmed_at
    harness.pass_time(1.0)
    harness.deliver(entry, core.Withdraw(ENTRY, 1, (1,), True))
    assert harness.links.get_link(ENTRY).confirmed_at == opened_at
    harness.close()


# Guards against a confirmation that is read together with the order to stop
# before it, and prolongs the lease of the run.
def test_message_read_with_a_withdrawal_confirms_nothing_for_its_tasks(
    harness: link_builders.LinksHarness, entry: link_builders.FakeEntry
) -> None:
    harness.deliver(entry, _build_dispatch(harness))
    before = harness.executor.get_oldest_sign()
    entry.answering = False
    harness.pass_time(1.0)
    entry.received_ms = 1_000
    beat = attrs.evolve(entry.beat, received_ms=entry.received_ms)
    channel = harness.links.get_link(ENTRY).socket.channel
    for message in (core.Withdraw(ENTRY, 1, (1,), True), beat):
        event = transport.message_received(str(ENTRY).encode(), message)
        harness.root.fire(event, channel)
    harness.run_until(lambda: not len(harness.root), "idle")
    assert harness.executor.get_confirmed_at(ENTRY) > before
    assert harness.executor.get_oldest_sign() == before


# Guards against a run that starts beside others whose lease ends too late for
# the sign that its order rests on.
def test_order_waits_until_its_sign_is_fresh_enough_for_the_lease(
    harness: link_builders.LinksHarness, entry: link_builders.FakeEntry
) -> None:
    entry.answering = False
    now = harness.clock.now()
    harness.executor.required_sign = now - datetime.timedelta(seconds=0.3)
    dispatch = attrs.evolve(_build_dispatch(harness), ages=((1, 400),))
    harness.deliver(entry, dispatch)
    assert not harness.executor.running
    harness.run_until(
        lambda: entry.pop_messages(core.Report), "a report for the order"
    )
    harness.deliver(entry, attrs.evolve(entry.beat, ages=((1, 350),)))
    assert not harness.executor.running
    harness.deliver(entry, attrs.evolve(entry.beat, ages=((1, 250),)))
    assert len(harness.executor.running) == 1


# Guards against the age of a caller's sign that counts anew at the agent.
def test_sign_of_a_caller_is_older_than_its_entrys_last_message(
    harness: link_builders.LinksHarness, entry: link_builders.FakeEntry
) -> None:
    harness.deliver(
        entry, attrs.evolve(_build_dispatch(harness), ages=((1, 200),))
    )
    executor = harness.executor
    confirmed_at = executor.get_confirmed_at(ENTRY)
    sign = executor.get_oldest_sign()
    assert sign == confirmed_at - datetime.timedelta(milliseconds=200)
    beat = attrs.evolve(entry.beat, held_ms=90, ages=((1, 100),))
    harness.pass_time(0.2)
    harness.deliver(entry, beat)
    lived_at = executor.get_confirmed_at(ENTRY) + 90 * _links.MILLISECOND
    sign = min(lived_at, harness.clock.now()) - 100 * _links.MILLISECOND
    assert executor.get_oldest_sign() == sign
