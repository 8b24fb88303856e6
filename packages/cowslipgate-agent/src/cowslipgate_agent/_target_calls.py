"""Calls of the target, one HTTP request for each attempt."""

import datetime
import itertools

import attrs
import circuits
import msgspec

from cowslipgate_agent import _events
import cowslipgate_core as core
import cowslipgate_transport as transport

CHANNEL = "target"
CONNECT_TRIES = 3
STOP_TIMEOUT = datetime.timedelta(seconds=5)
HTTP_OK = 200
MAX_DETAIL_BYTES = 1_024
TOO_LARGE = b'"the result of the target is too large"'
NOT_JSON = b'"the target answered with something that is not JSON"'


@attrs.define(eq=False)
class _Run:
    """An attempt whose call is under way."""

    start: core.StartTask
    """What was asked for."""

    call: transport.Call
    """The call."""

    since: datetime.datetime
    """When the target was first called."""

    tries: int = 1
    """Connections tried."""


class TargetCalls(circuits.BaseComponent):
    """Runs attempts on the target and tells how they ended."""

    channel = CHANNEL

    def __init__(
        self, clock: core.Clock, task_timeout: datetime.timedelta
    ) -> None:
        super().__init__()
        self._clock = clock
        self._task_timeout = task_timeout
        self._numbers = itertools.count(1)
        self._runs: dict[int, _Run] = {}

    @circuits.handler("start_task")
    def _on_start_task(
        self, start: core.StartTask, announcement: core.Announcement
    ) -> None:
        headers = {
            "Task-Id": start.order.task,
            "Task-Kind": start.order.kind,
            "Content-Type": "application/json",
        }
        if start.order.traceparent:
            headers["traceparent"] = start.order.traceparent
        call = transport.Call(
            next(self._numbers),
            transport.parse_address(announcement.address),
            "POST",
            "/run",
            headers,
            start.order.payload,
            self._task_timeout,
        )
        self._runs[call.id] = _Run(start, call, self._clock.now())
        self.fire(transport.call_http(call), CHANNEL)

    @circuits.handler("stop_task")
    def _on_stop_task(
        self, stop: core.StopTask, announcement: core.Announcement
    ) -> None:
        call = transport.Call(
            next(self._numbers),
            transport.parse_address(announcement.address),
            "DELETE",
            f"/run/{stop.task}",
            timeout=STOP_TIMEOUT,
        )
        self.fire(transport.call_http(call), CHANNEL)

    @circuits.handler("http_answered")
    def _on_http_answered(self, answer: transport.CallAnswer) -> None:
        run = self._runs.pop(answer.call.id, None)
        if run is None:
            return
        self._end(run, *_judge_answer(run.start.order.task, answer))

    @circuits.handler("http_failed")
    def _on_http_failed(self, failure: transport.CallFailure) -> None:
        run = self._runs.get(failure.call.id)
        if run is None:
            return
        if not failure.sent and run.tries < CONNECT_TRIES:
            run.tries += 1
            self.fire(transport.call_http(run.call), CHANNEL)
            return
        del self._runs[failure.call.id]
        if failure.sent:
            outcome = core.Outcome.UNKNOWN
            reason = core.Reason.TARGET_LOST
        else:
            outcome = core.Outcome.NOT_STARTED
            reason = core.Reason.TARGET_UNREACHABLE
        self._end(run, outcome, reason, b"null")

    def _end(
        self,
        run: _Run,
        outcome: core.Outcome,
        reason: core.Reason,
        result: bytes,
    ) -> None:
        elapsed = self._clock.now() - run.since
        report = core.AttemptReport(
            run.start.key.attempt,
            outcome,
            reason,
            result,
            run_ms=elapsed / datetime.timedelta(milliseconds=1),
        )
        self.fire(_events.task_ended(run.start.key, report), "runner")


def _judge_answer(
    task: str, answer: transport.CallAnswer
) -> tuple[core.Outcome, core.Reason, bytes]:
    if answer.headers.get("task-id") != task:
        return core.Outcome.UNKNOWN, core.Reason.WRONG_TASK, b"null"
    if answer.status != HTTP_OK:
        detail = answer.body[:MAX_DETAIL_BYTES]
        return core.Outcome.FAILED, core.Reason.TARGET_STATUS, detail
    if len(answer.body) > core.MAX_RESULT_BYTES:
        return core.Outcome.FAILED, core.Reason.MALFORMED_RESULT, TOO_LARGE
    if not _is_json(answer.body):
        return core.Outcome.FAILED, core.Reason.MALFORMED_RESULT, NOT_JSON
    return core.Outcome.FINISHED, core.Reason.NONE, answer.body


def _is_json(body: bytes) -> bool:
    # Results are passed on as they are, inside the answer to the caller.
    try:
        body.decode()
        msgspec.json.decode(body, type=msgspec.Raw)
    except (UnicodeDecodeError, msgspec.MsgspecError, RecursionError):
        return False
    return True
