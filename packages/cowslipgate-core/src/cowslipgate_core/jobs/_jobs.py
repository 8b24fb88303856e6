"""Submitted jobs, their attempts and the answers to callers."""

import collections
import datetime
import enum
from typing import Annotated

import attrs
import msgspec

from cowslipgate_core import _charts
from cowslipgate_core.configuration import _configuration
from cowslipgate_core.messages import _resources
from cowslipgate_core.placement import _interference

_Size = Annotated[float, msgspec.Meta(gt=0.0, le=3_600_000.0)]
_Name = Annotated[str, msgspec.Meta(max_length=128)]
_Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=86_400_000)]
MILLISECONDS_PER_SECOND = 1_000

_Tasks = Annotated[
    "tuple[TaskRequest, ...]",
    msgspec.Meta(min_length=1, max_length=_configuration.MAX_TASKS),
]


class Started(enum.StrEnum):
    """Whether tasks of a failed job have started."""

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
    """JSON value for the target."""

    kind: _Name = ""
    """Kind of task; tasks of one kind run about equally fast."""

    size_ms: _Size = 100.0
    """Declared run time on a target of speed one, in milliseconds."""

    needs: _resources.Resources = _resources.Resources()
    """Resources that the task needs at its target."""


@attrs.frozen
class JobRequest:
    """The body of a submission."""

    tasks: _Tasks
    """One to 410 tasks."""

    deadline_ms: _Milliseconds | None = None
    """Time allowed in milliseconds, or None for the service's default."""

    label: _Name = ""
    """Label to cancel many jobs with one request, or empty."""

    repeatable: bool = True
    """Whether the job may be submitted again."""


@attrs.frozen
class JobAnswer:
    """The only answer to a job: all results, or a failure."""

    job: str
    """Id of the job."""

    results: tuple[bytes, ...] = ()
    """JSON results in the order of the tasks, when the job is complete."""

    failure: Failure | None = None
    """Why the job failed, or None when it is complete."""

    started: Started = Started.NONE
    """Whether tasks have started, when the job failed."""

    message: str = ""
    """Description of the failure and its remedy, or empty."""

    path: str = ""
    """Path of the offending value in the job, or empty."""

    claimed_by: str = ""
    """Id of the job that has claimed the idempotency key, or empty."""

    claimed_status: str = ""
    """State of that job as this entry knows it, or empty."""

    retry_after: datetime.timedelta | None = None
    """Time after which the job may be sent again, or None if unknown."""

    forecast: datetime.timedelta | None = None
    """Time that the job would have taken, or None without a forecast."""

    rate: float = 0.0
    """Rate of the forecast, in seconds of work at speed one per second."""


@attrs.frozen
class JobTerms:
    """How a job is run; set by the code that accepts it, not by callers."""

    request: str = ""
    """Caller's id of the request, or empty; the first part of task names."""

    step: str = ""
    """Second part of the task names, between request id and index."""

    attempts: int = 1
    """Number of failed runs of one task at which its job fails."""

    rerun_lost: bool = False
    """Whether a task runs again when its run has certainly ended without a
    result."""

    priority: int = 0
    """Priority; zero is the most urgent."""

    objective: datetime.timedelta = datetime.timedelta()
    """Response-time objective; zero for none."""

    slowdown: float = 0.0
    """Multiple of the run time of the longest task, added to the objective."""

    limit_per_target: int = 0
    """Most tasks that run on one target at once; zero for no limit."""

    preferred_label: str = ""
    """Label of the targets near the job's data, or empty."""

    away_factor: float = 1.0
    """Factor of the run time on targets without that label."""

    unsupported: str = ""
    """Requested feature that is not supported, or empty."""

    checkpointed: bool = False
    """Whether a task that runs again resumes from its last checkpoint."""

    resource: str = ""
    """Host and path by which the caller names the job, or empty."""

    copies: bool = False
    """Whether a task may have a speculative copy; the first result counts."""

    route: str = ""
    """Name of the route of its request, or empty."""

    share: float = 0.0
    """Share of the started work that the route is due under overload."""

    def name_task(self, index: int) -> str:
        """Return the name that all attempts of a task share, or empty."""
        return f"{self.request}.{self.step}.{index}" if self.request else ""


