"""Actions that the ledger returns and its entry performs."""

import attrs

from cowslipgate_core.jobs import _jobs
from cowslipgate_core.messages import _attempts
from cowslipgate_core.placement import _preemption


@attrs.frozen
class SendOrders:
    """Action: dispatch attempts to one agent."""

    agent: str
    """Name of the agent."""

    incarnation: int
    """Incarnation of the agent."""

    orders: tuple[_attempts.Order, ...]
    """The attempts."""

    service: str = ""
    """Service of the agent's target for which they were chosen."""


@attrs.frozen
class SendWithdraw:
    """Action: withdraw attempts from one agent."""

    agent: str
    """Name of the agent."""

    incarnation: int
    """Incarnation of the agent."""

    attempts: tuple[int, ...]
    """Sequence numbers of the attempts."""

    stop: bool
    """Whether running attempts are stopped too."""

    stalled: bool = False
    """Whether the target appears to be the cause."""

    repeated: bool = False
    """Whether it stops only attempts that it was told to stop before."""


@attrs.frozen
class AnswerJob:
    """Action: answer the caller of a job."""

    job: _jobs.Job
    """The job, in a final state."""

    answer: _jobs.JobAnswer
    """The answer to its caller."""


@attrs.frozen
class SuspendJob:
    """Action: report that a job is suspended, as its caller was not seen."""

    job: _jobs.Job
    """The job."""


@attrs.frozen
class ResumeJob:
    """Action: report that a job goes on, as its caller was seen again."""

    job: _jobs.Job
    """The job."""


@attrs.frozen
class SendSigns:
    """Action: tell an agent when callers were last known to be connected."""

    agent: str
    """Name of the agent."""


@attrs.frozen
class ReportPreemption:
    """Action: report that a run is stopped for a more urgent job."""

    attempt: _jobs.Attempt
    """Attempt that is withdrawn."""

    preemption: _preemption.Preemption
    """Why it is stopped."""

    for_request: str
    """Caller's id of the request that it makes room for, or empty."""


LedgerAction = (
    SendOrders
    | SendWithdraw
    | AnswerJob
    | SuspendJob
    | ResumeJob
    | SendSigns
    | ReportPreemption
)


def merge_withdraws(actions: list[LedgerAction]) -> list[LedgerAction]:
    """Return the actions with withdrawals of one kind merged by agent."""
    merged: list[LedgerAction] = []
    attempts: dict[tuple[str, int, bool, bool], list[int]] = {}
    repeated: dict[tuple[str, int, bool, bool], bool] = {}
    for action in actions:
        if not isinstance(action, SendWithdraw):
            merged.append(action)
            continue
        key = (
            action.agent,
            action.incarnation,
            action.stop,
            action.stalled,
        )
        attempts.setdefault(key, []).extend(action.attempts)
        repeated[key] = repeated.get(key, True) and action.repeated
    for key, sequences in attempts.items():
        agent, incarnation, stop, stalled = key
        merged.append(
            SendWithdraw(
                agent,
                incarnation,
                tuple(sequences),
                stop,
                stalled,
                repeated[key],
            )
        )
    return merged
