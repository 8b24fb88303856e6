"""Learned speeds of targets and learned sizes of tasks.

Run times are compared in logarithms: a run takes its task's size less its
target's speed. Both are learned from the same runs. Tasks that are declared
alike go to all targets, so their mean tells the size and a target's distance
from that mean tells its speed. Only ratios of speeds show, so the logarithms
are kept around a mean of zero.
"""

from collections.abc import Iterable
import datetime
import math

import attrs

from cowslipgate_core.jobs import _jobs
from cowslipgate_core.placement import _overdue
from cowslipgate_core.placement import _sizes

MAX_SPEEDS = 10_000
MAX_KIND_SPEEDS = 40_000
MIN_STEP = 0.01
PRIOR_RUNS = 4.0
KIND_PRIOR_RUNS = 50.0
KIND_SHRINKAGE = 0.3
MAX_RESIDUAL = 2.5
MIN_BELIEF = 0.5
TREND_STEP = 0.15
TREND_LIMIT = 1.2


@attrs.define
class _Level:
    """A logarithm of speed, learned from residuals."""

    value: float = 0.0
    """Logarithm of the speed."""

    runs: float = 0.0
    """Number of runs that it was learned from."""

    trend: float = 0.0
    """Recent residuals, which stay near zero while the value holds."""

    def learn(self, residual: float) -> None:
        """Take in how far a run was from what the value says."""
        self.runs += 1
        self.trend += TREND_STEP * (residual - self.trend)
        if abs(self.trend) > TREND_LIMIT and self.runs > PRIOR_RUNS:
            # The target has changed: what was learned no longer counts.
            self.value += self.trend
            self.trend = 0.0
            self.runs = PRIOR_RUNS
            return
        step = max(MIN_STEP, 1 / (self.runs + PRIOR_RUNS))
        self.value += step * residual


@attrs.define
class _Deviation:
    """How much faster a target is at one kind than at all."""

    value: float = 0.0
    """Logarithm of the ratio of the speeds."""

    runs: float = 0.0
    """Number of runs that it was learned from."""

    def learn(self, residual: float) -> None:
        """Take in how far a run was from what target and kind say."""
        self.runs += 1
        step = max(MIN_STEP, 1 / (self.runs + KIND_PRIOR_RUNS))
        # What all kinds have in common is the target's own speed.
        self.value += step * (residual - KIND_SHRINKAGE * self.value)


class Estimates:
    """Speeds by target and kind, and sizes by declaration."""

    def __init__(self) -> None:
        self._speeds: dict[str, _Level] = {}
        self._kind_speeds: dict[tuple[str, str], _Deviation] = {}
        self._sizes = _sizes.SizeTable()
        self._level_sum = 0.0
        self.overdue = _overdue.OverdueTasks()

    @property
    def speeds(self) -> int:
        """Number of targets whose speed is kept."""
        return len(self._speeds)

    @property
    def kind_speeds(self) -> int:
        """Number of targets' kinds whose speed is kept."""
        return len(self._kind_speeds)

    @property
    def histories(self) -> int:
        """Number of histories of sizes that are kept."""
        return len(self._sizes)

    def get_speed(self, agent: str, kind: str | None = None) -> float:
        """Return a target's speed; only ratios of speeds mean anything."""
        return math.exp(self._get_log_speed(agent, kind))

    def get_present_speed(self, agent: str, now: datetime.datetime) -> float:
        """Return a target's speed, lower while its tasks are overdue."""
        return self.overdue.lower_speed(agent, self.get_speed(agent), now)

    def estimate_size(
        self, team: str, kind: str, size_ms: float
    ) -> _sizes.SizeEstimate:
        """Return what a task declared as ``size_ms`` is likely to take."""
        return self._sizes.estimate(team, kind, size_ms)

    def estimate_tasks(
        self, team: str, tasks: Iterable[_jobs.TaskRequest]
    ) -> list[_sizes.SizeEstimate]:
        """Return the estimate of each task; those alike share theirs."""
        known: dict[tuple[str, float], _sizes.SizeEstimate] = {}
        estimates = []
        for task in tasks:
            declared = (task.kind, task.size_ms)
            estimate = known.get(declared)
            if estimate is None:
                estimate = self.estimate_size(team, *declared)
                known[declared] = estimate
            estimates.append(estimate)
        return estimates

    def observe(
        self, agent: str, team: str, kind: str, size_ms: float, run_ms: float
    ) -> None:
        """Learn from a finished task.

        :param size_ms: declared size in milliseconds
        :param run_ms: run time at the target in milliseconds
        """
        run_log = math.log(max(run_ms, 0.1) / 1000)
        size = self._sizes.estimate(team, kind, size_ms)
        speed_log = self._get_log_speed(agent, kind)
        residual = size.log_mean - run_log - speed_log
        residual = max(-MAX_RESIDUAL, min(MAX_RESIDUAL, residual))
        if size.belief >= MIN_BELIEF:
            self._learn_speed(agent, kind, residual)
        speed_log = self._get_log_speed(agent, kind)
        self._sizes.observe(team, kind, size_ms, run_log + speed_log)

    def _get_log_speed(self, agent: str, kind: str | None) -> float:
        level = self._speeds.get(agent)
        if level is None:
            return 0.0
        value = level.value - self._level_sum / len(self._speeds)
        if kind is None:
            return value
        special = self._kind_speeds.get((agent, kind))
        return value + (special.value if special is not None else 0.0)

    def _learn_speed(self, agent: str, kind: str, residual: float) -> None:
        level = self._speeds.get(agent)
        if level is None:
            if len(self._speeds) >= MAX_SPEEDS:
                return
            level = self._speeds[agent] = _Level()
        before = level.value
        level.learn(residual)
        self._level_sum += level.value - before
        special = self._kind_speeds.get((agent, kind))
        if special is None:
            if len(self._kind_speeds) >= MAX_KIND_SPEEDS:
                return
            special = self._kind_speeds[agent, kind] = _Deviation()
        special.learn(residual - (level.value - before))
