"""Tests of jobs whose answer would come too late to be of any use.

A burst on all routes leaves a backlog that outlives three objectives of the
most urgent route, while callers wait for longer than that.
"""

import datetime

import cowslipgate_core as core
from cowslipgate_core.tests import builders
import pytest

NEEDS = core.Resources(0, 0, 1_000)
OBJECTIVE = datetime.timedelta(milliseconds=60)
FACTOR = 3.0


def _build_job(
    name: str, waited_ms: int, priority: int = 0, factor: float = FACTOR
) -> core.WaitingJob:
    """Return a job of 100 ms, due after 220 ms and useful for 660 ms."""
    task = core.WaitingTask(name, 0, 0.1, NEEDS, 0.1)
    terms = core.JobTerms(
        priority=priority,
        objective=OBJECTIVE,
        slowdown=1.6,
        latest_factor=factor,
    )
    submitted_at = builders.NOW - datetime.timedelta(milliseconds=waited_ms)
    return core.WaitingJob(name, "hall", submitted_at, [task], terms=terms)


def _sort(*jobs: core.WaitingJob) -> list[str]:
    ordered = list(jobs)
    view = core.TargetView("agent-1", NEEDS, 1, 0, 1.0)
    core.sort_jobs(ordered, core.Pool([view]), builders.NOW)
    return [job.job for job in ordered]


# Urgent jobs that nobody can use any more kept late ones, which callers still
# can use, from running.
def test_useful_jobs_go_before_those_of_no_use() -> None:
    useless = _build_job("useless", 600)
    late = _build_job("late", 400, priority=2)
    timely = _build_job("timely", 0, priority=2)
    assert _sort(useless, late, timely) == ["timely", "late", "useless"]


def test_without_a_limit_late_jobs_keep_their_order() -> None:
    first = _build_job("first", 600, factor=0.0)
    second = _build_job("second", 400, priority=2, factor=0.0)
    assert _sort(second, first) == ["first", "second"]


# Callers were told after seconds what was known much earlier, and the work
# that nobody could use took the room of others.
@pytest.mark.parametrize(
    ("factor", "waited_ms", "refused"),
    [
        (FACTOR, 400, False),
        (FACTOR, 700, True),
        (0.0, 700, False),
    ],
)
def test_job_of_no_use_is_refused_as_not_run(
    factor: float, waited_ms: int, refused: bool
) -> None:
    ledger = core.Ledger(core.Matching())
    ledger.handle_report(builders.build_report("agent-1"), builders.NOW)
    for _ in range(50):
        ledger.estimates.observe("agent-1", "hall", "", 100.0, 100.0)
    job = builders.build_job(ledger)
    job.terms = core.JobTerms(
        objective=OBJECTIVE, slowdown=1.6, latest_factor=factor
    )
    ledger.submit(job)
    waited = datetime.timedelta(milliseconds=waited_ms)
    answers = [
        action.answer
        for action in ledger.tick(builders.NOW + waited)
        if isinstance(action, core.AnswerJob)
    ]
    assert [answer.failure for answer in answers] == (
        [core.Failure.OVERLOADED] if refused else []
    )
    assert all(answer.started is core.Started.NONE for answer in answers)
