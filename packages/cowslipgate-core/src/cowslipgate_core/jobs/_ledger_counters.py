"""What the ledger counts."""

import attrs

from cowslipgate_core.messages import _attempts


@attrs.define
class LedgerCounters:
    """What the ledger has counted."""

    dispatched: int = 0
    """Attempts sent."""

    refused: int = 0
    """Attempts that the agent did not start."""

    unmatched: int = 0
    """Reports that belong to no attempt."""

    repeated: int = 0
    """Tasks sent again because a run of theirs failed."""

    stalled: int = 0
    """Runs stopped because they took far too long, to run elsewhere."""

    rerun: int = 0
    """Tasks sent again because a run of theirs ended without a result."""

    inquiries: int = 0
    """Attempts that an agent was asked about."""

    complete: int = 0
    """Jobs complete."""

    failed: int = 0
    """Jobs failed after they were accepted."""

    dispatches: int = 0
    """Messages that carried attempts."""

    results: int = 0
    """Messages that carried the result of a task."""

    refusals: int = 0
    """Messages of outcomes that told of refusals and carried no result."""

    idle_results: int = 0
    """Other messages of outcomes that carried no result."""

    withdrawals: int = 0
    """Messages that withdrew attempts of failed jobs."""

    inquiry_messages: int = 0
    """Messages that asked about attempts."""

    acknowledgements: int = 0
    """Messages that did nothing but acknowledge."""

    heartbeats: int = 0
    """Heartbeats of agents and the answers to them."""

    def note_withdraw(self, stop: bool) -> None:
        """Count a message that withdraws or asks about attempts."""
        if stop:
            self.withdrawals += 1
        else:
            self.inquiry_messages += 1

    def note_results(
        self, reports: tuple[_attempts.AttemptReport, ...]
    ) -> None:
        """Count a message of outcomes by whether it carried a result."""
        outcomes = {report.outcome for report in reports}
        if outcomes & {_attempts.Outcome.FINISHED, _attempts.Outcome.FAILED}:
            self.results += 1
        elif _attempts.Outcome.NOT_STARTED in outcomes:
            self.refusals += 1
        else:
            self.idle_results += 1
