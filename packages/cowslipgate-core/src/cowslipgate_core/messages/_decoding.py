"""Decoding of bytes that other processes have written."""

import re
from typing import Any, Protocol

import msgspec

from cowslipgate_core import _exceptions

MAX_BLANKED_BYTES = 2_097_152
"""Largest answer whose undecodable rows are passed over. It takes the process
up to half a second for each MB, and the store returns at most 1 MB."""

_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[{]|[\]}]', re.DOTALL)
_OPENING = frozenset(b"[{")
_CLOSING = frozenset(b"]}")
_RAW_DECODER = msgspec.json.Decoder(msgspec.Raw)


class Decoder(Protocol):
    """A decoder of msgspec."""

    def decode(self, data: bytes, /) -> Any:
        """Return the decoded value."""


def decode(decoder: Decoder, data: bytes, kind: bytes) -> Any:
    """Return the value that a decoder reads.

    :param kind: what is decoded, for the error
    :raises WireError: when it cannot be decoded
    """
    try:
        return decoder.decode(data)
    except (ValueError, OverflowError, RecursionError) as error:
        # The errors of msgspec and of text encodings are ValueErrors.
        raise _exceptions.WireError(kind, str(error)) from error


def decode_rows(
    decoder: Decoder, data: bytes, kind: bytes, depth: int = 2
) -> Any:
    """Return the value that a decoder reads from JSON that holds rows.

    A row that is no JSON or nested too deeply is read as null, so that it
    does not make the others unreadable. The decoder should leave the rows as
    ``msgspec.Raw``.

    :param kind: what is decoded, for the error
    :param depth: number of arrays and objects that enclose a row
    :raises WireError: when it cannot be decoded even so
    """
    try:
        return decode(decoder, data, kind)
    except _exceptions.WireError:
        if len(data) > MAX_BLANKED_BYTES:
            raise
        return decode(decoder, _blank_rows(data, depth), kind)


def _blank_rows(data: bytes, row_depth: int) -> bytes:
    """Return the JSON with null in place of each undecodable row."""
    kept = []
    copied = begun = depth = 0
    for token in _TOKEN.finditer(data):
        first = data[token.start()]
        if first in _OPENING:
            if depth == row_depth:
                begun = token.start()
            depth += 1
            continue
        if first in _CLOSING:
            depth -= 1
        else:
            begun = token.start() if depth == row_depth else begun
        if depth == row_depth and not _is_json(data[begun : token.end()]):
            kept += [data[copied:begun], b"null"]
            copied = token.end()
    kept.append(data[copied:])
    return b"".join(kept)


def _is_json(data: bytes) -> bool:
    try:
        _RAW_DECODER.decode(data)
    except (ValueError, RecursionError):
        return False
    return True
