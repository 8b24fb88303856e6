"""A long run under load with random faults of every kind.

The seed alone determines the schedule of faults; timing in the processes also
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

from cowslipgate_bench import _checker
from cowslipgate_bench import _deployment
from cowslipgate_bench import _exceptions
from cowslipgate_bench import _fault_injection
from cowslipgate_bench import _versions

ENTRIES = 3
AGENTS = 4
WORKERS = 12
MAX_FAULTS = 3
FAULT_SECONDS = (0.2, 4.0)  # Bounds of the time that faults last.
CALM_SECONDS = (0.1, 1.0)  # Bounds of the time without faults after them.
TRUE_MS = ((1.0,), (20.0,), (5.0, 200.0), (10.0, 10.0, 900.0))
DEADLINES_MS = (300, 3_000, 20_000)


@attrs.define
class SoakResult:
    """Counts and violations of a run."""

    seed: int
    """Seed of the fault schedule and of the jobs."""

    rounds: int = 0
    """Number of rounds of faults so far."""

    check_result: _checker.CheckResult = attrs.Factory(_checker.CheckResult)
    """Latest counts and violations from the checker."""

    reverted: list[tuple[str, int, int]] = attrs.Factory(list)
    """Entry, a version it showed and a lower one that it showed later."""

    failed_starts: int = 0
    """Process starts that failed and were repeated."""

    forced_stops: int = 0
    """Planned stops that did not exit with status 0."""

    @property
    def violated(self) -> bool:
        """Whether any guarantee was violated."""
        return bool(
            self.check_result.find_violations()
            or self.reverted
            or self.forced_stops
        )

    def describe(self) -> str:
        """Return the counts and up to three violations of each kind."""
        check_result = self.check_result
        counts = {
            "seed": self.seed,
            "rounds": self.rounds,
            "jobs": check_result.jobs,
            "answers": check_result.answers,
            "complete": check_result.complete,
            "starts": check_result.starts,
            'said "none"': check_result.answered_none,
            'said "unknown"': check_result.answered_unknown,
            "unknown, nothing started": check_result.unknown_without_start,
            "excused by a killed entry": check_result.excused,
            "duplicate starts": len(check_result.duplicates),
            'wrong "not run"': len(check_result.false_none),
            'wrong "some"': len(check_result.false_some),
            "partial answers": len(check_result.partial),
            "crossed answers": len(check_result.foreign_results),
            "cut requests": len(check_result.unanswered),
            "repeated restarts": self.failed_starts,
            "reverted versions": len(self.reverted),
            "planned stops cut short": self.forced_stops,
        }
        lines = [f"{name:>26}: {count}" for name, count in counts.items()]
        for name, items in check_result.find_violations().items():
            lines.append(f"{name}: {items[:3]}")
        return "\n".join(lines)


def run_soak(duration: datetime.timedelta, seed: int) -> SoakResult:
    """Inject faults under load until a guarantee fails or time is up."""
    result = SoakResult(seed)
    rng = random.Random(seed)
    until = time.monotonic() + duration.total_seconds()
    with tempfile.TemporaryDirectory() as folder:
        with _deployment.deploy(
            pathlib.Path(folder), entries=ENTRIES, agents=AGENTS, slots=4
        ) as deployment:
            watch = _versions.ReversionDetector(result.reverted)
            with _LoadGenerator(deployment, seed):
                while time.monotonic() < until and not result.violated:
                    _run_round(deployment, rng, result)
                    watch.record_versions(deployment.read_versions())
                    result.check_result = deployment.check_submissions()
            result.check_result = _await_recovery(deployment)
            watch.record_versions(deployment.read_versions())
            result.failed_starts = deployment.cluster.failed_starts
            result.forced_stops = sum(
                status != 0 for status in deployment.stops
            )
    return result


def _await_recovery(
    deployment: _deployment.Deployment,
) -> _checker.CheckResult:
    try:
        return deployment.recover_and_check()
    except _exceptions.BenchError:
        print(deployment.describe())
        raise


def _run_round(
    deployment: _deployment.Deployment,
    rng: random.Random,
    result: SoakResult,
) -> None:
    result.rounds += 1
    for _ in range(rng.randint(1, MAX_FAULTS)):
        fault = _fault_injection.draw_fault(rng, ENTRIES, AGENTS)
        print(f"round {result.rounds}: {fault}", file=sys.stderr)
        _fault_injection.inject(fault, deployment)
    time.sleep(rng.uniform(*FAULT_SECONDS))
    deployment.remove_faults()
    time.sleep(rng.uniform(*CALM_SECONDS))


class _LoadGenerator:
    """Callers that each submit one job at a time through the balancer."""

    def __init__(self, deployment: _deployment.Deployment, seed: int) -> None:
        self._deployment = deployment
        self._seed = seed
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._work, args=(number,))
            for number in range(WORKERS)
        ]

    def __enter__(self) -> "_LoadGenerator":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *error: object) -> None:
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _work(self, number: int) -> None:
        rng = random.Random(f"{self._seed}/{number}")
        while not self._stopping.is_set():
            self._submit(rng)

    def _submit(self, rng: random.Random) -> None:
        key = f"key-{rng.random()}" if rng.random() < 0.2 else ""
        pending = self._deployment.submit(
            port=self._deployment.cluster.balancer_port,
            tasks=rng.randint(1, 6),
            true_ms=rng.choice(TRUE_MS),
            deadline_ms=rng.choice(DEADLINES_MS),
            label=rng.choice(("", "wave")),
            key=key,
        )
        if key:
            self._deployment.repeat(pending, key)
        pending.answer.result()


def print_soak(minutes: float, seed: int) -> None:
    """Run, print the result and exit with 1 if a guarantee was violated."""
    try:
        result = run_soak(datetime.timedelta(minutes=minutes), seed)
    except _exceptions.BenchError as error:
        print(f"FAILED with seed {seed}: {error}")
        sys.exit(1)
    print(result.describe())
    if result.violated:
        sys.exit(1)
