"""Typed messages between entries and agents, and their wire format.

A message travels as two frames: its kind (the class name) and its body in
MessagePack.
"""

import enum
from typing import Annotated, Any

import attrs
import msgspec

from cowslipgate_core import _exceptions

_Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
_Milliseconds = Annotated[float, msgspec.Meta(ge=0.0, le=1e12)]
_Text = Annotated[str, msgspec.Meta(max_length=256)]


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


@attrs.frozen
class Resources:
    """What a target offers or a task needs."""

    memory_mb: _Count = 0
    """Memory in MB."""

    accelerators: _Count = 0
    """Number of accelerators."""

    millicores: _Count = 0
    """Processor time in thousandths of a core."""

    labels: tuple[_Text, ...] = ()
    """Labels that a target has or a task requires, its rack among them."""


Room = Resources | msgspec.UnsetType
"""What all tasks of a target share; unset when slots alone bound them."""


@attrs.frozen
class Load:
    """How busy an agent's target is."""

    slots: _Count
    """Slots open to work now, after quarantine and leaving."""

    own: _Count
    """Tasks running or queued for the entry that is addressed."""

    others: _Count
    """Tasks running or queued for all other entries."""

    others_use: Resources = Resources()
    """What the tasks of all other entries take of the room."""


@attrs.frozen
class Report:
    """Heartbeat of an agent, sent on idle links and on changes."""

    agent: _Text
    """Name of the agent, stable over restarts."""

    incarnation: _Count
    """Incarnation of the agent process."""

    service: _Text
    """Service that its target belongs to, empty when there is none."""

    domain: _Text
    """Failure domain of the agent."""

    state: _Text
    """State of the target, as in ``charts/target.toml``."""

    resources: Resources
    """What one task may use on the target."""

    load: Load
    """How busy the target is."""

    configuration_version: int
    """Highest configuration version that the agent knows."""

    members_digest: str
    """Digest of the entries that the agent knows."""

    link: _Count = 0
    """Number of times that the agent has connected to the entry."""

    room: Room = msgspec.UNSET
    """What all tasks of the target share."""


@attrs.frozen
class AttemptReport:
    """What an agent tells of one attempt."""

    attempt: _Count
    """Sequence number of the attempt at its entry."""

    outcome: Outcome
    """What became of it."""

    reason: Reason = Reason.NONE
    """Why, when it did not finish."""

    result: bytes = b"null"
    """JSON result of the task, or the target's error."""

    wait_ms: _Milliseconds = 0.0
    """Time in the agent's queue in milliseconds."""

    run_ms: _Milliseconds = 0.0
    """Time at the target in milliseconds."""

    checkpoint: str = ""
    """Checkpoint from which another attempt may go on, or empty."""


@attrs.frozen
class Results:
    """Outcomes of attempts, kept by the agent until acknowledged."""

    agent: _Text
    """Name of the agent."""

    incarnation: _Count
    """Incarnation of the agent process."""

    load: Load
    """How busy the target is."""

    reports: tuple[AttemptReport, ...]
    """One report an attempt."""

    entry: int = 0
    """Incarnation of the entry that sent the attempts."""

    configuration_version: int = 0
    """Highest configuration version that the agent knows."""


@attrs.frozen
class Order:
    """One attempt to run a task."""

    attempt: _Count
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

    run: _Count = 0
    """Number that rises over the attempts of the task, at every entry."""

    needs: Resources = Resources()
    """What the task takes of the target's room."""

    checkpoint: str = ""
    """Checkpoint from which the task goes on, or empty."""


@attrs.frozen
class Dispatch:
    """Attempts for one agent."""

    entry: int
    """Incarnation of the sending entry."""

    incarnation: _Count
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

    incarnation: _Count
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


@attrs.frozen
class Member:
    """One entry as the others know it."""

    incarnation: _Count
    """Incarnation of the entry process; a restart has a larger one."""

    address: str
    """ZeroMQ address for agents and entries."""

    http: str
    """Address for callers, ``host:port``."""

    domain: _Text
    """Failure domain."""

    region: _Text = ""
    """Region of the failure domain."""


