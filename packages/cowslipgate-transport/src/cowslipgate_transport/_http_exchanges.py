"""Requests, their answers, and the events that carry them."""

import datetime

import attrs
import circuits
from circuits.web import wrappers


@attrs.frozen
class ServerLimits:
    """What one HTTP server accepts."""

    max_body_bytes: int = 8_388_608
    """Largest body in bytes."""

    max_header_bytes: int = 16_384
    """Largest request line with headers, in bytes."""

    max_headers: int = 64
    """Most headers of a request."""

    max_connections: int = 1_024
    """Most connections open at once."""

    request_timeout: datetime.timedelta = datetime.timedelta(seconds=30)
    """Time in which a request must arrive whole."""

    send_timeout: datetime.timedelta = datetime.timedelta(seconds=30)
    """Time in which a caller must read its answer."""

    idle_timeout: datetime.timedelta = datetime.timedelta(seconds=120)
    """Time after which an idle connection is closed."""


@attrs.frozen(eq=False)
class Exchange:
    """A request that is to be answered once."""

    method: str
    """HTTP method."""

    path: str
    """Decoded path."""

    query: dict[str, str]
    """Query parameters, the last of each name."""

    headers: dict[str, str]
    """Header values by name in lower case."""

    body: bytes
    """Body."""

    response: wrappers.Response
    """Response object of circuits.web."""


@attrs.frozen
class Answer:
    """The answer to an exchange."""

    status: int
    """HTTP status."""

    body: bytes
    """Body."""

    headers: dict[str, str] = attrs.Factory(dict)
    """Headers besides the content type."""

    content_type: str = "application/json"
    """Media type of the body."""


class http_requested(circuits.Event):
    """A request has arrived; the argument is its Exchange."""

    failure = True


class http_abandoned(circuits.Event):
    """A caller went away; the argument is its unanswered Exchange."""


class http_refused(circuits.Event):
    """The server refused or cut off a request; the argument is why."""


class answer_http(circuits.Event):
    """Asks the server to answer; the arguments are Exchange and Answer."""


class drain_http(circuits.Event):
    """Asks the server to close each connection after its next answer."""


class close_idle_http(circuits.Event):
    """Asks the server to close connections that idle since the drain began.

    It goes on listening. A caller that finds its connection closed opens
    another one, elsewhere; one that sends on it would have to be refused.
    """


class close_http(circuits.Event):
    """Asks the server to listen no more and close idle connections."""


class check_connections(circuits.Event):
    """Asks the server to close slow and idle connections."""
