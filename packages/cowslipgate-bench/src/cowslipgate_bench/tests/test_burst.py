"""Jobs that arrive at the same instant, each on its own connection."""

import contextlib
import http.client
import json
import pathlib
import socket

from cowslipgate_bench import _callers
from cowslipgate_bench import _checker
from cowslipgate_bench import _cluster
from cowslipgate_bench import _deployment

JOBS = 200
ANSWER_SECONDS = 60


def _connect(
    stack: contextlib.ExitStack, deployment: _deployment.Deployment, job: int
) -> socket.socket:
    entries = deployment.cluster.entries
    address = (_cluster.HOST, entries[job % len(entries)].port)
    return stack.enter_context(
        socket.create_connection(address, ANSWER_SECONDS)
    )


def _read_answer(sock: socket.socket) -> tuple[int, dict[str, object]]:
    response = http.client.HTTPResponse(sock)
    response.begin()
    return response.status, json.loads(response.read())


def test_simultaneous_jobs_are_answered_completely(
    tmp_path: pathlib.Path,
) -> None:
    options = _callers.JobOptions(tasks=5, true_ms=(2.0,))
    with (
        _deployment.deploy(tmp_path, slots=4) as deployment,
        contextlib.ExitStack() as stack,
    ):
        callers = deployment.callers
        sockets = [_connect(stack, deployment, n) for n in range(JOBS)]
        tokens = [callers.make_tokens(options.tasks) for _ in sockets]
        requests = [callers.encode_request(options, t) for t in tokens]
        for sock, request in zip(sockets, requests, strict=True):
            sock.sendall(request[:-1])
        for sock, request in zip(sockets, requests, strict=True):
            sock.sendall(request[-1:])
        for sock, token in zip(sockets, tokens, strict=True):
            callers.record(_checker.Submission(token, *_read_answer(sock)))
        verdict = deployment.check_submissions()
        assert verdict.complete == JOBS
        assert verdict.find_violations() == {}
        # The backlog is queued at the entries, so agents refuse no task.
        cluster = deployment.cluster
        refused = [
            cluster.read_counter(entry, "refused") for entry in cluster.entries
        ]
        assert refused == [0] * len(cluster.entries)
