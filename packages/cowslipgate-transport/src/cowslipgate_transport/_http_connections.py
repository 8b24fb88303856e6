"""What the HTTP server keeps of each connection."""

import datetime

import attrs

from cowslipgate_transport import _http_exchanges
from cowslipgate_transport import _http_heads


@attrs.define(eq=False)
class Connection:
    """What the server keeps of one connection."""

    since: datetime.datetime
    """When it was opened, began a request or was last answered."""

    received: bytearray = attrs.Factory(bytearray)
    """Bytes not yet parsed."""

    head: _http_heads.Head | None = None
    """Checked head at the start of ``received``."""

    head_size: int = 0
    """Size of that head with the blank line at its end."""

    parsing: bool = False
    """Whether a request was passed to the parser."""

    exchange: _http_exchanges.Exchange | None = None
    """Request that waits for its answer."""

    answering: bool = False
    """Whether an answer was made of which nothing is written yet."""

    answered: bool = False
    """Whether an answer was written after which nothing has arrived."""

    cut: bool = False
    """Whether it was cut off in the middle of an answer or a request."""

    refused: bool = False
    """Whether the connection only waits for its end."""

    @property
    def busy(self) -> bool:
        """Whether a request is being parsed or its answer is to be written."""
        return self.parsing or self.answering or self.exchange is not None
