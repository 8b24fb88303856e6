"""Stalled runs, which are stopped so that their tasks run elsewhere."""

from collections.abc import Iterable
import datetime

from cowslipgate_core.jobs import _inquiries
from cowslipgate_core.jobs import _jobs
from cowslipgate_core.jobs import _ledger_actions
from cowslipgate_core.jobs import _ledger_counters
from cowslipgate_core.placement import _assignment

MOVE_AGAIN_AFTER = datetime.timedelta(seconds=1)
"""Time after which a stalled run is stopped once more; an answer takes some
60 ms."""


class Moves:
    """Finds stalled runs and withdraws them."""

    def __init__(
        self,
        assigner: _assignment.Assigner,
        inquiries: _inquiries.Inquiries,
        counters: _ledger_counters.LedgerCounters,
    ) -> None:
        self._assigner = assigner
        self._inquiries = inquiries
        self._counters = counters

    def move_stalled(
        self, attempts: Iterable[_jobs.Attempt], now: datetime.datetime
    ) -> list[_ledger_actions.LedgerAction]:
        """Return the withdrawals of the runs among some that have stalled."""
        stalled = [
            attempt
            for attempt in attempts
            if _may_move(attempt, now)
            and self._assigner.is_stalled(attempt, now)
        ]
        for attempt in stalled:
            attempt.moved_at = now
        self._counters.stalled += len(stalled)
        return self._inquiries.withdraw(stalled, now, stop=True, stalled=True)


def _may_move(attempt: _jobs.Attempt, now: datetime.datetime) -> bool:
    if attempt.needless or not attempt.job.terms.rerun_lost:
        return False
    # The order to stop it may have been lost.
    moved_at = attempt.moved_at
    return moved_at is None or now - moved_at > MOVE_AGAIN_AFTER
