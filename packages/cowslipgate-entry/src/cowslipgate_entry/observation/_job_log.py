"""Component that logs stopped runs, unseen callers and the end of jobs."""

import datetime

import attrs
import circuits

import cowslipgate_core as core
from cowslipgate_entry import _events
from cowslipgate_entry.agents import _dispatcher
from cowslipgate_entry.callers import _requests
from cowslipgate_entry.observation import _changes
import cowslipgate_transport as transport

CHANNEL = "job-log"
_MILLISECOND = datetime.timedelta(milliseconds=1)


@attrs.define(eq=False)
class _JobProgress:
    """Progress of a job, collected for its log line."""

    sent: int = 0
    """Attempts sent."""

    first_sent_at: datetime.datetime | None = None
    """When the first attempt was sent, or None."""

    last_sent_at: datetime.datetime | None = None
    """When the last attempt was sent, or None."""

    longest_wait_ms: float = 0.0
    """Longest wait of a task in an agent's queue, in milliseconds."""

    longest_run_ms: float = 0.0
    """Longest run of a task, in milliseconds."""

    slowest_agent: str = ""
    """Agent of the longest run."""

    repeats: list[str] = attrs.Factory(list)
    """Outcome, reason and agent of each attempt that gave no result."""


class JobLog(circuits.BaseComponent):
    """Logs a line for each job refused, suspended, resumed or answered.

    Each stalled run and each preempted run gets a line, too.
    """

    channel = CHANNEL

    def __init__(
        self, dispatcher: _dispatcher.Dispatcher, clock: core.Clock
    ) -> None:
        super().__init__()
        self._dispatcher = dispatcher
        self._clock = clock
        self._progress_by_job: dict[str, _JobProgress] = {}

    @circuits.handler("job_accepted", channel=_events.GATEWAY)
    def _on_job_accepted(
        self, submission: _requests.Submission, job: core.Job
    ) -> None:
        self._progress_by_job[job.id] = _JobProgress()

    @circuits.handler("run_preempted", channel=_events.GATEWAY)
    def _on_run_preempted(self, report: core.ReportPreemption) -> None:
        attempt = report.attempt
        change = _changes.RunPreempted(
            attempt.job.terms.request,
            attempt.job.id,
            attempt.index,
            attempt.agent,
            report.for_request,
            report.preemption.for_job,
            round(report.preemption.lost_core_seconds, 3),
            report.preemption.reason,
        )
        self._log_change(change)

    @circuits.handler("caller_unseen", channel=_events.GATEWAY)
    def _on_caller_unseen(self, job: core.Job) -> None:
        unseen = self._clock.now() - job.caller_seen_at
        change = _changes.CallerUnseen(
            job.terms.request,
            job.id,
            _count_milliseconds(unseen),
            len(job.active),
        )
        self._log_change(change)

    @circuits.handler("caller_seen", channel=_events.GATEWAY)
    def _on_caller_seen(self, job: core.Job) -> None:
        change = _changes.CallerSeen(job.terms.request, job.id)
        self._log_change(change)

    @circuits.handler("job_refused", channel=_events.GATEWAY)
    def _on_job_refused(
        self, submission: _requests.Submission, answer: core.JobAnswer
    ) -> None:
        ledger = self._dispatcher.ledger
        change = _changes.JobRefused(
            submission.terms.request,
            answer.job,
            submission.request.label,
            len(submission.request.tasks),
            answer.failure.value,
            answer.message,
            ledger.count_waiting(submission.service),
            len(ledger.agents),
            _measure_forecast(answer),
            round(answer.rate, 3),
        )
        self._log_change(change)

    @circuits.handler("job_answered", channel=_events.GATEWAY)
    def _on_job_answered(self, job: core.Job, answer: core.JobAnswer) -> None:
        progress = self._progress_by_job.pop(job.id, None) or _JobProgress()
        now = self._clock.now()
        change = _changes.JobEnded(
            job.terms.request,
            job.id,
            job.request.label,
            len(job.request.tasks),
            answer.failure.value if answer.failure else "complete",
            answer.message,
            answer.started.value,
            _count_milliseconds(now - job.submitted_at),
            _measure_elapsed(progress.first_sent_at, job.submitted_at),
            _measure_elapsed(progress.last_sent_at, job.submitted_at),
            round(progress.longest_wait_ms),
            round(progress.longest_run_ms),
            progress.slowest_agent,
            progress.sent,
            tuple(progress.repeats),
        )
        self._log_change(change)

    @circuits.handler("send_message", channel=_dispatcher.AGENTS_CHANNEL)
    def _on_send_message(self, identity: bytes, message: object) -> None:
        if isinstance(message, core.Withdraw) and message.stalled:
            self._log_stalled(message.attempts)
        if not isinstance(message, core.Dispatch):
            return
        now = self._clock.now()
        for order in message.orders:
            progress = self._find_progress(order.attempt)
            if progress is None:
                continue
            progress.sent += 1
            progress.first_sent_at = progress.first_sent_at or now
            progress.last_sent_at = now

    @circuits.handler(
        "message_received", channel=_dispatcher.AGENTS_CHANNEL, priority=5
    )
    def _on_message_received(self, identity: bytes, message: object) -> None:
        # Runs before the dispatcher, which removes ended attempts.
        if not isinstance(message, core.Results):
            return
        for report in message.reports:
            progress = self._find_progress(report.attempt)
            if progress is not None:
                _record_report(progress, report, message.agent)

    def _log_stalled(self, sequences: tuple[int, ...]) -> None:
        for sequence in sequences:
            attempt = self._dispatcher.ledger.attempts.get(sequence)
            if attempt is None:
                continue
            elapsed = self._clock.now() - attempt.sent_at
            change = _changes.RunStalled(
                attempt.job.terms.request,
                attempt.job.id,
                attempt.index,
                attempt.agent,
                _count_milliseconds(elapsed),
            )
            self._log_change(change)

    def _find_progress(self, sequence: int) -> _JobProgress | None:
        attempt = self._dispatcher.ledger.attempts.get(sequence)
        return self._progress_by_job.get(attempt.job.id) if attempt else None

    def _log_change(self, change: _changes.Change) -> None:
        self.fire(transport.changed(change), "logs")


def _record_report(
    progress: _JobProgress, report: core.AttemptReport, agent: str
) -> None:
    if report.outcome is core.Outcome.RUNNING:
        return
    progress.longest_wait_ms = max(progress.longest_wait_ms, report.wait_ms)
    if report.outcome is not core.Outcome.FINISHED:
        progress.repeats.append(f"{report.outcome}/{report.reason}/{agent}")
    if report.run_ms > progress.longest_run_ms:
        progress.longest_run_ms = report.run_ms
        progress.slowest_agent = agent


def _measure_forecast(answer: core.JobAnswer) -> int | None:
    forecast = answer.forecast
    return None if forecast is None else _count_milliseconds(forecast)


def _measure_elapsed(
    at: datetime.datetime | None, since: datetime.datetime
) -> int | None:
    return None if at is None else _count_milliseconds(at - since)


def _count_milliseconds(duration: datetime.timedelta) -> int:
    return round(duration / _MILLISECOND)
