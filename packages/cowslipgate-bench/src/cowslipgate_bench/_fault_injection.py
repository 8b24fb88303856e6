"""Faults of a seeded schedule and how each is injected."""

import functools
import random
import signal

import attrs

from cowslipgate_bench import _cluster
from cowslipgate_bench import _deployment
from cowslipgate_bench import _proxy

DELAY_SECONDS = 0.2
PATCHES = 2
TABLE_MODES = ("down", "lose_answers", "limited")


@attrs.frozen
class KillEntry:
    """SIGKILL an entry and start it again at the same addresses."""

    number: int
    """Number of the entry."""


@attrs.frozen
class StopEntry:
    """SIGTERM an entry and start it again at the same addresses."""

    number: int
    """Number of the entry."""


@attrs.frozen
class KillAgent:
    """SIGKILL an agent and start it again."""

    number: int
    """Number of the agent."""


@attrs.frozen
class StopAgent:
    """SIGTERM an agent and start it again."""

    number: int
    """Number of the agent."""


@attrs.frozen
class PauseEntry:
    """SIGSTOP an entry until the round ends."""

    number: int
    """Number of the entry."""


@attrs.frozen
class PauseAgent:
    """SIGSTOP an agent until the round ends."""

    number: int
    """Number of the agent."""


@attrs.frozen
class FaultLink:
    """Inject a fault into an entry's proxied link until the round ends."""

    number: int
    """Number of the entry."""

    fault: _proxy.Fault
    """What happens to the link's bytes, and for which peers."""


@attrs.frozen
class ResetTarget:
    """Reset the connections between an agent and its target."""

    number: int
    """Number of the target."""


@attrs.frozen
class FaultTable:
    """Switch the table service to a faulty mode until the round ends."""

    mode: str
    """One of ``TABLE_MODES``."""


@attrs.frozen
class CancelWave:
    """Cancel every job with the label ``wave``."""


@attrs.frozen
class RacePatches:
    """Send two configuration patches of the same version at once."""


Fault = (
    KillEntry
    | StopEntry
    | KillAgent
    | StopAgent
    | PauseEntry
    | PauseAgent
    | FaultLink
    | ResetTarget
    | FaultTable
    | CancelWave
    | RacePatches
)


def draw_fault(generator: random.Random, entries: int, agents: int) -> Fault:
    """Return a random fault of one of ``entries`` or ``agents``."""
    kind = generator.choice(_KINDS)
    entry, agent = generator.randrange(entries), generator.randrange(agents)
    if kind is FaultLink:
        return FaultLink(entry, _draw_link_fault(generator, agent))
    if kind is FaultTable:
        return FaultTable(generator.choice(TABLE_MODES))
    if kind in (KillEntry, StopEntry, PauseEntry):
        return kind(entry)
    if kind in (KillAgent, StopAgent, PauseAgent, ResetTarget):
        return kind(agent)
    return kind()


def _draw_link_fault(generator: random.Random, agent: int) -> _proxy.Fault:
    peer = generator.choice(("agent-", f"agent-{agent}", "entry-", ""))
    direction = frozenset({generator.choice(list(_proxy.Direction))})
    return generator.choice(
        (
            _proxy.Fault(peer, held=direction),
            _proxy.Fault(peer, held=frozenset(_proxy.Direction)),
            _proxy.Fault(peer, broken=direction),
            _proxy.Fault(peer, delay_seconds=DELAY_SECONDS),
            _proxy.Fault(peer, refused=True),
        )
    )


_KINDS = (
    KillEntry,
    StopEntry,
    KillAgent,
    StopAgent,
    PauseEntry,
    PauseAgent,
    FaultLink,
    FaultLink,
    FaultLink,
    ResetTarget,
    FaultTable,
    CancelWave,
    RacePatches,
)


@functools.singledispatch
def inject(fault: Fault, deployment: _deployment.Deployment) -> None:
    """Inject a fault; faulty links, table and pauses last until removed."""
    raise NotImplementedError(type(fault).__name__)


@inject.register
def _kill_entry(fault: KillEntry, deployment: _deployment.Deployment) -> None:
    deployment.kill_entry(deployment.cluster.entries[fault.number])


@inject.register
def _stop_entry(fault: StopEntry, deployment: _deployment.Deployment) -> None:
    _stop_and_restart(deployment, deployment.cluster.entries[fault.number])


@inject.register
def _kill_agent(fault: KillAgent, deployment: _deployment.Deployment) -> None:
    agent = deployment.cluster.agents[fault.number]
    agent.kill()
    deployment.cluster.restart(agent)


@inject.register
def _stop_agent(fault: StopAgent, deployment: _deployment.Deployment) -> None:
    _stop_and_restart(deployment, deployment.cluster.agents[fault.number])


def _stop_and_restart(
    deployment: _deployment.Deployment, node: _cluster.Node
) -> None:
    # A paused process does not handle SIGTERM.
    node.send_signal(signal.SIGCONT)
    deployment.stops.append(_cluster.stop_gracefully(node.process))
    deployment.cluster.restart(node)


@inject.register
def _pause_entry(
    fault: PauseEntry, deployment: _deployment.Deployment
) -> None:
    deployment.cluster.entries[fault.number].send_signal(signal.SIGSTOP)


@inject.register
def _pause_agent(
    fault: PauseAgent, deployment: _deployment.Deployment
) -> None:
    deployment.cluster.agents[fault.number].send_signal(signal.SIGSTOP)


@inject.register
def _fault_link(fault: FaultLink, deployment: _deployment.Deployment) -> None:
    deployment.cluster.entries[fault.number].link.inject(fault.fault)


@inject.register
def _reset_target(
    fault: ResetTarget, deployment: _deployment.Deployment
) -> None:
    deployment.cluster.targets[fault.number].link.reset()


@inject.register
def _fault_table(
    fault: FaultTable, deployment: _deployment.Deployment
) -> None:
    deployment.set_table_mode(fault.mode)


@inject.register
def _cancel_wave(
    fault: CancelWave, deployment: _deployment.Deployment
) -> None:
    deployment.start_cancellation("wave")


@inject.register
def _race_patches(
    fault: RacePatches, deployment: _deployment.Deployment
) -> None:
    for _ in range(PATCHES):
        deployment.start_patch()
