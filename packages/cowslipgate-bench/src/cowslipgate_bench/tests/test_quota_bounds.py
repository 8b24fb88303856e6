"""Quotas and membership of several entries, with real processes."""

import concurrent.futures
import pathlib
import signal

from cowslipgate_bench import _cluster
from cowslipgate_bench import _proxy
from cowslipgate_bench import _waits
from cowslipgate_bench.tests import control_builders as builders

QUOTA = 6
JOBS = 12
TASKS = 6


def _find_peak(cluster: _cluster.Cluster) -> int:
    """Return the most tasks that ran at once, from the targets' journals."""
    lines = cluster.read_journal()
    # An end and a start at one instant may be written in either order.
    changes = sorted(
        (line["at"], 1 if line["event"] == "start" else -1) for line in lines
    )
    running = peak = 0
    for _, change in changes:
        running += change
        peak = max(peak, running)
    return peak


def _limit_teams(cluster: _cluster.Cluster) -> None:
    changes = {"teams": {"hall": {"slots": QUOTA}}}
    assert cluster.patch(1, changes).status == 200


def _submit_all(
    cluster: _cluster.Cluster, entries: list[_cluster.Node], team: str
) -> list[int]:
    job = builders.build_job(tasks=TASKS, true_ms=60)
    with concurrent.futures.ThreadPoolExecutor(JOBS) as pool:
        replies = pool.map(
            lambda number: builders.submit(
                cluster, entries[number % len(entries)].port, job, team=team
            ),
            range(JOBS),
        )
        return [reply.status for reply in replies]


def test_greedy_team_stays_within_its_quota(tmp_path: pathlib.Path) -> None:
    with builders.build_cluster(tmp_path, agents=2) as cluster:
        _limit_teams(cluster)
        statuses = _submit_all(cluster, cluster.entries, "hall")
        assert statuses == [200] * JOBS
        assert _find_peak(cluster) <= QUOTA
        with concurrent.futures.ThreadPoolExecutor() as pool:
            greedy = pool.submit(
                _submit_all, cluster, cluster.entries[:1], "hall"
            )
            job = builders.build_job(tasks=2, true_ms=20)
            port = cluster.entries[0].port
            reply = builders.submit(cluster, port, job, team="school")
            assert reply.status == 200
            assert greedy.result() == [200] * JOBS


def test_quota_holds_while_the_store_is_down_and_an_entry_is_paused(
    tmp_path: pathlib.Path,
) -> None:
    with builders.build_cluster(tmp_path, agents=2) as cluster:
        _limit_teams(cluster)
        assert _submit_all(cluster, cluster.entries, "hall") == [200] * JOBS
        builders.set_faults(cluster, mode="limited")
        cluster.entries[2].process.send_signal(signal.SIGSTOP)
        running_entries = cluster.entries[:2]
        assert _submit_all(cluster, running_entries, "hall") == [200] * JOBS
        assert _find_peak(cluster) <= QUOTA


def test_quota_holds_while_links_between_entries_are_cut(
    tmp_path: pathlib.Path,
) -> None:
    with (
        _proxy.Proxy() as proxy,
        builders.build_cluster(tmp_path, agents=2, proxy=proxy) as cluster,
    ):
        _limit_teams(cluster)
        for entry in cluster.entries:
            entry.link.refuse_connections(peer="entry-")
        for entry in cluster.entries:
            _wait_members(cluster, entry, 1)
        assert _submit_all(cluster, cluster.entries, "hall") == [200] * JOBS
        assert _find_peak(cluster) <= QUOTA
        for entry in cluster.entries:
            entry.link.clear_faults()
        for entry in cluster.entries:
            _wait_members(cluster, entry, 3)


def test_killed_entry_is_removed_and_its_replacement_is_found(
    tmp_path: pathlib.Path,
) -> None:
    with builders.build_cluster(tmp_path) as cluster:
        first, _, third = cluster.entries
        third.process.kill()
        third.process.wait()
        _wait_members(cluster, first, 2)
        cluster.entries.remove(third)
        cluster.start_entry("fresh", "seeb", third.port)
        cluster.wait_ready(1)


def _wait_members(
    cluster: _cluster.Cluster, entry: _cluster.Node, count: int
) -> None:
    _waits.wait_until(
        lambda: _count_members(cluster, entry) == count, f"{count} members"
    )


def _count_members(cluster: _cluster.Cluster, entry: _cluster.Node) -> int:
    return len(builders.get_status(cluster, entry.port)["members"])
