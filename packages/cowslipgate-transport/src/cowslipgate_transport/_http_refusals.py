"""Error answers that the HTTP server sends without a handler."""

import msgspec

from cowslipgate_transport import _http_heads


def encode_refusal(error: _http_heads.HeadError, bodiless: bool) -> bytes:
    """Return an encoded error answer that closes the connection.

    :param bodiless: whether to omit the body, as for HEAD
    """
    body = encode_error(error.kind, "none", error.message)
    lines = (
        f"HTTP/1.1 {error.status} Refused",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        "Connection: close",
        "",
        "",
    )
    head = "\r\n".join(lines).encode()
    return head if bodiless else head + body


def encode_error(kind: str, started: str, message: str) -> bytes:
    """Return the JSON body of an error.

    :param started: whether any task has started: ``none`` or ``unknown``
    """
    error = {"type": kind, "started": started, "message": message}
    return msgspec.json.encode({"error": error})
