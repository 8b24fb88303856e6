"""Component that counts the events of the other components."""

import attrs
import circuits

import cowslipgate_core as core
from cowslipgate_entry import _events
from cowslipgate_entry.agents import _dispatcher
from cowslipgate_entry.callers import _cancelled_jobs
from cowslipgate_entry.callers import _requests
from cowslipgate_entry.observation import _families
from cowslipgate_entry.observation import _minutes
from cowslipgate_entry.observation import _purposes
from cowslipgate_entry.observation import _readings
import cowslipgate_transport as transport

CHANNEL = "metrics"
USEFUL = "useful"
WASTED = "wasted"
NO_ROUTE = "none"
"""Label of jobs that came without a route."""

MILLISECONDS_PER_SECOND = 1000
STARTED_OUTCOMES = frozenset(
    (core.Outcome.FINISHED, core.Outcome.FAILED, core.Outcome.STOPPED)
)


@attrs.define
class _JobUse:
    """Attempts and slot time of one job so far."""

    sent: int = 0
    """Attempts sent."""

    runs: list[tuple[str, float]] = attrs.Factory(list)
    """Agent and seconds of each finished task."""

    @property
    def seconds(self) -> float:
        """Slot-seconds of its finished tasks."""
        return sum(seconds for _, seconds in self.runs)


