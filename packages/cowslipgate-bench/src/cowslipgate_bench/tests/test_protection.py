"""Bad input, malformed messages and wrong keys, with real processes."""

from collections.abc import Callable, Iterator
import concurrent.futures
import json
import pathlib
import socket

import cowslipgate_core as core
import pytest
import zmq

from cowslipgate_bench import _cluster
from cowslipgate_bench import _target
from cowslipgate_bench import _waits

TEAM_TOKEN = "hall-token"
CLUSTER_TOKEN = "members-token"
JOBS_PATH = "/v1/services/print/jobs"
SLOW_JOB = {"tasks": [{"payload": {"true_ms": 400}, "size_ms": 400}]}
GOOD_JOB = {"tasks": [{"payload": {"true_ms": 5}}]}
DOCUMENT = {
    "services": {"print": {"max_tasks": 5}},
    "teams": {"hall": {"token_digests": [core.digest_token(TEAM_TOKEN)]}},
}


def _start(
    folder: pathlib.Path, entry_flags: list[str], agent_flags: list[str]
) -> _cluster.Cluster:
    cluster = _cluster.Cluster(folder)
    cluster.start_table()
    cluster.start_entries(["kaai-zuid", "dokken-noord"], *entry_flags)
    options = _target.TargetOptions("print", 0)
    cluster.start_agent("kaai-zuid", options, *agent_flags)
    _waits.wait_until(
        lambda: cluster.patch(0, DOCUMENT).status in (200, 412),
        "the configuration",
    )
    cluster.wait_ready(1)
    return cluster


@pytest.fixture(scope="module")
def plain(tmp_path_factory: pytest.TempPathFactory) -> Iterator:
    """Yield a deployment without keys that traces every job."""
    folder = tmp_path_factory.mktemp("plain")
    traces = f"--trace-output={folder / 'spans.jsonl'}"
    with _start(
        folder, [traces, "--trace-ratio=1", "--log-format=json"], []
    ) as cluster:
        yield cluster


def _submit(
    cluster: _cluster.Cluster, job: object = None, port: int | None = None
) -> _cluster.Reply:
    body = GOOD_JOB if job is None else job
    return cluster.call("POST", JOBS_PATH, body, TEAM_TOKEN, port)


def _send_raw(port: int, data: bytes) -> bytes:
    with socket.create_connection((_cluster.HOST, port), timeout=30) as sock:
        sock.sendall(data)
        return sock.recv(65_536)


@pytest.mark.parametrize(
    ("method", "path", "body", "token", "status", "kind", "where"),
    [
        ("POST", JOBS_PATH, GOOD_JOB, "wrong", 401, "unauthorized", None),
        (
            "POST",
            "/v1/services/nope/jobs",
            GOOD_JOB,
            TEAM_TOKEN,
            404,
            "unknown_service",
            None,
        ),
        (
            "POST",
            JOBS_PATH,
            {"tasks": [{}, {"size_ms": -1}]},
            TEAM_TOKEN,
            400,
            "malformed",
            "$.tasks[1].size_ms",
        ),
        (
            "POST",
            JOBS_PATH,
            {"tasks": [{"need": {}}]},
            TEAM_TOKEN,
            400,
            "malformed",
            "$.tasks[0].need",
        ),
        (
            "POST",
            JOBS_PATH,
            {"tasks": [{}] * 6},
            TEAM_TOKEN,
            413,
            "too_large",
            "$.tasks",
        ),
        (
            "POST",
            "/v1/services/print/cancellations",
            {"labels": "x"},
            TEAM_TOKEN,
            400,
            "malformed",
            "$.labels",
        ),
        ("GET", JOBS_PATH, None, TEAM_TOKEN, 405, "method_not_allowed", None),
        (
            "DELETE",
            "/v1/status",
            None,
            TEAM_TOKEN,
            405,
            "method_not_allowed",
            None,
        ),
        ("GET", "/nope", None, TEAM_TOKEN, 404, "not_found", None),
        ("GET", "/v1/status", None, "wrong", 401, "unauthorized", None),
    ],
)
def test_bad_input_is_refused_without_effect_on_other_jobs(
    plain: _cluster.Cluster,
    method: str,
    path: str,
    body: object,
    token: str,
    status: int,
    kind: str,
    where: str | None,
) -> None:
    port = plain.entries[0].port
    with concurrent.futures.ThreadPoolExecutor() as pool:
        slow = pool.submit(_submit, plain, SLOW_JOB, port)
        _waits.wait_until(
            lambda: plain.count_jobs(plain.entries[0]), "a job in flight"
        )
        reply = plain.call(method, path, body, token, port)
        assert reply.status == status
        assert reply.body["error"]["type"] == kind
        assert reply.body["error"].get("path") == where
        assert slow.result().status == 200


