"""What the ledger asks its entry to do."""

import attrs

from cowslipgate_core.jobs import _jobs
from cowslipgate_core.messages import _attempts


@attrs.frozen
class SendOrders:
    """Action: dispatch attempts to one agent."""

    agent: str
    """Name of the agent."""

    incarnation: int
    """Incarnation of the agent."""

    orders: tuple[_attempts.Order, ...]
    """The attempts."""


@attrs.frozen
class SendWithdraw:
    """Action: ask one agent not to start attempts."""

    agent: str
    """Name of the agent."""

    incarnation: int
    """Incarnation of the agent."""

    attempts: tuple[int, ...]
    """Sequence numbers of the attempts."""

    stop: bool
    """Whether running attempts are stopped too."""

    stalled: bool = False
    """Whether the target seems to be to blame."""


@attrs.frozen
class AnswerJob:
    """Action: answer the caller of a job."""

    job: _jobs.Job
    """The job, in a final state."""

    answer: _jobs.JobAnswer
    """What the caller gets."""


LedgerAction = SendOrders | SendWithdraw | AnswerJob


def merge_withdraws(actions: list[LedgerAction]) -> list[LedgerAction]:
    """Return the actions with one withdrawal for each agent."""
    merged: list[LedgerAction] = []
    attempts: dict[tuple[str, int, bool, bool], list[int]] = {}
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
    for (agent, incarnation, stop, stalled), found in attempts.items():
        merged.append(
            SendWithdraw(agent, incarnation, tuple(found), stop, stalled)
        )
    return merged
