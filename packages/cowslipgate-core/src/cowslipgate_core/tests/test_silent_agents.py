"""Tests of agents that are only silent or slow to report for a while.

Pattern: a link is choked, a VM is slow, or a report waits behind those of 160
others. Until the agent counts as lost, its work is neither run elsewhere nor
given up, and a late report counts.
"""

import datetime

import cowslipgate_core as core
from cowslipgate_core.tests import builders
import pytest

QUOTAS = {"hall": 100}
SUSPECT_AFTER = datetime.timedelta(milliseconds=1_200)
LOST_AFTER = datetime.timedelta(milliseconds=3_500)
TICK = datetime.timedelta(milliseconds=100)
TERMS = core.JobTerms(rerun_lost=True)


def _dispatch() -> tuple[core.Ledger, core.Job]:
    """Return a ledger whose one task was sent to agent-1; agent-2 idles."""
    timing = core.Timing(
        agent_suspect_after=SUSPECT_AFTER, agent_lost_after=LOST_AFTER
    )
    ledger = core.Ledger(core.LateBinding(), 0, timing)
    ledger.handle_report(builders.build_report(), builders.NOW)
    job = builders.build_job(ledger)
    job.terms = TERMS
    ledger.submit(job)
    assert len(ledger.assign(builders.NOW, QUOTAS)) == 1
    ledger.handle_report(builders.build_report("agent-2"), builders.NOW)
    return ledger, job


def _pass_time(
    ledger: core.Ledger, silence: datetime.timedelta
) -> datetime.datetime:
    """Let agent-1 be silent while agent-2 reports and the ledger ticks."""
    now = builders.NOW
    while now < builders.NOW + silence:
        now += TICK
        ledger.handle_report(builders.build_report("agent-2"), now)
        for action in ledger.tick(now):
            assert not isinstance(action, core.AnswerJob)
        ledger.assign(now, QUOTAS)
    return now


@pytest.mark.parametrize("milliseconds", [1_200, 1_500, 3_500])
def test_work_of_a_silent_agent_is_neither_run_again_nor_given_up(
    milliseconds: int,
) -> None:
    ledger, job = _dispatch()
    (attempt,) = ledger.attempts
    now = _pass_time(ledger, datetime.timedelta(milliseconds=milliseconds))
    assert list(ledger.attempts) == [attempt]
    assert ledger.attempts[attempt].agent == "agent-1"
    report = core.AttemptReport(attempt, core.Outcome.FINISHED)
    (answer,) = ledger.handle_results(builders.build_results(report), now)
    assert answer.answer.failure is None
    assert answer.job is job


def test_work_of_a_lost_agent_runs_elsewhere_and_its_late_report_is_void() -> (
    None
):
    ledger, job = _dispatch()
    (first,) = ledger.attempts
    now = _pass_time(ledger, LOST_AFTER + 2 * TICK)
    (second,) = ledger.attempts.values()
    assert (second.sequence > first, second.agent) == (True, "agent-2")
    late = core.AttemptReport(first, core.Outcome.FINISHED)
    assert ledger.handle_results(builders.build_results(late), now) == []
    assert not job.results


def test_silent_agent_gets_no_new_task_until_it_reports() -> None:
    ledger, _ = _dispatch()
    now = _pass_time(ledger, SUSPECT_AFTER + TICK)
    for number in range(2, 4):
        ledger.submit(builders.build_job(ledger, job_id=f"job-{number}"))
    sent = ledger.assign(now, QUOTAS)
    assert {action.agent for action in sent} == {"agent-2"}


# Guards against two runs of one task: a dispatch that could not be sent made
# its agent count as silent for longer than it was, and as lost too early.
def test_agent_is_not_lost_sooner_because_a_dispatch_was_not_sent() -> None:
    ledger, job = _dispatch()
    (attempt,) = ledger.attempts
    heard = builders.NOW + 2 * LOST_AFTER
    ledger.handle_report(builders.build_report(own=1), heard)
    _dispatch_unsent(ledger, heard)
    now = heard
    while now < heard + LOST_AFTER:
        now += TICK
        ledger.tick(now)
        assert ledger.attempts[attempt].agent == "agent-1"
    ledger.tick(now + TICK)
    assert job.waiting == {0}


# Guards against a dispatch that is tried again without pause: the agent stayed
# in use for as long as it had work from before.
@pytest.mark.parametrize("seconds", [0, 5])
def test_agent_gets_no_task_after_a_dispatch_was_not_sent_until_heard(
    seconds: int,
) -> None:
    ledger, _ = _dispatch()
    now = builders.NOW + datetime.timedelta(seconds=seconds)
    ledger.handle_report(builders.build_report(own=1), now)
    job = _dispatch_unsent(ledger, now)
    assert ledger.assign(now, QUOTAS) == []
    assert job.waiting == {0}
    ledger.handle_report(builders.build_report(own=1), now)
    (sent,) = ledger.assign(now, QUOTAS)
    assert sent.agent == "agent-1"


def _dispatch_unsent(ledger: core.Ledger, now: datetime.datetime) -> core.Job:
    """Return a job whose task could not be sent to agent-1, the only one."""
    ledger.handle_goodbye(core.Goodbye("agent-2", 1, 1), now)
    job = builders.build_job(ledger, job_id="job-2")
    job.terms = TERMS
    ledger.submit(job)
    (sent,) = ledger.assign(now, QUOTAS)
    assert sent.agent == "agent-1"
    attempts = tuple(order.attempt for order in sent.orders)
    ledger.handle_unsent("agent-1", attempts, now)
    return job