@attrs.frozen
class Beat:
    """Heartbeat of an entry, the answer to a report."""

    entry: int
    """Incarnation of the sending entry."""

    configuration_version: int
    """Configuration version in force at the entry."""

    members: tuple[Member, ...]
    """Live entries, empty when the digest of the report was current."""

    leaving: bool = False
    """Whether the entry is stopping."""

    heartbeat_ms: _Count = 0
    """Interval of reports on an idle link, or zero for the agent's own."""

    acknowledged: tuple[int, ...] = ()
    """Attempts whose outcome the entry has received."""


@attrs.frozen
class Goodbye:
    """Tells an entry that the agent wants to be sent no more work.

    It is repeated in place of reports until the entry answers by a release.
    """

    agent: _Text
    """Name of the agent."""

    incarnation: _Count
    """Incarnation of the agent process."""

    number: _Count
    """Number of the departure, which a release returns."""


@attrs.frozen
class Release:
    """Tells an agent that the entry has forgotten it.

    The entry awaits no outcome and sends nothing before another report.
    """

    entry: int
    """Incarnation of the sending entry."""

    number: _Count
    """Number of the departure."""

    acknowledged: tuple[int, ...] = ()
    """Attempts whose outcome the entry has received."""


@attrs.frozen
class Gossip:
    """What one entry tells the others once a second."""

    member: Member
    """The sender."""

    configuration_version: int
    """Configuration version in force at the sender."""

    members: tuple[Member, ...] = ()
    """Live entries that the sender knows; empty in most messages."""

    starved: bool = False
    """Whether a team has more tasks at the sender than its share."""

    lease_revision: int = 0
    """Revision of the lease row that the sender read last."""

    leaving: bool = False
    """Whether the sender is stopping."""


@attrs.frozen
class ConfigurationPush:
    """A configuration for another entry."""

    entry: int
    """Incarnation of the sender."""

    version: int
    """Version of the document."""

    document: bytes
    """The document in JSON, compressed."""


@attrs.frozen
class ConfigurationRequest:
    """Asks an entry for its configuration."""

    entry: int
    """Incarnation of the sender."""


@attrs.frozen
class ConfigurationAcknowledge:
    """Tells that a version is in force at the sender."""

    entry: int
    """Incarnation of the sender."""

    version: int
    """The version in force."""


@attrs.frozen
class RelayRequest:
    """An agent asks an entry for its configuration on another's behalf."""

    agent: _Text
    """Name of the agent."""

    incarnation: _Count
    """Incarnation of the agent process."""

    asker: int
    """Incarnation of the entry that wants it."""


@attrs.frozen
class ConfigurationRelay:
    """A configuration that an agent is to pass on to another entry."""

    entry: int
    """Incarnation of the sender."""

    asker: int
    """Incarnation of the entry that wants it."""

    version: int
    """Version of the document."""

    document: bytes
    """The document in JSON, compressed."""


@attrs.frozen
class RelayedConfiguration:
    """A configuration of another entry, passed on by an agent."""

    agent: _Text
    """Name of the agent."""

    incarnation: _Count
    """Incarnation of the agent process."""

    version: int
    """Version of the document."""

    document: bytes
    """The document in JSON, compressed."""


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

    cancelled: _Count
    """Number of jobs cancelled."""


_CLASSES = (
    Report,
    Results,
    Dispatch,
    Withdraw,
    Acknowledge,
    Beat,
    Goodbye,
    Release,
    Gossip,
    ConfigurationPush,
    ConfigurationRequest,
    ConfigurationAcknowledge,
    RelayRequest,
    ConfigurationRelay,
    RelayedConfiguration,
    CancelRequest,
    CancelReply,
)

_DECODERS = {
    cls.__name__.encode(): msgspec.msgpack.Decoder(cls) for cls in _CLASSES
}

_ENCODER = msgspec.msgpack.Encoder()


def encode_message(message: Any) -> tuple[bytes, bytes]:
    """Return the kind and body frames of a message."""
    return type(message).__name__.encode(), _ENCODER.encode(message)


def decode_message(kind: bytes, body: bytes) -> Any:
    """Return the message in the frames ``kind`` and ``body``.

    :raises WireError: when the kind is unknown or the body malformed
    """
    decoder = _DECODERS.get(kind)
    if decoder is None:
        raise _exceptions.WireError(kind[:32], "unknown kind")
    try:
        return decoder.decode(body)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise _exceptions.WireError(kind, str(error)) from error


def encode_identity(agent: str, incarnation: int) -> bytes:
    """Return the ZeroMQ identity of an agent's incarnation."""
    return f"{agent}/{incarnation}".encode()
