"""Tests of jobs whose callers are not known to be connected any more.

Pattern: the path between a caller and its entry is cut, and the caller resets
its connection meanwhile, so that the entry does not hear of it. The caller
sends its job again 1.3 s later to another entry.
"""

from collections.abc import Iterator
import datetime

import cowslipgate_core as core
from cowslipgate_core.tests import builders
import pytest

QUOTAS = {"hall": 100}
LIMIT = datetime.timedelta(milliseconds=1_050)
TICK = datetime.timedelta(milliseconds=100)
TIMING = core.Timing(caller_lost_after=LIMIT)


class _Entry:
    """A ledger with one agent and a job whose caller is probed."""

    def __init__(self) -> None:
        self.now = builders.NOW
        self.ledger = core.Ledger(core.LateBinding(), timing=TIMING)
        self.ledger.handle_report(builders.build_report(), self.now)
        self.job = builders.build_job(self.ledger)
        self.job.terms = core.JobTerms(rerun_lost=True)
        self.job.caller_seen_at = self.now

    def submit(self) -> None:
        self.ledger.submit(self.job)

    def assign(self) -> list[core.LedgerAction]:
        return self.ledger.assign(self.now, QUOTAS)

    def see_caller(self) -> list[core.LedgerAction]:
        """Confirm that the caller is connected now."""
        return self.ledger.confirm_callers({self.job.id: self.now}, self.now)

    def end(self, outcome: core.Outcome) -> list[core.LedgerAction]:
        """Handle the outcome of the only attempt."""
        (attempt,) = self.ledger.attempts
        report = core.AttemptReport(attempt, outcome)
        return self.ledger.handle_results(
            builders.build_results(report), self.now
        )

    def pass_time(self, time: datetime.timedelta) -> list[core.LedgerAction]:
        """Return the actions of all ticks in some time."""
        actions = []
        end = self.now + time
        while self.now < end:
            self.now += TICK
            actions.extend(self.ledger.tick(self.now))
        return actions


def _list_stops(actions: list[core.LedgerAction]) -> list[tuple[int, ...]]:
    return [
        action.attempts
        for action in actions
        if isinstance(action, core.SendWithdraw) and action.stop
    ]


@pytest.fixture
def entry() -> Iterator[_Entry]:
    yield _Entry()


# Guards against a run beside that of the caller's second submission.
def test_run_is_stopped_within_a_tick_once_its_caller_was_unseen(
    entry: _Entry,
) -> None:
    entry.submit()
    entry.assign()
    assert _list_stops(entry.pass_time(LIMIT - TICK)) == []
    actions = entry.pass_time(TICK)
    assert _list_stops(actions) == [(1,)]
    assert core.SuspendJob(entry.job) in actions
    assert entry.ledger.counters.suspended == 1


# Guards against a run that goes on because the order to stop it was lost.
def test_stop_for_an_unseen_caller_is_repeated_until_it_is_answered(
    entry: _Entry,
) -> None:
    entry.submit()
    entry.assign()
    entry.pass_time(LIMIT)
    interval = TIMING.stop_interval
    assert _list_stops(entry.pass_time(interval)) == [(1,)]
    entry.end(core.Outcome.STOPPED)
    assert _list_stops(entry.pass_time(2 * interval)) == []


# Guards against a lost run that is started again for a caller that has gone.
def test_lost_task_waits_until_its_caller_is_seen(entry: _Entry) -> None:
    entry.submit()
    entry.assign()
    entry.pass_time(LIMIT)
    entry.end(core.Outcome.STOPPED)
    assert entry.assign() == []
    assert entry.see_caller() == [core.ResumeJob(entry.job)]
    (sent,) = entry.assign()
    assert isinstance(sent, core.SendOrders)


# Guards against a start after a pause of the entry, before its next tick.
def test_task_is_not_sent_after_a_pause_before_its_caller_is_seen(
    entry: _Entry,
) -> None:
    entry.submit()
    entry.now += 2 * LIMIT
    assert entry.assign() == [core.SuspendJob(entry.job)]
    assert entry.ledger.attempts == {}
    entry.see_caller()
    (sent,) = entry.assign()
    assert isinstance(sent, core.SendOrders)


# Guards against jobs of other callers that wait beside a suspended one.
def test_other_jobs_are_sent_beside_a_suspended_one(entry: _Entry) -> None:
    entry.submit()
    entry.now += 2 * LIMIT
    other = builders.build_job(entry.ledger, job_id="job-2")
    other.caller_seen_at = entry.now
    entry.ledger.submit(other)
    suspended, sent = entry.assign()
    assert suspended == core.SuspendJob(entry.job)
    (attempt,) = entry.ledger.attempts.values()
    assert (attempt.job, len(sent.orders)) == (other, 1)


def test_caller_that_is_seen_again_and_again_keeps_its_run(
    entry: _Entry,
) -> None:
    entry.submit()
    entry.assign()
    for _ in range(10):
        entry.see_caller()
        assert _list_stops(entry.pass_time(LIMIT / 2)) == []


def test_result_of_a_suspended_job_is_its_answer(entry: _Entry) -> None:
    entry.submit()
    entry.assign()
    entry.pass_time(LIMIT)
    (answered,) = entry.end(core.Outcome.FINISHED)
    assert answered.answer.failure is None
    assert not entry.ledger.jobs


# Guards against a late sign of a caller that counts as a new one.
def test_sign_that_is_too_old_resumes_nothing(entry: _Entry) -> None:
    entry.submit()
    entry.now += 2 * LIMIT
    entry.assign()
    seen = {entry.job.id: entry.now - LIMIT - TICK}
    assert entry.ledger.confirm_callers(seen, entry.now) == []
    assert entry.job.suspended


def test_job_whose_caller_is_not_probed_is_never_suspended(
    entry: _Entry,
) -> None:
    entry.job.caller_seen_at = None
    entry.submit()
    entry.assign()
    assert _list_stops(entry.pass_time(10 * LIMIT)) == []


def test_suspended_job_that_did_not_run_is_refused_at_its_deadline(
    entry: _Entry,
) -> None:
    entry.submit()
    entry.now = entry.job.deadline
    (answered,) = entry.assign()
    assert answered.answer.failure is core.Failure.OVERLOADED
    assert not entry.ledger.jobs
