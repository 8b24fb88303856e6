"""Tests of an agent's runs at a target that leases them."""

import datetime

import attrs
import cowslipgate_core as core
from cowslipgate_core.tests import run_builders
import pytest

NOW = run_builders.NOW
NAME = core.RunName("a.0.0.0", 10)
KEY = core.AttemptKey(7, 1)


def _later(milliseconds: int) -> datetime.timedelta:
    return NOW + datetime.timedelta(milliseconds=milliseconds)


def _start(tracker: core.RunTracker) -> core.CallStart:
    (call,) = tracker.start(KEY, run_builders.build_order(), NOW)
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
    tracker = core.RunTracker(run_builders.LEASE)
    watch = tracker.watch(NOW)
    assert (watch.lease_end_ms, watch.fence, watch.wait_ms) == (0, 0, 0)
    tracker.handle_listing(run_builders.build_listing(), NOW, NOW)
    assert _start(tracker).fence == 5_000


# Guards against a late order of an earlier process of the agent, which starts
# a run that nobody knows.
def test_runs_are_known_once_the_target_has_seen_the_token() -> None:
    tracker = core.RunTracker(run_builders.LEASE)
    listing = run_builders.build_listing()
    asked_before = tracker.watch(NOW)
    tracker.handle_listing(listing, NOW, _later(5))
    tracker.handle_listing(listing, _later(4), _later(6))
    assert asked_before.fence == 0
    assert not tracker.runs_known
    assert tracker.needs_watch
    assert tracker.watch(_later(6)).fence == listing.clock_ms
    tracker.handle_listing(listing, _later(6), _later(9))
    assert tracker.runs_known


def test_order_expires_with_the_lease() -> None:
    tracker = run_builders.build_tracker()
    assert _start(tracker).lease_end_ms == 5_000 + run_builders.LEASE_MS


# Guards against runs that outlive the time at which their entry counts as
# gone, because the agent stands still before it stops them.
def test_no_lease_ends_after_its_limit() -> None:
    tracker = run_builders.build_tracker()
    order = run_builders.build_order()
    (call,) = tracker.start(KEY, order, NOW, _later(700))
    assert call.lease_end_ms == 5_700
    assert tracker.watch(_later(300), _later(700)).lease_end_ms == 5_694
    assert tracker.watch(_later(300), _later(9_000)).lease_end_ms == 6_294


# Guards against leases that end late because the target's slow clock was read
# long ago.
def test_lease_after_a_pause_allows_for_a_slow_clock() -> None:
    tracker = run_builders.build_tracker()
    order = run_builders.build_order()
    (call,) = tracker.start(KEY, order, _later(60_000), _later(60_500))
    assert call.lease_end_ms == 5_000 + 58_800 + 500


def test_heartbeat_tells_the_targets_clock() -> None:
    tracker = run_builders.build_tracker()
    incarnation = run_builders.INCARNATION
    tracker.handle_heartbeat("i-1", incarnation, _later(59_000), 64_000)
    # A heartbeat that was delayed shows less than is known.
    tracker.handle_heartbeat("i-1", incarnation, _later(59_500), 63_000)
    order = run_builders.build_order()
    (call,) = tracker.start(KEY, order, _later(60_000), _later(60_500))
    assert call.lease_end_ms == 64_000 + 980 + 500


def test_heartbeat_tells_no_clock_that_runs_fast() -> None:
    tracker = run_builders.build_tracker()
    incarnation = run_builders.INCARNATION
    tracker.handle_heartbeat("i-1", incarnation, _later(1_000), 10**30)
    assert tracker.read_clock(_later(1_000)) == 6_000


def test_heartbeat_before_the_first_listing_makes_no_runs_known() -> None:
    tracker = core.RunTracker(run_builders.LEASE)
    tracker.handle_heartbeat("i-1", run_builders.INCARNATION, NOW, 5_000)
    assert not tracker.runs_known


def test_watch_after_the_limit_renews_nothing() -> None:
    tracker = run_builders.build_tracker()
    _start(tracker)
    assert tracker.watch(_later(700), _later(700)).lease_end_ms == 0
    assert not tracker.has_expired(_later(run_builders.LEASE_MS))


