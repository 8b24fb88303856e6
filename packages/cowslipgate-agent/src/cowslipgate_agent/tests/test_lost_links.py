"""Tests that an agent connects anew to an entry that went silent."""

from collections.abc import Iterator
import datetime

import cowslipgate_core as core
import cowslipgate_transport as transport
import pytest
import zmq

from cowslipgate_agent.tests import link_builders

LOST_SECONDS = 8
WAIT_MS = 10_000
HELD_POLLS = 3
"""Rounds for which the entry holds a message up."""


@pytest.fixture
def entry() -> link_builders.EntryTwin:
    return link_builders.EntryTwin(7)


@pytest.fixture
def rig(
    entry: link_builders.EntryTwin,
) -> Iterator[link_builders.LinksRig]:
    rig = link_builders.LinksRig(entry)
    rig.introduce(entry.member)
    rig.run_until(lambda: entry.take(core.Report), "a first report")
    # The answer to that report would come at some later time of the clock.
    rig.deliver(entry, core.Beat(entry.incarnation, 1, ()))
    yield rig
    rig.close()


def _take_over(
    rig: link_builders.LinksRig, entry: link_builders.EntryTwin
) -> None:
    """Have another connection take the agent's identity and end.

    The entry's socket then reads nothing more from the agent's connection,
    which stands nevertheless.
    """
    context = zmq.Context.instance()
    other = transport.open_dealer(context, entry.address, entry.identity)
    assert other.poll(WAIT_MS, zmq.POLLOUT)
    other.send_multipart(core.encode_message(core.Acknowledge(7, ())))
    rig.run_until(lambda: entry.take(core.Acknowledge), "the take-over")
    other.close(linger=0)


def test_agent_whose_connection_leads_nowhere_connects_anew(
    rig: link_builders.LinksRig, entry: link_builders.EntryTwin
) -> None:
    entry.answering = False
    _take_over(rig, entry)
    rig.pass_time(LOST_SECONDS)
    rig.run_until(lambda: entry.take(core.Report), "a report to the entry")


def test_silent_entry_gets_one_connection_at_a_time(
    rig: link_builders.LinksRig, entry: link_builders.EntryTwin
) -> None:
    entry.answering = False
    rig.pass_time(10 * LOST_SECONDS)
    assert len(rig.links.sockets) == 1


def test_link_that_was_made_anew_has_another_number(
    rig: link_builders.LinksRig, entry: link_builders.EntryTwin
) -> None:
    before = rig.executor.get_link(7)
    entry.answering = False
    rig.pass_time(LOST_SECONDS)
    rig.run_until(
        lambda: rig.executor.get_link(7) > before, "another link number"
    )


def test_link_keeps_its_number_while_the_entry_stays_silent(
    rig: link_builders.LinksRig, entry: link_builders.EntryTwin
) -> None:
    before = rig.executor.get_link(7)
    entry.answering = False
    rig.pass_time(LOST_SECONDS - 2)
    # One more for the entry's loss, one for the connection made anew.
    rig.run_until(
        lambda: rig.executor.links >= before + 2, "the connection made anew"
    )
    rig.pass_time(4)
    assert rig.executor.get_link(7) > before


def test_messages_that_are_held_up_are_waited_for(
    rig: link_builders.LinksRig, entry: link_builders.EntryTwin
) -> None:
    # The rig must not let time pass while an answer is on its way: the agent
    # would hear it later by the clock and give the entry up later.
    beat = core.Beat(entry.incarnation, 1, ())
    entry.send(beat)
    entry.held_polls = HELD_POLLS
    rig.deliver(entry, beat)
    heard_at = rig.links.get_link(7).heard_at
    entry.answering = False
    rig.pass_time(2)
    assert rig.links.get_link(7).heard_at == heard_at


def _break_connection(rig: link_builders.LinksRig) -> None:
    rig.root.fire(transport.peer_disconnected(b"7"), "any")
    rig.run_until(lambda: not len(rig.root), "quiet")


def test_entry_whose_connection_stays_broken_is_given_up_soon(
    rig: link_builders.LinksRig, entry: link_builders.EntryTwin
) -> None:
    # Its callers come to another entry 1.3 s after it was killed.
    before = rig.links.get_link(7).socket
    _break_connection(rig)
    rig.pass_time(1.0)
    assert rig.links.get_link(7).socket is not before


def test_entry_whose_connection_is_made_anew_keeps_its_tasks(
    rig: link_builders.LinksRig, entry: link_builders.EntryTwin
) -> None:
    before = rig.links.get_link(7).socket
    _break_connection(rig)
    rig.root.fire(transport.peer_connected(b"7"), "any")
    rig.run_until(lambda: not len(rig.root), "quiet")
    rig.pass_time(1.0)
    assert rig.links.get_link(7).socket is before
    assert not rig.links.get_link(7).lost


@pytest.mark.parametrize(
    ("seconds", "reason"),
    [
        (4.9, core.Reason.NOT_SERVING),
        (5.1, core.Reason.STALE_LINK),
    ],
)
@pytest.mark.parametrize("heartbeat_first", [True, False])
def test_what_arrives_after_a_long_silence_starts_nothing(
    rig: link_builders.LinksRig,
    entry: link_builders.EntryTwin,
    seconds: float,
    reason: core.Reason,
    heartbeat_first: bool,
) -> None:
    # A cut holds messages up; the entry has long given the agent up.
    link = rig.executor.get_link(7)
    order = core.Order(1, "job-1.0.1", "", b"{}")
    rig.clock.advance(datetime.timedelta(seconds=seconds))
    if heartbeat_first:
        rig.deliver(entry, core.Beat(7, 1, ()))
    rig.deliver(entry, core.Dispatch(7, 1, 1, (order,), link=link))
    told: list[core.AttemptReport] = []

    def is_told() -> bool:
        for results in entry.take(core.Results):
            told.extend(results.reports)
        return bool(told)

    rig.run_until(is_told, "the refusal")
    assert [report.reason for report in told] == [reason]
