"""Compression of configuration documents sent between entries."""

import zlib

from cowslipgate_core import _exceptions

MAX_DOCUMENT_BYTES = 4_194_304
"""Bound on the size of a decompressed document."""

_KIND = b"ConfigurationPush"


def compress_document(document: bytes) -> bytes:
    """Return ``document`` compressed in the zlib format."""
    return zlib.compress(document, zlib.Z_BEST_COMPRESSION)


def decompress_document(compressed: bytes) -> bytes:
    """Return the document that ``compress_document`` compressed.

    :raises WireError: when it is corrupt, truncated or, decompressed, larger
        than MAX_DOCUMENT_BYTES
    """
    decompressor = zlib.decompressobj()
    try:
        document = decompressor.decompress(compressed, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise _exceptions.WireError(_KIND, str(error)) from error
    if not decompressor.eof:
        raise _exceptions.WireError(_KIND, "truncated or too large")
    return document
