"""Runs a whole deployment as processes on loopback."""

import contextlib
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
from typing import Any
import uuid

import attrs
import cowslipgate_core as core

from cowslipgate_bench import _exceptions
from cowslipgate_bench import _proxy
from cowslipgate_bench import _target
from cowslipgate_bench import _waits

HOST = "127.0.0.1"
CALL_SECONDS = 60.0
LOG_CHARACTERS = 500
STOP_SECONDS = 20.0
OPERATOR_TOKEN = "operator-token"
_RESERVED_PORTS: list[socket.socket] = []


@attrs.frozen
class Reply:
    """An HTTP answer."""

    status: int
    """HTTP status."""

    body: Any
    """Decoded JSON body."""


@attrs.define(eq=False)
class Node:
    """Process of an entry, agent or target, with its port."""

    name: str
    """Name of the process and of its log file."""

    port: int
    """HTTP port of an entry or target, announcement port of an agent."""

    process: subprocess.Popen[bytes]
    """Operating-system process."""

    command: tuple[str, ...] = ()
    """Command line for a restart; empty for a target."""

    link: _proxy.Link | None = None
    """Proxied link to the process, or None without a proxy."""

    @property
    def pid(self) -> int:
        """Process id."""
        return self.process.pid

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def kill(self) -> None:
        """Send SIGKILL and wait until the process has ended."""
        self.process.kill()
        self.process.wait()


