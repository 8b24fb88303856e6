"""Tests of the command: modules and memory of an entry, exit statuses."""

import subprocess
import sys

import pytest

RESIDENT_LIMIT_KB = 32 * 1024
_BINARY = "from cowslipgate_entry import _main; _main.run_command()"
_ADDRESSES = ["--platform=127.0.0.1:1", "--balancer=127.0.0.1:2"]
# A documentation address (RFC 5737): binding it fails.
_UNBINDABLE = "--bind-http=192.0.2.1:8080"
_LOADED = """
import sys

from cowslipgate_entry import _main


def run_entry(settings):
    with open("/proc/self/status") as status:
        (line,) = [line for line in status if line.startswith("VmRSS:")]
    print(line.split()[1])
    print(*sorted(sys.modules))


def exclude_unused(exclude=_main.startup.exclude_unused):
    exclude()
    from cowslipgate_entry import _process

    _process.run_entry = run_entry


_main.startup.exclude_unused = exclude_unused
_main.run_command()
"""


def _run(program: str, *arguments: str) -> subprocess.CompletedProcess:
    command = [sys.executable, "-c", program, *arguments]
    return subprocess.run(command, capture_output=True, text=True)


def _list_loaded(*arguments: str) -> tuple[int, set[str]]:
    done = _run(_LOADED, "serve", "--domain=d", *_ADDRESSES, *arguments)
    resident, names = done.stdout.splitlines()
    return int(resident), set(names.split())


def test_imports_of_an_entry_stay_within_the_limit() -> None:
    resident, _ = _list_loaded()
    assert resident < RESIDENT_LIMIT_KB


def test_entry_does_not_load_modules_of_the_client_commands() -> None:
    _, names = _list_loaded()
    unused = {
        "_ssl",
        "cowslipgate_entry.commands._commands",
        "cowslipgate_entry.observation._traces",
        "http.client",
        "opentelemetry",
        "rich",
    }
    assert not names & unused


@pytest.mark.parametrize(
    ("arguments", "status", "shown"),
    [
        (["serve", "--help"], 0, "--trace-ratio"),
        (["serve", "-h"], 0, "--trace-ratio"),
        (["--help"], 0, "Submit the job in a JSON file"),
        (["serve", "--nope"], 2, "--nope"),
        (["serve", "--domain=d", *_ADDRESSES, "--check-settings"], 0, ""),
        (["serve", *_ADDRESSES, "--check-settings"], 2, "--domain"),
        (["serve", "--domain=d", *_ADDRESSES, _UNBINDABLE], 1, "StartFailed"),
        (
            ["serve", "--domain=d", *_ADDRESSES, "--keep-estimates=on"],
            1,
            "--keep-estimates",
        ),
        (["status", "--address=x", "--token=t"], 2, "x"),
    ],
)
def test_command_exits_with_status_and_output(
    arguments: list[str], status: int, shown: str
) -> None:
    done = _run(_BINARY, *arguments)
    assert done.returncode == status
    assert shown in done.stdout + done.stderr
    assert "Traceback" not in done.stderr
