"""Targets with the links to them, also in processes of their own.

One process serves about a dozen targets in time. With more, it answers later
than agents wait, who then open another connection for each call.
"""

from collections.abc import Iterator
import contextlib
import multiprocessing
from multiprocessing import managers

import circuits
from circuits.core import pollers
import cowslipgate_core as core
import cowslipgate_transport as transport

from cowslipgate_platform.tests import target_standin

from cowslipgate_bench import _proxy
from cowslipgate_bench.faultsoak import _nodes

MAX_LINK_CONNECTIONS = 32
"""Maximum number of connections of an agent to its target, or of a process to
the store. Those that calls gave up during a cut stay open until its end."""


class TargetHost:
    """Opens targets, each behind a link, in the loop of a component."""

    def __init__(
        self,
        root: circuits.BaseComponent,
        poller: pollers.BasePoller,
        proxy: _proxy.Proxy,
        clock: core.Clock,
    ) -> None:
        self._root = root
        self._poller = poller
        self._proxy = proxy
        self._clock = clock
        self._links: dict[str, _proxy.Link] = {}

    def open_target(self, ip: str) -> target_standin.Target:
        """Return a new target for the agent at an address."""
        link = self._proxy.open_link(
            _nodes.TARGET_PORT, ip, MAX_LINK_CONNECTIONS
        )
        self._links[ip] = link
        target = target_standin.Target(
            f"side-{ip}",
            transport.Address(_proxy.HOST, link.port),
            transport.Address(ip, _nodes.CONTROL_PORT),
            self._clock,
        ).register(self._root)
        transport.HttpServer(
            (ip, _nodes.TARGET_PORT),
            target.channel,
            self._clock,
            transport.ServerLimits(),
        ).register(self._root)
        transport.HttpClient(
            target.beats_channel, self._poller, self._clock
        ).register(self._root)
        return target

    def get_link(self, ip: str) -> _proxy.Link:
        """Return the link from the agent at an address to its target."""
        return self._links[ip]


class SeparateHost(TargetHost):
    """A host with a loop and a proxy of its own."""

    def __init__(self) -> None:
        self._own_proxy = _proxy.Proxy().__enter__()
        self._own_root = circuits.BaseComponent(channel="root")
        poller = pollers.EPoll().register(self._own_root)
        clock = core.SystemClock()
        super().__init__(self._own_root, poller, self._own_proxy, clock)

    def start(self) -> None:
        """Start to serve and to send heartbeats."""
        self._own_root.start()


class _TargetProxy(managers.NamespaceProxy):
    """A target of another process; its journal is a copy."""

    _exposed_ = (*managers.NamespaceProxy._exposed_, "crash", "replace")

    def crash(self) -> None:
        """Restart at once; all runs end."""
        self._callmethod("crash")

    def replace(self, seconds: float) -> None:
        """Drain for some seconds, end, and start under another id."""
        self._callmethod("replace", (seconds,))


class _LinkProxy(managers.NamespaceProxy):
    """A link of another process."""

    _exposed_ = (
        *managers.NamespaceProxy._exposed_,
        "inject",
        "clear_faults",
        "hold",
        "reset",
        "count_connections",
    )

    def inject(self, *faults: _proxy.Fault) -> None:
        """Replace the faults in force."""
        self._callmethod("inject", faults)

    def clear_faults(self) -> None:
        """Remove every fault and release the bytes held back."""
        self._callmethod("clear_faults")

    def hold(self, *directions: _proxy.Direction) -> None:
        """Hold bytes back, as if all packets of the directions were lost."""
        self._callmethod("hold", directions)

    def reset(self) -> None:
        """Reset the connections that are open now."""
        self._callmethod("reset")

    def count_connections(self) -> int:
        """Return the number of open connections."""
        return self._callmethod("count_connections")


class _Hosts(managers.BaseManager):
    """A process with a host."""


_Hosts.register("Target", proxytype=_TargetProxy, create_method=False)
_Hosts.register("Link", proxytype=_LinkProxy, create_method=False)
_Hosts.register(
    "open_host",
    SeparateHost,
    exposed=("open_target", "get_link", "start"),
    method_to_typeid={"open_target": "Target", "get_link": "Link"},
)


@contextlib.contextmanager
def open_separate_host() -> Iterator[SeparateHost]:
    """Give a host in a process of its own, which ends with the context."""
    # Threads of this process may hold locks, which a fork would copy.
    context = multiprocessing.get_context("spawn")
    with _Hosts(ctx=context) as hosts:
        yield hosts.open_host()
