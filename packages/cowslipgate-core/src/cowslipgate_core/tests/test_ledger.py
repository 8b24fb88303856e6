"""Tests of the ledger's jobs and attempts."""

import datetime

import attrs
import cowslipgate_core as core
from cowslipgate_core.tests import builders
import pytest

QUOTAS = {"hall": 100}


def _dispatch_one(
    ledger: core.Ledger, tasks: int = 1
) -> tuple[core.Job, tuple[core.Order, ...]]:
    ledger.handle_report(builders.build_report(), builders.NOW)
    job = builders.build_job(ledger, tasks)
    ledger.submit(job)
    (action,) = ledger.assign(builders.NOW, QUOTAS)
    return job, action.orders


def test_job_completes_with_results_in_task_order() -> None:
    ledger = core.Ledger(core.LateBinding())
    _, orders = _dispatch_one(ledger, tasks=2)
    index = {order.attempt: order.task.split(".")[1] for order in orders}
    reports = [
        core.AttemptReport(
            order.attempt,
            core.Outcome.FINISHED,
            result=index[order.attempt].encode(),
        )
        for order in reversed(orders)
    ]
    results = builders.build_results(*reports)
    (action,) = ledger.handle_results(results, builders.NOW)
    assert action.answer.results == (b"0", b"1")


@pytest.mark.parametrize(
    ("outcome", "started"),
    [
        (core.Outcome.NOT_STARTED, core.Started.NONE),
        (core.Outcome.STOPPED, core.Started.SOME),
        (core.Outcome.FINISHED, core.Started.SOME),
        (core.Outcome.UNKNOWN, core.Started.UNKNOWN),
    ],
)
def test_answer_of_a_cancelled_job_says_whether_tasks_started(
    outcome: core.Outcome, started: core.Started
) -> None:
    ledger = core.Ledger(core.LateBinding())
    job, orders = _dispatch_one(ledger)
    (withdraw,) = ledger.cancel(job, builders.NOW)
    report = core.AttemptReport(withdraw.attempts[0], outcome)
    results = builders.build_results(report)
    (action,) = ledger.handle_results(results, builders.NOW)
    assert action.answer.started is started


def test_lost_agent_fails_the_job_with_unknown_start() -> None:
    ledger = core.Ledger(core.LateBinding())
    _dispatch_one(ledger)
    actions = ledger.tick(builders.NOW + datetime.timedelta(seconds=25))
    (answer,) = [a for a in actions if isinstance(a, core.AnswerJob)]
    assert answer.answer.failure is core.Failure.AGENT_LOST
    assert answer.answer.started is core.Started.UNKNOWN


def test_refused_attempt_is_sent_again() -> None:
    ledger = core.Ledger(core.LateBinding())
    _, orders = _dispatch_one(ledger)
    report = core.AttemptReport(orders[0].attempt, core.Outcome.NOT_STARTED)
    ledger.handle_results(builders.build_results(report), builders.NOW)
    (action,) = ledger.assign(builders.NOW, QUOTAS)
    assert action.orders[0].attempt > orders[0].attempt


def test_running_attempt_is_never_sent_again() -> None:
    ledger = core.Ledger(core.LateBinding())
    _, orders = _dispatch_one(ledger)
    report = core.AttemptReport(orders[0].attempt, core.Outcome.RUNNING)
    ledger.handle_results(builders.build_results(report), builders.NOW)
    assert ledger.assign(builders.NOW, QUOTAS) == []


def test_results_of_another_agent_incarnation_are_ignored() -> None:
    ledger = core.Ledger(core.LateBinding())
    _, orders = _dispatch_one(ledger)
    report = core.AttemptReport(orders[0].attempt, core.Outcome.FINISHED)
    results = builders.build_results(report, incarnation=2)
    assert ledger.handle_results(results, builders.NOW) == []
    assert ledger.counters.unmatched == 1


def test_outcomes_for_an_earlier_entry_incarnation_are_ignored() -> None:
    ledger = core.Ledger(core.LateBinding(), incarnation=8)
    _, orders = _dispatch_one(ledger)
    report = core.AttemptReport(orders[0].attempt, core.Outcome.FINISHED)
    results = attrs.evolve(builders.build_results(report), entry=7)
    assert ledger.handle_results(results, builders.NOW) == []
    assert ledger.counters.unmatched == 1


