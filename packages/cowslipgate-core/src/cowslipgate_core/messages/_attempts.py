"""Messages about attempts between entries and agents."""

import enum

import attrs

from cowslipgate_core.messages import _fields
from cowslipgate_core.messages import _resources


class Outcome(enum.StrEnum):
    """What became of an attempt, as its agent tells it."""

    FINISHED = "finished"
    FAILED = "failed"
    NOT_STARTED = "not_started"
    STOPPED = "stopped"
    RUNNING = "running"
    LOST = "lost"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Why an outcome is not ``finished``."""

    NONE = ""
    BUSY = "busy"
    NO_ROOM = "no_room"
    WITHDRAWN = "withdrawn"
    NOT_SERVING = "not_serving"
    STALE_CONFIGURATION = "stale_configuration"
    OTHER_INCARNATION = "other_incarnation"
    STALE_LINK = "stale_link"
    FORGOTTEN = "forgotten"
    TARGET_UNREACHABLE = "target_unreachable"
    TARGET_STATUS = "target_status"
    TARGET_LOST = "target_lost"
    WRONG_TASK = "wrong_task"
    MALFORMED_RESULT = "malformed_result"
    LEASE_LAPSED = "lease_lapsed"
    TARGET_REPLACED = "target_replaced"
    GROUP_BROKEN = "group_broken"
    OUTRANKED = "outranked"


@attrs.frozen
class AttemptReport:
    """What an agent tells of one attempt."""

    attempt: _fields.Count
    """Sequence number of the attempt at its entry."""

    outcome: Outcome
    """What became of it."""

    reason: Reason = Reason.NONE
    """Why, when it did not finish."""

    result: bytes = b"null"
    """JSON result of the task, or the target's error."""

    wait_ms: _fields.Milliseconds = 0.0
    """Time in the agent's queue in milliseconds."""

    run_ms: _fields.Milliseconds = 0.0
    """Time at the target in milliseconds."""

    checkpoint: str = ""
    """Checkpoint from which another attempt may go on, or empty."""


@attrs.frozen
class Order:
    """One attempt to run a task."""

    attempt: _fields.Count
    """Sequence number, growing in the order of dispatch at the entry."""

    task: str
    """Id of the task: job, index and attempt."""

    kind: str
    """Kind of the task."""

    payload: bytes
    """JSON payload for the target."""

    traceparent: str = ""
    """W3C trace context for the target, empty when not traced."""

    name: str = ""
    """Name of the task, the same over all attempts, or empty."""

    run: _fields.Count = 0
    """Number that rises over the attempts of the task, at every entry."""

    needs: _resources.Resources = _resources.Resources()
    """What the task takes of the target's room."""

    checkpoint: str = ""
    """Checkpoint from which the task goes on, or empty."""


@attrs.frozen
class Results:
    """Outcomes of attempts, kept by the agent until acknowledged."""

    agent: _fields.Text
    """Name of the agent."""

    incarnation: _fields.Count
    """Incarnation of the agent process."""

    load: _resources.Load
    """How busy the target is."""

    reports: tuple[AttemptReport, ...]
    """One report an attempt."""

    entry: int = 0
    """Incarnation of the entry that sent the attempts."""

    configuration_version: int = 0
    """Highest configuration version that the agent knows."""


@attrs.frozen
class Dispatch:
    """Attempts for one agent."""

    entry: int
    """Incarnation of the sending entry."""

    incarnation: _fields.Count
    """Incarnation of the agent that is addressed."""

    configuration_version: int
    """Version under which the entry decided."""

    orders: tuple[Order, ...]
    """The attempts."""

    acknowledged: tuple[int, ...] = ()
    """Attempts whose outcome the entry has received."""

    link: int = 0
    """Number of the link in the agent's last report to the entry."""


@attrs.frozen
class Withdraw:
    """Asks that attempts not yet started never start.

    Attempts that the agent does not know are fenced, so that a late dispatch
    of them is refused.
    """

    entry: int
    """Incarnation of the sending entry."""

    incarnation: _fields.Count
    """Incarnation of the agent that is addressed."""

    attempts: tuple[int, ...]
    """Sequence numbers of the attempts."""

    stop: bool
    """Whether running attempts are stopped too."""

    stalled: bool = False
    """Whether they are stopped because the target seems to be to blame."""


@attrs.frozen
class Acknowledge:
    """Tells that outcomes were received."""

    entry: int
    """Incarnation of the sending entry."""

    attempts: tuple[int, ...]
    """Sequence numbers of the attempts."""