def _send_undecodable(address: str, port: int) -> None:
    _send_frames(
        address,
        b"agent-0/1",
        [
            [b""],
            [b"a", b"b", b"c"],
            [b"Report", b"\xff\xff"],
            [b"Nope", b"\x80"],
            [b"\x00" * 1_000, b"\x00" * 100_000],
        ],
    )
    with socket.create_connection((_cluster.HOST, port)) as sock:
        sock.sendall(b"GET / HTTP/1.1\r\n\r\n" * 1_000)


def _send_forged_report(address: str, port: int) -> None:
    report = core.Report(
        "agent-0",
        2**60,
        "print",
        "d",
        "serving",
        core.Resources(),
        core.Load(1_000_000, 0, 0),
        1,
        "",
    )
    frames = [list(core.encode_message(report))]
    _send_frames(address, b"somebody-else/1", frames)


def _send_forged_configuration(address: str, port: int) -> None:
    push = core.ConfigurationPush(99, 999, b"{}")
    _send_frames(address, b"agent-0/1", [list(core.encode_message(push))])


def _send_frames(
    address: str, identity: bytes, messages: list[list[bytes]]
) -> None:
    with zmq.Context() as context, context.socket(zmq.DEALER) as sock:
        sock.setsockopt(zmq.IDENTITY, identity)
        sock.setsockopt(zmq.LINGER, 5_000)
        sock.connect(address)
        for frames in messages:
            sock.send_multipart(frames)


def _read_metric(cluster: _cluster.Cluster, port: int, name: str) -> float:
    request = b"GET /metrics HTTP/1.0\r\n\r\n"
    received = bytearray()
    with socket.create_connection((_cluster.HOST, port), timeout=30) as sock:
        sock.sendall(request)
        while data := sock.recv(65_536):
            received += data
    lines = received.decode().splitlines()
    values = [x.split()[-1] for x in lines if x.startswith(name + " ")]
    return float(values[0]) if values else 0.0


@pytest.mark.parametrize(
    ("send", "reason"),
    [
        (_send_undecodable, "undecodable"),
        (_send_forged_report, "refused"),
        (_send_forged_configuration, "refused"),
    ],
)
def test_malformed_messages_on_the_internal_socket_are_counted(
    plain: _cluster.Cluster, send: Callable[[str, int], None], reason: str
) -> None:
    entry = plain.entries[0]
    status = plain.call("GET", "/v1/status", port=entry.port).body
    (own,) = [
        member
        for member in status["members"]
        if str(member["incarnation"]) == status["entry"]
    ]
    name = f'cowslipgate_messages_malformed_total{{reason="{reason}"}}'
    before = _read_metric(plain, entry.port, name)
    send(own["address"], int(own["address"].rpartition(":")[2]))
    _waits.wait_until(
        lambda: _read_metric(plain, entry.port, name) > before,
        "the counted message",
    )
    after = plain.call("GET", "/v1/status", port=entry.port).body
    assert after["configuration_version"] == status["configuration_version"]
    (agent,) = after["agents"]
    assert agent["incarnation"] == status["agents"][0]["incarnation"]
    assert _submit(plain, port=entry.port).status == 200
    errors = "cowslipgate_internal_errors_total"
    assert _read_metric(plain, entry.port, errors) == 0


