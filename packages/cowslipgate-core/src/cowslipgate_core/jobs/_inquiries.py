"""Withdrawals of attempts and inquiries about their outcomes."""

from collections.abc import Iterable
import datetime

from cowslipgate_core.jobs import _jobs
from cowslipgate_core.jobs import _ledger_actions
from cowslipgate_core.jobs import _ledger_counters
from cowslipgate_core.jobs import _timing
from cowslipgate_core.placement import _roster


class Inquiries:
    """Withdrawals for agents; one without ``stop`` is an inquiry.

    :param attempts: attempts that are not final, by sequence number; the
        ledger adds and removes them
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
        repeated: bool = False,
    ) -> list[_ledger_actions.LedgerAction]:
        """Return one withdrawal for each agent.

        :param stop: whether running attempts are stopped too
        :param stalled: whether the targets appear to be the cause
        :param repeated: whether the agents were told to stop them before
        """
        by_agent: dict[tuple[str, int], list[int]] = {}
        for attempt in attempts:
            attempt.asked_at = now
            attempt.unanswered += 1
            key = (attempt.agent, attempt.incarnation)
            by_agent.setdefault(key, []).append(attempt.sequence)
        return [
            _ledger_actions.SendWithdraw(
                agent, incarnation, tuple(sequences), stop, stalled, repeated
            )
            for (agent, incarnation), sequences in by_agent.items()
        ]

    def ask(
        self, sequences: Iterable[int], now: datetime.datetime
    ) -> list[_ledger_actions.LedgerAction]:
        """Ask about attempts; stop those that must not go on."""
        attempts = [self._attempts[sequence] for sequence in sorted(sequences)]
        self._counters.inquiries += len(attempts)
        kept = [a for a in attempts if not a.must_stop]
        stopped = [a for a in attempts if a.must_stop]
        actions = self.withdraw(kept, now, stop=False)
        return actions + self._stop_again(stopped, now)

    def repeat_stops(
        self, record: _roster.AgentRecord, now: datetime.datetime
    ) -> list[_ledger_actions.LedgerAction]:
        """Stop attempts again that must not go on; a stop may be lost."""
        due = self._list_unanswered(record, now, self._timing.stop_interval)
        attempts = [self._attempts[sequence] for sequence in sorted(due)]
        unanswered = [a for a in attempts if a.must_stop and a.unanswered]
        return self._stop_again(unanswered, now)

    def ask_overdue(
        self, record: _roster.AgentRecord, now: datetime.datetime
    ) -> list[_ledger_actions.LedgerAction]:
        """Ask an agent about attempts without an outcome for too long."""
        overdue = self._list_unanswered(
            record, now, self._timing.inquiry_interval
        )
        if record.load.own >= len(overdue):
            # The agent's load covers them, so probably no dispatch was lost.
            overdue = self._list_unanswered(
                record, now, self._timing.long_inquiry_interval
            )
        return self.ask(overdue, now) if overdue else []

    def _stop_again(
        self, attempts: list[_jobs.Attempt], now: datetime.datetime
    ) -> list[_ledger_actions.LedgerAction]:
        return self.withdraw(attempts, now, stop=True, repeated=True)

    def _list_unanswered(
        self,
        record: _roster.AgentRecord,
        now: datetime.datetime,
        interval: datetime.timedelta,
    ) -> set[int]:
        return {
            sequence
            for sequence in record.outstanding
            if now - self._attempts[sequence].asked_at >= interval
        }
