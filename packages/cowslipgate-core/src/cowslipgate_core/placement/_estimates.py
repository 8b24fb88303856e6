"""Speeds of targets and sizes of tasks, learned from finished runs.

The model is linear in logarithms: the log of a run time is the log of the
task's size minus the log of the target's speed. Tasks with the same
declaration run on all targets, so their mean gives the size, and a target's
deviation from that mean gives its speed. Run times determine only ratios of
speeds, so log speeds are returned relative to their mean over all targets.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import datetime
import heapq
import math

import attrs

from cowslipgate_core.jobs import _jobs
from cowslipgate_core.placement import _model_speeds
from cowslipgate_core.placement import _overdue
from cowslipgate_core.placement import _sizes

MAX_SPEEDS = 10_000
"""Targets whose speed is kept; bounds the memory."""

MAX_KIND_SPEEDS = 40_000
"""Pairs of target and kind whose speed is kept; bounds the memory."""

MIN_RUN_WEIGHT = 0.01
"""Least weight of a new run, so that slow changes are still followed."""

PRIOR_RUNS = 4.0
"""Runs that the initial speed counts for."""

KIND_PRIOR_RUNS = 50.0
"""Runs that the initial deviation of a kind counts for."""

KIND_SHRINKAGE = 0.3
"""Pull of a kind's deviation towards zero, as a share of it."""

MAX_RESIDUAL = 2.5
"""Bound of one run's residual, as a natural logarithm."""

MIN_CONFIDENCE = 0.5
"""Confidence in a size from which on its runs change speeds."""

TREND_RUN_WEIGHT = 0.15
"""Weight of a new run in the trend."""

TREND_LIMIT = 1.2
"""Trend beyond which a speed is corrected at once, as a natural log."""


@attrs.frozen
class StoredSpeed:
    """The speed of a target outside the estimates that learn it."""

    agent: str
    """Name of the agent."""

    log_speed: float
    """Natural logarithm of the speed, from its own runs alone."""

    runs: float
    """Number of runs that it was learned from."""

    def add(self, other: "StoredSpeed") -> "StoredSpeed":
        """Return the speed from the runs of both."""
        runs = self.runs + other.runs
        total = self.log_speed * self.runs + other.log_speed * other.runs
        return StoredSpeed(self.agent, total / runs, runs)


@attrs.define
class _TargetSpeed:
    """The speed of one target, learned from residuals."""

    log_speed: float = 0.0
    """Natural logarithm of the speed, without the share of the model."""

    runs: float = 0.0
    """Number of runs that it was learned from."""

    trend: float = 0.0
    """Moving average of residuals, near zero while the speed is constant."""

    model: _model_speeds.ModelSpeed | None = None
    """Speed of the target's model, or None if it shares none."""

    @property
    def weight(self) -> float:
        """Weight of its own runs against the prior, from 0 to 1."""
        return self.runs / (self.runs + PRIOR_RUNS)

    def add_stored(self, stored: StoredSpeed) -> None:
        """Add the runs of a stored speed to the own ones."""
        total = self.log_speed * (self.runs + PRIOR_RUNS)
        self.runs += stored.runs
        total += stored.log_speed * stored.runs
        self.log_speed = total / (self.runs + PRIOR_RUNS)

    @property
    def model_share(self) -> float:
        """Part of the log speed that comes from the target's model."""
        if self.model is None:
            return 0.0
        return self.model.log_speed * PRIOR_RUNS / (self.runs + PRIOR_RUNS)

    def learn(self, residual: float, model_share: float = 0.0) -> None:
        """Update the speed from a run.

        :param residual: log of expected run time over actual run time
        :param model_share: ``model_share`` before the run
        """
        self.runs += 1
        self.trend += TREND_RUN_WEIGHT * (residual - self.trend)
        if abs(self.trend) > TREND_LIMIT and self.runs > PRIOR_RUNS:
            # The target's speed has changed: older runs no longer count.
            self.runs = PRIOR_RUNS
            self.log_speed += self.trend + (model_share - self.model_share)
            self.trend = 0.0
            return
        step = max(MIN_RUN_WEIGHT, 1 / (self.runs + PRIOR_RUNS))
        # The share of the model shrinks as that of the own runs grows.
        self.log_speed += step * (residual + model_share)


