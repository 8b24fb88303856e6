"""Output of the commands and the exit statuses of their replies."""

from collections.abc import Iterator
import contextlib
import http
import json
import sys
from typing import Any

import attrs
from rich import console
from rich import progress

from cowslipgate_entry.commands import _calls
from cowslipgate_entry.commands import _exit_statuses

_INDENT_SPACES = 2


def print_error(
    error: _calls.CallError, as_json: bool
) -> _exit_statuses.ExitStatus:
    """Print why there is no usable reply; return the exit status."""
    if as_json:
        kind = type(error).__name__.removesuffix("Error").lower()
        detail = attrs.asdict(error) | {"type": kind, "message": str(error)}
        print(json.dumps({"error": detail}, indent=_INDENT_SPACES))
    else:
        print(error, file=sys.stderr)
    if isinstance(error, _calls.AddressError):
        return _exit_statuses.ExitStatus.SETTINGS
    return _exit_statuses.ExitStatus.UNREACHABLE


def classify_reply(reply: _calls.Reply) -> _exit_statuses.ExitStatus:
    """Return the exit status for a reply.

    ``REFUSED`` requires proof that nothing was started or stored.
    """
    if reply.status == http.HTTPStatus.OK:
        return _exit_statuses.ExitStatus.COMPLETE
    error = reply.body.get("error", {})
    if error.get("started", "none") != "none":
        return _exit_statuses.ExitStatus.FAILED
    if error.get("type") == "outcome_unknown":
        return _exit_statuses.ExitStatus.FAILED
    return _exit_statuses.ExitStatus.REFUSED


def print_reply(
    reply: _calls.Reply, lines: list[str], as_json: bool
) -> _exit_statuses.ExitStatus:
    """Print a reply as JSON, ``lines`` or an error; return the exit status."""
    status = classify_reply(reply)
    if as_json:
        print(json.dumps(reply.body, indent=_INDENT_SPACES))
    elif status is _exit_statuses.ExitStatus.COMPLETE:
        print("\n".join(lines))
    else:
        print("\n".join(_describe_failure(reply)), file=sys.stderr)
    return status


def _describe_failure(reply: _calls.Reply) -> list[str]:
    error = reply.body.get("error", {})
    kind = error.get("type", f"status {reply.status}")
    lines = [f"{kind}: {error.get('message', '')}"]
    if reply.status == http.HTTPStatus.UNAUTHORIZED:
        lines.append("Give the token with --token or COWSLIPGATE_TOKEN.")
    if error.get("path"):
        lines.append(f"  at {error['path']}")
    for fault in error.get("faults", []):
        lines.append(f"  {fault['path']}: {fault['problem']}")
    if "started" in error:
        meanings = {
            "none": "Nothing was run.",
            "some": "Some tasks were run.",
            "unknown": "Whether a task was run is not known.",
        }
        lines.append(meanings.get(error["started"], ""))
    return lines


def describe_job(body: dict[str, Any]) -> list[str]:
    """Return the lines that describe a complete job."""
    results = body.get("results", [])
    lines = [f"job {body.get('job')} complete, {len(results)} results"]
    return lines + [json.dumps(result) for result in results]


def describe_patch(body: dict[str, Any]) -> list[str]:
    """Return the lines that describe a stored patch."""
    lines = [f"version {body.get('version')} stored"]
    lines.append(
        "in force at: " + (", ".join(body.get("in_force", [])) or "-")
    )
    lapsed = body.get("lapsed", [])
    if lapsed:
        lines.append("not acknowledged in time by: " + ", ".join(lapsed))
    return lines


def describe_status(body: dict[str, Any]) -> list[str]:
    """Return the lines that describe the state of an entry."""
    agents = body.get("agents", [])
    lines = [
        f"entry {body.get('entry')}: {body.get('state')}",
        f"configuration version: {body.get('configuration_version')}",
        f"jobs in flight: {body.get('jobs')}",
        f"entries: {len(body.get('members', []))}",
        *(
            f"  {member['incarnation']} {member['http']} {member['domain']}"
            for member in body.get("members", [])
        ),
        f"agents: {len(agents)}",
        *(f"  {_describe_agent(agent)}" for agent in agents),
    ]
    return lines


def _describe_agent(agent: dict[str, Any]) -> str:
    load = agent["load"]
    busy = load["own"] + load["others"]
    return (
        f"{agent['agent']} {agent['state']} {agent['service'] or '-'} "
        f"{agent['domain']} {busy} of {load['slots']} slots busy"
    )


@contextlib.contextmanager
def show_progress(description: str) -> Iterator[None]:
    """Show a bar with the elapsed time if standard error is a terminal."""
    if not sys.stderr.isatty():
        yield
        return
    columns = (
        progress.TextColumn("{task.description}"),
        progress.BarColumn(),
        progress.TimeElapsedColumn(),
    )
    terminal = console.Console(stderr=True)
    with progress.Progress(*columns, console=terminal, transient=True) as bar:
        bar.add_task(description, total=None)
        yield