class Cluster:
    """A table service, a balancer, entries, and agents with targets."""

    def __init__(
        self, folder: pathlib.Path, proxy: _proxy.Proxy | None = None
    ) -> None:
        self._folder = folder
        self._proxy = proxy
        self.table_link: _proxy.Link | None = None
        self._stack = contextlib.ExitStack()
        self._processes: list[subprocess.Popen[bytes]] = []
        self.entries: list[Node] = []
        self.agents: list[Node] = []
        self.targets: list[Node] = []
        self.failed_starts = 0
        self.table_port = 0
        self.balancer_port = 0

    @property
    def folder(self) -> pathlib.Path:
        """Folder of the processes' logs and the targets' journals."""
        return self._folder

    def __enter__(self) -> "Cluster":
        return self

    def __exit__(self, *error: object) -> None:
        self.kill_all()

    def start_table(self) -> None:
        """Start the table service."""
        process = self.spawn("table", "table", "--port", "0")
        self.table_port = read_port(process)
        self.table_link = self._open_link(self.table_port)
        if self.table_link is not None:
            self.table_port = self.table_link.port

    def start_entries(
        self,
        domains: list[str],
        *flags: str,
        regions: tuple[str, ...] = ("default",),
    ) -> None:
        """Start a balancer and one entry in each of ``domains``.

        :param regions: regions of the entries, taken in turn
        """
        ports = choose_ports(len(domains) + 1)
        self.balancer_port = ports.pop()
        for number, domain in enumerate(domains):
            region = f"--region={regions[number % len(regions)]}"
            self.start_entry(
                f"entry-{number}", domain, ports[number], region, *flags
            )
        names = [str(port) for port in ports]
        process = self.spawn(
            "balancer", "balancer", str(self.balancer_port), *names
        )
        read_port(process)

    def start_entry(
        self, name: str, domain: str, port: int, *flags: str
    ) -> Node:
        """Start one entry on the HTTP port ``port``."""
        internal = choose_ports(1)[0]
        command = [
            *_find_binary("cowslipgate"),
            "serve",
            f"--domain={domain}",
            f"--platform={HOST}:{self.table_port}",
            f"--balancer={HOST}:{self.balancer_port}",
            f"--bind-http={HOST}:{port}",
            f"--bind-internal={HOST}:{internal}",
            f"--operator-digest={core.digest_token(OPERATOR_TOKEN)}",
            *flags,
        ]
        link = self._open_link(internal)
        if link is not None:
            command.append(f"--advertise-internal={HOST}:{link.port}")
        process = self.run(name, command)
        node = Node(name, port, process, tuple(command), link)
        self.entries.append(node)
        return node

    def start_agent(
        self, domain: str, options: _target.TargetOptions, *flags: str
    ) -> Node:
        """Start an agent and its target."""
        number = len(self.agents)
        port = choose_ports(1)[0]
        command = [
            *_find_binary("cowslipgate-agent"),
            f"--name=agent-{number}",
            f"--domain={domain}",
            f"--balancer={HOST}:{self.balancer_port}",
            f"--bind-target={HOST}:{port}",
            *flags,
        ]
        process = self.run(f"agent-{number}", command)
        node = Node(f"agent-{number}", port, process, tuple(command))
        self.agents.append(node)
        self.start_target(attrs.evolve(options, agent_port=port))
        return node

    def restart(self, node: Node) -> None:
        """Start an entry or agent again, with the same addresses.

        While it is down the operating system may give its port to an outgoing
        connection, so a failed start is repeated, as a supervisor would do.

        :raises WaitTimeout: when the process accepts no connection
        """
        node.process = self.run(node.name, list(node.command))
        _waits.wait_until(
            lambda: self._is_up(node), f"the restart of {node.name}"
        )

    def _is_up(self, node: Node) -> bool:
        if node.process.poll() is not None:
            self.failed_starts += 1
            node.process = self.run(node.name, list(node.command))
        with contextlib.suppress(OSError):
            socket.create_connection((HOST, node.port)).close()
            return True
        return False

    def read_log(self, node: Node) -> str:
        """Return the last ``LOG_CHARACTERS`` of a process's log."""
        text = (self._folder / f"{node.name}.log").read_text()
        return text[-LOG_CHARACTERS:]

    def start_target(self, options: _target.TargetOptions) -> Node:
        """Start a target that announces itself to the agent in ``options``."""
        number = len(self.targets)
        journal = self._folder / f"target-{number}.jsonl"
        options = attrs.evolve(options, journal=str(journal))
        link = self._open_link(0)
        if link is not None:
            options = attrs.evolve(options, advertised_port=link.port)
        text = json.dumps(attrs.asdict(options))
        process = self.spawn(f"target-{number}", "target", text)
        port = read_port(process)
        if link is not None:
            link.upstream = port
        node = Node(f"target-{number}", port, process, link=link)
        self.targets.append(node)
        return node

    def spawn(
        self, name: str, command: str, *arguments: str
    ) -> subprocess.Popen[bytes]:
        """Start a command of this package, such as a stand-in."""
        module = [sys.executable, "-m", "cowslipgate_bench", command]
        return self.run(name, [*module, *arguments])

    def run(self, name: str, command: list[str]) -> subprocess.Popen[bytes]:
        """Start a process whose standard error goes to a log file."""
        log = (self._folder / f"{name}.log").open("ab")
        self._stack.callback(log.close)
        process = subprocess.Popen(
            command, stdout=subprocess.PIPE, stderr=log, env=dict(os.environ)
        )
        self._processes.append(process)
        return process

    def _open_link(self, upstream: int) -> _proxy.Link | None:
        if self._proxy is None:
            return None
        return self._proxy.open_link(upstream)

    def kill_all(self) -> None:
        """Kill every process that was started, also paused ones."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
            if process.stdout is not None:
                process.stdout.close()
        self._stack.close()

    def call(
        self,
        method: str,
        path: str,
        body: object = None,
        token: str = OPERATOR_TOKEN,
        port: int | None = None,
        headers: dict[str, str] | None = None,
        timeout_seconds: float = CALL_SECONDS,
    ) -> Reply:
        """Send a request to ``port``, or through the balancer if None."""
        return call_http(
            port or self.balancer_port,
            method,
            path,
            body,
            token,
            headers,
            timeout_seconds,
        )

    def patch(self, version: int, changes: object) -> Reply:
        """Send a patch of configuration ``version`` with a fresh key."""
        headers = {
            "If-Match": f'"{version}"',
            "Idempotency-Key": uuid.uuid4().hex,
        }
        path = "/v1/configuration"
        return self.call("PATCH", path, changes, headers=headers)

    def wait_ready(self, agents: int) -> None:
        """Wait until each entry serves and lists ``agents`` serving agents.

        :raises WaitTimeout: with the state of each entry
        """
        condition = f"{agents} agents at each entry"
        try:
            _waits.wait_until(lambda: self.is_ready(agents), condition)
        except _exceptions.WaitTimeout as error:
            states = [self._describe(entry.port) for entry in self.entries]
            condition += f" (seen: {states})"
            raise _exceptions.WaitTimeout(condition, error.seconds) from error

    def is_ready(self, agents: int) -> bool:
        """Return whether each entry serves and lists ``agents`` serving."""
        return all(
            self._count_serving(entry.port) == agents for entry in self.entries
        )

    def count_jobs(self, entry: Node) -> int:
        """Return the number of jobs that an entry has in flight."""
        reply = self.call("GET", "/v1/status", port=entry.port)
        return reply.body["jobs"]

    def count_withdrawals(self, entry: Node) -> int:
        """Return the number of withdrawals that an entry has sent."""
        return self.read_counter(entry, "withdrawals")

    def count_repeats(self, entry: Node) -> int:
        """Return how many of these withdrawals only repeated earlier ones."""
        return self.read_counter(entry, "repeated_withdrawals")

    def read_counter(self, entry: Node, name: str) -> int:
        """Return the entry's counter ``name``."""
        reply = self.call("GET", "/v1/status", port=entry.port)
        return reply.body["counters"][name]

    def list_agents(self, entry: Node) -> list[str]:
        """Return the sorted names of the agents in an entry's status."""
        reply = self.call("GET", "/v1/status", port=entry.port)
        return sorted(agent["agent"] for agent in reply.body["agents"])

    def read_links(self, entry: Node) -> dict[str, int]:
        """Return the link numbers in an entry's status by agent name."""
        reply = self.call("GET", "/v1/status", port=entry.port)
        return {
            agent["agent"]: agent["link"] for agent in reply.body["agents"]
        }

    def list_members(self, entry: Node) -> list[int]:
        """Return the incarnations of the members in an entry's status."""
        reply = self.call("GET", "/v1/status", port=entry.port)
        return [member["incarnation"] for member in reply.body["members"]]

    def _describe(self, port: int) -> str:
        """Return an entry's state, members and agents as text."""
        try:
            body = self.call("GET", "/v1/status", port=port).body
        except OSError as error:
            return str(error)
        agents = [(agent["agent"], agent["state"]) for agent in body["agents"]]
        members = [member["http"] for member in body["members"]]
        return f"{body['state']} members={members} agents={agents}"

    def _count_serving(self, port: int) -> int:
        try:
            reply = self.call("GET", "/v1/status", port=port)
        except OSError:
            return -1
        if reply.status != http.HTTPStatus.OK:
            return -1
        if reply.body["state"] != "serving":
            return -1
        if len(reply.body["members"]) != len(self.entries):
            return -1
        states = [agent["state"] for agent in reply.body["agents"]]
        return states.count("serving")

    def read_journal(self, target: int | None = None) -> list[dict[str, Any]]:
        """Return the journal of the target ``target``, or of all if None."""
        name = "*" if target is None else str(target)
        lines = []
        for path in sorted(self._folder.glob(f"target-{name}.jsonl")):
            lines.extend(read_lines(path))
        return [json.loads(line) for line in lines]


