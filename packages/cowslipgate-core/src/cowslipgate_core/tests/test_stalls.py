"""Tests of stalled runs while other targets have room.

The fault: tasks on one target make no progress although it answers health
checks; the tasks of other targets proceed.
"""

import datetime

import cowslipgate_core as core
from cowslipgate_core.execution import _health
from cowslipgate_core.tests import builders
import pytest

QUOTAS = {"hall": 100}
TERMS = core.JobTerms(rerun_lost=True)
DECLARED = datetime.timedelta(milliseconds=100)
LATE = builders.NOW + 30 * DECLARED
TARGET_LAPSE = datetime.timedelta(minutes=1)


def _send(
    terms: core.JobTerms = TERMS, agents: int = 2
) -> tuple[core.Ledger, core.Attempt]:
    """Return a ledger and its one running attempt."""
    ledger = core.Ledger(core.LateBinding())
    for number in range(agents):
        report = builders.build_report(f"agent-{number}", slots=1)
        ledger.handle_report(report, builders.NOW)
    job = builders.build_job(ledger)
    job.terms = terms
    ledger.submit(job)
    ledger.assign(builders.NOW, QUOTAS)
    (attempt,) = job.active.values()
    return ledger, attempt


def _tick(ledger: core.Ledger, now: datetime.datetime) -> list:
    for name in ledger.agents:
        ledger.handle_report(builders.build_report(name, slots=1), now)
    return [
        action
        for action in ledger.tick(now)
        if isinstance(action, core.SendWithdraw) and action.stop
    ]


def test_stalled_run_is_stopped_and_its_task_runs_elsewhere() -> None:
    ledger, attempt = _send()
    (withdraw,) = _tick(ledger, LATE)
    assert (withdraw.agent, withdraw.stalled) == (attempt.agent, True)
    assert withdraw.attempts == (attempt.sequence,)
    report = core.AttemptReport(attempt.sequence, core.Outcome.STOPPED)
    results = builders.build_results(report, agent=attempt.agent)
    # Its target is not used before it has reported its load again.
    ledger.handle_results(results, LATE)
    assert attempt.job.waiting == {0}
    assert ledger.counters.stalled == 1


@pytest.mark.parametrize(
    ("terms", "milliseconds", "agents"),
    [
        # A run that may not be repeated is not stopped.
        (core.DEFAULT_TERMS, 3_000, 2),
        # Nor is one below the least stall time, or with no other target.
        (TERMS, 290, 2),
        (TERMS, 3_000, 1),
    ],
)
def test_run_is_not_stopped(
    terms: core.JobTerms, milliseconds: int, agents: int
) -> None:
    ledger, _ = _send(terms, agents)
    later = builders.NOW + datetime.timedelta(milliseconds=milliseconds)
    assert _tick(ledger, later) == []


def test_stop_of_a_stalled_run_is_resent_once_a_second() -> None:
    ledger, _ = _send()
    assert len(_tick(ledger, LATE)) == 1
    assert _tick(ledger, LATE + 5 * DECLARED) == []
    assert len(_tick(ledger, LATE + 11 * DECLARED)) == 1


def _stall(executor: core.Executor, jobs: int, stalled: bool) -> None:
    """Start one task of each of ``jobs`` jobs and stop it."""
    for number in range(1, jobs + 1):
        order = builders.build_order(number, f"job-{number}")
        executor.dispatch(builders.build_dispatch(order), builders.NOW)
        key = core.AttemptKey(7, number)
        withdraw = core.Withdraw(7, 1, (number,), True, stalled)
        executor.withdraw(withdraw, builders.NOW)
        stopped = core.AttemptReport(
            number, core.Outcome.STOPPED, core.Reason.WITHDRAWN
        )
        executor.end_task(key, stopped, builders.NOW)


@pytest.mark.parametrize(
    ("jobs", "stalled", "state"),
    [
        (_health.JOBS_TO_QUARANTINE, True, "quarantined"),
        (_health.JOBS_TO_QUARANTINE - 1, True, "serving"),
        (_health.JOBS_TO_QUARANTINE, False, "serving"),
    ],
)
def test_target_that_stalls_many_jobs_is_quarantined(
    jobs: int, stalled: bool, state: str
) -> None:
    executor = builders.build_executor()
    _stall(executor, jobs, stalled)
    assert executor.state == state


def test_target_that_stalled_gets_one_trial_task() -> None:
    executor = builders.build_executor(slots=8)
    _stall(executor, _health.JOBS_TO_QUARANTINE, True)
    assert executor.slots == 0
    later = builders.NOW + _health.FIRST_QUARANTINE
    executor.tick(later, TARGET_LAPSE)
    assert (executor.state, executor.slots) == ("probation", 1)