@attrs.define
class _KindSpeed:
    """A target's speed at one kind relative to its speed overall."""

    log_ratio: float = 0.0
    """Natural logarithm of the ratio of the speeds."""

    runs: float = 0.0
    """Number of runs that it was learned from."""

    def learn(self, residual: float) -> None:
        """Update the ratio from a run.

        :param residual: log of expected run time over actual run time
        """
        self.runs += 1
        step = max(MIN_RUN_WEIGHT, 1 / (self.runs + KIND_PRIOR_RUNS))
        # A deviation common to all kinds belongs to the target's speed.
        self.log_ratio += step * (residual - KIND_SHRINKAGE * self.log_ratio)


class Estimates:
    """Speeds by target and kind, and sizes by declaration."""

    def __init__(self) -> None:
        self._speeds: dict[str, _TargetSpeed] = {}
        self._kind_speeds: dict[tuple[str, str], _KindSpeed] = {}
        self._sizes = _sizes.SizeTable()
        self._log_sum = 0.0
        self._names: Mapping[str, str] = {}
        self._labelled = _model_speeds.LabelledTargets()
        self._models: dict[str, _model_speeds.ModelSpeed] = {}
        self.observed = 0
        self.overdue = _overdue.OverdueTasks()

    @property
    def speeds(self) -> int:
        """Number of targets whose speed is kept."""
        return len(self._speeds)

    @property
    def kind_speeds(self) -> int:
        """Number of pairs of target and kind whose speed is kept."""
        return len(self._kind_speeds)

    @property
    def models(self) -> tuple[_model_speeds.ModelSpeed, ...]:
        """Models whose targets share what is learned, for reading only."""
        return tuple(self._models.values())

    @property
    def histories(self) -> int:
        """Number of histories of run times that are kept."""
        return len(self._sizes)

    def record_labels(
        self,
        agent: str,
        domain: str,
        labels: tuple[str, ...],
        now: datetime.datetime,
    ) -> None:
        """Record the labels of an agent's target, by which models are found.

        :param domain: failure domain of the agent
        """
        target = _model_speeds.LabelledTarget(agent, domain, labels)
        if self._labelled.record(target, now):
            self._set_models(self._labelled.find_models(now))

    def get_speed(self, agent: str, kind: str | None = None) -> float:
        """Return a target's learned speed; only ratios are meaningful.

        :param kind: kind of task, or None for all kinds together
        """
        return math.exp(self._get_log_speed(agent, kind))

    def get_present_speed(self, agent: str, now: datetime.datetime) -> float:
        """Return a target's speed, reduced while its tasks are overdue."""
        return self.overdue.lower_speed(agent, self.get_speed(agent), now)

    def estimate_size(
        self, team: str, kind: str, size_ms: float
    ) -> _sizes.SizeEstimate:
        """Return the likely run time of a task declared as ``size_ms``."""
        return self._sizes.estimate(team, kind, size_ms)

    def estimate_tasks(
        self, team: str, tasks: Iterable[_jobs.TaskRequest]
    ) -> list[_sizes.SizeEstimate]:
        """Return the estimate of each task in the order of ``tasks``."""
        by_declaration: dict[tuple[str, float], _sizes.SizeEstimate] = {}
        estimates = []
        for task in tasks:
            declared = (task.kind, task.size_ms)
            estimate = by_declaration.get(declared)
            if estimate is None:
                estimate = self.estimate_size(team, *declared)
                by_declaration[declared] = estimate
            estimates.append(estimate)
        return estimates

    def observe(
        self,
        agent: str,
        team: str,
        kind: str,
        size_ms: float,
        run_ms: float,
        excess: float = 1.0,
    ) -> float | None:
        """Learn from a finished task.

        Return the natural logarithm of its run time over the expected one,
        or None while nothing reliable is expected.

        :param size_ms: declared size in milliseconds
        :param run_ms: run time at the target in milliseconds
        :param excess: factor by which the target was slower than usual; if
            above one, the run does not change its speed
        """
        self.observed += 1
        run_log = math.log(max(run_ms, 0.1) / 1000 / excess)
        size = self._sizes.estimate(team, kind, size_ms)
        speed_log = self._get_log_speed(agent, kind)
        residual = size.log_mean - run_log - speed_log
        residual = max(-MAX_RESIDUAL, min(MAX_RESIDUAL, residual))
        reliable = size.confidence >= MIN_CONFIDENCE and excess <= 1.0
        if reliable:
            self._learn_speed(agent, kind, residual)
        speed_log = self._get_log_speed(agent, kind)
        self._sizes.observe(team, kind, size_ms, run_log + speed_log)
        return -residual if reliable else None

    def list_histories(self, count: int) -> list[_sizes.StoredHistory]:
        """Return the histories with the most runs, the largest first."""
        return self._sizes.list_largest(count)

    def list_speeds(self, count: int) -> list[StoredSpeed]:
        """Return the speeds with the most runs, the largest first.

        They are relative to their mean, as the sizes are.
        """
        mean = self._log_sum / len(self._speeds) if self._speeds else 0.0
        learned = (item for item in self._speeds.items() if item[1].runs)
        return [
            StoredSpeed(
                agent,
                target_speed.log_speed / target_speed.weight - mean,
                target_speed.runs,
            )
            for agent, target_speed in heapq.nlargest(
                count, learned, key=lambda item: item[1].runs
            )
        ]

    def add_stored(
        self,
        histories: Iterable[_sizes.StoredHistory],
        speeds: Iterable[StoredSpeed],
    ) -> None:
        """Add what was learned before, as if its runs had been observed."""
        for stored in speeds:
            target_speed = self._speeds.get(stored.agent)
            if target_speed is None:
                if len(self._speeds) >= MAX_SPEEDS:
                    continue
                target_speed = self._speeds[stored.agent] = _TargetSpeed()
            target_speed.add_stored(stored)
        self._group_targets()
        # The speeds became relative to a mean, so the sizes do too.
        mean = self._log_sum / len(self._speeds) if self._speeds else 0.0
        for history in histories:
            self._sizes.add(history.shift(-mean))

    def _get_log_speed(self, agent: str, kind: str | None) -> float:
        target_speed = self._speeds.get(agent)
        if target_speed is None:
            return 0.0
        log_speed = target_speed.log_speed - self._log_sum / len(self._speeds)
        if target_speed.model is not None:
            log_speed += target_speed.model_share
        if kind is None:
            return log_speed
        deviation = self._kind_speeds.get((agent, kind))
        return log_speed + (
            deviation.log_ratio if deviation is not None else 0.0
        )

    def _learn_speed(self, agent: str, kind: str, residual: float) -> None:
        target_speed = self._speeds.get(agent)
        if target_speed is None:
            if len(self._speeds) >= MAX_SPEEDS:
                return
            target_speed = self._speeds[agent] = _TargetSpeed()
        if target_speed.model is None:
            before = target_speed.log_speed
            target_speed.learn(residual)
            change = target_speed.log_speed - before
            self._log_sum += change
        else:
            change = self._learn_model_speed(
                target_speed, target_speed.model, residual
            )
        deviation = self._kind_speeds.get((agent, kind))
        if deviation is None:
            if len(self._kind_speeds) >= MAX_KIND_SPEEDS:
                return
            deviation = self._kind_speeds[agent, kind] = _KindSpeed()
        deviation.learn(residual - change)

    def _learn_model_speed(
        self,
        target_speed: _TargetSpeed,
        model: _model_speeds.ModelSpeed,
        residual: float,
    ) -> float:
        """Learn the speeds of a target and its model from a run.

        Return the change of the target's log speed by its own runs.
        """
        log_speed, weight = target_speed.log_speed, target_speed.weight
        model_share = target_speed.model_share
        total = model.total
        target_speed.learn(residual, model_share)
        change = target_speed.log_speed + target_speed.model_share
        change -= log_speed + model_share
        model.update(
            target_speed.log_speed - log_speed, target_speed.weight - weight
        )
        self._log_sum += model.total - total
        return change

    def _set_models(self, names: Mapping[str, str]) -> None:
        """Group the targets anew.

        :param names: name of the model of each target that has one, by agent
        """
        if not names and not self._models:
            return
        self._names = names
        self._group_targets()

    def _group_targets(self) -> None:
        names = self._names
        self._models = {
            name: _model_speeds.ModelSpeed(name)
            for name in sorted(set(names.values()))
        }
        for agent in names:
            if len(self._speeds) < MAX_SPEEDS:
                self._speeds.setdefault(agent, _TargetSpeed())
        alone = 0.0
        for agent, target_speed in tuple(self._speeds.items()):
            name = names.get(agent)
            if name is None:
                target_speed.model = None
                alone += target_speed.log_speed
                if not target_speed.runs:
                    del self._speeds[agent]
                continue
            target_speed.model = self._models[name]
            target_speed.model.add(target_speed.log_speed, target_speed.weight)
        self._log_sum = alone + sum(
            model.total for model in self._models.values()
        )
