"""Log lines of runs that stall."""

import datetime

import circuits
import cowslipgate_core as core
from cowslipgate_entry.agents import _dispatcher
from cowslipgate_entry.observation import _changes
from cowslipgate_entry.observation import _job_log
from cowslipgate_entry.tests import observer_builders
import cowslipgate_transport as transport
import pytest

STALLED_FOR = datetime.timedelta(milliseconds=700)


class _Lines(circuits.BaseComponent):
    """Keeps the changes that would be logged."""

    channel = "logs"

    def __init__(self) -> None:
        super().__init__()
        self.changes: list[_changes.Change] = []

    @circuits.handler("changed")
    def _on_changed(self, change: _changes.Change) -> None:
        self.changes.append(change)


def _log_withdrawal(stalled: bool, sequence: int = 1) -> list[_changes.Change]:
    """Return what is logged when the one attempt is withdrawn."""
    harness = observer_builders.build_harness()
    observer_builders.build_job(
        harness, observer_builders.build_submission(tasks=1)
    )
    harness.ledger.assign(harness.clock.now(), {"hall": 1})
    harness.clock.advance(STALLED_FOR)
    root = circuits.BaseComponent()
    lines = _Lines().register(root)
    _job_log.JobLog(harness.dispatcher, harness.clock).register(root)
    message = core.Withdraw(7, 1, (sequence,), True, stalled)
    event = transport.send_message(b"agent-1/1", message)
    root.fire(event, _dispatcher.AGENTS_CHANNEL)
    while len(root):
        root.flush()
    return lines.changes


def test_stalled_run_is_logged_with_its_agent_and_age() -> None:
    expected = _changes.RunStalled("", "job-1", 0, "agent-1", 700)
    assert _log_withdrawal(stalled=True) == [expected]


@pytest.mark.parametrize(("stalled", "sequence"), [(False, 1), (True, 99)])
def test_other_withdrawals_are_not_logged(
    stalled: bool, sequence: int
) -> None:
    assert _log_withdrawal(stalled, sequence) == []
