"""An entry with one target in simulated time, and builders of queued jobs."""

import datetime
import itertools

import attrs
import cowslipgate_core as core
from cowslipgate_core.tests import builders

SECOND = datetime.timedelta(seconds=1)
STEP = datetime.timedelta(milliseconds=100)
SERVICE = "print"
QUOTAS = {"hall": 1_000}
LEARNED_RUNS = 20


@attrs.define
class Outcomes:
    """Jobs by how they ended."""

    complete: list[str] = attrs.Factory(list)
    """Jobs with all results."""

    overloaded: dict[str, datetime.timedelta] = attrs.Factory(dict)
    """Time from submission to the refusal, by job."""

    other: list[str] = attrs.Factory(list)
    """Jobs that failed otherwise."""


class Entry:
    """A ledger with one target, whose runs take their declared time."""

    def __init__(
        self,
        slots: int,
        admission: core.Admission = core.Admission.FORECAST,
        entries: int = 1,
        room: core.Resources | None = None,
    ) -> None:
        self.now = builders.NOW
        self.ledger = core.Ledger(
            core.Matching(), timing=core.Timing(caller_lost_after=SECOND)
        )
        self.outcomes = Outcomes()
        self.started_work: dict[str, float] = {}
        self._slots = slots
        self._entries = entries
        self._room = room
        self._services = {SERVICE: core.Service(admission=admission)}
        self._numbers = itertools.count(1)
        self._ends: dict[int, tuple[datetime.datetime, float]] = {}
        self._report()

    def learn(self, route: str, milliseconds: float) -> None:
        """Run enough tasks of a size for it to be known."""
        for _ in range(LEARNED_RUNS):
            self.ledger.estimates.observe(
                "agent-1", "hall", route, milliseconds, milliseconds
            )

    def build_job(
        self,
        route: str,
        tasks: int,
        milliseconds: float,
        allowed_seconds: float,
        priority: int = 0,
        share: float = 0.0,
        millicores: int = 0,
    ) -> core.Job:
        """Return a job of equal tasks with an objective."""
        needs = core.Resources(millicores=millicores)
        task = core.TaskRequest(kind=route, size_ms=milliseconds, needs=needs)
        terms = core.JobTerms(
            priority=priority,
            objective=datetime.timedelta(milliseconds=61),
            slowdown=1.6,
            route=route,
            share=share,
        )
        return core.Job(
            f"{route}-{next(self._numbers)}",
            "hall",
            SERVICE,
            core.JobRequest((task,) * tasks),
            self.now,
            self.now + datetime.timedelta(seconds=allowed_seconds),
            self.ledger.make_machine(),
            terms=terms,
        )

    def submit(self, job: core.Job) -> bool:
        """Submit a job; return whether it was accepted."""
        forecast = self.ledger.overload.find_forecast(job, self.now)
        if forecast is not None and self.ledger.overload.is_overloaded(
            job, forecast, self.now
        ):
            self.outcomes.overloaded[job.id] = datetime.timedelta()
            return False
        self.ledger.submit(job)
        self.assign()
        return True

    def run(self, seconds: float) -> None:
        """Let time pass in steps of a tick."""
        for _ in range(round(datetime.timedelta(seconds=seconds) / STEP)):
            self.now += STEP
            self._end_runs()
            self.tick()

    def pause(self, seconds: float) -> None:
        """Let time pass in which the entry does nothing."""
        self.now += datetime.timedelta(seconds=seconds)

    def tick(self) -> None:
        """Report the target, do what is done in a tick, and assign."""
        self._report()
        self._record(self.ledger.tick(self.now))
        if self._services[SERVICE].admission is core.Admission.FORECAST:
            overloaded = self.ledger.overload.list_overloaded(
                SERVICE, self.now
            )
            for job, forecast in overloaded:
                self._record(
                    self.ledger.fail(
                        job,
                        core.Failure.OVERLOADED,
                        forecast.reason,
                        self.now,
                    )
                )
        self.assign()

    def assign(self) -> None:
        """Send waiting tasks to the target."""
        actions = self.ledger.assign(
            self.now, QUOTAS, self._entries, self._services
        )
        for action in actions:
            if isinstance(action, core.SendOrders):
                for order in action.orders:
                    self._start_run(order)
        self._record(actions)

    def _start_run(self, order: core.Order) -> None:
        attempt = self.ledger.attempts[order.attempt]
        request = attempt.job.request.tasks[attempt.index]
        seconds = request.size_ms / 1_000
        ends_at = self.now + datetime.timedelta(seconds=seconds)
        self._ends[order.attempt] = ends_at, request.size_ms
        route = attempt.job.terms.route
        self.started_work[route] = self.started_work.get(route, 0.0) + seconds

    def _end_runs(self) -> None:
        ended = [
            (attempt, milliseconds)
            for attempt, (ends_at, milliseconds) in self._ends.items()
            if ends_at <= self.now
        ]
        for attempt, milliseconds in ended:
            del self._ends[attempt]
            report = core.AttemptReport(
                attempt,
                core.Outcome.FINISHED,
                result=b"1",
                run_ms=milliseconds,
            )
            results = attrs.evolve(
                builders.build_results(report),
                load=core.Load(self._slots, 0, 0),
            )
            self._record(self.ledger.handle_results(results, self.now))

    def _report(self) -> None:
        report = builders.build_report(slots=self._slots)
        if self._room is not None:
            report = attrs.evolve(
                report, resources=self._room, room=self._room
            )
        self.ledger.handle_report(report, self.now)

    def _record(self, actions: list[core.LedgerAction]) -> None:
        for action in actions:
            if not isinstance(action, core.AnswerJob):
                continue
            job = action.job
            if action.answer.failure is None:
                self.outcomes.complete.append(job.id)
            elif action.answer.failure is core.Failure.OVERLOADED:
                assert action.answer.started is core.Started.NONE
                waited = self.now - job.submitted_at
                self.outcomes.overloaded[job.id] = waited
            else:
                self.outcomes.other.append(job.id)


def build_queued(
    name: str,
    work: float,
    longest: float,
    allowed: float,
    route: str = "",
    share: float = 0.0,
    priority: int = 0,
) -> core.QueuedJob:
    """Return a job that may be refused, on targets of speed one."""
    return core.QueuedJob(
        name,
        work,
        longest,
        longest,
        allowed,
        priority=priority,
        remaining=work,
        route=route,
        share=share,
    )
