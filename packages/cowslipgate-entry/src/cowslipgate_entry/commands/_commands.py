"""Commands that send one request to an entry and print the reply."""

import json
import pathlib
import secrets
import sys
from typing import Annotated, Any
import urllib.parse
import uuid

import cyclopts

from cowslipgate_entry.commands import _calls
from cowslipgate_entry.commands import _exit_statuses
from cowslipgate_entry.commands import _output

TRACE_ID_BYTES = 16
SPAN_ID_BYTES = 8

_Address = Annotated[
    str,
    cyclopts.Parameter(
        env_var="COWSLIPGATE_ADDRESS",
        help="host:port of the balancer or of an entry",
    ),
]
_Token = Annotated[
    str,
    cyclopts.Parameter(
        env_var="COWSLIPGATE_TOKEN",
        help="bearer token; better given in the environment",
    ),
]
_Json = Annotated[
    bool,
    cyclopts.Parameter(
        name="--json", negative="", help="print the answer as JSON"
    ),
]
_File = Annotated[
    pathlib.Path,
    cyclopts.Parameter(help="JSON file, or - for standard input"),
]
_Key = Annotated[
    str | None,
    cyclopts.Parameter(
        help="idempotency key; without it a new one is made and printed"
    ),
]
_STANDARD_INPUT = pathlib.Path("-")


def submit(
    service: Annotated[str, cyclopts.Parameter(help="service to use")],
    job: _File = _STANDARD_INPUT,
    *,
    address: _Address,
    token: _Token,
    repeatable: Annotated[
        bool | None,
        cyclopts.Parameter(
            help="whether the job may run again; goes before the file"
        ),
    ] = None,
    key: _Key = None,
    label: Annotated[
        str | None,
        cyclopts.Parameter(help="label of the job; goes before the file"),
    ] = None,
    traceparent: Annotated[
        str | None,
        cyclopts.Parameter(
            env_var="TRACEPARENT", help="W3C trace context of the caller"
        ),
    ] = None,
    trace: Annotated[
        bool,
        cyclopts.Parameter(
            negative="", help="trace the job and print the trace's id"
        ),
    ] = False,
    as_json: _Json = False,
) -> None:
    """Submit the job in a JSON file and print the answer."""
    text = _read_file(job)
    body = _decode(job, text)
    options = {"repeatable": repeatable, "label": label}
    given = {name: v for name, v in options.items() if v is not None}
    if given and isinstance(body, dict):
        body |= given
        text = _encode(body)
    if key is None and _is_unrepeatable(body):
        key = _make_key()
    headers = {"Idempotency-Key": key} if key else {}
    if trace and not traceparent:
        traceparent = _make_traceparent()
        print(f"trace id: {traceparent.split('-')[1]}", file=sys.stderr)
    if traceparent:
        headers["traceparent"] = traceparent
    path = f"/v1/services/{_quote(service)}/jobs"
    request = _calls.Request("POST", path, text, headers)
    with _output.show_progress(f"{service}: waiting for the answer"):
        reply = _call_entry(request, address, token, as_json)
    lines = _output.describe_job(reply.body)
    sys.exit(_output.print_reply(reply, lines, as_json))


def cancel(
    job: Annotated[str, cyclopts.Parameter(help="id of the job")] = "",
    *,
    address: _Address,
    token: _Token,
    service: Annotated[
        str, cyclopts.Parameter(help="service of the labelled jobs")
    ] = "",
    label: Annotated[
        str, cyclopts.Parameter(help="cancel every job with this label")
    ] = "",
    as_json: _Json = False,
) -> None:
    """Cancel one job, or every job of a service with a label."""
    by_label = bool(service and label)
    if bool(job) == by_label or bool(service) != bool(label):
        print("give a job's id, or --service and --label", file=sys.stderr)
        sys.exit(_exit_statuses.ExitStatus.SETTINGS)
    request = _calls.Request("DELETE", f"/v1/jobs/{_quote(job)}")
    if by_label:
        path = f"/v1/services/{_quote(service)}/cancellations"
        request = _calls.Request("POST", path, _encode({"label": label}))
    reply = _call_entry(request, address, token, as_json)
    lines = [f"cancelled jobs: {reply.body.get('cancelled')}"]
    sys.exit(_output.print_reply(reply, lines, as_json))


def show(*, address: _Address, token: _Token, as_json: _Json = False) -> None:
    """Print the configuration with its version."""
    request = _calls.Request("GET", "/v1/configuration")
    reply = _call_entry(request, address, token, as_json)
    version = reply.headers.get("etag", "").strip('"')
    lines = [f"version {version}", json.dumps(reply.body, indent=2)]
    if _output.classify_reply(reply) is _exit_statuses.ExitStatus.COMPLETE:
        body = {"version": int(version or 0), "document": reply.body}
        reply = _calls.Reply(reply.status, reply.headers, body)
    sys.exit(_output.print_reply(reply, lines, as_json))


def patch(
    version: Annotated[
        int, cyclopts.Parameter(help="version that the patch is against")
    ],
    changes: _File = _STANDARD_INPUT,
    *,
    address: _Address,
    token: _Token,
    key: _Key = None,
    as_json: _Json = False,
) -> None:
    """Patch the configuration against its version (RFC 7396)."""
    headers = {
        "If-Match": f'"{version}"',
        "Idempotency-Key": key or _make_key(),
    }
    body = _read_file(changes)
    request = _calls.Request("PATCH", "/v1/configuration", body, headers)
    with _output.show_progress("waiting until it is in force"):
        reply = _call_entry(request, address, token, as_json)
    lines = _output.describe_patch(reply.body)
    sys.exit(_output.print_reply(reply, lines, as_json))


def status(
    *, address: _Address, token: _Token, as_json: _Json = False
) -> None:
    """Print the state of the entry that answers."""
    request = _calls.Request("GET", "/v1/status")
    reply = _call_entry(request, address, token, as_json)
    lines = []
    if _output.classify_reply(reply) is _exit_statuses.ExitStatus.COMPLETE:
        lines = _output.describe_status(reply.body)
    sys.exit(_output.print_reply(reply, lines, as_json))


def _call_entry(
    request: _calls.Request, address: str, token: str, as_json: bool
) -> _calls.Reply:
    try:
        return _calls.call_entry(request, address, token)
    except _calls.CallError as error:
        sys.exit(_output.print_error(error, as_json))


def _read_file(path: pathlib.Path) -> bytes:
    try:
        if path == _STANDARD_INPUT:
            return sys.stdin.buffer.read()
        return path.read_bytes()
    except OSError as error:
        print(f"cannot read {path}: {error.strerror}", file=sys.stderr)
        sys.exit(_exit_statuses.ExitStatus.SETTINGS)


def _decode(path: pathlib.Path, text: bytes) -> Any:
    try:
        return json.loads(text)
    except (ValueError, RecursionError) as error:
        print(f"{path} is not JSON: {error}", file=sys.stderr)
        sys.exit(_exit_statuses.ExitStatus.SETTINGS)


def _is_unrepeatable(body: Any) -> bool:
    return isinstance(body, dict) and body.get("repeatable") is False


def _encode(body: Any) -> bytes:
    return json.dumps(body).encode()


def _quote(part: str) -> str:
    return urllib.parse.quote(part, safe="")


def _make_key() -> str:
    key = uuid.uuid4().hex
    print(f"key: {key}", file=sys.stderr)
    return key


def _make_traceparent() -> str:
    trace = secrets.token_hex(TRACE_ID_BYTES)
    return f"00-{trace}-{secrets.token_hex(SPAN_ID_BYTES)}-01"
