"""Faults of a seeded schedule and how each is brought about.

A fault lasts until the round ends, when the deployment is healed.
"""

import functools
import random

import attrs
from cowslipgate_platform.tests import store_standin
from cowslipgate_platform.tests import target_standin

from cowslipgate_bench import _proxy
from cowslipgate_bench.faultsoak import _deployment
from cowslipgate_bench.faultsoak import _nodes

DELAY_SECONDS = 0.1
"""Latency of a slow link: many times that between failure domains."""

LOST_SHARES = (0.1, 0.9)
"""Share of a target's answers that are lost."""

STORM_VERSIONS = 10
"""Configurations written one after the other in a storm."""

ADDED_ROUTES = 200
"""Routes by which a configuration grows."""


@attrs.frozen
class KillNode:
    """SIGKILL a process and start it again."""

    role: _nodes.Role
    """What the process is."""

    number: int
    """Number of the process among these."""


@attrs.frozen
class LoseNode:
    """SIGKILL a process, which is back when the round ends."""

    role: _nodes.Role
    """What the process is."""

    number: int
    """Number of the process among these."""


@attrs.frozen
class StopNode:
    """SIGTERM a process and start it again."""

    role: _nodes.Role
    """What the process is."""

    number: int
    """Number of the process among these."""


@attrs.frozen
class PauseNode:
    """SIGSTOP a process."""

    role: _nodes.Role
    """What the process is."""

    number: int
    """Number of the process among these."""


@attrs.frozen
class KillAll:
    """SIGKILL all processes and start them again."""


@attrs.frozen
class FaultWork:
    """Fault the way of callers to an entry or of an agent to its target."""

    role: _nodes.Role
    """What the process is."""

    number: int
    """Number of the process among these."""

    fault: _proxy.Fault
    """The fault."""


@attrs.frozen
class FaultStoreLink:
    """Fault the way of one process to the store."""

    role: _nodes.Role
    """What the process is."""

    number: int
    """Number of the process among these."""

    fault: _proxy.Fault
    """The fault."""


@attrs.frozen
class FaultStore:
    """Have the store misbehave towards everyone."""

    fault: store_standin.StoreFault
    """How."""


@attrs.frozen
class FaultTarget:
    """Have a target misbehave."""

    number: int
    """Number of the target."""

    fault: target_standin.TargetFault
    """How."""

    lost_share: float
    """Share of the answers lost, where they are."""


@attrs.frozen
class CrashTarget:
    """Have a target be reborn under its name."""

    number: int
    """Number of the target."""


@attrs.frozen
class Configure:
    """Write configurations, each with a later version."""

    versions: int
    """How many, one after the other."""

    added_routes: int
    """Routes that the last one has more than the first configuration."""


Fault = (
    KillNode
    | LoseNode
    | StopNode
    | PauseNode
    | KillAll
    | FaultWork
    | FaultStoreLink
    | FaultStore
    | FaultTarget
    | CrashTarget
    | Configure
)

# Kinds that stand more than once are drawn more often: those after which a
# task may run at two targets.
_KINDS = (
    KillNode,
    KillNode,
    LoseNode,
    LoseNode,
    StopNode,
    PauseNode,
    PauseNode,
    KillAll,
    FaultWork,
    FaultWork,
    FaultWork,
    FaultStoreLink,
    FaultStore,
    FaultTarget,
    FaultTarget,
    FaultTarget,
    FaultTarget,
    CrashTarget,
    CrashTarget,
    Configure,
)

_TARGET_FAULTS = (
    *list(target_standin.TargetFault)[1:],
    target_standin.TargetFault.LATE,
    target_standin.TargetFault.LOSES_ANSWERS,
)


def draw_fault(chance: random.Random, entries: int, agents: int) -> Fault:
    """Return the next fault of a schedule."""
    kind = chance.choice(_KINDS)
    role = chance.choice(list(_nodes.Role))
    count = entries if role is _nodes.Role.ENTRY else agents
    number = chance.randrange(count)
    if kind is KillAll:
        return KillAll()
    if kind in (KillNode, LoseNode, StopNode, PauseNode):
        return kind(role, number)
    if kind in (FaultWork, FaultStoreLink):
        return kind(role, number, _draw_link_fault(chance))
    if kind is FaultStore:
        faults = list(store_standin.StoreFault)[1:]
        return FaultStore(chance.choice(faults))
    if kind is FaultTarget:
        fault = chance.choice(_TARGET_FAULTS)
        share = chance.uniform(*LOST_SHARES)
        return FaultTarget(chance.randrange(agents), fault, share)
    if kind is CrashTarget:
        return CrashTarget(chance.randrange(agents))
    return Configure(
        chance.choice((1, STORM_VERSIONS)), chance.choice((0, ADDED_ROUTES))
    )


def _draw_link_fault(chance: random.Random) -> _proxy.Fault:
    direction = frozenset({chance.choice(list(_proxy.Direction))})
    return chance.choice(
        (
            _proxy.Fault(held=direction),
            _proxy.Fault(held=frozenset(_proxy.Direction)),
            _proxy.Fault(broken=direction),
            _proxy.Fault(delay_seconds=DELAY_SECONDS),
            _proxy.Fault(refused=True),
        )
    )


@functools.singledispatch
def inject(fault: Fault, system: _deployment.Deployment) -> None:
    """Bring a fault about."""
    raise NotImplementedError(type(fault).__name__)


@inject.register
def _kill_node(fault: KillNode, system: _deployment.Deployment) -> None:
    system.get_node(fault.role, fault.number).restart()


@inject.register
def _lose_node(fault: LoseNode, system: _deployment.Deployment) -> None:
    system.lose(system.get_node(fault.role, fault.number))


@inject.register
def _stop_node(fault: StopNode, system: _deployment.Deployment) -> None:
    system.stop(system.get_node(fault.role, fault.number))


@inject.register
def _pause_node(fault: PauseNode, system: _deployment.Deployment) -> None:
    system.pause(system.get_node(fault.role, fault.number))


@inject.register
def _kill_all(fault: KillAll, system: _deployment.Deployment) -> None:
    nodes = system.nodes
    for node in nodes:
        node.kill()
    for node in nodes:
        node.start()


@inject.register
def _fault_work(fault: FaultWork, system: _deployment.Deployment) -> None:
    system.get_node(fault.role, fault.number).work.inject(fault.fault)


@inject.register
def _fault_store_link(
    fault: FaultStoreLink, system: _deployment.Deployment
) -> None:
    system.get_node(fault.role, fault.number).store.inject(fault.fault)


@inject.register
def _fault_store(fault: FaultStore, system: _deployment.Deployment) -> None:
    system.store.fault = fault.fault


@inject.register
def _fault_target(fault: FaultTarget, system: _deployment.Deployment) -> None:
    target = system.targets[fault.number]
    target.lost_share = fault.lost_share
    target.fault = fault.fault


@inject.register
def _crash_target(fault: CrashTarget, system: _deployment.Deployment) -> None:
    system.targets[fault.number].crash()


@inject.register
def _configure(fault: Configure, system: _deployment.Deployment) -> None:
    for _ in range(fault.versions - 1):
        system.configure()
    system.configure(fault.added_routes)
