"""Types of fields that messages share, with their bounds."""

from typing import Annotated

import msgspec

Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
"""A number that fits the wire."""

Milliseconds = Annotated[float, msgspec.Meta(ge=0.0, le=1e12)]
"""A span of time."""

Text = Annotated[str, msgspec.Meta(max_length=256)]
"""A name."""
