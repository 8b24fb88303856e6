"""Tests of the calls of a target that runs tasks under leases."""

from collections.abc import Iterator
import datetime

import attrs
import cowslipgate_core as core
from cowslipgate_core.tests import run_builders
import cowslipgate_transport as transport
import pytest

from cowslipgate_agent import _events
from cowslipgate_agent import _leased_calls
from cowslipgate_agent import _runner
from cowslipgate_agent import _runtimes
from cowslipgate_agent.tests import leased_builders

NAME = core.RunName(leased_builders.ORDER.name, leased_builders.ORDER.run)
RESOLUTION = datetime.timedelta(microseconds=1)
TARGET_LAPSE = datetime.timedelta(seconds=6)


@pytest.fixture
def harness() -> Iterator[leased_builders.LeasedCallsHarness]:
    """Return a harness that has received nothing from its target."""
    harness = leased_builders.LeasedCallsHarness()
    while len(harness):
        harness.flush()
    yield harness


def _restart_target(harness: leased_builders.LeasedCallsHarness) -> None:
    incarnation = run_builders.INCARNATION + 9
    harness.send(
        _events.target_heartbeat_received(
            leased_builders.build_beat(incarnation)
        )
    )
    harness.answer(
        harness.calls[-1], run_builders.build_listing(incarnation=incarnation)
    )


def test_target_is_announced_once_its_runs_are_known(
    harness: leased_builders.LeasedCallsHarness,
) -> None:
    harness.send(
        _events.target_heartbeat_received(leased_builders.build_beat())
    )
    assert harness.recorded_events == []
    harness.answer(harness.calls[-1], run_builders.build_listing())
    # A late order of an earlier agent may still start a run.
    assert harness.recorded_events == []
    assert (
        harness.codec.sent[-1].fence == run_builders.build_listing().clock_ms
    )
    harness.answer(harness.calls[-1], run_builders.build_listing())
    assert harness.recorded_events == ["runs known", "announced"]


def test_run_of_an_earlier_agent_is_stopped_before_the_announcement(
    harness: leased_builders.LeasedCallsHarness,
) -> None:
    harness.send(
        _events.target_heartbeat_received(leased_builders.build_beat())
    )
    unknown_run = core.RunName("b.0.0.0", 4)
    harness.answer(
        harness.calls[-1], run_builders.build_listing(running=(unknown_run,))
    )
    assert harness.recorded_events == []
    stops = [s for s in harness.codec.sent if isinstance(s, core.CallStop)]
    assert [stop.name for stop in stops] == [unknown_run]


def test_agent_without_a_target_knows_all_runs_after_a_lease(
    harness: leased_builders.LeasedCallsHarness,
) -> None:
    harness.pass_time(1_000)
    assert harness.recorded_events == []
    harness.pass_time(300)
    assert harness.recorded_events == ["runs known"]


def test_end_of_a_run_is_reported(
    harness: leased_builders.LeasedCallsHarness,
) -> None:
    leased_builders.connect_target(harness)
    call = leased_builders.start_task(harness)
    accepted = _runtimes.StartAnswer(core.StartReply.ACCEPTED, 5_050)
    harness.answer(call, accepted)
    done = core.ListedEnd(1, NAME, core.RunEnd.DONE)
    harness.answer(
        harness.calls[-1], run_builders.build_listing(5_200, ended=(done,))
    )
    assert [r.outcome for r in harness.ended] == [core.Outcome.FINISHED]
    # The end is acknowledged although nothing runs any more.
    assert harness.codec.sent[-1].acknowledged == 1


def test_order_without_an_answer_is_stopped(
    harness: leased_builders.LeasedCallsHarness,
) -> None:
    leased_builders.connect_target(harness)
    call = leased_builders.start_task(harness)
    harness.fail(call, transport.CallProblem.TIMEOUT)
    assert any(isinstance(s, core.CallStop) for s in harness.codec.sent)
    assert harness.ended == []


