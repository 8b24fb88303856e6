"""Targets whose tasks slow each other down, without a network.

The load is that of the deployments: three kinds of jobs, declared sizes that
are off by a factor with a standard deviation of 0.4 as a logarithm, and 3% of
the tasks that take seven times as long. Several entries place tasks at random
on the same targets; one of them observes its own.
"""

import datetime
import math
import random

import attrs
import cowslipgate_core as core
from cowslipgate_core.tests import builders

KINDS = {"short": (8, 0.12), "middle": (2, 0.4), "long": (4, 1.8)}
"""Tasks of a job and seconds of a task, by kind."""

DECLARATION_ERROR = 0.4
LONG_SHARE = 0.03
LONG_FACTOR = 7.0
REVIEW_SECONDS = 1.0


@attrs.frozen
class Load:
    """Targets and the load on them."""

    slowdowns: dict[tuple[str, str], float] = attrs.Factory(dict)
    """Part by which a kind is slower while another one is beside it."""

    additive: bool = False
    """Whether each neighbour of that kind slows it, and not only the first."""

    targets: int = 24
    entries: int = 3
    tasks: float = 4.0
    """Mean number of tasks at a target, without the slowdown."""

    room: int = 9
    """Most tasks at a target at once."""

    slow: dict[int, float] = attrs.Factory(dict)
    """Factor of the run times at targets that are slower than was learned."""


@attrs.define(eq=False)
class _Run:
    number: int
    kind: str
    own: bool
    expected: float
    left: float
    started: float


class Targets:
    """Runs at the targets of a load, as one entry sees them."""

    def __init__(self, load: Load, seed: int) -> None:
        self.interference = core.Interference()
        self.runs = 0
        self.time = 0.0
        self.load = load
        self._random = random.Random(seed)
        self._running: list[list[_Run]] = [[] for _ in range(load.targets)]
        self._times = [0.0] * load.targets
        self._number = 0

    def run(self, seconds: float, until: tuple[str, str] | None = None) -> int:
        """Let time pass; return the entry's runs until a pair was found.

        :param until: pair at which to stop before that
        """
        load = self.load
        work = sum(count * each for count, each in KINDS.values())
        rate = load.tasks * load.targets / (work / len(KINDS))
        end, reviewed, before = self.time + seconds, self.time, self.runs
        while self.time < end:
            self.time += self._random.expovariate(rate)
            self._submit(self._random.choice(tuple(KINDS)))
            if self.time - reviewed >= REVIEW_SECONDS:
                reviewed = self.time
                for target in range(load.targets):
                    self._advance(target)
                self.interference.review(make_time(self.time))
                if until in self.interference.pairs:
                    break
        return self.runs - before

    def _submit(self, kind: str) -> None:
        count, seconds = KINDS[kind]
        own = self._random.random() < 1 / self.load.entries
        error = math.exp(self._random.gauss(0, DECLARATION_ERROR))
        for _ in range(count):
            target = self._random.randrange(self.load.targets)
            self._advance(target)
            running = self._running[target]
            if len(running) >= self.load.room:
                continue
            factor = self.load.slow.get(target, 1.0)
            if self._random.random() < LONG_SHARE:
                factor *= LONG_FACTOR
            self._number += 1
            run = _Run(
                self._number,
                kind,
                own,
                seconds * error,
                seconds * factor,
                self.time,
            )
            if own:
                self.interference.start(
                    f"agent-{target}",
                    run.number,
                    kind,
                    self._count_others(target),
                    make_time(self.time),
                )
            running.append(run)

    def _count_others(self, target: int) -> int:
        return sum(not run.own for run in self._running[target])

    def _compute_factor(self, run: _Run, running: list[_Run]) -> float:
        kinds = [other.kind for other in running if other is not run]
        factor = 1.0
        for kind in kinds if self.load.additive else set(kinds):
            factor += self.load.slowdowns.get((run.kind, kind), 0.0)
        return factor

    def _advance(self, target: int) -> None:
        """Let the runs at a target go on until the present time."""
        running = self._running[target]
        while running:
            factors = [self._compute_factor(run, running) for run in running]
            left = self.time - self._times[target]
            step = min(
                run.left * factor
                for run, factor in zip(running, factors, strict=True)
            )
            for run, factor in zip(running, factors, strict=True):
                run.left -= min(step, left) / factor
            if step > left:
                break
            self._times[target] += step
            for run in [each for each in running if each.left <= 1e-9]:
                running.remove(run)
                self._end(target, run)
        self._times[target] = self.time

    def _end(self, target: int, run: _Run) -> None:
        if not run.own:
            return
        now = make_time(self._times[target])
        neighbours = self.interference.end(
            f"agent-{target}", run.number, self._count_others(target), now
        )
        if neighbours is None:
            return
        self.runs += 1
        ratio = math.log((self._times[target] - run.started) / run.expected)
        self.interference.observe(neighbours, ratio, now)


def make_time(seconds: float) -> datetime.datetime:
    """Return the time some seconds after the start."""
    return builders.NOW + datetime.timedelta(seconds=seconds)


def observe_runs(
    runs: list[tuple[str, str, int, float]], kind: str = "tag"
) -> core.Interference:
    """Return what is learned from runs of a kind in the last seconds.

    :param runs: agent, kind beside it, number of neighbours, and log ratio
    """
    interference = core.Interference()
    # The kind is known while a run of it goes on.
    start = make_time(-len(runs) / 1_000)
    interference.start("agent-9", -1, kind, 0, start)
    for number, (agent, beside, count, ratio) in enumerate(runs, -len(runs)):
        neighbours = core.Neighbours(agent, kind, {beside: 1.0}, count)
        interference.observe(neighbours, ratio, make_time(number / 1_000))
    interference.end("agent-9", -1, 0, builders.NOW)
    interference.review(builders.NOW)
    return interference


def build_found(kind: str, beside: str) -> core.Interference:
    """Return an interference with one pair that slows by 30%."""
    generator = random.Random(3)
    return observe_runs(
        [
            (
                f"agent-{generator.randrange(6)}",
                beside if number % 2 else "other",
                1,
                0.26 * (number % 2) + generator.gauss(0, 0.1),
            )
            for number in range(2_000)
        ],
        kind,
    )
