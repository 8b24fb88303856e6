"""Targets of the fault soak that other processes serve."""

from collections.abc import Iterator
import contextlib
import http
import http.client
import json
import pathlib

from cowslipgate_platform.tests import target_standin
import pytest

from cowslipgate_bench import _proxy
from cowslipgate_bench import _waits
from cowslipgate_bench import faultsoak
from cowslipgate_bench.faultsoak import _deployment

TASK = "0000000000000001.0.0.0"
UNTIL_MS = 86_400_000
CALL_SECONDS = 1.0


@contextlib.contextmanager
def _open_fleet(
    folder: pathlib.Path, agents: int
) -> Iterator[faultsoak.Deployment]:
    system = faultsoak.Deployment(folder, 1, agents)
    try:
        system.start_standins()
        yield system
    finally:
        system.close()


def _order_run(node: faultsoak.Node, number: int) -> int:
    """Order a run as the agent does and return the status."""
    order = {
        "task": TASK,
        "run": number,
        "spec": "60000",
        "until_ms": UNTIL_MS,
        "fencing_token": 1,
    }
    connection = http.client.HTTPConnection(
        node.address.host, node.address.port, timeout=CALL_SECONDS
    )
    with contextlib.closing(connection):
        path = "/cowslipgate/run-start"
        connection.request("POST", path, json.dumps(order))
        return connection.getresponse().status


# One process that served 48 targets and the links to them answered so late
# that agents opened 400 connections a second, and no entry reached the store.
@pytest.mark.parametrize("more", [0, 1])
def test_targets_of_a_large_fleet_have_processes_of_their_own(
    more: int, tmp_path: pathlib.Path
) -> None:
    agents = _deployment.MAX_TARGETS + more
    with _open_fleet(tmp_path, agents) as system:
        local = [
            type(target) is target_standin.Target for target in system.targets
        ]
        assert local == [not more] * agents


# Guards against faults and journals that don't pass between the processes.
def test_target_of_another_process_is_ordered_observed_and_cut(
    tmp_path: pathlib.Path,
) -> None:
    with _open_fleet(tmp_path, _deployment.MAX_TARGETS + 1) as system:
        node, target = system.agents[-1], system.targets[-1]
        assert _order_run(node, 1) == http.HTTPStatus.OK
        (run,) = system.list_runs(TASK)
        assert (run.target, run.ended_at) == (target.node, None)
        target.fault = faultsoak.TargetFault.REFUSING
        assert _order_run(node, 2) == http.HTTPStatus.SERVICE_UNAVAILABLE
        target.fault = faultsoak.TargetFault.NONE
        target.crash()
        _waits.wait_until(
            lambda: system.list_runs(TASK)[0].outcome == "crashed",
            "the end of the run",
        )
        node.work_link.hold(*_proxy.Direction)
        with pytest.raises(TimeoutError):
            _order_run(node, 3)
        node.work_link.clear_faults()
        assert _order_run(node, 4) == http.HTTPStatus.OK
