"""A long run that mixes every fault from a seeded schedule.

The schedule depends on the seed alone; what the processes make of it also
depends on the machine.
"""

import datetime
import pathlib
import random
import sys
import tempfile
import threading
import time

import attrs

from cowslipgate_bench import _chaos
from cowslipgate_bench import _checker
from cowslipgate_bench import _deployment
from cowslipgate_bench import _exceptions
from cowslipgate_bench import _versions

ENTRIES = 3
AGENTS = 4
WORKERS = 12
MAX_FAULTS = 3
FAULT_SECONDS = (0.2, 4.0)
CALM_SECONDS = (0.1, 1.0)
TRUE_MS = ((1.0,), (20.0,), (5.0, 200.0), (10.0, 10.0, 900.0))
DEADLINES_MS = (300, 3_000, 20_000)


@attrs.define
class Ledger:
    """What a run has seen."""

    seed: int
    """Seed of the schedule."""

    rounds: int = 0
    """Rounds of faults."""

    verdict: _checker.Verdict = attrs.Factory(_checker.Verdict)
    """The judge's counts."""

    reverted: list[tuple[str, int, int]] = attrs.Factory(list)
    """Entry with a version and the lower one that it showed later."""

    failed_starts: int = 0
    """Restarts that had to be repeated."""

    forced: int = 0
    """Planned stops that did not end with status zero."""

    @property
    def broken(self) -> bool:
        """Whether any promise was broken."""
        return bool(
            self.verdict.find_violations() or self.reverted or self.forced
        )

    def describe(self) -> str:
        """Return the ledger as text."""
        verdict = self.verdict
        counts = {
            "seed": self.seed,
            "rounds": self.rounds,
            "jobs": verdict.jobs,
            "answers": verdict.answers,
            "complete": verdict.complete,
            "starts": verdict.starts,
            'said "none"': verdict.said_none,
            'said "unknown"': verdict.said_unknown,
            "unknown, nothing started": verdict.unknown_without_start,
            "excused by a killed entry": verdict.excused,
            "duplicate starts": len(verdict.duplicates),
            'wrong "not run"': len(verdict.false_none),
            'wrong "some"': len(verdict.false_some),
            "partial answers": len(verdict.partial),
            "crossed answers": len(verdict.crossed),
            "cut requests": len(verdict.cut),
            "repeated restarts": self.failed_starts,
            "reverted versions": len(self.reverted),
            "planned stops cut short": self.forced,
        }
        lines = [f"{name:>26}: {count}" for name, count in counts.items()]
        for name, items in verdict.find_violations().items():
            lines.append(f"{name}: {items[:3]}")
        return "\n".join(lines)


def run_soak(duration: datetime.timedelta, seed: int) -> Ledger:
    """Run faults under load until a promise breaks or the time is over."""
    ledger = Ledger(seed)
    chance = random.Random(seed)
    until = time.monotonic() + duration.total_seconds()
    with tempfile.TemporaryDirectory() as folder:
        with _deployment.deploy(
            pathlib.Path(folder), entries=ENTRIES, agents=AGENTS, slots=4
        ) as deployment:
            watch = _versions.VersionWatch(ledger.reverted)
            with _Load(deployment, seed):
                while time.monotonic() < until and not ledger.broken:
                    _run_round(deployment, chance, ledger)
                    watch.look(deployment.read_versions())
                    ledger.verdict = deployment.judge()
            ledger.verdict = _settle(deployment)
            watch.look(deployment.read_versions())
            ledger.failed_starts = deployment.cluster.failed_starts
            ledger.forced = sum(status != 0 for status in deployment.stops)
    return ledger


def _settle(deployment: _deployment.Deployment) -> _checker.Verdict:
    try:
        return deployment.settle()
    except _exceptions.BenchError:
        print(deployment.describe())
        raise


def _run_round(
    deployment: _deployment.Deployment,
    chance: random.Random,
    ledger: Ledger,
) -> None:
    ledger.rounds += 1
    for _ in range(chance.randint(1, MAX_FAULTS)):
        fault = _chaos.draw_fault(chance, ENTRIES, AGENTS)
        print(f"round {ledger.rounds}: {fault}", file=sys.stderr)
        _chaos.inject(fault, deployment)
    time.sleep(chance.uniform(*FAULT_SECONDS))
    deployment.remove_faults()
    time.sleep(chance.uniform(*CALM_SECONDS))


class _Load:
    """Callers that submit one job after another through the balancer."""

    def __init__(self, deployment: _deployment.Deployment, seed: int) -> None:
        self._deployment = deployment
        self._seed = seed
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._work, args=(number,))
            for number in range(WORKERS)
        ]

    def __enter__(self) -> "_Load":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *error: object) -> None:
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _work(self, number: int) -> None:
        chance = random.Random(f"{self._seed}/{number}")
        while not self._stopping.is_set():
            self._submit(chance)

    def _submit(self, chance: random.Random) -> None:
        key = f"key-{chance.random()}" if chance.random() < 0.2 else ""
        pending = self._deployment.submit(
            port=self._deployment.cluster.balancer_port,
            tasks=chance.randint(1, 6),
            true_ms=chance.choice(TRUE_MS),
            deadline_ms=chance.choice(DEADLINES_MS),
            label=chance.choice(("", "wave")),
            key=key,
        )
        if key:
            self._deployment.repeat(pending, key)
        pending.answer.result()


def print_soak(minutes: float, seed: int) -> None:
    """Run, print the ledger and exit non-zero when a promise broke."""
    try:
        ledger = run_soak(datetime.timedelta(minutes=minutes), seed)
    except _exceptions.BenchError as error:
        print(f"FAILED with seed {seed}: {error}")
        sys.exit(1)
    print(ledger.describe())
    if ledger.broken:
        sys.exit(1)
