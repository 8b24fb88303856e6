"""Non-repeatable jobs, with real processes and faults."""

from collections.abc import Iterator
import concurrent.futures
import http.client
import json
import pathlib
import uuid

from cowslipgate_bench import _cluster
from cowslipgate_bench import _waits
from cowslipgate_bench.tests import control_builders as builders
import cowslipgate_core as core
import pytest

SLOW_WRITE_MS = 1500.0


@pytest.fixture(scope="module")
def cluster(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[_cluster.Cluster]:
    folder: pathlib.Path = tmp_path_factory.mktemp("claims")
    with builders.build_cluster(folder, entries=2) as started:
        yield started


@pytest.fixture(autouse=True)
def _clear_faults(request: pytest.FixtureRequest) -> Iterator[None]:
    yield
    if "cluster" in request.fixturenames:
        builders.set_faults(request.getfixturevalue("cluster"))


@pytest.fixture
def key() -> str:
    return uuid.uuid4().hex


def _submit(
    cluster: _cluster.Cluster, key: str, entry: int = 0, **fields: object
) -> _cluster.Reply:
    job = builders.build_job(repeatable=False, **fields)
    return builders.submit(cluster, cluster.entries[entry].port, job, key)


def _is_claimed(cluster: _cluster.Cluster, key: str) -> bool:
    row = core.digest_claim("hall", key)
    return builders.read_row(cluster, "claims", row) is not None


def test_job_with_a_key_runs_once_across_entries(
    cluster: _cluster.Cluster, key: str
) -> None:
    before = builders.count_starts(cluster)
    first = _submit(cluster, key)
    again = [_submit(cluster, key, entry) for entry in (0, 1)]
    assert (first.status, [reply.status for reply in again]) == (
        200,
        [409, 409],
    )
    job = first.body["job"]
    assert [reply.body["claimed_by"] for reply in again] == [
        {"job": job, "status": "complete"},
        {"job": job, "status": "unknown"},
    ]
    assert builders.count_starts(cluster) == before + 1


def test_claim_with_a_lost_store_reply_runs_once(
    cluster: _cluster.Cluster, key: str
) -> None:
    before = builders.count_starts(cluster)
    builders.set_faults(cluster, mode="lose_answers")
    assert _submit(cluster, key).status == 200
    builders.set_faults(cluster)
    assert _submit(cluster, key, entry=1).status == 409
    assert builders.count_starts(cluster) == before + 1


def test_unavailable_store_starts_no_task(
    cluster: _cluster.Cluster, key: str
) -> None:
    before = builders.count_starts(cluster)
    builders.set_faults(cluster, mode="limited")
    reply = _submit(cluster, key)
    assert reply.status == 503
    assert reply.body["error"]["started"] == "none"
    assert builders.count_starts(cluster) == before


def test_deadline_passes_while_the_claim_is_written(
    cluster: _cluster.Cluster, key: str
) -> None:
    before = builders.count_starts(cluster)
    builders.set_faults(cluster, write_ms=SLOW_WRITE_MS)
    reply = _submit(cluster, key, deadline_ms=200)
    assert (reply.status, reply.body["error"]["started"]) == (504, "none")
    _run_another(cluster)
    assert builders.count_starts(cluster) == before + 1


def test_job_of_a_caller_that_disconnected_while_claiming_is_not_run(
    cluster: _cluster.Cluster, key: str
) -> None:
    before = builders.count_starts(cluster)
    builders.set_faults(cluster, write_ms=SLOW_WRITE_MS)
    connection = http.client.HTTPConnection(
        _cluster.HOST, cluster.entries[0].port
    )
    body = json.dumps(builders.build_job(repeatable=False))
    token = builders.TOKENS["hall"]
    headers = {"Idempotency-Key": key, "Authorization": f"Bearer {token}"}
    connection.request("POST", builders.JOBS_PATH, body, headers)
    _waits.wait_until(lambda: _is_claimed(cluster, key), "the claim")
    connection.close()
    _run_another(cluster)
    assert builders.count_starts(cluster) == before + 1


def test_cancellation_reaches_a_job_that_is_claiming(
    cluster: _cluster.Cluster, key: str
) -> None:
    before = builders.count_starts(cluster)
    builders.set_faults(cluster, write_ms=SLOW_WRITE_MS)
    with concurrent.futures.ThreadPoolExecutor() as pool:
        answer = pool.submit(_submit, cluster, key, label="office")
        _waits.wait_until(lambda: _is_claimed(cluster, key), "the claim")
        reply = cluster.call(
            "POST",
            f"/v1/services/{builders.SERVICE}/cancellations",
            {"label": "office"},
            builders.TOKENS["hall"],
            cluster.entries[1].port,
        )
        assert reply.body["cancelled"] == 1
        error = answer.result().body["error"]
    assert (error["type"], error["started"]) == ("cancelled", "none")
    _run_another(cluster)
    assert builders.count_starts(cluster) == before + 1


def _run_another(cluster: _cluster.Cluster) -> None:
    # This claim takes 2.5 s: its write ends after that of the earlier one.
    builders.set_faults(cluster, write_ms=2 * SLOW_WRITE_MS - 500)
    assert _submit(cluster, uuid.uuid4().hex).status == 200


@pytest.mark.parametrize(
    ("faults", "status", "starts"),
    [
        ({"write_ms": SLOW_WRITE_MS}, 409, 0),
        ({"mode": "down"}, 200, 1),
    ],
    ids=["after the write", "before the write"],
)
def test_kill_of_the_claiming_entry(
    tmp_path: pathlib.Path,
    key: str,
    faults: dict[str, object],
    status: int,
    starts: int,
) -> None:
    with builders.build_cluster(tmp_path, entries=2) as cluster:
        builders.set_faults(cluster, **faults)
        with concurrent.futures.ThreadPoolExecutor() as pool:
            answer = pool.submit(_submit, cluster, key)
            if status == 409:
                _waits.wait_until(
                    lambda: _is_claimed(cluster, key), "the claim"
                )
            cluster.entries[0].process.kill()
            assert isinstance(answer.exception(), OSError)
        builders.set_faults(cluster)
        assert _submit(cluster, key, entry=1).status == status
        assert builders.count_starts(cluster) == starts
