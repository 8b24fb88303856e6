"""Admission compared with a twin that looks at every job each time."""

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


class _World:
    """A ledger with its admission, and what the twin remembers."""

    def __init__(self, seed: int) -> None:
        self.source = random.Random(seed)
        self.clock = core.ManualClock()
        self.ledger = core.Ledger(core.LateBinding())
        self.admission = _admission.Admission(self.ledger)
        self.work: dict[str, float] = {}
        self.verdicts: list[bool] = []
        report = builders.build_report()
        self.ledger.handle_report(report, self.clock.now())

    def submit(self, number: int) -> None:
        job = self.build_job(number)
        refusal = self.admission.find_refusal(job, SERVICES)
        assert refusal == self._find_refusal(job)
        self.verdicts.append(refusal is None)
        if refusal is not None:
            self.admission.forget_job(job)
            return
        self.admission.add_job(job)
        self.ledger.submit(job)

    def run(self) -> None:
        """Start what can start, end some of it, start again."""
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
        """Return the verdict from nothing but the jobs themselves."""
        estimates = self.ledger.estimates
        self.work[job.id] = sum(
            estimates.estimate_size("hall", "", task.size_ms).mean_seconds
            for task in job.request.tasks
        )
        ahead = [
            self._measure_left(other)
            for other in self.ledger.jobs.values()
            if other.waiting
        ]
        shorter = sum(work for work in ahead if work <= self.work[job.id])
        return core.check_wait(
            shorter,
            8 * estimates.get_speed("agent-1"),
            job.deadline - job.submitted_at,
        )

    def _measure_left(self, job: core.Job) -> float:
        tasks = len(job.request.tasks)
        left = tasks - len(job.results)
        return self.work[job.id] * left / tasks


@pytest.mark.parametrize("seed", range(5))
def test_admission_says_the_same_as_its_twin(seed: int) -> None:
    world = _World(seed)
    for number in range(ROUNDS):
        world.submit(number)
        if world.source.random() < 0.4:
            world.run()
    assert set(world.verdicts) == {True, False}


def test_work_taken_is_gone_when_every_job_was_answered() -> None:
    world = _World(1)
    taken = _admission.TakenWork()
    jobs = [world.build_job(number) for number in range(50)]
    for job in jobs:
        taken.add(job, 0.1 * len(job.request.tasks))
    tasks = sum(len(job.request.tasks) for job in jobs)
    assert taken.get_seconds("print") == pytest.approx(0.1 * tasks)
    for job in [*jobs, *jobs]:
        taken.drop(job)
    assert taken.get_seconds("print") == 0


def test_targets_bounded_by_room_refuse_what_cannot_be_done_in_time() -> None:
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
    taken = 0
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
        taken += 1
        admission.add_job(job)
        ledger.submit(job)
        ledger.assign(clock.now(), {"hall": 1000})
    # Ten run at once, and thirty more would do so within three seconds.
    assert 30 <= taken <= 45