def test_stop_without_an_answer_is_sent_again(
    harness: leased_builders.LeasedCallsHarness,
) -> None:
    leased_builders.connect_target(harness)
    leased_builders.start_task(harness)
    harness.send(
        _events.stop_task(core.StopTask(leased_builders.KEY, "job-1.0.1"))
    )
    harness.fail(harness.calls[-1], transport.CallProblem.TIMEOUT)
    stops = [s for s in harness.codec.sent if isinstance(s, core.CallStop)]
    assert len(stops) == 2


def test_target_that_refuses_connections_has_lost_its_runs(
    harness: leased_builders.LeasedCallsHarness,
) -> None:
    leased_builders.connect_target(harness)
    leased_builders.start_task(harness)
    harness.fail(
        leased_builders.find_watch(harness), transport.CallProblem.REFUSED
    )
    assert [(r.outcome, r.reason) for r in harness.ended] == [
        (core.Outcome.LOST, core.Reason.TARGET_UNREACHABLE)
    ]


# Guards against a task that is started elsewhere while its run goes on, after
# the agent had no free socket for a watch or connecting timed out.
def test_runs_go_on_though_a_watch_could_not_connect(
    harness: leased_builders.LeasedCallsHarness,
) -> None:
    leased_builders.connect_target(harness)
    leased_builders.start_task(harness)
    harness.fail(
        leased_builders.find_watch(harness), transport.CallProblem.UNREACHABLE
    )
    assert harness.ended == []


# Guards against an agent that tells entries that all runs of its predecessor
# have ended, because it had no free socket itself.
def test_watch_that_could_not_connect_makes_no_runs_known(
    harness: leased_builders.LeasedCallsHarness,
) -> None:
    beat = leased_builders.build_beat()
    harness.send(_events.target_heartbeat_received(beat))
    watch = leased_builders.find_watch(harness)
    harness.fail(watch, transport.CallProblem.UNREACHABLE)
    assert "runs known" not in harness.recorded_events


# Guards against a task that is started elsewhere while its run goes on, after
# the answer to a watch of an earlier target came late.
def test_late_word_of_the_replaced_target_ends_no_run_of_the_next_one(
    harness: leased_builders.LeasedCallsHarness,
) -> None:
    leased_builders.connect_target(harness)
    leased_builders.start_task(harness)
    late = leased_builders.find_watch(harness)
    harness.pass_time(40)
    refused = leased_builders.find_watch(harness)
    leased_builders.replace_target(harness)
    assert [r.reason for r in harness.ended] == [core.Reason.TARGET_REPLACED]
    leased_builders.start_task(harness)
    harness.answer(late, core.Replaced())
    harness.fail(refused, transport.CallProblem.REFUSED)
    assert len(harness.ended) == 1


# Guards against a task that is started elsewhere while its run goes on, since
# the next target sends a heartbeat before the present one has ended.
def test_heartbeat_of_the_next_target_ends_no_run_of_the_present_one(
    harness: leased_builders.LeasedCallsHarness,
) -> None:
    leased_builders.connect_target(harness)
    leased_builders.start_task(harness)
    leased_builders.announce_next_target(harness)
    harness.pass_time(40)
    assert harness.ended == []
    sent = harness.codec.sent[-1]
    assert (sent.instance, sent.lease_end_ms) == ("i-1", 0)
    harness.fail(
        leased_builders.find_watch(harness), transport.CallProblem.REFUSED
    )
    reasons = [report.reason for report in harness.ended]
    assert reasons == [core.Reason.TARGET_UNREACHABLE]
    harness.pass_time(100)
    assert harness.codec.sent[-1].instance == "i-2"


