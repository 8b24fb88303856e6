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
