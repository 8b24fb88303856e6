"""Tests of the unacknowledged outcomes of an agent."""

import datetime

import cowslipgate_core as core
from cowslipgate_core.execution import _outcomes
from cowslipgate_core.tests import builders

NOW = builders.NOW
MEMBER_EXPIRES_AFTER = datetime.timedelta(minutes=5)


def _finish(executor: core.Executor, attempt: int, result: bytes) -> None:
    order = builders.build_order(attempt)
    executor.dispatch(builders.build_dispatch(order), NOW)
    report = core.AttemptReport(attempt, core.Outcome.FINISHED, result=result)
    executor.end_task(core.AttemptKey(7, attempt), report, NOW)


def _tick(executor: core.Executor, seconds: int) -> list:
    actions = []
    for second in range(seconds):
        later = NOW + datetime.timedelta(seconds=second)
        actions.extend(executor.tick(later, MEMBER_EXPIRES_AFTER))
    return actions


def test_outcome_for_a_dropped_entry_is_forgotten() -> None:
    executor = builders.build_executor()
    _finish(executor, 1, b"1")
    executor.drop_entry(7, NOW)
    _tick(executor, 10)
    assert executor.idle


def test_connection_without_a_message_does_not_restore_an_entry() -> None:
    executor = builders.build_executor()
    _finish(executor, 1, b"1")
    executor.drop_entry(7, NOW)
    executor.connect(7)
    _tick(executor, 10)
    assert executor.idle


def test_outcome_never_acknowledged_is_forgotten() -> None:
    executor = builders.build_executor()
    _finish(executor, 1, b"1")
    _tick(executor, 65)
    assert executor.idle


def test_outcome_is_sent_again_with_backoff() -> None:
    executor = builders.build_executor()
    _finish(executor, 1, b"1")
    assert len(_tick(executor, 30)) == 4


def test_work_is_refused_while_results_fill_the_memory() -> None:
    executor = builders.build_executor()
    _finish(executor, 1, bytes(core.MAX_KEPT_BYTES))
    order = builders.build_order(2)
    (action,) = executor.dispatch(builders.build_dispatch(order), NOW)
    assert action.reports[0].reason is core.Reason.BUSY


def test_refusals_kept_are_bounded() -> None:
    executor = builders.build_executor(slots=0)
    for attempt in range(1, 2 * core.MAX_UNACKNOWLEDGED, 1_000):
        orders = [
            builders.build_order(n) for n in range(attempt, attempt + 1_000)
        ]
        executor.dispatch(builders.build_dispatch(*orders), NOW)
    assert executor.counters.dropped == core.MAX_UNACKNOWLEDGED


def test_outcomes_are_sent_again_in_batches() -> None:
    outcomes = _outcomes.Outcomes()
    for attempt in range(1_000):
        report = core.AttemptReport(attempt, core.Outcome.FINISHED)
        outcomes.keep(7, report, NOW)
    later = NOW + datetime.timedelta(seconds=2)
    sizes = [len(outcomes.resend(later)[0].reports) for _ in range(4)]
    assert sizes == [256, 256, 256, 232]
