"""Requests of the commands and what became of them."""

import http.client
import json
from typing import Any
import urllib.parse

import attrs

import cowslipgate_core as core

CALL_TIMEOUT_SECONDS = 120


@attrs.frozen
class Request:
    """A request of a command."""

    method: str
    """HTTP method."""

    path: str
    """Path."""

    body: bytes = b""
    """Body."""

    headers: dict[str, str] = attrs.Factory(dict)
    """Headers besides the token."""


@attrs.frozen
class Reply:
    """An answer in JSON."""

    status: int
    """HTTP status."""

    headers: dict[str, str]
    """Header values by name in lower case."""

    body: Any
    """Decoded body."""


class CallError(core.CowslipgateError):
    """A command got no answer that it understands."""


@attrs.frozen
class AddressError(CallError):
    """The address of the entry cannot be used."""

    address: str
    """Address given."""

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
    """What the system said."""

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
    """What the system said."""

    def __str__(self) -> str:
        return (
            f"no answer from {self.address}: {self.problem}; the request may "
            "have taken effect. Send it again only with the same --key, or "
            "if it may be repeated"
        )


@attrs.frozen
class ForeignAnswerError(CallError):
    """The answer is not one of cowslipgate."""

    address: str
    """Address asked."""

    status: int
    """HTTP status."""

    def __str__(self) -> str:
        return (
            f"{self.address} answered with status {self.status} and no JSON; "
            "check that --address names a cowslipgate entry or its balancer"
        )


def call_entry(request: Request, address: str, token: str) -> Reply:
    """Make a request and return the decoded answer.

    :raises CallError: when there is no answer or it is not JSON
    """
    connection = _connect(address)
    headers = {"Authorization": f"Bearer {token}"} | request.headers
    try:
        connection.request(request.method, request.path, request.body, headers)
        response = connection.getresponse()
        body = response.read()
    except (OSError, http.client.HTTPException) as error:
        raise LostAnswerError(address, _describe(error)) from error
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
        raise UnreachableError(address, _describe(error)) from error
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


def _describe(error: Exception) -> str:
    if isinstance(error, OSError) and error.strerror:
        return error.strerror
    return str(error) or type(error).__name__
