"""Tests of speculative copies: a target stalls while others have room."""

import datetime
import random

import cowslipgate_core as core
from cowslipgate_core.tests import builders
import pytest

QUOTAS = {"hall": 100}
TERMS = core.JobTerms(rerun_lost=True, copies=True)
DECLARED = datetime.timedelta(milliseconds=100)
OVERDUE_AT = builders.NOW + 20 * DECLARED


def _send_job(
    terms: core.JobTerms, tasks: int = 1, slots: int = 1, agents: int = 2
) -> tuple[core.Ledger, core.Job]:
    """Return a job and the ledger that has sent its tasks to agents."""
    ledger = core.Ledger(core.LateBinding())
    for number in range(agents):
        report = builders.build_report(f"agent-{number}", slots=slots)
        ledger.handle_report(report, builders.NOW)
    job = builders.build_job(ledger, tasks)
    job.terms = terms
    ledger.submit(job)
    ledger.assign(builders.NOW, QUOTAS)
    return ledger, job


def _send_copies(
    ledger: core.Ledger, now: datetime.datetime = OVERDUE_AT
) -> list[core.SendOrders]:
    for name, record in ledger.agents.items():
        report = builders.build_report(name, slots=record.load.slots)
        ledger.handle_report(report, now)
    return ledger.assign(now, QUOTAS)


def _end_attempt(
    ledger: core.Ledger, attempt: core.Attempt, outcome: core.Outcome
) -> list[core.LedgerAction]:
    report = core.AttemptReport(attempt.sequence, outcome, result=b"1")
    results = builders.build_results(report, agent=attempt.agent)
    return ledger.handle_results(results, OVERDUE_AT)


def test_straggler_gets_one_copy_on_another_target() -> None:
    ledger, job = _send_job(TERMS, agents=3)
    assert len(_send_copies(ledger)) == 1
    first, second = job.active.values()
    assert first.agent != second.agent
    assert first.index == second.index
    assert second.run > first.run
    assert _send_copies(ledger) == []


@pytest.mark.parametrize(
    ("terms", "now", "agents"),
    [
        (core.JobTerms(rerun_lost=True), OVERDUE_AT, 2),
        (TERMS, builders.NOW + DECLARED, 2),
        (TERMS, OVERDUE_AT, 1),
    ],
)
def test_no_copy_unless_allowed_overdue_and_another_target_is_free(
    terms: core.JobTerms, now: datetime.datetime, agents: int
) -> None:
    ledger, _ = _send_job(terms, agents=agents)
    assert _send_copies(ledger, now) == []


def test_waiting_tasks_go_before_copies() -> None:
    ledger, job = _send_job(TERMS, tasks=2, agents=1)
    assert job.waiting
    ledger.handle_report(builders.build_report("agent-9", slots=1), OVERDUE_AT)
    (action,) = _send_copies(ledger)
    assert [order.task for order in action.orders] == [
        a.task_id for a in job.active.values() if a.agent == "agent-9"
    ]
    assert not job.waiting
    assert len({attempt.index for attempt in job.active.values()}) == 2


def test_first_finished_run_counts_and_the_other_is_stopped() -> None:
    ledger, job = _send_job(TERMS)
    _send_copies(ledger)
    first, second = job.active.values()
    withdraw, answer = _end_attempt(ledger, second, core.Outcome.FINISHED)
    assert withdraw.attempts == (first.sequence,)
    assert withdraw.stop
    assert answer.answer.results == (b"1",)
    assert _end_attempt(ledger, first, core.Outcome.STOPPED) == []
    assert not ledger.attempts


@pytest.mark.parametrize(
    "outcome",
    [
        core.Outcome.STOPPED,
        core.Outcome.LOST,
        core.Outcome.FAILED,
        core.Outcome.NOT_STARTED,
        core.Outcome.UNKNOWN,
    ],
)
@pytest.mark.parametrize("ended_run", [0, 1])
@pytest.mark.parametrize("rerun_lost", [True, False])
def test_task_is_not_queued_again_while_its_other_run_continues(
    outcome: core.Outcome, ended_run: int, rerun_lost: bool
) -> None:
    terms = core.JobTerms(attempts=4, rerun_lost=rerun_lost, copies=True)
    ledger, job = _send_job(terms)
    _send_copies(ledger)
    runs = list(job.active.values())
    assert _end_attempt(ledger, runs[ended_run], outcome) == []
    assert not job.waiting
    (answer,) = _end_attempt(
        ledger, runs[1 - ended_run], core.Outcome.FINISHED
    )
    assert answer.answer.failure is None


def test_each_failed_run_counts_towards_the_allowed_attempts() -> None:
    ledger, job = _send_job(core.JobTerms(attempts=2, copies=True))
    _send_copies(ledger)
    first, second = job.active.values()
    assert _end_attempt(ledger, first, core.Outcome.FAILED) == []
    actions = _end_attempt(ledger, second, core.Outcome.FAILED)
    assert actions[-1].answer.failure is core.Failure.TASK_FAILED


@pytest.mark.parametrize("seed", range(20))
def test_any_order_of_outcomes_gives_one_complete_answer(seed: int) -> None:
    rng = random.Random(seed)
    terms = core.JobTerms(attempts=50, rerun_lost=True, copies=True)
    ledger, job = _send_job(terms, tasks=6, slots=3, agents=4)
    # Long enough for any order, since each step takes 20 times a run.
    job.deadline = OVERDUE_AT + datetime.timedelta(days=1)
    answers: list[core.JobAnswer] = []
    now = OVERDUE_AT
    outcomes = [
        core.Outcome.FINISHED,
        core.Outcome.LOST,
        core.Outcome.NOT_STARTED,
        core.Outcome.STOPPED,
    ]
    while ledger.attempts or not answers:
        _send_copies(ledger, now)
        now += 20 * DECLARED
        by_index: dict[int, int] = {}
        for attempt in ledger.attempts.values():
            by_index[attempt.index] = by_index.get(attempt.index, 0) + 1
        assert all(count <= 2 for count in by_index.values())
        attempt = rng.choice(list(ledger.attempts.values()))
        actions = _end_attempt(ledger, attempt, rng.choice(outcomes))
        answers += [
            action.answer
            for action in actions
            if isinstance(action, core.AnswerJob)
        ]
    (answer,) = answers
    assert answer.results == (b"1",) * 6
    assert ledger.count_active() == {}
    assert not ledger.has_assignable_tasks
