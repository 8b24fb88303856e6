"""Memory, processor time and traffic of each node of an idle deployment."""

from collections.abc import Callable
from collections.abc import Sequence
import os
import pathlib
import statistics
import sys
import tempfile
import time

import attrs

from cowslipgate_bench import _cluster
from cowslipgate_bench import _target
from cowslipgate_bench import _waits

AGENTS = 11
# Share of one core.
CPU_SHARE_LIMIT = 0.035
DOMAINS = ["kaai-zuid", "dokken-noord", "depot-berchem"]
BYTES_PER_SECOND_LIMIT = 22_000
READINGS = 5
READING_SECONDS = 6.0
RSS_LIMIT_KB = 32 * 1024
SERVICE = "schapkaart"
SETTLE_SECONDS = 5.0
_Reader = Callable[[_cluster.Cluster, _cluster.Node], dict[str, int]]


@attrs.frozen
class Sample:
    """Counters of one process at one time."""

    at_seconds: float
    """Time of the monotonic clock in seconds."""

    rss_kb: int
    """Resident memory in kB."""

    cpu_seconds: float
    """Processor time since the start of the process in seconds."""

    traffic_bytes: int
    """Bytes sent and received so far between entries and agents."""


@attrs.frozen
class Cost:
    """Cost of one idle process."""

    name: str
    """Name of the process."""

    rss_kb: float
    """Resident memory in kB, the median of several readings."""

    cpu_share: float
    """Share of one core over the whole measurement."""

    bytes_per_second: float
    """Bytes sent and received per second over the whole measurement."""

    def find_excesses(self) -> list[str]:
        """Return a text for each value above its limit."""
        excesses = []
        if self.rss_kb > RSS_LIMIT_KB:
            excesses.append(f"{self.name}: {self.rss_kb:.0f} kB resident")
        if self.cpu_share > CPU_SHARE_LIMIT:
            excesses.append(f"{self.name}: {self.cpu_share:.1%} of a core")
        if self.bytes_per_second > BYTES_PER_SECOND_LIMIT:
            excesses.append(f"{self.name}: {self.bytes_per_second:.0f} B/s")
        return excesses


def run_measurement() -> None:
    """Print the highest cost of each role; exit with 1 above a limit."""
    with (
        tempfile.TemporaryDirectory() as folder,
        _cluster.Cluster(pathlib.Path(folder)) as cluster,
    ):
        _start(cluster)
        time.sleep(SETTLE_SECONDS)
        entries, agents = _measure(cluster)
    _print_role("entry", entries)
    _print_role("agent", agents)
    excesses = [text for c in entries + agents for text in c.find_excesses()]
    for text in excesses:
        print(f"over the limit: {text}")
    sys.exit(1 if excesses else 0)


def _start(cluster: _cluster.Cluster) -> None:
    cluster.start_table()
    cluster.start_entries(DOMAINS)
    for number in range(AGENTS):
        options = _target.TargetOptions(SERVICE, 0)
        cluster.start_agent(DOMAINS[number % len(DOMAINS)], options)
    changes = {"services": {SERVICE: {}}}
    _waits.wait_until(
        lambda: cluster.patch(0, changes).status in (200, 412),
        "the first configuration",
    )
    cluster.wait_ready(AGENTS)


def _measure(cluster: _cluster.Cluster) -> tuple[list[Cost], list[Cost]]:
    entries = [_sample_role(cluster, cluster.entries, _read_entry)]
    agents = [_sample_role(cluster, cluster.agents, _read_agent)]
    for _ in range(READINGS):
        time.sleep(READING_SECONDS)
        entries.append(_sample_role(cluster, cluster.entries, _read_entry))
        agents.append(_sample_role(cluster, cluster.agents, _read_agent))
    return (
        _summarize_role(cluster.entries, entries),
        _summarize_role(cluster.agents, agents),
    )


def _sample_role(
    cluster: _cluster.Cluster, nodes: list[_cluster.Node], read: _Reader
) -> list[Sample]:
    return [_take_sample(cluster, node, read) for node in nodes]


def _summarize_role(
    nodes: list[_cluster.Node], rounds: list[list[Sample]]
) -> list[Cost]:
    samples = zip(*rounds, strict=True)
    return [
        summarize_samples(node.name, taken)
        for node, taken in zip(nodes, samples, strict=True)
    ]


def summarize_samples(name: str, samples: Sequence[Sample]) -> Cost:
    """Return the cost of a process from at least two samples.

    Rates cover the whole time, since a median would hide bursts.
    """
    first, last = samples[0], samples[-1]
    elapsed = last.at_seconds - first.at_seconds
    return Cost(
        name,
        statistics.median(sample.rss_kb for sample in samples[1:]),
        (last.cpu_seconds - first.cpu_seconds) / elapsed,
        (last.traffic_bytes - first.traffic_bytes) / elapsed,
    )


def _take_sample(
    cluster: _cluster.Cluster, node: _cluster.Node, read: _Reader
) -> Sample:
    traffic = read(cluster, node)
    total = traffic["sent_bytes"] + traffic["received_bytes"]
    return Sample(
        time.monotonic(),
        _read_rss_kb(node.pid),
        _read_cpu_seconds(node.pid),
        total,
    )


def _read_entry(
    cluster: _cluster.Cluster, node: _cluster.Node
) -> dict[str, int]:
    reply = cluster.call("GET", "/v1/status", port=node.port)
    return reply.body["traffic"]


def _read_agent(
    cluster: _cluster.Cluster, node: _cluster.Node
) -> dict[str, int]:
    return cluster.call("GET", "/v1/target", port=node.port).body


def _read_rss_kb(pid: int) -> int:
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


def _read_cpu_seconds(pid: int) -> float:
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def _print_role(role: str, costs: list[Cost]) -> None:
    rss = max(cost.rss_kb for cost in costs) / 1024
    cpu = max(cost.cpu_share for cost in costs)
    rate = max(cost.bytes_per_second for cost in costs) / 1000
    print(
        f"{role}: {len(costs)} processes, at most {rss:.1f} MB resident, "
        f"{cpu:.2%} of a core, {rate:.2f} KB/s"
    )
