"""Answers to patches, with real processes and a faulty table service."""

from collections.abc import Iterator
import concurrent.futures
import pathlib
import uuid

from cowslipgate_bench import _cluster
from cowslipgate_bench import _waits
from cowslipgate_bench.tests import control_builders as builders
import pytest


@pytest.fixture(scope="module")
def cluster(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[_cluster.Cluster]:
    folder: pathlib.Path = tmp_path_factory.mktemp("patches")
    with builders.build_cluster(folder, entries=2) as started:
        yield started


@pytest.fixture(autouse=True)
def _clear_faults(cluster: _cluster.Cluster) -> Iterator[None]:
    yield
    builders.set_faults(cluster)


def _get_version(cluster: _cluster.Cluster) -> int:
    return builders.read_row(cluster, "configuration", "current")["version"]


def _send(
    cluster: _cluster.Cluster,
    version: int,
    key: str,
    backlog: int,
    entry: int = 0,
) -> _cluster.Reply:
    changes = {"services": {builders.SERVICE: {"max_backlog": backlog}}}
    port = cluster.entries[entry].port
    return builders.send_patch(cluster, port, version, key, changes)


def _make_key() -> str:
    return uuid.uuid4().hex


def test_patch_without_a_version_is_refused(
    cluster: _cluster.Cluster,
) -> None:
    path = "/v1/configuration"
    assert cluster.call("PATCH", path, {}).status == 428


def test_outdated_patch_is_refused_with_the_current_version(
    cluster: _cluster.Cluster,
) -> None:
    version = _get_version(cluster)
    reply = _send(cluster, version - 1, _make_key(), 1)
    assert (reply.status, reply.body["version"]) == (412, version)


def test_one_of_two_concurrent_patches_succeeds(
    cluster: _cluster.Cluster,
) -> None:
    version = _get_version(cluster)
    with concurrent.futures.ThreadPoolExecutor() as pool:
        replies = pool.map(
            lambda entry: _send(cluster, version, _make_key(), 5, entry),
            (0, 1),
        )
        assert sorted(reply.status for reply in replies) == [200, 412]
    assert _get_version(cluster) == version + 1


def test_key_of_another_patch_is_refused(cluster: _cluster.Cluster) -> None:
    version, key = _get_version(cluster), _make_key()
    assert _send(cluster, version, key, 6).status == 200
    reply = _send(cluster, version, key, 7)
    assert reply.status == 422
    assert reply.body["error"]["type"] == "key_reused"


def test_repeated_patch_returns_its_first_version_after_others(
    cluster: _cluster.Cluster,
) -> None:
    version, key = _get_version(cluster), _make_key()
    assert _send(cluster, version, key, 8).status == 200
    assert _send(cluster, version + 1, _make_key(), 9).status == 200
    reply = _send(cluster, version, key, 8, entry=1)
    assert (reply.status, reply.body["version"]) == (200, version + 1)
    assert _get_version(cluster) == version + 2


def test_lost_store_reply_is_resolved_by_reading_back(
    cluster: _cluster.Cluster,
) -> None:
    version = _get_version(cluster)
    builders.set_faults(cluster, mode="lose_answers")
    reply = _send(cluster, version, _make_key(), 10)
    assert (reply.status, reply.body["version"]) == (200, version + 1)


def test_patch_while_the_store_is_down_stores_nothing(
    cluster: _cluster.Cluster,
) -> None:
    version = _get_version(cluster)
    builders.set_faults(cluster, mode="limited")
    reply = _send(cluster, version, _make_key(), 11)
    assert reply.body["error"]["type"] == "store_unavailable"
    builders.set_faults(cluster)
    assert _get_version(cluster) == version


def test_unknown_outcome_is_reported_and_the_key_can_be_retried(
    cluster: _cluster.Cluster,
) -> None:
    version, key = _get_version(cluster), _make_key()
    builders.set_faults(cluster, mode="lose_answers")
    with concurrent.futures.ThreadPoolExecutor() as pool:
        answer = pool.submit(_send, cluster, version, key, 12)
        _waits.wait_until(
            lambda: _get_version(cluster) == version + 1, "the write"
        )
        builders.set_faults(cluster, mode="limited")
        reply = answer.result()
    assert reply.body["error"]["type"] == "outcome_unknown"
    builders.set_faults(cluster)
    again = _send(cluster, version, key, 12, entry=1)
    assert (again.status, again.body["version"]) == (200, version + 1)
