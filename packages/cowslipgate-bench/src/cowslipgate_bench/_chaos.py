"""Faults of a seeded schedule and how each is brought about."""

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
    """Fault an entry's link to agents or entries until the round ends."""

    number: int
    """Number of the entry."""

    fault: _proxy.Fault
    """The fault."""


@attrs.frozen
class ResetTarget:
    """Reset the connections between an agent and its target."""

    number: int
    """Number of the target."""


@attrs.frozen
class FaultTable:
    """Switch the table service to a faulty mode until the round ends."""

    mode: str
    """The mode."""


@attrs.frozen
class CancelWave:
    """Cancel every job with the wave's label."""


@attrs.frozen
class RacePatches:
    """Two operators patch the same version at two entries."""


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


def draw_fault(chance: random.Random, entries: int, agents: int) -> Fault:
    """Return the next fault of a schedule."""
    kind = chance.choice(_KINDS)
    entry, agent = chance.randrange(entries), chance.randrange(agents)
    if kind is FaultLink:
        return FaultLink(entry, _draw_link_fault(chance, agent))
    if kind is FaultTable:
        return FaultTable(chance.choice(TABLE_MODES))
    if kind in (KillEntry, StopEntry, PauseEntry):
        return kind(entry)
    if kind in (KillAgent, StopAgent, PauseAgent, ResetTarget):
        return kind(agent)
    return kind()


def _draw_link_fault(chance: random.Random, agent: int) -> _proxy.Fault:
    peer = chance.choice(("agent-", f"agent-{agent}", "entry-", ""))
    direction = frozenset({chance.choice(list(_proxy.Direction))})
    return chance.choice(
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
    """Bring a fault about."""
    raise NotImplementedError(type(fault).__name__)


@inject.register
def _kill_entry(fault: KillEntry, deployment: _deployment.Deployment) -> None:
    deployment.kill_entry(deployment.cluster.entries[fault.number])


@inject.register
def _stop_entry(fault: StopEntry, deployment: _deployment.Deployment) -> None:
    _stop(deployment, deployment.cluster.entries[fault.number])


@inject.register
def _kill_agent(fault: KillAgent, deployment: _deployment.Deployment) -> None:
    agent = deployment.cluster.agents[fault.number]
    agent.kill()
    deployment.cluster.restart(agent)


@inject.register
def _stop_agent(fault: StopAgent, deployment: _deployment.Deployment) -> None:
    _stop(deployment, deployment.cluster.agents[fault.number])


def _stop(deployment: _deployment.Deployment, node: _cluster.Node) -> None:
    # A paused process cannot follow a signal to stop.
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
