"""Entry and agent processes on one machine, with stand-ins around them.

Each process has its own loopback address, as a VM would, so that all of them
use the same ports.
"""

import base64
from collections.abc import Sequence
import concurrent.futures
import contextlib
import http.client
import itertools
import os
import pathlib
import signal
import subprocess
import threading

import attrs
import circuits
from circuits.core import pollers
import cowslipgate_core as core
import cowslipgate_transport as transport

from cowslipgate_platform.tests import calls
from cowslipgate_platform.tests import store_standin
from cowslipgate_platform.tests import target_standin
from cowslipgate_platform.tests import wire_builders

from cowslipgate_bench import _proxy
from cowslipgate_bench import _waits
from cowslipgate_bench.faultsoak import _entry_main
from cowslipgate_bench.faultsoak import _nodes
from cowslipgate_bench.faultsoak import _target_hosts

STOP_SECONDS = 20.0
"""Longest wait for a graceful stop, which takes `grace_s` (6 s) at most."""

MAX_CONCURRENT_CALLS = 64
"""Maximum number of concurrent calls."""

START_BATCH = 8
"""Processes that start at once. With dozens, the calls of those that are ready
time out, since the stand-ins get no processor time."""

MAX_CUT_AGENTS = 12
"""Largest fleet whose links between agents and entries pass the proxy; it
would delay the messages of a larger one."""

MAX_TARGETS = 12
"""Maximum number of targets that one process serves."""

MAX_SEEDS = 3
"""Maximum number of entries that the settings of each process name."""

ADDRESSES_PER_BLOCK = 250
"""Loopback addresses used with the same second and third byte."""

BLOCK_STEP = 80
"""Step of the second byte between the blocks of one test process. Three blocks
are enough for a hundred deployments; addresses are not reused."""

_address_numbers = itertools.count()

Answer = concurrent.futures.Future[calls.Reply]


