"""Messages between entries that cancel jobs."""

import attrs

from cowslipgate_core.messages import _fields


@attrs.frozen
class CancelRequest:
    """Asks an entry to cancel a job or every job with a label."""

    request: int
    """Number of the request at its sender."""

    entry: int
    """Incarnation of the sender."""

    team: str
    """Team on whose behalf jobs are cancelled."""

    job: str = ""
    """Job id, empty when a label is given."""

    service: str = ""
    """Service of the jobs with the label."""

    label: str = ""
    """Label of the jobs, empty when a job is given."""


@attrs.frozen
class CancelReply:
    """Answer to a cancel request."""

    request: int
    """Number of the request at its sender."""

    entry: int
    """Incarnation of the answering entry."""

    cancelled: _fields.Count
    """Number of jobs cancelled."""
