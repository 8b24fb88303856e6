"""Withdrawal of stalled runs, so that their tasks run on other targets."""

from collections.abc import Iterable
import datetime

from cowslipgate_core.jobs import _inquiries
from cowslipgate_core.jobs import _jobs
from cowslipgate_core.jobs import _ledger_actions
from cowslipgate_core.jobs import _ledger_counters
from cowslipgate_core.placement import _assignment

WITHDRAW_AGAIN_AFTER = datetime.timedelta(seconds=1)
"""Time after which a stalled run is withdrawn again; a reply takes about
60 ms."""


class StalledRuns:
    """Detection and withdrawal of stalled runs."""

    def __init__(
        self,
        assigner: _assignment.Assigner,
        inquiries: _inquiries.Inquiries,
        counters: _ledger_counters.LedgerCounters,
    ) -> None:
        self._assigner = assigner
        self._inquiries = inquiries
        self._counters = counters

    def withdraw_stalled(
        self, attempts: Iterable[_jobs.Attempt], now: datetime.datetime
    ) -> list[_ledger_actions.LedgerAction]:
        """Return withdrawals of the attempts that have stalled."""
        stalled = [
            attempt
            for attempt in attempts
            if _may_withdraw(attempt, now)
            and self._assigner.is_stalled(attempt, now)
        ]
        for attempt in stalled:
            attempt.stop_sent_at = now
        self._counters.stalled += len(stalled)
        return self._inquiries.withdraw(stalled, now, stop=True, stalled=True)


def _may_withdraw(attempt: _jobs.Attempt, now: datetime.datetime) -> bool:
    if attempt.must_stop or not attempt.job.terms.rerun_lost:
        return False
    # The previous withdrawal may have been lost.
    stop_sent_at = attempt.stop_sent_at
    return stop_sent_at is None or now - stop_sent_at > WITHDRAW_AGAIN_AFTER
