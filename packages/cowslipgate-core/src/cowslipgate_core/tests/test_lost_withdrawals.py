"""Tests of withdrawals that are lost with the connection to their agent.

Pattern: one disruption breaks the connection of a caller and the links to
agents. The caller sends its job again 1.3 s later to any entry, when no run
of the first submission may be alive.
"""

import datetime

import attrs
import cowslipgate_core as core
from cowslipgate_core.tests import builders
import pytest

QUOTAS = {"hall": 100}
RESEND_AFTER = datetime.timedelta(milliseconds=1_300)
TICK = datetime.timedelta(milliseconds=100)
MARGIN = 0.5
"""Share of the time until the caller comes again in which a stop that was
lost once has to be sent again."""


class _Entry:
    """A ledger with one agent that runs the only task of a job."""

    def __init__(self) -> None:
        self.now = builders.NOW
        self.ledger = core.Ledger(core.LateBinding())
        self.report(own=0)
        self.job = builders.build_job(self.ledger)
        self.job.terms = core.JobTerms(rerun_lost=True)
        self.ledger.submit(self.job)
        self.ledger.assign(self.now, QUOTAS)
        (self.attempt,) = self.ledger.attempts

    def report(self, own: int = 1, link: int = 0) -> list[core.LedgerAction]:
        """Handle a report of the agent, whose load covers its attempts."""
        report = attrs.evolve(builders.build_report(own=own), link=link)
        return self.ledger.handle_report(report, self.now)

    def confirm(self) -> None:
        """Handle the agent's answer that the attempt is running."""
        running = core.AttemptReport(self.attempt, core.Outcome.RUNNING)
        results = attrs.evolve(
            builders.build_results(running), load=core.Load(8, 1, 0)
        )
        assert self.ledger.handle_results(results, self.now) == []

    def tick(self) -> list[core.LedgerAction]:
        """Let the time of one tick pass."""
        self.now += TICK
        return self.ledger.tick(self.now)

    def tick_until_stop(self) -> datetime.timedelta:
        """Return the time until a stop of the attempt is sent."""
        began = self.now
        while self.now - began < 2 * RESEND_AFTER:
            if _stops(self.tick(), self.attempt):
                break
        return self.now - began


def _stops(actions: list[core.LedgerAction], attempt: int) -> bool:
    return any(
        isinstance(action, core.SendWithdraw)
        and action.stop
        and attempt in action.attempts
        for action in actions
    )


# Guards against a run that goes on after its caller left, because the stop was
# lost on a link whose agent was leaving: its goodbye names no new link.
@pytest.mark.parametrize("own", [0, 1])
def test_stop_that_is_lost_beside_a_goodbye_is_sent_again_in_time(
    own: int,
) -> None:
    entry = _Entry()
    entry.report(own)
    assert _stops(entry.ledger.cancel(entry.job, entry.now), entry.attempt)
    entry.ledger.handle_goodbye(core.Goodbye("agent-1", 1, 1), entry.now)
    assert entry.tick_until_stop() < RESEND_AFTER * MARGIN


# Guards against a run that goes on after its caller left, because the stop was
# lost after the report of a new link, so that no later report asks again.
def test_stop_that_is_lost_after_a_new_link_is_sent_again_in_time() -> None:
    entry = _Entry()
    entry.ledger.cancel(entry.job, entry.now)
    assert _stops(entry.report(link=1), entry.attempt)
    assert entry.tick_until_stop() < RESEND_AFTER * MARGIN


# Guards against a run that outlives the answer 502 or 504 to its job: the
# ledger forgets the job after a second, and its attempts not before they end.
def test_stop_is_sent_again_after_the_job_was_answered() -> None:
    entry = _Entry()
    entry.ledger.cancel(entry.job, entry.now)
    while entry.job.id in entry.ledger.jobs:
        entry.tick()
    assert list(entry.ledger.attempts) == [entry.attempt]
    assert entry.tick_until_stop() < RESEND_AFTER * MARGIN


def test_stop_is_not_sent_again_once_the_end_is_known() -> None:
    entry = _Entry()
    entry.ledger.cancel(entry.job, entry.now)
    stopped = core.AttemptReport(entry.attempt, core.Outcome.STOPPED)
    results = builders.build_results(stopped)
    entry.ledger.handle_results(results, entry.now)
    assert entry.tick_until_stop() >= 2 * RESEND_AFTER


def test_stop_is_not_sent_again_once_the_agent_has_answered_it() -> None:
    entry = _Entry()
    entry.ledger.cancel(entry.job, entry.now)
    entry.confirm()
    assert entry.tick_until_stop() >= 2 * RESEND_AFTER


# Guards against a stop that counts as received because the agent answers an
# inquiry that was sent before it.
def test_answer_to_an_earlier_inquiry_confirms_no_stop() -> None:
    entry = _Entry()
    assert not _stops(entry.report(link=1), entry.attempt)
    entry.ledger.cancel(entry.job, entry.now)
    entry.confirm()
    assert entry.tick_until_stop() < RESEND_AFTER * MARGIN


def test_run_whose_result_is_needed_is_not_stopped() -> None:
    entry = _Entry()
    entry.report()
    assert entry.tick_until_stop() >= 2 * RESEND_AFTER


# Guards against a message for each tick and agent while a stop takes its time.
def test_stops_are_repeated_at_their_interval_only() -> None:
    entry = _Entry()
    entry.ledger.cancel(entry.job, entry.now)
    first = entry.tick_until_stop()
    assert first == core.Timing().stop_interval
    assert entry.tick_until_stop() == first


def test_repeated_stop_reaches_the_target_once() -> None:
    executor = builders.build_executor()
    order = builders.build_order(1)
    executor.dispatch(builders.build_dispatch(order), builders.NOW)
    stop = core.Withdraw(7, 1, (1,), stop=True)
    actions = [
        action
        for _ in range(2)
        for action in executor.withdraw(stop, builders.NOW)
    ]
    stops = [a for a in actions if isinstance(a, core.StopTask)]
    reports = [a for a in actions if isinstance(a, core.SendReports)]
    assert (len(stops), len(reports)) == (1, 2)


# Guards against an outcome that is counted twice: a repeated stop may cross
# the outcome and its acknowledgement.
def test_answer_to_a_stop_after_the_end_is_ignored() -> None:
    entry = _Entry()
    entry.ledger.cancel(entry.job, entry.now)
    stopped = core.AttemptReport(entry.attempt, core.Outcome.STOPPED)
    forgotten = core.AttemptReport(
        entry.attempt, core.Outcome.UNKNOWN, core.Reason.FORGOTTEN
    )
    results = builders.build_results(stopped)
    assert len(entry.ledger.handle_results(results, entry.now)) == 1
    results = builders.build_results(forgotten)
    assert entry.ledger.handle_results(results, entry.now) == []
    assert entry.ledger.counters.unmatched == 1
