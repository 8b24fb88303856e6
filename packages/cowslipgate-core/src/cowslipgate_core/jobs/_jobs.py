"""Jobs as callers submit them and the answers that they get."""

import collections
import datetime
import enum
from typing import Annotated

import attrs
import msgspec

from cowslipgate_core import _charts
from cowslipgate_core.configuration import _configuration
from cowslipgate_core.messages import _resources

_Size = Annotated[float, msgspec.Meta(gt=0.0, le=3_600_000.0)]
_Name = Annotated[str, msgspec.Meta(max_length=128)]
_Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=86_400_000)]
MILLISECONDS_PER_SECOND = 1_000

_Tasks = Annotated[
    "tuple[TaskRequest, ...]",
    msgspec.Meta(min_length=1, max_length=_configuration.MAX_TASKS),
]


class Started(enum.StrEnum):
    """What is known of the tasks of a failed job."""

    NONE = "none"
    SOME = "some"
    UNKNOWN = "unknown"


class Failure(enum.StrEnum):
    """Why a job failed or was refused."""

    MALFORMED = "malformed"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN_SERVICE = "unknown_service"
    TOO_LARGE = "too_large"
    INFEASIBLE = "infeasible"
    QUOTA = "quota"
    OVERLOADED = "overloaded"
    NO_CONFIGURATION = "no_configuration"
    STORE_UNAVAILABLE = "store_unavailable"
    STOPPING = "stopping"
    ALREADY_CLAIMED = "already_claimed"
    TASK_FAILED = "task_failed"
    AGENT_LOST = "agent_lost"
    OUTCOME_UNKNOWN = "outcome_unknown"
    CANCELLED = "cancelled"
    DEADLINE = "deadline"
    UNSUPPORTED = "unsupported"


@attrs.frozen
class TaskRequest:
    """One task of a job."""

    payload: msgspec.Raw = msgspec.Raw(b"null")
    """JSON value that the target gets."""

    kind: _Name = ""
    """Kind of task; tasks of one kind run about equally fast."""

    size_ms: _Size = 100.0
    """Declared run time on a target of speed one, in milliseconds."""

    needs: _resources.Resources = _resources.Resources()
    """What the task needs of its target."""


@attrs.frozen
class JobRequest:
    """The body of a submission."""

    tasks: _Tasks
    """One to 410 tasks."""

    deadline_ms: _Milliseconds | None = None
    """Time until the caller gives up, or the default of the service."""

    label: _Name = ""
    """Label by which many jobs are cancelled together."""

    repeatable: bool = True
    """Whether the job may be submitted again."""


@attrs.frozen
class JobAnswer:
    """The one answer to a job: all results, or a failure."""

    job: str
    """Id of the job."""

    results: tuple[bytes, ...] = ()
    """JSON results in the order of the tasks, when the job is complete."""

    failure: Failure | None = None
    """Why the job failed, or None when it is complete."""

    started: Started = Started.NONE
    """What is known of its tasks, when it failed."""

    message: str = ""
    """What the caller can do."""

    path: str = ""
    """Path of the offending value in the job, or empty."""

    claimed_by: str = ""
    """Job that has the idempotency key, when it was claimed before."""

    claimed_status: str = ""
    """What is known here of that job."""


@attrs.frozen
class JobTerms:
    """How a job is run; those who take jobs in set it, not callers."""

    request: str = ""
    """Id by which the caller knows the request, or empty."""

    step: str = ""
    """What follows that id in the names of the tasks."""

    attempts: int = 1
    """Runs of a task that may fail before its job fails."""

    rerun_lost: bool = False
    """Whether a task runs again when it is certain that its run ended
    without a result."""

    priority: int = 0
    """Urgency; zero goes first."""

    objective: datetime.timedelta = datetime.timedelta()
    """Response time that callers are promised; zero when nothing is."""

    slowdown: float = 0.0
    """Multiple of the longest task added to the objective."""

    limit_per_target: int = 0
    """Tasks that may run on one target at once; zero for no limit."""

    prefers: str = ""
    """Label of the targets near the job's data, or empty."""

    away_factor: float = 1.0
    """Multiple of the run time on targets without that label."""

    unsupported: str = ""
    """What the job asks for and cannot be done, or empty."""

    checkpointed: bool = False
    """Whether a task that runs again goes on from its last checkpoint."""

    copies: bool = False
    """Whether a second run of a task may go on beside the first; the first
    to finish counts."""

    def name_task(self, index: int) -> str:
        """Return the name of a task, the same over all its attempts."""
        return f"{self.request}.{self.step}.{index}" if self.request else ""


