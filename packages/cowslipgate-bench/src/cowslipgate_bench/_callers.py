"""Callers that submit jobs with tokens and record the answers."""

import concurrent.futures
import http.client
import itertools
import json
import threading
import time
from typing import Any

import attrs

from cowslipgate_bench import _checker

HOST = "127.0.0.1"
ANSWER_SECONDS = 60.0
MAX_CALLERS = 256


@attrs.frozen
class JobOptions:
    """Options of a job."""

    service: str = "print"
    """Name of the service."""

    tasks: int = 4
    """Number of tasks."""

    true_ms: tuple[float, ...] = (20.0,)
    """Run times at speed 1 in milliseconds, assigned to tasks in turn."""

    size_ms: float = 20.0
    """Declared run time in milliseconds."""

    deadline_ms: int = 20_000
    """Deadline in milliseconds after submission."""

    label: str = ""
    """Label by which the job can be cancelled."""

    key: str = ""
    """Idempotency key; a job with a key is not marked repeatable."""

    memory_mb: int = 0
    """Memory that each task needs, in MB."""


class Callers:
    """Thread pool that submits jobs and keeps them in ``submissions``."""

    def __init__(
        self, token: str, size: int = MAX_CALLERS, name: str = "c"
    ) -> None:
        self._token = token
        self._name = name
        self._numbers = itertools.count()
        self._lock = threading.Lock()
        self._pool = concurrent.futures.ThreadPoolExecutor(size)
        self.submissions: list[_checker.Submission] = []

    def __enter__(self) -> "Callers":
        return self

    def __exit__(self, *error: object) -> None:
        self._pool.shutdown(cancel_futures=True)

    def submit(
        self, port: int, options: JobOptions, tokens: tuple[str, ...] = ()
    ) -> "concurrent.futures.Future[_checker.Submission]":
        """Submit a job in the background.

        :param tokens: tokens of an earlier submission, to repeat it
        """
        tokens = tokens or self.make_tokens(options.tasks)
        return self._pool.submit(self._submit, port, options, tokens)

    def make_tokens(self, tasks: int) -> tuple[str, ...]:
        """Return unused tokens for the tasks of one job."""
        number = next(self._numbers)
        return tuple(f"{self._name}{number}/{n}" for n in range(tasks))

    def encode_request(
        self, options: JobOptions, tokens: tuple[str, ...]
    ) -> bytes:
        """Return a whole HTTP request, to write to a socket."""
        body = encode_job(options, tokens)
        head = (
            f"POST /v1/services/{options.service}/jobs HTTP/1.1\r\n"
            f"Host: {HOST}\r\nAuthorization: Bearer {self._token}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body

    def record(self, submission: _checker.Submission) -> None:
        """Record a submission; safe to call from any thread."""
        with self._lock:
            self.submissions.append(submission)

    def _submit(
        self, port: int, options: JobOptions, tokens: tuple[str, ...]
    ) -> _checker.Submission:
        started_at = time.monotonic()
        submission = attrs.evolve(
            self._call(port, options, tokens),
            has_idempotency_key=bool(options.key),
            started_at=started_at,
            ended_at=time.monotonic(),
        )
        self.record(submission)
        return submission

    def _call(
        self, port: int, options: JobOptions, tokens: tuple[str, ...]
    ) -> _checker.Submission:
        headers = {"Authorization": f"Bearer {self._token}"}
        if options.key:
            headers["Idempotency-Key"] = options.key
        path = f"/v1/services/{options.service}/jobs"
        connection = http.client.HTTPConnection(
            HOST, port, timeout=ANSWER_SECONDS
        )
        try:
            body = encode_job(options, tokens)
            connection.request("POST", path, body, headers)
            response = connection.getresponse()
            answer = json.loads(response.read())
        except (OSError, http.client.HTTPException, ValueError):
            return _checker.Submission(tokens)
        finally:
            connection.close()
        return _checker.Submission(tokens, response.status, answer)


def encode_job(options: JobOptions, tokens: tuple[str, ...]) -> bytes:
    """Return the JSON body of a submission."""
    run_times = itertools.cycle(options.true_ms)
    tasks = [_make_task(options, t, next(run_times)) for t in tokens]
    job = {
        "tasks": tasks,
        "deadline_ms": options.deadline_ms,
        "label": options.label,
        "repeatable": not options.key,
    }
    return json.dumps(job).encode()


def _make_task(
    options: JobOptions, token: str, true_ms: float
) -> dict[str, Any]:
    return {
        "payload": {"true_ms": true_ms, "token": token},
        "size_ms": options.size_ms,
        "needs": {"memory_mb": options.memory_mb},
    }
