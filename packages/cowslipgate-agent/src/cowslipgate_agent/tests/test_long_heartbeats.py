"""Tests of heartbeats on idle links of a large fleet.

Pattern: an entry with 37 or more agents asks idle ones for a heartbeat less
often than every 1.5 s. Each answer then counted as the end of a silence: the
link was made anew, which refused orders under way, and brought a second
heartbeat.
"""

from collections.abc import Iterator

import attrs
import cowslipgate_core as core
import pytest

from cowslipgate_agent.tests import link_builders

SECONDS = 60


@pytest.fixture
def entry() -> link_builders.FakeEntry:
    """Return an entry that asks for other intervals in its heartbeats."""
    return link_builders.FakeEntry(7)


@pytest.fixture
def harness(
    entry: link_builders.FakeEntry,
) -> Iterator[link_builders.LinksHarness]:
    """Return links that expire after 5 s."""
    harness = link_builders.LinksHarness(entry)
    harness.send_members(entry.member)
    harness.run_until(
        lambda: entry.pop_messages(core.Report), "a first report"
    )
    yield harness
    harness.close()


@pytest.mark.parametrize(
    ("asked_ms", "heartbeats"),
    [
        pytest.param(3_000, 20, id="shorter than the link's silence"),
        pytest.param(4_000, 15, id="as long as allowed"),
        pytest.param(9_000, 15, id="longer than the link's silence"),
    ],
)
def test_idle_link_is_not_renewed_by_its_own_heartbeats(
    harness: link_builders.LinksHarness,
    entry: link_builders.FakeEntry,
    asked_ms: int,
    heartbeats: int,
) -> None:
    entry.beat = attrs.evolve(entry.beat, heartbeat_ms=asked_ms)
    harness.deliver(entry, entry.beat)
    number = harness.executor.get_link(7)
    entry.pop_messages(core.Report)
    harness.pass_time(SECONDS)
    assert harness.executor.get_link(7) == number
    sent = len(entry.pop_messages(core.Report))
    assert heartbeats - 1 <= sent <= heartbeats + 1
