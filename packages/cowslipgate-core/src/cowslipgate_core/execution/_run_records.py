"""Calls and replies between an agent and a target that leases its runs.

Times on the target's clock are whole milliseconds.
"""

from collections.abc import Mapping
import enum

import attrs

from cowslipgate_core.execution import _executor_actions
from cowslipgate_core.messages import _attempts


class RunEnd(enum.StrEnum):
    """How a run ended, as its target lists it."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"


class StartReply(enum.StrEnum):
    """A target's answer to an order to start a run."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNHEALTHY = "unhealthy"
    STALE_TOKEN = "outranked"
    REPLACED = "replaced"
    INVALID = "invalid"


@attrs.frozen
class RunName:
    """Identifier of a run at a target."""

    task: str
    """Name of the task."""

    run: int
    """Number of the run of this task."""


@attrs.frozen
class ListedEnd:
    """An ended run that the agent has not acknowledged."""

    number: int
    """Number of the end, rising by one in each incarnation of the target."""

    name: RunName
    """The run."""

    end: RunEnd
    """How it ended."""

    checkpoint: str = ""
    """Checkpoint from which the task may resume, or empty."""


@attrs.frozen
class Listing:
    """A target's list of its active and ended runs."""

    incarnation: int
    """Start of the target's incarnation, in its own Unix milliseconds."""

    clock_ms: int
    """The target's clock at the time of the listing."""

    running: tuple[RunName, ...]
    """Active runs."""

    ended: tuple[ListedEnd, ...]
    """Ends that are not acknowledged, in the order of their numbers."""

    checkpoints: Mapping[RunName, str] = attrs.Factory(dict)
    """Latest checkpoints of the active runs that have one."""

    complete: bool = True
    """Whether each active run could be read; if not, a run that is missing
    may be active all the same."""

    problem: str = ""
    """What is wrong with a row that was passed over, or empty."""


@attrs.frozen
class StaleToken:
    """A target's answer to a watch with a stale fencing token."""

    clock_ms: int
    """The target's clock."""


@attrs.frozen
class Replaced:
    """A target's answer to a watch that was addressed to another target."""


WatchReply = Listing | StaleToken | Replaced


@attrs.frozen
class CallWatch:
    """RunAction: renew the lease, acknowledge ends, and ask for a listing."""

    fence: int
    """Fencing token; zero before the first contact."""

    acknowledged: int
    """Highest number of an end that the agent has handled."""

    lease_end_ms: int
    """End of the lease on the target's clock, or zero to renew nothing."""

    wait_ms: int
    """Time that the target may wait for a run to end."""

    instance: str
    """Id of the addressed target, or empty for any."""


@attrs.frozen
class CallStart:
    """RunAction: start a run."""

    key: _executor_actions.AttemptKey
    """The attempt."""

    name: RunName
    """The run."""

    payload: bytes
    """JSON payload of the task."""

    fence: int
    """Fencing token."""

    lease_end_ms: int
    """Time on the target's clock at which the order and the lease expire."""

    instance: str
    """Id of the addressed target."""

    checkpoint: str = ""
    """Checkpoint from which the task resumes, or empty."""


@attrs.frozen
class CallStop:
    """RunAction: stop a run, or prevent it from starting."""

    name: RunName
    """The run."""

    fence: int
    """Fencing token."""

    instance: str
    """Id of the addressed target."""


@attrs.frozen
class EndRun:
    """RunAction: report the end of a run to the executor."""

    key: _executor_actions.AttemptKey
    """The attempt."""

    outcome: _attempts.Outcome
    """Outcome of the attempt."""

    reason: _attempts.Reason
    """Reason, if it did not finish."""

    run_ms: float
    """Time since the order to start it, in milliseconds."""

    checkpoint: str = ""
    """Latest checkpoint that is known, or empty."""


RunAction = CallWatch | CallStart | CallStop | EndRun
