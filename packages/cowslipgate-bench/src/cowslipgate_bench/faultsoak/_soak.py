"""Seeded fault schedules on entries and agents while callers submit jobs.

The schedule depends on the seed alone; the timing of the processes also
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
from cowslipgate_bench.faultsoak import _violations

SMALLEST_AGENTS = 3
"""Agents for which the faults and jobs of a round are counted; larger fleets
get proportionally more."""

MAX_FAULTS = 3
"""Maximum number of faults of a round, which overlap."""

MAX_TASKS = 6
"""Maximum tasks of a job; a dozen jobs fill the room of three targets."""

TASK_MS = (10, 600)
"""Range of run times in milliseconds; most tasks of both sites take less."""

LONG_TASK_MS = (1_000, 5_000)
"""Range of run times that outlast the 1.3 s until a caller resubmits, or the
3.5 s after which an entry counts the runs of a silent agent as over."""

LONG_SHARE = 0.2
"""Share of the jobs with long tasks."""

FAULT_SECONDS = (0.2, 3.0)
"""Range of the time from the last fault of a round until all are healed: up
to twice the 1.5 s after which agents count an entry as lost, and longer than
the lease of 1 s."""

FAULT_GAP_SECONDS = (0.0, 0.5)
"""Range of the time before each fault of a round."""

JOBS_PER_ROUND = 24
"""Jobs of a round, half of them submitted before its first fault."""

IMPATIENT_SHARE = 0.1
"""Share of the callers with a short timeout."""

IMPATIENT_TIMEOUT_SECONDS = (0.05, 0.5)
"""Range of this timeout."""

ROUTE_TIMEOUTS_MS = (1_500, 8_000, 18_000)
"""Timeouts of the route: that of the sites, and two above the 5.5 s in which
an entry drains."""

ROUTE_DEADLINE_SHARE = 0.3
"""Share of the callers that wait as long as the route says."""

DOMAINS = ("ruwi", "seeb", "qurum")
"""Failure domains, one for each agent of the smallest fleet."""

EVACUATE_MS = 5_000

EVACUATED_SHARE = 0.25
"""Share of the rounds in which a domain is evacuated. It is requested before
the faults and revoked after they are healed."""

EVACUATED_SECONDS = 0.5
"""Time for which no run may start in the domain once all have confirmed."""

EVACUATED_JOBS = 6
"""Jobs that are submitted in that time."""

OVERSIZED_SHARE = 0.05
"""Share of the jobs whose tasks fit no target."""

OVERSIZED_MILLICORES = 640_000
"""Processor time of such a task in thousandths of a core: forty targets'."""


