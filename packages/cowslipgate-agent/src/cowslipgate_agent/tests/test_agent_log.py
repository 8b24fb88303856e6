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

TARGET_LAPSE = datetime.timedelta(hours=1)


class Lines(circuits.BaseComponent):
    """Keeps the changes that are told, with the components that tell them."""

    channel = "logs"

    def __init__(self) -> None:
        super().__init__()
        self.changes: list[transport.Change] = []
        clock = core.ManualClock()
        executor = core.Executor(1, 0)
        _agent_log.AgentLog(executor, clock).register(self)
        _runner.Runner(executor, clock, TARGET_LAPSE).register(self)

    @circuits.handler("changed")
    def _on_changed(self, change: transport.Change) -> None:
        self.changes.append(change)

    def hear(self, *dispatches: core.Dispatch) -> None:
        """Deliver dispatches in one turn."""
        for dispatch in dispatches:
            self.fire(_events.entry_heard(dispatch), "runner")
        while len(self):
            self.flush()


@pytest.fixture
def lines() -> Lines:
    return Lines()


def test_refusals_name_the_tasks_of_their_requests(lines: Lines) -> None:
    # Nothing is announced, so nothing is taken; both come in one turn.
    orders = [run_builders.build_order(n) for n in (1, 2, 3)]
    lines.hear(
        core.Dispatch(7, 1, 0, tuple(orders[:2])),
        core.Dispatch(8, 1, 0, tuple(orders[2:])),
    )
    refused = [
        change
        for change in lines.changes
        if isinstance(change, _changes.TasksRefused)
    ]
    assert [(c.entry, c.attempts, c.tasks) for c in refused] == [
        (7, (1, 2), ("a.0.0.0", "a.0.0.0")),
        (8, (3,), ("a.0.0.0",)),
    ]


def test_names_that_are_remembered_are_bounded(lines: Lines) -> None:
    for number in range(3):
        first = number * _agent_log.MAX_NAMES
        orders = [
            run_builders.build_order(first + n + 1)
            for n in range(_agent_log.MAX_NAMES)
        ]
        lines.hear(core.Dispatch(7, 1, 0, tuple(orders)))
    (log,) = [
        component
        for component in lines.components
        if isinstance(component, _agent_log.AgentLog)
    ]
    assert len(log._names) == _agent_log.MAX_NAMES
