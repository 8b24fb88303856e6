"""The component that counts what the others tell."""

import collections
import datetime
import functools

import attrs
import circuits

import cowslipgate_core as core
from cowslipgate_entry import _dispatcher
from cowslipgate_entry import _exposition
from cowslipgate_entry import _requests
import cowslipgate_transport as transport

CHANNEL = "metrics"
USEFUL = "useful"
WASTED = "wasted"
OTHER = "other"
SECONDS_PER_MINUTE = 60
MILLISECONDS_PER_SECOND = 1000
STARTED_OUTCOMES = frozenset(
    (core.Outcome.FINISHED, core.Outcome.FAILED, core.Outcome.STOPPED)
)


@attrs.define
class _JobUse:
    """What one job has used so far."""

    sent: int = 0
    """Attempts sent."""

    runs: list[tuple[str, float]] = attrs.Factory(list)
    """Agent and seconds of each finished task."""

    @property
    def seconds(self) -> float:
        """Slot time of its finished tasks."""
        return sum(seconds for _, seconds in self.runs)


class Metrics(circuits.BaseComponent):
    """Owns the counters and quantiles of one entry."""

    channel = CHANNEL

    def __init__(
        self,
        dispatcher: _dispatcher.Dispatcher,
        server: transport.HttpServer,
        clock: core.Clock,
    ) -> None:
        super().__init__()
        self._dispatcher = dispatcher
        self._server = server
        self._clock = clock
        self._version = 0
        self._states = frozenset(core.load_chart("target").states)
        self._uses: dict[str, _JobUse] = {}
        self._minutes = _Minutes()
        self._families = _make_families(self, clock)

    @property
    def families(self) -> "_Families":
        """Metric families, for reading."""
        return self._families

    def render(self) -> bytes:
        """Return the text exposition of all metrics."""
        self._minutes.turn(self._clock.now())
        values = attrs.astuple(self._families, recurse=False)
        return _exposition.render_families(values)

    def count_agents(self) -> dict[tuple[str, ...], float]:
        """Return the number of known agents by state."""
        states = collections.Counter()
        for record in self._dispatcher.ledger.agents.values():
            state = record.report.state
            states[(state if state in self._states else OTHER,)] += 1
        return dict(states)

    def count_jobs(self) -> dict[tuple[str, ...], float]:
        """Return the number of jobs in flight."""
        return {(): len(self._dispatcher.ledger.jobs)}

    def count_tasks(self) -> dict[tuple[str, ...], float]:
        """Return the number of tasks by state."""
        jobs = self._dispatcher.ledger.jobs.values()
        return {
            ("waiting",): sum(len(job.waiting) for job in jobs),
            ("sent",): sum(len(job.active) for job in jobs),
        }

    def get_version(self) -> dict[tuple[str, ...], float]:
        """Return the configuration version in force."""
        return {(): self._version}

    def count_connections(self) -> dict[tuple[str, ...], float]:
        """Return the number of open caller connections."""
        return {(): self._server.connections}

    def get_last_minute(self) -> dict[tuple[str, ...], float]:
        """Return the slot-seconds of the last whole minute."""
        return self._minutes.last.to_labels()

    def get_busiest_minute(self) -> dict[tuple[str, ...], float]:
        """Return the slot-seconds of the busiest minute."""
        return self._minutes.busiest.to_labels()

    @circuits.handler("configuration_adopted", channel="*")
    def _on_configuration_adopted(
        self, configuration: core.Configuration
    ) -> None:
        self._version = configuration.version

    @circuits.handler("job_accepted", channel="*")
    def _on_job_accepted(
        self, submission: _requests.Submission, job: core.Job
    ) -> None:
        self._uses[job.id] = _JobUse()

    @circuits.handler("job_refused", channel="*")
    def _on_job_refused(
        self, submission: _requests.Submission, answer: core.JobAnswer
    ) -> None:
        self._families.refusals.add(answer.failure.value)

    @circuits.handler("job_answered", channel="*")
    def _on_job_answered(self, job: core.Job, answer: core.JobAnswer) -> None:
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
            self._note_orders(message)
            return
        self._families.sends.add(get_purpose(message), WASTED)

    @circuits.handler(
        "message_received", channel=_dispatcher.AGENTS_CHANNEL, priority=5
    )
    def _on_message_received(self, identity: bytes, message: object) -> None:
        # Before the dispatcher, which forgets the attempts that end here.
        if isinstance(message, core.Results):
            for report in message.reports:
                self._note_report(report, message.agent)

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

    @circuits.handler("exception", channel="*", priority=20)
    def _on_exception(
        self, kind: type, *arguments: object, **details: object
    ) -> None:
        self._families.errors.add(kind.__name__)

    def _note_orders(self, message: core.Dispatch) -> None:
        now = self._clock.now()
        attempts = self._dispatcher.ledger.attempts
        for order in message.orders:
            attempt = attempts.get(order.attempt)
            if attempt is None:
                continue
            use = self._uses.get(attempt.job.id)
            if use is not None:
                use.sent += 1
            wait = now - attempt.job.submitted_at
            self._families.queue_wait.observe(wait.total_seconds())

    def _note_report(self, report: core.AttemptReport, agent: str) -> None:
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

    def _get_speed(self, agent: str) -> float:
        return self._dispatcher.ledger.estimates.get_speed(agent)

    def _estimate_ideal(self, service: str, use: _JobUse) -> float:
        speeds = []
        capacity = 0.0
        for name, record in self._dispatcher.ledger.agents.items():
            if record.report.service == service and record.load.slots:
                speed = self._get_speed(name)
                speeds.append(speed)
                capacity += speed * record.load.slots
        if not capacity:
            return 0.0
        # Seconds on a target of speed one.
        work = [s * self._get_speed(agent) for agent, s in use.runs]
        return max(max(work) / max(speeds), sum(work) / capacity)


