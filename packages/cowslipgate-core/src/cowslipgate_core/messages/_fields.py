"""Bounded types of message fields."""

from typing import Annotated

import msgspec

_OCTET = "(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
_PORT = (
    "(?:[1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}"
    "|655[0-2][0-9]|6553[0-5])"
)

Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
"""A non-negative integer of at most 63 bits."""

Interval = Annotated[int, msgspec.Meta(ge=0, le=86_400_000)]
"""An interval in milliseconds, at most a day."""

Ages = tuple[tuple[Count, Interval], ...]
"""Attempts, and ages in milliseconds."""

Milliseconds = Annotated[float, msgspec.Meta(ge=0.0, le=1e12)]
"""A duration in milliseconds, at most 1e12; not NaN or infinite."""

Text = Annotated[str, msgspec.Meta(max_length=256)]
"""A name of at most 256 characters."""

Endpoint = Annotated[
    str,
    msgspec.Meta(
        pattern=rf"^tcp://{_OCTET}(?:\.{_OCTET}){{3}}:{_PORT}\Z",
        description="tcp://, an IPv4 address and a port from 1 to 65535",
    ),
]
"""A ZeroMQ address to which a socket can connect."""
