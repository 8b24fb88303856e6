"""Tests of the signs that attempts at an agent rest on.

Pattern: an entry counts on its caller, and the agent on the entry; the caller
is gone before the entry, so that the ages of both beliefs could add up.
"""

import datetime

import attrs
import cowslipgate_core as core
from cowslipgate_core.tests import builders
import pytest

ENTRY = 7
LIMIT = datetime.timedelta(milliseconds=1_050)
LAPSE = datetime.timedelta(seconds=9)
MILLISECOND = datetime.timedelta(milliseconds=1)
NOW = builders.NOW


@pytest.fixture
def executor() -> core.Executor:
    """Return an executor with slots that is linked to the entry."""
    executor = core.Executor(1, 0, LIMIT)
    executor.announce(builders.build_announcement(8), NOW)
    executor.connect(ENTRY)
    return executor


def _dispatch(
    executor: core.Executor, *ages: tuple[int, int]
) -> list[core.ExecutorAction]:
    """Dispatch attempts whose callers' signs have these ages."""
    executor.expect(ENTRY, [attempt for attempt, _ in ages])
    executor.confirm(ENTRY, NOW, NOW, ages)
    return _hand_over(executor, *(attempt for attempt, _ in ages))


def _hand_over(
    executor: core.Executor, *attempts: int
) -> list[core.ExecutorAction]:
    orders = [builders.build_order(attempt) for attempt in attempts]
    link = executor.get_link(ENTRY)
    dispatch = attrs.evolve(builders.build_dispatch(*orders), link=link)
    return executor.dispatch(dispatch, NOW)


def _list_reasons(actions: list[core.ExecutorAction]) -> list[core.Reason]:
    return [
        report.reason
        for action in actions
        if isinstance(action, core.SendReports)
        for report in action.reports
    ]


def _list_stopped(actions: list[core.ExecutorAction]) -> list[int]:
    return [a.key.attempt for a in actions if isinstance(a, core.StopTask)]


def test_lease_rests_on_the_oldest_sign_of_a_caller(
    executor: core.Executor,
) -> None:
    _dispatch(executor, (1, 100), (2, 400))
    assert executor.get_lease_sign(NOW) == NOW - 400 * MILLISECOND
    later = NOW + 500 * MILLISECOND
    executor.confirm(ENTRY, later, later, ((1, 100), (2, 900)))
    assert executor.get_lease_sign(later) == NOW - 400 * MILLISECOND
    executor.confirm(ENTRY, later, later, ((1, 150), (2, 200)))
    assert executor.get_lease_sign(later) == later - 200 * MILLISECOND


# Guards against an age that counts from the arrival of its message, or from
# the entry's answer to an older report.
def test_age_counts_from_when_the_message_was_sent_at_the_earliest(
    executor: core.Executor,
) -> None:
    sent_at = NOW - 600 * MILLISECOND
    executor.confirm(ENTRY, sent_at, sent_at + 250 * MILLISECOND, ((1, 100),))
    assert executor.get_sign(ENTRY, (1,)) == NOW - 450 * MILLISECOND
    assert executor.get_confirmed_at(ENTRY) == sent_at


# Guards against a live entry's messages that prolong a run of a caller that
# it has not seen.
def test_run_is_stopped_once_its_callers_sign_is_too_old(
    executor: core.Executor,
) -> None:
    _dispatch(executor, (1, 100), (2, 100))
    stopped = []
    for step in range(1, 12):
        now = NOW + step * 100 * MILLISECOND
        ages = ((1, 100), (2, 100 + step * 100))
        executor.confirm(ENTRY, now, now, ages)
        actions = executor.tick(now, LAPSE)
        stopped += [(step, attempt) for attempt in _list_stopped(actions)]
    assert stopped == [(10, 2)]


# Guards against an attempt that rests on its entry's life as soon as the entry
# names its caller no more.
def test_attempt_that_is_listed_no_more_gets_no_newer_sign(
    executor: core.Executor,
) -> None:
    _dispatch(executor, (1, 100))
    later = NOW + 500 * MILLISECOND
    executor.confirm(ENTRY, later, later, ())
    assert executor.get_lease_sign(later) == NOW - 100 * MILLISECOND


def test_attempt_whose_caller_is_not_probed_rests_on_its_entry(
    executor: core.Executor,
) -> None:
    executor.expect(ENTRY, (1,))
    executor.confirm(ENTRY, NOW, NOW, ())
    _hand_over(executor, 1)
    later = NOW + 500 * MILLISECOND
    executor.confirm(ENTRY, NOW, later, ())
    assert executor.get_lease_sign(later) == later


# Guards against a run under a lease that other runs had renewed, and that ends
# after the second submission of its own caller.
def test_order_is_refused_beside_a_lease_that_ends_too_late_for_it(
    executor: core.Executor,
) -> None:
    executor.required_sign = NOW - 300 * MILLISECOND
    assert _list_reasons(_dispatch(executor, (1, 301))) == [core.Reason.BUSY]
    assert not _list_reasons(_dispatch(executor, (2, 300)))
    assert list(executor.running) == [core.AttemptKey(ENTRY, 2)]


def test_order_whose_sign_is_too_old_is_refused(
    executor: core.Executor,
) -> None:
    reasons = _list_reasons(_dispatch(executor, (1, 1_051)))
    assert reasons == [core.Reason.STALE_LINK]


# Guards against renewals that keep an order waiting for good.
def test_expected_order_holds_the_lease_back_while_it_may_start(
    executor: core.Executor,
) -> None:
    _dispatch(executor, (1, 100))
    executor.expect(ENTRY, (2,))
    executor.confirm(ENTRY, NOW, NOW, ((1, 100), (2, 700)))
    assert executor.get_lease_sign(NOW) == NOW - 700 * MILLISECOND
    later = NOW + 400 * MILLISECOND
    assert executor.get_lease_sign(later) == NOW - 100 * MILLISECOND


@pytest.mark.parametrize("end", ["withdraw", "drop"])
def test_order_that_will_not_come_holds_no_lease_back(
    executor: core.Executor, end: str
) -> None:
    executor.expect(ENTRY, (2,))
    executor.confirm(ENTRY, NOW, NOW, ((2, 700),))
    if end == "withdraw":
        executor.withdraw(core.Withdraw(ENTRY, 1, (2,), True), NOW)
    else:
        executor.drop_entry(ENTRY, NOW)
    assert executor.get_lease_sign(NOW) is None
