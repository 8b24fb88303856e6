"""Records of an agent's decisions and state changes, one per log line."""

import attrs
import logbook

import cowslipgate_transport as transport


@attrs.frozen
class TargetSeen(transport.Change):
    """A new target, or a new incarnation of it, announced itself."""

    instance: str
    """Id and start time of the target, or its address if they are unknown."""

    service: str
    """Service that the target belongs to."""

    address: str
    """Address of the target, ``http://host:port``."""


@attrs.frozen
class TargetStateChanged(transport.Change):
    """The state of the target changed."""

    before: str
    """Previous state, as in ``charts/target.toml``."""

    state: str
    """New state."""

    running: int
    """Tasks running at the target."""


@attrs.frozen
class TargetUnclear(transport.Change):
    """A message from the target was invalid."""

    problem: str
    """Fault in the message."""


@attrs.frozen
class EntryLinked(transport.Change):
    """The agent opened a connection to an entry."""

    entry: int
    """Incarnation of the entry."""

    address: str
    """Address of the entry."""


@attrs.frozen
class EntryDisconnected(transport.Change):
    """The connection to an entry broke; it may have done so in a pause."""

    entry: int
    """Incarnation of the entry."""

    running: int
    """Tasks of the entry that ran or were queued at the agent."""

    unconfirmed_ms: int
    """Time in milliseconds since the newest message was sent that the entry
    has confirmed; -1 if it has confirmed none."""


@attrs.frozen
class EntryLost(transport.Change):
    """An entry was lost or left; its tasks are stopped."""

    entry: int
    """Incarnation of the entry."""

    running: int
    """Tasks of the entry that ran or were queued at the agent."""

    unconfirmed_ms: int
    """Time in milliseconds since the newest message was sent that the entry
    has confirmed; -1 if it has confirmed none. Close to the limit when the
    entry was silent, or heard nothing; less when its connection broke."""


@attrs.frozen
class AgentPaused(transport.Change):
    """The agent stood still; it asks what became of its runs."""

    paused_ms: int
    """Time since its last event in milliseconds."""

    suspended_ms: int
    """Part of it, in milliseconds, for which the VM was suspended: the steady
    clock did not count it."""

    running: int
    """Tasks at the target."""


@attrs.frozen
class OrdersHeld(transport.Change):
    """Orders wait for a newer sign that they are wanted."""

    entry: int
    """Incarnation of the entry."""

    attempts: tuple[int, ...]
    """Attempt numbers at the entry."""

    unconfirmed_ms: int
    """Time in milliseconds since the newest message was sent that the entry
    has confirmed."""

    sign_ms: int
    """Age of the oldest sign that they rest on, in milliseconds; -1 if there
    is none."""

    required_ms: int
    """Age of a sign in milliseconds up to which the target's lease ends in
    time for a run; -1 without a lease."""


@attrs.frozen
class RunUnseen(transport.Change):
    """A run is stopped: the sign that it rests on is too old."""

    task: str
    """Name of the task, which begins with the id of the request."""

    run: int
    """Number of the run."""

    entry: int
    """Incarnation of the entry that dispatched it."""

    sign_ms: int
    """Age of the sign in milliseconds."""

    unconfirmed_ms: int
    """Time in milliseconds since the newest message was sent that the entry
    has confirmed. Close to ``sign_ms`` if the entry was silent; less if it
    was there and had not seen the caller."""


@attrs.frozen
class RunSuperseded(transport.Change):
    """A run is stopped: its task was ordered again under a higher number."""

    task: str
    """Name of the task, which begins with the id of the request."""

    run: int
    """Number of the run."""

    entry: int
    """Incarnation of the entry that dispatched it."""

    successor: int
    """Number of the run that was ordered."""


@attrs.frozen
class TaskEnded(transport.Change):
    """A dispatched task ended or could not be started."""

    task: str
    """Name of the task, which begins with the id of the request."""

    run: int
    """Number of the run."""

    entry: int
    """Incarnation of the entry that dispatched it."""

    outcome: str
    """Outcome, a value of ``core.Outcome``."""

    reason: str
    """Reason why it did not finish, or empty."""

    wait_ms: int
    """Time in the agent's queue, in milliseconds."""

    run_ms: int
    """Time at the target, in milliseconds."""

    life: str = ""
    """Id and start time of the target that the order to start was decided
    for; empty if none was sent."""

    announced_ms: int = -1
    """Age of its announcement at that time, in milliseconds."""

    token: int = -1
    """Fencing token of the order."""


@attrs.frozen
class EvacuationChanged(transport.Change):
    """Other failure domains than before are evacuated."""

    domains: tuple[str, ...]
    """Domains that are evacuated now."""

    version: int
    """Version of the set."""

    source: str
    """``entry`` or ``store``."""

    refuses: bool
    """Whether this agent refuses orders because of it."""


@attrs.frozen
class TasksRefused(transport.Change):
    """The agent refused orders; none of their tasks ran."""

    entry: int
    """Incarnation of the entry that sent them."""

    attempts: tuple[int, ...]
    """Attempt numbers at the entry."""

    tasks: tuple[str, ...]
    """Names of the tasks, in the same order. Each begins with the id of its
    request, and is empty when the order is no longer remembered."""

    reasons: tuple[str, ...]
    """Reasons of the refusals, in the same order."""

    queued: int
    """Tasks running at the target when the orders were refused."""


@transport.get_level.register(AgentPaused)
@transport.get_level.register(EntryLost)
@transport.get_level.register(RunSuperseded)
@transport.get_level.register(RunUnseen)
@transport.get_level.register(TargetUnclear)
def _get_warning_level(change: transport.Change) -> int:
    return logbook.WARNING
