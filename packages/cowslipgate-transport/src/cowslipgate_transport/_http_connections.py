"""State that the HTTP server keeps for each connection."""

import datetime

import attrs

from cowslipgate_transport import _http_exchanges
from cowslipgate_transport import _http_heads


@attrs.define(eq=False)
class Connection:
    """State of one connection of the HTTP server."""

    last_activity: datetime.datetime
    """When it was opened, began a request, was answered or refused."""

    received: bytearray = attrs.Factory(bytearray)
    """Bytes that are not parsed yet."""

    seen_at: datetime.datetime | None = None
    """When its caller was connected by the latest bytes that were read, or
    None if callers are not probed."""

    head: _http_heads.Head | None = None
    """Validated head at the start of ``received``; None until complete."""

    head_size: int = 0
    """Size of that head in bytes, with the blank line at its end."""

    parsing: bool = False
    """Whether a request is with the parser."""

    exchange: _http_exchanges.Exchange | None = None
    """Request that waits for its answer, or None."""

    answering: bool = False
    """Whether an answer was made but none of it is written yet."""

    answered: bool = False
    """Whether an answer was made since a check last found ``received``."""

    aborted: bool = False
    """Whether it was shut down in the middle of an answer or a request."""

    refused: bool = False
    """Whether it only waits to be closed and reads no more requests."""

    @property
    def busy(self) -> bool:
        """Whether a request is being parsed or its answer is not written."""
        return self.parsing or self.answering or self.exchange is not None
