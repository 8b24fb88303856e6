"""Messages by which entries and agents know of each other."""

import attrs
import msgspec

from cowslipgate_core.messages import _fields
from cowslipgate_core.messages import _resources


@attrs.frozen
class Report:
    """Heartbeat of an agent, sent on idle links and on changes."""

    agent: _fields.Text
    """Name of the agent, stable over restarts."""

    incarnation: _fields.Count
    """Incarnation of the agent process."""

    service: _fields.Text
    """Service that its target belongs to, empty when there is none."""

    domain: _fields.Text
    """Failure domain of the agent."""

    state: _fields.Text
    """State of the target, as in ``charts/target.toml``."""

    resources: _resources.Resources
    """What one task may use on the target."""

    load: _resources.Load
    """How busy the target is."""

    configuration_version: int
    """Highest configuration version that the agent knows."""

    members_digest: str
    """Digest of the entries that the agent knows."""

    link: _fields.Count = 0
    """Number of times that the agent has connected to the entry."""

    room: _resources.Room = msgspec.UNSET
    """What all tasks of the target share."""


@attrs.frozen
class Member:
    """One entry as the others know it."""

    incarnation: _fields.Count
    """Incarnation of the entry process; a restart has a larger one."""

    address: str
    """ZeroMQ address for agents and entries."""

    http: str
    """Address for callers, ``host:port``."""

    domain: _fields.Text
    """Failure domain."""

    region: _fields.Text = ""
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

    heartbeat_ms: _fields.Count = 0
    """Interval of reports on an idle link, or zero for the agent's own."""

    acknowledged: tuple[int, ...] = ()
    """Attempts whose outcome the entry has received."""


@attrs.frozen
class Goodbye:
    """Tells an entry that the agent wants to be sent no more work.

    It is repeated in place of reports until the entry answers by a release.
    """

    agent: _fields.Text
    """Name of the agent."""

    incarnation: _fields.Count
    """Incarnation of the agent process."""

    number: _fields.Count
    """Number of the departure, which a release returns."""


@attrs.frozen
class Release:
    """Tells an agent that the entry has forgotten it.

    The entry awaits no outcome and sends nothing before another report.
    """

    entry: int
    """Incarnation of the sending entry."""

    number: _fields.Count
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
