"""What agents are asked about attempts: to withdraw them, or to tell."""

from collections.abc import Iterable
import datetime

from cowslipgate_core.jobs import _jobs
from cowslipgate_core.jobs import _ledger_actions
from cowslipgate_core.jobs import _ledger_counters
from cowslipgate_core.jobs import _timing
from cowslipgate_core.placement import _roster


class Inquiries:
    """Makes withdrawals; one that does not stop a task is an inquiry.

    :param attempts: attempts that are not final, owned by the ledger
    """

    def __init__(
        self,
        attempts: dict[int, _jobs.Attempt],
        timing: _timing.Timing,
        counters: _ledger_counters.LedgerCounters,
    ) -> None:
        self._attempts = attempts
        self._timing = timing
        self._counters = counters

    def withdraw(
        self,
        attempts: list[_jobs.Attempt],
        now: datetime.datetime,
        stop: bool,
        stalled: bool = False,
    ) -> list[_ledger_actions.LedgerAction]:
        """Return one withdrawal for each agent.

        :param stop: whether running attempts are stopped too
        :param stalled: whether the targets seem to be to blame
        """
        by_agent: dict[tuple[str, int], list[int]] = {}
        for attempt in attempts:
            attempt.asked_at = now
            key = (attempt.agent, attempt.incarnation)
            by_agent.setdefault(key, []).append(attempt.sequence)
        return [
            _ledger_actions.SendWithdraw(
                agent, incarnation, tuple(sequences), stop, stalled
            )
            for (agent, incarnation), sequences in by_agent.items()
        ]

    def ask(
        self, sequences: Iterable[int], now: datetime.datetime
    ) -> list[_ledger_actions.LedgerAction]:
        """Ask about attempts; those that nobody waits for are stopped."""
        attempts = [self._attempts[sequence] for sequence in sorted(sequences)]
        self._counters.inquiries += len(attempts)
        kept = [a for a in attempts if not a.needless]
        ended = [a for a in attempts if a.needless]
        actions = self.withdraw(kept, now, stop=False)
        return actions + self.withdraw(ended, now, stop=True)

    def ask_overdue(
        self, record: _roster.AgentRecord, now: datetime.datetime
    ) -> list[_ledger_actions.LedgerAction]:
        """Ask an agent about the attempts that it was silent about."""
        overdue = self._list_silent(record, now, self._timing.inquiry_interval)
        if record.load.own >= len(overdue):
            # The agent holds as many attempts as were sent to it.
            overdue = self._list_silent(
                record, now, self._timing.long_inquiry_interval
            )
        return self.ask(overdue, now) if overdue else []

    def _list_silent(
        self,
        record: _roster.AgentRecord,
        now: datetime.datetime,
        silence: datetime.timedelta,
    ) -> set[int]:
        return {
            sequence
            for sequence in record.outstanding
            if now - self._attempts[sequence].asked_at > silence
        }
