"""Tests of the log lines of an agent."""

import datetime

import circuits
import cowslipgate_core as core
from cowslipgate_core.tests import run_builders
import cowslipgate_transport as transport
import pytest

from cowslipgate_agent import _agent_log
from cowslipgate_agent import _changes
from cowslipgate_agent import _events
from cowslipgate_agent import _runner

MAX_KINDS = 100
TARGET_LAPSE = datetime.timedelta(hours=1)


class LogRecorder(circuits.BaseComponent):
    """Recorder of logged changes, with the components that fire them."""

    channel = "logs"

    def __init__(self) -> None:
        super().__init__()
        self.changes: list[transport.Change] = []
        self.clock = clock = core.ManualClock()
        self.executor = executor = core.Executor(1, 0)
        _agent_log.AgentLog(executor, clock).register(self)
        _runner.Runner(executor, clock, TARGET_LAPSE).register(self)

    @circuits.handler("changed")
    def _on_changed(self, change: transport.Change) -> None:
        self.changes.append(change)

    def deliver(self, *dispatches: core.Dispatch) -> None:
        """Deliver dispatches in one round of events."""
        for dispatch in dispatches:
            self.fire(_events.entry_message_received(dispatch), "runner")
        while len(self):
            self.flush()


@pytest.fixture
def recorder() -> LogRecorder:
    return LogRecorder()


def test_refusals_name_the_tasks_of_their_requests(
    recorder: LogRecorder,
) -> None:
    # No target is announced, so both dispatches of one round are refused.
    orders = [run_builders.build_order(n) for n in (1, 2, 3)]
    recorder.deliver(
        core.Dispatch(7, 1, 0, tuple(orders[:2])),
        core.Dispatch(8, 1, 0, tuple(orders[2:])),
    )
    refused = [
        change
        for change in recorder.changes
        if isinstance(change, _changes.TasksRefused)
    ]
    assert [(c.entry, c.attempts, c.tasks) for c in refused] == [
        (7, (1, 2), ("a.0.0.0", "a.0.0.0")),
        (8, (3,), ("a.0.0.0",)),
    ]


def test_number_of_remembered_task_names_is_bounded(
    recorder: LogRecorder,
) -> None:
    for number in range(3):
        first = number * _agent_log.MAX_TASK_NAMES
        orders = [
            run_builders.build_order(first + n + 1)
            for n in range(_agent_log.MAX_TASK_NAMES)
        ]
        recorder.deliver(core.Dispatch(7, 1, 0, tuple(orders)))
    (log,) = [
        component
        for component in recorder.components
        if isinstance(component, _agent_log.AgentLog)
    ]
    assert len(log._task_names) == _agent_log.MAX_TASK_NAMES


# Guards against logs that don't tell a silent entry from a broken connection.
def test_loss_of_an_entry_names_the_age_of_its_last_confirmation(
    recorder: LogRecorder,
) -> None:
    recorder.executor.connect(7)
    recorder.executor.confirm(7, recorder.clock.now())
    recorder.clock.advance(datetime.timedelta(milliseconds=1_050))
    for entry in (7, 8):
        recorder.fire(_events.entry_dropped(entry), "runner")
    recorder.deliver()
    lost = [c for c in recorder.changes if isinstance(c, _changes.EntryLost)]
    assert [(c.entry, c.unconfirmed_ms) for c in lost] == [(7, 1_050), (8, -1)]


# Guards against logs that don't tell a connection that broke from an entry
# that is only silent.
def test_broken_connection_is_logged(recorder: LogRecorder) -> None:
    recorder.fire(_events.entry_disconnected(7), "links")
    recorder.deliver()
    assert _changes.EntryDisconnected(7, 0, -1) in recorder.changes


def test_orders_that_wait_are_logged(recorder: LogRecorder) -> None:
    dispatch = core.Dispatch(7, 1, 0, (run_builders.build_order(4),))
    recorder.fire(_events.orders_held(dispatch), "links")
    recorder.deliver()
    assert _changes.OrdersHeld(7, (4,), -1, -1, -1) in recorder.changes


# Guards against logs that don't tell why a run of a live entry was stopped.
def test_stop_of_a_run_names_the_age_of_the_sign_it_rested_on(
    recorder: LogRecorder,
) -> None:
    executor = recorder.executor
    order = run_builders.build_order(4)
    executor.announce(
        core.Announcement("print", "http://127.0.0.1:1", 4, 8),
        recorder.clock.now(),
    )
    recorder.deliver(core.Dispatch(7, 1, 0, (order,)))
    executor.confirm(7, recorder.clock.now(), ages=((4, 800),))
    (key,) = executor.running
    stop = core.StopTask(key, order.task, datetime.timedelta(seconds=1.1))
    recorder.fire(_events.stop_task(stop), "target")
    recorder.deliver()
    assert (
        _changes.RunUnseen(order.name, order.run, 7, 1_100, 0)
        in recorder.changes
    )


def test_stop_of_a_run_names_the_run_that_was_ordered_after_it(
    recorder: LogRecorder,
) -> None:
    recorder.executor.announce(
        core.Announcement("print", "http://127.0.0.1:1", 4, 8),
        recorder.clock.now(),
    )
    recorder.deliver(core.Dispatch(7, 1, 0, (run_builders.build_order(4),)))
    later = run_builders.build_order(5, 11)
    recorder.deliver(core.Dispatch(8, 1, 0, (later,)))
    change = _changes.RunSuperseded(later.name, 10, 7, 11)
    assert change in recorder.changes


# Guards against a line for each listing of a target that has an odd row.
def test_invalid_message_of_the_target_is_logged_once(
    recorder: LogRecorder,
) -> None:
    for number in range(3 * MAX_KINDS):
        for _ in range(2):
            error = core.WireError(b"hold", f"problem {number}")
            recorder.fire(_events.target_message_invalid(error), "target")
            recorder.flush()
    while len(recorder):
        recorder.flush()
    logged = [change.problem for change in recorder.changes]
    assert len(logged) == len(set(logged)) == MAX_KINDS


# Guards against messages of entries that are passed over without a trace.
def test_invalid_message_of_an_entry_is_logged_once(
    recorder: LogRecorder,
) -> None:
    for _ in range(3):
        error = core.WireError(b"B\xff", "odd")
        recorder.fire(transport.message_malformed(b"7", error), "entry-7-1")
    while len(recorder):
        recorder.flush()
    assert recorder.changes == [transport.MessagePassedOver("B\ufffd", "odd")]


def test_pause_is_logged_with_the_part_of_it_that_was_a_suspension(
    recorder: LogRecorder,
) -> None:
    pause = datetime.timedelta(milliseconds=2_100)
    suspended = datetime.timedelta(milliseconds=2_000)
    recorder.fire(_events.agent_paused(pause, suspended))
    recorder.deliver()
    assert recorder.changes == [_changes.AgentPaused(2_100, 2_000, 0)]
