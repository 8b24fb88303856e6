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


def _build_bench() -> builders.DispatcherBench:
    bench = builders.DispatcherBench()
    bench.hear(builders.build_report())
    return bench


def _build_results(attempt: int) -> core.Results:
    report = core.AttemptReport(attempt, core.Outcome.FINISHED)
    return core.Results("agent-1", 1, core.Load(8, 0, 0), (report,))


def test_idle_agent_is_released() -> None:
    bench = _build_bench()
    bench.hear(GOODBYE)
    assert bench.outbox.take(core.Release) == [core.Release(7, 3)]


def test_release_acknowledges_the_last_outcomes() -> None:
    bench = _build_bench()
    bench.submit()
    bench.hear(_build_results(1))
    bench.hear(GOODBYE)
    assert bench.outbox.take(core.Release) == [core.Release(7, 3, (1,))]


def test_agent_with_an_unreported_outcome_is_answered_but_not_released() -> (
    None
):
    bench = _build_bench()
    bench.submit()
    before = len(bench.outbox.take(core.Beat))
    bench.hear(GOODBYE)
    assert bench.outbox.take(core.Release) == []
    assert len(bench.outbox.take(core.Beat)) == before + 1


def test_departure_is_not_logged_as_a_loss() -> None:
    bench = _build_bench()
    recorder = _ChangeRecorder().register(bench.root)
    _state_change_log.StateChangeLog(
        bench.dispatcher, builders.MEMBER
    ).register(bench.root)
    bench.hear(builders.build_report())
    bench.hear(GOODBYE)
    for _ in range(_state_change_log.AGENT_CHECK_TICKS):
        bench.tell(_events.tick(), _state_change_log.CHANNEL)
    assert _changes.AgentLeft("agent-1", 1) in recorder.changes
    assert _changes.AgentLost("agent-1", 1) not in recorder.changes
