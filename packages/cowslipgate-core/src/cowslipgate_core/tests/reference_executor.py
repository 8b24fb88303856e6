"""Reference implementation of the executor, without bounds on its state."""

import attrs

import cowslipgate_core as core

DEFINITE = frozenset(core.Outcome) - {
    core.Outcome.RUNNING,
    core.Outcome.UNKNOWN,
}


@attrs.define
class ReferenceExecutor:
    """Checks each action of an executor against its whole history."""

    slots: int
    """Tasks that may run at once."""

    started: set[core.AttemptKey] = attrs.Factory(set)
    """Attempts that were started, including ended ones."""

    running: dict[core.AttemptKey, core.Order] = attrs.Factory(dict)
    """Attempts started and not ended."""

    stopping: set[core.AttemptKey] = attrs.Factory(set)
    """Attempts that the target was asked to stop."""

    ended: dict[core.AttemptKey, core.Outcome] = attrs.Factory(dict)
    """Outcome of each ended call of the target."""

    refused: set[core.AttemptKey] = attrs.Factory(set)
    """Attempts that were reported as not started."""

    barred: set[core.AttemptKey] = attrs.Factory(set)
    """Attempts that were sent before their entry was dropped or the agent
    paused, and that must not start."""

    reported: set[core.AttemptKey] = attrs.Factory(set)
    """Attempts whose final outcome was reported."""

    def check(self, actions: list[core.ExecutorAction]) -> None:
        """Fail when an action contradicts what happened before."""
        for action in actions:
            match action:
                case core.StartTask():
                    self._check_start(action)
                case core.StopTask():
                    assert action.key in self.running
                    self.stopping.add(action.key)
                case core.SendReports():
                    for report in action.reports:
                        key = core.AttemptKey(action.entry, report.attempt)
                        self._check_report(key, report)

    def end(self, key: core.AttemptKey, report: core.AttemptReport) -> None:
        """Record how a call of the target ended."""
        del self.running[key]
        outcome = report.outcome
        if outcome is core.Outcome.FAILED and key in self.stopping:
            outcome = core.Outcome.STOPPED
        self.ended[key] = outcome

    def _check_start(self, action: core.StartTask) -> None:
        assert action.key not in self.started, "started twice"
        assert action.key not in self.refused, "started after a refusal"
        assert action.key not in self.barred, "started after it was barred"
        self.started.add(action.key)
        self.running[action.key] = action.order
        assert len(self.running) <= self.slots

    def _check_report(
        self, key: core.AttemptKey, report: core.AttemptReport
    ) -> None:
        if report.outcome is core.Outcome.RUNNING:
            assert key in self.running
            return
        assert key not in self.running, "final while running"
        self.reported.add(key)
        if report.reason is core.Reason.FORGOTTEN:
            assert report.outcome is core.Outcome.UNKNOWN
        elif key in self.ended:
            assert report.outcome is self.ended[key]
        else:
            assert report.outcome is core.Outcome.NOT_STARTED
            assert key not in self.started, "false refusal"
            self.refused.add(key)
