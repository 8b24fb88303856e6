"""Requests, their answers, and the events that carry them."""

import datetime

import attrs
import circuits
from circuits.web import wrappers


@attrs.frozen
class ServerLimits:
    """Limits of one HTTP server."""

    max_body_bytes: int = 8_388_608
    """Largest body in bytes."""

    max_header_bytes: int = 16_384
    """Largest head (request line and headers) in bytes."""

    max_headers: int = 64
    """Maximum number of headers in a request."""

    max_connections: int = 1_024
    """Maximum number of open connections."""

    request_timeout: datetime.timedelta = datetime.timedelta(seconds=30)
    """Time within which a request must arrive completely."""

    send_timeout: datetime.timedelta = datetime.timedelta(seconds=30)
    """Time within which a caller must read its answer."""

    idle_timeout: datetime.timedelta = datetime.timedelta(seconds=120)
    """Time after which an idle connection is closed."""

    probe_callers: bool = False
    """Whether callers get interim responses (100) while they wait, whose
    acknowledgements show that they are still connected."""


@attrs.frozen(eq=False)
class Exchange:
    """A request, which is answered at most once."""

    method: str
    """HTTP method."""

    path: str
    """Decoded path."""

    query: dict[str, str]
    """Query parameters, the last of each name."""

    headers: dict[str, str]
    """Header values by name in lower case."""

    body: bytes
    """Request body, empty for none."""

    response: wrappers.Response
    """Response object of circuits.web, sent with the answer."""

    seen_at: datetime.datetime | None = None
    """Time at which, as far as known, the caller was connected when the
    request was read; None if it is not probed."""


@attrs.frozen
class Answer:
    """The answer to an exchange."""

    status: int
    """HTTP status."""

    body: bytes
    """Answer body, empty for none."""

    headers: dict[str, str] = attrs.Factory(dict)
    """Headers besides the content type."""

    content_type: str = "application/json"
    """Media type of the body."""


class callers_seen(circuits.Event):
    """Callers are still connected; the argument is a mapping.

    Its keys are the exchanges that wait for an answer, its values the times at
    which their callers were last known to be connected.
    """


class http_requested(circuits.Event):
    """A request has arrived; the argument is its Exchange."""

    failure = True


class http_abandoned(circuits.Event):
    """A caller disconnected; the argument is its unanswered Exchange."""


class http_refused(circuits.Event):
    """A request was refused or aborted; the argument is the reason."""


class answer_http(circuits.Event):
    """Asks the server to answer; the arguments are Exchange and Answer."""


class drain_http(circuits.Event):
    """Asks the server to close each connection after its next answer."""


class close_idle_http(circuits.Event):
    """Asks the server to close connections idle since the drain began.

    The server keeps listening. A caller whose connection is closed opens one
    to another server; a request on the old one would have to be refused.
    """


class close_http(circuits.Event):
    """Asks the server to stop listening and to close idle connections."""


class answer_rest_http(circuits.Event):
    """Asks the server to answer all requests whose answer is not known."""


class check_callers(circuits.Event):
    """Command to the server to read acknowledgements and probe callers."""


class check_connections(circuits.Event):
    """Asks the server to close connections that exceed a timeout."""
