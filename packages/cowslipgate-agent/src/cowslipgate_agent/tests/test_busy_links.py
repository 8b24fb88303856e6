"""Tests of heartbeats on links that carry work.

Pattern: a target of a large fleet runs tasks of five to eight entries at
once, and each link brings orders and outcomes all the time. A heartbeat and
its answer each 0.5 s on each of them were two thirds of an agent's messages.
"""

from collections.abc import Iterator

import cowslipgate_core as core
import pytest

from cowslipgate_agent import _events
from cowslipgate_agent import _runner
from cowslipgate_agent.tests import link_builders

ENTRY = 7
HEARTBEAT_SECONDS = 1.0
"""Heartbeat of a link that carries work, in the harness."""

SECONDS = 30


@pytest.fixture
def entry() -> link_builders.FakeEntry:
    """Return an entry that asks idle links for a heartbeat every 3 s."""
    entry = link_builders.FakeEntry(ENTRY)
    entry.beat = core.Beat(ENTRY, 1, (), heartbeat_ms=3_000)
    return entry


@pytest.fixture
def harness(
    entry: link_builders.FakeEntry,
) -> Iterator[link_builders.LinksHarness]:
    """Return links whose target runs one long task of the entry."""
    harness = link_builders.LinksHarness(entry)
    harness.send_members(entry.member)
    harness.run_until(
        lambda: entry.pop_messages(core.Report), "a first report"
    )
    announcement = core.Announcement("print", "http://127.0.0.1:1", 1, 8)
    event = _events.target_announced(announcement)
    harness.root.fire(event, _runner.CHANNEL)
    harness.deliver(entry, entry.beat)
    harness.deliver(entry, _build_dispatch(harness, 1))
    assert harness.executor.count_own(ENTRY) == 1
    entry.pop_messages(core.Report)
    entry.pop_messages(core.Results)
    yield harness
    harness.close()


def _build_dispatch(
    harness: link_builders.LinksHarness, attempt: int
) -> core.Dispatch:
    order = core.Order(attempt, f"job.0.{attempt}", "tag", b"{}")
    link = harness.executor.get_link(ENTRY)
    return core.Dispatch(ENTRY, 1, 1, (order,), (), link)


def _pass_time(
    harness: link_builders.LinksHarness, entry: link_builders.FakeEntry
) -> int:
    """Pass one step of time and return the heartbeats sent meanwhile."""
    harness.pass_time(link_builders.STEP.total_seconds())
    return len(entry.pop_messages(core.Report))


def test_link_with_orders_and_outcomes_needs_few_heartbeats(
    harness: link_builders.LinksHarness, entry: link_builders.FakeEntry
) -> None:
    sent = 0
    steps = int(SECONDS / link_builders.STEP.total_seconds())
    for step in range(steps):
        # The target is full, so each order is answered by an outcome.
        harness.deliver(entry, _build_dispatch(harness, 2 + step))
        sent += _pass_time(harness, entry)
    assert len(entry.pop_messages(core.Results)) >= steps
    # Members and the target's offer are still reported as on an idle link.
    assert SECONDS / 3 - 1 <= sent <= SECONDS / 3 + 1


@pytest.mark.parametrize("orders", [False, True])
def test_one_way_traffic_or_none_needs_every_heartbeat(
    harness: link_builders.LinksHarness,
    entry: link_builders.FakeEntry,
    orders: bool,
) -> None:
    sent = 0
    steps = int(SECONDS / link_builders.STEP.total_seconds())
    for _ in range(steps):
        if orders:
            # A repeated order of the running attempt is not answered.
            harness.deliver(entry, _build_dispatch(harness, 1))
        sent += _pass_time(harness, entry)
    expected = SECONDS / HEARTBEAT_SECONDS
    assert expected - 1 <= sent <= expected + 1


def test_outcomes_to_a_silent_entry_replace_no_heartbeat(
    harness: link_builders.LinksHarness, entry: link_builders.FakeEntry
) -> None:
    entry.answering = False
    heartbeats: list[object] = []
    for _ in range(8):
        outcome = core.AttemptReport(1, core.Outcome.RUNNING)
        action = core.SendReports(ENTRY, (outcome,))
        harness.root.fire(_events.report_attempts(action), "links")
        harness.pass_time(link_builders.STEP.total_seconds())

    def receive() -> bool:
        heartbeats.extend(entry.pop_messages(core.Report))
        return len(heartbeats) >= 4

    # Nobody answers, so the harness does not wait until they have arrived.
    harness.run_until(receive, "a heartbeat each second")
