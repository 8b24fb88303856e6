"""Jobs that can no longer be done before their deadline.

Pattern: after a loss of power one target is back and full, and more jobs wait
for it than it can do in time.
"""

import datetime

import attrs
import cowslipgate_core as core
from cowslipgate_core.tests import builders
import pytest

QUOTAS = {"hall": 100}
RUN_MS = 400
DEADLINE = datetime.timedelta(seconds=2)
LEARNED_RUNS = 20


def _build_ledger(learned_runs: int) -> core.Ledger:
    """Return a ledger with one target, after some finished tasks."""
    ledger = core.Ledger(core.Matching())
    ledger.handle_report(builders.build_report(slots=1), builders.NOW)
    for number in range(learned_runs):
        _submit(ledger, f"earlier-{number}")
        (action,) = ledger.assign(builders.NOW, QUOTAS)
        (order,) = action.orders
        report = core.AttemptReport(
            order.attempt, core.Outcome.FINISHED, result=b"1", run_ms=RUN_MS
        )
        ledger.handle_results(_build_results(report), builders.NOW)
    return ledger


def _build_results(report: core.AttemptReport) -> core.Results:
    return attrs.evolve(
        builders.build_results(report), load=core.Load(1, 0, 0)
    )


def _submit(ledger: core.Ledger, name: str) -> core.Job:
    job = attrs.evolve(
        builders.build_job(ledger, job_id=name),
        deadline=builders.NOW + DEADLINE,
    )
    ledger.submit(job)
    return job


def _list_answers(
    ledger: core.Ledger, left_ms: int
) -> list[tuple[str, core.Failure | None, core.Started]]:
    """Return the jobs answered when they have ``left_ms`` left."""
    now = builders.NOW + DEADLINE
    now -= datetime.timedelta(milliseconds=left_ms)
    return [
        (action.job.id, action.answer.failure, action.answer.started)
        for action in ledger.tick(now)
        if isinstance(action, core.AnswerJob)
    ]


@pytest.mark.parametrize(
    ("left_ms", "refused"),
    [
        pytest.param(1_000, False, id="time enough"),
        pytest.param(250, False, id="a short run may still end"),
        pytest.param(150, True, id="less than half of a run"),
        pytest.param(1, True, id="at the last moment"),
    ],
)
def test_waiting_job_is_refused_once_it_cannot_end_in_time(
    left_ms: int, refused: bool
) -> None:
    ledger = _build_ledger(LEARNED_RUNS)
    _submit(ledger, "running")
    ledger.assign(builders.NOW, QUOTAS)
    _submit(ledger, "waiting")
    answers = _list_answers(ledger, left_ms)
    expected = ("waiting", core.Failure.OVERLOADED, core.Started.NONE)
    assert answers == ([expected] if refused else [])


def test_declared_size_alone_refuses_no_job() -> None:
    ledger = _build_ledger(learned_runs=0)
    _submit(ledger, "running")
    ledger.assign(builders.NOW, QUOTAS)
    _submit(ledger, "waiting")
    assert _list_answers(ledger, left_ms=1) == []


def test_job_is_kept_while_no_target_is_known() -> None:
    ledger = core.Ledger(core.Matching())
    _submit(ledger, "waiting")
    assert _list_answers(ledger, left_ms=1) == []


def test_job_whose_task_may_have_run_is_kept_until_its_deadline() -> None:
    ledger = _build_ledger(LEARNED_RUNS)
    _submit(ledger, "running")
    ((action,),) = (ledger.assign(builders.NOW, QUOTAS),)
    (order,) = action.orders
    report = core.AttemptReport(order.attempt, core.Outcome.UNKNOWN)
    ledger.handle_results(_build_results(report), builders.NOW)
    assert _list_answers(ledger, left_ms=1) == []
