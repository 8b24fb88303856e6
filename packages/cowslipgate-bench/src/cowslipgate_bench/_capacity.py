"""Measures how the cost of each role scales, for docs/CAPACITY.md."""

from collections.abc import Iterator
import contextlib
import datetime
import http.client
import json
import pathlib
import statistics
import tempfile
import threading
import time

import attrs
import cowslipgate_core as core

from cowslipgate_bench import _cluster
from cowslipgate_bench import _exceptions
from cowslipgate_bench import _message_sizes
from cowslipgate_bench import _process_cost
from cowslipgate_bench import _target
from cowslipgate_bench import _waits

SERVICE = "print"
TEAM_TOKEN = "hall-token"
DOMAIN = "kaai-zuid"
IDLE_SECONDS = 8.0
LOAD_SECONDS = 5.0
AGENTS_PER_PROCESS = 50
CONNECTIONS = 4
SPREAD_CONNECTIONS = 24
SPREAD_LONGEST_MS = 200.0
AGENT_COUNTS = (11, 50, 200)
ENTRY_COUNTS = (1, 3, 6)
JOB_SIZES = (1, 10, 40, 160, 410)
FAST_SLOTS = 64
MICROSECOND = datetime.timedelta(microseconds=1)
CONFIGURATION = {
    "services": {SERVICE: {}},
    "teams": {"hall": {"token_digests": [core.digest_token(TEAM_TOKEN)]}},
}


@attrs.frozen
class Line:
    """A straight line fitted to measured points."""

    base: float
    """Value at zero."""

    slope: float
    """Increase for each unit."""

    points: tuple[tuple[float, float], ...]
    """Measured points that the line is fitted to."""


@attrs.frozen
class IdleCost:
    """Cost of one process without load."""

    processor_share: float
    """Share of one core."""

    memory_mb: float
    """Resident memory in MB."""


@attrs.frozen
class Slopes:
    """Measurements from which the page is calculated."""

    measured_at: str
    """Date and time of the run, in UTC."""

    entry_share_by_agents: Line
    """Processor share of an idle entry by the number of its agents."""

    entry_memory_by_agents: Line
    """Memory of an idle entry in MB by the number of its agents."""

    entry_share_by_entries: Line
    """Processor share of an idle entry by the number of entries."""

    entry_us_by_tasks: Line
    """Entry's processor time in microseconds for a job by its tasks."""

    entry_spread_us_by_tasks: Line
    """The same when tasks take up to 200 ms and end one by one."""

    agent_share_by_entries: Line
    """Processor share of an idle agent by the number of its entries."""

    agent_memory_by_entries: Line
    """Memory of an idle agent in MB by the number of its entries."""

    agent_us_per_task: float
    """Processor time of an agent for each task in microseconds."""

    table_reads_by_entries: Line
    """Reads per second of an idle system by the number of entries."""

    table_writes_by_entries: Line
    """Writes per second of an idle system by the number of entries."""

    report_bytes: int
    """Bytes of an agent's heartbeat."""

    beat_bytes: int
    """Bytes of an entry's answer to a heartbeat."""

    gossip_base_bytes: int
    """Bytes of a gossip message without members and teams."""

    gossip_member_bytes: int
    """Bytes that each member adds to a gossip message."""

    lease_base_bytes: int
    """Bytes of a lease in the lease row, without shares."""

    push_bytes: int
    """Bytes of a pushed configuration with the required number of teams."""

    lease_team_bytes: int
    """Bytes that each team with a quota adds to a lease."""


def fit_line(points: list[tuple[float, float]]) -> Line:
    """Return the least-squares line through at least two ``points``."""
    slope, base = statistics.linear_regression(*zip(*points, strict=True))
    return Line(base, slope, tuple(points))


def measure_slopes() -> Slopes:
    """Run every measurement, one after another."""
    by_agents = [(n, _measure_entry(n)) for n in AGENT_COUNTS]
    by_entries = [(n, *_measure_entries(n)) for n in ENTRY_COUNTS]
    jobs = _measure_jobs(AGENT_COUNTS[0], JOB_SIZES, 0.0)
    spread = _measure_jobs(AGENT_COUNTS[2], JOB_SIZES[2:], SPREAD_LONGEST_MS)
    agent_us = _measure_agent()
    sizes = _message_sizes.measure_messages()
    return Slopes(
        datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds"),
        fit_line([(n, idle.processor_share) for n, idle in by_agents]),
        fit_line([(n, idle.memory_mb) for n, idle in by_agents]),
        fit_line([(n, e.processor_share) for n, e, *_ in by_entries]),
        fit_line(jobs),
        fit_line(spread),
        fit_line([(n, a.processor_share) for n, _, a, *_ in by_entries]),
        fit_line([(n, a.memory_mb) for n, _, a, *_ in by_entries]),
        agent_us,
        fit_line([(n, reads) for n, *_, reads, _ in by_entries]),
        fit_line([(n, writes) for n, *_, writes in by_entries]),
        *sizes,
    )


