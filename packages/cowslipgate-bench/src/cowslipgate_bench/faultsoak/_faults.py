"""Faults of a seeded schedule and their injection.

A fault lasts until the deployment is healed at the end of the round.
"""

import functools
import random
import time

import attrs
from cowslipgate_platform.tests import store_standin
from cowslipgate_platform.tests import target_standin

from cowslipgate_bench import _proxy
from cowslipgate_bench.faultsoak import _deployment
from cowslipgate_bench.faultsoak import _nodes

DELAY_SECONDS = 0.1
"""Latency of a slow link, many times that between failure domains."""

DRAIN_SECONDS = (0.2, 3.0)
"""Range of the time for which a replaced target drains; `drain_ms` is 2 s."""

LOST_SHARES = (0.1, 0.9)
"""Range of the share of a target's answers that are lost."""

BURST_VERSIONS = 10
"""Versions of the configuration in a burst of writes."""

ONE_WAY_SHARE = 0.75
"""Share of the cuts between agents and entries in one direction only."""

CONFIGURE_SECONDS = 0.4
"""Time between the versions of a series, which agents hear of one by one."""

SERIES_VERSIONS = (1, 14)
"""Range of the versions of a series: up to 5.6 s, longer than the 3.5 s after
which an entry counts the runs of a silent agent as over."""

ADDED_ROUTES = 200
"""Number of routes that a large configuration adds."""


@attrs.frozen
class KillNode:
    """SIGKILL a process and start it again."""

    role: _nodes.Role
    """Role of the process."""

    number: int
    """Index of the process among those of its role."""


@attrs.frozen
class LoseNode:
    """SIGKILL a process, which is started again when the round ends."""

    role: _nodes.Role
    """Role of the process."""

    number: int
    """Index of the process among those of its role."""


@attrs.frozen
class StopNode:
    """SIGTERM a process and start it again."""

    role: _nodes.Role
    """Role of the process."""

    number: int
    """Index of the process among those of its role."""


@attrs.frozen
class PauseNode:
    """SIGSTOP a process."""

    role: _nodes.Role
    """Role of the process."""

    number: int
    """Index of the process among those of its role."""


@attrs.frozen
class KillAll:
    """SIGKILL all processes and start them again."""


@attrs.frozen
class FaultWork:
    """Fault of the link from callers to an entry or an agent to its target."""

    role: _nodes.Role
    """Role of the process."""

    number: int
    """Index of the process among those of its role."""

    fault: _proxy.Fault
    """The fault."""


@attrs.frozen
class FaultStoreLink:
    """Fault of the link from one process to the store."""

    role: _nodes.Role
    """Role of the process."""

    number: int
    """Index of the process among those of its role."""

    fault: _proxy.Fault
    """The fault."""


@attrs.frozen
class FaultStore:
    """Fault of the store, for all processes."""

    fault: store_standin.StoreFault
    """Kind of fault."""


@attrs.frozen
class FaultTarget:
    """Fault of a target."""

    number: int
    """Index of the target."""

    fault: target_standin.TargetFault
    """Kind of fault."""

    lost_share: float
    """Share of the answers lost, for LOSES_ANSWERS."""


@attrs.frozen
class CrashTarget:
    """Start a new incarnation of a target under its name."""

    number: int
    """Index of the target."""


@attrs.frozen
class ReplaceTarget:
    """Drain a target and start another one with a new id at its address.

    The last calls of the old one reach the agent among those of the new one.
    """

    number: int
    """Index of the target."""

    seconds: float
    """Time for which the old one drains."""


@attrs.frozen
class Configure:
    """Write configurations with increasing versions."""

    versions: int
    """Number of configurations."""

    added_routes: int
    """Number of routes that the last one adds to the first configuration."""


@attrs.frozen
class CutAgents:
    """Cut agents off from all entries during a series of configurations."""

    agents: tuple[int, ...]
    """Indices of the agents."""

    directions: frozenset[_proxy.Direction]
    """Directions that are cut."""

    versions: int
    """Number of configurations of the series."""


@attrs.frozen
class IsolateEntry:
    """Cut an entry off from all agents and from its callers.

    The callers' connections are reset, which the entry hears once the cut
    ends.
    """

    number: int
    """Index of the entry."""


@attrs.frozen
class EvacuateDomain:
    """Request the evacuation of a domain until the round ends."""

    domain: str
    """Failure domain."""


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
    | ReplaceTarget
    | Configure
    | CutAgents
    | IsolateEntry
    | EvacuateDomain
)

# Repeated kinds are drawn more often: those after which a task may run at two
# targets.
_WEIGHTED_KINDS = (
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
    ReplaceTarget,
    ReplaceTarget,
    Configure,
)

_CUTS = (CutAgents, CutAgents, CutAgents, IsolateEntry, IsolateEntry)

