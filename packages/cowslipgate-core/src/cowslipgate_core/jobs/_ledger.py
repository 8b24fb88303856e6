"""The jobs and attempts of one entry, without sockets.

The ledger handles events and returns the actions that follow from them. It
sends a task again only if the last attempt has definitely not started, or if
the terms of the job allow another run.
"""

import collections
from collections.abc import Mapping
import datetime

from cowslipgate_core import _charts
from cowslipgate_core.configuration import _configuration
from cowslipgate_core.jobs import _caller_watch
from cowslipgate_core.jobs import _inquiries
from cowslipgate_core.jobs import _jobs
from cowslipgate_core.jobs import _late_jobs
from cowslipgate_core.jobs import _ledger_actions
from cowslipgate_core.jobs import _ledger_counters
from cowslipgate_core.jobs import _overloaded_jobs
from cowslipgate_core.jobs import _own_pauses
from cowslipgate_core.jobs import _preempted_runs
from cowslipgate_core.jobs import _stalled_runs
from cowslipgate_core.jobs import _timing
from cowslipgate_core.jobs import _traceparents
from cowslipgate_core.messages import _attempts
from cowslipgate_core.messages import _reports
from cowslipgate_core.placement import _assignment
from cowslipgate_core.placement import _estimates
from cowslipgate_core.placement import _interference
from cowslipgate_core.placement import _placement
from cowslipgate_core.placement import _room
from cowslipgate_core.placement import _roster
from cowslipgate_core.placement import _targets

MILLISECOND = datetime.timedelta(milliseconds=1)

URGENT_AGE = datetime.timedelta(milliseconds=500)
"""Age of the sign of a caller above which its runs may be stopped before
their agents ask for a newer one."""

_NEVER = datetime.datetime.max.replace(tzinfo=datetime.UTC)


