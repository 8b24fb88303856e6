"""Processes paused between a check of a lease and the send that follows.

Holding a link's bytes sets that point exactly: what was sent under a valid
lease arrives after the lease has expired.
"""

from collections.abc import Iterator
import pathlib
import random
import signal
import time

import pytest

from cowslipgate_bench import _deployment
from cowslipgate_bench import _proxy
from cowslipgate_bench import _waits

ENTRIES = 2
SLOTS = 8
ROUNDS = 2
JOBS = 20
LATE_TASKS = 4
DEADLINE_MS = 2_000
MAX_DELAY_SECONDS = 0.03
ENTRY_FLAGS = ("--agent-suspect-after=300ms", "--agent-lost-after=1s")
AGENT_FLAGS = ("--heartbeat=100ms", "--entry-lost-after=700ms")


@pytest.fixture
def agents() -> int:
    return 1


@pytest.fixture
def deployment(
    tmp_path: pathlib.Path, agents: int
) -> Iterator[_deployment.Deployment]:
    with _deployment.deploy(
        tmp_path,
        entries=ENTRIES,
        agents=agents,
        slots=SLOTS,
        entry_flags=ENTRY_FLAGS,
        agent_flags=AGENT_FLAGS,
    ) as started:
        yield started


def _find_starts(
    deployment: _deployment.Deployment, pending: _deployment.Pending
) -> set[str]:
    return {
        line["task"]
        for line in deployment.cluster.read_journal()
        if line["event"] == "start" and line["token"] in pending.tokens
    }


def _start_long(deployment: _deployment.Deployment) -> _deployment.Pending:
    """Start a task of 60 s through the first entry and wait for its start."""
    job = deployment.submit(tasks=1, true_ms=(60_000.0,), deadline_ms=60_000)
    deployment.wait_started(job)
    return job


def _wait_stopped(
    deployment: _deployment.Deployment, long: _deployment.Pending
) -> None:
    """Wait until the agent has stopped the started tasks of a job."""
    tasks = _find_starts(deployment, long)

    def check() -> bool:
        journal = deployment.cluster.read_journal()
        stopped = {line["task"] for line in journal if line["event"] == "stop"}
        return tasks <= stopped

    _waits.wait_until(check, "the stop of the lost entry's tasks")


def test_dispatch_sent_before_a_pause_starts_no_task_after_it(
    deployment: _deployment.Deployment,
) -> None:
    cluster = deployment.cluster
    entry = cluster.entries[0]
    long = _start_long(deployment)
    # The long task may have been sent more than once.
    sent = cluster.read_counter(entry, "dispatched") + LATE_TASKS
    entry.link.hold(_proxy.Direction.BACKWARD, peer="agent-")
    job = deployment.submit(tasks=LATE_TASKS, true_ms=(1.0,))
    _waits.wait_until(
        lambda: cluster.read_counter(entry, "dispatched") == sent,
        "the dispatch of the second job",
    )
    entry.send_signal(signal.SIGSTOP)
    _wait_stopped(deployment, long)
    entry.link.clear_faults()
    entry.send_signal(signal.SIGCONT)
    assert job.answer.result().complete
    assert not long.answer.result().complete
    # Attempts of the late dispatch have numbers up to `sent`.
    attempts = {
        int(task.rpartition(".")[2]) for task in _find_starts(deployment, job)
    }
    assert min(attempts) > sent
    assert deployment.recover_and_check().find_violations() == {}


@pytest.mark.parametrize("agents", [2])
def test_request_sent_before_a_pause_is_sent_by_no_other_agent(
    deployment: _deployment.Deployment,
) -> None:
    cluster = deployment.cluster
    agent, target = cluster.agents[0], cluster.targets[0]
    target.link.hold(_proxy.Direction.FORWARD)
    tasks = SLOTS * len(cluster.agents)
    job = deployment.submit(tasks=tasks, true_ms=(1.0,))
    _waits.wait_until(
        lambda: target.link.count_connections() > 0,
        "a connection to the target",
    )
    agent.send_signal(signal.SIGSTOP)
    answer = job.answer.result()
    assert answer.started in ("some", "unknown")
    target.link.clear_faults()
    agent.send_signal(signal.SIGCONT)
    deployment.wait_started(job, tasks)
    assert deployment.recover_and_check().find_violations() == {}


def _submit_many(
    deployment: _deployment.Deployment,
) -> list[_deployment.Pending]:
    return [
        deployment.submit(
            entry=n % ENTRIES,
            tasks=LATE_TASKS,
            true_ms=(5.0,),
            deadline_ms=DEADLINE_MS,
        )
        for n in range(JOBS)
    ]


@pytest.mark.parametrize("agents", [4])
def test_agents_paused_at_seeded_points_cause_no_violation(
    deployment: _deployment.Deployment,
) -> None:
    generator = random.Random(1)
    nodes = deployment.cluster.agents
    for _ in range(ROUNDS):
        jobs = _submit_many(deployment)
        for agent in generator.sample(nodes, len(nodes)):
            time.sleep(generator.uniform(0.0, MAX_DELAY_SECONDS))
            agent.send_signal(signal.SIGSTOP)
        # With all agents paused, answers follow an expired lease or deadline.
        for job in jobs:
            job.answer.result()
        deployment.recover()
    assert deployment.recover_and_check().find_violations() == {}


def test_entry_paused_at_seeded_points_breaks_no_promise(
    deployment: _deployment.Deployment,
) -> None:
    generator = random.Random(2)
    entry = deployment.cluster.entries[0]
    for _ in range(ROUNDS):
        long = _start_long(deployment)
        jobs = _submit_many(deployment)
        time.sleep(generator.uniform(0.0, MAX_DELAY_SECONDS))
        entry.send_signal(signal.SIGSTOP)
        _wait_stopped(deployment, long)
        deployment.remove_faults()
        for job in (long, *jobs):
            job.answer.result()
        deployment.recover()
    assert deployment.recover_and_check().find_violations() == {}
