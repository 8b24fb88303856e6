"""Messages about attempts between entries and agents."""

import enum

import attrs

from cowslipgate_core.messages import _fields
from cowslipgate_core.messages import _resources


class Outcome(enum.StrEnum):
    """State or end of an attempt, as reported by its agent."""

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
    # The wire's name for a stale fencing token.
    STALE_TOKEN = "outranked"


@attrs.frozen
class AttemptReport:
    """An agent's report about one attempt."""

    attempt: _fields.Count
    """Sequence number of the attempt at its entry."""

    outcome: Outcome
    """State or end of the attempt."""

    reason: Reason = Reason.NONE
    """Reason when the outcome is not ``finished``."""

    result: bytes = b"null"
    """JSON result of the task, or the error that the target returned."""

    wait_ms: _fields.Milliseconds = 0.0
    """Time in the agent's queue in milliseconds."""

    run_ms: _fields.Milliseconds = 0.0
    """Time at the target in milliseconds."""

    checkpoint: str = ""
    """Checkpoint from which another attempt can resume, or empty."""


@attrs.frozen
class Order:
    """An order to an agent to run one attempt of a task."""

    attempt: _fields.Count
    """Sequence number, increasing in the order of dispatch at the entry."""

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
    """Fencing token: it increases with each attempt of the task, whichever
    entry sends it."""

    needs: _resources.Resources = _resources.Resources()
    """Resources that the task uses of the target's room."""

    checkpoint: str = ""
    """Checkpoint from which the task resumes, or empty."""


@attrs.frozen
class Results:
    """Outcomes of attempts, which the agent resends until acknowledged."""

    agent: _fields.Text
    """Name of the agent."""

    incarnation: _fields.Count
    """Incarnation of the agent process."""

    load: _resources.Load
    """Load of the target."""

    reports: tuple[AttemptReport, ...]
    """One report per attempt."""

    entry: int = 0
    """Incarnation of the entry that sent the attempts."""

    configuration_version: int = 0
    """Highest configuration version that the agent knows."""

    sent_ms: _fields.Count = 0
    """Time of sending, as in a report."""


@attrs.frozen
class Dispatch:
    """Attempts for one agent."""

    entry: int
    """Incarnation of the sending entry."""

    incarnation: _fields.Count
    """Incarnation of the receiving agent."""

    configuration_version: int
    """Configuration version in force at the entry."""

    orders: tuple[Order, ...]
    """The attempts."""

    acknowledged: tuple[int, ...] = ()
    """Attempts whose outcome the entry has received."""

    link: int = 0
    """``link`` of the last report that the entry received from the agent."""

    received_ms: _fields.Count = 0
    """Highest ``sent_ms`` received from the agent, as in a heartbeat."""

    held_ms: _fields.Interval = 0
    """Time since that message was received, as in a heartbeat."""

    ages: _fields.Ages = ()
    """Ages of the callers' signs, as in a heartbeat; those of the orders are
    among them."""

    service: str = ""
    """Service of the target for which the attempts were chosen; empty from
    entries of earlier versions."""


@attrs.frozen
class Withdraw:
    """A request that attempts never start, or are stopped.

    The agent fences attempts that it does not know, so that it refuses a
    dispatch of them that arrives later.
    """

    entry: int
    """Incarnation of the sending entry."""

    incarnation: _fields.Count
    """Incarnation of the receiving agent."""

    attempts: tuple[int, ...]
    """Sequence numbers of the attempts."""

    stop: bool
    """Whether attempts that are running are stopped too."""

    stalled: bool = False
    """Whether the attempts are stopped as stalled, probably by a fault of the
    target."""


@attrs.frozen
class Acknowledge:
    """Acknowledgement of outcomes that the entry has received."""

    entry: int
    """Incarnation of the sending entry."""

    attempts: tuple[int, ...]
    """Sequence numbers of the attempts."""
