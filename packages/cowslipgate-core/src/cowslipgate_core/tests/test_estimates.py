"""Tests of speeds and sizes learned from finished tasks."""

import math
import random

import cowslipgate_core as core
import pytest

SPEEDS = {"slow": 0.5, "even": 1.0, "fast": 2.0}
SIGMA = 0.8


def _learn(
    estimates: core.Estimates, runs: int, errors: dict[str, float]
) -> None:
    """Observe tasks whose declared sizes are off at random.

    :param errors: mean factor by which each team overstates sizes
    """
    generator = random.Random(1)
    for _ in range(runs):
        true_ms = math.exp(generator.uniform(math.log(50), math.log(1000)))
        team = generator.choice(tuple(errors))
        error = math.exp(generator.gauss(0, SIGMA)) * errors[team]
        agent = generator.choice(tuple(SPEEDS))
        estimates.observe(
            agent, team, "tag", true_ms * error, true_ms / SPEEDS[agent]
        )


@pytest.mark.parametrize("errors", [{"hall": 1.0}, {"hall": 1, "ward": 50}])
def test_speeds_are_learned_whatever_callers_declare(
    errors: dict[str, float],
) -> None:
    estimates = core.Estimates()
    _learn(estimates, 3000, errors)
    for agent, speed in SPEEDS.items():
        learned = estimates.get_speed(agent) / estimates.get_speed("even")
        assert learned == pytest.approx(speed, rel=0.2)


def test_sizes_are_corrected_for_a_team_that_overstates() -> None:
    estimates = core.Estimates()
    _learn(estimates, 4000, {"hall": 1, "ward": 50})
    size = estimates.estimate_size("ward", "tag", 250 * 50)
    seconds = size.mean_seconds / estimates.get_speed("even")
    assert 0.15 < seconds < 0.6


def test_upper_size_is_exceeded_by_few() -> None:
    estimates = core.Estimates()
    for number in range(1000):
        run_ms = 1000 if number % 10 == 0 else 100
        estimates.observe("even", "hall", "tag", 200, run_ms)
    size = estimates.estimate_size("hall", "tag", 200)
    assert size.mean_seconds == pytest.approx(0.19, rel=0.1)
    assert size.upper_seconds < 0.5


def test_estimate_without_history_is_the_declaration() -> None:
    size = core.Estimates().estimate_size("hall", "tag", 250)
    assert size.mean_seconds == size.upper_seconds == 0.25


@pytest.mark.parametrize("size_ms", [5.0, 250.0, 9000.0])
@pytest.mark.parametrize("kind", ["tag", "card"])
def test_blend_of_histories_matches_the_reference(
    kind: str, size_ms: float
) -> None:
    generator = random.Random(2)
    table = core.SizeTable()
    observed = []
    for _ in range(300):
        team = generator.choice(("hall", "ward"))
        log_seconds = generator.gauss(-2, 1)
        size = generator.choice((5.0, 250.0))
        table.observe(team, "tag", size, log_seconds)
        observed.append((team, size, log_seconds))
    size = table.estimate("hall", kind, size_ms)
    expected = _blend_observations(observed, "hall", kind, size_ms)
    assert (size.log_mean, size.confidence) == pytest.approx(expected)


def _blend_observations(
    observed: list[tuple[str, float, float]],
    team: str,
    kind: str,
    size_ms: float,
) -> tuple[float, float]:
    """Return mean of logarithms and confidence, from all observations."""
    log_mean, confidence = math.log(size_ms / 1000), 0.0
    alike = [o for o in observed if o[1] == size_ms]
    same_kind = alike if kind == "tag" else []
    same_team = [o for o in same_kind if o[0] == team]
    for runs in (alike, same_kind, same_team):
        weight = len(runs) / (len(runs) + 8.0)
        mean = sum(o[2] for o in runs) / len(runs) if runs else 0.0
        log_mean = (1 - weight) * log_mean + weight * mean
        confidence = (1 - weight) * confidence + weight
    return log_mean, confidence


def test_tasks_of_a_job_are_estimated_as_single_tasks() -> None:
    estimates = core.Estimates()
    _learn(estimates, 500, {"hall": 1.0})
    tasks = [
        core.TaskRequest(kind=kind, size_ms=size_ms)
        for kind in ("tag", "card")
        for size_ms in (80.0, 300.0, 80.0)
    ]
    alone = [
        estimates.estimate_size("hall", task.kind, task.size_ms)
        for task in tasks
    ]
    assert estimates.estimate_tasks("hall", tasks) == alone


def test_target_that_becomes_slow_is_detected_within_30_runs() -> None:
    estimates = core.Estimates()
    _learn(estimates, 3000, {"hall": 1.0})
    before = estimates.get_speed("fast")
    for _ in range(30):
        estimates.observe("fast", "hall", "tag", 250, 2500 / 2)
    assert estimates.get_speed("fast") < before / 4


def test_slow_target_is_detected_within_48_tasks() -> None:
    estimates = core.Estimates()
    generator = random.Random(3)
    speeds = {"bad": 0.1, "even": 1.0}
    for number in range(48):
        size_ms = math.exp(generator.uniform(math.log(50), math.log(1000)))
        agent = "bad" if number % 4 == 0 else "even"
        estimates.observe(
            agent, "hall", "tag", size_ms, size_ms / speeds[agent]
        )
    bad = estimates.get_speed("bad")
    assert bad < estimates.get_speed("even") / 2
