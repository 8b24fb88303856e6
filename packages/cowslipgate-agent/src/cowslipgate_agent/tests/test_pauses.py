"""Tests of runs at a target that may have stood still with its agent."""

from collections.abc import Iterator

import cowslipgate_core as core
from cowslipgate_core.tests import run_builders
import pytest

from cowslipgate_agent import _events
from cowslipgate_agent import _runtimes
from cowslipgate_agent.tests import leased_builders

NAME = core.RunName(leased_builders.ORDER.name, leased_builders.ORDER.run)
ACCEPTED = _runtimes.StartAnswer(core.StartReply.ACCEPTED, 5_050)
CLOCK_MS = 5_200
"""The target's clock when it stands still."""


@pytest.fixture
def harness() -> Iterator[leased_builders.LeasedCallsHarness]:
    """Return a harness whose target runs a task."""
    harness = leased_builders.LeasedCallsHarness()
    while len(harness):
        harness.flush()
    leased_builders.connect_target(harness)
    call = leased_builders.start_task(harness)
    harness.answer(call, ACCEPTED)
    harness.pass_time(100)
    yield harness


def _list_run(clock_ms: int) -> core.Listing:
    return run_builders.build_listing(clock_ms, (NAME,))


def _get_stops(
    harness: leased_builders.LeasedCallsHarness,
) -> list[core.RunName]:
    return [
        sent.name
        for sent in harness.codec.sent
        if isinstance(sent, core.CallStop)
    ]


# Guards against a run that is reported as lost, and started elsewhere, while
# its target stood still as long as the agent and runs it on.
@pytest.mark.parametrize("suspended", [True, False])
def test_run_goes_on_after_a_pause_of_its_agent_and_target(
    harness: leased_builders.LeasedCallsHarness, suspended: bool
) -> None:
    harness.pause(2_000, suspended)
    watch = harness.codec.sent[-1]
    assert (watch.wait_ms, harness.ended) == (0, [])
    harness.answer(leased_builders.find_watch(harness), _list_run(CLOCK_MS))
    harness.pass_time(100)
    done = core.ListedEnd(1, NAME, core.RunEnd.DONE)
    listing = run_builders.build_listing(CLOCK_MS + 200, (), (done,))
    harness.answer(leased_builders.find_watch(harness), listing)
    outcomes = [report.outcome for report in harness.ended]
    assert outcomes == [core.Outcome.FINISHED]
    assert _get_stops(harness) == []


# Guards against runs that are believed in after a pause in which only the
# agent stood still.
@pytest.mark.parametrize("suspended", [True, False])
def test_run_that_lapsed_in_a_pause_of_its_agent_is_reported_at_once(
    harness: leased_builders.LeasedCallsHarness, suspended: bool
) -> None:
    harness.pause(2_000, suspended)
    lapsed = core.ListedEnd(1, NAME, core.RunEnd.LAPSED)
    listing = run_builders.build_listing(CLOCK_MS + 2_000, (), (lapsed,))
    harness.answer(leased_builders.find_watch(harness), listing)
    reasons = [report.reason for report in harness.ended]
    assert reasons == [core.Reason.LEASE_LAPSED]


# Guards against a target that stood still alone: its run goes on unnoticed,
# and its room is given away.
def test_nothing_starts_after_a_silence_until_the_target_lists_its_runs(
    harness: leased_builders.LeasedCallsHarness,
) -> None:
    for _ in range(12):
        harness.pass_time(100)
    reasons = [report.reason for report in harness.ended]
    assert reasons == [core.Reason.LEASE_LAPSED]
    harness.recorded_events.clear()
    beat = leased_builders.build_beat(number=2)
    harness.send(_events.target_heartbeat_received(beat))
    harness.answer(leased_builders.find_watch(harness), _list_run(CLOCK_MS))
    assert _get_stops(harness) == [NAME]
    assert "announced" not in harness.recorded_events
    harness.pass_time(100)
    stopped = core.ListedEnd(1, NAME, core.RunEnd.STOPPED)
    listing = run_builders.build_listing(CLOCK_MS + 50, (), (stopped,))
    harness.answer(leased_builders.find_watch(harness), listing)
    assert "announced" in harness.recorded_events


# Guards against leases that end later than a sign allows, since the estimate
# of the target's clock counts the suspension.
def test_lease_after_a_suspension_goes_by_the_clock_that_stood_still(
    harness: leased_builders.LeasedCallsHarness,
) -> None:
    harness.answer(leased_builders.find_watch(harness), _list_run(CLOCK_MS))
    harness.pause(2_000, suspended=True)
    harness.answer(leased_builders.find_watch(harness), _list_run(CLOCK_MS))
    harness.pass_time(100)
    longest = CLOCK_MS + 100 + run_builders.LEASE_MS
    ends = [
        sent.lease_end_ms
        for sent in harness.codec.sent
        if isinstance(sent, core.CallWatch)
    ]
    assert max(ends) <= longest


# Guards against an order that starts after a suspension by a sign for which
# the lease, which stood still as well, ends too late.
def test_suspension_puts_off_the_end_of_a_lease_that_was_asked_for(
    harness: leased_builders.LeasedCallsHarness,
) -> None:
    required = harness.executor.required_sign
    harness.pause(2_000, suspended=True)
    moved = harness.executor.required_sign - required
    assert moved >= 2 * run_builders.LEASE
