"""Processor time of dispatch decisions, without sockets."""

from collections.abc import Callable, Sequence
import datetime
import random
import time

import attrs
import cowslipgate_core as core

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
SLOTS = 8
TASKS = 30
JOBS = 40
ROUNDS = 300
MIN_ENDING_TASKS = 5
BUSY_SHARE = 0.9
QUOTAS = {"team-a": 1_000_000_000}
SERVICE = "schapkaart"


@attrs.frozen
class DecisionCost:
    """Processor time of an entry's decisions."""

    policy: str
    """Name of the policy."""

    targets: int
    """Number of targets."""

    microseconds: float
    """Time for each task, from submission to result."""

    pass_microseconds: float
    """Time for one call of ``assign``, which may start several tasks."""


POLICIES: dict[str, Callable[[], core.Policy]] = {
    "round_robin": core.RoundRobin,
    "least_completion": core.LeastCompletion,
    "late_binding": core.LateBinding,
    "matching": core.Matching,
}


def measure_costs(counts: Sequence[int]) -> list[DecisionCost]:
    """Return the costs of each policy at each number of targets."""
    return [
        _LedgerBenchmark(make(), count).run(name)
        for name, make in POLICIES.items()
        for count in counts
    ]


def format_costs(costs: Sequence[DecisionCost]) -> str:
    """Return a table of the costs."""
    lines = [f"{'policy':>16} {'targets':>8} {'us/task':>8} {'us/pass':>8}"]
    lines.extend(
        f"{cost.policy:>16} {cost.targets:>8} "
        f"{cost.microseconds:>8.1f} {cost.pass_microseconds:>8.1f}"
        for cost in costs
    )
    return "\n".join(lines)


class _LedgerBenchmark:
    """Ledger under a simulated high load: as tasks end, others start."""

    def __init__(self, policy: core.Policy, targets: int) -> None:
        self._generator = random.Random(1)
        self._targets = targets
        self._ledger = core.Ledger(policy)
        self._running: list[tuple[str, int]] = []
        self._jobs = 0
        self._now = START
        for number in range(targets):
            self._ledger.hear_report(self._make_report(number), START)

    def run(self, name: str) -> DecisionCost:
        """Return the cost over ``ROUNDS`` after filling the targets."""
        while len(self._running) < BUSY_SHARE * SLOTS * self._targets:
            self._submit()
            self._assign()
        self._refill()
        ending = max(MIN_ENDING_TASKS, len(self._running) // 100)
        tasks = 0
        assign_seconds = 0.0
        started_at = time.process_time()
        for _ in range(ROUNDS):
            self._now += datetime.timedelta(milliseconds=5)
            tasks += self._finish(ending)
            self._refill()
            before = time.process_time()
            self._assign()
            assign_seconds += time.process_time() - before
        total = time.process_time() - started_at
        return DecisionCost(
            name,
            self._targets,
            total / tasks * 1e6,
            assign_seconds / ROUNDS * 1e6,
        )

    def _refill(self) -> None:
        while len(self._ledger.jobs) < JOBS:
            self._submit()

    def _make_report(self, number: int) -> core.Report:
        return core.Report(
            f"agent-{number}",
            1,
            SERVICE,
            "kaai-zuid",
            "serving",
            core.Resources(128_000, 0),
            core.Load(SLOTS, 0, 0),
            1,
            "",
        )

    def _submit(self) -> None:
        self._jobs += 1
        sizes = [self._generator.uniform(50, 1000) for _ in range(TASKS)]
        request = core.JobRequest(
            tuple(core.TaskRequest(kind="tag", size_ms=s) for s in sizes)
        )
        job = core.Job(
            f"job-{self._jobs}",
            "team-a",
            SERVICE,
            request,
            self._now,
            self._now + datetime.timedelta(hours=1),
            self._ledger.make_machine(),
        )
        self._ledger.submit(job)

    def _assign(self) -> None:
        for action in self._ledger.assign(self._now, QUOTAS):
            self._running.extend(
                (action.agent, order.attempt) for order in action.orders
            )

    def _finish(self, count: int) -> int:
        finished = min(count, len(self._running))
        for _ in range(finished):
            position = self._generator.randrange(len(self._running))
            self._running[position], last = (
                self._running[-1],
                self._running[position],
            )
            self._running.pop()
            agent, attempt = last
            report = core.AttemptReport(
                attempt, core.Outcome.FINISHED, run_ms=200.0
            )
            load = core.Load(SLOTS, 0, 0)
            self._ledger.hear_results(
                core.Results(agent, 1, load, (report,)), self._now
            )
        return finished
