"""Demonstration of a deployment that checks each result."""

import concurrent.futures
import http
import json
import pathlib
import signal
import subprocess
import sys
import tempfile

import cowslipgate_core as core

from cowslipgate_bench import _cluster
from cowslipgate_bench import _exceptions
from cowslipgate_bench import _target
from cowslipgate_bench import _waits

TEAM_TOKEN = "hall-token"
PRINT_TASKS = 40
# Exit statuses of the command ``cowslipgate``.
EXIT_COMPLETE = 0
EXIT_REFUSED = 3
SPEEDS = (0.5, 1.0, 1.5, 2.0)
DOMAINS = ["kaai-zuid", "dokken-noord", "depot-berchem"]


def run_demo() -> None:
    """Run every step; exit with status 1 at the first that fails."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder)
        with _cluster.Cluster(path) as cluster:
            try:
                _run_steps(cluster, path)
            except _exceptions.BenchError as error:
                print(f"FAILED: {error}")
                sys.exit(1)
    print("Everything was as promised.")


def _run_steps(cluster: _cluster.Cluster, folder: pathlib.Path) -> None:
    _start(cluster)
    _configure(cluster, folder)
    cluster.wait_ready(len(SPEEDS))
    print("All agents are serving at all entries.")
    _submit_print_run(cluster, folder)
    _submit_draw(cluster, folder)
    _stop_agent(cluster, folder)
    _stop_all(cluster, folder)


def _start(cluster: _cluster.Cluster) -> None:
    cluster.start_table()
    cluster.start_entries(DOMAINS)
    for number, speed in enumerate(SPEEDS):
        options = _target.TargetOptions("schapkaart", 0, speed=speed)
        cluster.start_agent(DOMAINS[number % len(DOMAINS)], options)
    print(f"Started 3 entries and {len(SPEEDS)} agents with targets.")


def _configure(cluster: _cluster.Cluster, folder: pathlib.Path) -> None:
    changes = {
        "services": {"schapkaart": {"response_weight": 0.7}},
        "teams": {"hall": {"token_digests": [core.digest_token(TEAM_TOKEN)]}},
    }
    _waits.wait_until(
        lambda: cluster.patch(0, changes).status == http.HTTPStatus.OK,
        "the first configuration",
    )
    code, reply = _patch(cluster, folder, 1)
    _check(code == EXIT_COMPLETE, f"patch: {reply}")
    print(f"Version 2 is in force at {', '.join(reply['in_force'])}.")
    code, reply = _patch(cluster, folder, 1)
    _check(code == EXIT_REFUSED, f"outdated patch: {reply}")
    _check(reply["error"]["type"] == "outdated", f"outdated patch: {reply}")
    print(f"An outdated patch was refused: {reply['error']['message']}")
    code, reply = _run(cluster, _cluster.OPERATOR_TOKEN, "show")
    _check(reply["version"] == 2, f"show: {reply}")


def _patch(
    cluster: _cluster.Cluster, folder: pathlib.Path, version: int
) -> tuple[int, dict]:
    path = folder / "patch.json"
    path.write_text(json.dumps({"services": {"draw-desk": {}}}))
    token = _cluster.OPERATOR_TOKEN
    return _run(cluster, token, "patch", str(version), str(path))


def _run(
    cluster: _cluster.Cluster, token: str, *arguments: str
) -> tuple[int, dict]:
    """Run ``cowslipgate`` by the balancer; return exit status and answer."""
    binary = pathlib.Path(sys.executable).parent / "cowslipgate"
    address = f"{_cluster.HOST}:{cluster.balancer_port}"
    command = [
        str(binary),
        *arguments,
        f"--address={address}",
        f"--token={token}",
        "--json",
    ]
    result = subprocess.run(command, capture_output=True, check=False)
    _check(bool(result.stdout), f"{arguments}: {result.stderr.decode()}")
    return result.returncode, json.loads(result.stdout)


def _submit_print_run(cluster: _cluster.Cluster, folder: pathlib.Path) -> None:
    tasks = [
        {"payload": {"true_ms": 50 + 5 * n, "tag": n}, "size_ms": 50 + 5 * n}
        for n in range(PRINT_TASKS)
    ]
    answer = _submit(cluster, folder, {"tasks": tasks})
    tags = [result["echo"]["tag"] for result in answer["results"]]
    _check(tags == list(range(PRINT_TASKS)), f"print run: {tags}")
    print(f"A print run of {PRINT_TASKS} tags came back whole, in order.")


def _submit_draw(cluster: _cluster.Cluster, folder: pathlib.Path) -> None:
    job = {"tasks": [{"payload": {"draw": "office"}}], "repeatable": False}
    answer = _submit(cluster, folder, job)
    drawn = answer["results"][0]["echo"]["draw"]
    _check(drawn == "office", f"draw: {answer}")
    print("A draw that may not be repeated ran once.")


def _submit(
    cluster: _cluster.Cluster, folder: pathlib.Path, job: object
) -> dict:
    path = folder / "job.json"
    path.write_text(json.dumps(job))
    code, answer = _run(cluster, TEAM_TOKEN, "submit", "schapkaart", str(path))
    _check(code == EXIT_COMPLETE, f"submit: {answer}")
    return answer


def _stop_agent(cluster: _cluster.Cluster, folder: pathlib.Path) -> None:
    agent = cluster.agents[-1]
    status = _cluster.stop_gracefully(agent.process)
    _check(status == 0, f"agent exit status {status}")
    cluster.wait_ready(len(SPEEDS) - 1)
    journal = folder / f"{cluster.targets[-1].name}.jsonl"
    before = journal.read_text()
    _submit(cluster, folder, {"tasks": [{"size_ms": 50}] * PRINT_TASKS})
    _check(
        journal.read_text() == before,
        "the target of a stopped agent started a task",
    )
    print("An agent left; its target gets no new work.")


def _stop_all(cluster: _cluster.Cluster, folder: pathlib.Path) -> None:
    slow = {"tasks": [{"payload": {"true_ms": 1500}, "size_ms": 1500}] * 8}
    with concurrent.futures.ThreadPoolExecutor() as pool:
        answers = [
            pool.submit(
                cluster.call,
                "POST",
                "/v1/services/schapkaart/jobs",
                slow,
                TEAM_TOKEN,
                entry.port,
            )
            for entry in cluster.entries
        ]
        _waits.wait_until(
            lambda: all(map(cluster.count_jobs, cluster.entries)),
            "a slow job in flight at each entry",
        )
        for entry in cluster.entries:
            entry.process.send_signal(signal.SIGTERM)
        statuses = [answer.result().status for answer in answers]
    failed = [s for s in statuses if s != http.HTTPStatus.OK]
    _check(not failed, f"answers during the stop: {statuses}")
    codes = [entry.process.wait() for entry in cluster.entries]
    _check(not any(codes), f"entry exit statuses {codes}")
    for agent in cluster.agents[:-1]:
        status = _cluster.stop_gracefully(agent.process)
        _check(status == 0, f"agent exit status {status}")
    starts = [
        line["task"]
        for line in cluster.read_journal()
        if line["event"] == "start"
    ]
    _check(len(starts) == len(set(starts)), "a task started twice")
    print("SIGTERM stopped everything, cut nothing, and nothing ran twice.")


def _check(condition: bool, message: str) -> None:
    if not condition:
        raise _exceptions.BrokenPromise(message)
