"""Compression of documents that go to every entry."""

import zlib

from cowslipgate_core import _exceptions

MAX_DOCUMENT_BYTES = 4_194_304
_KIND = b"ConfigurationPush"


def compress_document(document: bytes) -> bytes:
    """Return a document in zlib's format."""
    return zlib.compress(document, zlib.Z_BEST_COMPRESSION)


def expand_document(compressed: bytes) -> bytes:
    """Return what ``compress_document`` was given.

    :raises WireError: when it is not whole, or larger than any document is
    """
    decompressor = zlib.decompressobj()
    try:
        document = decompressor.decompress(compressed, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise _exceptions.WireError(_KIND, str(error)) from error
    if not decompressor.eof:
        raise _exceptions.WireError(_KIND, "cut off or too large")
    return document
