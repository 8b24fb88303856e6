"""A naive twin of the executor, which forgets nothing."""

import attrs

import cowslipgate_core as core

DEFINITE = frozenset(core.Outcome) - {
    core.Outcome.RUNNING,
    core.Outcome.UNKNOWN,
}


@attrs.define
class ExecutorTwin:
    """Checks each action of an executor against everything before it."""

    slots: int
    """Tasks that may run at once."""

    started: set[core.AttemptKey] = attrs.Factory(set)
    """Attempts that were ever started."""

    running: dict[core.AttemptKey, core.Order] = attrs.Factory(dict)
    """Attempts started and not ended."""

    stopping: set[core.AttemptKey] = attrs.Factory(set)
    """Attempts that the target was told to stop."""

    ended: dict[core.AttemptKey, core.Outcome] = attrs.Factory(dict)
    """How each attempt's call of the target ended."""

    refused: set[core.AttemptKey] = attrs.Factory(set)
    """Attempts that were said not to have started."""

    given_up: set[core.AttemptKey] = attrs.Factory(set)
    """Attempts that must not start any more."""

    answered: set[core.AttemptKey] = attrs.Factory(set)
    """Attempts of which a final outcome was told."""

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
        """Note how a call of the target ended."""
        del self.running[key]
        outcome = report.outcome
        if outcome is core.Outcome.FAILED and key in self.stopping:
            outcome = core.Outcome.STOPPED
        self.ended[key] = outcome

    def _check_start(self, action: core.StartTask) -> None:
        assert action.key not in self.started, "started twice"
        assert action.key not in self.refused, "started after a refusal"
        assert action.key not in self.given_up, "started after giving up"
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
        self.answered.add(key)
        if report.reason is core.Reason.FORGOTTEN:
            assert report.outcome is core.Outcome.UNKNOWN
        elif key in self.ended:
            assert report.outcome is self.ended[key]
        else:
            assert report.outcome is core.Outcome.NOT_STARTED
            assert key not in self.started, "false refusal"
            self.refused.add(key)
