"""Decisions and changes of state of an agent that are worth a log line."""

import attrs
import logbook

import cowslipgate_transport as transport


@attrs.frozen
class TargetSeen(transport.Change):
    """The target beside the agent announced itself for the first time."""

    instance: str
    """Id and life of the target."""

    service: str
    """Service that it belongs to."""

    address: str
    """Its address."""


@attrs.frozen
class TargetStateChanged(transport.Change):
    """The target counts for something else."""

    before: str
    """State that it left, as in ``charts/target.toml``."""

    state: str
    """State that it is in."""

    running: int
    """Tasks that run there."""


@attrs.frozen
class TargetUnclear(transport.Change):
    """An answer of the target could not be used."""

    problem: str
    """What is wrong with it."""


@attrs.frozen
class EntryLinked(transport.Change):
    """The agent connects to an entry."""

    entry: int
    """Incarnation of the entry."""

    address: str
    """Its address."""


@attrs.frozen
class EntryLost(transport.Change):
    """An entry is given up; its tasks are stopped."""

    entry: int
    """Incarnation of the entry."""

    running: int
    """Tasks of the entry that ran or waited here."""


@attrs.frozen
class TaskEnded(transport.Change):
    """A task that was ordered has ended or did not start."""

    task: str
    """Name of the task, which begins with the id of the request."""

    run: int
    """Number of the run."""

    entry: int
    """Incarnation of the entry that ordered it."""

    outcome: str
    """What became of it."""

    reason: str
    """Why, when it did not finish."""

    wait_ms: int
    """Time in the agent's queue."""

    run_ms: int
    """Time at the target."""


@attrs.frozen
class TasksRefused(transport.Change):
    """Orders were not taken; nothing of them ran."""

    entry: int
    """Incarnation of the entry that sent them."""

    attempts: tuple[int, ...]
    """Their numbers at the entry."""

    tasks: tuple[str, ...]
    """Names of the tasks, in the same order, which begin with the ids of
    their requests; empty where the order is not remembered."""

    reasons: tuple[str, ...]
    """Why, in the same order."""

    queued: int
    """Tasks that ran or waited here."""


@transport.get_level.register(EntryLost)
@transport.get_level.register(TargetUnclear)
def _warn(change: transport.Change) -> int:
    return logbook.WARNING
