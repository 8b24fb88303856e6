"""Validation of request heads, before circuits.web parses them."""

import re
import urllib.parse

import attrs

import cowslipgate_core as core

HEAD_END = b"\r\n\r\n"
MAX_LENGTH_DIGITS = 18
_REQUEST_LINE = re.compile(rb"([A-Z]{1,16}) (/[!-~]*) HTTP/(\d)\.(\d)")
_HEADER = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([\t -~\x80-\xff]*)"
)
_HOST = re.compile(rb"[A-Za-z0-9._-]*(:[0-9]{1,5})?")
_BAD_ESCAPE = re.compile(r"%(?![0-9A-Fa-f]{2})")
# Headers whose repetition would be ambiguous.
_SINGLE_HEADERS = frozenset(
    (
        b"authorization",
        b"content-length",
        b"content-type",
        b"expect",
        b"host",
        b"idempotency-key",
        b"if-match",
        b"traceparent",
    )
)


@attrs.frozen
class HeadError(core.CowslipgateError):
    """A request was refused because of its head."""

    status: int
    """HTTP status."""

    kind: str
    """Type of the error in the answer's body."""

    message: str
    """What is wrong or what the caller can do."""


@attrs.frozen
class Head:
    """Properties of a request that the server needs before its body."""

    method: str
    """HTTP method."""

    content_length: int
    """Size of the body in bytes."""

    expects_continue: bool
    """Whether the caller sends the body only after ``100 Continue``."""


def parse_head(head: bytes, max_headers: int, max_body_bytes: int) -> Head:
    """Validate the head of a request.

    :param head: request line and headers without the blank line at the end
    :raises HeadError: when the request is refused
    """
    first, *lines = head.split(b"\r\n")
    method, minor = _parse_request_line(first)
    if len(lines) > max_headers:
        raise HeadError(
            431, "headers_too_large", f"send at most {max_headers} headers"
        )
    headers = _parse_headers(lines)
    if minor and b"host" not in headers:
        raise _make_malformed("send the header Host")
    if not _HOST.fullmatch(headers.get(b"host", b"")):
        raise _make_malformed("the header Host is not name:port")
    if b"transfer-encoding" in headers:
        raise HeadError(
            411,
            "length_required",
            "send Content-Length; chunked bodies are not taken",
        )
    if b"content-encoding" in headers:
        raise HeadError(
            415, "unsupported_encoding", "send the body without encoding"
        )
    length = _parse_length(headers.get(b"content-length", b"0"))
    if length > max_body_bytes:
        raise HeadError(
            413, "too_large", f"a body may have {max_body_bytes} bytes"
        )
    expects = headers.get(b"expect", b"").lower() == b"100-continue"
    return Head(method, length, expects)


def _make_malformed(message: str) -> HeadError:
    return HeadError(400, "malformed", message)


def _parse_request_line(line: bytes) -> tuple[str, int]:
    match = _REQUEST_LINE.fullmatch(line)
    if match is None:
        raise _make_malformed("the request line is not METHOD /path HTTP/1.1")
    method, path, major, minor = match.groups()
    if major != b"1":
        raise HeadError(505, "version_not_supported", "use HTTP/1.1")
    _check_path(path.decode())
    return method.decode(), int(minor)


def _check_path(path: str) -> None:
    if "#" in path or _BAD_ESCAPE.search(path):
        raise _make_malformed(
            "the path is not percent-encoded as RFC 3986 says"
        )
    try:
        urllib.parse.unquote(path, errors="strict")
    except UnicodeDecodeError as error:
        raise _make_malformed(
            "the path is not UTF-8, percent-encoded"
        ) from error


def _parse_headers(lines: list[bytes]) -> dict[bytes, bytes]:
    headers: dict[bytes, bytes] = {}
    for line in lines:
        match = _HEADER.fullmatch(line)
        if match is None:
            raise _make_malformed("a header is not Name: value")
        name = match[1].lower()
        if name in headers and name in _SINGLE_HEADERS:
            raise _make_malformed(f"the header {name.decode()} was sent twice")
        headers[name] = match[2].strip()
    return headers


def _parse_length(text: bytes) -> int:
    if not text.isdigit() or len(text) > MAX_LENGTH_DIGITS:
        raise _make_malformed("Content-Length is not a whole number")
    return int(text)
