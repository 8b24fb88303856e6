"""Calls of the target, one HTTP request for each attempt."""

import datetime
import itertools
import urllib.parse

import attrs
import circuits
import msgspec

from cowslipgate_agent import _events
import cowslipgate_core as core
import cowslipgate_transport as transport

CHANNEL = "target"
STOP_TIMEOUT = datetime.timedelta(seconds=2)
STOP_TRIES = 3
HTTP_OK = 200
MAX_DETAIL_BYTES = 1_024
TOO_LARGE = b'"the result of the target is too large"'
NOT_JSON = b'"the target answered with something that is not JSON"'

_NOT_CONNECTED = frozenset(
    (transport.CallProblem.REFUSED, transport.CallProblem.UNREACHABLE)
)


@attrs.define(eq=False)
class _Run:
    """An attempt whose call is in progress."""

    start: core.StartTask
    """The request of the executor."""

    call: transport.Call
    """The HTTP call that runs the task."""

    called_at: datetime.datetime
    """When the target was called."""

    stop_tries: int = 0
    """Stop requests sent so far, at most ``STOP_TRIES``."""


class TargetCalls(circuits.BaseComponent):
    """Client of the target that runs attempts and reports how they ended."""

    channel = CHANNEL

    def __init__(
        self, clock: core.Clock, task_timeout: datetime.timedelta
    ) -> None:
        super().__init__()
        self._clock = clock
        self._task_timeout = task_timeout
        self._numbers = itertools.count(1)
        self._runs: dict[int, _Run] = {}
        self._stop_calls: dict[int, _Run] = {}

    @circuits.handler("start_task")
    def _on_start_task(
        self, start: core.StartTask, announcement: core.Announcement
    ) -> None:
        headers = {
            "Task-Id": start.order.task,
            "Task-Kind": urllib.parse.quote(start.order.kind),
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
            announcement.connections,
        )
        self._runs[call.id] = _Run(start, call, self._clock.now())
        self.fire(transport.call_http(call), CHANNEL)

    @circuits.handler("stop_task")
    def _on_stop_task(self, stop: core.StopTask) -> None:
        for run in self._runs.values():
            if run.start.key == stop.key:
                self._send_stop(run)

    @circuits.handler("http_answered")
    def _on_http_answered(self, answer: transport.CallAnswer) -> None:
        self._stop_calls.pop(answer.call.id, None)
        run = self._runs.pop(answer.call.id, None)
        if run is not None:
            self._report_end(
                run, *_classify_answer(run.start.order.task, answer)
            )

    @circuits.handler("http_failed")
    def _on_http_failed(self, failure: transport.CallFailure) -> None:
        stopped = self._stop_calls.pop(failure.call.id, None)
        if stopped is not None and stopped.call.id in self._runs:
            self._send_stop(stopped)
        run = self._runs.pop(failure.call.id, None)
        if run is not None:
            self._report_end(run, *_classify_failure(failure), b"null")

    def _send_stop(self, run: _Run) -> None:
        if run.stop_tries >= STOP_TRIES:
            return
        run.stop_tries += 1
        call = transport.Call(
            next(self._numbers),
            run.call.address,
            "DELETE",
            f"/run/{run.start.order.task}",
            timeout=STOP_TIMEOUT,
            connection_limit=run.call.connection_limit,
        )
        self._stop_calls[call.id] = run
        self.fire(transport.call_http(call), CHANNEL)

    def _report_end(
        self,
        run: _Run,
        outcome: core.Outcome,
        reason: core.Reason,
        result: bytes,
    ) -> None:
        elapsed = self._clock.now() - run.called_at
        report = core.AttemptReport(
            run.start.key.attempt,
            outcome,
            reason,
            result,
            run_ms=elapsed / datetime.timedelta(milliseconds=1),
        )
        self.fire(_events.task_ended(run.start.key, report), "runner")


def _classify_answer(
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
    # Results are embedded unchanged in the JSON answer to the caller.
    try:
        body.decode()
        msgspec.json.decode(body, type=msgspec.Raw)
    except (UnicodeDecodeError, msgspec.MsgspecError, RecursionError):
        return False
    return True


def _classify_failure(
    failure: transport.CallFailure,
) -> tuple[core.Outcome, core.Reason]:
    if failure.sent:
        return core.Outcome.UNKNOWN, core.Reason.TARGET_LOST
    if failure.problem in _NOT_CONNECTED:
        return core.Outcome.NOT_STARTED, core.Reason.TARGET_UNREACHABLE
    return core.Outcome.NOT_STARTED, core.Reason.BUSY
