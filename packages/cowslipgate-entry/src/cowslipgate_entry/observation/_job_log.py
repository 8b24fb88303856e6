"""The component that tells in log lines what became of each request."""

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
class _Course:
    """How a job has fared so far."""

    sent: int = 0
    """Attempts sent."""

    first_sent_at: datetime.datetime | None = None
    """When its first task was sent."""

    last_sent_at: datetime.datetime | None = None
    """When its last task was sent."""

    longest_wait_ms: float = 0.0
    """Longest time of a task in an agent's queue."""

    longest_run_ms: float = 0.0
    """Longest run of a task."""

    slowest_agent: str = ""
    """Agent of that run."""

    repeats: list[str] = attrs.Factory(list)
    """Outcome, reason and agent of each attempt that gave no result."""


class JobLog(circuits.BaseComponent):
    """Writes a line when a job is refused and when it has ended."""

    channel = CHANNEL

    def __init__(
        self, dispatcher: _dispatcher.Dispatcher, clock: core.Clock
    ) -> None:
        super().__init__()
        self._dispatcher = dispatcher
        self._clock = clock
        self._courses: dict[str, _Course] = {}

    @circuits.handler("job_accepted", channel=_events.GATEWAY)
    def _on_job_accepted(
        self, submission: _requests.Submission, job: core.Job
    ) -> None:
        self._courses[job.id] = _Course()

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
        )
        self._tell(change)

    @circuits.handler("job_answered", channel=_events.GATEWAY)
    def _on_job_answered(self, job: core.Job, answer: core.JobAnswer) -> None:
        course = self._courses.pop(job.id, None) or _Course()
        now = self._clock.now()
        change = _changes.JobEnded(
            job.terms.request,
            job.id,
            job.request.label,
            len(job.request.tasks),
            answer.failure.value if answer.failure else "complete",
            answer.message,
            answer.started.value,
            _round(now - job.submitted_at),
            _measure(course.first_sent_at, job.submitted_at),
            _measure(course.last_sent_at, job.submitted_at),
            round(course.longest_wait_ms),
            round(course.longest_run_ms),
            course.slowest_agent,
            course.sent,
            tuple(course.repeats),
        )
        self._tell(change)

    @circuits.handler("send_message", channel=_dispatcher.AGENTS_CHANNEL)
    def _on_send_message(self, identity: bytes, message: object) -> None:
        if not isinstance(message, core.Dispatch):
            return
        now = self._clock.now()
        for order in message.orders:
            course = self._find_course(order.attempt)
            if course is None:
                continue
            course.sent += 1
            course.first_sent_at = course.first_sent_at or now
            course.last_sent_at = now

    @circuits.handler(
        "message_received", channel=_dispatcher.AGENTS_CHANNEL, priority=5
    )
    def _on_message_received(self, identity: bytes, message: object) -> None:
        # Before the dispatcher, which forgets the attempts that end here.
        if not isinstance(message, core.Results):
            return
        for report in message.reports:
            course = self._find_course(report.attempt)
            if course is not None:
                _note_report(course, report, message.agent)

    def _find_course(self, sequence: int) -> _Course | None:
        attempt = self._dispatcher.ledger.attempts.get(sequence)
        return self._courses.get(attempt.job.id) if attempt else None

    def _tell(self, change: _changes.Change) -> None:
        self.fire(transport.changed(change), "logs")


def _note_report(
    course: _Course, report: core.AttemptReport, agent: str
) -> None:
    if report.outcome is core.Outcome.RUNNING:
        return
    course.longest_wait_ms = max(course.longest_wait_ms, report.wait_ms)
    if report.outcome is not core.Outcome.FINISHED:
        course.repeats.append(f"{report.outcome}/{report.reason}/{agent}")
    if report.run_ms > course.longest_run_ms:
        course.longest_run_ms = report.run_ms
        course.slowest_agent = agent


def _measure(
    at: datetime.datetime | None, since: datetime.datetime
) -> int | None:
    return None if at is None else _round(at - since)


def _round(duration: datetime.timedelta) -> int:
    return round(duration / _MILLISECOND)
