"""Encoding of HTTP answers to callers and operators."""

import datetime

import msgspec

import cowslipgate_core as core
from cowslipgate_entry.callers import _requests
from cowslipgate_entry.callers import _retry_after
import cowslipgate_transport as transport

RETRY_AFTER_SECONDS = "1"

HTTP_BAD_GATEWAY = 502
RETRY_NOW = "0"
"""Another entry can take it at once."""

STATUSES = {
    core.Failure.MALFORMED: 400,
    core.Failure.UNAUTHORIZED: 401,
    core.Failure.UNKNOWN_SERVICE: 404,
    core.Failure.ALREADY_CLAIMED: 409,
    core.Failure.CANCELLED: 409,
    core.Failure.TOO_LARGE: 413,
    core.Failure.INFEASIBLE: 422,
    core.Failure.QUOTA: 429,
    core.Failure.TASK_FAILED: 502,
    core.Failure.AGENT_LOST: 502,
    core.Failure.OUTCOME_UNKNOWN: 502,
    core.Failure.OVERLOADED: 503,
    core.Failure.NO_CONFIGURATION: 503,
    core.Failure.STORE_UNAVAILABLE: 503,
    core.Failure.STOPPING: 503,
    core.Failure.UNSUPPORTED: 501,
    core.Failure.DEADLINE: 504,
}

PATCH_STATUSES = {
    _requests.PatchProblem.OUTDATED: 412,
    _requests.PatchProblem.INVALID: 422,
    _requests.PatchProblem.KEY_REUSED: 422,
    _requests.PatchProblem.STORE_UNAVAILABLE: 503,
    _requests.PatchProblem.OUTCOME_UNKNOWN: 503,
}


def answer_job(answer: core.JobAnswer) -> transport.Answer:
    """Return the HTTP answer to a submission, complete or failed."""
    if answer.failure is not None:
        return answer_failure(
            answer.failure,
            answer.message,
            answer.started,
            answer.job,
            answer.path,
            further=_describe_claim(answer),
            retry_after=answer.retry_after,
        )
    body = {
        "job": answer.job,
        "status": "complete",
        "results": [msgspec.Raw(result) for result in answer.results],
    }
    return transport.Answer(200, msgspec.json.encode(body))


def _describe_claim(answer: core.JobAnswer) -> dict[str, object]:
    if answer.failure is not core.Failure.ALREADY_CLAIMED:
        return {}
    claim = {"job": answer.claimed_by, "status": answer.claimed_status}
    return {"claimed_by": claim}


def answer_failure(
    failure: core.Failure,
    message: str,
    started: core.Started = core.Started.NONE,
    job: str = "",
    path: str = "",
    further: dict[str, object] | None = None,
    retry_after: datetime.timedelta | None = None,
) -> transport.Answer:
    """Return the HTTP answer for a failed or refused job.

    :param further: additional top-level fields of the body
    :param retry_after: time after which it may be sent again, if known
    """
    error = {
        "type": failure.value,
        "started": started.value,
        "message": message,
    }
    if path:
        error["path"] = path
    body = {"job": job, "status": "failed", "error": error}
    body |= further or {}
    status = STATUSES[failure]
    if failure is core.Failure.STOPPING and started is not core.Started.NONE:
        status = HTTP_BAD_GATEWAY
    headers = {}
    if status in (429, 503):
        headers["Retry-After"] = choose_retry_seconds(failure, retry_after)
    return transport.Answer(status, msgspec.json.encode(body), headers)


def choose_retry_seconds(
    failure: core.Failure, retry_after: datetime.timedelta | None = None
) -> str:
    """Return the Retry-After header of a job that was refused.

    :param retry_after: time after which it may be sent again, if known
    """
    if failure is core.Failure.STOPPING:
        return RETRY_NOW
    if retry_after is not None:
        return _retry_after.format_seconds(retry_after)
    return RETRY_AFTER_SECONDS


def answer_error(
    status: int, kind: str, message: str, path: str = ""
) -> transport.Answer:
    """Return the HTTP error for a request that is not a submission."""
    error = {"type": kind, "message": message}
    if path:
        error["path"] = path
    return transport.Answer(status, msgspec.json.encode({"error": error}))


def answer_cancellation(
    cancellation: _requests.Cancellation,
    count: int,
    unresponsive: tuple[int, ...] = (),
) -> transport.Answer:
    """Return the HTTP answer to a cancellation.

    :param count: jobs cancelled
    :param unresponsive: incarnations of entries that did not reply in time
        and may still run jobs
    """
    body: dict[str, object] = {"cancelled": count}
    if unresponsive:
        body["silent"] = [str(entry) for entry in unresponsive]
    if count or not cancellation.job:
        return transport.Answer(200, msgspec.json.encode(body))
    if unresponsive:
        message = "the entry that owns the job did not answer; try again"
        body["error"] = {"type": "entry_silent", "message": message}
        return transport.Answer(503, msgspec.json.encode(body))
    message = "the team has no such job in flight"
    body["error"] = {"type": "unknown_job", "message": message}
    return transport.Answer(404, msgspec.json.encode(body))


def answer_patch(outcome: _requests.PatchOutcome) -> transport.Answer:
    """Return the HTTP answer to a patch."""
    headers = {"ETag": f'"{outcome.version}"'}
    if outcome.problem is None:
        body = {
            "version": outcome.version,
            "in_force": [str(entry) for entry in outcome.acknowledged],
            "lapsed": [str(entry) for entry in outcome.lapsed],
        }
        return transport.Answer(200, msgspec.json.encode(body), headers)
    body = {
        "version": outcome.version,
        "error": {
            "type": outcome.problem.value,
            "message": _describe_problem(outcome),
            "faults": [
                {"path": fault.path, "problem": fault.problem}
                for fault in outcome.faults
            ],
        },
    }
    status = PATCH_STATUSES[outcome.problem]
    return transport.Answer(status, msgspec.json.encode(body), headers)


def _describe_problem(outcome: _requests.PatchOutcome) -> str:
    match outcome.problem:
        case _requests.PatchProblem.OUTDATED:
            return (
                f"the current version is {outcome.version}; "
                "read it and send the patch against that"
            )
        case _requests.PatchProblem.INVALID:
            return "the patched configuration is not valid; see the faults"
        case _requests.PatchProblem.KEY_REUSED:
            return "the Idempotency-Key belongs to another patch"
        case _requests.PatchProblem.STORE_UNAVAILABLE:
            return "nothing was stored; send the patch again later"
    return "send the same patch again with the same Idempotency-Key"
