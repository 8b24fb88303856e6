"""Whole deployments behind a proxy, with callers and a checker."""

import collections
from collections.abc import Iterator
import concurrent.futures
import contextlib
import http
import pathlib
import signal
import time
from typing import Any

import attrs
import cowslipgate_core as core

from cowslipgate_bench import _callers
from cowslipgate_bench import _checker
from cowslipgate_bench import _cluster
from cowslipgate_bench import _proxy
from cowslipgate_bench import _target
from cowslipgate_bench import _waits

TEAM_TOKEN = "hall-token"
BACKGROUND_CALLS = 8
STATUS_SECONDS = 2.0
# Time until the balancer's health check sees a restarted entry.
BALANCER_CHECK_SECONDS = 1.5
DOMAINS = ["kaai-zuid", "dokken-noord", "depot-berchem"]
ENTRY_FLAGS = (
    "--inquiry-interval=500ms",
    "--agent-suspect-after=1s",
    "--agent-lost-after=3s",
)
AGENT_FLAGS = ("--heartbeat=250ms", "--entry-lost-after=2s")
CONFIGURATION = {
    "services": {"print": {}},
    "teams": {"hall": {"token_digests": [core.digest_token(TEAM_TOKEN)]}},
}

Answer = concurrent.futures.Future[_checker.Submission]


@attrs.frozen
class Pending:
    """Submitted job and its future answer."""

    tokens: tuple[str, ...]
    """Tokens of its tasks."""

    answer: Answer
    """Future of the submission with its answer."""


@attrs.define(eq=False)
class Deployment:
    """Cluster behind a proxy, with callers."""

    cluster: _cluster.Cluster
    """Processes of the deployment."""

    callers: _callers.Callers
    """Callers, which record every submission."""

    kills: list[tuple[float, float]] = attrs.Factory(list)
    """Begin and end of each outage of a killed entry, monotonic seconds."""

    stops: list[int] = attrs.Factory(list)
    """Exit statuses of planned stops."""

    _background: concurrent.futures.Executor = attrs.Factory(
        lambda: concurrent.futures.ThreadPoolExecutor(BACKGROUND_CALLS)
    )
    """Threads for requests whose answers nothing waits for."""

    def submit(self, entry: int = 0, port: int = 0, **options: Any) -> Pending:
        """Submit a job to an entry by its number, or to ``port`` if not 0.

        :param options: fields of ``JobOptions``
        """
        job = _callers.JobOptions(**options)
        tokens = self.callers.make_tokens(job.tasks)
        port = port or self.cluster.entries[entry].port
        return Pending(tokens, self.callers.submit(port, job, tokens))

    def repeat(self, pending: Pending, key: str) -> None:
        """Submit a job again with its idempotency key and wait for the end."""
        job = _callers.JobOptions(tasks=len(pending.tokens), key=key)
        port = self.cluster.balancer_port
        self.callers.submit(port, job, pending.tokens).result()

    def kill_entry(self, entry: _cluster.Node) -> None:
        """Kill an entry, restart it and record the outage in ``kills``."""
        killed_at = time.monotonic()
        entry.kill()
        self.cluster.restart(entry)
        _waits.wait_until(
            lambda: bool(self.read_version(entry)[0]),
            "the restart of the killed entry",
        )
        recovered_at = time.monotonic() + BALANCER_CHECK_SECONDS
        self.kills.append((killed_at, recovered_at))

    def read_version(
        self,
        entry: _cluster.Node,
        timeout_seconds: float = _cluster.CALL_SECONDS,
    ) -> tuple[str, int]:
        """Return an entry's incarnation and configuration version or 0.

        :raises OSError: when the entry does not answer in time
        """
        reply = self.cluster.call(
            "GET",
            "/v1/status",
            port=entry.port,
            timeout_seconds=timeout_seconds,
        )
        version = reply.body["configuration_version"]
        return reply.body["entry"], version or 0

    def read_versions(self) -> dict[str, int]:
        """Return the version of each reachable entry by incarnation."""
        versions = {}
        for entry in self.cluster.entries:
            with contextlib.suppress(OSError):
                # A paused entry does not answer.
                name, version = self.read_version(entry, STATUS_SECONDS)
                # A starting entry has no version, which is no reverted one.
                if version:
                    versions[name] = version
        return versions

    def set_table_mode(self, mode: str) -> None:
        """Switch the table service to a mode, ``normal`` for no fault."""
        faults = {"mode": mode}
        _cluster.call_http(self.cluster.table_port, "PUT", "/faults", faults)

    def start_cancellation(self, label: str) -> None:
        """Send a cancellation without waiting for the answer."""
        port = self.cluster.balancer_port
        self._background.submit(
            _cluster.call_http,
            port,
            "POST",
            "/v1/services/print/cancellations",
            {"label": label},
            TEAM_TOKEN,
        )

    def start_patch(self) -> None:
        """Patch the newest version without waiting for the answer."""
        version = max(self.read_versions().values(), default=0)
        self._background.submit(self.cluster.patch, version, CONFIGURATION)

    def cancel(self, label: str, entry: int = 0) -> int:
        """Cancel the jobs with a label and return their number."""
        reply = self.cluster.call(
            "POST",
            "/v1/services/print/cancellations",
            {"label": label},
            TEAM_TOKEN,
            self.cluster.entries[entry].port,
        )
        return reply.body["cancelled"]

    def read_starts(self) -> collections.Counter[str]:
        """Return the number of starts in the targets' journals by token."""
        return _checker.count_starts(self.cluster.read_journal())

    def wait_started(self, pending: Pending, count: int = 1) -> None:
        """Wait until ``count`` tasks of a job have started."""

        def check() -> bool:
            starts = self.read_starts()
            return sum(t in starts for t in pending.tokens) >= count

        _waits.wait_until(check, f"{count} starts of {pending.tokens}")

    def mark_excused(self, pending: Pending) -> None:
        """Mark a job's missing answer as excused by a killed entry."""
        submissions = self.callers.submissions
        position = submissions.index(pending.answer.result())
        submissions[position] = attrs.evolve(
            submissions[position], entry_killed=True
        )

    def run_until_serving(self) -> None:
        """Submit jobs until quarantined targets have recovered."""
        cluster = self.cluster

        def check() -> bool:
            self.submit(tasks=8).answer.result()
            return cluster.is_ready(len(cluster.agents))

        _waits.wait_until(check, "the recovery of every target")

    def recover(self) -> None:
        """Remove every fault and wait until all agents serve again."""
        self.remove_faults()
        self.cluster.wait_ready(len(self.cluster.agents))

    def remove_faults(self) -> None:
        """Remove every fault of links, processes and the table service."""
        cluster = self.cluster
        for node in (*cluster.entries, *cluster.agents, *cluster.targets):
            if node.link is not None:
                node.link.clear_faults()
            if node.process.poll() is None:
                node.send_signal(signal.SIGCONT)
        if cluster.table_link is not None:
            cluster.table_link.clear_faults()
        self.set_table_mode("normal")

    def describe(self) -> str:
        """Return each entry's status, or the end of its log, as text."""
        lines = []
        for entry in self.cluster.entries:
            try:
                path = "/v1/status"
                body = self.cluster.call("GET", path, port=entry.port).body
            except OSError as error:
                log = self.cluster.read_log(entry)
                lines.append(f"{entry.name}: {error}; {log}")
                continue
            members = [member["incarnation"] for member in body["members"]]
            agents = {
                agent["agent"]: agent["state"] for agent in body["agents"]
            }
            lines.append(
                f"{entry.name} {body['entry']}: {body['state']}, "
                f"version {body['configuration_version']}, "
                f"members {members}, agents {agents}"
            )
        return "\n".join(lines)

    def recover_and_check(self) -> _checker.CheckResult:
        """Remove faults, run a job at each entry and check all answers."""
        self.recover()
        for number in range(len(self.cluster.entries)):
            probe = self.submit(entry=number, true_ms=(1.0,))
            assert probe.answer.result().complete, probe.answer.result()
        return self.check_submissions()

    def check_submissions(self) -> _checker.CheckResult:
        """Check every answer so far."""
        submissions = [
            _checker.excuse_missing_answer(submission, self.kills)
            for submission in list(self.callers.submissions)
        ]
        return _checker.check_submissions(
            submissions, self.cluster.read_journal()
        )


