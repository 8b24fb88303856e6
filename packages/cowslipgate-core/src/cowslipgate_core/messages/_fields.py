"""Bounded types of message fields."""

from typing import Annotated

import msgspec

Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
"""A non-negative integer of at most 63 bits."""

Milliseconds = Annotated[float, msgspec.Meta(ge=0.0, le=1e12)]
"""A duration in milliseconds, at most 1e12; not NaN or infinite."""

Text = Annotated[str, msgspec.Meta(max_length=256)]
"""A name of at most 256 characters."""
