"""Answers to callers that wait for their jobs."""

import abc
from collections.abc import Mapping
import datetime

import circuits

import cowslipgate_core as core
from cowslipgate_entry import _events
from cowslipgate_entry.agents import _dispatcher
from cowslipgate_entry.callers import _answers
from cowslipgate_entry.callers import _requests
import cowslipgate_transport as transport


class AnswerCodec(abc.ABC):
    """Encoder of job answers as HTTP answers."""

    @abc.abstractmethod
    def encode_answer(self, answer: core.JobAnswer) -> transport.Answer:
        """Return the HTTP answer to a submission."""


class ApiAnswerCodec(AnswerCodec):
    """Encoder for the product's own API."""

    def encode_answer(self, answer: core.JobAnswer) -> transport.Answer:
        """Return the HTTP answer to a submission."""
        return _answers.answer_job(answer)


class JobResponder(circuits.BaseComponent):
    """Component that answers a caller when its job ends or is refused."""

    channel = _events.GATEWAY

    def __init__(self, codec: AnswerCodec) -> None:
        super().__init__()
        self._codec = codec
        self._jobs: dict[str, transport.Exchange] = {}
        self._hang_ups = transport.HangUpWatch()
        # Jobs whose callers have left, which the dispatcher handles next.
        self._abandoned: set[str] = set()

    @circuits.handler("submit_job", channel="dispatcher", priority=10)
    def _on_submit_job(
        self, event: circuits.Event, submission: _requests.Submission
    ) -> None:
        # The end of a connection may be handled before its job is accepted,
        # or be behind the request, unread.
        if transport.has_hung_up(submission.exchange):
            event.stop()
            answer = core.JobAnswer(
                "",
                failure=core.Failure.CANCELLED,
                message="the caller has closed the connection",
            )
            self.fire(_events.job_refused(submission, answer))

    @circuits.handler("assign_tasks", channel="dispatcher", priority=10)
    def _on_assign_tasks(self, event: circuits.Event) -> None:
        # After a pause, agents may be heard before the ends of connections.
        hung_up = self._hang_ups.take()
        if hung_up:
            event.stop()
            for exchange in hung_up:
                self._abandon(exchange)
            self.fire(_events.assign_tasks(), "dispatcher")

    @circuits.handler(
        "message_received", channel=_dispatcher.AGENTS_CHANNEL, priority=7
    )
    def _on_message_received(
        self, event: circuits.Event, identity: bytes, message: object
    ) -> None:
        # The answer to a message confirms that its entry needs the runs, which
        # it does not if it paused and a caller left meanwhile. Messages keep
        # their order.
        for exchange in self._hang_ups.take():
            self._abandon(exchange)
        if self._abandoned:
            event.stop()
            again = transport.message_received(identity, message)
            self.fire(again, _dispatcher.AGENTS_CHANNEL)

    @circuits.handler("abandon_job", channel="dispatcher", priority=-1)
    def _on_abandon_job(self, job_id: str) -> None:
        self._abandoned.discard(job_id)

    @circuits.handler("callers_seen")
    def _on_callers_seen(
        self, seen: Mapping[transport.Exchange, datetime.datetime]
    ) -> None:
        confirmed = {
            job_id: seen[exchange]
            for job_id, exchange in self._jobs.items()
            if exchange in seen
        }
        if confirmed:
            self.fire(_events.confirm_callers(confirmed), "dispatcher")

    @circuits.handler("http_abandoned")
    def _on_http_abandoned(self, exchange: transport.Exchange) -> None:
        self._abandon(exchange)

    def _abandon(self, exchange: transport.Exchange) -> None:
        self._hang_ups.discard(exchange)
        for job_id, waiting in list(self._jobs.items()):
            if waiting is exchange:
                del self._jobs[job_id]
                self._abandoned.add(job_id)
                self.fire(_events.abandon_job(job_id), "dispatcher")

    @circuits.handler("job_refused")
    def _on_job_refused(
        self, submission: _requests.Submission, answer: core.JobAnswer
    ) -> None:
        reply = self._codec.encode_answer(answer)
        self.fire(transport.answer_http(submission.exchange, reply))

    @circuits.handler("job_accepted")
    def _on_job_accepted(
        self, submission: _requests.Submission, job: core.Job
    ) -> None:
        self._jobs[job.id] = submission.exchange
        self._hang_ups.add(submission.exchange)

    @circuits.handler("job_answered")
    def _on_job_answered(self, job: core.Job, answer: core.JobAnswer) -> None:
        exchange = self._jobs.pop(job.id, None)
        if exchange is not None:
            self._hang_ups.discard(exchange)
            reply = self._codec.encode_answer(answer)
            self.fire(transport.answer_http(exchange, reply))
