"""Agents that stop, are paused, or lose entries or their target."""

from collections.abc import Iterator
import concurrent.futures
import pathlib
import signal
import time

import pytest

from cowslipgate_bench import _cluster
from cowslipgate_bench import _proxy
from cowslipgate_bench import _target
from cowslipgate_bench import _waits
from cowslipgate_bench.tests import control_builders

LOST_SECONDS = 2
AGENT_FLAGS = (f"--entry-lost-after={LOST_SECONDS}s",)
ENTRY_FLAGS = (
    "--agent-suspect-after=1s",
    f"--agent-lost-after={LOST_SECONDS}s",
)


class Deployment:
    """Two entries behind proxies, and one agent with one slot."""

    def __init__(self, cluster: _cluster.Cluster) -> None:
        self.cluster = cluster
        self.agent = cluster.agents[0]
        self.pool = concurrent.futures.ThreadPoolExecutor()

    def submit(
        self, entry: int, true_ms: int = 0, tasks: int = 1
    ) -> concurrent.futures.Future:
        """Submit a job at an entry and return a future of the reply."""
        port = self.cluster.entries[entry].port
        job = control_builders.build_job(tasks, true_ms, deadline_ms=20_000)
        return self.pool.submit(
            control_builders.submit, self.cluster, port, job
        )

    def wait_started(self, count: int) -> None:
        """Wait until targets have started a number of tasks."""
        _waits.wait_until(
            lambda: len(self.get_events("start")) >= count, f"{count} starts"
        )

    def get_events(self, event: str) -> list[str]:
        """Return the tasks of each journal line with this event."""
        journal = self.cluster.read_journal()
        return [line["task"] for line in journal if line["event"] == event]

    def get_states(self, entry: int) -> list[str]:
        """Return the state of each agent in an entry's status."""
        port = self.cluster.entries[entry].port
        reply = self.cluster.call("GET", "/v1/status", port=port)
        return [agent["state"] for agent in reply.body["agents"]]


@pytest.fixture
def deployment(tmp_path: pathlib.Path) -> Iterator[Deployment]:
    with (
        _proxy.Proxy() as proxy,
        _cluster.Cluster(tmp_path, proxy) as cluster,
    ):
        cluster.start_table()
        cluster.start_entries(control_builders.DOMAINS[:2], *ENTRY_FLAGS)
        options = _target.TargetOptions(control_builders.SERVICE, 0, slots=1)
        cluster.start_agent(control_builders.DOMAINS[0], options, *AGENT_FLAGS)
        document = control_builders.build_document()
        _waits.wait_until(
            lambda: cluster.patch(0, document).status in (200, 412),
            "the first configuration",
        )
        cluster.wait_ready(1)
        yield Deployment(cluster)


def test_stopping_agent_announces_it_and_finishes_running_tasks(
    deployment: Deployment,
) -> None:
    answer = deployment.submit(0, true_ms=1_500)
    deployment.wait_started(1)
    deployment.agent.send_signal(signal.SIGTERM)
    for entry in (0, 1):
        _waits.wait_until(
            lambda entry=entry: deployment.get_states(entry) == ["leaving"],
            "the announced stop",
        )
    assert not answer.done()
    assert answer.result().status == 200
    assert deployment.agent.process.wait() == 0


def test_agent_stops_after_a_kill_of_the_entry_of_a_running_task(
    deployment: Deployment,
) -> None:
    deployment.submit(0, true_ms=500)
    deployment.wait_started(1)
    deployment.cluster.entries[0].kill()
    deployment.agent.send_signal(signal.SIGTERM)
    assert deployment.agent.process.wait() == 0


def test_agent_stops_while_the_link_to_one_entry_is_cut(
    deployment: Deployment,
) -> None:
    deployment.submit(0, true_ms=500)
    deployment.wait_started(1)
    kept = deployment.submit(1, true_ms=500)
    deployment.wait_started(2)
    deployment.cluster.entries[0].link.hold(*_proxy.Direction, peer="agent-")
    deployment.agent.send_signal(signal.SIGTERM)
    assert kept.result().status == 200
    assert deployment.agent.process.wait() == 0


def test_tasks_of_a_killed_entry_are_stopped(deployment: Deployment) -> None:
    deployment.submit(0, true_ms=60_000)
    deployment.wait_started(1)
    deployment.cluster.entries[0].kill()
    _waits.wait_until(lambda: deployment.get_events("stop"), "a stop")
    assert deployment.submit(1).result().status == 200


def test_resumed_entry_serves_again(deployment: Deployment) -> None:
    entry = deployment.cluster.entries[0]
    deployment.submit(0, true_ms=60_000)
    deployment.wait_started(1)
    entry.send_signal(signal.SIGSTOP)
    _waits.wait_until(lambda: deployment.get_events("stop"), "a stop")
    entry.send_signal(signal.SIGCONT)
    _waits.wait_until(
        lambda: deployment.submit(0).result().status == 200, "a complete reply"
    )


def test_agent_connects_to_restarted_entries(
    deployment: Deployment,
) -> None:
    for entry in deployment.cluster.entries:
        entry.kill()
    for entry in deployment.cluster.entries:
        deployment.cluster.restart(entry)
    deployment.cluster.wait_ready(1)
    assert deployment.submit(0).result().status == 200


def test_resumed_agent_starts_no_task_of_a_failed_job(
    deployment: Deployment,
) -> None:
    first = deployment.submit(0, true_ms=1_000, tasks=3)
    deployment.wait_started(1)
    second = deployment.submit(1, true_ms=10)
    deployment.agent.send_signal(signal.SIGSTOP)
    assert first.result().status != 200
    # The second job may still be queued for another target: its deadline
    # is 20 s.
    time.sleep(LOST_SECONDS)
    deployment.agent.send_signal(signal.SIGCONT)
    started_before = set(deployment.get_events("start"))
    second.result()
    assert deployment.submit(0).result().status == 200
    job = next(iter(started_before)).partition(".")[0]
    started = [t for t in deployment.get_events("start") if t.startswith(job)]
    assert len(started) == 1


def test_unreachable_target_costs_few_messages(
    deployment: Deployment,
) -> None:
    deployment.cluster.targets[0].link.refuse_connections()
    deployment.submit(0)
    time.sleep(2)
    port = deployment.cluster.entries[0].port
    reply = deployment.cluster.call("GET", "/v1/status", port=port)
    assert reply.body["counters"]["dispatched"] < 10
    deployment.cluster.targets[0].link.clear_faults()