def test_order_after_the_limit_carries_a_lease_that_has_ended() -> None:
    tracker = run_builders.build_tracker()
    order = run_builders.build_order()
    (call,) = tracker.start(KEY, order, NOW, _later(-10))
    assert call.lease_end_ms < 5_000


# Guards against a run that goes on beside the next one of its task, because
# the target carries out no order to stop while other runs keep its lease.
def test_lease_is_not_renewed_beyond_that_of_a_run_to_be_stopped() -> None:
    tracker = run_builders.build_tracker()
    _start(tracker)
    tracker.handle_start_reply(
        NAME, core.StartReply.ACCEPTED, 5_001, _later(1)
    )
    assert tracker.watch(_later(200), None).lease_end_ms == 6_196
    tracker.stop(KEY, _later(300))
    tracker.handle_stop_failure(NAME, _later(450))
    assert tracker.watch(_later(500), None).lease_end_ms == 6_290
    assert tracker.watch(_later(1_300), None).lease_end_ms == 0
    listing = run_builders.build_listing(
        6_301, (), (core.ListedEnd(1, NAME, core.RunEnd.LAPSED),)
    )
    tracker.handle_listing(listing, _later(1_300), _later(1_301))
    other = core.AttemptKey(7, 2)
    order = run_builders.build_order(2, 11)
    (call,) = tracker.start(other, order, _later(1_301))
    assert call.lease_end_ms == 7_301


# Guards against leases that end, since the target leaves an order to start
# unanswered and the run is stopped though it never began.
def test_run_that_may_never_have_begun_limits_no_lease() -> None:
    tracker = run_builders.build_tracker()
    _start(tracker)
    tracker.handle_start_failure(NAME, True, _later(150))
    assert tracker.watch(_later(500), None).lease_end_ms == 6_490


def test_watch_renews_while_something_runs() -> None:
    tracker = run_builders.build_tracker()
    _start(tracker)
    watch = tracker.watch(_later(300))
    assert watch.lease_end_ms == 5_294 + run_builders.LEASE_MS
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
    tracker = run_builders.build_tracker()
    _start(tracker)
    listed = core.ListedEnd(1, NAME, end)
    listing = run_builders.build_listing(5_100, ended=(listed,))
    first = tracker.handle_listing(listing, _later(50), _later(100))
    again = tracker.handle_listing(listing, _later(120), _later(150))
    assert [found[0] for found in _get_ends(first)] == [outcome]
    assert not _get_ends(again)
    assert tracker.needs_watch
    assert tracker.watch(_later(150)).acknowledged == 1
    tracker.handle_listing(
        run_builders.build_listing(5_200), _later(160), _later(200)
    )
    assert not tracker.needs_watch


def test_unanswered_order_is_stopped_and_reported_after_a_later_listing() -> (
    None
):
    tracker = run_builders.build_tracker()
    _start(tracker)
    (stop,) = tracker.handle_start_failure(NAME, True, _later(400))
    assert isinstance(stop, core.CallStop)
    early = run_builders.build_listing(5_410)
    assert not tracker.handle_listing(early, _later(405), _later(410))
    tracker.handle_stop_reply(NAME, _later(420))
    stale = run_builders.build_listing(5_415)
    assert not tracker.handle_listing(stale, _later(415), _later(425))
    certain = run_builders.build_listing(5_440)
    actions = tracker.handle_listing(certain, _later(430), _later(440))
    assert [found[0] for found in _get_ends(actions)] == [core.Outcome.LOST]


def test_unanswered_order_is_reported_once_it_has_expired() -> None:
    tracker = run_builders.build_tracker()
    _start(tracker)
    tracker.handle_start_failure(NAME, True, _later(400))
    listing = run_builders.build_listing(6_001)
    assert _get_ends(tracker.handle_listing(listing, _later(900), _later(950)))


