"""Tests of admission against a reference that iterates over all jobs."""

import datetime
import random

import attrs
import pytest

import cowslipgate_core as core
from cowslipgate_entry.callers import _admission
from cowslipgate_entry.tests import builders

SERVICES = {"print": core.Service()}
ROUNDS = 150
SECOND = datetime.timedelta(seconds=1)


class _AdmissionHarness:
    """A ledger with its admission, and the records of the reference."""

    def __init__(self, seed: int) -> None:
        self.source = random.Random(seed)
        self.clock = core.ManualClock()
        self.ledger = core.Ledger(core.LateBinding())
        self.admission = _admission.Admission(self.ledger)
        self.work: dict[str, float] = {}
        self.decisions: list[bool] = []
        report = builders.build_report()
        self.ledger.handle_report(report, self.clock.now())

    def submit(self, number: int) -> None:
        job = self.build_job(number)
        refusal = self.admission.find_refusal(job, SERVICES)
        assert refusal == self._find_refusal(job)
        self.decisions.append(refusal is None)
        if refusal is not None:
            self.admission.forget_job(job)
            return
        self.admission.add_job(job)
        self.ledger.submit(job)

    def run(self) -> None:
        """Assign tasks, end or cancel some at random, and assign again."""
        self.clock.advance(SECOND)
        self._assign()
        running = list(self.ledger.attempts)
        ended = self.source.sample(running, len(running) // 2)
        for attempt in ended:
            report = core.AttemptReport(
                attempt,
                self.source.choice(
                    (core.Outcome.FINISHED, core.Outcome.NOT_STARTED)
                ),
                run_ms=self.source.uniform(50, 5000),
            )
            results = core.Results("agent-1", 1, core.Load(8, 0, 0), (report,))
            self._perform(
                self.ledger.handle_results(results, self.clock.now())
            )
        jobs = list(self.ledger.jobs.values())
        if jobs and self.source.random() < 0.2:
            job = self.source.choice(jobs)
            self._perform(self.ledger.cancel(job, self.clock.now()))
        report = builders.build_report()
        self.ledger.handle_report(report, self.clock.now())
        self.clock.advance(SECOND)
        self._assign()

    def _assign(self) -> None:
        self.ledger.assign(self.clock.now(), {"hall": 1000})

    def _perform(self, actions: list[core.LedgerAction]) -> None:
        for action in actions:
            if isinstance(action, core.AnswerJob):
                self.admission.forget_job(action.job)

    def build_job(self, number: int) -> core.Job:
        now = self.clock.now()
        sizes = [
            self.source.choice((100.0, 500.0, 3000.0))
            for _ in range(self.source.randint(1, 12))
        ]
        tasks = tuple(core.TaskRequest(size_ms=size) for size in sizes)
        return core.Job(
            f"job-{number}",
            "hall",
            "print",
            core.JobRequest(tasks),
            now,
            now + SECOND * self.source.choice((1, 5, 20)),
            self.ledger.make_machine(),
        )

    def _find_refusal(self, job: core.Job) -> core.Refusal | None:
        """Return the reference decision, computed from all jobs."""
        estimates = self.ledger.estimates
        self.work[job.id] = sum(
            estimates.estimate_size("hall", "", task.size_ms).mean_seconds
            for task in job.request.tasks
        )
        ahead = [
            self._estimate_remaining(other)
            for other in self.ledger.jobs.values()
            if other.waiting
        ]
        shorter = sum(work for work in ahead if work <= self.work[job.id])
        return core.check_wait(
            shorter,
            8 * estimates.get_speed("agent-1"),
            job.deadline - job.submitted_at,
        )

    def _estimate_remaining(self, job: core.Job) -> float:
        tasks = len(job.request.tasks)
        left = tasks - len(job.results)
        return self.work[job.id] * left / tasks


@pytest.mark.parametrize("seed", range(5))
def test_admission_agrees_with_the_reference(seed: int) -> None:
    harness = _AdmissionHarness(seed)
    for number in range(ROUNDS):
        harness.submit(number)
        if harness.source.random() < 0.4:
            harness.run()
    assert set(harness.decisions) == {True, False}


def test_work_in_flight_is_zero_once_every_job_was_answered() -> None:
    harness = _AdmissionHarness(1)
    work = _admission.WorkInFlight()
    jobs = [harness.build_job(number) for number in range(50)]
    for job in jobs:
        work.add(job, 0.1 * len(job.request.tasks))
    tasks = sum(len(job.request.tasks) for job in jobs)
    assert work.get_seconds("print") == pytest.approx(0.1 * tasks)
    for job in [*jobs, *jobs]:
        work.remove(job)
    assert work.get_seconds("print") == 0


def test_jobs_that_room_cannot_finish_in_time_are_refused() -> None:
    # One target of 32 cores has room for ten tasks of one second at once.
    clock = core.ManualClock()
    ledger = core.Ledger(core.LateBinding())
    admission = _admission.Admission(ledger)
    room = core.Resources(1_000, 0, 32_000)
    load = core.Load(core.UNBOUNDED_SLOTS, 0, 0)
    report = attrs.evolve(
        builders.build_report(), load=load, resources=room, room=room
    )
    ledger.handle_report(report, clock.now())
    task = core.TaskRequest(size_ms=1_000, needs=core.Resources(0, 0, 3_100))
    accepted = 0
    for number in range(100):
        job = core.Job(
            f"job-{number}",
            "hall",
            "print",
            core.JobRequest((task,)),
            clock.now(),
            clock.now() + 3 * SECOND,
            ledger.make_machine(),
        )
        if admission.find_refusal(job, SERVICES) is not None:
            break
        accepted += 1
        admission.add_job(job)
        ledger.submit(job)
        ledger.assign(clock.now(), {"hall": 1000})
    # Ten run at once, and thirty more would finish within three seconds.
    assert 30 <= accepted <= 45
