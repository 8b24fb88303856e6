"""Records of outgoing HTTP calls, and the encoding of their requests."""

import datetime
import enum

import attrs

import cowslipgate_core as core

_ALLOWED = "an address must be an IPv4 address and a port, host:port"
DEFAULT_TIMEOUT = datetime.timedelta(seconds=10)


class CallProblem(enum.StrEnum):
    """Why a call failed without an answer.

    ``REFUSED`` shows that nothing listened at the address. ``UNREACHABLE``
    does not: connecting timed out, was reset or met an error on this side.
    """

    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    CLOSED = "closed"
    TIMEOUT = "timeout"
    PROTOCOL = "protocol"
    CANCELLED = "cancelled"
    TOO_LARGE = "too_large"


@attrs.frozen
class Address:
    """Where a server listens."""

    host: str
    """IP address."""

    port: int
    """TCP port."""


@attrs.frozen
class Call:
    """An HTTP request to be sent."""

    id: int
    """Number by which the client's user identifies the call."""

    address: Address
    """Server that is called."""

    method: str
    """HTTP method."""

    path: str
    """Path and query."""

    headers: dict[str, str] = attrs.Factory(dict)
    """Headers besides Host and Content-Length."""

    body: bytes = b""
    """Request body, empty for none."""

    timeout: datetime.timedelta = DEFAULT_TIMEOUT
    """Time after which it fails, with any wait for a connection."""

    connection_limit: int = 0
    """Maximum number of connections to the server; zero for no limit."""


@attrs.frozen
class CallAnswer:
    """The answer to a call."""

    call: Call
    """The call."""

    status: int
    """HTTP status."""

    headers: dict[str, str]
    """Header values by name in lower case."""

    body: bytes
    """Answer body, empty for none."""


@attrs.frozen
class CallFailure:
    """A call that failed without an answer."""

    call: Call
    """The call."""

    problem: CallProblem
    """Why it failed."""

    sent: bool
    """Whether any byte of the request may have been sent."""


def encode_request(call: Call, headers: dict[str, str]) -> bytes:
    """Return a call's encoded request; its headers override ``headers``.

    :raises UnicodeEncodeError: when the head is not Latin-1
    """
    merged = headers | call.headers
    lines = [
        f"{call.method} {call.path} HTTP/1.1",
        f"Host: {call.address.host}:{call.address.port}",
        f"Content-Length: {len(call.body)}",
    ]
    lines.extend(f"{name}: {value}" for name, value in merged.items())
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + call.body


def parse_address(text: str) -> Address:
    """Return the address in ``host:port`` or ``http://host:port``.

    :raises ValueError: when the host is no IPv4 address or the port is none
        to connect to
    """
    try:
        bind = core.parse_bind(text.removeprefix("http://").rstrip("/"))
    except ValueError as error:
        raise ValueError(_ALLOWED) from error
    if not bind.port:
        raise ValueError(_ALLOWED)
    return Address(bind.host, bind.port)
