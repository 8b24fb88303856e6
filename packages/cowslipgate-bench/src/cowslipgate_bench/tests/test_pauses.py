"""Processes that stand still between a check and the send that follows.

A link that holds bytes stands for the exact point: what the holder sent in
good faith arrives when its lease has lapsed.
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
POINT_SECONDS = 0.03
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
    """Have the agent run a long task of the first entry."""
    job = deployment.submit(tasks=1, true_ms=(60_000.0,), deadline_ms=60_000)
    deployment.wait_started(job)
    return job


def _wait_given_up(
    deployment: _deployment.Deployment, long: _deployment.Pending
) -> None:
    """Wait until the agent has stopped what it ran for an entry."""
    tasks = _find_starts(deployment, long)

    def check() -> bool:
        journal = deployment.cluster.read_journal()
        stopped = {line["task"] for line in journal if line["event"] == "stop"}
        return tasks <= stopped

    _waits.wait_until(check, "the agent giving up the entry")


def test_dispatch_sent_before_a_pause_starts_nothing_after_it(
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
    _wait_given_up(deployment, long)
    entry.link.heal()
    entry.send_signal(signal.SIGCONT)
    assert job.answer.result().complete
    assert not long.answer.result().complete
    # Attempts are numbered, so the late ones would show themselves.
    attempts = {
        int(task.rpartition(".")[2]) for task in _find_starts(deployment, job)
    }
    assert min(attempts) > sent
    assert deployment.settle().find_violations() == {}


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
        lambda: target.link.count_connections() > 0, "requests leaving"
    )
    agent.send_signal(signal.SIGSTOP)
    answer = job.answer.result()
    assert answer.started in ("some", "unknown")
    target.link.heal()
    agent.send_signal(signal.SIGCONT)
    deployment.wait_started(job, tasks)
    assert deployment.settle().find_violations() == {}


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
def test_agents_paused_at_seeded_points_break_no_promise(
    deployment: _deployment.Deployment,
) -> None:
    chance = random.Random(1)
    nodes = deployment.cluster.agents
    for _ in range(ROUNDS):
        jobs = _submit_many(deployment)
        for agent in chance.sample(nodes, len(nodes)):
            time.sleep(chance.uniform(0.0, POINT_SECONDS))
            agent.send_signal(signal.SIGSTOP)
        # Without agents every answer means that a lease or deadline passed.
        for job in jobs:
            job.answer.result()
        deployment.heal()
    assert deployment.settle().find_violations() == {}


def test_entry_paused_at_seeded_points_breaks_no_promise(
    deployment: _deployment.Deployment,
) -> None:
    chance = random.Random(2)
    entry = deployment.cluster.entries[0]
    for _ in range(ROUNDS):
        long = _start_long(deployment)
        jobs = _submit_many(deployment)
        time.sleep(chance.uniform(0.0, POINT_SECONDS))
        entry.send_signal(signal.SIGSTOP)
        _wait_given_up(deployment, long)
        deployment.remove_faults()
        for job in (long, *jobs):
            job.answer.result()
        deployment.heal()
    assert deployment.settle().find_violations() == {}