@attrs.frozen
class _Minute:
    """Slot-seconds of one minute."""

    used: float = 0.0
    """Of all tasks that ended."""

    needed: float = 0.0
    """Of the tasks of complete jobs."""

    def to_labels(self) -> dict[tuple[str, ...], float]:
        """Return the values by label."""
        return {("used",): self.used, ("needed",): self.needed}


@attrs.define
class _Minutes:
    """Slot-seconds by the minute in which tasks ended."""

    number: int = 0
    """Minutes since the epoch."""

    current: _Minute = _Minute()
    """Minute under way."""

    last: _Minute = _Minute()
    """Last whole minute."""

    busiest: _Minute = _Minute()
    """Whole minute in which most was used."""

    def turn(self, now: datetime.datetime) -> None:
        """Begin another minute when the time has come."""
        number = int(now.timestamp()) // SECONDS_PER_MINUTE
        if number == self.number:
            return
        if self.current.used > self.busiest.used:
            self.busiest = self.current
        follows = number == self.number + 1
        self.last = self.current if follows else _Minute()
        self.current = _Minute()
        self.number = number

    def add_used(self, seconds: float, now: datetime.datetime) -> None:
        """Add the slot time of a task that ended."""
        self.turn(now)
        used = self.current.used + seconds
        self.current = attrs.evolve(self.current, used=used)

    def add_needed(self, seconds: float, now: datetime.datetime) -> None:
        """Add the slot time of a complete job."""
        self.turn(now)
        needed = self.current.needed + seconds
        self.current = attrs.evolve(self.current, needed=needed)


@functools.singledispatch
def get_purpose(message: object) -> str:
    """Return the purpose of a message between processes."""
    return "other"


@get_purpose.register
def _(message: core.Withdraw) -> str:
    return "withdraw" if message.stop else "inquiry"


@get_purpose.register
def _(message: core.Acknowledge) -> str:
    return "acknowledge"


@get_purpose.register
def _(message: core.Beat) -> str:
    return "beat"


@get_purpose.register
def _(message: core.Gossip) -> str:
    return "gossip"


@get_purpose.register(core.ConfigurationPush)
@get_purpose.register(core.ConfigurationRequest)
@get_purpose.register(core.ConfigurationAcknowledge)
def _(message: object) -> str:
    return "configuration"


@get_purpose.register(core.CancelRequest)
@get_purpose.register(core.CancelReply)
def _(message: object) -> str:
    return "cancellation"


