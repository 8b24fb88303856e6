"""An agent disconnects from entries that drop out of its subset."""

import pathlib

import cowslipgate_core as core
import msgspec
import pytest

from cowslipgate_bench import _cluster
from cowslipgate_bench import _deployment
from cowslipgate_bench import _waits

AGENT = "agent-0"
AGENT_FLAGS = ("--heartbeat=100ms", "--entry-lost-after=2s")

TASK_MS = 5_000.0
"""Run time of the task: the departure begins after ``--entry-lost-after`` and
has to wait for the end of the task."""


def _find_chosen(cluster: _cluster.Cluster, domain: str) -> _cluster.Node:
    """Return the entry that ranks first for the agent in a domain."""
    body = cluster.call("GET", "/v1/members").body
    members = msgspec.convert(body, tuple[core.Member, ...])
    (member,) = core.choose_entries(
        AGENT, members, 1, members[0].region, domain
    )
    port = int(member.http.rpartition(":")[2])
    (node,) = [entry for entry in cluster.entries if entry.port == port]
    return node


@pytest.mark.parametrize(
    "domain",
    [
        pytest.param(_deployment.DOMAINS[0], id="domain of an entry"),
        pytest.param(_deployment.DOMAINS[2], id="domain of no entry"),
    ],
)
def test_agent_leaves_an_entry_that_drops_out_of_its_subset(
    domain: str, tmp_path: pathlib.Path
) -> None:
    with _deployment.deploy(
        tmp_path, entries=2, agents=1, agent_flags=AGENT_FLAGS
    ) as deployment:
        cluster = deployment.cluster
        (agent,) = cluster.agents
        assert _cluster.stop_gracefully(agent.process) == 0
        agent.command += ("--entries=1", f"--domain={domain}")
        cluster.restart(agent)
        first, second = cluster.entries
        chosen = _find_chosen(cluster, domain)
        other = second if chosen is first else first
        assert _cluster.stop_gracefully(chosen.process) == 0
        _waits.wait_until(
            lambda: cluster.list_agents(other) == [AGENT],
            "the agent's move to the other entry",
        )
        number = cluster.entries.index(other)
        job = deployment.submit(entry=number, tasks=1, true_ms=(TASK_MS,))
        deployment.wait_started(job)
        cluster.restart(chosen)
        _waits.wait_until(
            lambda: cluster.list_agents(chosen) == [AGENT],
            "the agent's return to the entry that ranks first",
        )
        _waits.wait_until(
            lambda: not cluster.list_agents(other),
            "the agent leaving the other entry",
        )
        assert job.answer.result().complete
        assert deployment.check_submissions().find_violations() == {}
