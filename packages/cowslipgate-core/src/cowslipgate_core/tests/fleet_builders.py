"""A fleet of targets of a few models under load, without a network.

One entry learns the speeds of the targets from nothing. Its load is that of
the deployments: three kinds of jobs whose declared sizes are off by a factor
with a standard deviation of 0.4 as a logarithm.
"""

import datetime
import heapq
import itertools
import math
import random

import attrs
import cowslipgate_core as core
from cowslipgate_core.tests import builders

KINDS = ((8, 0.12), (2, 0.4), (4, 1.8))
"""Tasks of a job and seconds of a task at speed one, by priority."""

OBJECTIVE_SECONDS = 0.061
SLOWDOWN = 1.6
DECLARATION_ERROR = 0.4
ROOM = core.Resources(65_536, 0, 16_000)
DOMAINS = ("qurum", "ruwi", "seeb")


@attrs.frozen
class Fleet:
    """Targets of models with a speed each, and the load on them."""

    speeds: dict[str, float] = attrs.Factory(lambda: {"a": 0.7, "b": 1.7})
    """Speed of the targets of each model."""

    targets: int = 20
    """Number of targets, divided among the models in turn."""

    load: float = 0.7
    """Work that arrives, as a share of what the targets can do."""

    labelled: bool = True
    """Whether targets announce their models."""

    def get_model(self, number: int) -> str:
        """Return the model of a target."""
        models = tuple(self.speeds)
        return models[number % len(models)]

    def get_speed(self, agent: str) -> float:
        """Return the true speed of an agent's target."""
        return self.speeds[self.get_model(int(agent.rpartition("-")[2]))]

    def list_agents(self) -> list[str]:
        """Return the names of the agents."""
        return [f"agent-{number}" for number in range(self.targets)]

    def record_labels(self, estimates: core.Estimates) -> None:
        """Record the labels of each target: its rack and its model."""
        for number, agent in enumerate(self.list_agents()):
            domain = DOMAINS[number % len(DOMAINS)]
            labels = (f"{domain}-rack",)
            if self.labelled:
                labels += (self.get_model(number),)
            now = builders.NOW + datetime.timedelta(seconds=number)
            estimates.record_labels(agent, domain, labels, now)


@attrs.frozen
class Result:
    """One finished task."""

    job: str
    """Id of its job."""

    agent: str
    """Agent at which it ran."""

    late: bool
    """Whether it ended after its objective."""


class Day:
    """The first tasks of an entry that uses the targets of a fleet."""

    def __init__(
        self, fleet: Fleet, seed: int, estimates: core.Estimates | None = None
    ) -> None:
        self.estimates = estimates or core.Estimates()
        self._fleet = fleet
        self._random = random.Random(seed)
        self._order = itertools.count()
        self._events: list[tuple] = []
        self._jobs: dict[str, core.WaitingJob] = {}
        self._sizes: dict[str, tuple[str, float, float, float]] = {}
        fleet.record_labels(self.estimates)
        self._pool = core.Pool(
            [
                core.TargetView(
                    agent, ROOM, core.UNBOUNDED_SLOTS, 0, 1.0, room=ROOM
                )
                for agent in fleet.list_agents()
            ]
        )
        self._pool.typical_needs = core.Resources(0, 0, 2_700)
        self._ranked_at = -1.0

    def run(self, tasks: int) -> list[Result]:
        """Return the first tasks in the order in which they were sent."""
        sent: list[Result] = []
        self._push(0.0, self._submit)
        while len(sent) < tasks:
            time, _, handle, arguments = heapq.heappop(self._events)
            handle(time, *arguments)
            sent += self._send(time)
        return sent[:tasks]

    def _push(self, time: float, handle: object, *arguments: object) -> None:
        entry = (time, next(self._order), handle, arguments)
        heapq.heappush(self._events, entry)

    def _submit(self, time: float) -> None:
        fleet = self._fleet
        mean = sum(fleet.get_speed(a) for a in fleet.list_agents())
        capacity = mean * ROOM.millicores / 2_700
        work = sum(count * seconds for count, seconds in KINDS) / len(KINDS)
        rate = fleet.load * capacity / work
        self._push(time + self._random.expovariate(rate), self._submit)
        priority = self._random.randrange(len(KINDS))
        count, seconds = KINDS[priority]
        error = math.exp(self._random.gauss(0, DECLARATION_ERROR))
        declared_ms = seconds * 1_000 * error
        name, kind = f"job-{next(self._order)}", f"kind-{priority}"
        self._sizes[name] = (kind, declared_ms, seconds, time)
        size = self.estimates.estimate_size("hall", kind, declared_ms)
        needs = core.Resources(0, 0, self._random.randrange(1_800, 3_601))
        waiting = [
            core.WaitingTask(
                name, index, size.mean_seconds, needs, size.upper_seconds
            )
            for index in range(count)
        ]
        terms = core.JobTerms(
            objective=datetime.timedelta(seconds=OBJECTIVE_SECONDS),
            slowdown=SLOWDOWN,
            priority=priority,
        )
        self._jobs[name] = core.WaitingJob(
            name, "hall", _make_time(time), waiting, terms=terms
        )

    def _send(self, time: float) -> list[Result]:
        now = _make_time(time)
        if time - self._ranked_at >= core.RANKING_INTERVAL.total_seconds():
            self._ranked_at = time
            for view in self._pool.ranked:
                view.speed = self.estimates.get_present_speed(view.agent, now)
            self._pool.rank_targets()
        needs = {name: next(iter(j.needs)) for name, j in self._jobs.items()}
        seconds = {
            name: job.longest_seconds for name, job in self._jobs.items()
        }
        chosen = core.choose_assignments(
            core.Matching(),
            list(self._jobs.values()),
            self._pool,
            {"hall": 10_000},
            now,
        )
        sent = []
        for assignment in chosen:
            job, agent = assignment.job, assignment.agent
            _, _, size, submitted = self._sizes[job]
            run = size / self._fleet.get_speed(agent)
            late = time + run - submitted > OBJECTIVE_SECONDS + SLOWDOWN * size
            number = next(self._order)
            self.estimates.overdue.start(agent, number, seconds[job], now)
            self._push(
                time + run, self._end, agent, job, needs[job], run, number
            )
            sent.append(Result(job, agent, late))
        for job in {assignment.job for assignment in chosen}:
            if not self._jobs[job].tasks:
                del self._jobs[job]
        return sent

    def _end(
        self,
        time: float,
        agent: str,
        job: str,
        needs: core.Resources,
        run: float,
        number: int,
    ) -> None:
        kind, declared_ms, _, _ = self._sizes[job]
        view = self._pool.get(agent)
        view.occupied -= 1
        view.used = core.subtract_resources(view.used, needs)
        self._pool.update(view)
        self.estimates.overdue.end(agent, number)
        self.estimates.observe(agent, "hall", kind, declared_ms, run * 1_000)


def _make_time(time: float) -> datetime.datetime:
    return builders.NOW + datetime.timedelta(seconds=time)