_WEIGHTED_TARGET_FAULTS = (
    *list(target_standin.TargetFault)[1:],
    target_standin.TargetFault.LATE,
    target_standin.TargetFault.LOSES_ANSWERS,
)


def draw_fault(rng: random.Random, entries: int, agents: int) -> Fault:
    """Draw the next fault of a schedule."""
    cuts_agents = agents <= _deployment.MAX_CUT_AGENTS
    kind = rng.choice(_WEIGHTED_KINDS + _CUTS * cuts_agents)
    role = rng.choice(list(_nodes.Role))
    count = entries if role is _nodes.Role.ENTRY else agents
    number = rng.randrange(count)
    if kind is KillAll:
        return KillAll()
    if kind in (KillNode, LoseNode, StopNode, PauseNode):
        return kind(role, number)
    if kind in (FaultWork, FaultStoreLink):
        return kind(role, number, _draw_link_fault(rng))
    if kind is FaultStore:
        store_faults = list(store_standin.StoreFault)[1:]
        return FaultStore(rng.choice(store_faults))
    if kind is FaultTarget:
        fault = rng.choice(_WEIGHTED_TARGET_FAULTS)
        share = rng.uniform(*LOST_SHARES)
        return FaultTarget(rng.randrange(agents), fault, share)
    if kind is CrashTarget:
        return CrashTarget(rng.randrange(agents))
    if kind is ReplaceTarget:
        seconds = rng.uniform(*DRAIN_SECONDS)
        return ReplaceTarget(rng.randrange(agents), seconds)
    if kind is CutAgents:
        return _draw_cut(rng, agents)
    if kind is IsolateEntry:
        return IsolateEntry(rng.randrange(entries))
    return Configure(
        rng.choice((1, BURST_VERSIONS)), rng.choice((0, ADDED_ROUTES))
    )


def _draw_cut(rng: random.Random, agents: int) -> CutAgents:
    numbers = rng.sample(range(agents), rng.randint(1, max(1, agents // 2)))
    directions = list(_proxy.Direction)
    if rng.random() < ONE_WAY_SHARE:
        directions = [rng.choice(directions)]
    versions = rng.randint(*SERIES_VERSIONS)
    return CutAgents(tuple(numbers), frozenset(directions), versions)


def _draw_link_fault(rng: random.Random) -> _proxy.Fault:
    direction = frozenset({rng.choice(list(_proxy.Direction))})
    return rng.choice(
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
    """Inject a fault."""
    raise NotImplementedError(type(fault).__name__)


@inject.register
def _kill_node(fault: KillNode, system: _deployment.Deployment) -> None:
    system.get_node(fault.role, fault.number).restart()


@inject.register
def _kill_node_until_heal(
    fault: LoseNode, system: _deployment.Deployment
) -> None:
    system.kill_until_heal(system.get_node(fault.role, fault.number))


@inject.register
def _restart_node_gracefully(
    fault: StopNode, system: _deployment.Deployment
) -> None:
    system.restart_gracefully(system.get_node(fault.role, fault.number))


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
def _fault_work_link(fault: FaultWork, system: _deployment.Deployment) -> None:
    system.get_node(fault.role, fault.number).work_link.inject(fault.fault)


@inject.register
def _fault_store_link(
    fault: FaultStoreLink, system: _deployment.Deployment
) -> None:
    system.get_node(fault.role, fault.number).store_link.inject(fault.fault)


@inject.register
def _set_store_fault(
    fault: FaultStore, system: _deployment.Deployment
) -> None:
    system.store.fault = fault.fault


@inject.register
def _set_target_fault(
    fault: FaultTarget, system: _deployment.Deployment
) -> None:
    target = system.targets[fault.number]
    target.lost_share = fault.lost_share
    target.fault = fault.fault


@inject.register
def _crash_target(fault: CrashTarget, system: _deployment.Deployment) -> None:
    system.targets[fault.number].crash()


@inject.register
def _replace_target(
    fault: ReplaceTarget, system: _deployment.Deployment
) -> None:
    system.targets[fault.number].replace(fault.seconds)


@inject.register
def _configure(fault: Configure, system: _deployment.Deployment) -> None:
    for _ in range(fault.versions - 1):
        system.configure()
    system.configure(fault.added_routes)


@inject.register
def _cut_agents(fault: CutAgents, system: _deployment.Deployment) -> None:
    for number in fault.agents:
        system.cut_agent(number, fault.directions)
    for _ in range(fault.versions):
        system.configure()
        time.sleep(CONFIGURE_SECONDS)


@inject.register
def _isolate_entry(
    fault: IsolateEntry, system: _deployment.Deployment
) -> None:
    system.isolate_entry(fault.number)


@inject.register
def _evacuate_domain(
    fault: EvacuateDomain, system: _deployment.Deployment
) -> None:
    system.evacuate(fault.domain)