class Metrics(circuits.BaseComponent):
    """Updates and renders the metrics of one entry."""

    channel = CHANNEL

    def __init__(
        self,
        dispatcher: _dispatcher.Dispatcher,
        server: transport.HttpServer,
        clock: core.Clock,
    ) -> None:
        super().__init__()
        self._dispatcher = dispatcher
        self._clock = clock
        self._uses: dict[str, _JobUse] = {}
        self._minutes = _minutes.Minutes()
        self._readings = _readings.Readings(dispatcher, server, self._minutes)
        self._families = _families.make_families(self._readings, clock)

    @property
    def families(self) -> _families.Families:
        """Metric families, for reading only."""
        return self._families

    def render(self) -> bytes:
        """Return the text exposition of all metrics."""
        self._copy_counters()
        self._minutes.advance(self._clock.now())
        values = attrs.astuple(self._families, recurse=False)
        return transport.render_families(values)

    @circuits.handler("configuration_adopted", channel=_events.GATEWAY)
    def _on_configuration_adopted(
        self, configuration: core.Configuration
    ) -> None:
        self._readings.version = configuration.version
        self._readings.priorities = frozenset(
            route.priority for route in configuration.document.routes.values()
        )

    @circuits.handler("job_accepted", channel=_events.GATEWAY)
    def _on_job_accepted(
        self, submission: _requests.Submission, job: core.Job
    ) -> None:
        self._uses[job.id] = _JobUse()

    @circuits.handler("run_preempted", channel=_events.GATEWAY)
    def _on_run_preempted(self, report: core.ReportPreemption) -> None:
        self._families.preemptions.add()

    @circuits.handler("job_refused", channel=_events.GATEWAY)
    def _on_job_refused(
        self, submission: _requests.Submission, answer: core.JobAnswer
    ) -> None:
        self._families.refusals.add(answer.failure.value)
        self._count_overload(submission.terms, answer)

    @circuits.handler("cancellations_counted", channel=_events.GATEWAY)
    def _on_cancellations_counted(
        self, action: _cancelled_jobs.CancellationAction, count: int
    ) -> None:
        self._families.cancellations.add(action.value, amount=count)

    @circuits.handler("job_answered", channel=_events.GATEWAY)
    def _on_job_answered(self, job: core.Job, answer: core.JobAnswer) -> None:
        self._count_overload(job.terms, answer)
        use = self._uses.pop(job.id, None)
        if use is None:
            return
        families = self._families
        if answer.failure is not None:
            families.jobs.add(answer.failure.value)
            families.sends.add("dispatch", WASTED, amount=use.sent)
            return
        tasks = len(job.request.tasks)
        families.jobs.add("complete")
        families.sends.add("dispatch", USEFUL, amount=tasks)
        families.sends.add("dispatch", WASTED, amount=use.sent - tasks)
        families.slot_seconds.add("needed", amount=use.seconds)
        now = self._clock.now()
        self._minutes.add_needed(use.seconds, now)
        response = (now - job.submitted_at).total_seconds()
        families.response.observe(response)
        ideal = self._estimate_ideal(job.service, use)
        if ideal > 0:
            families.ratio.observe(response / ideal)

    @circuits.handler("send_message", channel="*")
    def _on_send_message(self, identity: bytes, message: object) -> None:
        if isinstance(message, core.Dispatch):
            self._record_orders(message)
            return
        self._families.sends.add(_purposes.get_purpose(message), WASTED)

    @circuits.handler(
        "message_received", channel=_dispatcher.AGENTS_CHANNEL, priority=5
    )
    def _on_message_received(self, identity: bytes, message: object) -> None:
        # Runs before the dispatcher, which removes ended attempts.
        if isinstance(message, core.Results):
            for report in message.reports:
                self._record_report(report, message.agent)

    @circuits.handler("message_malformed", channel="*")
    def _on_message_malformed(
        self, identity: bytes, error: core.WireError
    ) -> None:
        self._families.malformed.add("undecodable")

    @circuits.handler("message_refused", channel="*")
    def _on_message_refused(
        self, identity: bytes, error: core.WireError
    ) -> None:
        self._families.malformed.add("refused")

    @circuits.handler("http_refused", channel="*")
    def _on_http_refused(self, kind: str) -> None:
        self._families.http_refused.add(kind)

    @circuits.handler("key_denied", channel="*")
    def _on_key_denied(self, address: str) -> None:
        self._families.denials.add()

    @circuits.handler("table_answered", channel="stored-estimates")
    def _on_table_answered(self, answer: core.TableAnswer) -> None:
        call = "write" if isinstance(answer.call, core.TableWrite) else "read"
        self._families.estimate_calls.add(call, answer.result.value)

    @circuits.handler("exception", channel="*", priority=20)
    def _on_exception(
        self, kind: type, *arguments: object, **details: object
    ) -> None:
        self._families.errors.add(kind.__name__)

    def _copy_counters(self) -> None:
        # The ledger alone knows how a preempted run ended, and which
        # placements were changed.
        ledger = self._dispatcher.ledger
        counters = ledger.counters
        for family, total in (
            (self._families.preempted_finished, counters.preempted_finished),
            (self._families.preempted_work, counters.preempted_core_seconds),
            (self._families.separated, ledger.interference.separated),
        ):
            family.add(amount=total - family.get())

    def _count_overload(
        self, terms: core.JobTerms, answer: core.JobAnswer
    ) -> None:
        if (
            answer.failure is core.Failure.OVERLOADED
            and answer.started is core.Started.NONE
        ):
            self._families.overloads.add(terms.route or NO_ROUTE)

    def _record_orders(self, message: core.Dispatch) -> None:
        now = self._clock.now()
        attempts = self._dispatcher.ledger.attempts
        for order in message.orders:
            attempt = attempts.get(order.attempt)
            if attempt is None:
                continue
            use = self._uses.get(attempt.job.id)
            if use is not None:
                use.sent += 1
            self._record_domain(attempt)
            wait = now - attempt.job.submitted_at
            self._families.queue_wait.observe(wait.total_seconds())

    def _record_domain(self, attempt: core.Attempt) -> None:
        pool = self._dispatcher.ledger.find_pool(attempt.job.service)
        view = pool.get(attempt.agent) if pool is not None else None
        if view is not None:
            self._families.domain_sends.add("own" if view.near else "other")

    def _record_report(self, report: core.AttemptReport, agent: str) -> None:
        attempt = self._dispatcher.ledger.attempts.get(report.attempt)
        if attempt is None or attempt.agent != agent:
            return
        if report.outcome is core.Outcome.RUNNING:
            return
        self._families.attempts.add(report.outcome.value)
        if report.outcome in STARTED_OUTCOMES:
            self._families.starts.add()
        seconds = report.run_ms / MILLISECONDS_PER_SECOND
        self._families.slot_seconds.add("used", amount=seconds)
        self._minutes.add_used(seconds, self._clock.now())
        use = self._uses.get(attempt.job.id)
        if use is None or report.outcome is not core.Outcome.FINISHED:
            return
        use.runs.append((agent, seconds))

    def _estimate_ideal(self, service: str, use: _JobUse) -> float:
        ledger = self._dispatcher.ledger
        pool = ledger.find_pool(service)
        if pool is None or pool.capacity <= 0:
            return 0.0
        fastest = next((v.speed for v in pool.ranked if v.slots), 0.0)
        if fastest <= 0:
            return 0.0
        # Run times converted to seconds on a target of speed one.
        get_speed = ledger.estimates.get_speed
        work = [seconds * get_speed(agent) for agent, seconds in use.runs]
        return max(max(work) / fastest, sum(work) / pool.capacity)
