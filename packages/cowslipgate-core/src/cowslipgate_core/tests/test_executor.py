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
    executor.handle_beat(core.Beat(8, 5, ()))
    dispatch = builders.build_dispatch(builders.build_order(1), version=4)
    assert _get_reports(executor.dispatch(dispatch, NOW)) == [
        (core.Outcome.NOT_STARTED, core.Reason.STALE_CONFIGURATION)
    ]


def test_unreachable_target_refuses_its_queue_at_once() -> None:
    executor = builders.build_executor(slots=1, queue_limit=1)
    orders = [builders.build_order(n) for n in (1, 2)]
    executor.dispatch(builders.build_dispatch(*orders), NOW)
    report = core.AttemptReport(
        1, core.Outcome.NOT_STARTED, core.Reason.TARGET_UNREACHABLE
    )
    actions = executor.end_task(core.AttemptKey(7, 1), report, NOW)
    assert (executor.state, executor.slots) == ("unreachable", 0)
    assert _get_reports(actions) == [
        (core.Outcome.NOT_STARTED, core.Reason.TARGET_UNREACHABLE),
        (core.Outcome.NOT_STARTED, core.Reason.NOT_SERVING),
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
    lapse_after = datetime.timedelta(minutes=1)
    later = NOW + datetime.timedelta(seconds=2)
    assert len(_get_reports(executor.tick(later, lapse_after))) == 1
    executor.acknowledge(7, (1,))
    latest = NOW + datetime.timedelta(seconds=4)
    assert _get_reports(executor.tick(latest, lapse_after)) == []


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


def test_old_link_is_refused_after_a_new_connection() -> None:
    executor = builders.build_executor()
    executor.connect(7)
    dispatch = builders.build_dispatch(builders.build_order(1))
    assert _get_reports(executor.dispatch(dispatch, NOW)) == [
        (core.Outcome.NOT_STARTED, core.Reason.STALE_LINK)
    ]


def test_paused_agent_refuses_its_queue() -> None:
    executor = builders.build_executor(slots=1, queue_limit=1)
    orders = [builders.build_order(n) for n in (1, 2)]
    executor.dispatch(builders.build_dispatch(*orders), NOW)
    later = NOW + core.ENTRY_LOST_AFTER / 2
    report = core.AttemptReport(1, core.Outcome.FINISHED)
    actions = executor.end_task(core.AttemptKey(7, 1), report, later)
    assert _count_starts(actions) == 0
    assert sorted(_get_reports(actions)) == [
        (core.Outcome.FINISHED, core.Reason.NONE),
        (core.Outcome.NOT_STARTED, core.Reason.WITHDRAWN),
    ]


def test_agent_paused_for_long_stops_running_tasks() -> None:
    executor = builders.build_executor()
    executor.dispatch(builders.build_dispatch(builders.build_order(1)), NOW)
    later = NOW + 2 * core.ENTRY_LOST_AFTER
    actions = executor.tick(later, datetime.timedelta(hours=1))
    assert core.StopTask(core.AttemptKey(7, 1), "job-1.0.1") in actions


def test_dropped_entry_has_its_tasks_stopped_once() -> None:
    executor = builders.build_executor(slots=1, queue_limit=1)
    orders = [builders.build_order(n) for n in (1, 2)]
    executor.dispatch(builders.build_dispatch(*orders), NOW)
    actions = executor.drop_entry(7, NOW) + executor.drop_entry(7, NOW)
    stops = [a for a in actions if isinstance(a, core.StopTask)]
    assert len(stops) == 1
    assert _get_reports(actions) == [
        (core.Outcome.NOT_STARTED, core.Reason.WITHDRAWN)
    ]


def test_running_tasks_stay_within_the_connections() -> None:
    executor = core.Executor(1, queue_limit=8)
    executor.announce(builders.build_announcement(8, connections=3), NOW)
    orders = [builders.build_order(n) for n in range(1, 9)]
    actions = executor.dispatch(builders.build_dispatch(*orders), NOW)
    assert _count_starts(actions) == 3


def test_oldest_confirmation_is_that_of_entries_with_tasks_here() -> None:
    executor = builders.build_executor()
    executor.confirm(7, NOW)
    executor.connect(8)
    executor.confirm(8, NOW - datetime.timedelta(seconds=9))
    assert executor.get_oldest_sign() is None
    executor.dispatch(builders.build_dispatch(builders.build_order(1)), NOW)
    executor.confirm(7, NOW)
    executor.confirm(7, NOW - datetime.timedelta(seconds=1))
    assert executor.get_oldest_sign() == NOW
    assert executor.get_confirmed_at(7) == NOW
    assert executor.get_confirmed_at(9) is None


# Guards against leases that a live entry's later messages prolong for a run
# whose caller has gone.
def test_confirmations_after_a_withdrawal_prolong_no_withdrawn_attempt() -> (
    None
):
    executor = builders.build_executor()
    orders = [builders.build_order(n) for n in (1, 2)]
    executor.dispatch(builders.build_dispatch(*orders), NOW)
    executor.confirm(7, NOW)
    later = NOW + datetime.timedelta(seconds=1)
    executor.withdraw(core.Withdraw(7, 1, (1,), stop=False), later)
    executor.confirm(7, later)
    assert executor.get_oldest_sign() == later
    executor.withdraw(core.Withdraw(7, 1, (1,), stop=True), later)
    last = later + datetime.timedelta(seconds=1)
    executor.confirm(7, last)
    executor.withdraw(core.Withdraw(7, 1, (1,), stop=True), last)
    assert executor.get_oldest_sign() == later
    report = core.AttemptReport(1, core.Outcome.STOPPED)
    executor.end_task(core.AttemptKey(7, 1), report, last)
    assert executor.get_oldest_sign() == last


def test_confirmations_after_a_loss_prolong_no_attempt_of_the_lost() -> None:
    executor = builders.build_executor()
    executor.dispatch(builders.build_dispatch(builders.build_order(1)), NOW)
    executor.confirm(7, NOW)
    later = NOW + datetime.timedelta(seconds=1)
    executor.drop_entry(7, later)
    executor.confirm(7, later)
    assert executor.get_oldest_sign() == NOW
