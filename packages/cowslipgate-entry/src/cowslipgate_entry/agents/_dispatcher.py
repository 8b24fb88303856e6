"""Dispatch of tasks, and the ledger of jobs, attempts and agents."""

from collections.abc import Mapping
import datetime
import functools
import itertools
import secrets

import attrs
import circuits

import cowslipgate_core as core
from cowslipgate_entry import _events
from cowslipgate_entry.agents import _agent_sender
from cowslipgate_entry.agents import _member_lists
from cowslipgate_entry.callers import _admission
from cowslipgate_entry.callers import _ended_jobs
from cowslipgate_entry.callers import _pending_cancellations
from cowslipgate_entry.callers import _quota_limits
from cowslipgate_entry.callers import _requests
import cowslipgate_transport as transport

CHANNEL = "dispatcher"
AGENTS_CHANNEL = "internal"


class Dispatcher(circuits.BaseComponent):
    """Component that admits jobs, dispatches tasks and answers jobs."""

    channel = CHANNEL

    def __init__(
        self, ledger: core.Ledger, member: core.Member, clock: core.Clock
    ) -> None:
        super().__init__()
        self._ledger = ledger
        self._member = member
        self._clock = clock
        self._numbers = itertools.count(1)
        self._machine = core.StateMachine(core.load_chart("entry"))
        self._configuration: core.Configuration | None = None
        self._members = _member_lists.MemberLists((member,))
        self._limits = _quota_limits.QuotaLimits(clock.now())
        self._acknowledgements = core.Acknowledgements()
        self._sender = _agent_sender.AgentSender(
            member.incarnation,
            ledger,
            self._acknowledgements,
            self._send_message,
            clock,
        )
        self._assignment_scheduled = False
        self._versions = core.VersionWatch()
        self._claims: dict[str, _requests.Claim] = {}
        self._cancellations = _pending_cancellations.PendingCancellations()
        self._admission = _admission.Admission(ledger)
        self._ended = _ended_jobs.EndedJobs()

    @property
    def state(self) -> str:
        """State of the chart ``entry``."""
        return self._machine.state

    @property
    def ledger(self) -> core.Ledger:
        """Jobs, attempts and agents."""
        return self._ledger

    def find_state(
        self, team: str, resource: str
    ) -> _requests.JobState | None:
        """Return the state of a team's jobs that it names so, if any."""
        jobs = [
            job
            for job in (
                *self._ledger.jobs.values(),
                *(claim.job for claim in self._claims.values()),
            )
            if job.team == team and job.terms.resource == resource
        ]
        going_on = [
            job for job in jobs if job.failure is not core.Failure.CANCELLED
        ]
        if not going_on:
            return _requests.JobState.CANCELLED if jobs else None
        if any(job.active or job.results for job in going_on):
            return _requests.JobState.RUNNING
        if any(job.known_started or job.maybe_started for job in going_on):
            return _requests.JobState.RUNNING
        return _requests.JobState.QUEUED

    @circuits.handler("configuration_adopted")
    def _on_configuration_adopted(
        self, configuration: core.Configuration
    ) -> None:
        self._configuration = configuration
        self._versions.adopt(configuration.version)
        self._machine.fire("configure")
        for name in self._ledger.agents:
            self._send_heartbeat(name)
        self._schedule()

    @circuits.handler("members_changed")
    def _on_members_changed(self, members: tuple[core.Member, ...]) -> None:
        self._members.replace(members)

    @circuits.handler("limits_changed")
    def _on_limits_changed(
        self, limits: dict[str, int], valid_until: datetime.datetime
    ) -> None:
        self._limits.replace(limits, valid_until)
        self._schedule()

    @circuits.handler("submit_job")
    def _on_submit_job(self, submission: _requests.Submission) -> None:
        job = self._make_job(submission)
        refusal = self._find_refusal(job)
        if refusal is not None:
            answer = core.JobAnswer(
                job.id,
                failure=refusal.failure,
                message=refusal.message,
                path=refusal.path,
            )
            answer = self._admission.complete_answer(
                job, answer, job.submitted_at
            )
            self._admission.forget_job(job)
            self.fire(_events.job_refused(submission, answer), "gateway")
            return
        self.fire(_events.job_accepted(submission, job), "gateway")
        self._admission.add_job(job)
        if submission.request.repeatable:
            self._ledger.submit(job)
            self._schedule()
            return
        key = core.digest_claim(submission.team, submission.key)
        claim = _requests.Claim(key, secrets.token_hex(8), job)
        self._claims[job.id] = claim
        self.fire(_events.claim_job(claim), "claims")

    @circuits.handler("job_claimed")
    def _on_job_claimed(
        self,
        claim: _requests.Claim,
        outcome: _requests.ClaimOutcome,
        known: str,
    ) -> None:
        job = claim.job
        if self._claims.pop(job.id, None) is None:
            return
        if outcome is _requests.ClaimOutcome.CLAIMED:
            self._ledger.submit(job)
            self._schedule()
            return
        if outcome is _requests.ClaimOutcome.TAKEN:
            running = known in self._ledger.jobs or known in self._claims
            answer = self._ended.answer_repeat(job, known, running)
        else:
            answer = core.JobAnswer(
                job.id,
                failure=core.Failure.STORE_UNAVAILABLE,
                message="the claim was not confirmed; send it again later",
            )
        self._end_job(job, answer)

    @circuits.handler("abandon_job")
    def _on_abandon_job(self, job_id: str) -> None:
        job = self._ledger.jobs.get(job_id)
        if job is not None:
            self._perform(self._ledger.cancel(job, self._clock.now()))
        elif job_id in self._claims:
            self._abandon_claims([job_id], core.Failure.CANCELLED)

    @circuits.handler("confirm_callers")
    def _on_confirm_callers(
        self, seen: Mapping[str, datetime.datetime]
    ) -> None:
        actions = self._ledger.confirm_callers(seen, self._clock.now())
        if actions:
            self._perform(actions)
            self._schedule()

    @circuits.handler("cancel_jobs")
    def _on_cancel_jobs(self, cancellation: _requests.Cancellation) -> None:
        jobs = [
            job
            for job in self._ledger.jobs.values()
            if _pending_cancellations.matches(cancellation, job)
        ]
        claimed = [
            claim.job.id
            for claim in self._claims.values()
            if _pending_cancellations.matches(cancellation, claim.job)
        ]
        self._cancellations.add(
            cancellation, {job.id for job in jobs} | set(claimed)
        )
        self._abandon_claims(claimed, core.Failure.CANCELLED)
        self._perform(self._ledger.cancel_all(jobs, self._clock.now()))
        self._answer_cancellations()

    @circuits.handler("message_received", channel=AGENTS_CHANNEL)
    def _on_message_received(self, identity: bytes, message: object) -> None:
        _handle_message(message, self, self._clock.now())

    @circuits.handler("message_unsent", channel=AGENTS_CHANNEL)
    def _on_message_unsent(self, identity: bytes, message: object) -> None:
        if not isinstance(message, core.Dispatch):
            return
        agent = identity.decode().rpartition("/")[0]
        attempts = tuple(order.attempt for order in message.orders)
        self._perform(
            self._ledger.handle_unsent(agent, attempts, self._clock.now())
        )
        self._schedule()

    @circuits.handler("tick")
    def _on_tick(self) -> None:
        now = self._clock.now()
        self._perform(self._ledger.tick(now))
        self._fail_infeasible(now)
        self._fail_overloaded(now)
        expired = [
            c.job for c in self._claims.values() if c.job.deadline <= now
        ]
        for job in expired:
            late = core.Failure.DEADLINE
            if job.ends_early:
                late = core.Failure.STOPPING
            self._abandon_claims([job.id], late)
        self._sender.acknowledge(self._acknowledgements.list_overdue(now))
        self._schedule()
        if self._machine.state == "closing" and not (
            self._ledger.jobs or self._claims
        ):
            self._machine.fire("empty")
            self._sender.acknowledge(self._acknowledgements.list_agents())
            for name in self._ledger.agents:
                self._send_heartbeat(name)
            self.fire(_events.entry_drained(), "process")

    @circuits.handler("drain")
    def _on_drain(self) -> None:
        if self._machine.allows("drain"):
            self._machine.fire("drain")

    @circuits.handler("stop_at")
    def _on_stop_at(self, stops_at: datetime.datetime) -> None:
        self._ledger.stop_at(stops_at)
        for claim in self._claims.values():
            self._ledger.limit_deadline(claim.job)

    @circuits.handler("close_entry")
    def _on_close_entry(self) -> None:
        if self._machine.allows("close"):
            self._machine.fire("close")

    @circuits.handler("assign_tasks")
    def _on_assign_tasks(self) -> None:
        self._assignment_scheduled = False
        if self._configuration is None or self._versions.is_outdated:
            return
        now = self._clock.now()
        document = self._configuration.document
        self._perform(
            self._ledger.assign(
                now,
                self._limits.list_slots(document, now),
                len(self._members),
                document.services,
            )
        )

    def handle_report(
        self, report: core.Report, now: datetime.datetime
    ) -> None:
        """Record an agent's heartbeat and answer it."""
        self._admission.record_report(report, now)
        self._perform(self._ledger.handle_report(report, now))
        sender = core.encode_identity(report.agent, report.incarnation)
        self._handle_version(report.configuration_version, sender)
        heartbeat = attrs.evolve(
            self._make_heartbeat(self._members.choose(report, now)),
            acknowledged=self._acknowledgements.take(report.agent),
        )
        self._ledger.counters.heartbeats += 2
        self._sender.send_heartbeat(report.agent, heartbeat)
        self._schedule()

    def handle_goodbye(
        self, goodbye: core.Goodbye, now: datetime.datetime
    ) -> None:
        """Release a leaving agent, or answer with a heartbeat.

        An agent is released once every outcome of its attempts is known.
        """
        message: core.Beat | core.Release = attrs.evolve(
            self._make_heartbeat(), received_ms=goodbye.sent_ms
        )
        if self._ledger.handle_goodbye(goodbye, now):
            message = core.Release(
                self._member.incarnation,
                goodbye.number,
                self._acknowledgements.take(goodbye.agent),
            )
        elif self._ledger.is_present(goodbye.agent, goodbye.incarnation):
            message = self._sender.date(goodbye.agent, message)
        self._ledger.counters.heartbeats += 2
        self._sender.send_to(goodbye.agent, goodbye.incarnation, message)

    def handle_results(
        self, results: core.Results, now: datetime.datetime
    ) -> None:
        """Record outcomes and schedule their acknowledgement."""
        ended = [
            report.attempt
            for report in results.reports
            if report.outcome is not core.Outcome.RUNNING
        ]
        self._acknowledgements.add(results.agent, ended, now)
        sender = core.encode_identity(results.agent, results.incarnation)
        self._handle_version(results.configuration_version, sender)
        self._perform(self._ledger.handle_results(results, now))
        self._schedule()

    def _handle_version(self, version: int, sender: bytes) -> None:
        self._versions.record_version(version)
        if self._versions.is_outdated:
            newest = self._versions.newest
            event = _events.newer_configuration_reported(newest, sender)
            self.fire(event, "configuration-manager")

    def _make_job(self, submission: _requests.Submission) -> core.Job:
        now = self._clock.now()
        number = next(self._numbers)
        milliseconds = submission.request.deadline_ms
        if milliseconds is None and self._configuration is not None:
            service = self._configuration.document.services.get(
                submission.service, core.Service()
            )
            milliseconds = service.default_deadline_ms
        deadline = now + datetime.timedelta(milliseconds=milliseconds or 0)
        job = core.Job(
            f"{self._member.incarnation:x}-{number:x}",
            submission.team,
            submission.service,
            submission.request,
            now,
            deadline,
            self._ledger.make_machine(),
            traceparent=submission.traceparent,
            terms=submission.terms,
            caller_seen_at=submission.caller_seen_at,
        )
        self._ledger.limit_deadline(job)
        return job

    def _find_refusal(self, job: core.Job) -> core.Refusal | None:
        if self._machine.get_attribute("accepts") != "yes":
            return self._refuse_closed()
        if job.terms.unsupported:
            option = job.terms.unsupported
            return core.Refusal(
                core.Failure.UNSUPPORTED,
                f"{option} is not supported; submit the job without it",
            )
        services = self._configuration.document.services
        refusal = self._admission.find_refusal(job, services)
        if refusal is None or refusal.failure is not core.Failure.OVERLOADED:
            return refusal
        # Other entries have more time for it.
        return self._refuse_closed() if job.ends_early else refusal

    def _refuse_closed(self) -> core.Refusal:
        if self._configuration is None:
            return core.Refusal(
                core.Failure.NO_CONFIGURATION,
                "no configuration has been read yet; try again",
            )
        return core.Refusal(
            core.Failure.STOPPING, "the entry is stopping; try again"
        )

    def _fail_infeasible(self, now: datetime.datetime) -> None:
        for job, refusal in self._admission.pop_infeasible(now):
            if job.id not in self._ledger.jobs:
                continue
            job.path = refusal.path
            self._perform(
                self._ledger.fail(job, refusal.failure, refusal.message, now)
            )

    def _fail_overloaded(self, now: datetime.datetime) -> None:
        if self._configuration is None:
            return
        services = self._configuration.document.services
        for job, refusal in self._admission.list_overloaded(services, now):
            self._perform(
                self._ledger.fail(job, refusal.failure, refusal.message, now)
            )

    def _get_version(self) -> int:
        configuration = self._configuration
        return configuration.version if configuration is not None else 0

    def _make_heartbeat(
        self, members: tuple[core.Member, ...] = ()
    ) -> core.Beat:
        return core.Beat(
            self._member.incarnation,
            self._get_version(),
            members,
            self._machine.state == "stopped",
            self._ledger.heartbeat // datetime.timedelta(milliseconds=1),
        )

    def _send_heartbeat(self, agent: str) -> None:
        self._sender.send_heartbeat(agent, self._make_heartbeat())

    def _schedule(self) -> None:
        # One pass serves all events of the same turn of the event loop.
        if self._assignment_scheduled or not self._ledger.has_assignable_tasks:
            return
        self._assignment_scheduled = True
        self.fire(_events.assign_tasks())

    def _perform(self, actions: list[core.LedgerAction]) -> None:
        for action in actions:
            match action:
                case core.SendOrders():
                    self._sender.dispatch(action, self._get_version())
                case core.SendWithdraw():
                    self._sender.withdraw(action)
                case core.AnswerJob():
                    self._end_job(action.job, action.answer)
                case core.SuspendJob():
                    self.fire(_events.caller_unseen(action.job), "gateway")
                case core.SendSigns():
                    self._send_heartbeat(action.agent)
                case core.ResumeJob():
                    self.fire(_events.caller_seen(action.job), "gateway")
                case core.ReportPreemption():
                    self.fire(_events.run_preempted(action), "gateway")

    def _abandon_claims(
        self, job_ids: list[str], failure: core.Failure
    ) -> None:
        # A claim may still be stored later, but its job is gone and won't run.
        for job_id in job_ids:
            job = self._claims.pop(job_id).job
            message = "the job ended before its claim was stored"
            answer = core.JobAnswer(job_id, failure=failure, message=message)
            self._end_job(job, answer)

    def _end_job(self, job: core.Job, answer: core.JobAnswer) -> None:
        answer = self._admission.complete_answer(
            job, answer, self._clock.now()
        )
        self._admission.forget_job(job)
        self.fire(_events.job_answered(job, answer), "gateway")
        self._ended.add(job, answer)
        self._cancellations.record_answer(job.id)
        self._answer_cancellations()

    def _answer_cancellations(self) -> None:
        for pending in self._cancellations.take_complete():
            event = _events.jobs_cancelled(pending.cancellation, pending.size)
            self.fire(event, "cancellations")

    def _send_message(self, identity: bytes, message: object) -> None:
        self.fire(transport.send_message(identity, message), AGENTS_CHANNEL)


@functools.singledispatch
def _handle_message(
    message: object, dispatcher: Dispatcher, now: datetime.datetime
) -> None:
    """Pass a message to the dispatcher by type; ignore other types."""


@_handle_message.register
def _handle_report(
    message: core.Report, dispatcher: Dispatcher, now: datetime.datetime
) -> None:
    dispatcher.handle_report(message, now)


@_handle_message.register
def _handle_goodbye(
    message: core.Goodbye, dispatcher: Dispatcher, now: datetime.datetime
) -> None:
    dispatcher.handle_goodbye(message, now)


@_handle_message.register
def _handle_results(
    message: core.Results, dispatcher: Dispatcher, now: datetime.datetime
) -> None:
    dispatcher.handle_results(message, now)
