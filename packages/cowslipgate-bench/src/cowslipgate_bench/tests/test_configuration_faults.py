"""Accepted configurations under faults, with real processes."""

import concurrent.futures
import pathlib
import signal

from cowslipgate_bench import _cluster
from cowslipgate_bench import _waits
from cowslipgate_bench.tests import control_builders as builders


def _build_changes(backlog: int) -> object:
    return {"services": {builders.SERVICE: {"max_backlog": backlog}}}


def test_resumed_entry_does_not_dispatch_under_an_old_version(
    tmp_path: pathlib.Path,
) -> None:
    with builders.build_cluster(tmp_path) as cluster:
        paused, other, third = cluster.entries
        paused.process.send_signal(signal.SIGSTOP)
        with concurrent.futures.ThreadPoolExecutor() as pool:
            patches = []
            for version in (1, 2):
                patches.append(
                    pool.submit(
                        builders.send_patch,
                        cluster,
                        other.port,
                        version,
                        f"key-{version}",
                        _build_changes(1000 + version),
                    )
                )
                _waits.wait_until(
                    lambda v=version: _get_stored_version(cluster) == v + 1,
                    "the write",
                )
            replies = [patch.result() for patch in patches]
        assert [reply.status for reply in replies] == [200, 200]
        assert [len(reply.body["lapsed"]) for reply in replies] == [1, 1]
        _waits.wait_until(
            lambda: _has_agent_version(cluster, other.port, 3),
            "version 3 at the agent, as seen by another entry",
        )
        builders.set_faults(cluster, mode="down")
        for entry in (other, third):
            entry.process.send_signal(signal.SIGSTOP)
        paused.process.send_signal(signal.SIGCONT)
        with concurrent.futures.ThreadPoolExecutor() as pool:
            job = builders.build_job(tasks=4)
            answer = pool.submit(builders.submit, cluster, paused.port, job)
            _waits.wait_until(
                lambda: _has_agent_version(cluster, paused.port, 3),
                "version 3 at the agent, as seen by the resumed entry",
            )
            other.process.send_signal(signal.SIGCONT)
            third.process.send_signal(signal.SIGCONT)
            assert answer.result().status == 200
        status = builders.get_status(cluster, paused.port)
        assert status["configuration_version"] == 3
        assert status["counters"]["refused"] <= 4
        assert builders.count_starts(cluster) == 4


def _has_agent_version(
    cluster: _cluster.Cluster, port: int, version: int
) -> bool:
    agents = builders.get_status(cluster, port)["agents"]
    return [a["configuration_version"] for a in agents] == [version]


def test_new_entry_gets_configuration_from_a_peer_while_store_is_down(
    tmp_path: pathlib.Path,
) -> None:
    with builders.build_cluster(tmp_path, entries=2) as cluster:
        old, other = cluster.entries
        builders.set_faults(cluster, mode="down")
        old.process.kill()
        old.process.wait()
        fresh = cluster.start_entry("fresh", "seeb", old.port)
        _waits.wait_until(lambda: _is_reachable(cluster, fresh.port), "status")
        builders.wait_version(cluster, fresh.port, 1)
        job = builders.build_job(tasks=2)
        assert builders.submit(cluster, fresh.port, job).status == 200


def _is_reachable(cluster: _cluster.Cluster, port: int) -> bool:
    try:
        return builders.get_status(cluster, port) is not None
    except OSError:
        return False


def test_entry_without_store_and_peer_refuses_jobs_as_not_run(
    tmp_path: pathlib.Path,
) -> None:
    with _cluster.Cluster(tmp_path) as cluster:
        cluster.table_port = _cluster.choose_ports(1)[0]
        cluster.start_entries(builders.DOMAINS[:1])
        port = cluster.entries[0].port
        _waits.wait_until(lambda: _is_reachable(cluster, port), "status")
        reply = builders.submit(cluster, port, builders.build_job())
        assert reply.status == 503
        assert reply.body["error"]["type"] == "no_configuration"
        assert reply.body["error"]["started"] == "none"


def test_patch_survives_a_kill_of_the_entry_that_stored_it(
    tmp_path: pathlib.Path,
) -> None:
    with builders.build_cluster(tmp_path) as cluster:
        accepting, *others = cluster.entries
        builders.set_faults(cluster, write_ms=2000.0)
        with concurrent.futures.ThreadPoolExecutor() as pool:
            answer = pool.submit(
                builders.send_patch,
                cluster,
                accepting.port,
                1,
                "key",
                _build_changes(7),
            )
            _waits.wait_until(
                lambda: _get_stored_version(cluster) == 2, "the write"
            )
            accepting.process.kill()
            assert isinstance(answer.exception(), OSError)
        for entry in others:
            builders.wait_version(cluster, entry.port, 2)
        builders.set_faults(cluster)
        reply = builders.send_patch(
            cluster, others[0].port, 1, "key", _build_changes(7)
        )
        assert (reply.status, reply.body["version"]) == (200, 2)


def _get_stored_version(cluster: _cluster.Cluster) -> int:
    return builders.read_row(cluster, "configuration", "current")["version"]
