"""Builders of waiting jobs, runs and a small fleet for tests of preemption.

The load is that of a service with three routes: jobs of 8 tasks of 0.12 s
(priority 0), of 2 tasks of 0.4 s (1) and of 4 tasks of 1.8 s (2). A task
needs 2.7 cores of targets with 16.
"""

import datetime
import heapq
import itertools
import random

import cowslipgate_core as core
from cowslipgate_core.tests import builders

NEEDS = core.Resources(0, 0, 2_700)
ROOM = core.Resources(64_000, 0, 16_000)
CORES = 2.7
OBJECTIVE = datetime.timedelta(milliseconds=61)
SLOWDOWN = 1.6
KINDS = {0: (8, 0.12), 1: (2, 0.4), 2: (4, 1.8)}
"""Tasks of a job and seconds of each, by priority."""

QUOTAS = {"hall": 1_000}
STOP_SECONDS = 0.05
SIZE_SIGMA = 0.4


def after(seconds: float) -> datetime.datetime:
    """Return a time that many seconds after the start."""
    return builders.NOW + datetime.timedelta(seconds=seconds)


def build_terms(priority: int) -> core.JobTerms:
    """Return the terms of a route."""
    return core.JobTerms(
        request=f"r{priority}",
        rerun_lost=True,
        priority=priority,
        objective=OBJECTIVE,
        slowdown=SLOWDOWN,
    )


def build_waiting(
    name: str = "urgent", priority: int = 0, submitted: float = 0.0
) -> core.WaitingJob:
    """Return a waiting job.

    :param submitted: seconds after the start
    """
    count, seconds = KINDS[priority]
    tasks = [
        core.WaitingTask(name, index, seconds, NEEDS, seconds)
        for index in range(count)
    ]
    return core.WaitingJob(
        name, "hall", after(submitted), tasks, terms=build_terms(priority)
    )


def build_run(
    attempt: int,
    agent: str = "agent-0",
    priority: int = 2,
    sent: float = 0.0,
    **changes: object,
) -> core.RunningTask:
    """Return a run of a job of its own, submitted when it was sent."""
    _, seconds = KINDS[priority]
    values = {
        "needs": NEEDS,
        "due_at": after(sent + SLOWDOWN * seconds + 0.061),
    } | changes
    return core.RunningTask(
        attempt,
        f"job-{attempt}",
        agent,
        priority,
        sent_at=after(sent),
        seconds=seconds,
        submitted_at=after(sent),
        **values,
    )


def build_pool(runs: list[core.RunningTask], targets: int = 1) -> core.Pool:
    """Return targets with room for five tasks each, and the runs there."""
    views = []
    for number in range(targets):
        agent = f"agent-{number}"
        needs = [run.needs for run in runs if run.agent == agent]
        used = core.Resources()
        for each in needs:
            used = core.add_resources(used, each)
        views.append(
            core.TargetView(
                agent,
                ROOM,
                core.UNBOUNDED_SLOTS,
                len(needs),
                1.0,
                room=ROOM,
                used=used,
            )
        )
    return core.Pool(views)


