"""Counters of the ledger."""

import attrs

from cowslipgate_core.messages import _attempts


@attrs.define
class LedgerCounters:
    """Totals since the start of the entry."""

    dispatched: int = 0
    """Attempts sent."""

    refused: int = 0
    """Attempts that the agent did not start."""

    unmatched: int = 0
    """Reports that match no attempt of this incarnation."""

    repeated: int = 0
    """Tasks queued again because a run failed."""

    stalled: int = 0
    """Stalled runs stopped so that their tasks run on another target."""

    preempted: int = 0
    """Runs told to stop so that more urgent jobs get their room."""

    preempted_finished: int = 0
    """Those of them that finished before they were stopped."""

    preempted_core_seconds: float = 0.0
    """Work of those that were stopped, in core-seconds."""

    suspended: int = 0
    """Jobs suspended as their callers had not been seen for too long."""

    rerun: int = 0
    """Runs that ended without a result and did not fail their job."""

    inquiries: int = 0
    """Attempts in inquiries to agents."""

    complete: int = 0
    """Jobs complete."""

    failed: int = 0
    """Jobs that failed after acceptance."""

    dispatches: int = 0
    """Messages that carried attempts."""

    results: int = 0
    """Messages that carried the result of a task."""

    refusals: int = 0
    """Messages of outcomes with refusals and without a result."""

    idle_results: int = 0
    """Other messages of outcomes without a result."""

    withdrawals: int = 0
    """Messages that withdrew attempts and stopped running ones."""

    repeated_withdrawals: int = 0
    """Those of them that only repeated earlier ones."""

    inquiry_messages: int = 0
    """Messages that asked about attempts without stopping them."""

    acknowledgements: int = 0
    """Messages that only acknowledged outcomes."""

    heartbeats: int = 0
    """Heartbeats from agents and the replies to them."""

    def record_withdraw(self, stop: bool, repeated: bool = False) -> None:
        """Count a withdrawal, or an inquiry without ``stop``."""
        if stop:
            self.withdrawals += 1
            self.repeated_withdrawals += repeated
        else:
            self.inquiry_messages += 1

    def record_results(
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
