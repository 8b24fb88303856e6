"""Tests of speeds that are reduced while tasks are overdue."""

import datetime

import cowslipgate_core as core
from cowslipgate_core.tests import builders
from cowslipgate_core.tests import reference_overdue
import hypothesis
from hypothesis import strategies
import pytest

_AGENTS = strategies.sampled_from(("agent-1", "agent-2"))
_ATTEMPTS = strategies.integers(1, 5)
_SECONDS = strategies.floats(0.05, 6.0)
_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("start", "end", "wait")),
        _AGENTS,
        _ATTEMPTS,
        _SECONDS,
    ),
    max_size=30,
)


@hypothesis.settings(derandomize=True, database=None, deadline=None)
@hypothesis.given(_STEPS, _AGENTS, strategies.sampled_from((0.1, 1.0, 2.0)))
def test_reduced_speed_matches_the_reference(
    steps: list[tuple[str, str, int, float]], asked: str, speed: float
) -> None:
    tasks = core.OverdueTasks()
    reference = reference_overdue.ReferenceOverdueTasks()
    now = builders.NOW
    for step, agent, attempt, seconds in steps:
        if step == "start":
            tasks.start(agent, attempt, seconds, now)
            reference.start(agent, attempt, seconds, now)
        elif step == "end":
            tasks.end(agent, attempt)
            reference.end(agent, attempt)
        else:
            now += datetime.timedelta(seconds=seconds)
        assert tasks.lower_speed(asked, speed, now) == pytest.approx(
            reference.lower_speed(asked, speed, now), rel=1e-4
        )


@pytest.mark.parametrize(
    ("elapsed", "tasks", "lowest", "highest"),
    [
        (1.0, 8, 1.0, 1.0),
        (6.0, 1, 0.7, 0.8),
        (6.0, 8, 0.2, 0.3),
    ],
)
def test_speed_falls_with_the_number_of_overdue_tasks(
    elapsed: float, tasks: int, lowest: float, highest: float
) -> None:
    overdue = core.OverdueTasks()
    for attempt in range(tasks):
        overdue.start("agent-1", attempt, 1.0, builders.NOW)
    now = builders.NOW + datetime.timedelta(seconds=elapsed)
    assert lowest <= overdue.lower_speed("agent-1", 1.0, now) <= highest
    assert overdue.lower_speed("agent-2", 1.0, now) == 1.0
