"""Withdrawal of runs whose room more urgent jobs need."""

from collections.abc import Mapping
import datetime

from cowslipgate_core.configuration import _configuration
from cowslipgate_core.jobs import _inquiries
from cowslipgate_core.jobs import _jobs
from cowslipgate_core.jobs import _ledger_actions
from cowslipgate_core.jobs import _ledger_counters
from cowslipgate_core.placement import _assignment
from cowslipgate_core.placement import _backlog
from cowslipgate_core.placement import _preemption


class PreemptedRuns:
    """Choice and withdrawal of runs, and what became of them.

    A lost withdrawal is repeated as for any attempt that must stop.

    :param attempts: attempts that are not final, by sequence number; the
        ledger adds and removes them
    """

    def __init__(
        self,
        attempts: Mapping[int, _jobs.Attempt],
        assigner: _assignment.Assigner,
        inquiries: _inquiries.Inquiries,
        counters: _ledger_counters.LedgerCounters,
    ) -> None:
        self._attempts = attempts
        self._assigner = assigner
        self._inquiries = inquiries
        self._counters = counters
        self._pending: dict[int, _preemption.Preemption] = {}
        self._descriptions: dict[int, _preemption.RunningTask] = {}

    def withdraw_preempted(
        self,
        now: datetime.datetime,
        quotas: Mapping[str, int],
        services: Mapping[str, _configuration.Service],
    ) -> list[_ledger_actions.LedgerAction]:
        """Return withdrawals of runs of the services that allow it.

        :param quotas: slots that each team may use at this entry
        :param services: configuration of each service, by name
        """
        actions: list[_ledger_actions.LedgerAction] = []
        for name in self._assigner.services:
            service = services.get(name)
            if service is None or not service.preemption:
                continue
            claimants = self._assigner.find_claimants(name, now, quotas)
            if claimants:
                actions.extend(self._preempt(name, claimants, now))
        return actions

    def record_end(self, attempt: _jobs.Attempt) -> None:
        """Record that an attempt is final."""
        state = attempt.machine.state
        if state == "finished":
            attempt.job.preemptions = 0
        preemption = self._pending.pop(attempt.sequence, None)
        if preemption is None:
            return
        if state == "finished":
            self._counters.preempted_finished += 1
        elif state != "not_started":
            self._counters.preempted_core_seconds += (
                preemption.lost_core_seconds
            )

    def _preempt(
        self,
        service: str,
        claimants: list[_backlog.WaitingJob],
        now: datetime.datetime,
    ) -> list[_ledger_actions.LedgerAction]:
        chosen = self._assigner.choose_preemptions(
            service, claimants, self._describe_runs(service), now
        )
        requests = {job.job: job.terms.request for job in claimants}
        actions: list[_ledger_actions.LedgerAction] = []
        stopped = []
        for preemption in chosen:
            attempt = self._attempts[preemption.attempt]
            attempt.preempted = True
            attempt.job.preemptions += 1
            self._pending[attempt.sequence] = preemption
            stopped.append(attempt)
            actions.append(
                _ledger_actions.ReportPreemption(
                    attempt, preemption, requests[preemption.for_job]
                )
            )
        self._counters.preempted += len(stopped)
        return actions + self._inquiries.withdraw(stopped, now, stop=True)

    def _describe_runs(self, service: str) -> list[_preemption.RunningTask]:
        """Return the runs of a service, described once unless they change."""
        descriptions = {}
        for sequence, attempt in self._attempts.items():
            if attempt.job.service != service:
                continue
            stopping = attempt.must_stop or attempt.stop_sent_at is not None
            known = self._descriptions.get(sequence)
            if (
                known is None
                or known.stopping != stopping
                or known.preemptions != attempt.job.preemptions
            ):
                known = self._assigner.describe_run(attempt, stopping)
            descriptions[sequence] = known
        self._descriptions = descriptions
        return list(descriptions.values())
