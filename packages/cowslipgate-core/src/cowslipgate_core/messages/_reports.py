"""Heartbeats, departures and gossip of entries and agents."""

import attrs
import msgspec

from cowslipgate_core.messages import _fields
from cowslipgate_core.messages import _resources


@attrs.frozen
class Report:
    """Heartbeat of an agent, sent on idle links and after changes."""

    agent: _fields.Text
    """Name of the agent, stable over restarts."""

    incarnation: _fields.Count
    """Incarnation of the agent process."""

    service: _fields.Text
    """Service of the agent's target, or empty when it has no target."""

    domain: _fields.Text
    """Failure domain of the agent."""

    state: _fields.Text
    """State of the target, as in ``charts/target.toml``."""

    resources: _resources.Resources
    """Resources that one task may use on the target."""

    load: _resources.Load
    """Load of the target."""

    configuration_version: int
    """Highest configuration version that the agent knows."""

    members_digest: str
    """``digest_members`` of the entries that the agent knows."""

    link: _fields.Count = 0
    """Count of the agent's connections to the entry so far."""

    room: _resources.Room = msgspec.UNSET
    """Resources that all tasks of the target share."""

    sent_ms: _fields.Count = 0
    """Time of sending in milliseconds since the agent's start, at least 1;
    zero from agents of earlier versions."""

    cold_left_ms: _fields.Interval = 0
    """Time in milliseconds for which the target still runs tasks slower."""


@attrs.frozen
class Member:
    """Identity and addresses of an entry."""

    incarnation: _fields.Count
    """Incarnation of the entry process; it increases with each restart."""

    address: _fields.Endpoint
    """ZeroMQ address for agents and other entries."""

    http: _fields.Text
    """HTTP address for callers, ``host:port``."""

    domain: _fields.Text
    """Failure domain."""

    region: _fields.Text = ""
    """Region of the failure domain."""


@attrs.frozen
class Beat:
    """Heartbeat of an entry, sent in reply to a report."""

    entry: int
    """Incarnation of the sending entry."""

    configuration_version: int
    """Configuration version in force at the entry."""

    members: tuple[Member, ...]
    """Live entries, or empty when the digest of the report was current."""

    leaving: bool = False
    """Whether the entry is stopping."""

    heartbeat_ms: _fields.Interval = 0
    """Interval of reports on an idle link in milliseconds; zero for the
    agent's own setting."""

    acknowledged: tuple[int, ...] = ()
    """Attempts whose outcome the entry has received."""

    received_ms: _fields.Count = 0
    """Highest ``sent_ms`` received from the agent; zero from entries of
    earlier versions."""

    held_ms: _fields.Interval = 0
    """Time in milliseconds from the receipt of that message to the sending of
    this one."""

    ages: _fields.Ages = ()
    """Attempts at the agent, and the time in milliseconds since their callers
    were last known to be connected; without those whose callers are not
    probed."""


@attrs.frozen
class Goodbye:
    """A request to an entry to send the agent no more work.

    It is sent instead of reports until the entry replies with a release.
    """

    agent: _fields.Text
    """Name of the agent."""

    incarnation: _fields.Count
    """Incarnation of the agent process."""

    number: _fields.Count
    """Number of the departure, copied into the release."""

    sent_ms: _fields.Count = 0
    """Time of sending, as in a report."""


@attrs.frozen
class Release:
    """Confirmation that the entry has removed the agent.

    The entry expects no more outcomes and sends nothing until the agent
    reports again.
    """

    entry: int
    """Incarnation of the sending entry."""

    number: _fields.Count
    """``number`` of the goodbye."""

    acknowledged: tuple[int, ...] = ()
    """Attempts whose outcome the entry has received."""


@attrs.frozen
class Gossip:
    """State of an entry, sent to its peers in rounds of one second."""

    member: Member
    """The sender."""

    configuration_version: int
    """Configuration version in force at the sender."""

    members: tuple[Member, ...] = ()
    """Live entries known to the sender; empty in most messages."""

    starved: bool = False
    """Whether a team has more tasks at the sender than its limit there."""

    lease_revision: int = 0
    """Revision of the lease row that the sender last read or wrote."""

    leaving: bool = False
    """Whether the sender is stopping."""
