"""Command line of ``cowslipgate``."""

import http.client
import json
import os
import pathlib
import sys
from typing import Annotated
import uuid

import attrs
import cyclopts

import cowslipgate_core as core
from cowslipgate_entry import _process
from cowslipgate_entry import _settings

EXIT_REFUSED = 1
EXIT_SETTINGS = 2
HTTP_OK = 200
CALL_TIMEOUT_SECONDS = 120

app = cyclopts.App(name="cowslipgate", help="Dispatcher for sub-second tasks.")

_Address = Annotated[str, cyclopts.Parameter(env_var="COWSLIPGATE_ADDRESS")]
_Token = Annotated[str, cyclopts.Parameter(env_var="COWSLIPGATE_TOKEN")]


def run_command() -> None:
    """Run the command that the arguments name."""
    app()


@app.command
def serve(
    *,
    domain: str | None = None,
    platform: str | None = None,
    balancer: str | None = None,
    bind_http: str | None = None,
    bind_internal: str | None = None,
    advertise_internal: str | None = None,
    inquiry_interval: str | None = None,
    agent_suspect_after: str | None = None,
    agent_lost_after: str | None = None,
    operator_digest: str | None = None,
    policy: str | None = None,
    drain_timeout: str | None = None,
    max_connections: str | None = None,
    max_body_bytes: str | None = None,
    check_settings: bool = False,
) -> None:
    """Run an entry until it is told to stop."""
    flags = {k: v for k, v in locals().items() if k != "check_settings"}
    try:
        settings = core.load_settings(
            _settings.EntrySettings, flags, os.environ
        )
    except core.SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    if not check_settings:
        _process.build_entry(settings, core.SystemClock()).run()


@app.command
def submit(
    service: str, job: pathlib.Path, *, address: _Address, token: _Token
) -> None:
    """Submit the job in a JSON file and print the answer."""
    path = f"/v1/services/{service}/jobs"
    headers = {"Idempotency-Key": uuid.uuid4().hex}
    _call(_Request("POST", path, job.read_bytes(), headers), address, token)


@app.command
def cancel(job: str, *, address: _Address, token: _Token) -> None:
    """Cancel a job."""
    _call(_Request("DELETE", f"/v1/jobs/{job}"), address, token)


@app.command
def show(*, address: _Address, token: _Token) -> None:
    """Print the configuration."""
    _call(_Request("GET", "/v1/configuration"), address, token)


@app.command
def patch(
    version: int,
    changes: pathlib.Path,
    *,
    address: _Address,
    token: _Token,
    key: str | None = None,
) -> None:
    """Patch the configuration against its version."""
    headers = {
        "If-Match": f'"{version}"',
        "Idempotency-Key": key or uuid.uuid4().hex,
    }
    request = _Request(
        "PATCH", "/v1/configuration", changes.read_bytes(), headers
    )
    _call(request, address, token)


@app.command
def status(*, address: _Address, token: _Token) -> None:
    """Print the state of the entry that answers."""
    _call(_Request("GET", "/v1/status"), address, token)


@attrs.frozen
class _Request:
    """A request of a command."""

    method: str
    """HTTP method."""

    path: str
    """Path."""

    body: bytes = b""
    """Body."""

    headers: dict[str, str] = attrs.Factory(dict)
    """Headers besides the token."""


def _call(request: _Request, address: str, token: str) -> None:
    connection = http.client.HTTPConnection(
        address, timeout=CALL_TIMEOUT_SECONDS
    )
    headers = {"Authorization": f"Bearer {token}"} | request.headers
    connection.request(request.method, request.path, request.body, headers)
    response = connection.getresponse()
    print(json.dumps(json.loads(response.read()), indent=2))
    if response.status != HTTP_OK:
        sys.exit(EXIT_REFUSED)
