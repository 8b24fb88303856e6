"""Tests of the command that checks a configuration."""

import json
import pathlib
from typing import Any

import pytest

from cowslipgate_entry.commands import _command_line

ROUTE = {"service": "print", "path_prefix": "/x/"}
CLEAN = {"services": {"print": {}}, "routes": {"r": ROUTE}}
DIGEST = "0123456789abcdef" * 4


def _check(*arguments: str) -> int:
    with pytest.raises(SystemExit) as caught:
        _command_line.run_command(["check-configuration", *arguments])
    return caught.value.code


def _write(folder: pathlib.Path, name: str, value: Any) -> str:
    path = folder / name
    path.write_text(json.dumps(value))
    return str(path)


def test_clean_file_is_confirmed_without_output(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert _check(_write(tmp_path, "new", CLEAN)) == 0
    assert capsys.readouterr() == ("", "")


@pytest.mark.parametrize("options", [(), ("--json",)])
def test_findings_are_printed_with_their_place(
    options: tuple[str, ...],
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    routes = {"r": ROUTE, "s\ud800\n": ROUTE | {"service": "none"}}
    path = _write(tmp_path, "new", CLEAN | {"routes": routes})
    assert _check(path, *options) == 1
    printed = capsys.readouterr().out
    assert "$.routes.s\\ud800\\n.service" in printed
    if options:
        assert len(json.loads(printed)["findings"]) == 2
    else:
        assert len(printed.splitlines()) == 2


# Guards against a check that fails for each change, and digests in logs.
def test_differences_are_printed_and_are_no_findings(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    before = {"version": 4, "document": CLEAN}
    after = CLEAN | {
        "routes": {"r": ROUTE | {"priority": 2}},
        "teams": {"hall": {"token_digests": [DIGEST]}},
    }
    old = _write(tmp_path, "old", before)
    new = _write(tmp_path, "new", after)
    assert _check(new, "--against", old) == 0
    printed = capsys.readouterr().out
    assert printed.splitlines() == [
        "$.routes.r.priority: - -> 2",
        '$.teams: - -> {"hall": {"token_digests": "(digests)"}}',
    ]
    assert _check(new, "--json", "--against", old) == 0
    report = json.loads(capsys.readouterr().out)
    assert [each["path"] for each in report["differences"]] == [
        "$.routes.r.priority",
        "$.teams",
    ]
    assert DIGEST not in json.dumps(report)


@pytest.mark.parametrize(
    "text",
    [None, b"", b"{", b"\xff\xfe\xff", b"[" * 100_000, b'{"a":1,"a":2}'],
)
def test_unreadable_file_is_refused(
    text: bytes | None,
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = tmp_path / "file"
    if text is not None:
        path.write_bytes(text)
    assert _check(str(path)) == 2
    clean = _write(tmp_path, "new", CLEAN)
    assert _check(clean, "--against", str(path)) == 2
    printed = capsys.readouterr()
    assert printed.out == ""
    assert str(path) in printed.err


def test_missing_argument_has_the_status_of_an_unreadable_file() -> None:
    assert _check() == 2