@attrs.frozen
class _Families:
    """Every metric family, in the order of the exposition."""

    jobs: _exposition.Counter
    """Jobs answered by outcome."""

    refusals: _exposition.Counter
    """Jobs refused by type."""

    response: _exposition.Summary
    """Response time of complete jobs."""

    ratio: _exposition.Summary
    """Response time against the ideal."""

    queue_wait: _exposition.Summary
    """Wait of tasks at the entry."""

    sends: _exposition.Counter
    """Sends by purpose."""

    attempts: _exposition.Counter
    """Attempts by outcome."""

    starts: _exposition.Counter
    """Tasks started."""

    slot_seconds: _exposition.Counter
    """Slot time used and needed."""

    last_minute: _exposition.Gauge
    """Slot time of the last minute."""

    busiest_minute: _exposition.Gauge
    """Slot time of the busiest minute."""

    agents: _exposition.Gauge
    """Agents by state."""

    jobs_in_flight: _exposition.Gauge
    """Jobs in flight."""

    tasks: _exposition.Gauge
    """Tasks by state."""

    version: _exposition.Gauge
    """Configuration version."""

    connections: _exposition.Gauge
    """Caller connections."""

    http_refused: _exposition.Counter
    """Requests refused before they were read."""

    malformed: _exposition.Counter
    """Malformed internal messages."""

    denials: _exposition.Counter
    """Connections with an unknown key."""

    errors: _exposition.Counter
    """Unhandled exceptions."""


def _make_families(metrics: Metrics, clock: core.Clock) -> _Families:
    counter = _exposition.Counter
    gauge = _exposition.Gauge
    summary = _exposition.Summary
    return _Families(
        jobs=counter(
            "cowslipgate_jobs_total",
            "Accepted jobs answered: complete, or the type of the failure.",
            "outcome",
        ),
        refusals=counter(
            "cowslipgate_refusals_total",
            "Jobs refused before anything was sent, by type.",
            "type",
        ),
        response=summary(
            "cowslipgate_response_seconds",
            "Time from acceptance to answer of complete jobs.",
            clock,
        ),
        ratio=summary(
            "cowslipgate_response_ratio",
            "Response time over the ideal. The ideal is the larger of the "
            "longest task on the fastest open target of the service and all "
            "the job's work spread over all its open slots, from measured "
            "run times and learned speeds.",
            clock,
        ),
        queue_wait=summary(
            "cowslipgate_queue_wait_seconds",
            "Time from a job's acceptance to each dispatch of a task of it.",
            clock,
        ),
        sends=counter(
            "cowslipgate_sends_total",
            "Sends to agents and entries by purpose. A dispatch counts each "
            "attempt when its job is answered, useful when it gave a result "
            "of a complete job; every other message counts as wasted.",
            "purpose",
            "work",
        ),
        attempts=counter(
            "cowslipgate_attempts_total",
            "Attempts by the outcome that their agent told.",
            "outcome",
        ),
        starts=counter(
            "cowslipgate_starts_total", "Tasks known to have been started."
        ),
        slot_seconds=counter(
            "cowslipgate_slot_seconds_total",
            "Slot time used by tasks that ended, and needed by complete jobs.",
            "use",
        ),
        last_minute=gauge(
            "cowslipgate_slot_seconds_last_minute",
            "Slot time of the last whole minute.",
            metrics.get_last_minute,
            "use",
        ),
        busiest_minute=gauge(
            "cowslipgate_slot_seconds_busiest_minute",
            "Slot time of the busiest whole minute since the start.",
            metrics.get_busiest_minute,
            "use",
        ),
        agents=gauge(
            "cowslipgate_agents",
            "Known agents by the state of their target.",
            metrics.count_agents,
            "state",
        ),
        jobs_in_flight=gauge(
            "cowslipgate_jobs_in_flight", "Jobs in flight.", metrics.count_jobs
        ),
        tasks=gauge(
            "cowslipgate_tasks",
            "Tasks of jobs in flight by state.",
            metrics.count_tasks,
            "state",
        ),
        version=gauge(
            "cowslipgate_configuration_version",
            "Configuration version in force at this entry.",
            metrics.get_version,
        ),
        connections=gauge(
            "cowslipgate_connections",
            "Open caller connections.",
            metrics.count_connections,
        ),
        http_refused=counter(
            "cowslipgate_http_refused_total",
            "Requests refused or cut off by the HTTP server, by type.",
            "type",
        ),
        malformed=counter(
            "cowslipgate_messages_malformed_total",
            "Internal messages that could not be decoded or were refused.",
            "reason",
        ),
        denials=counter(
            "cowslipgate_key_denials_total",
            "Internal connections refused because their key is not known.",
        ),
        errors=counter(
            "cowslipgate_internal_errors_total",
            "Exceptions that a handler did not expect, by type.",
            "error",
        ),
    )
