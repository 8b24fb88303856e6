"""Runs of seeded faults on both programs while callers submit jobs.

The schedule depends on the seed alone; what the processes make of it also
depends on the machine.
"""

from collections.abc import Iterable
import pathlib
import random
import sys
import tempfile
import time

import attrs
from cowslipgate_platform.tests import calls

from cowslipgate_bench import _exceptions
from cowslipgate_bench import _versions
from cowslipgate_bench.faultsoak import _deployment
from cowslipgate_bench.faultsoak import _faults
from cowslipgate_bench.faultsoak import _judge

ENTRIES = 2
AGENTS = 3

MAX_FAULTS = 3
"""Faults of a round, which overlap."""

MAX_TASKS = 6
"""Most tasks of a job; a dozen jobs fill the room of three targets."""

TASK_MS = (10, 600)
"""Run times in milliseconds; tasks of both sites mostly take less."""

LONG_TASK_MS = (1_000, 3_000)
"""Run times that outlast the 1.3 s until a caller comes again."""

LONG_SHARE = 0.2
"""Share of the jobs with such tasks."""

FAULT_SECONDS = (0.2, 3.0)
"""Time that faults last: up to the double of the 1.5 s after which agents
give an entry up, and longer than the lease of 1 s."""

BETWEEN_SECONDS = (0.0, 0.5)
"""Time between two faults of a round, and before its first one."""

JOBS_AT_ONCE = 24
"""Jobs of a round, half of them before its first fault."""

IMPATIENT_SHARE = 0.1
"""Share of the callers that leave before their answer."""

PATIENCE_SECONDS = (0.05, 0.5)
"""When these leave."""

HOPELESS_SHARE = 0.05
"""Share of the jobs that no target can hold."""

HOPELESS_CORES_MILLI = 640_000
"""Processor time of a task of these: forty targets in one."""


@attrs.define
class Ledger:
    """What a run has seen."""

    seed: int
    """Seed of the schedule."""

    faults: list[_faults.Fault] = attrs.Factory(list)
    """Faults so far."""

    jobs: int = 0
    """Jobs submitted."""

    runs: int = 0
    """Runs at targets."""

    statuses: dict[int, int] = attrs.Factory(dict)
    """Jobs by the status of their answer, 0 for none."""

    violations: list[str] = attrs.Factory(list)
    """What broke a promise."""

    def describe(self) -> str:
        """Return the ledger as text."""
        verdict = "BROKEN" if self.violations else "kept"
        lines = [
            f"seed {self.seed}: {verdict}; {len(self.faults)} faults, "
            f"{self.jobs} jobs, {self.runs} runs, by status {self.statuses}",
            *self.violations,
        ]
        if self.violations:
            lines += [f"  after {fault}" for fault in self.faults]
        return "\n".join(lines)


@attrs.define
class _Waiting:
    """A job whose answer is awaited."""

    job: calls.JobSpec
    """The job."""

    answer: _deployment.Answer
    """What its caller will be told."""


def play_seed(folder: pathlib.Path, seed: int, rounds: int) -> Ledger:
    """Play a schedule of faults and judge it.

    :param folder: where settings and logs are written
    """
    system = _deployment.Deployment(folder, ENTRIES, AGENTS)
    played = _Play(system, seed)
    try:
        system.start()
        for _ in range(rounds):
            played.play_round()
        played.judge()
    except _exceptions.WaitTimeout as error:
        played.ledger.violations.append(str(error))
    finally:
        system.close()
    return played.ledger


class _Play:
    """A schedule on a deployment."""

    def __init__(self, system: _deployment.Deployment, seed: int) -> None:
        self.ledger = Ledger(seed)
        self._system = system
        self._chance = random.Random(seed)
        self._versions = _versions.VersionWatch()
        self._sent: list[_judge.Sent] = []

    def play_round(self) -> None:
        """Bring some faults about while jobs come, heal, and look."""
        waiting = [self._submit() for _ in range(JOBS_AT_ONCE // 2)]
        for _ in range(self._chance.randint(1, MAX_FAULTS)):
            time.sleep(self._chance.uniform(*BETWEEN_SECONDS))
            fault = _faults.draw_fault(self._chance, ENTRIES, AGENTS)
            self.ledger.faults.append(fault)
            _faults.inject(fault, self._system)
        waiting += [self._submit() for _ in range(JOBS_AT_ONCE // 2)]
        time.sleep(self._chance.uniform(*FAULT_SECONDS))
        self._versions.look(self._system.read_versions())
        self._system.heal()
        self._system.wait_ready()
        self._system.wait_configured()
        self._versions.look(self._system.read_versions())
        for one in waiting:
            self._sent.append(_judge.Sent(one.job, one.answer.result()))

    def judge(self) -> None:
        """Wait for the end of all runs and judge everything."""
        self._system.wait_ended()
        runs = self._system.list_runs()
        ledger = self.ledger
        ledger.jobs = len(self._sent)
        ledger.runs = len(runs)
        for sent in self._sent:
            status = sent.reply.status
            ledger.statuses[status] = ledger.statuses.get(status, 0) + 1
        ledger.violations += _judge.find_violations(self._sent, runs)
        ledger.violations += self._system.failures
        ledger.violations += self._system.list_tracebacks()
        ledger.violations += [
            f"{entry} went from version {known} back to {version}"
            for entry, known, version in self._versions.reverted
        ]

    def _submit(self) -> _Waiting:
        chance = self._chance
        long = chance.random() < LONG_SHARE
        task_ms = chance.randint(*(LONG_TASK_MS if long else TASK_MS))
        job = self._system.make_job(chance.randint(1, MAX_TASKS), task_ms)
        if chance.random() < IMPATIENT_SHARE:
            max_backlog_time = chance.uniform(*PATIENCE_SECONDS)
            job = attrs.evolve(job, patience_seconds=max_backlog_time)
        if chance.random() < HOPELESS_SHARE:
            job = attrs.evolve(job, cores_milli=HOPELESS_CORES_MILLI)
        entry = chance.randrange(ENTRIES)
        return _Waiting(job, self._system.submit_with_retries(entry, job))


def print_soak(seeds: Iterable[int], rounds: int) -> None:
    """Play seeds one by one and exit non-zero when a promise broke.

    The logs of a seed that broke one are kept.
    """
    broken = 0
    for seed in seeds:
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"faults-{seed}-"))
        ledger = play_seed(folder, seed, rounds)
        print(ledger.describe(), flush=True)
        if ledger.violations:
            broken += 1
            print(f"  logs are in {folder}", flush=True)
            continue
        for path in folder.iterdir():
            path.unlink()
        folder.rmdir()
    if broken:
        sys.exit(1)
