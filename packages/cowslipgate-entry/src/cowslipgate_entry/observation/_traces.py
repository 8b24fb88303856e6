"""Spans of sampled jobs, written as JSON lines."""

import datetime
import sys
from typing import TextIO

import attrs
import circuits
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace
from opentelemetry.sdk.trace import export
from opentelemetry import trace as trace_api

import cowslipgate_core as core
from cowslipgate_entry import _events
from cowslipgate_entry.agents import _dispatcher
from cowslipgate_entry.callers import _requests
from cowslipgate_entry.observation import _sampler
import cowslipgate_transport as transport

CHANNEL = "traces"
STANDARD_OUTPUT = "-"
_EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)
_MICROSECOND = datetime.timedelta(microseconds=1)
_NANOSECONDS_PER_MICROSECOND = 1000
_NO_TIME = datetime.timedelta(0)


def open_exporter(output: str) -> export.SpanExporter:
    """Return an exporter of JSON lines to a file or standard output.

    :raises OSError: when the file cannot be opened
    """
    if output == STANDARD_OUTPUT:
        return make_exporter(sys.stdout)
    return make_exporter(open(output, "a", encoding="utf-8"))


def make_exporter(stream: TextIO) -> export.SpanExporter:
    """Return an exporter that writes JSON lines to ``stream``."""
    return export.ConsoleSpanExporter(out=stream, formatter=_format_span)


def _format_span(span: trace.ReadableSpan) -> str:
    return span.to_json(indent=None) + "\n"


@attrs.frozen
class _EndedAttempt:
    """An attempt whose agent reported its end."""

    attempt: core.Attempt
    """Attempt that ended."""

    report: core.AttemptReport
    """Report of its agent."""

    received_at: datetime.datetime
    """When the entry received the report."""


@attrs.define(eq=False)
class _JobTrace:
    """Data of one sampled job for its spans."""

    submission: _requests.Submission
    """Submission that the job was created from."""

    job: core.Job
    """Sampled job."""

    ended_attempts: list[_EndedAttempt] = attrs.Factory(list)
    """Attempts that ended."""

    answered_at: datetime.datetime | None = None
    """When the outcome of the job was decided, or None until then."""

    outcome: str = ""
    """``complete``, or the kind of failure; empty until decided."""