def test_entry_serves_after_connections_closed_within_a_request(
    plain: _cluster.Cluster,
) -> None:
    port = plain.entries[0].port
    for size in (1, 20, 90):
        head = f"POST {JOBS_PATH} HTTP/1.1\r\nHost: h\r\n".encode()
        data = head + b"Content-Length: 500\r\n\r\n{"
        with socket.create_connection((_cluster.HOST, port)) as sock:
            sock.sendall(data[:size])
    assert _submit(plain, port=port).status == 200


def test_spans_of_a_job_reach_the_target(
    plain: _cluster.Cluster, tmp_path_factory: pytest.TempPathFactory
) -> None:
    reply = _submit(plain)
    assert reply.status == 200
    path = plain.folder / "spans.jsonl"
    wanted = reply.body["job"]

    def find() -> list[dict]:
        spans = [json.loads(x) for x in path.read_text().splitlines()]
        roots = [
            span
            for span in spans
            if span["attributes"].get("cowslipgate.job") == wanted
        ]
        if not roots:
            return []
        trace = roots[0]["context"]["trace_id"]
        return [s for s in spans if s["context"]["trace_id"] == trace]

    _waits.wait_until(lambda: bool(find()), "the job's spans")
    assert sorted(span["name"] for span in find()) == [
        "agent to target",
        "answer",
        "entry to agent",
        "queue",
        "receive",
    ]


def test_large_jobs_that_start_together_do_not_break_the_link(
    plain: _cluster.Cluster,
) -> None:
    port = plain.entries[0].port
    slots = {"tasks": [{"payload": {"true_ms": 800}, "size_ms": 800}] * 5}
    large = {"tasks": [{"payload": {"fill": "x" * 7_000_000}}]}
    with concurrent.futures.ThreadPoolExecutor() as pool:
        first = [pool.submit(_submit, plain, slots, port) for _ in range(2)]
        _waits.wait_until(
            lambda: plain.count_jobs(plain.entries[0]) == 2, "busy slots"
        )
        rest = [pool.submit(_submit, plain, large, port) for _ in range(5)]
        replies = [future.result() for future in first + rest]
    assert [reply.status for reply in replies] == [200] * 7


def test_port_in_use_is_logged_in_one_line(plain: _cluster.Cluster) -> None:
    taken = plain.entries[0].port
    process = plain.start_entry(
        "second", "d", taken, "--log-format=json"
    ).process
    plain.entries.pop()
    assert process.wait(30) == 1
    lines = (plain.folder / "second.log").read_text().splitlines()
    assert [json.loads(line)["event"] for line in lines] == ["StartFailed"]


def test_unlisted_keys_and_missing_tokens_are_denied(
    tmp_path: pathlib.Path,
) -> None:
    entries, agent, unlisted = (zmq.curve_keypair() for _ in range(3))
    entry_flags = [
        f"--curve-secret-key={entries[1].decode()}",
        f"--curve-agent-keys={agent[0].decode()}",
        f"--cluster-token={CLUSTER_TOKEN}",
    ]
    server = f"--curve-entry-key={entries[0].decode()}"
    token = f"--cluster-token={CLUSTER_TOKEN}"

    def make_flags(secret: bytes) -> list[str]:
        return [server, token, f"--curve-secret-key={secret.decode()}"]

    with _start(tmp_path, entry_flags, make_flags(agent[1])) as cluster:
        options = _target.TargetOptions("print", 0)
        cluster.start_agent("kaai-zuid", options, *make_flags(unlisted[1]))
        cluster.start_agent("kaai-zuid", options, token)
        ports = [entry.port for entry in cluster.entries]
        name = "cowslipgate_key_denials_total"
        _waits.wait_until(
            lambda: all(_read_metric(cluster, p, name) for p in ports),
            "the denied agent",
        )
        cluster.wait_ready(1)
        assert _submit(cluster).status == 200
        assert cluster.call("GET", "/v1/members").status == 401
        members = cluster.call("GET", "/v1/members", token="members-token")
        assert len(members.body) == 2
