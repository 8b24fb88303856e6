"""Tests of the arithmetic behind docs/CAPACITY.md."""

from cowslipgate_bench import _capacity
from cowslipgate_bench import _capacity_page
import pytest


def _build_slopes(us_per_task: float) -> _capacity.Slopes:
    flat = _capacity.Line(0.01, 0.0, ())
    tasks = _capacity_page.TASKS_PER_JOB
    jobs = _capacity.Line(0.0, 0.0, ((tasks, us_per_task * tasks),))
    return _capacity.Slopes(
        "2026-01-01",
        flat,
        flat,
        flat,
        jobs,
        jobs,
        flat,
        flat,
        100.0,
        flat,
        flat,
        200,
        50,
        100,
        100,
        120,
        5_000,
        20,
    )


@pytest.mark.parametrize(("us", "entries"), [(60.0, 11), (120.0, 21)])
def test_entries_grow_with_the_cost_of_a_task(us: float, entries: int) -> None:
    plan = _capacity_page.plan_deployment(_build_slopes(us))
    assert plan.entries == entries


def test_line_goes_through_exact_points() -> None:
    line = _capacity.fit_line([(1, 3), (2, 5), (3, 7)])
    assert (line.base, line.slope) == pytest.approx((1, 2))


@pytest.mark.parametrize(("us", "fits"), [(199.0, True), (201.0, False)])
def test_row_above_its_limit_is_marked(us: float, fits: bool) -> None:
    slopes = _build_slopes(us)
    plan = _capacity_page.plan_deployment(slopes)
    assert _capacity_page.make_rows(slopes, plan)[0].fits is fits
