"""Tests of the simulation of a deployment."""

import json
import pathlib

import attrs
import cowslipgate_core as core
import pytest

from cowslipgate_bench import model

SITE = model.SITES["al-haddad"]
CALM = model.PATTERNS["calm"]
SHORT = 6.0
"""Seconds of traffic; some 500 requests."""


def _simulate(
    pattern: str = "calm",
    policy: str = "matching",
    load: float = 1.0,
    seconds: float = SHORT,
) -> model.DayFigures:
    variant = model.VARIANTS[policy]
    return model.simulate_day(variant.make_day(SITE, pattern, load, seconds))


def test_actions_run_in_order_of_their_due_times() -> None:
    loop = model.Loop()
    called: list[str] = []
    loop.call_in(2.0, lambda: called.append("second"))
    loop.call_in(1.0, lambda: called.append("first"))
    loop.call_in(1.0, lambda: called.append("also first"))
    loop.call_in(9.0, lambda: called.append("never"))
    loop.run(5.0)
    assert called == ["first", "also first", "second"]
    assert loop.elapsed == 5.0


def test_traffic_depends_on_the_seed_alone() -> None:
    first = model.make_traffic(SITE, CALM, SHORT, 1)
    assert first == model.make_traffic(SITE, CALM, SHORT, 1)
    assert first != model.make_traffic(SITE, CALM, SHORT, 2)


def test_burst_is_in_the_middle_third() -> None:
    burst = attrs.evolve(CALM, burst=10.0)
    requests = model.make_traffic(SITE, burst, 9.0, 1)
    within = [r for r in requests if 3.0 <= r.at < 6.0]
    assert len(within) > 0.7 * len(requests)


def test_simulation_is_deterministic() -> None:
    assert _simulate("burst") == _simulate("burst")


@pytest.mark.parametrize("policy", list(model.VARIANTS))
def test_every_policy_answers_all_requests_of_a_calm_day(policy: str) -> None:
    figures = _simulate(policy=policy, load=0.5)
    assert figures.in_time + figures.late == 1.0


def test_matching_earns_more_than_round_robin_in_a_burst() -> None:
    round_robin, matching = (
        _simulate("burst", policy, 1.2, 9.0)
        for policy in ("in_turn", "matching")
    )
    assert matching.worth > round_robin.worth
    assert matching.worst_kind > round_robin.worst_kind


def test_single_central_entry_earns_no_less_than_several() -> None:
    shared, central = (
        _simulate("burst", policy, 1.2, 9.0)
        for policy in ("matching", "central")
    )
    assert central.worth >= shared.worth
    # No other entry uses the room that it assigns.
    assert central.refused == 0.0


@pytest.mark.parametrize("pattern", ["burst", "slow", "fail", "hang"])
def test_exact_estimates_earn_no_less_than_learned_ones(
    pattern: str,
) -> None:
    learned, exact = (
        _simulate(pattern, policy, 1.2, 9.0)
        for policy in ("central", "omniscient")
    )
    assert exact.worth >= learned.worth


def test_stalled_runs_of_a_hanging_target_run_elsewhere() -> None:
    figures = _simulate("hang", seconds=9.0)
    assert figures.stalled > 0
    assert figures.in_time + figures.late > 0.95


def test_report_has_a_line_for_each_day(tmp_path: pathlib.Path) -> None:
    plan = model.Plan(SITE, ("matching",), ("calm", "slow"), (0.5,), 2.0)
    experiments = list(model.run_experiment(plan))
    model.write_report(experiments, tmp_path)
    lines = (tmp_path / "experiments.jsonl").read_text().splitlines()
    assert [json.loads(line)["pattern"] for line in lines] == ["calm", "slow"]
    assert (tmp_path / "experiments.png").stat().st_size > 0
    assert model.format_table(experiments).count("\n") == 3


def test_matching_variant_uses_the_policy_of_the_product() -> None:
    assert isinstance(model.VARIANTS["matching"].policy, core.Matching)


def _bound(pattern: str, load: float, seconds: float = SHORT) -> float:
    variant = model.VARIANTS["matching"]
    return model.bound_worth(
        variant.make_day(SITE, pattern, load, seconds), iterations=20
    )


def test_bound_of_a_calm_day_is_one() -> None:
    assert _bound("calm", 0.5) == pytest.approx(1.0)


@pytest.mark.parametrize("pattern", ["burst", "slow", "fail", "hang"])
def test_no_schedule_earns_more_than_the_bound(pattern: str) -> None:
    bound = _bound(pattern, 1.5, 3.0)
    for policy in ("matching", "omniscient"):
        assert _simulate(pattern, policy, 1.5, 3.0).worth <= bound


def test_bound_falls_below_one_under_overload() -> None:
    bounds = [_bound("calm", load) for load in (0.5, 3.0, 6.0)]
    assert bounds == sorted(bounds, reverse=True)
    assert bounds[-1] < 0.8