@contextlib.contextmanager
def start_cluster(entries: int) -> Iterator[_cluster.Cluster]:
    """Run ``entries`` entries with one service, one team and no agents."""
    with tempfile.TemporaryDirectory() as folder:
        with _cluster.Cluster(pathlib.Path(folder)) as cluster:
            cluster.start_table()
            cluster.start_entries([DOMAIN] * entries)
            _waits.wait_until(
                lambda: cluster.patch(0, CONFIGURATION).status == 200,
                "the first configuration",
            )
            yield cluster


def start_agents(
    cluster: _cluster.Cluster, count: int, longest_ms: float = 0.0
) -> None:
    """Start agents without targets and wait until all entries list them.

    :param longest_ms: longest run time of a task in milliseconds
    """
    for first in range(0, count, AGENTS_PER_PROCESS):
        size = min(AGENTS_PER_PROCESS, count - first)
        name = f"agents-{first}"
        process = cluster.spawn(
            name,
            "agents",
            SERVICE,
            name,
            str(size),
            str(cluster.balancer_port),
            str(longest_ms),
        )
        process.stdout.readline()
    cluster.wait_ready(count)


def _measure_idle(pid: int) -> IdleCost:
    before = _process_cost.read_cost(pid)
    time.sleep(IDLE_SECONDS)
    after = _process_cost.read_cost(pid)
    used = after.processor - before.processor
    return IdleCost(used.total_seconds() / IDLE_SECONDS, after.memory_mb)


def _measure_entry(agents: int) -> IdleCost:
    with start_cluster(1) as cluster:
        start_agents(cluster, agents)
        return _measure_idle(cluster.entries[0].process.pid)


def _measure_entries(entries: int) -> tuple[IdleCost, IdleCost, float, float]:
    options = _target.TargetOptions(SERVICE, 0)
    with start_cluster(entries) as cluster:
        agent = cluster.start_agent(DOMAIN, options, f"--entries={entries}")
        cluster.wait_ready(1)
        before = cluster.call("GET", "/counts", port=cluster.table_port).body
        entry_idle = _measure_idle(cluster.entries[0].process.pid)
        agent_idle = _measure_idle(agent.process.pid)
        after = cluster.call("GET", "/counts", port=cluster.table_port).body
        elapsed = 2 * IDLE_SECONDS
        reads = (after["reads"] - before["reads"]) / elapsed
        writes = (after["writes"] - before["writes"]) / elapsed
        return entry_idle, agent_idle, reads, writes


def _measure_jobs(
    agents: int, sizes: tuple[int, ...], longest_ms: float
) -> list[tuple[float, float]]:
    points = []
    connections = SPREAD_CONNECTIONS if longest_ms else CONNECTIONS
    with start_cluster(1) as cluster:
        start_agents(cluster, agents, longest_ms)
        entry = cluster.entries[0]
        for size in sizes:
            used, jobs = load_entry(
                cluster, entry.process.pid, size, connections
            )
            points.append((size, used / MICROSECOND / jobs))
    return points


def _measure_agent() -> float:
    options = _target.TargetOptions(SERVICE, 0, slots=FAST_SLOTS)
    with start_cluster(1) as cluster:
        agent = cluster.start_agent(DOMAIN, options)
        cluster.wait_ready(1)
        size = JOB_SIZES[2]
        used, jobs = load_entry(cluster, agent.process.pid, size, CONNECTIONS)
        return used / MICROSECOND / (jobs * size)


def load_entry(
    cluster: _cluster.Cluster, pid: int, size: int, connections: int
) -> tuple[datetime.timedelta, int]:
    """Submit jobs for ``LOAD_SECONDS``, each connection one at a time.

    :param size: tasks of a job
    :return: processor time that ``pid`` used and the number of jobs
    :raises UnexpectedStatus: on a submitting thread, when a job fails
    """
    tasks = [{"payload": {"tag": n}, "kind": "tag"} for n in range(size)]
    body = json.dumps({"tasks": tasks}).encode()
    job_counts: list[int] = []
    deadline = time.monotonic() + LOAD_SECONDS
    port = cluster.entries[0].port
    threads = [
        threading.Thread(
            target=_submit_jobs, args=(port, body, deadline, job_counts)
        )
        for _ in range(connections)
    ]
    before = _process_cost.read_cost(pid)
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    after = _process_cost.read_cost(pid)
    return after.processor - before.processor, sum(job_counts)


def _submit_jobs(
    port: int, body: bytes, deadline: float, job_counts: list[int]
) -> None:
    connection = http.client.HTTPConnection(_cluster.HOST, port, timeout=60)
    headers = {"Authorization": f"Bearer {TEAM_TOKEN}"}
    path = f"/v1/services/{SERVICE}/jobs"
    count = 0
    while time.monotonic() < deadline:
        connection.request("POST", path, body, headers)
        response = connection.getresponse()
        response.read()
        if response.status != http.HTTPStatus.OK:
            raise _exceptions.UnexpectedStatus(response.status)
        count += 1
    connection.close()
    job_counts.append(count)
