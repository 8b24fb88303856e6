"""Tests of an agent's runs at a target that leases them."""

import datetime

import attrs
import cowslipgate_core as core
from cowslipgate_core.tests import builders
from cowslipgate_core.tests import run_builders
import pytest

NOW = builders.NOW
NAME = core.RunName("a.0.0.0", 10)
KEY = core.AttemptKey(7, 1)


def _later(milliseconds: int) -> datetime.datetime:
    return NOW + datetime.timedelta(milliseconds=milliseconds)


def _start(book: core.RunBook) -> core.CallStart:
    (call,) = book.start(KEY, run_builders.build_order(), NOW)
    return call


def _get_ends(
    actions: list[core.RunAction],
) -> list[tuple[core.Outcome, core.Reason]]:
    return [
        (action.outcome, action.reason)
        for action in actions
        if isinstance(action, core.EndRun)
    ]


def test_first_contact_renews_nothing_and_uses_the_clock_as_fence() -> None:
    book = core.RunBook(run_builders.LEASE)
    watch = book.watch(NOW)
    assert (watch.lease_end_ms, watch.fence, watch.wait_ms) == (0, 0, 0)
    book.hear_listing(run_builders.build_listing(), NOW, NOW)
    assert _start(book).fence == 5_000


def test_order_expires_with_the_lease() -> None:
    book = run_builders.build_contacted_book()
    assert _start(book).lease_end_ms == 5_000 + run_builders.LEASE_MS


def test_watch_renews_while_something_runs() -> None:
    book = run_builders.build_contacted_book()
    _start(book)
    watch = book.watch(_later(300))
    assert watch.lease_end_ms == 5_300 + run_builders.LEASE_MS
    assert 0 < watch.wait_ms < run_builders.LEASE_MS / 2


@pytest.mark.parametrize(
    ("end", "outcome"),
    [
        (core.RunEnd.DONE, core.Outcome.FINISHED),
        (core.RunEnd.FAILED, core.Outcome.FAILED),
        (core.RunEnd.STOPPED, core.Outcome.STOPPED),
        (core.RunEnd.LAPSED, core.Outcome.LOST),
        (core.RunEnd.BROKEN, core.Outcome.LOST),
    ],
)
def test_listed_end_is_reported_once_and_acknowledged(
    end: core.RunEnd, outcome: core.Outcome
) -> None:
    book = run_builders.build_contacted_book()
    _start(book)
    listed = core.ListedEnd(1, NAME, end)
    listing = run_builders.build_listing(5_100, ended=(listed,))
    first = book.hear_listing(listing, _later(50), _later(100))
    again = book.hear_listing(listing, _later(120), _later(150))
    assert [found[0] for found in _get_ends(first)] == [outcome]
    assert not _get_ends(again)
    assert book.needs_watch
    assert book.watch(_later(150)).acknowledged == 1
    book.hear_listing(
        run_builders.build_listing(5_200), _later(160), _later(200)
    )
    assert not book.needs_watch


def test_unanswered_order_is_stopped_and_reported_after_a_later_listing() -> (
    None
):
    book = run_builders.build_contacted_book()
    _start(book)
    (stop,) = book.miss_start(NAME, True, _later(400))
    assert isinstance(stop, core.CallStop)
    early = run_builders.build_listing(5_410)
    assert not book.hear_listing(early, _later(405), _later(410))
    book.hear_stop(NAME, _later(420))
    stale = run_builders.build_listing(5_415)
    assert not book.hear_listing(stale, _later(415), _later(425))
    certain = run_builders.build_listing(5_440)
    actions = book.hear_listing(certain, _later(430), _later(440))
    assert [found[0] for found in _get_ends(actions)] == [core.Outcome.LOST]


def test_unanswered_order_is_reported_once_it_has_expired() -> None:
    book = run_builders.build_contacted_book()
    _start(book)
    book.miss_start(NAME, True, _later(400))
    listing = run_builders.build_listing(6_001)
    assert _get_ends(book.hear_listing(listing, _later(900), _later(950)))


