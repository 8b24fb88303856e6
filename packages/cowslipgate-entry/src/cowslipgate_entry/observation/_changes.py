"""Log records of an entry: its decisions and changes of state."""

import attrs
import logbook

import cowslipgate_transport as transport

Change = transport.Change


@attrs.frozen
class ModelsChanged(Change):
    """Other labels than before name models whose targets share a speed."""

    models: tuple[str, ...]
    """Labels of each model, separated by commas."""

    targets: int
    """Number of targets that have one of these models."""


@attrs.frozen
class EstimatesRestored(Change):
    """Stored sizes and speeds are in use as a prior."""

    rows: int
    """Number of snapshots, one for each failure domain."""

    histories: int
    """Number of histories of run times."""

    speeds: int
    """Number of targets whose speed was stored."""

    age_ms: int
    """Age of the newest snapshot in milliseconds."""


@attrs.frozen
class InterferenceFound(Change):
    """Tasks of a route are slower beside those of another one."""

    kind: str
    """Route whose tasks are slower."""

    beside: str
    """Route beside whose tasks they are."""

    slowdown: float
    """Part by which their run time is longer; 0.3 is 30%."""

    runs: int
    """Runs beside the other route that show it; older ones count less."""


@attrs.frozen
class InterferenceGone(Change):
    """Recent runs no longer show an interference that was found."""

    kind: str
    """Route whose tasks were slower."""

    beside: str
    """Route beside whose tasks they were."""

    slowdown: float
    """Part by which their run time was longer when last found."""

    runs: int
    """Runs beside the other route that showed it then."""


@attrs.frozen
class EntryStateChanged(Change):
    """The entry's state changed."""

    before: str
    """Previous state."""

    state: str
    """Current state."""


@attrs.frozen
class ConfigurationAdopted(Change):
    """A version of the configuration came into force at this entry."""

    version: int
    """Version now in force."""


@attrs.frozen
class ConfigurationAsked(Change):
    """A newer version could not be read from the store; an agent was asked."""

    version: int
    """Version that the agent reported."""

    agent: str
    """Name of the agent that was asked to relay it."""


@attrs.frozen
class MemberJoined(Change):
    """Another entry became a member."""

    incarnation: int
    """Incarnation of the entry."""

    http: str
    """``host:port`` for callers."""

    domain: str
    """Failure domain."""


@attrs.frozen
class MemberLapsed(Change):
    """Another entry left or its membership expired."""

    incarnation: int
    """Incarnation of the entry."""

    http: str
    """``host:port`` for callers."""


@attrs.frozen
class AgentSeen(Change):
    """The first report of an agent or of a newer incarnation arrived."""

    agent: str
    """Name of the agent."""

    incarnation: int
    """Incarnation of the agent."""

    service: str
    """Service of its target, empty for none."""

    domain: str
    """Failure domain."""


@attrs.frozen
class AgentStateChanged(Change):
    """The state of an agent's target changed."""

    agent: str
    """Name of the agent."""

    before: str
    """Previous state."""

    state: str
    """Current state."""


@attrs.frozen
class AgentLeft(Change):
    """An agent disconnected on purpose to use other entries."""

    agent: str
    """Name of the agent."""

    incarnation: int
    """Incarnation of the agent."""


@attrs.frozen
class AgentLost(Change):
    """An agent sent no report within its time limit."""

    agent: str
    """Name of the agent."""

    incarnation: int
    """Incarnation of the agent."""


@attrs.frozen
class StoreReachable(Change):
    """The table service answers again."""


@attrs.frozen
class StoreUnreachable(Change):
    """The table service stopped answering."""

    problem: str = ""
    """Result or error of the last call."""


@attrs.frozen
class DrainBegan(Change):
    """The entry started its drain and refuses new jobs."""

    jobs: int
    """Jobs in flight."""


@attrs.frozen
class DrainEnded(Change):
    """The drain ended and the entry stops."""

    jobs: int
    """Jobs cut off; zero when the drain finished within its timeout."""


@attrs.frozen
class AddressUnprotected(Change):
    """An address other than loopback was bound without keys."""

    address: str
    """Address bound."""

    missing: str
    """Setting that would protect it."""


@attrs.frozen
class StartFailed(Change):
    """The process cannot start."""

    error: str
    """Type of the error."""

    problem: str
    """What is wrong."""


@attrs.frozen
class HandlerFailed(Change):
    """A handler raised an exception; logged once for each kind."""

    error: str
    """Type of the exception."""

    handler: str
    """Name of the handler."""

    problem: str
    """Message of the exception."""

    traceback: str
    """Formatted traceback."""


@attrs.frozen
class RequestRefused(Change):
    """A request was refused before a job was created."""

    request: str
    """Caller's id of the request."""

    route: str
    """Route of the request."""

    failure: str
    """Kind of refusal."""

    problem: str
    """What is wrong with the request."""


@attrs.frozen
class ConfigurationRejected(Change):
    """A stored configuration is invalid; the previous one stays in force."""

    problem: str
    """Every fault of the configuration."""