DEFAULT_TERMS = JobTerms()


@attrs.define(eq=False)
class Attempt:
    """One try to run a task on one agent."""

    sequence: int
    """Number that grows with each attempt of the entry."""

    job: "Job"
    """Job of the task."""

    index: int
    """Index of the task in the job."""

    agent: str
    """Agent that the attempt is sent to."""

    incarnation: int
    """Incarnation of that agent."""

    sent_at: datetime.datetime
    """When it was sent."""

    machine: _charts.Machine
    """State, as in ``charts/attempt.toml``."""

    asked_at: datetime.datetime
    """When the agent was last asked about the attempt."""

    moved_at: datetime.datetime | None = None
    """When it was last stopped to run elsewhere, or None."""

    @property
    def task_id(self) -> str:
        """Id that the target echoes."""
        return f"{self.job.id}.{self.index}.{self.sequence}"

    @property
    def needless(self) -> bool:
        """Whether nobody waits for its result any more."""
        return self.job.failure is not None or self.index in self.job.results

    @property
    def run(self) -> int:
        """Number that rises over the attempts of a task, at every entry."""
        return int(self.sent_at.timestamp() * MILLISECONDS_PER_SECOND)


@attrs.define(eq=False)
class Job:
    """A job that an entry owns."""

    id: str
    """Id, unique over all entries."""

    team: str
    """Team of the caller."""

    service: str
    """Service that runs the tasks."""

    request: JobRequest
    """What was submitted."""

    submitted_at: datetime.datetime
    """When it was accepted."""

    deadline: datetime.datetime
    """When it fails if not complete."""

    machine: _charts.Machine
    """State, as in ``charts/job.toml``."""

    waiting: set[int] = attrs.Factory(set)
    """Indices of tasks without an attempt under way."""

    results: dict[int, bytes] = attrs.Factory(dict)
    """JSON results by index."""

    active: dict[int, Attempt] = attrs.Factory(dict)
    """Attempts that are not final, by sequence number."""

    known_started: bool = False
    """Whether an attempt is known to have started."""

    maybe_started: bool = False
    """Whether an attempt ended without knowing if it started."""

    failure: Failure | None = None
    """First failure."""

    message: str = ""
    """What the caller is told of the failure."""

    path: str = ""
    """Path of the offending value in the job, or empty."""

    settle_by: datetime.datetime | None = None
    """When a failed job is answered whatever its attempts' states."""

    traceparent: str = ""
    """W3C trace context of the caller, or empty."""

    terms: JobTerms = DEFAULT_TERMS
    """How it is run."""

    failed_runs: collections.Counter[int] = attrs.Factory(collections.Counter)
    """Runs that failed, by index."""

    checkpoints: dict[int, str] = attrs.Factory(dict)
    """Last checkpoints by index, where the terms allow them."""

    def note_checkpoint(self, index: int, checkpoint: str) -> None:
        """Take in the last checkpoint that a run of a task has made."""
        if checkpoint and self.terms.checkpointed:
            self.checkpoints[index] = checkpoint

    def covers(self, index: int) -> bool:
        """Tell whether a task has a result or a run under way."""
        return index in self.results or bool(self.list_runs(index))

    def list_runs(self, index: int) -> list[Attempt]:
        """Return the copies of a task that are under way.

        Without copies there is no other beside the one that is looked at, and
        a wide job would look at all its tasks for each of them.
        """
        if not self.terms.copies:
            return []
        return [a for a in self.active.values() if a.index == index]

    def derive_started(self) -> Started:
        """Tell from the attempts' charts what may be said of the tasks."""
        states = {
            attempt.machine.get_attribute("started")
            for attempt in self.active.values()
        }
        if self.known_started or "yes" in states:
            return Started.SOME
        if self.maybe_started or "unknown" in states:
            return Started.UNKNOWN
        return Started.NONE
