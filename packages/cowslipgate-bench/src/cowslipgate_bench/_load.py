"""Open-loop load generator.

It sends each job at its intended arrival, regardless of earlier answers.
"""

import asyncio
import http
import json
import time

import attrs

from cowslipgate_bench import _cluster
from cowslipgate_bench import _workload

SERVICE = "schapkaart"
DEADLINE_MS = 120_000
ANSWER_TIMEOUT_SECONDS = 130.0  # Above the deadline of a job.
TOKEN_SUFFIX = "-token"


@attrs.frozen
class JobOutcome:
    """Outcome of a job of the trace."""

    response: float
    """Seconds from the intended arrival to the complete answer."""

    send_delay: float
    """Seconds from the intended arrival until the generator sent the job."""

    status: int
    """HTTP status; 0 without an answer."""

    job: str
    """Job id that the entry assigned, or empty."""

    error: str = ""
    """Error type in the answer, or empty."""

    @property
    def complete(self) -> bool:
        """Whether the answer has the results of all tasks."""
        return self.status == http.HTTPStatus.OK


def make_token(team: str) -> str:
    """Return the bearer token of a team of the trace."""
    return team + TOKEN_SUFFIX


def run_trace(
    port: int, trace: _workload.Trace, wave_at: float | None = None
) -> list[JobOutcome]:
    """Send the trace to a loopback port; return the outcomes in trace order.

    :param wave_at: seconds after the start at which every labelled job is
        cancelled, or None
    """
    return asyncio.run(_run(port, trace, wave_at))


async def _run(
    port: int, trace: _workload.Trace, wave_at: float | None
) -> list[JobOutcome]:
    bodies = [encode_job(job) for job in trace.jobs]
    started_at = time.monotonic()
    sends = [
        _send(port, started_at, job, body)
        for job, body in zip(trace.jobs, bodies, strict=True)
    ]
    wave = asyncio.create_task(_cancel_wave(port, started_at, trace, wave_at))
    outcomes = await asyncio.gather(*sends)
    await wave
    return outcomes


async def _send(
    port: int, started_at: float, job: _workload.TraceJob, body: bytes
) -> JobOutcome:
    intended = started_at + job.arrival
    await asyncio.sleep(intended - time.monotonic())
    send_delay = time.monotonic() - intended
    path = f"/v1/services/{SERVICE}/jobs"
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
            status, answer = await _post(port, path, job.team, body)
    except (OSError, TimeoutError, ValueError, EOFError):
        status, answer = 0, {}
    response = time.monotonic() - intended
    error = answer.get("error", {}).get("type", "")
    return JobOutcome(
        response, send_delay, status, answer.get("job", ""), error
    )


async def _cancel_wave(
    port: int,
    started_at: float,
    trace: _workload.Trace,
    wave_at: float | None,
) -> None:
    if wave_at is None:
        return
    await asyncio.sleep(started_at + wave_at - time.monotonic())
    path = f"/v1/services/{SERVICE}/cancellations"
    body = json.dumps({"label": _workload.WAVE_LABEL}).encode()
    teams = sorted({job.team for job in trace.jobs})
    calls = [_post(port, path, team, body) for team in teams]
    await asyncio.gather(*calls)


async def _post(
    port: int, path: str, team: str, body: bytes
) -> tuple[int, dict]:
    reader, writer = await asyncio.open_connection(_cluster.HOST, port)
    try:
        head = (
            f"POST {path} HTTP/1.1\r\nHost: entry\r\n"
            f"Authorization: Bearer {make_token(team)}\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        writer.write(head.encode() + body)
        await writer.drain()
        lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        length = _find_length(lines)
        answer = await reader.readexactly(length)
    finally:
        writer.close()
    return int(lines[0].split()[1]), json.loads(answer)


def _find_length(lines: list[str]) -> int:
    for line in lines:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            return int(value)
    raise ValueError("no Content-Length")


def encode_job(job: _workload.TraceJob) -> bytes:
    """Return the JSON body that submits the job."""
    tasks = [
        {
            "payload": {"true_ms": task.true_ms},
            "kind": task.kind,
            "size_ms": task.declared_ms,
        }
        for task in job.tasks
    ]
    body = {"tasks": tasks, "deadline_ms": DEADLINE_MS, "label": job.label}
    return json.dumps(body).encode()