@attrs.frozen
class Fleet:
    """Number of processes of a soak."""

    entries: int = 2
    """Number of entries, at most as many as an agent connects to."""

    agents: int = SMALLEST_AGENTS
    """Number of agents, each with a target."""

    @property
    def scale(self) -> int:
        """Multiple of the faults and jobs of the smallest fleet."""
        return max(1, self.agents // SMALLEST_AGENTS)


@attrs.define
class SoakResult:
    """Figures and violations of a soak with one seed."""

    seed: int
    """Seed of the schedule."""

    faults: list[_faults.Fault] = attrs.Factory(list)
    """Faults injected so far."""

    jobs: int = 0
    """Number of jobs submitted."""

    runs: int = 0
    """Number of runs on targets."""

    statuses: dict[int, int] = attrs.Factory(dict)
    """Number of jobs by HTTP status of their last reply, 0 for none."""

    violations: list[str] = attrs.Factory(list)
    """A line for each violated guarantee."""

    def describe(self) -> str:
        """Return the result as text, with the faults if it has violations."""
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
class _PendingJob:
    """A job whose reply is pending."""

    job: calls.JobSpec
    """The job."""

    answer: _deployment.Answer
    """Future of the last reply."""


def run_seed(
    folder: pathlib.Path, seed: int, rounds: int, fleet: Fleet = Fleet()
) -> SoakResult:
    """Run a schedule of faults and check the guarantees.

    :param folder: where settings and logs are written
    """
    # Numbers of its own, so that a seed's faults stay the same.
    settings = random.Random(f"settings {seed}")
    evacuations = random.Random(f"evacuations {seed}")
    system = _deployment.Deployment(
        folder,
        fleet.entries,
        fleet.agents,
        settings.choice(ROUTE_TIMEOUTS_MS),
        DOMAINS,
        EVACUATE_MS,
    )
    soak = _Soak(system, seed, fleet, settings, evacuations)
    try:
        system.start()
        for _ in range(rounds):
            soak.run_round()
        soak.check()
    except _exceptions.WaitTimeout as error:
        soak.result.violations.append(str(error))
    finally:
        system.close()
    return soak.result


class _Soak:
    """A seeded schedule on a deployment."""

    def __init__(
        self,
        system: _deployment.Deployment,
        seed: int,
        fleet: Fleet,
        settings: random.Random,
        evacuations: random.Random,
    ) -> None:
        self._settings = settings
        self._evacuations = evacuations
        self.result = SoakResult(seed)
        self._system = system
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._versions = _versions.ReversionDetector()
        self._sent: list[_violations.SentJob] = []

    def run_round(self) -> None:
        """Inject faults while jobs come, heal them, and await the replies."""
        scale = self._fleet.scale
        half = JOBS_PER_ROUND * scale // 2
        self._evacuate_sometimes()
        submitted = [self._submit() for _ in range(half)]
        for _ in range(self._rng.randint(1, MAX_FAULTS * scale)):
            time.sleep(self._rng.uniform(*FAULT_GAP_SECONDS) / scale)
            fault = _faults.draw_fault(
                self._rng, self._fleet.entries, self._fleet.agents
            )
            self.result.faults.append(fault)
            _faults.inject(fault, self._system)
        submitted += [self._submit() for _ in range(half)]
        time.sleep(self._rng.uniform(*FAULT_SECONDS))
        self._versions.record_versions(self._system.read_versions())
        self._system.heal()
        self._system.wait_ready()
        self._system.wait_configured()
        if self._system.evacuated:
            submitted += self._check_evacuation()
        self._versions.record_versions(self._system.read_versions())
        for pending in submitted:
            self._sent.append(
                _violations.SentJob(pending.job, pending.answer.result())
            )

    def _evacuate_sometimes(self) -> None:
        if self._evacuations.random() >= EVACUATED_SHARE:
            return
        domain = self._evacuations.choice(DOMAINS)
        self.result.faults.append(_faults.EvacuateDomain(domain))
        _faults.inject(self.result.faults[-1], self._system)

    def _check_evacuation(self) -> list[_PendingJob]:
        """Check that no run starts in the domain, and revoke the request."""
        system = self._system
        system.wait_evacuated()
        # A target may carry out an order until its lease ends.
        time.sleep(_violations.MAX_START_DELAY_SECONDS)
        before = {run.number for run in system.list_evacuated_runs()}
        jobs = [self._submit() for _ in range(EVACUATED_JOBS)]
        time.sleep(EVACUATED_SECONDS)
        self.result.violations += [
            f"run {run.number} of {run.task} began in evacuated"
            f" {system.evacuated}"
            for run in system.list_evacuated_runs()
            if run.number not in before
        ]
        system.revoke()
        return jobs

    def check(self) -> None:
        """Wait until all runs have ended and check the guarantees."""
        self._system.wait_ended()
        runs = self._system.list_runs()
        result = self.result
        result.jobs = len(self._sent)
        result.runs = len(runs)
        for sent in self._sent:
            status = sent.reply.status
            result.statuses[status] = result.statuses.get(status, 0) + 1
        result.violations += _violations.find_violations(self._sent, runs)
        result.violations += self._system.failures
        result.violations += self._system.list_tracebacks()
        result.violations += [
            f"{entry} went from version {known} back to {version}"
            for entry, known, version in self._versions.reverted
        ]

    def _submit(self) -> _PendingJob:
        rng = self._rng
        long = rng.random() < LONG_SHARE
        task_ms = rng.randint(*(LONG_TASK_MS if long else TASK_MS))
        job = self._system.make_job(rng.randint(1, MAX_TASKS), task_ms)
        if rng.random() < IMPATIENT_SHARE:
            timeout_seconds = rng.uniform(*IMPATIENT_TIMEOUT_SECONDS)
            job = attrs.evolve(job, timeout_seconds=timeout_seconds)
        if self._settings.random() < ROUTE_DEADLINE_SHARE:
            job = attrs.evolve(job, names_deadline=False)
        if rng.random() < OVERSIZED_SHARE:
            job = attrs.evolve(job, cores_milli=OVERSIZED_MILLICORES)
        entry = rng.randrange(self._fleet.entries)
        return _PendingJob(job, self._system.submit_with_retries(entry, job))


def print_soak(
    seeds: Iterable[int], rounds: int, fleet: Fleet = Fleet()
) -> None:
    """Run seeds one by one; exit with status 1 if a guarantee was violated.

    The logs of a seed with violations are kept.
    """
    failed = 0
    for seed in seeds:
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"faults-{seed}-"))
        result = run_seed(folder, seed, rounds, fleet)
        print(result.describe(), flush=True)
        if result.violations:
            failed += 1
            print(f"  logs are in {folder}", flush=True)
            continue
        for path in folder.iterdir():
            path.unlink()
        folder.rmdir()
    if failed:
        sys.exit(1)
