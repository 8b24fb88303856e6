"""Tests of orders for tasks that the agent's target still runs.

Pattern: an agent stands still with a run, its entry is gone, and the caller
sends the job again to another entry, whose order comes to the same agent.
"""

import attrs
import cowslipgate_core as core
from cowslipgate_core.tests import builders
from cowslipgate_core.tests import run_builders
import pytest

NOW = builders.NOW
FIRST = core.AttemptKey(7, 1)
"""The attempt that runs."""

SECOND_ENTRY = 8
ATTEMPT = 5
"""Number of the second attempt at its entry."""

SECOND = core.AttemptKey(SECOND_ENTRY, ATTEMPT)
LATER = run_builders.build_order(ATTEMPT, 11)
EARLIER = run_builders.build_order(ATTEMPT, 9)
STOPPED = core.AttemptReport(
    FIRST.attempt, core.Outcome.STOPPED, core.Reason.WITHDRAWN
)


@pytest.fixture
def executor() -> core.Executor:
    """Return an executor that runs a task for the first entry."""
    executor = builders.build_executor(queue_limit=0)
    order = run_builders.build_order(FIRST.attempt, 10)
    executor.dispatch(builders.build_dispatch(order), NOW)
    assert set(executor.running) == {FIRST}
    return executor


def _order(
    executor: core.Executor, order: core.Order = LATER
) -> list[core.ExecutorAction]:
    """Let the second entry order the task as well."""
    dispatch = attrs.evolve(builders.build_dispatch(order), entry=SECOND_ENTRY)
    return executor.dispatch(dispatch, NOW)


def _withdraw(executor: core.Executor) -> list[core.ExecutorAction]:
    withdraw = core.Withdraw(SECOND_ENTRY, 1, (ATTEMPT,), False)
    return executor.withdraw(withdraw, NOW)


def _list_stopped(actions: list[core.ExecutorAction]) -> list[core.AttemptKey]:
    return [a.key for a in actions if isinstance(a, core.StopTask)]


def _list_outcomes(
    actions: list[core.ExecutorAction],
) -> dict[core.AttemptKey, core.Outcome]:
    return {
        core.AttemptKey(action.entry, report.attempt): report.outcome
        for action in actions
        if isinstance(action, core.SendReports)
        for report in action.reports
    }


def _end(
    executor: core.Executor, report: core.AttemptReport = STOPPED
) -> dict[core.AttemptKey, core.Outcome]:
    return _list_outcomes(executor.end_task(FIRST, report, NOW))


# Guards against a refusal that lets a task start elsewhere beside its run.
def test_refusal_leaves_once_the_earlier_run_has_ended(
    executor: core.Executor,
) -> None:
    actions = _order(executor)
    assert _list_stopped(actions) == [FIRST]
    assert _list_outcomes(actions) == {}
    assert _end(executor) == {
        FIRST: core.Outcome.STOPPED,
        SECOND: core.Outcome.NOT_STARTED,
    }


# Guards against a second run on the same target, which has room for it.
def test_order_starts_nothing_beside_the_earlier_run(
    executor: core.Executor,
) -> None:
    _order(executor)
    assert set(executor.running) == {FIRST}


# Guards against an order that is withdrawn while it waits for a newer sign:
# the withdrawal says nothing about its task.
def test_refusal_of_a_waiting_order_leaves_once_the_earlier_run_has_ended(
    executor: core.Executor,
) -> None:
    stops = executor.supersede_runs(SECOND_ENTRY, (LATER,))
    assert _list_stopped(stops) == [FIRST]
    assert _list_outcomes(_withdraw(executor)) == {}
    assert _end(executor)[SECOND] is core.Outcome.NOT_STARTED


def test_waiting_order_starts_here_after_the_earlier_run(
    executor: core.Executor,
) -> None:
    executor.supersede_runs(SECOND_ENTRY, (LATER,))
    assert SECOND not in _end(executor)
    _order(executor)
    assert set(executor.running) == {SECOND}


def test_order_that_comes_twice_is_refused_once(
    executor: core.Executor,
) -> None:
    _order(executor)
    actions = _order(executor) + _withdraw(executor)
    assert _list_stopped(actions) == []
    assert _list_outcomes(actions) == {}
    assert _end(executor)[SECOND] is core.Outcome.NOT_STARTED


# Guards against a late order that stops the run of the newer submission.
def test_order_with_a_lower_number_stops_nothing(
    executor: core.Executor,
) -> None:
    actions = _order(executor, EARLIER)
    assert _list_stopped(actions) == []
    assert _list_outcomes(actions) == {}
    assert set(executor.running) == {FIRST}
    done = core.AttemptReport(FIRST.attempt, core.Outcome.FINISHED)
    assert _end(executor, done) == {
        FIRST: core.Outcome.FINISHED,
        SECOND: core.Outcome.NOT_STARTED,
    }


def test_run_that_is_being_stopped_is_waited_for_as_well(
    executor: core.Executor,
) -> None:
    assert _list_stopped(executor.drop_entry(FIRST.entry, NOW)) == [FIRST]
    actions = _order(executor)
    assert _list_stopped(actions) == []
    assert _list_outcomes(actions) == {}
    assert _end(executor)[SECOND] is core.Outcome.NOT_STARTED


def test_draining_agent_sends_the_refusal_before_it_ends(
    executor: core.Executor,
) -> None:
    executor.leave(NOW)
    assert _list_outcomes(_order(executor)) == {}
    assert not executor.idle
    assert _end(executor)[SECOND] is core.Outcome.NOT_STARTED
    assert not executor.idle
    for key in (FIRST, SECOND):
        executor.acknowledge(key.entry, (key.attempt,))
    assert executor.idle


@pytest.mark.parametrize("name", ["", "a.0.0.1"])
def test_order_for_another_task_or_without_a_name_stops_nothing(
    executor: core.Executor, name: str
) -> None:
    actions = _order(executor, attrs.evolve(LATER, name=name))
    assert _list_stopped(actions) == []
    assert set(executor.running) == {FIRST, SECOND}