def test_unsent_order_did_not_start() -> None:
    tracker = run_builders.build_tracker()
    _start(tracker)
    assert _get_ends(tracker.handle_start_failure(NAME, False, _later(5))) == [
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
            core.StartReply.STALE_TOKEN,
            core.Outcome.NOT_STARTED,
            core.Reason.STALE_TOKEN,
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
    tracker = run_builders.build_tracker()
    _start(tracker)
    actions = tracker.handle_start_reply(NAME, reply, 5_010, _later(10))
    assert _get_ends(actions) == [(outcome, reason)]


def test_listing_made_before_the_order_arrived_ends_nothing() -> None:
    tracker = run_builders.build_tracker()
    _start(tracker)
    tracker.handle_start_reply(
        NAME, core.StartReply.ACCEPTED, 5_010, _later(10)
    )
    listing = run_builders.build_listing(5_005)
    assert not tracker.handle_listing(listing, _later(2), _later(12))
    assert len(tracker) == 1


def test_run_that_vanished_is_lost() -> None:
    tracker = run_builders.build_tracker()
    _start(tracker)
    tracker.handle_start_reply(
        NAME, core.StartReply.ACCEPTED, 5_010, _later(10)
    )
    listing = run_builders.build_listing(5_020)
    actions = tracker.handle_listing(listing, _later(15), _later(20))
    assert [found[0] for found in _get_ends(actions)] == [core.Outcome.LOST]


def test_unexpected_run_is_stopped_and_keeps_the_book_unsettled() -> None:
    tracker = core.RunTracker(run_builders.LEASE)
    unexpected = core.RunName("b.0.0.1", 3)
    listing = run_builders.build_listing(running=(unexpected,))
    (stop,) = tracker.handle_listing(listing, NOW, NOW)
    assert (stop.name, stop.fence) == (unexpected, 5_000)
    assert not tracker.runs_known
    tracker.handle_listing(run_builders.build_listing(5_100), NOW, NOW)
    assert tracker.runs_known


def test_another_target_ends_every_run() -> None:
    tracker = run_builders.build_tracker()
    _start(tracker)
    actions = tracker.handle_heartbeat(
        "i-2", run_builders.INCARNATION + 5, _later(10)
    )
    assert _get_ends(actions) == [
        (core.Outcome.LOST, core.Reason.TARGET_REPLACED)
    ]
    watch = tracker.watch(_later(10))
    assert (watch.fence, watch.acknowledged) == (0, 0)
    assert tracker.is_outdated(run_builders.INCARNATION)


def _list_next_incarnation(
    tracker: core.RunTracker,
    asked_ms: int,
    running: tuple[core.RunName, ...] = (),
) -> list[core.RunAction]:
    """Deliver a listing of the next incarnation under the same id."""
    listing = run_builders.build_listing(
        1_000, running, incarnation=run_builders.INCARNATION + 5
    )
    return tracker.handle_listing(
        listing, _later(asked_ms), _later(asked_ms + 5)
    )


@pytest.mark.parametrize("heartbeat_first", [True, False])
def test_run_of_the_previous_incarnation_is_lost(
    heartbeat_first: bool,
) -> None:
    tracker = run_builders.build_tracker()
    name = _start(tracker).name
    tracker.handle_start_reply(
        name, core.StartReply.ACCEPTED, 5_010, _later(10)
    )
    if heartbeat_first:
        incarnation = run_builders.INCARNATION + 5
        # The new incarnation may have accepted the order.
        assert tracker.handle_heartbeat("i-1", incarnation, _later(20)) == []
        assert not tracker.runs_known
    assert _get_ends(_list_next_incarnation(tracker, 30)) == [
        (core.Outcome.LOST, core.Reason.TARGET_REPLACED)
    ]


# Guards against an order that the target carries out seconds late, in its next
# incarnation, beside the next run of the task or without the labels for it.
def test_next_incarnation_is_told_a_token_above_those_of_late_orders() -> None:
    tracker = run_builders.build_tracker()
    order = _start(tracker)
    _list_next_incarnation(tracker, 30)
    assert tracker.needs_watch
    assert tracker.watch(_later(31)).fence > order.fence
    # It may have carried out a late one before it saw the token.
    assert not tracker.runs_known
    late = core.RunName("b.0.0.0", 4)
    (stop,) = _list_next_incarnation(tracker, 40, (late,))
    assert stop.name == late
    assert not tracker.runs_known
    _list_next_incarnation(tracker, 50)
    assert tracker.runs_known


# Guards against a run that is reported as lost while it is active in the next
# incarnation, as a list of the one before arrives late.
def test_late_list_ends_no_run_after_the_clock_began_anew() -> None:
    tracker = run_builders.build_tracker()
    _start(tracker)
    tracker.handle_start_reply(
        NAME, core.StartReply.ACCEPTED, 1_010, _later(10)
    )
    assert not tracker.runs_known
    late = run_builders.build_listing(9_000)
    assert tracker.handle_listing(late, _later(5), _later(20)) == []
    assert not tracker.runs_known
    assert len(tracker) == 1
    assert _list_next_incarnation(tracker, 30, (NAME,)) == []
    assert _list_next_incarnation(tracker, 40, (NAME,)) == []
    assert tracker.runs_known


# Guards against tokens that grow without need, after which orders that are on
# their way are refused.
def test_refusal_of_an_earlier_token_raises_no_token() -> None:
    tracker = run_builders.build_tracker()
    _start(tracker)
    _list_next_incarnation(tracker, 30, (NAME,))
    token = tracker.fence
    tracker.handle_start_reply(
        NAME, core.StartReply.STALE_TOKEN, 1_020, _later(32)
    )
    assert tracker.fence == token


def test_order_that_the_next_incarnation_accepted_is_not_lost() -> None:
    tracker = run_builders.build_tracker()
    name = _start(tracker).name
    tracker.handle_start_reply(
        name, core.StartReply.ACCEPTED, 1_010, _later(10)
    )
    assert _list_next_incarnation(tracker, 5, (name,)) == []
    assert not tracker.runs_known
    assert _list_next_incarnation(tracker, 15, (name,)) == []
    assert tracker.runs_known
    ended = core.ListedEnd(1, name, core.RunEnd.DONE)
    listing = run_builders.build_listing(
        1_300, ended=(ended,), incarnation=run_builders.INCARNATION + 5
    )
    actions = tracker.handle_listing(listing, _later(300), _later(305))
    assert _get_ends(actions) == [(core.Outcome.FINISHED, core.Reason.NONE)]


def test_order_in_transit_to_the_next_incarnation_is_not_lost() -> None:
    tracker = run_builders.build_tracker()
    name = _start(tracker).name
    # The listing was made before the order arrived.
    assert _list_next_incarnation(tracker, 5) == []
    tracker.handle_start_reply(
        name, core.StartReply.ACCEPTED, 1_020, _later(20)
    )
    assert len(tracker) == 1


def test_stop_is_repeated_for_the_next_incarnation() -> None:
    tracker = run_builders.build_tracker()
    name = _start(tracker).name
    tracker.handle_start_failure(name, True, _later(20))
    tracker.handle_stop_reply(name, _later(30))
    actions = _list_next_incarnation(tracker, 40)
    assert [type(action) for action in actions] == [core.CallStop]
    tracker.handle_stop_reply(name, _later(50))
    assert len(_get_ends(_list_next_incarnation(tracker, 60))) == 1


def test_watch_after_a_stale_token_has_a_higher_one() -> None:
    tracker = run_builders.build_tracker()
    tracker.handle_stale_token(5_500, _later(10))
    assert tracker.watch(_later(10)).fence > 5_500


def test_lease_counts_as_expired_only_after_the_clock_slack() -> None:
    tracker = run_builders.build_tracker()
    _start(tracker)
    assert not tracker.has_expired(_later(1_020))
    assert tracker.has_expired(_later(1_100))


# Guards against a run that counts as lapsed while it goes on: a target that
# was reborn unnoticed grants a whole lease to an end by its earlier clock.
def test_short_lease_counts_as_expired_only_after_a_whole_one() -> None:
    tracker = run_builders.build_tracker()
    target = run_builders.TargetModel()
    target.restart()
    order = run_builders.build_order()
    (call,) = tracker.start(KEY, order, NOW, _later(300))
    assert target.start(call) is core.StartReply.ACCEPTED
    target.advance(990)
    assert target.running
    assert not tracker.has_expired(_later(990))
    assert tracker.has_expired(_later(1_100))


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
    tracker = run_builders.build_tracker()
    _start(tracker)
    running = run_builders.build_listing(6_000, running=(NAME,))
    if listed:
        running = attrs.evolve(running, checkpoints={NAME: listed})
    tracker.handle_listing(running, NOW, NOW)
    end = core.ListedEnd(1, NAME, core.RunEnd.LAPSED, at_end)
    listing = run_builders.build_listing(7_000, ended=(end,))
    (action,) = tracker.handle_listing(listing, NOW, NOW)
    assert action.checkpoint == reported


def test_run_resumes_from_the_checkpoint_of_its_order() -> None:
    tracker = run_builders.build_tracker()
    order = attrs.evolve(run_builders.build_order(), checkpoint="c1")
    (call,) = tracker.start(core.AttemptKey(1, 1), order, NOW)
    assert call.checkpoint == "c1"
    # A target lost before the next checkpoint leaves this one.
    (end,) = tracker.end_all_runs(core.Reason.TARGET_UNREACHABLE, NOW)
    assert end.checkpoint == "c1"


# Guards against a run that runs twice since its row could not be read.
def test_incomplete_listing_shows_no_run_as_vanished() -> None:
    tracker = run_builders.build_tracker()
    _start(tracker)
    accepted = core.StartReply.ACCEPTED
    tracker.handle_start_reply(NAME, accepted, 5_010, _later(10))
    incomplete = attrs.evolve(
        run_builders.build_listing(5_100), complete=False
    )
    actions = tracker.handle_listing(incomplete, _later(50), _later(100))
    assert _get_ends(actions) == []
    complete = run_builders.build_listing(5_200)
    actions = tracker.handle_listing(complete, _later(150), _later(200))
    assert [found[0] for found in _get_ends(actions)] == [core.Outcome.LOST]


# Guards against tasks that run again while a run of theirs goes on unread.
def test_runs_hidden_at_the_first_contact_are_over_after_their_lease() -> None:
    tracker = core.RunTracker(run_builders.LEASE)
    incomplete = attrs.evolve(run_builders.build_listing(), complete=False)
    for milliseconds in (0, 500, 1_000):
        now = _later(milliseconds)
        tracker.handle_listing(incomplete, now, now)
        assert not tracker.runs_known
        assert tracker.needs_watch
        assert not tracker.watch(now).lease_end_ms
    tracker.handle_listing(incomplete, _later(1_100), _later(1_100))
    assert tracker.runs_known
    # A row that is odd later on hides no run of an earlier agent.
    tracker.handle_listing(incomplete, _later(1_200), _later(1_200))
    assert tracker.runs_known
    assert not tracker.needs_watch


def test_complete_listing_shows_that_no_run_is_hidden() -> None:
    tracker = core.RunTracker(run_builders.LEASE)
    incomplete = attrs.evolve(run_builders.build_listing(), complete=False)
    tracker.handle_listing(incomplete, NOW, NOW)
    tracker.handle_listing(run_builders.build_listing(), NOW, NOW)
    assert tracker.runs_known


# Guards against a run that starts under the whole lease that a reborn target
# granted, and that ends after the second submission of its caller.
def test_reborn_target_may_have_granted_a_whole_lease() -> None:
    tracker = run_builders.build_tracker()
    limit = NOW + run_builders.LEASE / 2
    tracker.start(KEY, run_builders.build_order(), NOW, limit)
    assert tracker.leased_until == limit
    incarnation = run_builders.INCARNATION + 5
    tracker.handle_heartbeat("i-1", incarnation, _later(20))
    assert tracker.leased_until == _later(20) + run_builders.LEASE
    tracker.handle_heartbeat("i-1", incarnation + 5, _later(9_000))
    assert tracker.leased_until == _later(20) + run_builders.LEASE