def test_unsent_order_did_not_start() -> None:
    book = run_builders.build_contacted_book()
    _start(book)
    assert _get_ends(book.miss_start(NAME, False, _later(5))) == [
        (core.Outcome.NOT_STARTED, core.Reason.TARGET_UNREACHABLE)
    ]


@pytest.mark.parametrize(
    ("reply", "outcome", "reason"),
    [
        (
            core.StartReply.REFUSED,
            core.Outcome.NOT_STARTED,
            core.Reason.BUSY,
        ),
        (
            core.StartReply.UNHEALTHY,
            core.Outcome.NOT_STARTED,
            core.Reason.TARGET_STATUS,
        ),
        (
            core.StartReply.OUTRANKED,
            core.Outcome.NOT_STARTED,
            core.Reason.OUTRANKED,
        ),
        (
            core.StartReply.REPLACED,
            core.Outcome.NOT_STARTED,
            core.Reason.TARGET_REPLACED,
        ),
        (
            core.StartReply.INVALID,
            core.Outcome.FAILED,
            core.Reason.MALFORMED_RESULT,
        ),
    ],
)
def test_refused_order_is_reported(
    reply: core.StartReply, outcome: core.Outcome, reason: core.Reason
) -> None:
    book = run_builders.build_contacted_book()
    _start(book)
    actions = book.hear_start(NAME, reply, 5_010, _later(10))
    assert _get_ends(actions) == [(outcome, reason)]


def test_listing_made_before_the_order_arrived_ends_nothing() -> None:
    book = run_builders.build_contacted_book()
    _start(book)
    book.hear_start(NAME, core.StartReply.ACCEPTED, 5_010, _later(10))
    listing = run_builders.build_listing(5_005)
    assert not book.hear_listing(listing, _later(2), _later(12))
    assert len(book) == 1


def test_run_that_vanished_is_lost() -> None:
    book = run_builders.build_contacted_book()
    _start(book)
    book.hear_start(NAME, core.StartReply.ACCEPTED, 5_010, _later(10))
    listing = run_builders.build_listing(5_020)
    actions = book.hear_listing(listing, _later(15), _later(20))
    assert [found[0] for found in _get_ends(actions)] == [core.Outcome.LOST]


def test_unexpected_run_is_stopped_and_keeps_the_book_unsettled() -> None:
    book = core.RunBook(run_builders.LEASE)
    unexpected = core.RunName("b.0.0.1", 3)
    listing = run_builders.build_listing(running=(unexpected,))
    (stop,) = book.hear_listing(listing, NOW, NOW)
    assert (stop.name, stop.fence) == (unexpected, 5_000)
    assert not book.settled
    book.hear_listing(run_builders.build_listing(5_100), NOW, NOW)
    assert book.settled


def test_another_target_ends_every_run() -> None:
    book = run_builders.build_contacted_book()
    _start(book)
    actions = book.hear_target("i-2", run_builders.LIFE + 5, _later(10))
    assert _get_ends(actions) == [
        (core.Outcome.LOST, core.Reason.TARGET_REPLACED)
    ]
    watch = book.watch(_later(10))
    assert (watch.fence, watch.acknowledged) == (0, 0)
    assert book.is_outdated(run_builders.LIFE)


def _list_next_incarnation(
    book: core.RunBook,
    asked_ms: int,
    running: tuple[core.RunName, ...] = (),
) -> list[core.RunAction]:
    """Deliver a listing of the next incarnation under the same id."""
    listing = run_builders.build_listing(
        1_000, running, life=run_builders.LIFE + 5
    )
    return book.hear_listing(listing, _later(asked_ms), _later(asked_ms + 5))