# Guards against runs that never end for their entry, as the present target
# answers nothing any more and the next one is not reached.
def test_runs_end_with_their_lease_once_the_next_target_is_there(
    harness: leased_builders.LeasedCallsHarness,
) -> None:
    leased_builders.connect_target(harness)
    leased_builders.start_task(harness)
    lease_ms = run_builders.LEASE // datetime.timedelta(milliseconds=1)
    for _ in range(lease_ms // 100 + 2):
        leased_builders.announce_next_target(harness)
        watch = leased_builders.find_watch(harness)
        harness.fail(watch, transport.CallProblem.TIMEOUT)
        harness.pass_time(100)
    reasons = [report.reason for report in harness.ended]
    assert reasons == [core.Reason.LEASE_LAPSED]
    harness.pass_time(100)
    assert harness.codec.sent[-1].instance == "i-2"


def test_target_reachable_again_in_the_same_incarnation_serves_again() -> None:
    harness = leased_builders.LeasedCallsHarness()
    executor = core.Executor(1, 0)
    _runner.Runner(executor, harness.clock, TARGET_LAPSE).register(harness)
    leased_builders.connect_target(harness)
    assert executor.state == "serving"
    order = core.Dispatch(7, 1, 0, (leased_builders.ORDER,))
    harness.fire(_events.entry_message_received(order), "runner")
    harness.send(_events.tick())
    harness.fail(
        leased_builders.find_watch(harness), transport.CallProblem.REFUSED
    )
    assert executor.slots == 0
    harness.pass_time(1_500)
    harness.send(
        _events.target_heartbeat_received(leased_builders.build_beat())
    )
    harness.answer(harness.calls[-1], run_builders.build_listing(7_000))
    assert executor.slots > 0


@pytest.mark.parametrize(
    ("milliseconds", "reasons"),
    [(1_050, []), (1_150, [core.Reason.LEASE_LAPSED])],
)
def test_runs_are_lost_when_the_target_was_silent_for_a_lease(
    harness: leased_builders.LeasedCallsHarness,
    milliseconds: int,
    reasons: list[core.Reason],
) -> None:
    leased_builders.connect_target(harness)
    leased_builders.start_task(harness)
    answered = 2
    while len(_list_watches(harness)) < answered + _leased_calls.MAX_WATCHES:
        harness.pass_time(50)
    # No other renews the lease.
    for _ in range(milliseconds // 50):
        harness.pass_time(50)
    assert [r.reason for r in harness.ended] == reasons


def _list_watches(
    harness: leased_builders.LeasedCallsHarness,
) -> list[transport.Call]:
    return [
        call
        for call, sent in zip(harness.calls, harness.codec.sent, strict=True)
        if isinstance(sent, core.CallWatch)
    ]


def test_end_is_reported_soon_though_the_answer_to_a_watch_is_lost(
    harness: leased_builders.LeasedCallsHarness,
) -> None:
    leased_builders.connect_target(harness)
    leased_builders.start_task(harness)
    before = len(_list_watches(harness))
    harness.pass_time(20)
    assert len(_list_watches(harness)) == before
    harness.pass_time(20)
    assert len(_list_watches(harness)) == before + 1
    done = core.ListedEnd(1, NAME, core.RunEnd.DONE)
    listing = run_builders.build_listing(5_200, ended=(done,))
    harness.answer(leased_builders.find_watch(harness), listing)
    assert [r.outcome for r in harness.ended] == [core.Outcome.FINISHED]


def test_watches_in_progress_are_limited_while_none_is_answered(
    harness: leased_builders.LeasedCallsHarness,
) -> None:
    leased_builders.connect_target(harness)
    leased_builders.start_task(harness)
    before = len(_list_watches(harness))
    for _ in range(12):
        harness.pass_time(50)
    sent = _list_watches(harness)
    assert len(sent) == before - 1 + _leased_calls.MAX_WATCHES
    # A watch that timed out allows another one.
    harness.fail(sent[before - 1], transport.CallProblem.TIMEOUT)
    harness.pass_time(1)
    assert len(_list_watches(harness)) == len(sent) + 1


def test_answers_to_watches_may_overtake_each_other(
    harness: leased_builders.LeasedCallsHarness,
) -> None:
    leased_builders.connect_target(harness)
    call = leased_builders.start_task(harness)
    accepted = _runtimes.StartAnswer(core.StartReply.ACCEPTED, 5_050)
    harness.answer(call, accepted)
    harness.pass_time(40)
    first, second = _list_watches(harness)[-2:]
    done = core.ListedEnd(1, NAME, core.RunEnd.DONE)
    harness.answer(second, run_builders.build_listing(5_300, ended=(done,)))
    running = run_builders.build_listing(5_200, running=(NAME,))
    harness.answer(first, running)
    # The run has ended since, so it is not an unknown run to be stopped.
    assert not any(isinstance(s, core.CallStop) for s in harness.codec.sent)


def test_overtaken_heartbeat_changes_nothing(
    harness: leased_builders.LeasedCallsHarness,
) -> None:
    leased_builders.connect_target(harness)
    harness.send(
        _events.target_heartbeat_received(
            leased_builders.build_beat(number=3, draining=True)
        )
    )
    before = len(harness.recorded_events)
    harness.send(
        _events.target_heartbeat_received(leased_builders.build_beat(number=2))
    )
    assert len(harness.recorded_events) == before
    assert harness.recorded_events[-1] == "left"


def test_heartbeat_numbers_restart_with_a_new_incarnation(
    harness: leased_builders.LeasedCallsHarness,
) -> None:
    leased_builders.connect_target(harness)
    harness.send(
        _events.target_heartbeat_received(leased_builders.build_beat(number=9))
    )
    before = len(harness.recorded_events)
    _restart_target(harness)
    assert harness.recorded_events[before:] == ["announced"]


def test_heartbeat_of_an_earlier_incarnation_changes_nothing(
    harness: leased_builders.LeasedCallsHarness,
) -> None:
    leased_builders.connect_target(harness)
    _restart_target(harness)
    before = len(harness.recorded_events)
    harness.send(
        _events.target_heartbeat_received(
            leased_builders.build_beat(draining=True)
        )
    )
    assert len(harness.recorded_events) == before


# Guards against watches without pause, and rows passed over without a trace.
def test_incomplete_listing_is_reported_and_asked_for_again_later() -> None:
    harness = leased_builders.LeasedCallsHarness()
    listing = attrs.evolve(
        run_builders.build_listing(), complete=False, problem="odd"
    )
    beat = leased_builders.build_beat()
    harness.send(_events.target_heartbeat_received(beat))
    harness.answer(harness.calls[-1], listing)
    assert [error.problem for error in harness.unclear] == ["odd"]
    sent = len(harness.calls)
    harness.pass_time(50)
    assert len(harness.calls) == sent
    harness.pass_time(50)
    assert len(harness.calls) == sent + 1


# Guards against a run that starts under the lease of others and outlives the
# sign that it rests on.
def test_leases_that_were_asked_for_bound_the_signs_of_later_starts(
    harness: leased_builders.LeasedCallsHarness,
) -> None:
    executor, limit = harness.executor, leased_builders.RUN_LIMIT
    # An earlier process may have renewed the lease just before.
    started_at = harness.clock.now()
    assert executor.required_sign == started_at + run_builders.LEASE - limit
    leased_builders.connect_target(harness)
    leased_builders.start_task(harness)
    sent_at = harness.clock.now()
    assert executor.required_sign == sent_at + run_builders.LEASE - limit
    assert not executor.outlives_lease(executor.required_sign - RESOLUTION)
    assert executor.outlives_lease(executor.required_sign)


# Guards against the lease of a process before, under which a first run of the
# next one would start.
def test_process_that_starts_takes_the_longest_lease_for_granted() -> None:
    executor = core.Executor(1, 0)
    clock = core.ManualClock()
    calls = _leased_calls.LeasedCalls(
        leased_builders.PlainCodec(),
        leased_builders.ADDRESS,
        run_builders.LEASE,
        clock,
        executor,
        leased_builders.RUN_LIMIT,
        run_builders.LEASE / 2,
    )
    sign = clock.now() + run_builders.LEASE - leased_builders.RUN_LIMIT
    assert executor.required_sign == sign
    assert calls.tracker.leased_until == (
        clock.read_steady() + run_builders.LEASE
    )
