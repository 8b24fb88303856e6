"""Tests that an agent leaves entries that others have replaced."""

from collections.abc import Iterator

import attrs
import cowslipgate_core as core
import pytest

from cowslipgate_agent.tests import link_builders

LEAVE_SECONDS = 6


@attrs.define
class Subset:
    """An agent that has a link to the entry that ranks second of two."""

    rig: link_builders.LinksRig
    """The agent."""

    chosen: link_builders.EntryTwin
    """The entry that ranks first."""

    other: link_builders.EntryTwin
    """The other entry."""

    def introduce_both(self) -> None:
        """Tell the agent of both entries."""
        self.rig.introduce(self.chosen.member, self.other.member)
        self.rig.run_until(
            lambda: self.chosen.take(core.Report), "a report to the first"
        )

    @property
    def linked(self) -> bool:
        """Whether the agent has a link to the other entry."""
        link = self.rig.links.get_link(self.other.incarnation)
        return link is not None


@pytest.fixture
def subset() -> Iterator[Subset]:
    entries = [link_builders.EntryTwin(number) for number in (7, 8)]
    members = tuple(entry.member for entry in entries)
    (first,) = core.choose_entries(link_builders.AGENT, members, 1)
    entries.sort(key=lambda entry: entry.member != first)
    rig = link_builders.LinksRig(*entries)
    rig.introduce(entries[1].member)
    rig.run_until(lambda: entries[1].take(core.Report), "a first report")
    yield Subset(rig, *entries)
    rig.close()


def _dispatch(subset: Subset, attempt: int) -> None:
    link = subset.rig.executor.get_link(subset.other.incarnation)
    order = core.Order(attempt, f"job.0.{attempt}", "tag", b"{}")
    subset.other.send(
        core.Dispatch(subset.other.incarnation, 1, 1, (order,), link=link)
    )


def _leave(subset: Subset) -> core.Goodbye:
    """Let time pass until the agent says goodbye."""
    subset.introduce_both()
    subset.rig.pass_time(LEAVE_SECONDS)
    link = subset.rig.links.get_link(subset.other.incarnation)
    found: list[core.Goodbye] = []

    def check() -> bool:
        goodbyes = subset.other.take(core.Goodbye)
        # One of an earlier departure may have been under way.
        found.extend(g for g in goodbyes if g.number == link.departure)
        return bool(found)

    subset.rig.run_until(check, "a goodbye")
    return found[0]


def _release(subset: Subset, number: int) -> None:
    release = core.Release(subset.other.incarnation, number)
    subset.rig.deliver(subset.other, release)


def test_agent_says_goodbye_to_an_entry_that_is_not_chosen(
    subset: Subset,
) -> None:
    goodbye = _leave(subset)
    assert (goodbye.agent, goodbye.incarnation) == (link_builders.AGENT, 1)


def test_goodbyes_take_the_place_of_reports(subset: Subset) -> None:
    _leave(subset)
    subset.other.take(core.Report)
    subset.rig.pass_time(3)
    subset.rig.run_until(
        lambda: subset.other.take(core.Goodbye), "another goodbye"
    )
    assert subset.other.take(core.Report) == []


def test_released_agent_closes_the_link(subset: Subset) -> None:
    _release(subset, _leave(subset).number)
    subset.rig.pass_time(1)
    assert not subset.linked


def test_agent_that_is_not_released_keeps_the_link(subset: Subset) -> None:
    _leave(subset)
    subset.rig.pass_time(2)
    assert subset.linked


def test_release_of_an_earlier_departure_is_not_taken(
    subset: Subset,
) -> None:
    _release(subset, _leave(subset).number - 1)
    subset.rig.pass_time(2)
    assert subset.linked


def test_agent_that_holds_an_outcome_keeps_the_link(subset: Subset) -> None:
    goodbye = _leave(subset)
    # Without a target the attempt is refused, and the refusal kept.
    _dispatch(subset, attempt=1)
    subset.rig.run_until(
        lambda: subset.other.take(core.Results), "the refusal"
    )
    _release(subset, goodbye.number)
    subset.rig.pass_time(1)
    assert subset.linked
    acknowledge = core.Acknowledge(subset.other.incarnation, (1,))
    subset.rig.deliver(subset.other, acknowledge)
    subset.rig.pass_time(1)
    assert not subset.linked


def test_entry_that_is_chosen_again_is_not_left(subset: Subset) -> None:
    number = _leave(subset).number
    subset.rig.introduce(subset.other.member)
    _release(subset, number)
    subset.other.take(core.Goodbye)
    subset.rig.pass_time(2)
    assert subset.linked
    subset.rig.run_until(lambda: subset.other.take(core.Report), "a report")
    assert subset.other.take(core.Goodbye) == []


def test_entry_is_not_left_while_the_chosen_one_is_silent(
    subset: Subset,
) -> None:
    subset.chosen.answering = False
    subset.introduce_both()
    subset.rig.pass_time(4 * LEAVE_SECONDS)
    assert subset.other.take(core.Goodbye) == []


def test_views_that_choose_in_turn_make_the_agent_leave_nobody(
    subset: Subset,
) -> None:
    subset.introduce_both()
    for _ in range(LEAVE_SECONDS):
        subset.rig.introduce(subset.other.member)
        subset.rig.pass_time(1)
        subset.rig.introduce(subset.chosen.member, subset.other.member)
        subset.rig.pass_time(1)
    assert subset.other.take(core.Goodbye) == []


def test_links_do_not_pile_up_as_entries_change(subset: Subset) -> None:
    for _ in range(5):
        goodbye = _leave(subset)
        _release(subset, goodbye.number)
        subset.rig.pass_time(1)
        assert len(subset.rig.links.sockets) == 1
        subset.rig.introduce(subset.other.member)
        subset.rig.run_until(
            lambda: subset.other.take(core.Report), "the way back"
        )
