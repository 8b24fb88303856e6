"""Builders of whole deployments for tests."""

import collections
from collections.abc import Iterator
import concurrent.futures
import contextlib
import http
import pathlib
import signal
from typing import Any

import attrs
import cowslipgate_core as core

from cowslipgate_bench import _callers
from cowslipgate_bench import _checker
from cowslipgate_bench import _cluster
from cowslipgate_bench import _proxy
from cowslipgate_bench import _target

TEAM_TOKEN = "hall-token"
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
    """A job under way."""

    tokens: tuple[str, ...]
    """Tokens of its tasks."""

    answer: Answer
    """What the caller will be told."""


@attrs.define(eq=False)
class Deployment:
    """A cluster behind a proxy, with callers."""

    cluster: _cluster.Cluster
    """The processes."""

    callers: _callers.Callers
    """The callers."""

    def submit(self, entry: int = 0, port: int = 0, **options: Any) -> Pending:
        """Submit a job to an entry, or to a given port."""
        job = _callers.JobOptions(**options)
        tokens = self.callers.make_tokens(job.tasks)
        port = port or self.cluster.entries[entry].port
        return Pending(tokens, self.callers.submit(port, job, tokens))

    def read_starts(self) -> collections.Counter[str]:
        """Return the starts that targets wrote down, by token."""
        return _checker.count_starts(self.cluster.read_journal())

    def wait_started(self, pending: Pending, count: int = 1) -> None:
        """Wait until ``count`` tasks of a job have started."""

        def check() -> bool:
            starts = self.read_starts()
            return sum(t in starts for t in pending.tokens) >= count

        _cluster.wait_until(check, f"{count} starts of {pending.tokens}")

    def forgive(self, pending: Pending) -> None:
        """Excuse that a killed entry left a request without an answer."""
        submissions = self.callers.submissions
        found = submissions.index(pending.answer.result())
        submissions[found] = attrs.evolve(submissions[found], entry_died=True)

    def run_until_serving(self) -> None:
        """Submit jobs until quarantined targets have recovered."""
        cluster = self.cluster

        def check() -> bool:
            self.submit(tasks=8).answer.result()
            return cluster.is_ready(len(cluster.agents))

        _cluster.wait_until(check, "every target recovering")

    def heal(self) -> None:
        """Remove every fault and wait until all agents serve again."""
        cluster = self.cluster
        for node in (*cluster.entries, *cluster.agents, *cluster.targets):
            if node.link is not None:
                node.link.heal()
            if node.process.poll() is None:
                node.send_signal(signal.SIGCONT)
        if cluster.table_link is not None:
            cluster.table_link.heal()
        cluster.wait_ready(len(cluster.agents))

    def settle(self) -> _checker.Verdict:
        """Heal, see that jobs complete again, and judge everything."""
        self.heal()
        for number in range(len(self.cluster.entries)):
            probe = self.submit(entry=number, true_ms=(1.0,))
            assert probe.answer.result().complete, probe.answer.result()
        return self.judge()

    def judge(self) -> _checker.Verdict:
        """Judge everything so far."""
        journal = self.cluster.read_journal()
        return _checker.judge(list(self.callers.submissions), journal)


@contextlib.contextmanager
def deploy(
    folder: pathlib.Path,
    *,
    entries: int = 2,
    agents: int = 2,
    slots: int = 2,
    entry_flags: tuple[str, ...] = (),
    targets: tuple[dict[str, Any], ...] = ({},),
) -> Iterator[Deployment]:
    """Start a deployment behind a proxy with short leases.

    :param targets: options of the targets, taken in turn
    """
    with contextlib.ExitStack() as stack:
        proxy = stack.enter_context(_proxy.Proxy())
        cluster = stack.enter_context(_cluster.Cluster(folder, proxy))
        callers = stack.enter_context(_callers.Callers(TEAM_TOKEN))
        cluster.start_table()
        cluster.start_entries(DOMAINS[:entries], *ENTRY_FLAGS, *entry_flags)
        for number in range(agents):
            options = {"slots": slots} | targets[number % len(targets)]
            cluster.start_agent(
                DOMAINS[number % len(DOMAINS)],
                _target.TargetOptions("print", 0, **options),
                *AGENT_FLAGS,
            )
        _cluster.wait_until(
            lambda: _configure(cluster), "the first configuration"
        )
        cluster.wait_ready(agents)
        yield Deployment(cluster, callers)


def _configure(cluster: _cluster.Cluster) -> bool:
    try:
        reply = cluster.patch(0, CONFIGURATION)
    except OSError:
        return False
    return reply.status in (
        http.HTTPStatus.OK,
        http.HTTPStatus.PRECONDITION_FAILED,
    )
