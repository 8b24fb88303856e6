"""Tests that an agent reconnects to an entry that stopped answering."""

from collections.abc import Iterator
import datetime

import cowslipgate_core as core
import cowslipgate_transport as transport
import pytest
import zmq

from cowslipgate_agent.tests import link_builders

LOST_SECONDS = 8
WAIT_MS = 10_000
DELAY_POLLS = 3
"""Polls by which the entry delays a message."""


@pytest.fixture
def entry() -> link_builders.FakeEntry:
    return link_builders.FakeEntry(7)


@pytest.fixture
def harness(
    entry: link_builders.FakeEntry,
) -> Iterator[link_builders.LinksHarness]:
    harness = link_builders.LinksHarness(entry)
    harness.send_members(entry.member)
    harness.run_until(
        lambda: entry.pop_messages(core.Report), "a first report"
    )
    # Wait for the answer, which would otherwise arrive at a later clock time.
    harness.deliver(entry, core.Beat(entry.incarnation, 1, ()))
    yield harness
    harness.close()


def _take_over_identity(
    harness: link_builders.LinksHarness, entry: link_builders.FakeEntry
) -> None:
    """Open and close another connection with the agent's identity.

    The entry's socket then reads nothing more from the agent's connection,
    which stays open.
    """
    context = zmq.Context.instance()
    other = transport.open_dealer(context, entry.address, entry.identity)
    assert other.poll(WAIT_MS, zmq.POLLOUT)
    other.send_multipart(core.encode_message(core.Acknowledge(7, ())))
    harness.run_until(
        lambda: entry.pop_messages(core.Acknowledge), "the other connection"
    )
    other.close(linger=0)


def test_agent_reconnects_when_its_connection_is_no_longer_read(
    harness: link_builders.LinksHarness, entry: link_builders.FakeEntry
) -> None:
    entry.answering = False
    _take_over_identity(harness, entry)
    harness.pass_time(LOST_SECONDS)
    harness.run_until(
        lambda: entry.pop_messages(core.Report), "a report to the entry"
    )


def test_unresponsive_entry_gets_one_connection_at_a_time(
    harness: link_builders.LinksHarness, entry: link_builders.FakeEntry
) -> None:
    entry.answering = False
    harness.pass_time(10 * LOST_SECONDS)
    assert len(harness.links.sockets) == 1


def test_reconnected_link_has_another_number(
    harness: link_builders.LinksHarness, entry: link_builders.FakeEntry
) -> None:
    before = harness.executor.get_link(7)
    entry.answering = False
    harness.pass_time(LOST_SECONDS)
    harness.run_until(
        lambda: harness.executor.get_link(7) > before, "another link number"
    )


def test_link_keeps_a_number_while_the_entry_does_not_answer(
    harness: link_builders.LinksHarness, entry: link_builders.FakeEntry
) -> None:
    before = harness.executor.get_link(7)
    entry.answering = False
    harness.pass_time(LOST_SECONDS - 2)
    # One more for the loss of the entry, one for the reconnection.
    harness.run_until(
        lambda: harness.executor.links >= before + 2, "the reconnection"
    )
    harness.pass_time(4)
    assert harness.executor.get_link(7) > before


def test_harness_waits_for_delayed_messages(
    harness: link_builders.LinksHarness, entry: link_builders.FakeEntry
) -> None:
    # If the clock advanced while an answer is under way, the agent would
    # receive it at a later clock time and count the entry as lost later.
    beat = core.Beat(entry.incarnation, 1, ())
    entry.send(beat)
    entry.delay_polls = DELAY_POLLS
    harness.deliver(entry, beat)
    received_at = harness.links.get_link(7).received_at
    entry.answering = False
    harness.pass_time(2)
    assert harness.links.get_link(7).received_at == received_at


def _break_connection(harness: link_builders.LinksHarness) -> None:
    harness.root.fire(transport.peer_disconnected(b"7"), "any")
    harness.run_until(lambda: not len(harness.root), "idle")


def test_entry_is_lost_soon_while_its_connection_stays_broken(
    harness: link_builders.LinksHarness, entry: link_builders.FakeEntry
) -> None:
    # Its callers retry at another entry 1.3 s after it was killed.
    before = harness.links.get_link(7).socket
    _break_connection(harness)
    harness.pass_time(1.0)
    assert harness.links.get_link(7).socket is not before


def test_entry_that_reconnects_in_time_is_not_lost(
    harness: link_builders.LinksHarness, entry: link_builders.FakeEntry
) -> None:
    before = harness.links.get_link(7).socket
    _break_connection(harness)
    harness.root.fire(transport.peer_connected(b"7"), "any")
    harness.run_until(lambda: not len(harness.root), "idle")
    harness.pass_time(1.0)
    assert harness.links.get_link(7).socket is before
    assert not harness.links.get_link(7).lost


@pytest.mark.parametrize(
    ("seconds", "reason"),
    [
        (4.9, core.Reason.NOT_SERVING),
        (5.1, core.Reason.STALE_LINK),
    ],
)
@pytest.mark.parametrize("heartbeat_first", [True, False])
def test_orders_after_a_long_gap_start_nothing(
    harness: link_builders.LinksHarness,
    entry: link_builders.FakeEntry,
    seconds: float,
    reason: core.Reason,
    heartbeat_first: bool,
) -> None:
    # A network partition delays messages; the entry has since counted the
    # agent as lost.
    link = harness.executor.get_link(7)
    order = core.Order(1, "job-1.0.1", "", b"{}")
    harness.clock.advance(datetime.timedelta(seconds=seconds))
    if heartbeat_first:
        harness.deliver(entry, core.Beat(7, 1, ()))
    harness.deliver(entry, core.Dispatch(7, 1, 1, (order,), link=link))
    reports: list[core.AttemptReport] = []

    def has_reports() -> bool:
        for results in entry.pop_messages(core.Results):
            reports.extend(results.reports)
        return bool(reports)

    harness.run_until(has_reports, "the refusal")
    assert [report.reason for report in reports] == [reason]
