"""Planned stops and removed targets interrupt no job."""

from collections.abc import Iterator
import http.client
import json
import pathlib
import signal
import socket

import pytest

from cowslipgate_bench import _callers
from cowslipgate_bench import _checker
from cowslipgate_bench import _cluster
from cowslipgate_bench import _deployment
from cowslipgate_bench import _proxy
from cowslipgate_bench import _waits


@pytest.fixture
def deployment(tmp_path: pathlib.Path) -> Iterator[_deployment.Deployment]:
    with _deployment.deploy(tmp_path, slots=4) as started:
        yield started


def _read_answer(sock: socket.socket) -> tuple[int, dict[str, object]]:
    response = http.client.HTTPResponse(sock)
    response.begin()
    return response.status, json.loads(response.read())


def _remove_entry(
    deployment: _deployment.Deployment, entry: _cluster.Node
) -> None:
    deployment.cluster.entries.remove(entry)


def test_entry_stops_with_jobs_in_flight_and_arriving(
    deployment: _deployment.Deployment,
) -> None:
    cluster = deployment.cluster
    entry = cluster.entries[0]
    balancer = cluster.balancer_port
    in_flight = [deployment.submit(true_ms=(700.0,)) for _ in range(3)]
    deployment.wait_started(in_flight[0])
    entry.send_signal(signal.SIGTERM)
    arriving = [deployment.submit(port=balancer) for _ in range(30)]
    assert all(job.answer.result().complete for job in in_flight)
    _waits.wait_until(lambda: entry.process.poll() is not None, "the exit")
    later = [deployment.submit(port=balancer) for _ in range(10)]
    statuses = {job.answer.result().status for job in arriving + later}
    assert statuses <= {200, 503}
    assert entry.process.returncode == 0
    _remove_entry(deployment, entry)
    assert deployment.recover_and_check().find_violations() == {}


def test_request_half_sent_when_the_entry_stops_is_answered(
    deployment: _deployment.Deployment,
) -> None:
    callers = deployment.callers
    entry = deployment.cluster.entries[0]
    options = _callers.JobOptions()
    tokens = callers.make_tokens(options.tasks)
    request = callers.encode_request(options, tokens)
    with socket.create_connection((_cluster.HOST, entry.port), 30) as sock:
        sock.sendall(request[: len(request) // 2])
        # The reply to a later request shows that the half was read.
        deployment.cluster.count_jobs(entry)
        entry.send_signal(signal.SIGTERM)
        _waits.wait_until(
            lambda: not _is_healthy(entry), "the health check failing"
        )
        sock.sendall(request[len(request) // 2 :])
        status, body = _read_answer(sock)
    callers.record(_checker.Submission(tokens, status, body))
    assert status in (200, 503)
    assert entry.process.wait(_cluster.STOP_SECONDS) == 0
    _remove_entry(deployment, entry)
    assert deployment.recover_and_check().find_violations() == {}


def test_idle_connections_do_not_delay_a_stop(
    deployment: _deployment.Deployment,
) -> None:
    entry = deployment.cluster.entries[0]
    with socket.create_connection((_cluster.HOST, entry.port)):
        entry.send_signal(signal.SIGTERM)
        assert entry.process.wait(_cluster.STOP_SECONDS) == 0


def test_agent_stops_with_running_tasks(
    deployment: _deployment.Deployment,
) -> None:
    cluster = deployment.cluster
    agent = cluster.agents[0]
    jobs = [
        deployment.submit(entry=n % 2, tasks=12, true_ms=(150.0,))
        for n in range(4)
    ]
    deployment.wait_started(jobs[0])
    agent.send_signal(signal.SIGTERM)
    assert all(job.answer.result().complete for job in jobs)
    assert agent.process.wait(_cluster.STOP_SECONDS) == 0
    cluster.agents.remove(agent)
    assert deployment.recover_and_check().find_violations() == {}


def test_agent_stops_behind_a_slow_link(
    deployment: _deployment.Deployment,
) -> None:
    cluster = deployment.cluster
    agent = cluster.agents[0]
    for entry in cluster.entries:
        entry.link.inject(_proxy.Fault("agent-0", delay_seconds=0.3))
    jobs = [
        deployment.submit(entry=n % 2, tasks=2, true_ms=(50.0,))
        for n in range(60)
    ]
    deployment.wait_started(jobs[0])
    agent.send_signal(signal.SIGTERM)
    answers = [job.answer.result() for job in jobs]
    assert {answer.status for answer in answers} == {200}, answers
    cluster.agents.remove(agent)
    assert deployment.recover_and_check().find_violations() == {}


def test_removed_target_gets_no_task_while_a_link_is_cut(
    deployment: _deployment.Deployment,
) -> None:
    cluster = deployment.cluster
    cluster.entries[0].link.hold(_proxy.Direction.FORWARD, peer="agent-0")
    reply = _cluster.call_http(
        cluster.agents[0].port, "DELETE", "/v1/target", None
    )
    assert reply.status == 200
    before = len(cluster.read_journal(0))
    jobs = [deployment.submit(entry=n % 2, tasks=8) for n in range(6)]
    for job in jobs:
        job.answer.result()
    assert len(cluster.read_journal(0)) == before


def _is_healthy(entry: _cluster.Node) -> bool:
    reply = _cluster.call_http(entry.port, "GET", "/v1/health")
    return reply.status == 200


def test_entries_survive_planned_restarts_of_the_others(
    tmp_path: pathlib.Path,
) -> None:
    with _deployment.deploy(tmp_path, entries=3, agents=1) as deployment:
        entries = deployment.cluster.entries
        for entry in entries:
            assert _cluster.stop_gracefully(entry.process) == 0
            deployment.cluster.restart(entry)
        assert deployment.recover_and_check().find_violations() == {}
        assert [entry.process.poll() for entry in entries] == [None] * 3
