"""An entry or agent process on its own loopback address."""

from collections.abc import Sequence
import enum
import json
import os
import pathlib
import signal
import subprocess
import sys

import attrs

from cowslipgate_platform import _machine
from cowslipgate_platform.tests import calls
import cowslipgate_transport as transport

from cowslipgate_bench import _proxy

# Ports from the examples in the platform's documentation.
CALLERS_PORT = 8_161
CONTROL_PORT = 8_166
TARGET_PORT = 8_165
STORE_PORT = 8_169
AGENTS_PORT = 7_720

ENTRY_MAIN = pathlib.Path(__file__).with_name("_entry_main.py")
"""Script that runs an entry behind a proxy for its agents."""

SETTINGS_TEMPLATE = """
node_name = "{name}"
machine_class = "{machine_class}"
ip = "{ip}"
zone = "{domain}"
region = "muscat"
internal_ports = [{agents_port}, 7735]
seeds = {seeds}
{target}
[listen]
{listen}
[bounds]
hold_max_ms = 1000
resend_ms = 1300
grace_s = 6
{bounds}
[platform]
address = "{store}"
"""


DOMAIN = "ruwi"
"""Failure domain of processes for which no other one is chosen."""


class Role(enum.StrEnum):
    """Program that a process runs."""

    ENTRY = "entry"
    AGENT = "agent"


@attrs.define(eq=False)
class Node:
    """An entry or agent process with its settings."""

    role: Role
    """Whether it is an entry or an agent."""

    ip: str
    """Loopback address of the process."""

    settings: pathlib.Path
    """Path of its settings file."""

    log: pathlib.Path
    """Path of its log."""

    work_link: _proxy.Link
    """Link from callers to an entry, or from an agent to its target."""

    store_link: _proxy.Link
    """Link from the process to the store."""

    agents_link: _proxy.Link | None = None
    """Link from agents to an entry, or None where it is direct."""

    domain: str = DOMAIN
    """Failure domain of the process."""

    process: "subprocess.Popen[bytes] | None" = None
    """Current process, or None before the first start."""

    def start(self) -> None:
        """Start the process."""
        command = [sys.executable, "-P", "-m", "cowslipgate_platform"]
        if self.agents_link is not None:
            command[2:] = [str(ENTRY_MAIN)]
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [*command, self.role],
                env=os.environ | {_machine.VARIABLE: str(self.settings)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    @property
    def name(self) -> str:
        """Name of the simulated VM."""
        return self.settings.stem

    @property
    def address(self) -> transport.Address:
        """Proxy address for an entry's callers, or of an agent's target."""
        return transport.Address(_proxy.HOST, self.work_link.port)

    @property
    def running(self) -> bool:
        """Whether the process was started and has not exited."""
        return self.process is not None and self.process.poll() is None

    def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        self.process.kill()
        self.process.wait()

    def restart(self) -> None:
        """Kill the process and start it again."""
        self.kill()
        self.start()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def left_unfinished_jobs(self) -> bool:
        """Return whether its last drain ended with unfinished jobs."""
        unfinished = [
            line["jobs"]
            for line in self.read_log()
            if line["event"] == "DrainEnded"
        ]
        return bool(unfinished) and unfinished[-1] != 0

    def read_log(self) -> list[dict[str, object]]:
        """Return the JSON lines of its log."""
        lines = self.log.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]


def make_node(
    folder: pathlib.Path,
    role: Role,
    ip: str,
    seeds: Sequence[str],
    work_link: _proxy.Link,
    store_link: _proxy.Link,
    domain: str = DOMAIN,
    evacuate_ms: int = 0,
) -> Node:
    """Write the settings of a process and return it without starting it.

    :param seeds: control addresses of entries
    :param evacuate_ms: bound that enables evacuations; zero for none
    """
    machine_class, ports, target = _ROLE_SETTINGS[role]
    name = f"{machine_class}-{ip}"
    listen = [f'{served} = "{ip}:{port}"' for served, port in ports.items()]
    path = folder / f"{name}.toml"
    path.write_text(
        SETTINGS_TEMPLATE.format(
            name=name,
            machine_class=machine_class,
            ip=ip,
            agents_port=AGENTS_PORT,
            seeds=json.dumps(list(seeds)),
            target=target.format(address=f"{_proxy.HOST}:{work_link.port}"),
            listen="\n".join(listen),
            store=f"{_proxy.HOST}:{store_link.port}",
            domain=domain,
            bounds=f"evacuate_ms = {evacuate_ms}" if evacuate_ms else "",
        )
    )
    return Node(
        role,
        ip,
        path,
        folder / f"{name}.log",
        work_link,
        store_link,
        domain=domain,
    )


_ROLE_SETTINGS = {
    Role.ENTRY: (
        "edge",
        {
            "front": CALLERS_PORT,
            "ready": calls.READY_PORT,
            "control": CONTROL_PORT,
        },
        "",
    ),
    Role.AGENT: (
        "side",
        {"control": CONTROL_PORT},
        'app = "{address}"\nservice = "huvo11a"',
    ),
}