DEFAULT_TERMS = JobTerms()


@attrs.define(eq=False)
class Attempt:
    """One try to run a task on one agent."""

    sequence: int
    """Number that rises with each attempt of the entry."""

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

    machine: _charts.StateMachine
    """State, as in ``charts/attempt.toml``."""

    asked_at: datetime.datetime
    """When the agent was last asked about the attempt."""

    unanswered: int = 0
    """Withdrawals that the agent has not answered. Each gets one answer, so
    that it is above zero for good once one is lost."""

    stop_sent_at: datetime.datetime | None = None
    """When a stop was last sent because the run had stalled, or None."""

    preempted: bool = False
    """Whether it was told to stop so that a more urgent job gets its room."""

    neighbours: _interference.Neighbours | None = None
    """What ran beside it, once it is final; None unless it was observed."""

    @property
    def task_id(self) -> str:
        """Id that the target echoes."""
        return f"{self.job.id}.{self.index}.{self.sequence}"

    @property
    def unneeded(self) -> bool:
        """Whether its job has failed or its task has a result."""
        return self.job.failure is not None or self.index in self.job.results

    @property
    def must_stop(self) -> bool:
        """Whether it is unneeded or preempted, or its job is suspended."""
        return self.preempted or self.unneeded or self.job.suspended

    @property
    def run(self) -> int:
        """Fencing token of the task: time of sending in epoch milliseconds.

        It rises over the attempts of a task at all entries.
        """
        return int(self.sent_at.timestamp() * MILLISECONDS_PER_SECOND)


@attrs.define(eq=False)
class Job:
    """A job of one entry and its progress."""

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

    machine: _charts.StateMachine
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
    """Whether it is unknown if some ended attempt had started."""

    failure: Failure | None = None
    """First failure."""

    message: str = ""
    """Description of the failure for the caller."""

    path: str = ""
    """Path of the offending value in the job, or empty."""

    resolve_by: datetime.datetime | None = None
    """When a failed job is answered even if attempts are not final, or
    None."""

    traceparent: str = ""
    """W3C trace context of the caller, or empty."""

    terms: JobTerms = DEFAULT_TERMS
    """How it is run."""

    caller_seen_at: datetime.datetime | None = None
    """When its caller was last known to be connected, or None if callers are
    not probed."""

    ends_early: bool = False
    """Whether its entry stops before the time that its caller allows."""

    suspended: bool = False
    """Whether its tasks are stopped and not sent until its caller is seen."""

    failed_runs: collections.Counter[int] = attrs.Factory(collections.Counter)
    """Number of failed runs by index."""

    preemptions: int = 0
    """Runs stopped for more urgent jobs since one of its tasks finished."""

    checkpoints: dict[int, str] = attrs.Factory(dict)
    """Last checkpoints by index, where the terms allow them."""

    def record_checkpoint(self, index: int, checkpoint: str) -> None:
        """Record the last checkpoint of a run, if the terms allow it."""
        if checkpoint and self.terms.checkpointed:
            self.checkpoints[index] = checkpoint

    def has_result_or_copy(self, index: int) -> bool:
        """Return whether a task has a result or a copy that may give one."""
        return index in self.results or bool(self.list_runs(index))

    def list_runs(self, index: int) -> list[Attempt]:
        """Return the active attempts of a task; empty without copies.

        Without copies a task has at most one attempt. Skipping the scan keeps
        the work on a job with many tasks from growing quadratically.
        """
        if not self.terms.copies:
            return []
        return [a for a in self.active.values() if a.index == index]

    def derive_started(self) -> Started:
        """Return whether tasks have started, from the attempts' states."""
        states = {
            attempt.machine.get_attribute("started")
            for attempt in self.active.values()
        }
        if self.known_started or "yes" in states:
            return Started.SOME
        if self.maybe_started or "unknown" in states:
            return Started.UNKNOWN
        return Started.NONE
