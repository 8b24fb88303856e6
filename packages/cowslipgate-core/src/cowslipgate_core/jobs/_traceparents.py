"""Parsing and derivation of W3C ``traceparent`` headers."""

import hashlib
import re

import attrs

_FORMAT = re.compile(
    r"([0-9a-f]{2})-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})"
)
_SAMPLED = 0x01
_SPAN_BYTES = 8


@attrs.frozen
class Traceparent:
    """A parsed ``traceparent``."""

    trace: int
    """Id of the trace, 128 bits, not zero."""

    span: int
    """Id of the parent span, 64 bits, not zero."""

    sampled: bool
    """Whether spans are recorded."""

    def __str__(self) -> str:
        flags = _SAMPLED if self.sampled else 0
        return f"00-{self.trace:032x}-{self.span:016x}-{flags:02x}"


def parse_traceparent(text: str) -> Traceparent | None:
    """Parse a ``traceparent`` header; return None if it is not valid."""
    match = _FORMAT.fullmatch(text)
    if match is None or match[1] == "ff":
        return None
    trace = int(match[2], 16)
    span = int(match[3], 16)
    if not trace or not span:
        return None
    return Traceparent(trace, span, bool(int(match[4], 16) & _SAMPLED))


def derive_span(task: str) -> int:
    """Return the id of the span of a task at its target."""
    digest = hashlib.blake2b(task.encode(), digest_size=_SPAN_BYTES).digest()
    return int.from_bytes(digest, "big") or 1


def derive_traceparent(text: str, task: str) -> str:
    """Return the trace context for a task's target.

    Only a sampled context gets a new span; any other text is passed on as is.
    """
    if not text:
        return text
    parent = parse_traceparent(text)
    if parent is None or not parent.sampled:
        return text
    return str(attrs.evolve(parent, span=derive_span(task)))
