"""Builders of deployments and requests for the tests with processes."""

from collections.abc import Iterator
import contextlib
import pathlib
from typing import Any

import cowslipgate_core as core

from cowslipgate_bench import _cluster
from cowslipgate_bench import _proxy
from cowslipgate_bench import _target
from cowslipgate_bench import _waits

DOMAINS = ["kaai-zuid", "dokken-noord", "depot-berchem"]
SERVICE = "schapkaart"
JOBS_PATH = f"/v1/services/{SERVICE}/jobs"
TOKENS = {"hall": "hall-token", "school": "school-token"}


@contextlib.contextmanager
def build_cluster(
    folder: pathlib.Path,
    entries: int = 3,
    agents: int = 1,
    slots: int = 8,
    proxy: _proxy.Proxy | None = None,
) -> Iterator[_cluster.Cluster]:
    """Yield a running deployment with configuration version 1."""
    with _cluster.Cluster(folder, proxy) as cluster:
        cluster.start_table()
        cluster.start_entries(DOMAINS[:entries])
        for _ in range(agents):
            options = _target.TargetOptions(SERVICE, 0, slots=slots)
            cluster.start_agent(DOMAINS[0], options)
        changes = build_document()
        _waits.wait_until(
            lambda: cluster.patch(0, changes).status in (200, 412),
            "the first configuration",
        )
        cluster.wait_ready(agents)
        yield cluster


def build_document(slots: int | None = None) -> dict[str, Any]:
    """Return a configuration with one service and two teams."""
    limit = {} if slots is None else {"slots": slots}
    teams = {
        name: {"token_digests": [core.digest_token(token)]} | limit
        for name, token in TOKENS.items()
    }
    return {"services": {SERVICE: {}}, "teams": teams}


def build_job(
    tasks: int = 1, true_ms: int = 0, size_ms: int = 0, **fields: Any
) -> Any:
    """Return the body of a submission.

    :param true_ms: run time of each task, in milliseconds
    :param size_ms: declared size in milliseconds; zero declares the run time
    """
    task = {
        "payload": {"true_ms": true_ms},
        "size_ms": size_ms or max(true_ms, 1),
    }
    return {"tasks": [task] * tasks} | fields


def submit(
    cluster: _cluster.Cluster,
    port: int,
    job: Any,
    key: str = "",
    team: str = "hall",
) -> _cluster.Reply:
    """Submit a job at one entry, with an idempotency key unless empty."""
    headers = {"Idempotency-Key": key} if key else {}
    return cluster.call("POST", JOBS_PATH, job, TOKENS[team], port, headers)


def send_patch(
    cluster: _cluster.Cluster,
    port: int,
    version: int,
    key: str,
    changes: Any,
) -> _cluster.Reply:
    """Send a patch of one configuration version to one entry."""
    headers = {"If-Match": f'"{version}"', "Idempotency-Key": key}
    path = "/v1/configuration"
    return cluster.call("PATCH", path, changes, port=port, headers=headers)


def set_faults(cluster: _cluster.Cluster, **faults: Any) -> None:
    """Replace the table service's faults; without arguments, clear them."""
    _cluster.call_http(cluster.table_port, "PUT", "/faults", faults)


def read_row(cluster: _cluster.Cluster, table: str, key: str) -> Any:
    """Return a row of the table service, or None if it is absent."""
    path = f"/tables/{table}/{key}"
    return _cluster.call_http(cluster.table_port, "GET", path).body.get(
        "value"
    )


def get_status(cluster: _cluster.Cluster, port: int) -> Any:
    """Return the body of an entry's ``/v1/status``."""
    return cluster.call("GET", "/v1/status", port=port).body


def wait_version(cluster: _cluster.Cluster, port: int, version: int) -> None:
    """Wait until a version is in force at an entry."""
    _waits.wait_until(
        lambda: get_status(cluster, port)["configuration_version"] == version,
        f"version {version} at port {port}",
    )


def count_starts(cluster: _cluster.Cluster) -> int:
    """Return the number of task starts in the targets' journals."""
    lines = cluster.read_journal()
    return sum(1 for line in lines if line["event"] == "start")