class Traces(circuits.BaseComponent):
    """Collects the ended attempts of sampled jobs and exports their spans."""

    channel = CHANNEL

    def __init__(
        self,
        dispatcher: _dispatcher.Dispatcher,
        exporter: export.SpanExporter,
        entry: int,
        clock: core.Clock,
    ) -> None:
        super().__init__()
        self._dispatcher = dispatcher
        self._exporter = exporter
        self._clock = clock
        self._jobs: dict[str, _JobTrace] = {}
        self._answered: dict[transport.Exchange, _JobTrace] = {}
        self._resource = resources.Resource(
            {"service.name": "cowslipgate", "service.instance.id": str(entry)}
        )

    @circuits.handler("job_accepted", channel=_events.GATEWAY)
    def _on_job_accepted(
        self, submission: _requests.Submission, job: core.Job
    ) -> None:
        context = core.parse_traceparent(job.traceparent)
        if context is not None and context.sampled:
            self._jobs[job.id] = _JobTrace(submission, job)

    @circuits.handler(
        "message_received", channel=_dispatcher.AGENTS_CHANNEL, priority=5
    )
    def _on_message_received(self, identity: bytes, message: object) -> None:
        # Runs before the dispatcher, which removes ended attempts.
        if not self._jobs or not isinstance(message, core.Results):
            return
        now = self._clock.now()
        for report in message.reports:
            attempt = self._dispatcher.ledger.attempts.get(report.attempt)
            if attempt is None or attempt.agent != message.agent:
                continue
            job_trace = self._jobs.get(attempt.job.id)
            if job_trace is not None:
                job_trace.ended_attempts.append(
                    _EndedAttempt(attempt, report, now)
                )

    @circuits.handler("job_answered", channel=_events.GATEWAY)
    def _on_job_answered(self, job: core.Job, answer: core.JobAnswer) -> None:
        job_trace = self._jobs.pop(job.id, None)
        if job_trace is None:
            return
        job_trace.answered_at = self._clock.now()
        job_trace.outcome = "complete"
        if answer.failure is not None:
            job_trace.outcome = answer.failure.value
        if job_trace.submission.exchange is not None:
            self._answered[job_trace.submission.exchange] = job_trace

    @circuits.handler("answer_http", channel=_events.GATEWAY, priority=-10)
    def _on_answer_http(
        self, exchange: transport.Exchange, answer: transport.Answer
    ) -> None:
        job_trace = self._answered.pop(exchange, None)
        if job_trace is not None:
            self._exporter.export(self._make_spans(job_trace))

    @circuits.handler("http_abandoned", channel=_events.GATEWAY)
    def _on_http_abandoned(self, exchange: transport.Exchange) -> None:
        for job_id, job_trace in list(self._jobs.items()):
            if job_trace.submission.exchange is exchange:
                del self._jobs[job_id]
        self._answered.pop(exchange, None)

    def _make_spans(self, job_trace: _JobTrace) -> list[trace.ReadableSpan]:
        job = job_trace.job
        now = self._clock.now()
        context = core.parse_traceparent(job.traceparent)
        caller = core.parse_traceparent(
            job_trace.submission.exchange.headers.get("traceparent", "")
        )
        receive = _Span(context.trace, context.span, caller and caller.span)
        attributes = {
            "cowslipgate.job": job.id,
            "cowslipgate.service": job.service,
            "cowslipgate.tasks": len(job.request.tasks),
            "cowslipgate.outcome": job_trace.outcome,
        }
        spans = [
            self._make_span(
                receive, "receive", job.submitted_at, now, attributes
            )
        ]
        for ended in job_trace.ended_attempts:
            spans.extend(self._make_attempt_spans(receive, ended))
        answer = receive.make_child(_sampler.make_span_id())
        answered = job_trace.answered_at
        spans.append(self._make_span(answer, "answer", answered, now, {}))
        return spans

    def _make_attempt_spans(
        self, receive: "_Span", ended: _EndedAttempt
    ) -> list[trace.ReadableSpan]:
        attempt = ended.attempt
        attributes = {
            "cowslipgate.task": attempt.task_id,
            "cowslipgate.agent": attempt.agent,
            "cowslipgate.outcome": ended.report.outcome.value,
        }
        queue = receive.make_child(_sampler.make_span_id())
        link = receive.make_child(_sampler.make_span_id())
        target = link.make_child(core.derive_span(attempt.task_id))
        wait = datetime.timedelta(milliseconds=ended.report.wait_ms)
        run = datetime.timedelta(milliseconds=ended.report.run_ms)
        travel = ended.received_at - attempt.sent_at - wait - run
        # Clocks of two VMs differ, so half of the travel time is assumed
        # for each direction.
        start = attempt.sent_at + max(travel, _NO_TIME) / 2 + wait
        submitted = attempt.job.submitted_at
        spans = [
            self._make_span(
                queue, "queue", submitted, attempt.sent_at, attributes
            ),
            self._make_span(
                link,
                "entry to agent",
                attempt.sent_at,
                ended.received_at,
                attributes,
            ),
        ]
        if ended.report.run_ms:
            end = start + run
            spans.append(
                self._make_span(
                    target, "agent to target", start, end, attributes
                )
            )
        return spans

    def _make_span(
        self,
        span: "_Span",
        name: str,
        start: datetime.datetime,
        end: datetime.datetime,
        attributes: dict[str, str | int],
    ) -> trace.ReadableSpan:
        return trace.ReadableSpan(
            name,
            context=span.to_context(span.span),
            parent=span.to_context(span.parent) if span.parent else None,
            resource=self._resource,
            attributes=attributes,
            start_time=_count_nanoseconds(start),
            end_time=_count_nanoseconds(end),
        )


@attrs.frozen
class _Span:
    """Ids of one span and its parent."""

    trace: int
    """Id of the trace."""

    span: int
    """Id of the span."""

    parent: int | None
    """Id of the parent span, or None for a root."""

    def make_child(self, span: int) -> "_Span":
        """Return the ids of a child span."""
        return _Span(self.trace, span, self.span)

    def to_context(self, span: int) -> trace_api.SpanContext:
        """Return the context of a span of this trace."""
        flags = trace_api.TraceFlags(trace_api.TraceFlags.SAMPLED)
        return trace_api.SpanContext(self.trace, span, False, flags)


def _count_nanoseconds(instant: datetime.datetime) -> int:
    return (instant - _EPOCH) // _MICROSECOND * _NANOSECONDS_PER_MICROSECOND
