"""Each task starts at most once, whatever fails between entry and target."""

from collections.abc import Iterator
import pathlib
import signal

import pytest

from cowslipgate_bench import _deployment
from cowslipgate_bench import _proxy
from cowslipgate_bench import _waits

BACKWARD = _proxy.Direction.BACKWARD
FORWARD = _proxy.Direction.FORWARD


@pytest.fixture(scope="module")
def deployment(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[_deployment.Deployment]:
    folder: pathlib.Path = tmp_path_factory.mktemp("starts")
    flags = ("--policy=round_robin",)
    with _deployment.deploy(folder, entry_flags=flags) as started:
        yield started


def _expect_no_violation(deployment: _deployment.Deployment) -> None:
    assert deployment.recover_and_check().find_violations() == {}


def test_agent_paused_while_tasks_are_queued(
    deployment: _deployment.Deployment,
) -> None:
    agent = deployment.cluster.agents[0]
    job = deployment.submit(tasks=8, true_ms=(300.0,))
    deployment.wait_started(job, 4)
    agent.send_signal(signal.SIGSTOP)
    answer = job.answer.result()
    agent.send_signal(signal.SIGCONT)
    _expect_no_violation(deployment)
    assert answer.started in ("some", "unknown")


@pytest.mark.parametrize("direction", [FORWARD, BACKWARD])
def test_withdrawal_crosses_a_start(
    deployment: _deployment.Deployment, direction: _proxy.Direction
) -> None:
    link = deployment.cluster.entries[0].link
    link.hold(direction, peer="agent-")
    job = deployment.submit(deadline_ms=300, true_ms=(50.0,))
    answer = job.answer.result()
    _expect_no_violation(deployment)
    assert answer.started == "unknown"


def test_entry_killed_and_restarted_with_outcomes_in_flight(
    deployment: _deployment.Deployment,
) -> None:
    entry = deployment.cluster.entries[0]
    entry.link.hold(FORWARD, peer="agent-")
    job = deployment.submit(tasks=4, true_ms=(1.0,))
    deployment.wait_started(job, 4)
    entry.kill()
    deployment.cluster.restart(entry)
    entry.link.clear_faults()
    deployment.cluster.wait_ready(2)
    after = [deployment.submit(true_ms=(300.0,)) for _ in range(4)]
    assert all(job.answer.result().complete for job in after)
    deployment.mark_excused(job)
    _expect_no_violation(deployment)


def test_agent_killed_and_restarted(
    deployment: _deployment.Deployment,
) -> None:
    agent = deployment.cluster.agents[0]
    job = deployment.submit(tasks=8, true_ms=(300.0,))
    deployment.wait_started(job, 4)
    agent.kill()
    deployment.cluster.restart(agent)
    answer = job.answer.result()
    _expect_no_violation(deployment)
    assert answer.started in ("some", "unknown")


def test_target_connection_reset_after_the_request_was_sent(
    deployment: _deployment.Deployment,
) -> None:
    job = deployment.submit(tasks=4, true_ms=(300.0,))
    deployment.wait_started(job, 4)
    for target in deployment.cluster.targets:
        target.link.reset()
    answer = job.answer.result()
    _expect_no_violation(deployment)
    assert answer.started in ("some", "unknown")


def test_target_that_refuses_connections_loses_no_task(
    deployment: _deployment.Deployment,
) -> None:
    link = deployment.cluster.targets[0].link
    link.close()
    job = deployment.submit(tasks=4)
    answer = job.answer.result()
    link.open()
    assert answer.complete, answer
    deployment.run_until_serving()
    _expect_no_violation(deployment)


@pytest.mark.parametrize("direction", [FORWARD, BACKWARD])
def test_link_reset_within_a_message_loses_no_job(
    deployment: _deployment.Deployment, direction: _proxy.Direction
) -> None:
    link = deployment.cluster.entries[0].link
    resets = link.resets
    link.reset_mid_message(direction, peer="agent-")
    jobs = [deployment.submit(tasks=4) for _ in range(4)]
    _waits.wait_until(lambda: link.resets > resets + 1, "two resets")
    link.clear_faults()
    answers = [job.answer.result() for job in jobs]
    assert [answer.status for answer in answers] == [200] * 4
    _expect_no_violation(deployment)


@pytest.mark.parametrize("direction", [FORWARD, BACKWARD])
def test_one_way_loss_longer_than_every_lease(
    deployment: _deployment.Deployment, direction: _proxy.Direction
) -> None:
    cluster = deployment.cluster
    link = cluster.entries[0].link
    jobs = [deployment.submit(tasks=4, true_ms=(200.0,)) for _ in range(2)]
    for job in jobs:
        deployment.wait_started(job)
    before = cluster.read_links(cluster.entries[0])
    link.hold(direction, peer="agent-")
    for job in jobs:
        job.answer.result()

    def have_expired() -> bool:
        # An entry removes an agent that it no longer receives from; an agent
        # that no longer receives opens a link with a higher number.
        links = cluster.read_links(cluster.entries[0])
        return all(
            name not in links or links[name] > number
            for name, number in before.items()
        )

    _waits.wait_until(have_expired, "the expiry of every lease of the link")
    _expect_no_violation(deployment)


def test_entry_paused_longer_than_every_lease(
    deployment: _deployment.Deployment,
) -> None:
    cluster = deployment.cluster
    entry = cluster.entries[0]
    job = deployment.submit(tasks=8, true_ms=(500.0,))
    deployment.wait_started(job, 4)
    other = cluster.entries[1]
    members = len(cluster.entries)
    entry.send_signal(signal.SIGSTOP)
    # Agents expire the lease of a paused entry before other entries do.
    _waits.wait_until(
        lambda: len(cluster.list_members(other)) < members,
        "removal of the paused entry at the other entry",
    )
    entry.send_signal(signal.SIGCONT)
    job.answer.result()
    _expect_no_violation(deployment)


def test_agent_comes_back_to_an_entry_that_it_lost(
    deployment: _deployment.Deployment,
) -> None:
    cluster = deployment.cluster
    entry = cluster.entries[1]
    entry.link.refuse_connections(peer="agent-0")
    _waits.wait_until(
        lambda: cluster.list_agents(entry) == ["agent-1"],
        "removal of the agent at the entry",
    )
    _expect_no_violation(deployment)
