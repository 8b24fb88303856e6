"""Tests of the answers to an agent that leaves."""

import circuits
import cowslipgate_core as core

from cowslipgate_entry import _events
from cowslipgate_entry.observation import _changes
from cowslipgate_entry.observation import _state_change_log
from cowslipgate_entry.tests import builders

GOODBYE = core.Goodbye("agent-1", 1, 3)


class _ChangeRecorder(circuits.BaseComponent):
    """Recorder of the changes that would be logged."""

    channel = "logs"

    def __init__(self) -> None:
        super().__init__()
        self.changes: list[_changes.Change] = []

    @circuits.handler("changed")
    def _on_changed(self, change: _changes.Change) -> None:
        self.changes.append(change)


def _build_harness() -> builders.DispatcherHarness:
    harness = builders.DispatcherHarness()
    harness.deliver(builders.build_report())
    return harness


def _build_results(attempt: int) -> core.Results:
    report = core.AttemptReport(attempt, core.Outcome.FINISHED)
    return core.Results("agent-1", 1, core.Load(8, 0, 0), (report,))


def test_idle_agent_is_released() -> None:
    harness = _build_harness()
    harness.deliver(GOODBYE)
    assert harness.outbox.take(core.Release) == [core.Release(7, 3)]


def test_release_acknowledges_the_last_outcomes() -> None:
    harness = _build_harness()
    harness.submit()
    harness.deliver(_build_results(1))
    harness.deliver(GOODBYE)
    assert harness.outbox.take(core.Release) == [core.Release(7, 3, (1,))]


def test_agent_with_an_unreported_outcome_is_answered_but_not_released() -> (
    None
):
    harness = _build_harness()
    harness.submit()
    before = len(harness.outbox.take(core.Beat))
    harness.deliver(GOODBYE)
    assert harness.outbox.take(core.Release) == []
    assert len(harness.outbox.take(core.Beat)) == before + 1


def test_departure_is_not_logged_as_a_loss() -> None:
    harness = _build_harness()
    recorder = _ChangeRecorder().register(harness.root)
    _state_change_log.StateChangeLog(
        harness.dispatcher, builders.MEMBER
    ).register(harness.root)
    harness.deliver(builders.build_report())
    harness.deliver(GOODBYE)
    for _ in range(_state_change_log.AGENT_CHECK_TICKS):
        harness.fire(_events.tick(), _state_change_log.CHANNEL)
    assert _changes.AgentLeft("agent-1", 1) in recorder.changes
    assert _changes.AgentLost("agent-1", 1) not in recorder.changes