def read_lines(path: pathlib.Path) -> list[str]:
    """Return the lines of a file that another process appends to.

    The file system shows a write that goes over the end of a page in two
    parts, so that a line may be there by half for a moment.

    :raises WaitTimeout: if the last line is never completed
    """
    text = ""

    def read_whole_lines() -> bool:
        nonlocal text
        text = path.read_text()
        return not text or text.endswith("\n")

    _waits.wait_until(read_whole_lines, f"the end of a line in {path.name}")
    return text.splitlines()


def call_http(
    port: int,
    method: str,
    path: str,
    body: object = None,
    token: str = OPERATOR_TOKEN,
    headers: dict[str, str] | None = None,
    timeout_seconds: float = CALL_SECONDS,
) -> Reply:
    """Send one HTTP request on loopback and return the decoded answer.

    :raises OSError: when the connection is refused, lost or times out
    """
    connection = http.client.HTTPConnection(
        HOST, port, timeout=timeout_seconds
    )
    data = None if body is None else json.dumps(body).encode()
    all_headers = {"Authorization": f"Bearer {token}"} | (headers or {})
    try:
        connection.request(method, path, data, all_headers)
        response = connection.getresponse()
        return Reply(response.status, json.loads(response.read()))
    finally:
        connection.close()


def choose_ports(count: int) -> list[int]:
    """Return free loopback ports chosen by the operating system.

    Each stays bound without listening, so that no outgoing connection gets
    it; a server with SO_REUSEADDR can still bind it.
    """
    ports = []
    for _ in range(count):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((HOST, 0))
        _RESERVED_PORTS.append(sock)
        ports.append(sock.getsockname()[1])
    return ports


def read_port(process: subprocess.Popen[bytes]) -> int:
    """Wait for and return the port that a stand-in prints."""
    return int(process.stdout.readline())


def stop_gracefully(process: subprocess.Popen[bytes]) -> int:
    """Send SIGTERM and return the exit status.

    :raises subprocess.TimeoutExpired: after ``STOP_SECONDS``
    """
    process.terminate()
    return process.wait(STOP_SECONDS)


def _find_binary(name: str) -> list[str]:
    return [str(pathlib.Path(sys.executable).parent / name)]