class Fleet:
    """A ledger whose targets run tasks for their true times.

    :param targets: number of targets, with room for five tasks each
    :param preemption: whether the service allows it
    :param seed: seed of the factors by which declared sizes are wrong
    """

    def __init__(
        self, targets: int = 4, preemption: bool = True, seed: int = 1
    ) -> None:
        self.now = builders.NOW
        self.ledger = core.Ledger(core.Matching())
        self.answers: dict[str, datetime.datetime] = {}
        # With the number of finished tasks of the job whose run was stopped.
        self.preemptions: list[tuple[core.ReportPreemption, int]] = []
        self._services = {"print": core.Service(preemption=preemption)}
        self._random = random.Random(seed)
        self._numbers = itertools.count(1)
        self._ends: list[tuple[datetime.datetime, int, str, str]] = []
        self._agents = [f"agent-{number}" for number in range(targets)]
        self.report()

    def report(self) -> None:
        """Let every agent report."""
        for agent in self._agents:
            report = core.Report(
                agent,
                1,
                "print",
                "kaai-zuid",
                "serving",
                ROOM,
                core.Load(core.UNBOUNDED_SLOTS, 0, 0),
                1,
                "",
                room=ROOM,
            )
            self.ledger.handle_report(report, self.now)

    def submit(self, priority: int) -> core.Job:
        """Submit a job of a route and assign tasks."""
        count, seconds = KINDS[priority]
        task = core.TaskRequest(
            kind=f"r{priority}", size_ms=seconds * 1_000, needs=NEEDS
        )
        job = core.Job(
            f"job-{next(self._numbers)}",
            "hall",
            "print",
            core.JobRequest((task,) * count),
            self.now,
            self.now + datetime.timedelta(seconds=60),
            self.ledger.make_machine(),
            terms=build_terms(priority),
        )
        self.ledger.submit(job)
        self.assign()
        return job

    def is_in_time(self, job: core.Job) -> bool:
        """Return whether a job was answered within its objective."""
        _, seconds = KINDS[job.terms.priority]
        allowed = datetime.timedelta(seconds=SLOWDOWN * seconds) + OBJECTIVE
        answered_at = self.answers.get(job.id)
        return answered_at is not None and (
            answered_at <= job.submitted_at + allowed
        )

    def assign(self) -> list[core.LedgerAction]:
        """Assign waiting tasks and carry out what follows."""
        actions = self.ledger.assign(
            self.now, QUOTAS, 1, services=self._services
        )
        self._perform(actions)
        return actions

    def run_until(self, seconds: float) -> None:
        """Let runs end and agents report until a time after the start."""
        until = after(seconds)
        tick_at = self.now
        while True:
            due = self._ends[0][0] if self._ends else until
            step = min(due, tick_at, until)
            self.now = max(self.now, step)
            if step == tick_at:
                self.report()
                self._perform(self.ledger.tick(self.now))
                tick_at += datetime.timedelta(milliseconds=100)
            elif step == due and self._ends:
                _, attempt, agent, outcome = heapq.heappop(self._ends)
                self.end(attempt, agent, core.Outcome(outcome))
            else:
                return
            self.assign()

    def end(self, attempt: int, agent: str, outcome: core.Outcome) -> None:
        """Report the end of an attempt unless it is known already."""
        known = self.ledger.attempts.get(attempt)
        if known is None:
            return
        elapsed = (self.now - known.sent_at).total_seconds()
        report = core.AttemptReport(
            attempt, outcome, run_ms=elapsed * 1_000, result=b"1"
        )
        load = core.Load(core.UNBOUNDED_SLOTS, 0, 0)
        results = core.Results(agent, 1, load, (report,))
        self._perform(self.ledger.handle_results(results, self.now))

    def _perform(self, actions: list[core.LedgerAction]) -> None:
        for action in actions:
            match action:
                case core.SendOrders():
                    for order in action.orders:
                        self._start(action.agent, order.attempt)
                case core.SendWithdraw() if action.stop:
                    stop = datetime.timedelta(seconds=STOP_SECONDS)
                    for attempt in action.attempts:
                        end = (self.now + stop, attempt, action.agent)
                        heapq.heappush(
                            self._ends, (*end, core.Outcome.STOPPED.value)
                        )
                case core.AnswerJob():
                    self.answers[action.job.id] = self.now
                case core.ReportPreemption():
                    finished = len(action.attempt.job.results)
                    self.preemptions.append((action, finished))

    def _start(self, agent: str, attempt: int) -> None:
        job = self.ledger.attempts[attempt].job
        _, seconds = KINDS[job.terms.priority]
        seconds *= self._random.lognormvariate(0.0, SIZE_SIGMA)
        end_at = self.now + datetime.timedelta(seconds=seconds)
        finished = core.Outcome.FINISHED.value
        heapq.heappush(self._ends, (end_at, attempt, agent, finished))