class Ledger:
    """Jobs, attempts and agents of one entry.

    :param incarnation: number of this entry process
    :param timing: timeouts and inquiry intervals
    :param estimates: speeds of targets; new ones by default
    :param domain: failure domain of the entry; empty to prefer no targets
    :param cold_excess: factor by which cold targets are slower; 1 to ignore
        that they are cold
    """

    def __init__(
        self,
        policy: _placement.Policy,
        incarnation: int = 0,
        timing: _timing.Timing = _timing.Timing(),
        estimates: _estimates.Estimates | None = None,
        domain: str = "",
        cold_excess: float = 1.0,
    ) -> None:
        self._incarnation = incarnation
        self._timing = timing
        self._job_chart = _charts.load_chart("job")
        self._attempt_chart = _charts.load_chart("attempt")
        self._jobs: dict[str, _jobs.Job] = {}
        self._attempts: dict[int, _jobs.Attempt] = {}
        self._sequence = 0
        self._stops_at = _NEVER
        # No job that has not failed is due before this time.
        self._next_deadline = _NEVER
        self._caller_watch = _caller_watch.CallerWatch(
            timing.caller_lost_after
        )
        self.estimates = estimates or _estimates.Estimates()
        self._roster = _roster.Roster(
            self.estimates.get_present_speed,
            policy.queue_allowance,
            timing.agent_suspect_after,
            domain,
            cold_excess,
        )
        self._agents = self._roster.agents
        self._assigner = _assignment.Assigner(
            policy, self._roster, self.estimates
        )
        self.overload = _overloaded_jobs.OverloadedJobs(
            self._jobs, self._assigner, self._roster, self.estimates
        )
        self.counters = _ledger_counters.LedgerCounters()
        self._inquiries = _inquiries.Inquiries(
            self._attempts, timing, self.counters
        )
        self._own_pauses = _own_pauses.OwnPauses()
        self._stalled_runs = _stalled_runs.StalledRuns(
            self._assigner, self._inquiries, self.counters
        )
        self._preempted_runs = _preempted_runs.PreemptedRuns(
            self._attempts, self._assigner, self._inquiries, self.counters
        )

    @property
    def jobs(self) -> dict[str, _jobs.Job]:
        """Jobs not yet answered, by id."""
        return self._jobs

    @property
    def interference(self) -> _interference.Interference:
        """Routes whose tasks slow each other down."""
        return self._assigner.interference

    @property
    def heartbeat(self) -> datetime.timedelta:
        """Interval of reports that agents should use on idle links."""
        return self._roster.heartbeat

    @property
    def agents(self) -> dict[str, _roster.AgentRecord]:
        """Known agents by name."""
        return self._agents

    @property
    def attempts(self) -> dict[int, _jobs.Attempt]:
        """Attempts that are not final, by sequence number."""
        return self._attempts

    @property
    def has_assignable_tasks(self) -> bool:
        """Whether a task waits for a target or may get a speculative copy."""
        return self._assigner.has_assignable_tasks

    def is_present(self, agent: str, incarnation: int) -> bool:
        """Return whether an incarnation of an agent is the present one."""
        record = self._agents.get(agent)
        return record is not None and record.report.incarnation == incarnation

    def list_ages(
        self, agent: str, now: datetime.datetime
    ) -> tuple[tuple[int, int], ...]:
        """Return the ages of the signs that attempts at an agent rest on.

        They are those of the callers in milliseconds, by attempt; callers
        that are not probed are left out.
        """
        record = self._agents.get(agent)
        if record is None:
            return ()
        return tuple(
            (sequence, max(0, -((seen_at - now) // MILLISECOND)))
            for sequence in sorted(record.outstanding)
            if (seen_at := self._attempts[sequence].job.caller_seen_at)
            is not None
        )

    def count_demand(self) -> dict[str, int]:
        """Return the tasks waiting or under way by team."""
        demand: collections.Counter[str] = collections.Counter()
        for job in self._jobs.values():
            demand[job.team] += len(job.waiting) + len(job.active)
        return dict(demand)

    def count_active(self) -> dict[str, int]:
        """Return the tasks under way by team."""
        active: collections.Counter[str] = collections.Counter()
        for job in self._jobs.values():
            active[job.team] += len(job.active)
        return dict(active)

    def count_unstarted(self, label: str) -> int:
        """Return the number of jobs with a label and no task sent or run."""
        return sum(
            1
            for job in self._jobs.values()
            if job.request.label == label
            and not (job.active or job.results or job.known_started)
        )

    def count_waiting(self, service: str) -> int:
        """Return the number of tasks of a service that wait."""
        return self._assigner.count_waiting(service)

    def find_pool(self, service: str) -> _targets.Pool | None:
        """Return the targets of a service, ranked at the last assignment."""
        return self._roster.find_pool(service)

    def make_machine(self) -> _charts.StateMachine:
        """Return a state machine for a new job."""
        return _charts.StateMachine(self._job_chart)

    def submit(self, job: _jobs.Job) -> None:
        """Add a job to the backlog."""
        job.waiting = set(range(len(job.request.tasks)))
        self.limit_deadline(job)
        self._jobs[job.id] = job
        self._next_deadline = min(self._next_deadline, job.deadline)
        self._assigner.add_job(job)
        self._caller_watch.add(job)

    def stop_at(self, stops_at: datetime.datetime) -> None:
        """End every job in time for the entry to stop.

        :param stops_at: when the last jobs are answered
        """
        self._stops_at = stops_at
        for job in self._jobs.values():
            self.limit_deadline(job)
            if job.resolve_by is not None:
                job.resolve_by = min(job.resolve_by, stops_at)
            self._next_deadline = min(self._next_deadline, job.deadline)

    def limit_deadline(self, job: _jobs.Job) -> None:
        """Let a job end before its entry stops."""
        if self._stops_at == _NEVER:
            return
        latest = self._stops_at - self._timing.last_resolve_timeout
        if latest < job.deadline:
            job.deadline = latest
            job.ends_early = True

    def evacuate(self, domains: frozenset[str]) -> None:
        """Set the failure domains to whose targets nothing is sent."""
        self._roster.evacuate(domains)

    def confirm_callers(
        self,
        seen: Mapping[str, datetime.datetime],
        now: datetime.datetime,
    ) -> list[_ledger_actions.LedgerAction]:
        """Record when callers were last known to be connected.

        :param seen: these times by job id
        """
        actions: list[_ledger_actions.LedgerAction] = []
        agents: set[str] = set()
        for job_id, seen_at in seen.items():
            job = self._jobs.get(job_id)
            if job is None or job.caller_seen_at is None:
                continue
            if now - job.caller_seen_at > URGENT_AGE:
                agents.update(a.agent for a in job.active.values())
            job.caller_seen_at = max(job.caller_seen_at, seen_at)
            if job.suspended and self._caller_watch.is_seen(job, now):
                job.suspended = False
                self._assigner.resume_job(job)
                self._caller_watch.add(job)
                actions.append(_ledger_actions.ResumeJob(job))
        actions.extend(
            _ledger_actions.SendSigns(agent) for agent in sorted(agents)
        )
        return actions

    def handle_report(
        self, report: _reports.Report, now: datetime.datetime
    ) -> list[_ledger_actions.LedgerAction]:
        """Handle a heartbeat, which may be the first of an incarnation."""
        record = self._agents.get(report.agent)
        if record and report.incarnation < record.report.incarnation:
            return []
        self.estimates.record_labels(
            report.agent, report.domain, report.resources.labels, now
        )
        if record is None:
            record = _roster.AgentRecord(report, now, report.load)
            record.record_sent_ms(report.sent_ms, now)
            self._roster.add(record)
            return []
        known = record.report
        actions: list[_ledger_actions.LedgerAction] = []
        if report.incarnation > known.incarnation:
            actions = self._lose_attempts(record, now)
            record.received_ms = 0
        record.record_sent_ms(report.sent_ms, now)
        reconnected = report.link != known.link
        record.last_received_at = now
        self._roster.replace_report(record, report)
        if reconnected and record.outstanding:
            inquiries = self._inquiries.ask(record.outstanding, now)
            actions.extend(inquiries)
        return actions

    def handle_goodbye(
        self, goodbye: _reports.Goodbye, now: datetime.datetime
    ) -> bool:
        """Remove a leaving agent once it has no outstanding attempts.

        Return whether the agent is unknown or was removed. Until then it gets
        no new work.
        """
        record = self._agents.get(goodbye.agent)
        if record is None:
            return True
        if record.report.incarnation != goodbye.incarnation:
            return False
        if not record.outstanding:
            self._roster.remove(goodbye.agent)
            return True
        record.last_received_at = now
        record.record_sent_ms(goodbye.sent_ms, now)
        record.departing = True
        self._roster.update(record)
        return False

    def handle_results(
        self, results: _attempts.Results, now: datetime.datetime
    ) -> list[_ledger_actions.LedgerAction]:
        """Handle outcomes of attempts and the load sent with them."""
        self.counters.record_results(results.reports)
        record = self._agents.get(results.agent)
        # The link to an address survives a restart of the entry, and each
        # incarnation numbers its attempts from one.
        if (
            record is None
            or record.report.incarnation != results.incarnation
            or results.entry != self._incarnation
        ):
            self.counters.unmatched += len(results.reports)
            return []
        record.last_received_at = now
        record.record_sent_ms(results.sent_ms, now)
        record.awaits_load = False
        actions: list[_ledger_actions.LedgerAction] = []
        for report in results.reports:
            attempt = self._attempts.get(report.attempt)
            if attempt is None or attempt.agent != results.agent:
                self.counters.unmatched += 1
                continue
            actions.extend(self._apply_report(attempt, report, now))
        record.load = results.load
        self._roster.update(record)
        return actions

    def handle_unsent(
        self, agent: str, attempts: tuple[int, ...], now: datetime.datetime
    ) -> list[_ledger_actions.LedgerAction]:
        """Handle a dispatch that was not sent: its attempts never start."""
        actions: list[_ledger_actions.LedgerAction] = []
        for sequence in attempts:
            attempt = self._attempts.get(sequence)
            if attempt is None:
                continue
            report = _attempts.AttemptReport(
                sequence, _attempts.Outcome.NOT_STARTED
            )
            actions.extend(self._apply_report(attempt, report, now))
        record = self._agents.get(agent)
        if record is not None:
            record.awaits_load = True
            self._roster.update(record)
        return actions

    def cancel(
        self, job: _jobs.Job, now: datetime.datetime
    ) -> list[_ledger_actions.LedgerAction]:
        """Fail a job that its caller cancelled or no longer waits for."""
        return self.fail(
            job, _jobs.Failure.CANCELLED, "the job was cancelled", now
        )

    def cancel_all(
        self, jobs: list[_jobs.Job], now: datetime.datetime
    ) -> list[_ledger_actions.LedgerAction]:
        """Cancel many jobs with one message for each agent."""
        actions: list[_ledger_actions.LedgerAction] = []
        for job in jobs:
            actions.extend(self.cancel(job, now))
        return _ledger_actions.merge_withdraws(actions)

    def fail(
        self,
        job: _jobs.Job,
        failure: _jobs.Failure,
        message: str,
        now: datetime.datetime,
    ) -> list[_ledger_actions.LedgerAction]:
        """Fail a job and withdraw its attempts."""
        if not job.machine.allows("fail"):
            return []
        if job.failure is not None:
            return []
        job.machine.fire("fail")
        job.failure = failure
        job.message = message
        job.waiting.clear()
        self._assigner.drop_job(job)
        job.resolve_by = min(
            now + self._timing.resolve_timeout, self._stops_at
        )
        actions = self._inquiries.withdraw(
            list(job.active.values()), now, stop=True
        )
        return actions + self._resolve_failed_job(job, now)

    def tick(
        self, now: datetime.datetime
    ) -> list[_ledger_actions.LedgerAction]:
        """Handle passed deadlines, lost peers and overdue or stalled runs."""
        self.interference.review(now)
        actions = self._fail_late_jobs(now)
        actions.extend(self._suspend_unseen_jobs(now))
        for job in list(self._jobs.values()):
            if self._is_hopeless(job, now):
                late = _late_jobs.classify_late_job(
                    _jobs.Started.NONE, job.ends_early
                )
                actions.extend(
                    self.fail(
                        job,
                        late.failure,
                        late.message,
                        now,
                    )
                )
            actions.extend(self._resolve_failed_job(job, now))
        judges = self._own_pauses.may_judge_silence(now)
        for name, record in list(self._agents.items()):
            if not self._is_idle_and_heard(record, now):
                actions.extend(self._check_agent(name, record, now, judges))
        return _ledger_actions.merge_withdraws(actions)

    def assign(
        self,
        now: datetime.datetime,
        quotas: dict[str, int],
        entries: int = 1,
        services: Mapping[str, _configuration.Service] | None = None,
    ) -> list[_ledger_actions.LedgerAction]:
        """Choose targets for waiting tasks and return the dispatches.

        Withdrawals of runs that make room for more urgent jobs are added.

        Jobs whose deadline has passed are failed first, and those whose
        caller was not seen lately are suspended.

        :param quotas: slots that each team may use at this entry
        :param entries: number of entries that share the targets
        :param services: services with their configured weights
        """
        # After a pause of the process, targets may be free before a tick.
        actions = self._fail_late_jobs(now)
        actions.extend(self._suspend_unseen_jobs(now))
        services = services or {}
        chosen = self._assigner.choose(now, quotas, entries, services)
        actions.extend(self._send(chosen, now))
        actions.extend(
            self._preempted_runs.withdraw_preempted(now, quotas, services)
        )
        return _ledger_actions.merge_withdraws(actions)

    def _fail_late_jobs(
        self, now: datetime.datetime
    ) -> list[_ledger_actions.LedgerAction]:
        actions: list[_ledger_actions.LedgerAction] = []
        if now < self._next_deadline:
            return actions
        self._next_deadline = _NEVER
        for job in list(self._jobs.values()):
            if job.failure is not None:
                continue
            if now < job.deadline:
                self._next_deadline = min(self._next_deadline, job.deadline)
                continue
            actions.extend(
                self.fail(
                    job,
                    _late_jobs.OVERDUE.failure,
                    _late_jobs.OVERDUE.message,
                    now,
                )
            )
        return actions

    def _suspend_unseen_jobs(
        self, now: datetime.datetime
    ) -> list[_ledger_actions.LedgerAction]:
        actions: list[_ledger_actions.LedgerAction] = []
        for job in self._caller_watch.list_unseen(self._jobs.values(), now):
            job.suspended = True
            self._assigner.suspend_job(job)
            self.counters.suspended += 1
            actions.append(_ledger_actions.SuspendJob(job))
            actions.extend(
                self._inquiries.withdraw(
                    list(job.active.values()), now, stop=True
                )
            )
        return actions

    def _is_hopeless(self, job: _jobs.Job, now: datetime.datetime) -> bool:
        """Return whether a job, none of which ran, will miss its deadline."""
        if job.active or not job.waiting:
            return False
        if job.derive_started() is not _jobs.Started.NONE:
            return False
        return not self._assigner.can_end(job, now)

    def _send(
        self, chosen: list[_placement.Assignment], now: datetime.datetime
    ) -> list[_ledger_actions.LedgerAction]:
        by_agent: dict[str, list[_attempts.Order]] = {}
        for assignment in chosen:
            order = self._start_attempt(assignment, now)
            by_agent.setdefault(assignment.agent, []).append(order)
        return [
            _ledger_actions.SendOrders(
                agent,
                self._agents[agent].report.incarnation,
                tuple(orders),
                self._agents[agent].report.service,
            )
            for agent, orders in by_agent.items()
        ]

    def _start_attempt(
        self, assignment: _placement.Assignment, now: datetime.datetime
    ) -> _attempts.Order:
        job = self._jobs[assignment.job]
        record = self._agents[assignment.agent]
        self._sequence += 1
        attempt = _jobs.Attempt(
            self._sequence,
            job,
            assignment.index,
            assignment.agent,
            record.report.incarnation,
            now,
            _charts.StateMachine(self._attempt_chart),
            now,
        )
        attempt.machine.fire("send")
        job.machine.fire("dispatch")
        # The task of a speculative copy is no longer in the set.
        job.waiting.discard(assignment.index)
        job.active[attempt.sequence] = attempt
        self._attempts[attempt.sequence] = attempt
        if not record.outstanding:
            record.busy_since = now
        record.outstanding.add(attempt.sequence)
        self._assigner.start_attempt(attempt)
        self.counters.dispatched += 1
        request = job.request.tasks[assignment.index]
        record.own_use = _room.add_resources(record.own_use, request.needs)
        return _attempts.Order(
            attempt.sequence,
            attempt.task_id,
            request.kind,
            bytes(request.payload),
            _traceparents.derive_traceparent(job.traceparent, attempt.task_id),
            job.terms.name_task(assignment.index),
            attempt.run,
            request.needs,
            job.checkpoints.get(assignment.index, ""),
        )

    def _apply_report(
        self,
        attempt: _jobs.Attempt,
        report: _attempts.AttemptReport,
        now: datetime.datetime,
    ) -> list[_ledger_actions.LedgerAction]:
        # The calling method updates the roster once for each message.
        if attempt.machine.final:
            return []
        _advance_attempt(attempt.machine, report.outcome)
        if not attempt.machine.final:
            attempt.unanswered = max(0, attempt.unanswered - 1)
            return []
        self._close_attempt(attempt, now)
        actions = self._resolve_attempt(attempt, report, now)
        return actions + self._resolve_failed_job(attempt.job, now)

    def _close_attempt(
        self, attempt: _jobs.Attempt, now: datetime.datetime
    ) -> None:
        job = attempt.job
        del self._attempts[attempt.sequence]
        job.active.pop(attempt.sequence, None)
        self._assigner.close_attempt(attempt, now)
        self._preempted_runs.record_end(attempt)
        record = self._agents.get(attempt.agent)
        if record is not None:
            record.outstanding.discard(attempt.sequence)
            needs = job.request.tasks[attempt.index].needs
            record.own_use = _room.subtract_resources(record.own_use, needs)
        started = attempt.machine.get_attribute("started")
        job.known_started |= started == "yes"
        job.maybe_started |= started == "unknown"

    def _resolve_attempt(
        self,
        attempt: _jobs.Attempt,
        report: _attempts.AttemptReport,
        now: datetime.datetime,
    ) -> list[_ledger_actions.LedgerAction]:
        job = attempt.job
        job.record_checkpoint(attempt.index, report.checkpoint)
        match report.outcome:
            case _attempts.Outcome.FINISHED:
                return self._finish_task(attempt, report, now)
            case _attempts.Outcome.NOT_STARTED:
                self.counters.refused += 1
                self._hold_agent(attempt, report)
                self._requeue_task(attempt)
                return []
            case _attempts.Outcome.FAILED:
                job.failed_runs[attempt.index] += 1
                if job.failed_runs[attempt.index] < job.terms.attempts:
                    self.counters.repeated += 1
                    self._requeue_task(attempt)
                    return []
                detail = report.result.decode(errors="replace")[:200]
                message = f"task {attempt.index} failed: {detail}"
                return self.fail(job, _jobs.Failure.TASK_FAILED, message, now)
        if job.terms.rerun_lost or job.has_result_or_copy(attempt.index):
            self.counters.rerun += 1
            self._requeue_task(attempt)
            return []
        message = f"what became of task {attempt.index} is not known"
        return self.fail(job, _jobs.Failure.OUTCOME_UNKNOWN, message, now)

    def _requeue_task(self, attempt: _jobs.Attempt) -> None:
        job = attempt.job
        if job.failure is None and not job.has_result_or_copy(attempt.index):
            job.waiting.add(attempt.index)
            self._assigner.requeue(attempt)

    def _hold_agent(
        self, attempt: _jobs.Attempt, report: _attempts.AttemptReport
    ) -> None:
        # Resending to it at once what it refused would be a busy loop.
        record = self._agents.get(attempt.agent)
        if record is not None and report.reason in _HOLDING_REASONS:
            record.awaits_load = True

    def _finish_task(
        self,
        attempt: _jobs.Attempt,
        report: _attempts.AttemptReport,
        now: datetime.datetime,
    ) -> list[_ledger_actions.LedgerAction]:
        job = attempt.job
        request = job.request.tasks[attempt.index]
        if attempt.index not in job.checkpoints:
            # A run from a checkpoint does only part of the declared size.
            ratio = self.estimates.observe(
                attempt.agent,
                job.team,
                request.kind,
                request.size_ms,
                report.run_ms,
                self._get_excess(attempt),
            )
            if attempt.neighbours is not None and ratio is not None:
                self.interference.observe(attempt.neighbours, ratio, now)
        if attempt.unneeded:
            return []
        self._assigner.finish_task(attempt)
        job.results[attempt.index] = report.result
        others = job.list_runs(attempt.index)
        actions = self._inquiries.withdraw(others, now, stop=True)
        return actions + self._complete(job)

    def _get_excess(self, attempt: _jobs.Attempt) -> float:
        record = self._agents.get(attempt.agent)
        if record is None:
            return 1.0
        return self._roster.get_excess(record, attempt.sent_at)

    def _complete(self, job: _jobs.Job) -> list[_ledger_actions.LedgerAction]:
        if len(job.results) < len(job.request.tasks):
            return []
        job.machine.fire("finish")
        self.counters.complete += 1
        del self._jobs[job.id]
        self._assigner.drop_job(job)
        results = tuple(job.results[i] for i in range(len(job.results)))
        return [
            _ledger_actions.AnswerJob(job, _jobs.JobAnswer(job.id, results))
        ]

    def _resolve_failed_job(
        self, job: _jobs.Job, now: datetime.datetime
    ) -> list[_ledger_actions.LedgerAction]:
        if job.failure is None or job.id not in self._jobs:
            return []
        if job.active and now < job.resolve_by:
            return []
        started = job.derive_started()
        job.machine.fire("settle")
        self.counters.failed += 1
        del self._jobs[job.id]
        if job.failure is _jobs.Failure.DEADLINE:
            late = _late_jobs.classify_late_job(started, job.ends_early)
            job.failure, job.message = late.failure, late.message
        answer = _jobs.JobAnswer(
            job.id, (), job.failure, started, job.message, job.path
        )
        return [_ledger_actions.AnswerJob(job, answer)]

    def _is_idle_and_heard(
        self, record: _roster.AgentRecord, now: datetime.datetime
    ) -> bool:
        # Most agents of a large fleet are so, and an idle one is allowed at
        # least the silence of a busy one.
        silence = now - record.last_received_at
        return (
            not record.outstanding and silence <= self._timing.agent_lost_after
        )

    def _check_agent(
        self,
        name: str,
        record: _roster.AgentRecord,
        now: datetime.datetime,
        judges_silence: bool,
    ) -> list[_ledger_actions.LedgerAction]:
        limit = self._timing.agent_lost_after
        if self._roster.is_lost(record, limit, now):
            self._roster.remove(name)
            return self._lose_attempts(record, now)
        actions: list[_ledger_actions.LedgerAction] = []
        if judges_silence:
            actions.extend(self._inquiries.repeat_stops(record, now))
            actions.extend(self._inquiries.ask_overdue(record, now))
        outstanding = [
            self._attempts[sequence] for sequence in sorted(record.outstanding)
        ]
        return actions + self._stalled_runs.withdraw_stalled(outstanding, now)

    def _lose_attempts(
        self, record: _roster.AgentRecord, now: datetime.datetime
    ) -> list[_ledger_actions.LedgerAction]:
        actions: list[_ledger_actions.LedgerAction] = []
        for sequence in sorted(record.outstanding):
            attempt = self._attempts[sequence]
            attempt.machine.fire("lose")
            self._close_attempt(attempt, now)
            has_other = attempt.job.has_result_or_copy(attempt.index)
            if attempt.job.terms.rerun_lost or has_other:
                self.counters.rerun += 1
                self._requeue_task(attempt)
                actions.extend(self._resolve_failed_job(attempt.job, now))
                continue
            message = f"the agent that held task {attempt.index} was lost"
            actions.extend(
                self.fail(attempt.job, _jobs.Failure.AGENT_LOST, message, now)
            )
            actions.extend(self._resolve_failed_job(attempt.job, now))
        return actions


_HOLDING_REASONS = frozenset(
    (
        _attempts.Reason.BUSY,
        _attempts.Reason.NOT_SERVING,
        _attempts.Reason.STALE_TOKEN,
    )
)

_EVENTS = {
    _attempts.Outcome.FINISHED: "finish",
    _attempts.Outcome.FAILED: "break",
    _attempts.Outcome.NOT_STARTED: "refuse",
    _attempts.Outcome.STOPPED: "stop",
    _attempts.Outcome.RUNNING: "run",
    _attempts.Outcome.LOST: "end",
    _attempts.Outcome.UNKNOWN: "lose",
}


def _advance_attempt(
    machine: _charts.StateMachine, outcome: _attempts.Outcome
) -> None:
    event = _EVENTS[outcome]
    # A repeated or reordered report may be older than the known state.
    if machine.allows(event):
        machine.fire(event)
