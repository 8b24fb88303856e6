"""Tests of orders that were chosen by an earlier announcement of a target.

Pattern: a target changes its labels, its capacity or its service while orders
for it are on their way, or wait in its agent's queue.
"""

import cowslipgate_core as core
from cowslipgate_core.tests import builders
import msgspec
import pytest

SERVICE = "print"
QUEUE_LIMIT = 4
NEEDS = core.Resources(100, 0, 1_000, ("b",))
OFFER = core.Resources(1_000, 0, 8_000, ("b", "r1"))


def _build_announcement(
    offer: core.Resources = OFFER,
    service: str = SERVICE,
    slots: int = 8,
    room: core.Room = OFFER,
    life: str = "i-1/1",
) -> core.Announcement:
    return core.Announcement(
        service, "http://127.0.0.1:1", slots, slots, offer, room, life
    )


def _build_dispatch(
    attempts: int, service: str = SERVICE, first: int = 1
) -> core.Dispatch:
    orders = tuple(
        core.Order(number, f"t.0.{number}", "", b"null", needs=NEEDS)
        for number in range(first, first + attempts)
    )
    return core.Dispatch(7, 1, 0, orders, service=service)


def _list_refusals(actions: list[core.ExecutorAction]) -> list[core.Reason]:
    return [
        report.reason
        for action in actions
        if isinstance(action, core.SendReports)
        for report in action.reports
        if report.outcome is core.Outcome.NOT_STARTED
    ]


def _build_executor(announcement: core.Announcement) -> core.Executor:
    executor = core.Executor(1, QUEUE_LIMIT)
    executor.announce(announcement, builders.NOW)
    return executor


# Guards against a task on a target without its label or capacity: the entry
# chose the target by an earlier announcement.
@pytest.mark.parametrize(
    ("announcement", "reason"),
    [
        (
            _build_announcement(core.Resources(1_000, 0, 8_000, ("a",))),
            core.Reason.NO_ROOM,
        ),
        (
            _build_announcement(core.Resources(10, 0, 8_000, ("b",))),
            core.Reason.NO_ROOM,
        ),
        (
            _build_announcement(
                core.Resources(1_000, 0, 8_000, ("a",)), room=msgspec.UNSET
            ),
            core.Reason.NO_ROOM,
        ),
        (_build_announcement(service="bind"), core.Reason.NOT_SERVING),
    ],
    ids=["labels", "capacity", "labels without room", "service"],
)
def test_order_that_no_longer_fits_its_target_is_refused(
    announcement: core.Announcement, reason: core.Reason
) -> None:
    executor = _build_executor(announcement)
    actions = executor.dispatch(_build_dispatch(1), builders.NOW)
    assert _list_refusals(actions) == [reason]
    assert not executor.running


# Guards against tasks that wait for a target that can't run them any more.
@pytest.mark.parametrize(
    ("announcement", "reason"),
    [
        (
            _build_announcement(
                core.Resources(1_000, 0, 8_000, ("a",)), slots=1, life="i-1/2"
            ),
            core.Reason.NO_ROOM,
        ),
        (
            _build_announcement(service="bind", slots=1, life="i-1/2"),
            core.Reason.NOT_SERVING,
        ),
    ],
    ids=["labels", "service"],
)
def test_queued_order_that_no_longer_fits_its_target_is_refused(
    announcement: core.Announcement, reason: core.Reason
) -> None:
    executor = _build_executor(_build_announcement(slots=1))
    executor.dispatch(_build_dispatch(3), builders.NOW)
    assert len(executor.running) == 1
    actions = executor.announce(announcement, builders.NOW)
    assert _list_refusals(actions) == [reason, reason]


# Guards against a target that is counted as failing because its agent refused
# what it had decided by an earlier announcement.
def test_refusals_of_the_agent_do_not_quarantine_its_target() -> None:
    executor = _build_executor(_build_announcement())
    for number in range(1, 7):
        dispatch = _build_dispatch(1, first=number)
        executor.dispatch(dispatch, builders.NOW)
        (key,) = executor.running
        report = core.AttemptReport(
            key.attempt, core.Outcome.NOT_STARTED, core.Reason.NOT_SERVING
        )
        executor.end_task(key, report, builders.NOW)
    assert executor.state == "serving"


@pytest.mark.parametrize(
    ("before", "after"),
    [
        ("absent", "serving"),
        ("serving", "serving"),
        ("quarantined", "quarantined"),
        ("unreachable", "probation"),
        ("probation", "probation"),
        ("leaving", "leaving"),
    ],
)
def test_superseded_target_starts_nothing_until_it_is_announced(
    before: str, after: str
) -> None:
    chart = core.load_chart("target")
    machine = core.StateMachine(chart)
    while machine.state != before:
        for event in _EVENTS[before]:
            machine.fire(event)
    machine.fire("supersede")
    assert machine.get_attribute("slots") == "none"
    machine.fire("announce")
    assert machine.state == after


_EVENTS = {
    "absent": (),
    "serving": ("announce",),
    "quarantined": ("announce", "quarantine"),
    "unreachable": ("announce", "disconnect"),
    "probation": ("announce", "quarantine", "try"),
    "leaving": ("announce", "leave"),
}