@attrs.frozen
class EvacuationChanged(Change):
    """Other failure domains than before are evacuated."""

    domains: tuple[str, ...]
    """Domains that are evacuated now."""

    version: int
    """Version of the set."""

    source: str
    """``store``, or ``agent`` if an agent told this entry."""


@attrs.frozen
class EvacuationConfirmed(Change):
    """Each known agent has confirmed the evacuated domains."""

    domains: tuple[str, ...]
    """Domains that are evacuated."""

    version: int
    """Version of the set."""

    agents: int
    """Agents known to this entry."""

    took_ms: int
    """Time since this entry learned the set, in milliseconds."""


@attrs.frozen
class EvacuationIgnored(Change):
    """A row that requests an evacuation has no effect."""

    key: str
    """Key of the row."""

    version: int
    """Version of the row."""

    problem: str
    """Why it has none."""


@attrs.frozen
class EvacuationOfUnknownDomain(Change):
    """No known entry or agent is in an evacuated domain."""

    domain: str
    """The domain."""


@attrs.frozen
class CancellationUnmatched(Change):
    """A caller cancelled a job that no entry is known to hold."""

    resource: str
    """Host and path by which the caller names the job."""

    replies: tuple[str, ...]
    """Address of each entry that was asked, and what it replied."""

    unknown: bool
    """Whether an entry that may hold the job has not replied."""

    stored: bool
    """Whether the cancellation was stored before the caller was answered."""


@attrs.frozen
class JobRefused(Change):
    """A job was refused; none of its tasks ran."""

    request: str
    """Caller's id of the request, or empty."""

    job: str
    """Id of the job."""

    label: str
    """Label of the job."""

    tasks: int
    """Number of its tasks."""

    failure: str
    """Kind of refusal."""

    message: str
    """Reason, with the values that decided it."""

    waiting: int
    """Tasks of the service waiting at this entry."""

    agents: int
    """Agents known to this entry."""

    forecast_ms: int | None = None
    """Time that it would have taken, or None without a forecast."""

    rate: float = 0.0
    """Seconds of work at speed one that this entry starts in a second."""


@attrs.frozen
class RunStalled(Change):
    """A run was asked to stop as it takes far longer than expected."""

    request: str
    """Caller's id of the request, or empty."""

    job: str
    """Id of the job."""

    task: int
    """Index of the task in the job."""

    agent: str
    """Agent that the run is at."""

    elapsed_ms: int
    """Time since it was sent, in milliseconds."""


@attrs.frozen
class RunPreempted(Change):
    """A run was asked to stop so that a more urgent job gets its room."""

    request: str
    """Caller's id of the request, or empty."""

    job: str
    """Id of the job."""

    task: int
    """Index of the task in the job."""

    agent: str
    """Agent that the run is at."""

    for_request: str
    """Caller's id of the more urgent request, or empty."""

    for_job: str
    """Id of the more urgent job."""

    lost_core_seconds: float
    """Work that is done again, in core-seconds."""

    reason: str
    """What was weighed."""


@attrs.frozen
class CallerUnseen(Change):
    """A job is suspended, as its caller was not known to be connected."""

    request: str
    """Caller's id of the request, or empty."""

    job: str
    """Id of the job."""

    unseen_ms: int
    """Time since the caller was last known to be connected, in ms."""

    runs: int
    """Runs that were told to stop."""


@attrs.frozen
class CallerSeen(Change):
    """A suspended job goes on, as its caller was seen again."""

    request: str
    """Caller's id of the request, or empty."""

    job: str
    """Id of the job."""


@attrs.frozen
class JobEnded(Change):
    """A job was answered; ``*_ms`` fields are milliseconds."""

    request: str
    """Caller's id of the request, or empty."""

    job: str
    """Id of the job."""

    label: str
    """Label of the job."""

    tasks: int
    """Number of its tasks."""

    outcome: str
    """``complete``, or the kind of failure."""

    message: str
    """Why it failed."""

    started: str
    """Whether tasks of a failed job ran: ``none``, ``some`` or ``unknown``."""

    took_ms: int
    """Time from acceptance to the answer."""

    first_sent_ms: int | None
    """Time from acceptance to the first send, None if nothing was sent."""

    last_sent_ms: int | None
    """Time from acceptance to the last send, None if nothing was sent."""

    longest_wait_ms: int
    """Longest wait of a task in an agent's queue."""

    longest_run_ms: int
    """Longest run of a task."""

    slowest_agent: str
    """Agent of the longest run."""

    sent: int
    """Attempts sent."""

    repeats: tuple[str, ...]
    """Outcome, reason and agent of each attempt that gave no result."""


@transport.get_level.register(AgentLost)
@transport.get_level.register(StoreUnreachable)
@transport.get_level.register(ConfigurationRejected)
@transport.get_level.register(EvacuationIgnored)
@transport.get_level.register(EvacuationOfUnknownDomain)
@transport.get_level.register(AddressUnprotected)
def _get_warning_level(change: Change) -> int:
    return logbook.WARNING


@transport.get_level.register(StartFailed)
@transport.get_level.register(HandlerFailed)
def _get_error_level(change: Change) -> int:
    return logbook.ERROR
