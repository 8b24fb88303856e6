"""Tests of the attempts that an agent holds."""

import datetime

import cowslipgate_core as core
from cowslipgate_core.tests import builders

NOW = builders.NOW


def _get_reports(
    actions: list[core.ExecutorAction],
) -> list[tuple[core.Outcome, core.Reason]]:
    return [
        (report.outcome, report.reason)
        for action in actions
        if isinstance(action, core.SendReports)
        for report in action.reports
    ]


def _count_starts(actions: list[core.ExecutorAction]) -> int:
    return sum(isinstance(action, core.StartTask) for action in actions)


def test_repeated_dispatch_starts_once() -> None:
    executor = builders.build_executor()
    dispatch = builders.build_dispatch(builders.build_order(1))
    first = executor.dispatch(dispatch, NOW)
    second = executor.dispatch(dispatch, NOW)
    assert (_count_starts(first), _count_starts(second)) == (1, 0)


def test_withdrawn_attempt_is_fenced_before_it_arrives() -> None:
    executor = builders.build_executor()
    withdraw = core.Withdraw(7, 1, (1,), stop=False)
    assert _get_reports(executor.withdraw(withdraw, NOW)) == [
        (core.Outcome.NOT_STARTED, core.Reason.WITHDRAWN)
    ]
    dispatch = builders.build_dispatch(builders.build_order(1))
    assert _count_starts(executor.dispatch(dispatch, NOW)) == 0


def test_withdrawal_for_another_incarnation_is_not_answered() -> None:
    executor = builders.build_executor()
    withdraw = core.Withdraw(7, 2, (1,), stop=False)
    assert executor.withdraw(withdraw, NOW) == []


def test_full_agent_refuses() -> None:
    executor = builders.build_executor(slots=1, queue_limit=1)
    orders = [builders.build_order(n) for n in (1, 2, 3)]
    actions = executor.dispatch(builders.build_dispatch(*orders), NOW)
    assert _get_reports(actions) == [
        (core.Outcome.NOT_STARTED, core.Reason.BUSY)
    ]


def test_dispatch_under_an_older_configuration_is_refused() -> None:
    executor = builders.build_executor()
    executor.hear_beat(core.Beat(8, 5, ()))
    dispatch = builders.build_dispatch(builders.build_order(1), version=4)
    assert _get_reports(executor.dispatch(dispatch, NOW)) == [
        (core.Outcome.NOT_STARTED, core.Reason.STALE_CONFIGURATION)
    ]


def test_leaving_target_refuses() -> None:
    executor = builders.build_executor()
    executor.leave(NOW)
    dispatch = builders.build_dispatch(builders.build_order(1))
    assert _get_reports(executor.dispatch(dispatch, NOW)) == [
        (core.Outcome.NOT_STARTED, core.Reason.NOT_SERVING)
    ]


def test_outcome_is_sent_until_acknowledged() -> None:
    executor = builders.build_executor()
    dispatch = builders.build_dispatch(builders.build_order(1))
    executor.dispatch(dispatch, NOW)
    report = core.AttemptReport(1, core.Outcome.FINISHED)
    executor.end_task(core.AttemptKey(7, 1), report, NOW)
    lapse = datetime.timedelta(minutes=1)
    later = NOW + datetime.timedelta(seconds=2)
    assert len(_get_reports(executor.tick(later, lapse))) == 1
    executor.acknowledge(7, (1,))
    latest = NOW + datetime.timedelta(seconds=4)
    assert _get_reports(executor.tick(latest, lapse)) == []


def test_forgotten_attempt_is_not_started_again() -> None:
    executor = builders.build_executor(slots=0)
    for attempt in range(1, 6000):
        order = builders.build_order(attempt)
        executor.dispatch(builders.build_dispatch(order), NOW)
        executor.acknowledge(7, (attempt,))
    announcement = core.Announcement("print", "http://127.0.0.1:1", 2, 64)
    executor.announce(announcement, NOW)
    dispatch = builders.build_dispatch(builders.build_order(1))
    assert _get_reports(executor.dispatch(dispatch, NOW)) == [
        (core.Outcome.UNKNOWN, core.Reason.FORGOTTEN)
    ]