@pytest.mark.parametrize("heartbeat_first", [True, False])
def test_run_of_the_previous_incarnation_is_lost(
    heartbeat_first: bool,
) -> None:
    book = run_builders.build_contacted_book()
    name = _start(book).name
    book.hear_start(name, core.StartReply.ACCEPTED, 5_010, _later(10))
    if heartbeat_first:
        incarnation = run_builders.LIFE + 5
        # The new incarnation may have accepted the order.
        assert book.hear_target("i-1", incarnation, _later(20)) == []
        assert not book.settled
    assert _get_ends(_list_next_incarnation(book, 30)) == [
        (core.Outcome.LOST, core.Reason.TARGET_REPLACED)
    ]


def test_order_that_the_next_incarnation_accepted_is_not_lost() -> None:
    book = run_builders.build_contacted_book()
    name = _start(book).name
    book.hear_start(name, core.StartReply.ACCEPTED, 1_010, _later(10))
    assert _list_next_incarnation(book, 5, (name,)) == []
    assert book.settled
    ended = core.ListedEnd(1, name, core.RunEnd.DONE)
    listing = run_builders.build_listing(
        1_300, ended=(ended,), life=run_builders.LIFE + 5
    )
    actions = book.hear_listing(listing, _later(300), _later(305))
    assert _get_ends(actions) == [(core.Outcome.FINISHED, core.Reason.NONE)]


def test_order_in_transit_to_the_next_incarnation_is_not_lost() -> None:
    book = run_builders.build_contacted_book()
    name = _start(book).name
    # The listing was made before the order arrived.
    assert _list_next_incarnation(book, 5) == []
    book.hear_start(name, core.StartReply.ACCEPTED, 1_020, _later(20))
    assert len(book) == 1


def test_stop_is_repeated_for_the_next_incarnation() -> None:
    book = run_builders.build_contacted_book()
    name = _start(book).name
    book.miss_start(name, True, _later(20))
    book.hear_stop(name, _later(30))
    actions = _list_next_incarnation(book, 40)
    assert [type(action) for action in actions] == [core.CallStop]
    book.hear_stop(name, _later(50))
    assert len(_get_ends(_list_next_incarnation(book, 60))) == 1


def test_watch_after_a_stale_token_has_a_higher_one() -> None:
    book = run_builders.build_contacted_book()
    book.hear_outranked(5_500, _later(10))
    assert book.watch(_later(10)).fence > 5_500


def test_lease_counts_as_expired_only_after_the_clock_slack() -> None:
    book = run_builders.build_contacted_book()
    _start(book)
    assert not book.has_lapsed(_later(1_020))
    assert book.has_lapsed(_later(1_100))


@pytest.mark.parametrize(
    ("listed", "at_end", "reported"),
    [
        ("", "", ""),
        ("c1", "", "c1"),
        ("c1", "c2", "c2"),
        ("", "c2", "c2"),
    ],
)
def test_latest_checkpoint_of_a_run_is_reported_with_its_end(
    listed: str, at_end: str, reported: str
) -> None:
    book = run_builders.build_contacted_book()
    _start(book)
    running = run_builders.build_listing(6_000, running=(NAME,))
    if listed:
        running = attrs.evolve(running, checkpoints={NAME: listed})
    book.hear_listing(running, NOW, NOW)
    end = core.ListedEnd(1, NAME, core.RunEnd.LAPSED, at_end)
    listing = run_builders.build_listing(7_000, ended=(end,))
    (action,) = book.hear_listing(listing, NOW, NOW)
    assert action.checkpoint == reported


def test_run_resumes_from_the_checkpoint_of_its_order() -> None:
    book = run_builders.build_contacted_book()
    order = attrs.evolve(run_builders.build_order(), checkpoint="c1")
    (call,) = book.start(core.AttemptKey(1, 1), order, NOW)
    assert call.checkpoint == "c1"
    # A target lost before the next checkpoint leaves this one.
    (end,) = book.lose_target(core.Reason.TARGET_UNREACHABLE, NOW)
    assert end.checkpoint == "c1"
