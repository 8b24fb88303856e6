"""Answers are complete, reach their caller and report starts correctly."""

from collections.abc import Iterator
import contextlib
import http.client
import json
import pathlib
import socket

import pytest

from cowslipgate_bench import _callers
from cowslipgate_bench import _checker
from cowslipgate_bench import _cluster
from cowslipgate_bench import _deployment
from cowslipgate_bench import _proxy
from cowslipgate_bench import _waits

BACKWARD = _proxy.Direction.BACKWARD
FORWARD = _proxy.Direction.FORWARD


@pytest.fixture(scope="module")
def shared_deployment(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[_deployment.Deployment]:
    folder: pathlib.Path = tmp_path_factory.mktemp("answers")
    with _deployment.deploy(folder, slots=4) as started:
        yield started


# The next test needs targets that serve, also after one that failed.
@pytest.fixture
def deployment(
    shared_deployment: _deployment.Deployment,
) -> Iterator[_deployment.Deployment]:
    yield shared_deployment
    shared_deployment.remove_faults()
    shared_deployment.run_until_serving()


def _read_answers(
    sock: socket.socket, count: int
) -> list[tuple[int, dict[str, object]]]:
    answers = []
    for _ in range(count):
        response = http.client.HTTPResponse(sock)
        response.begin()
        answers.append((response.status, json.loads(response.read())))
    return answers


def test_delayed_and_reordered_answers_reach_their_own_callers(
    deployment: _deployment.Deployment,
) -> None:
    for entry in deployment.cluster.entries:
        entry.link.inject(_proxy.Fault("agent-0", delay_seconds=0.2))
    jobs = [
        deployment.submit(entry=n % 2, tasks=6, true_ms=(60.0, 1.0, 30.0))
        for n in range(40)
    ]
    assert all(job.answer.result().complete for job in jobs)
    assert deployment.recover_and_check().find_violations() == {}


@pytest.mark.parametrize("together", [True, False])
def test_pipelined_requests_get_their_own_answers_in_order(
    deployment: _deployment.Deployment, together: bool
) -> None:
    callers = deployment.callers
    port = deployment.cluster.entries[0].port
    options = [
        _callers.JobOptions(tasks=1, true_ms=(ms,)) for ms in (200.0, 1.0)
    ]
    tokens = [callers.make_tokens(1) for _ in options]
    requests = [
        callers.encode_request(option, token)
        for option, token in zip(options, tokens, strict=True)
    ]
    # HTTPResponse closes the file that it reads; each opens its own.
    with socket.create_connection((_cluster.HOST, port), 30) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if together:
            sock.sendall(b"".join(requests))
        else:
            sock.sendall(requests[0])
            pending = _deployment.Pending(tokens[0], None)
            deployment.wait_started(pending)
            sock.sendall(requests[1])
        answers = _read_answers(sock, 2)
    for token, (status, body) in zip(tokens, answers, strict=True):
        callers.record(_checker.Submission(token, status, body))
    assert [status for status, _ in answers] == [200, 200]
    assert deployment.recover_and_check().find_violations() == {}


def test_tasks_of_a_disconnected_caller_are_stopped(
    deployment: _deployment.Deployment,
) -> None:
    callers = deployment.callers
    entry = deployment.cluster.entries[0]
    options = _callers.JobOptions(tasks=30, true_ms=(20_000.0,))
    tokens = callers.make_tokens(options.tasks)
    with socket.create_connection((_cluster.HOST, entry.port)) as sock:
        sock.sendall(callers.encode_request(options, tokens))
        deployment.wait_started(_deployment.Pending(tokens, None), 8)
    callers.record(_checker.Submission(tokens, disconnected=True))
    _waits.wait_until(
        lambda: deployment.cluster.count_jobs(entry) == 0, "the job's end"
    )
    verdict = deployment.recover_and_check()
    assert verdict.find_violations() == {}
    starts = deployment.read_starts()
    assert sum(starts[token] for token in tokens) == 8


def test_each_request_on_a_reused_connection_gets_its_own_answer(
    deployment: _deployment.Deployment,
) -> None:
    callers = deployment.callers
    port = deployment.cluster.entries[0].port
    connection = http.client.HTTPConnection(_cluster.HOST, port, timeout=30)
    headers = {"Authorization": f"Bearer {_deployment.TEAM_TOKEN}"}
    for deadline_ms in (1, 20_000, 1, 20_000):
        options = _callers.JobOptions(deadline_ms=deadline_ms)
        tokens = callers.make_tokens(options.tasks)
        body = _callers.encode_job(options, tokens)
        connection.request("POST", "/v1/services/print/jobs", body, headers)
        response = connection.getresponse()
        answer = json.loads(response.read())
        callers.record(_checker.Submission(tokens, response.status, answer))
    connection.close()
    assert deployment.recover_and_check().find_violations() == {}


def test_result_that_echoes_another_task_id_is_rejected(
    tmp_path: pathlib.Path,
) -> None:
    targets = ({"crossed": True},)
    with _deployment.deploy(
        tmp_path, entries=1, agents=1, targets=targets
    ) as d:
        answer = d.submit().answer.result()
        assert (answer.status, answer.started) == (502, "unknown")
        assert d.check_submissions().find_violations() == {}


def _expect_not_run(
    pending: _deployment.Pending, status: int, failure: str
) -> None:
    answer = pending.answer.result()
    assert (answer.status, answer.started) == (status, "none")
    assert answer.answer["error"]["type"] == failure


def test_job_that_fits_no_target_is_refused_as_not_run(
    deployment: _deployment.Deployment,
) -> None:
    job = deployment.submit(memory_mb=999_999, deadline_ms=600_000)
    _expect_not_run(job, 422, "infeasible")


def test_job_that_waited_until_its_deadline_is_refused_as_not_run(
    deployment: _deployment.Deployment,
) -> None:
    busy = deployment.submit(tasks=8, true_ms=(900.0,))
    deployment.wait_started(busy, 8)
    job = deployment.submit(deadline_ms=200)
    _expect_not_run(job, 503, "overloaded")
    assert busy.answer.result().complete
    assert deployment.recover_and_check().find_violations() == {}


def test_job_cancelled_while_it_waits_is_refused_as_not_run(
    deployment: _deployment.Deployment,
) -> None:
    busy = deployment.submit(tasks=8, true_ms=(900.0,))
    deployment.wait_started(busy, 8)
    entry = deployment.cluster.entries[0]
    job = deployment.submit(label="wave")
    _waits.wait_until(
        lambda: deployment.cluster.count_jobs(entry) == 2, "the queued job"
    )
    deployment.cancel("wave")
    _expect_not_run(job, 409, "cancelled")
    assert busy.answer.result().complete
    assert deployment.recover_and_check().find_violations() == {}


@contextlib.contextmanager
def _close_links(nodes: list[_cluster.Node]) -> Iterator[None]:
    for node in nodes:
        node.link.close()
    try:
        yield
    finally:
        for node in nodes:
            node.link.open()


def test_job_whose_targets_refuse_connections_is_refused_as_not_run(
    deployment: _deployment.Deployment,
) -> None:
    with _close_links(deployment.cluster.targets):
        job = deployment.submit(deadline_ms=500)
        _expect_not_run(job, 503, "overloaded")
    deployment.run_until_serving()
    assert deployment.recover_and_check().find_violations() == {}


def test_job_whose_links_are_cut_is_refused_as_not_run(
    deployment: _deployment.Deployment,
) -> None:
    entry = deployment.cluster.entries[0]
    entry.link.refuse_connections(peer="agent-")
    job = deployment.submit(deadline_ms=500)
    _expect_not_run(job, 503, "overloaded")
    assert deployment.recover_and_check().find_violations() == {}


def test_answer_without_a_confirmed_outcome_says_unknown(
    deployment: _deployment.Deployment,
) -> None:
    before = deployment.check_submissions()
    entry = deployment.cluster.entries[0]
    entry.link.hold(BACKWARD, peer="agent-")
    job = deployment.submit(deadline_ms=300)
    assert job.answer.result().started == "unknown"
    verdict = deployment.recover_and_check()
    assert verdict.answered_unknown == before.answered_unknown + 1
    assert verdict.find_violations() == {}
