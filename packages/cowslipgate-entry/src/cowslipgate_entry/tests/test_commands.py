"""Tests of the requests, output and exit statuses of the commands."""

from collections.abc import Callable
import io
import json
import pathlib
import socket
import sys

import pytest

from cowslipgate_entry.commands import _command_line
from cowslipgate_entry.commands import _commands
from cowslipgate_entry.tests import observer_builders
from cowslipgate_entry.tests import stubs

JOB = {"tasks": [{"payload": 1}]}
COMPLETE = {"job": "a-1", "status": "complete", "results": [{"n": 1}, 2]}
REFUSED = {
    "job": "",
    "status": "failed",
    "error": {
        "type": "malformed",
        "started": "none",
        "message": "Expected `float`",
        "path": "$.tasks[3].size_ms",
    },
}
FAILED = {
    "job": "a-1",
    "status": "failed",
    "error": {"type": "task_failed", "started": "some", "message": "m"},
}
STATUS = {
    "entry": "7",
    "state": "serving",
    "configuration_version": 3,
    "jobs": 0,
    "members": [{"incarnation": 7, "http": "h:1", "domain": "ruwi"}],
    "agents": [
        {
            "agent": "agent-1",
            "state": "serving",
            "service": "print",
            "domain": "ruwi",
            "load": {"slots": 8, "own": 1, "others": 2},
        }
    ],
}


def _run(*arguments: str) -> int:
    with pytest.raises(SystemExit) as caught:
        _command_line.run_command(list(arguments))
    return caught.value.code


@pytest.fixture
def job_file(tmp_path: pathlib.Path) -> str:
    """Return the path of a file with a job."""
    path = tmp_path / "job.json"
    path.write_text(json.dumps(JOB))
    return str(path)


@pytest.mark.parametrize(
    ("command", "status", "body", "code", "shown"),
    [
        (["submit", "print"], 200, COMPLETE, 0, "a-1 complete, 2 results"),
        (["submit", "print"], 400, REFUSED, 3, "at $.tasks[3].size_ms"),
        (["submit", "print"], 400, REFUSED, 3, "Nothing was run."),
        (["submit", "print"], 502, FAILED, 1, "Some tasks were run."),
        (
            ["status"],
            401,
            {"error": {"type": "unauthorized", "message": "m"}},
            3,
            "--token",
        ),
        (["status"], 200, STATUS, 0, "agent-1 serving print ruwi 3 of 8"),
        (["show"], 200, {"teams": {}}, 0, "version 3"),
        (["cancel", "a-1"], 200, {"cancelled": 1}, 0, "cancelled jobs: 1"),
        (
            ["cancel", "--service=print", "--label=hall"],
            200,
            {"cancelled": 4},
            0,
            "cancelled jobs: 4",
        ),
        (
            ["patch", "3"],
            200,
            {"version": 4, "in_force": ["7"], "lapsed": ["8"]},
            0,
            "not acknowledged in time by: 8",
        ),
        (
            ["patch", "3"],
            412,
            {"version": 5, "error": {"type": "outdated", "message": "m"}},
            3,
            "outdated: m",
        ),
        (
            ["patch", "3"],
            422,
            {
                "error": {
                    "type": "invalid",
                    "message": "m",
                    "faults": [{"path": "$.teams.a", "problem": "p"}],
                }
            },
            3,
            "$.teams.a: p",
        ),
        (
            ["patch", "3"],
            503,
            {"error": {"type": "outcome_unknown", "message": "m"}},
            1,
            "outcome_unknown",
        ),
    ],
)
def test_replies_are_printed_as_text_and_as_json(
    command: list[str],
    status: int,
    body: dict,
    code: int,
    shown: str,
    job_file: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    stub = stubs.Stub(status, stubs.encode(body))
    if command[0] in ("submit", "patch"):
        command = [*command, job_file]
    access = [f"--address={stub.address}", "--token=t"]
    assert _run(*command, *access) == code
    printed = capsys.readouterr()
    assert shown in printed.out + printed.err
    assert _run(*command, *access, "--json") == code
    decoded = json.loads(capsys.readouterr().out)
    assert decoded == body or decoded == {"version": 3, "document": body}
    stub.shutdown()


@pytest.mark.parametrize(
    ("options", "repeatable", "keyed"),
    [
        ([], None, False),
        (["--no-repeatable"], False, True),
        (["--repeatable"], True, False),
        (["--no-repeatable", "--key=abc"], False, True),
    ],
)
def test_submit_reads_standard_input_and_takes_options(
    options: list[str],
    repeatable: bool | None,
    keyed: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    stub = stubs.Stub(200, stubs.encode(COMPLETE))
    given = io.TextIOWrapper(io.BytesIO(stubs.encode(JOB)))
    monkeypatch.setattr(sys, "stdin", given)
    monkeypatch.setenv("COWSLIPGATE_ADDRESS", stub.address)
    monkeypatch.setenv("COWSLIPGATE_TOKEN", "hall")
    monkeypatch.setenv("TRACEPARENT", observer_builders.TRACEPARENT)
    assert _run("submit", "print hall", *options) == 0
    method, path, headers, body = stub.seen[0]
    assert (method, path) == ("POST", "/v1/services/print%20hall/jobs")
    assert headers["Authorization"] == "Bearer hall"
    assert headers["traceparent"] == observer_builders.TRACEPARENT
    assert json.loads(body).get("repeatable") is repeatable
    assert ("Idempotency-Key" in headers) is keyed
    stub.shutdown()


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (["nonsense"], 2),
        (["status", "--nope"], 2),
        (["submit"], 2),
        (["patch", "x", "f", "--address=a:1", "--token=t"], 2),
        (["status", "--address=nowhere", "--token=t"], 2),
        (["cancel", "--address=h:1", "--token=t"], 2),
        (["cancel", "a", "--label=b", "--address=h:1", "--token=t"], 2),
        (["submit", "s", "/no/file", "--address=h:1", "--token=t"], 2),
        (["serve", "--max-connections=0"], 2),
    ],
)
def test_wrong_arguments_are_reported_without_a_traceback(
    arguments: list[str], code: int, capsys: pytest.CaptureFixture[str]
) -> None:
    assert _run(*arguments) == code
    printed = capsys.readouterr()
    assert printed.err + printed.out
    assert "Traceback" not in printed.err


