"""Tests of the sessions of entry incarnations."""

import datetime

import cowslipgate_core as core
from cowslipgate_core.execution import _sessions
from cowslipgate_core.tests import builders
import pytest

NOW = builders.NOW
MEMBER_EXPIRES_AFTER = datetime.timedelta(minutes=1)


def _dispatch(executor: core.Executor, entry: int, attempt: int) -> list:
    order = builders.build_order(attempt)
    dispatch = core.Dispatch(entry, 1, 1, (order,))
    return executor.dispatch(dispatch, NOW)


def _find_reasons(actions: list) -> list[core.Reason]:
    return [
        report.reason
        for action in actions
        if isinstance(action, core.SendReports)
        for report in action.reports
    ]


def test_sessions_are_bounded() -> None:
    sessions = _sessions.Sessions()
    for entry in range(1, 3 * core.MAX_SESSIONS):
        sessions.open(entry)
        for surplus in sessions.find_surplus(()):
            sessions.evict(surplus)
    assert len(sessions) == core.MAX_SESSIONS


def test_busy_session_is_not_evicted() -> None:
    sessions = _sessions.Sessions()
    for entry in range(core.MAX_SESSIONS + 2):
        sessions.open(entry)
    assert sessions.find_surplus({0, 1}) == [2, 3]


def test_dropped_session_is_evicted_first() -> None:
    sessions = _sessions.Sessions()
    for entry in range(core.MAX_SESSIONS + 1):
        sessions.open(entry)
    sessions.get(9).dropped_at = NOW
    assert sessions.find_surplus(()) == [9]


def test_evicted_sessions_are_bounded() -> None:
    sessions = _sessions.Sessions()
    for entry in range(1, 3 * core.MAX_EVICTED):
        sessions.open(entry)
        sessions.evict(entry)
    assert sessions.evicted == core.MAX_EVICTED


@pytest.mark.parametrize("others", [300, 2_000])
def test_attempt_of_an_evicted_session_never_starts(others: int) -> None:
    executor = builders.build_executor(slots=0)
    _dispatch(executor, 7, attempt=5)
    for entry in range(8, 8 + others):
        _dispatch(executor, entry, attempt=1)
    executor.announce(builders.build_announcement(), NOW)
    assert _find_reasons(_dispatch(executor, 7, attempt=5)) == [
        core.Reason.FORGOTTEN
    ]


def test_evicted_entry_may_send_new_attempts() -> None:
    executor = builders.build_executor()
    executor.connect(7)
    executor.drop_entry(7, NOW)
    executor.tick(NOW + datetime.timedelta(seconds=4), MEMBER_EXPIRES_AFTER)
    executor.tick(NOW + datetime.timedelta(seconds=8), MEMBER_EXPIRES_AFTER)
    executor.connect(7)
    link = executor.get_link(7)
    order = builders.build_order(6)
    later = NOW + datetime.timedelta(seconds=8)
    actions = executor.dispatch(
        core.Dispatch(7, 1, 1, (order,), link=link), later
    )
    assert isinstance(actions[-1], core.StartTask)


def test_link_of_a_reconnected_entry_is_kept_after_the_dropped_lifetime() -> (
    None
):
    executor = builders.build_executor()
    executor.connect(7)
    before = executor.get_link(7)
    executor.drop_entry(7, NOW)
    executor.connect(7)
    after = executor.get_link(7)
    executor.tick(NOW + datetime.timedelta(seconds=4), MEMBER_EXPIRES_AFTER)
    assert executor.get_link(7) == after > before
