"""Tests of entries that stop while lists of members still name them.

Pattern: all entries are stopped and started one after the other. For some
seconds the others name one that has left, and it still answers: each agent
opened a link to it, dropped it at its first answer and got the list again, up
to 25 times in a second.
"""

from collections.abc import Iterator

import cowslipgate_core as core
import pytest

from cowslipgate_agent import _events
from cowslipgate_agent import _links
from cowslipgate_agent.tests import link_builders


@pytest.fixture
def entries() -> tuple[link_builders.FakeEntry, ...]:
    """Return two entries, of which an agent links one."""
    return link_builders.FakeEntry(7), link_builders.FakeEntry(8)


@pytest.fixture
def harness(
    entries: tuple[link_builders.FakeEntry, ...],
) -> Iterator[link_builders.LinksHarness]:
    """Return links of an agent that knows both entries."""
    harness = link_builders.LinksHarness(*entries)
    harness.send_members(*(entry.member for entry in entries))
    yield harness
    harness.close()


def _find_linked(
    harness: link_builders.LinksHarness,
    entries: tuple[link_builders.FakeEntry, ...],
) -> list[link_builders.FakeEntry]:
    return [
        entry
        for entry in entries
        if harness.links.get_link(entry.incarnation) is not None
    ]


def test_entry_that_left_is_not_linked_again_by_a_list(
    harness: link_builders.LinksHarness,
    entries: tuple[link_builders.FakeEntry, ...],
) -> None:
    (chosen,) = _find_linked(harness, entries)
    (other,) = (entry for entry in entries if entry is not chosen)
    harness.run_until(
        lambda: chosen.pop_messages(core.Report), "a first report"
    )
    members = tuple(entry.member for entry in entries)
    leaving = core.Beat(chosen.incarnation, 1, members, leaving=True)
    harness.deliver(chosen, leaving)
    assert chosen not in _find_linked(harness, entries)
    for _ in range(3):
        harness.send_members(*members)
        assert _find_linked(harness, entries) == [other]
    # The list itself is known, so that no entry sends it again.
    harness.pass_time(2.0)
    report = other.pop_messages(core.Report)[-1]
    assert report.members_digest == core.digest_members(members)


def test_next_incarnation_of_an_entry_that_left_is_linked(
    harness: link_builders.LinksHarness,
    entries: tuple[link_builders.FakeEntry, ...],
) -> None:
    (chosen,) = _find_linked(harness, entries)
    harness.run_until(
        lambda: chosen.pop_messages(core.Report), "a first report"
    )
    leaving = core.Beat(chosen.incarnation, 1, (), leaving=True)
    harness.deliver(chosen, leaving)
    again = core.Member(9, chosen.address, "127.0.0.1:1", chosen.member.domain)
    harness.root.fire(_events.members_found((again,)), _links.CHANNEL)
    harness.run_until(lambda: harness.links.get_link(9), "the next link")


def test_address_of_an_entry_that_left_is_tried_again(
    harness: link_builders.LinksHarness,
    entries: tuple[link_builders.FakeEntry, ...],
) -> None:
    # A new process answers there, though no list names it yet.
    (chosen,) = _find_linked(harness, entries)
    harness.run_until(
        lambda: chosen.pop_messages(core.Report), "a first report"
    )
    members = tuple(entry.member for entry in entries)
    leaving = core.Beat(chosen.incarnation, 1, members, leaving=True)
    harness.deliver(chosen, leaving)
    harness.send_members(*members)
    assert chosen not in _find_linked(harness, entries)
    again = core.Member(9, chosen.address, "127.0.0.1:1", "kaai-zuid")
    chosen.beat = core.Beat(9, 1, (again,))
    harness.clock.advance(_links.RELINK_AFTER)
    harness.root.fire(_events.tick(), _links.CHANNEL)
    harness.run_until(lambda: harness.links.get_link(9), "the new process")
    assert chosen not in _find_linked(harness, entries)


def test_lost_link_outlives_a_departure_while_no_list_is_known(
    harness: link_builders.LinksHarness,
    entries: tuple[link_builders.FakeEntry, ...],
) -> None:
    # An entry is silent for a while, and another one has left; the list was
    # dropped with the link to that one.
    (chosen,) = _find_linked(harness, entries)
    chosen.answering = False
    link = harness.links.get_link(chosen.incarnation)
    for _ in range(20):
        harness.pass_time(link_builders.STEP.total_seconds())
        if link.lost:
            break
    assert link.lost
    harness.links._set_members(())
    harness.links._left[99] = harness.clock.now() - _links.RELINK_AFTER
    harness.pass_time(link_builders.STEP.total_seconds())
    assert _find_linked(harness, entries) == [chosen]
