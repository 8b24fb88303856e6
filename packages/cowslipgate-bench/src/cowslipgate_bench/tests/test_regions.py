"""Regions whose links to each other are cut."""

import pathlib

import pytest

from cowslipgate_bench import _cluster
from cowslipgate_bench import _deployment
from cowslipgate_bench import _waits

REGIONS = ("north", "south")
JOBS = 10


def _wait_agents(
    cluster: _cluster.Cluster, agents: list[list[str]], what: str
) -> None:
    _waits.wait_until(
        lambda: [cluster.list_agents(e) for e in cluster.entries] == agents,
        what,
    )


def _cut_regions(deployment: _deployment.Deployment) -> None:
    """Cut each entry off from the other region."""
    first, second = deployment.cluster.entries
    first.link.refuse_connections(peer="agent-1")
    second.link.refuse_connections(peer="agent-0")


def test_each_region_is_served_while_links_between_regions_are_cut(
    tmp_path: pathlib.Path,
) -> None:
    with _deployment.deploy(tmp_path, regions=REGIONS) as deployment:
        cluster = deployment.cluster
        _wait_agents(
            cluster, [["agent-0", "agent-1"]] * 2, "agents at each entry"
        )
        _cut_regions(deployment)
        _wait_agents(
            cluster,
            [["agent-0"], ["agent-1"]],
            "the agents of its region at each entry",
        )
        jobs = [deployment.submit(entry=n % 2) for n in range(JOBS)]
        assert all(job.answer.result().complete for job in jobs)
        assert deployment.recover_and_check().find_violations() == {}


@pytest.mark.parametrize(
    ("links", "agents"),
    [
        (1, [["agent-0"], ["agent-1"]]),
        (2, [["agent-0", "agent-1"]] * 2),
    ],
)
def test_agent_links_to_the_other_region_only_with_two_links(
    tmp_path: pathlib.Path, links: int, agents: list[list[str]]
) -> None:
    with _deployment.deploy(tmp_path, regions=REGIONS) as deployment:
        cluster = deployment.cluster
        for agent in cluster.agents:
            assert _cluster.stop_gracefully(agent.process) == 0
            agent.command += (f"--entries={links}",)
            cluster.restart(agent)
        _wait_agents(cluster, agents, "the chosen links")