class Deployment:
    """Entries, agents, targets and the store.

    :param folder: where settings and logs are written
    :param timeout_ms: timeout of the route in milliseconds
    :param domains: failure domains that processes of a role take in turn
    :param evacuate_ms: bound that enables evacuations; zero for none
    """

    def __init__(
        self,
        folder: pathlib.Path,
        entries: int,
        agents: int,
        timeout_ms: int = wire_builders.ROUTE.timeout_ms,
        domains: Sequence[str] = (_nodes.DOMAIN,),
        evacuate_ms: int = 0,
    ) -> None:
        self._folder = folder
        self._timeout_ms = timeout_ms
        self._domains = {
            role: itertools.cycle(domains) for role in _nodes.Role
        }
        self._evacuate_ms = evacuate_ms
        self.evacuated = ""
        """Domain whose evacuation is requested, or empty."""

        self._jobs = itertools.count(1)
        self._pool = concurrent.futures.ThreadPoolExecutor(
            MAX_CONCURRENT_CALLS
        )
        self._clock = core.SystemClock()
        self._cleanup = contextlib.ExitStack()
        self._proxy = self._cleanup.enter_context(_proxy.Proxy())
        self._root = circuits.BaseComponent(channel="root")
        self._poller = pollers.EPoll().register(self._root)
        self._cuts_agents = agents <= MAX_CUT_AGENTS
        self._store_ip = _allocate_ip()
        self.store = store_standin.Store(self._clock).register(self._root)
        self._serve(self._store_ip, _nodes.STORE_PORT, store_standin.CHANNEL)
        ips = [_allocate_ip() for _ in range(entries)]
        self._seeds = [f"{ip}:{_nodes.CONTROL_PORT}" for ip in ips[:MAX_SEEDS]]
        self.entries = [self._make_entry(ip) for ip in ips]
        self.targets: list[target_standin.Target] = []
        self._hosts: list[_target_hosts.SeparateHost] = []
        self.agents = self._make_agents(agents)
        self.version = 0
        self.configure()
        self.failures: list[str] = []
        """Processes that exited unexpectedly or with a wrong status."""

        self._paused: set[_nodes.Node] = set()
        self._killed: set[_nodes.Node] = set()
        self._thread: threading.Thread | None = None

    @property
    def nodes(self) -> tuple[_nodes.Node, ...]:
        """Entries, then agents."""
        return (*self.entries, *self.agents)

    def get_node(self, role: _nodes.Role, number: int) -> _nodes.Node:
        """Return a process by its index among those of its role."""
        is_entry = role is _nodes.Role.ENTRY
        return (self.entries if is_entry else self.agents)[number]

    def start(self) -> None:
        """Start all processes and wait until each entry counts each agent."""
        self.start_standins()
        for first in range(0, len(self.nodes), START_BATCH):
            batch = self.nodes[first : first + START_BATCH]
            for node in batch:
                node.start()
            _waits.wait_until(
                lambda: all(calls.is_started(node.ip) for node in batch),
                f"{batch[0].name} and the next ones starting",
            )
        self.wait_ready()

    def start_standins(self) -> None:
        """Let the store and the targets serve."""
        self._thread, _ = self._root.start()
        for host in self._hosts:
            host.start()

    def close(self) -> None:
        """Kill the processes, and close the stand-ins and the proxy."""
        for node in self.nodes:
            if node.running:
                node.kill()
        self._pool.shutdown()
        if self._thread is not None:
            self._root.fire(transport.close_http(), "*")
            self._root.stop()
            self._thread.join()
        self._cleanup.close()

    def configure(self, added_routes: int = 0, **changes: object) -> None:
        """Write the next version of the configuration.

        :param added_routes: number of routes beside the first one
        :param changes: fields of the first route
        """
        self.version += 1
        value = wire_builders.build_configuration(self.version)
        first = value["routes"][0]
        first.update({"timeout_ms": self._timeout_ms} | changes)
        value["routes"] += [
            first | {"name": f"r-more-{number}", "path_prefix": f"/{number}/"}
            for number in range(added_routes)
        ]
        encoded = base64.b64encode(wire_builders.encode(value)).decode()
        self.store.put("op", "config", encoded)

    def evacuate(self, domain: str) -> None:
        """Request the evacuation of a domain."""
        self.evacuated = domain
        self.store.put("op", f"evacuate/{domain}", "")

    def revoke(self) -> None:
        """Revoke the evacuation that was requested."""
        self.store.remove("op", f"evacuate/{self.evacuated}")
        self.evacuated = ""

    def wait_evacuated(self) -> None:
        """Wait until every agent has confirmed the evacuation.

        :raises WaitTimeout: if that takes too long
        """
        _waits.wait_until(
            lambda: all(
                calls.count_evacuated(node.ip) == 1
                and calls.count_unconfirmed(node.ip) == 0
                for node in self.entries
            ),
            f"the evacuation of {self.evacuated}",
        )

    def list_evacuated_runs(self) -> list[target_standin.Run]:
        """Return the runs at targets of the domain that is evacuated."""
        return [
            run
            for node, target in zip(self.agents, self.targets, strict=True)
            if node.domain == self.evacuated
            for run in target.journal
        ]

    def pause(self, node: _nodes.Node) -> None:
        """Suspend a process until the deployment is healed."""
        node.send_signal(signal.SIGSTOP)
        self._paused.add(node)

    def cut_agent(
        self, number: int, directions: frozenset[_proxy.Direction]
    ) -> None:
        """Cut an agent off from all entries until the deployment is healed."""
        identity = f"{self.agents[number].name}/"
        fault = _proxy.Fault(identity, held=directions)
        for node in self.entries:
            node.agents_link.add_fault(fault)

    def isolate_entry(self, number: int) -> None:
        """Cut an entry off from agents and callers, who are reset."""
        node = self.entries[number]
        node.agents_link.hold(*_proxy.Direction)
        node.work_link.hold(*_proxy.Direction)
        node.work_link.reset_clients()

    def kill_until_heal(self, node: _nodes.Node) -> None:
        """Kill a process; ``heal`` starts it again."""
        node.kill()
        self._killed.add(node)

    def restart_gracefully(self, node: _nodes.Node) -> None:
        """Stop a process by SIGTERM and start it again."""
        if not node.running:
            return
        # A paused process cannot handle SIGTERM, and one that is starting is
        # killed by it.
        node.send_signal(signal.SIGCONT)
        _waits.wait_until(
            lambda: calls.is_started(node.ip), f"{node.name} starting"
        )
        node.send_signal(signal.SIGTERM)
        try:
            status = node.process.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            status = None
            node.kill()
        if status != 0:
            self.failures.append(f"{node.name} stopped with {status}")
        if node.left_unfinished_jobs():
            self.failures.append(f"{node.name} left jobs without an answer")
        node.start()

    def heal(self) -> None:
        """End all faults and start the processes that have exited."""
        self.store.fault = store_standin.StoreFault.NONE
        for target in self.targets:
            target.fault = target_standin.TargetFault.NONE
        for node in self.nodes:
            node.work_link.clear_faults()
            node.store_link.clear_faults()
            if node.agents_link is not None:
                node.agents_link.clear_faults()
            if node in self._paused and node.running:
                node.send_signal(signal.SIGCONT)
            if not node.running:
                self._restart_exited(node)
        self._paused.clear()
        self._killed.clear()

    def _restart_exited(self, node: _nodes.Node) -> None:
        if node not in self._killed:
            status = node.process.returncode
            self.failures.append(f"{node.name} ended with {status}")
        node.start()

    def wait_ready(self) -> None:
        """Wait until each running entry counts each running agent."""
        agents = sum(1 for node in self.agents if node.running)
        _waits.wait_until(
            lambda: all(
                calls.count_agents(node.ip) == agents
                for node in self.entries
                if node.running
            ),
            f"{agents} agents at each entry",
        )

    def wait_configured(self) -> None:
        """Wait until each entry uses the newest configuration."""
        _waits.wait_until(
            lambda: set(self.read_versions().values()) == {self.version},
            f"version {self.version} at each entry",
        )

    def read_versions(self) -> dict[str, int]:
        """Return the configuration version of each entry that answers."""
        versions = {}
        for node in self.entries:
            if node in self._paused:
                continue
            with contextlib.suppress(OSError, http.client.HTTPException):
                versions[node.name] = calls.read_version(node.ip)
        return versions

    def wait_ended(self) -> None:
        """Wait until no target has a run."""
        _waits.wait_until(
            lambda: all(run.ended_at for run in self.list_runs()),
            "the end of every run",
        )

    def make_job(
        self, tasks: int, task_ms: int, **changes: object
    ) -> calls.JobSpec:
        """Return a job with a unique name."""
        name = f"{next(self._jobs):016x}"
        job = calls.JobSpec(name, tasks, task_ms)
        return attrs.evolve(job, **changes)

    def submit(self, entry: int, job: calls.JobSpec) -> Answer:
        """Submit a job in the background."""
        address = self.entries[entry].address
        return self._pool.submit(calls.submit, address, job, self._clock)

    def submit_with_retries(self, entry: int, job: calls.JobSpec) -> Answer:
        """Submit a job, and again at another entry if a connection breaks."""
        addresses = [node.address for node in self.entries]
        return self._pool.submit(
            calls.submit_with_retries, addresses, entry, job, self._clock
        )

    def list_runs(self, name: str = "") -> list[target_standin.Run]:
        """Return the runs of a job, or of all jobs, in order of start."""
        runs = [run for target in self.targets for run in target.journal]
        selected = [run for run in runs if run.task.startswith(name)]
        return sorted(selected, key=lambda run: run.started_at)

    def list_tracebacks(self) -> list[str]:
        """Return a line for each process whose log has a traceback."""
        return [
            f"{node.name} wrote a traceback"
            for node in self.nodes
            if node.log.exists() and "Traceback" in node.log.read_text()
        ]

    def _serve(self, ip: str, port: int, channel: str) -> None:
        transport.HttpServer(
            (ip, port), channel, self._clock, transport.ServerLimits()
        ).register(self._root)

    def _make_entry(self, ip: str) -> _nodes.Node:
        link = self._proxy.open_link(
            _nodes.CALLERS_PORT, ip, MAX_CONCURRENT_CALLS
        )
        node = self._make_node(_nodes.Role.ENTRY, ip, link)
        if self._cuts_agents:
            node.agents_link = self._proxy.open_link(
                _nodes.AGENTS_PORT + _entry_main.PORT_OFFSET,
                ip,
                bind=(ip, _nodes.AGENTS_PORT),
            )
        return node

    def _make_agents(self, count: int) -> list[_nodes.Node]:
        if count <= MAX_TARGETS:
            host = _target_hosts.TargetHost(
                self._root, self._poller, self._proxy, self._clock
            )
            return [self._make_agent(host) for _ in range(count)]
        agents = []
        for first in range(0, count, MAX_TARGETS):
            host = self._cleanup.enter_context(
                _target_hosts.open_separate_host()
            )
            self._hosts.append(host)
            for _ in range(first, min(first + MAX_TARGETS, count)):
                agents.append(self._make_agent(host))
        return agents

    def _make_agent(self, host: _target_hosts.TargetHost) -> _nodes.Node:
        ip = _allocate_ip()
        self.targets.append(host.open_target(ip))
        return self._make_node(_nodes.Role.AGENT, ip, host.get_link(ip))

    def _make_node(
        self, role: _nodes.Role, ip: str, work_link: _proxy.Link
    ) -> _nodes.Node:
        store_link = self._proxy.open_link(
            _nodes.STORE_PORT,
            self._store_ip,
            _target_hosts.MAX_LINK_CONNECTIONS,
        )
        return _nodes.make_node(
            self._folder,
            role,
            ip,
            self._seeds,
            work_link,
            store_link,
            next(self._domains[role]),
            self._evacuate_ms,
        )


def _allocate_ip() -> str:
    """Return a new loopback address that no other test process uses."""
    block, number = divmod(next(_address_numbers), ADDRESSES_PER_BLOCK)
    second_offset, third = divmod(os.getpid(), ADDRESSES_PER_BLOCK)
    second = 2 + second_offset % BLOCK_STEP + BLOCK_STEP * block
    return f"127.{second}.{third}.{number + 1}"