def test_no_entry_and_no_json_give_different_errors(
    capsys: pytest.CaptureFixture[str],
) -> None:
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{unused.getsockname()[1]}"
        assert _run("status", f"--address={address}", "--token=t") == 4
    assert "nothing was sent" in capsys.readouterr().err
    stub = stubs.Stub(200, b"<html>")
    address = f"--address={stub.address}"
    assert _run("status", address, "--token=t", "--json") == 4
    error = json.loads(capsys.readouterr().out)["error"]
    assert error["type"] == "foreignanswer"
    stub.shutdown()


def test_help_of_serve_has_every_setting(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert _run("serve", "--help") == 0
    shown = capsys.readouterr().out
    for flag in ("--bind-http", "--trace-ratio", "--curve-agent-keys"):
        assert flag in shown


def test_settings_are_checked_without_a_start(
    capsys: pytest.CaptureFixture[str],
) -> None:
    places = ["--platform=10.0.0.1:1", "--balancer=10.0.0.1:2"]
    assert _run("serve", "--domain=d", *places, "--check-settings") == 0
    code = _run("serve", *places, "--log-level=x", "--check-settings")
    assert code == 2
    faults = capsys.readouterr().err.splitlines()
    assert [line.partition("=")[0] for line in faults] == [
        "--domain",
        "--log-level",
    ]


@pytest.mark.parametrize(
    "command",
    [
        _commands.cancel,
        _commands.patch,
        _commands.show,
        _commands.status,
        _commands.submit,
    ],
)
def test_help_has_every_command_with_its_first_line(
    command: Callable[..., None],
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setenv("COLUMNS", "100")
    assert _run("--help") == 0
    shown = capsys.readouterr().out
    assert command.__doc__ in shown
    assert _run(command.__name__, "--help") == 0
    assert command.__doc__ in capsys.readouterr().out
