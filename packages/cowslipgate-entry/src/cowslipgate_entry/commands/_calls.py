"""HTTP requests of the commands, their replies and errors."""

import http.client
import json
from typing import Any
import urllib.parse

import attrs

import cowslipgate_core as core

CALL_TIMEOUT_SECONDS = 120


@attrs.frozen
class Request:
    """An HTTP request to an entry."""

    method: str
    """HTTP method."""

    path: str
    """Path, already percent-encoded."""

    body: bytes = b""
    """Request body, empty for none."""

    headers: dict[str, str] = attrs.Factory(dict)
    """Headers other than ``Authorization``."""


@attrs.frozen
class Reply:
    """A reply whose body is a JSON object."""

    status: int
    """HTTP status."""

    headers: dict[str, str]
    """Header values by name in lower case."""

    body: Any
    """Decoded JSON object."""


class CallError(core.CowslipgateError):
    """Base of errors of commands that got no usable reply."""


@attrs.frozen
class AddressError(CallError):
    """The address of the entry is not ``host:port``."""

    address: str
    """Value of ``--address``."""

    def __str__(self) -> str:
        return (
            f"--address {self.address!r} is not host:port, "
            "such as 10.0.0.1:8080"
        )


@attrs.frozen
class UnreachableError(CallError):
    """No connection could be made, so nothing was sent."""

    address: str
    """Address of the entry."""

    problem: str
    """Error message of the operating system."""

    def __str__(self) -> str:
        return (
            f"cannot connect to {self.address}: {self.problem}; nothing was "
            "sent. Check --address and that the balancer has a healthy entry"
        )


@attrs.frozen
class LostAnswerError(CallError):
    """The connection ended after the request may have been sent."""

    address: str
    """Address of the entry."""

    problem: str
    """Error message of the system or of the HTTP client."""

    def __str__(self) -> str:
        return (
            f"no answer from {self.address}: {self.problem}; the request may "
            "have taken effect. Send it again only with the same --key, or "
            "if it may be repeated"
        )


@attrs.frozen
class ForeignAnswerError(CallError):
    """The reply is not a JSON object, so it is not from an entry."""

    address: str
    """Address of the server that replied."""

    status: int
    """HTTP status."""

    def __str__(self) -> str:
        return (
            f"{self.address} answered with status {self.status} and no JSON; "
            "check that --address names a cowslipgate entry or its balancer"
        )


def call_entry(request: Request, address: str, token: str) -> Reply:
    """Send a request and return the decoded reply.

    :raises CallError: when there is no reply or it is not a JSON object
    """
    connection = _connect(address)
    headers = {"Authorization": f"Bearer {token}"} | request.headers
    try:
        connection.request(request.method, request.path, request.body, headers)
        response = connection.getresponse()
        body = response.read()
    except (OSError, http.client.HTTPException) as error:
        raise LostAnswerError(address, _describe_error(error)) from error
    finally:
        connection.close()
    try:
        decoded = json.loads(body)
    except ValueError as error:
        raise ForeignAnswerError(address, response.status) from error
    if not isinstance(decoded, dict):
        raise ForeignAnswerError(address, response.status)
    pairs = response.getheaders()
    lowered = {name.lower(): value for name, value in pairs}
    return Reply(response.status, lowered, decoded)


def _connect(address: str) -> http.client.HTTPConnection:
    host, port = _parse_address(address)
    connection = http.client.HTTPConnection(
        host, port, timeout=CALL_TIMEOUT_SECONDS
    )
    try:
        connection.connect()
    except OSError as error:
        raise UnreachableError(address, _describe_error(error)) from error
    return connection


def _parse_address(address: str) -> tuple[str, int]:
    try:
        parts = urllib.parse.urlsplit("//" + address.removeprefix("http://"))
        host, port = parts.hostname, parts.port
    except ValueError as error:
        raise AddressError(address) from error
    if not host or not port:
        raise AddressError(address)
    return host, port


def _describe_error(error: Exception) -> str:
    if isinstance(error, OSError) and error.strerror:
        return error.strerror
    return str(error) or type(error).__name__
