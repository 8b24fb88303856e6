"""Messages between entries that cancel jobs."""

import attrs

from cowslipgate_core.messages import _fields


@attrs.frozen
class CancelRequest:
    """A request to another entry to cancel one job or all jobs of a label."""

    request: int
    """Number of the request, unique at the entry that sent it."""

    entry: int
    """Incarnation of the sending entry."""

    team: str
    """Team on whose behalf the jobs are cancelled."""

    job: str = ""
    """Id of the job, or empty when a label is given."""

    service: str = ""
    """Service of the jobs with the label, or empty when a job is given."""

    label: str = ""
    """Label of the jobs, or empty when a job is given."""


@attrs.frozen
class CancelReply:
    """Reply to a cancel request."""

    request: int
    """Number of the request, unique at the entry that sent it."""

    entry: int
    """Incarnation of the replying entry."""

    cancelled: _fields.Count
    """Number of jobs cancelled."""