@contextlib.contextmanager
def deploy(
    folder: pathlib.Path,
    *,
    entries: int = 2,
    agents: int = 2,
    slots: int = 2,
    entry_flags: tuple[str, ...] = (),
    agent_flags: tuple[str, ...] = (),
    targets: tuple[dict[str, Any], ...] = ({},),
    regions: tuple[str, ...] = ("default",),
    callers: int = 256,
    proxied: bool = True,
) -> Iterator[Deployment]:
    """Start a deployment, with short time limits.

    :param targets: fields of ``TargetOptions``, assigned in turn
    :param regions: regions of entries and of agents, assigned in turn
    :param callers: highest number of callers that wait at once
    :param proxied: whether its links pass through a proxy in this process,
        which faults of links need and many callers delay
    """
    with contextlib.ExitStack() as stack:
        proxy = stack.enter_context(_proxy.Proxy()) if proxied else None
        cluster = stack.enter_context(_cluster.Cluster(folder, proxy))
        pool = stack.enter_context(_callers.Callers(TEAM_TOKEN, callers))
        cluster.start_table()
        flags = _merge_flags(ENTRY_FLAGS, entry_flags)
        cluster.start_entries(DOMAINS[:entries], *flags, regions=regions)
        for number in range(agents):
            options = {"slots": slots} | targets[number % len(targets)]
            cluster.start_agent(
                DOMAINS[number % len(DOMAINS)],
                _target.TargetOptions("print", 0, **options),
                f"--region={regions[number % len(regions)]}",
                *_merge_flags(AGENT_FLAGS, agent_flags),
            )
        _waits.wait_until(
            lambda: _configure(cluster), "the first configuration"
        )
        cluster.wait_ready(agents)
        yield Deployment(cluster, pool)


def _merge_flags(
    defaults: tuple[str, ...], flags: tuple[str, ...]
) -> tuple[str, ...]:
    by_name = {flag.partition("=")[0]: flag for flag in defaults + flags}
    return tuple(by_name.values())


def _configure(cluster: _cluster.Cluster) -> bool:
    try:
        reply = cluster.patch(0, CONFIGURATION)
    except OSError:
        return False
    return reply.status in (
        http.HTTPStatus.OK,
        http.HTTPStatus.PRECONDITION_FAILED,
    )
