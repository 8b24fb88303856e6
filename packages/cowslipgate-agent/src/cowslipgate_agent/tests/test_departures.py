"""Tests that an agent leaves entries that are no longer in its subset."""

from collections.abc import Iterator

import attrs
import cowslipgate_core as core
import pytest

from cowslipgate_agent.tests import link_builders

LEAVE_SECONDS = 6


@attrs.define
class Subset:
    """An agent that has a link to the entry that ranks second of two."""

    harness: link_builders.LinksHarness
    """The agent."""

    chosen: link_builders.FakeEntry
    """The entry that ranks first."""

    other: link_builders.FakeEntry
    """The other entry."""

    def send_both_members(self) -> None:
        """Send the agent a list of both entries."""
        self.harness.send_members(self.chosen.member, self.other.member)
        self.harness.run_until(
            lambda: self.chosen.pop_messages(core.Report),
            "a report to the first",
        )

    @property
    def linked(self) -> bool:
        """Whether the agent has a link to the other entry."""
        link = self.harness.links.get_link(self.other.incarnation)
        return link is not None


@pytest.fixture
def subset() -> Iterator[Subset]:
    entries = [link_builders.FakeEntry(number) for number in (7, 8)]
    members = tuple(entry.member for entry in entries)
    (first,) = core.choose_entries(link_builders.AGENT, members, 1)
    entries.sort(key=lambda entry: entry.member != first)
    harness = link_builders.LinksHarness(*entries)
    harness.send_members(entries[1].member)
    harness.run_until(
        lambda: entries[1].pop_messages(core.Report), "a first report"
    )
    yield Subset(harness, *entries)
    harness.close()


def _dispatch(subset: Subset, attempt: int) -> None:
    link = subset.harness.executor.get_link(subset.other.incarnation)
    order = core.Order(attempt, f"job.0.{attempt}", "tag", b"{}")
    subset.other.send(
        core.Dispatch(subset.other.incarnation, 1, 1, (order,), link=link)
    )


def _leave(subset: Subset) -> core.Goodbye:
    """Advance the clock and return the goodbye that the agent sends."""
    subset.send_both_members()
    subset.harness.pass_time(LEAVE_SECONDS)
    link = subset.harness.links.get_link(subset.other.incarnation)
    found: list[core.Goodbye] = []

    def check() -> bool:
        goodbyes = subset.other.pop_messages(core.Goodbye)
        # One of an earlier departure may still have been in transit.
        found.extend(g for g in goodbyes if g.number == link.departure)
        return bool(found)

    subset.harness.run_until(check, "a goodbye")
    return found[0]


def _release(subset: Subset, number: int) -> None:
    release = core.Release(subset.other.incarnation, number)
    subset.harness.deliver(subset.other, release)


def test_agent_sends_a_goodbye_to_an_entry_that_is_not_chosen(
    subset: Subset,
) -> None:
    goodbye = _leave(subset)
    assert (goodbye.agent, goodbye.incarnation) == (link_builders.AGENT, 1)


def test_goodbyes_take_the_place_of_reports(subset: Subset) -> None:
    _leave(subset)
    subset.other.pop_messages(core.Report)
    subset.harness.pass_time(3)
    subset.harness.run_until(
        lambda: subset.other.pop_messages(core.Goodbye), "another goodbye"
    )
    assert subset.other.pop_messages(core.Report) == []


def test_released_agent_closes_the_link(subset: Subset) -> None:
    _release(subset, _leave(subset).number)
    subset.harness.pass_time(1)
    assert not subset.linked


def test_agent_that_is_not_released_keeps_the_link(subset: Subset) -> None:
    _leave(subset)
    subset.harness.pass_time(2)
    assert subset.linked


def test_release_of_an_earlier_departure_is_ignored(
    subset: Subset,
) -> None:
    _release(subset, _leave(subset).number - 1)
    subset.harness.pass_time(2)
    assert subset.linked


def test_agent_that_holds_an_outcome_keeps_the_link(subset: Subset) -> None:
    goodbye = _leave(subset)
    # Without a target the attempt is refused, and the refusal is kept.
    _dispatch(subset, attempt=1)
    subset.harness.run_until(
        lambda: subset.other.pop_messages(core.Results), "the refusal"
    )
    _release(subset, goodbye.number)
    subset.harness.pass_time(1)
    assert subset.linked
    acknowledge = core.Acknowledge(subset.other.incarnation, (1,))
    subset.harness.deliver(subset.other, acknowledge)
    subset.harness.pass_time(1)
    assert not subset.linked


def test_entry_that_is_chosen_again_is_not_left(subset: Subset) -> None:
    number = _leave(subset).number
    subset.harness.send_members(subset.other.member)
    _release(subset, number)
    subset.other.pop_messages(core.Goodbye)
    subset.harness.pass_time(2)
    assert subset.linked
    subset.harness.run_until(
        lambda: subset.other.pop_messages(core.Report), "a report"
    )
    assert subset.other.pop_messages(core.Goodbye) == []


def test_entry_is_not_left_while_the_chosen_one_does_not_answer(
    subset: Subset,
) -> None:
    subset.chosen.answering = False
    subset.send_both_members()
    subset.harness.pass_time(4 * LEAVE_SECONDS)
    assert subset.other.pop_messages(core.Goodbye) == []


def test_agent_leaves_no_entry_while_its_choice_alternates(
    subset: Subset,
) -> None:
    subset.send_both_members()
    for _ in range(LEAVE_SECONDS):
        subset.harness.send_members(subset.other.member)
        subset.harness.pass_time(1)
        subset.harness.send_members(subset.chosen.member, subset.other.member)
        subset.harness.pass_time(1)
    assert subset.other.pop_messages(core.Goodbye) == []


def test_links_do_not_accumulate_as_entries_change(subset: Subset) -> None:
    for _ in range(5):
        goodbye = _leave(subset)
        _release(subset, goodbye.number)
        subset.harness.pass_time(1)
        assert len(subset.harness.links.sockets) == 1
        subset.harness.send_members(subset.other.member)
        subset.harness.run_until(
            lambda: subset.other.pop_messages(core.Report),
            "a report after the return",
        )