def test_attempt_whose_target_call_failed_is_sent_again() -> None:
    ledger = core.Ledger(core.LateBinding())
    _, orders = _dispatch_one(ledger)
    attempt = orders[0].attempt
    for outcome in (core.Outcome.RUNNING, core.Outcome.NOT_STARTED):
        report = core.AttemptReport(attempt, outcome)
        ledger.handle_results(builders.build_results(report), builders.NOW)
    (action,) = ledger.assign(builders.NOW, QUOTAS)
    assert action.orders[0].attempt > attempt


def test_cancelling_many_jobs_sends_one_message_to_each_agent() -> None:
    ledger = core.Ledger(core.LateBinding())
    ledger.handle_report(builders.build_report(slots=100), builders.NOW)
    jobs = [builders.build_job(ledger, job_id=f"j-{n}") for n in range(50)]
    for job in jobs:
        ledger.submit(job)
    ledger.assign(builders.NOW, QUOTAS)
    (action,) = ledger.cancel_all(jobs, builders.NOW)
    assert len(action.attempts) == len(jobs)


@pytest.mark.parametrize(
    ("reason", "sends"),
    [
        (core.Reason.BUSY, 0),
        (core.Reason.NOT_SERVING, 0),
        (core.Reason.STALE_CONFIGURATION, 1),
        (core.Reason.WITHDRAWN, 1),
    ],
)
def test_some_refusals_hold_the_agent_until_its_next_report(
    reason: core.Reason, sends: int
) -> None:
    ledger = core.Ledger(core.LateBinding())
    _, orders = _dispatch_one(ledger)
    report = core.AttemptReport(
        orders[0].attempt, core.Outcome.NOT_STARTED, reason
    )
    ledger.handle_results(builders.build_results(report), builders.NOW)
    assert len(ledger.assign(builders.NOW, QUOTAS)) == sends
    ledger.handle_report(builders.build_report(), builders.NOW)
    assert len(ledger.assign(builders.NOW, QUOTAS)) == 1 - sends


@pytest.mark.parametrize(("held", "inquiries"), [(1, 0), (0, 1)])
def test_inquiries_cover_only_attempts_missing_from_the_load(
    held: int, inquiries: int
) -> None:
    ledger = core.Ledger(core.LateBinding())
    _dispatch_one(ledger)
    later = builders.NOW + datetime.timedelta(seconds=3)
    report = builders.build_report(own=held)
    ledger.handle_report(report, later)
    assert len(ledger.tick(later)) == inquiries


def test_attempts_in_the_load_are_inquired_about_after_longer() -> None:
    ledger = core.Ledger(core.LateBinding())
    _dispatch_one(ledger)
    later = builders.NOW + datetime.timedelta(seconds=16)
    ledger.handle_report(builders.build_report(own=1), later)
    assert len(ledger.tick(later)) == 1


def test_job_with_running_long_tasks_does_not_go_first() -> None:
    ledger = core.Ledger(core.LateBinding())
    ledger.handle_report(builders.build_report(slots=4), builders.NOW)
    first = builders.build_job(ledger, 5, "job-long")
    ledger.submit(first)
    ledger.assign(builders.NOW, QUOTAS)
    second = builders.build_job(ledger, 2, "job-short")
    ledger.submit(second)
    ledger.handle_report(builders.build_report(slots=5), builders.NOW)
    (action,) = ledger.assign(builders.NOW, QUOTAS)
    assert action.orders[0].task.startswith("job-short")


def test_target_with_overdue_tasks_is_not_chosen() -> None:
    ledger = core.Ledger(core.LateBinding())
    for agent in ("agent-1", "agent-2"):
        ledger.handle_report(builders.build_report(agent), builders.NOW)
    ledger.submit(builders.build_job(ledger))
    (first,) = ledger.assign(builders.NOW, QUOTAS)
    later = builders.NOW + datetime.timedelta(seconds=4)
    ledger.submit(builders.build_job(ledger, job_id="job-2"))
    (second,) = ledger.assign(later, QUOTAS)
    assert second.agent != first.agent


# Guards against a run that its caller no longer waits for: after a pause a
# target was free before the ledger's tick had looked at the deadlines.
def test_task_is_not_sent_once_the_deadline_of_its_job_has_passed() -> None:
    ledger = core.Ledger(core.LateBinding())
    job = builders.build_job(ledger)
    ledger.submit(job)
    ledger.handle_report(builders.build_report(), job.deadline)
    (action,) = ledger.assign(job.deadline, QUOTAS)
    assert isinstance(action, core.AnswerJob)
    assert action.answer.failure is core.Failure.OVERLOADED
    assert action.answer.started is core.Started.NONE
    assert not ledger.jobs
