"""Command that checks a configuration without an entry."""

import enum
import json
import pathlib
import sys
from typing import Annotated, Any, NoReturn

import attrs
import cyclopts

import cowslipgate_core as core

_INDENT_SPACES = 2
_SECRET_FIELD = "token_digests"

_STANDARD_INPUT = pathlib.Path("-")


class CheckStatus(enum.IntEnum):
    """Exit status of the check."""

    CLEAN = 0
    FINDINGS = 1
    UNREADABLE = 2


def check_configuration(
    file: Annotated[
        pathlib.Path,
        cyclopts.Parameter(
            help="JSON file with the document, or - for standard input"
        ),
    ],
    *,
    against: Annotated[
        pathlib.Path | None,
        cyclopts.Parameter(
            help="JSON file with the document in force, as show prints it "
            "with --json"
        ),
    ] = None,
    as_json: Annotated[
        bool,
        cyclopts.Parameter(
            name="--json", negative="", help="print the findings as JSON"
        ),
    ] = False,
) -> None:
    """Check a configuration and print what is wrong and what differs.

    Exit status: 0 clean, 1 findings, 2 unreadable file. Differences are no
    findings.
    """
    document = _read_document(file)
    findings = core.check_document(document)
    differences: tuple[core.Difference, ...] = ()
    if against is not None:
        in_force = _read_document(against)
        differences = core.compare_documents(in_force, document)
    if as_json:
        report = {
            "findings": [attrs.asdict(finding) for finding in findings],
            "differences": [_convert(each) for each in differences],
        }
        print(json.dumps(report, indent=_INDENT_SPACES))
    else:
        for finding in findings:
            print(_escape(f"{finding.path}: {finding.problem}"))
        for difference in differences:
            print(_escape(_describe(difference)))
    sys.exit(CheckStatus.FINDINGS if findings else CheckStatus.CLEAN)


def _read_document(path: pathlib.Path) -> Any:
    try:
        if path == _STANDARD_INPUT:
            text = sys.stdin.buffer.read()
        else:
            text = path.read_bytes()
        value = json.loads(text, object_pairs_hook=_make_object)
    except OSError as error:
        _refuse(f"cannot read {path}: {error.strerror}")
    except (ValueError, RecursionError) as error:
        _refuse(f"{path} is not JSON: {error}")
    if isinstance(value, dict) and value.keys() == {"version", "document"}:
        # Printed by ``cowslipgate show --json``.
        return value["document"]
    return value


def _make_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    made = dict(pairs)
    if len(made) < len(pairs):
        names = [name for name, _ in pairs]
        twice = next(name for name in names if names.count(name) > 1)
        raise ValueError(f"the name {twice!r} is given twice in an object")
    return made


def _refuse(message: str) -> NoReturn:
    print(_escape(message), file=sys.stderr)
    sys.exit(CheckStatus.UNREADABLE)


def _convert(difference: core.Difference) -> dict[str, Any]:
    return {
        "path": difference.path,
        "before": _hide_digests(difference.path, difference.before),
        "after": _hide_digests(difference.path, difference.after),
    }


def _describe(difference: core.Difference) -> str:
    before, after = (
        "-" if value is None else json.dumps(value)
        for value in (
            _hide_digests(difference.path, difference.before),
            _hide_digests(difference.path, difference.after),
        )
    )
    return f"{difference.path}: {before} -> {after}"


def _hide_digests(path: str, value: Any) -> Any:
    """Replace the digests of tokens, which shall not reach logs."""
    if value is not None and path.endswith(f".{_SECRET_FIELD}"):
        return "(digests)"
    if isinstance(value, dict):
        return {
            name: _hide_digests(f"{path}.{name}", item)
            for name, item in value.items()
        }
    return value


def _escape(text: str) -> str:
    """Replace what a terminal can't print."""
    return "".join(
        char if char.isprintable() else ascii(char)[1:-1] for char in text
    )
