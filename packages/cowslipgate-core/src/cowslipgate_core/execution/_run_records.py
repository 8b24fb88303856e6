"""What an agent and a target that runs tasks under leases tell each other.

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
    """How a target answered an order to start a run."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNHEALTHY = "unhealthy"
    OUTRANKED = "outranked"
    REPLACED = "replaced"
    INVALID = "invalid"


@attrs.frozen
class RunName:
    """Names a run at a target."""

    task: str
    """Name of the task."""

    run: int
    """Number of the run."""


@attrs.frozen
class ListedEnd:
    """A run that has ended and is not acknowledged."""

    number: int
    """Number of the end, rising by one in each life of the target."""

    name: RunName
    """The run."""

    end: RunEnd
    """How it ended."""

    checkpoint: str = ""
    """Checkpoint from which the task may go on, or empty."""


@attrs.frozen
class Listing:
    """What a target says of its runs."""

    life: int
    """When the target started, in its own Unix milliseconds."""

    clock_ms: int
    """The target's clock when it made the listing."""

    running: tuple[RunName, ...]
    """Runs at work."""

    ended: tuple[ListedEnd, ...]
    """Ends that are not acknowledged, in the order of their numbers."""

    checkpoints: Mapping[RunName, str] = attrs.Factory(dict)
    """Latest checkpoints of the runs at work that have one."""


@attrs.frozen
class Outranked:
    """A target's answer to a watch: it knows a higher fencing token."""

    clock_ms: int
    """The target's clock."""


@attrs.frozen
class Replaced:
    """A target's answer to a watch: it is another than the one meant."""


WatchReply = Listing | Outranked | Replaced


@attrs.frozen
class CallWatch:
    """RunAction: renew the lease, acknowledge ends, and ask for a listing."""

    fence: int
    """Fencing token; zero before the first contact."""

    acknowledged: int
    """Highest number of an end that was taken in."""

    lease_end_ms: int
    """End of the lease on the target's clock; zero renews nothing."""

    wait_ms: int
    """Time that the target may wait for an end."""

    instance: str
    """Target that is meant, or empty for whoever answers."""


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
    """When the order expires and the lease ends, on the target's clock."""

    instance: str
    """Target that is meant."""

    checkpoint: str = ""
    """Checkpoint from which the task goes on, or empty."""


@attrs.frozen
class CallStop:
    """RunAction: stop a run, or keep it from starting."""

    name: RunName
    """The run."""

    fence: int
    """Fencing token."""

    instance: str
    """Target that is meant."""


@attrs.frozen
class EndRun:
    """RunAction: tell the executor how a run ended."""

    key: _executor_actions.AttemptKey
    """The attempt."""

    outcome: _attempts.Outcome
    """What became of it."""

    reason: _attempts.Reason
    """Why, when it did not finish."""

    run_ms: float
    """Time since the order to start it, in milliseconds."""

    checkpoint: str = ""
    """Latest checkpoint that is known, or empty."""


RunAction = CallWatch | CallStart | CallStop | EndRun
