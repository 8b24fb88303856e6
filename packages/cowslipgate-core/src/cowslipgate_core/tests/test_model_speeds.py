"""Tests of speeds that targets of the same model share.

Load: an entry that knows nothing starts beside 20 targets of two models, one
of which is too slow for the objective. Without shared speeds it sends tasks
to each slow target until it has learned that target's own speed.
"""

import datetime
import random

import cowslipgate_core as core
from cowslipgate_core.tests import builders
from cowslipgate_core.tests import fleet_builders
import pytest

SECOND = datetime.timedelta(seconds=1)
SPEEDS = {"a": 0.55, "b": 1.7}


def _find(*targets: tuple[str, str]) -> list[str | None]:
    """Return the model of each target.

    :param targets: failure domain, and labels separated by spaces
    """
    labelled = [
        core.LabelledTarget(str(number), domain, tuple(labels.split()))
        for number, (domain, labels) in enumerate(targets)
    ]
    models = core.find_models(labelled)
    return [models.get(target.agent) for target in labelled]


@pytest.mark.parametrize(
    ("targets", "models"),
    [
        pytest.param(
            [("x", "a"), ("x", "a"), ("y", "a"), ("y", "")],
            ["a", "a", "a", None],
            id="shared",
        ),
        pytest.param(
            [("x", "a"), ("y", "a"), ("y", ""), ("y", "")],
            [None] * 4,
            id="shared by two targets only",
        ),
        pytest.param(
            [("x", "r1"), ("x", "r1"), ("x", "r1"), ("y", "r2")],
            [None] * 4,
            id="a rack: shared within one failure domain only",
        ),
        pytest.param(
            [("x", "a"), ("x", "a"), ("y", "a")],
            [None] * 3,
            id="shared by all, so that it tells none from the others",
        ),
        pytest.param(
            [("x", "a r1"), ("y", "r2 a"), ("y", "a")] + [("x", "b")] * 2,
            ["a", "a", "a", None, None],
            id="beside labels of places",
        ),
        pytest.param(
            [("x", "a a"), ("y", "a"), ("y", "")],
            [None] * 3,
            id="announced twice by the same target",
        ),
        pytest.param(
            [("x", "a g"), ("y", "g a"), ("y", "a g"), ("y", "a"), ("x", "")],
            ["a,g", "a,g", "a,g", None, None],
            id="two labels, and one target with another set",
        ),
    ],
)
def test_labels_name_models_only_if_several_domains_share_them(
    targets: list[tuple[str, str]], models: list[str | None]
) -> None:
    assert _find(*targets) == models


def _learn(
    estimates: core.Estimates,
    runs: int,
    fleet: fleet_builders.Fleet,
    agents: list[str],
) -> None:
    generator = random.Random(4)
    for _ in range(runs):
        agent = generator.choice(agents)
        run_ms = 250 * generator.lognormvariate(0, 0.4)
        run_ms /= fleet.get_speed(agent)
        estimates.observe(agent, "hall", "tag", 250, run_ms)


def _get_ratio(estimates: core.Estimates, first: str, second: str) -> float:
    return estimates.get_speed(first) / estimates.get_speed(second)


def _count_late(labelled: bool, tasks: int, seeds: int) -> float:
    """Return the fraction of tasks that end after their objective."""
    late = 0
    for seed in range(seeds):
        fleet = fleet_builders.Fleet(SPEEDS, load=0.3, labelled=labelled)
        results = fleet_builders.Day(fleet, seed).run(tasks)
        late += sum(result.late for result in results)
    return late / (tasks * seeds)


def test_fewer_of_the_first_200_tasks_miss_their_objective() -> None:
    without = _count_late(False, 200, 6)
    assert without > 0.05
    assert _count_late(True, 200, 6) < 0.7 * without


def test_targets_without_shared_labels_are_learned_exactly_as_before() -> None:
    fleet = fleet_builders.Fleet(SPEEDS, labelled=False)
    before, labelled = core.Estimates(), core.Estimates()
    fleet.record_labels(labelled)
    for estimates in (before, labelled):
        _learn(estimates, 500, fleet, fleet.list_agents()[:15])
    assert not labelled.models
    assert labelled.speeds == before.speeds
    for agent in fleet.list_agents():
        for kind in (None, "tag"):
            assert labelled.get_speed(agent, kind) == before.get_speed(
                agent, kind
            )


def test_target_without_a_run_has_the_speed_of_its_model() -> None:
    fleet = fleet_builders.Fleet(SPEEDS)
    estimates = core.Estimates()
    fleet.record_labels(estimates)
    _learn(estimates, 60, fleet, fleet.list_agents()[:10])
    slow, fast = (estimates.get_speed(f"agent-{n}") for n in (18, 19))
    assert fast / slow == pytest.approx(1.7 / 0.55, rel=0.25)


@pytest.mark.parametrize("runs", [10, 60])
def test_own_runs_replace_the_speed_of_the_model(runs: int) -> None:
    odd, alike = "agent-1", "agent-3"
    ratios = []
    for labelled in (False, True):
        fleet = fleet_builders.Fleet(SPEEDS, labelled=labelled)
        estimates = core.Estimates()
        fleet.record_labels(estimates)
        others = [a for a in fleet.list_agents() if a not in (odd, alike)]
        _learn(estimates, 200, fleet, others)
        for _ in range(runs):
            # A target of the fast model with the speed of the slow one.
            estimates.observe(odd, "hall", "tag", 250, 250 / 0.55)
            estimates.observe(alike, "hall", "tag", 250, 250 / 1.7)
        ratios.append(_get_ratio(estimates, alike, odd))
    assert ratios[0] > 2
    assert ratios[1] == pytest.approx(ratios[0], rel=0.02)


def test_target_of_a_model_that_becomes_slow_is_detected() -> None:
    fleet = fleet_builders.Fleet(SPEEDS)
    estimates = core.Estimates()
    fleet.record_labels(estimates)
    _learn(estimates, 1_000, fleet, fleet.list_agents())
    before = _get_ratio(estimates, "agent-1", "agent-2")
    model = _get_ratio(estimates, "agent-3", "agent-2")
    for _ in range(30):
        estimates.observe("agent-1", "hall", "tag", 250, 2_500 / 1.7)
    assert _get_ratio(estimates, "agent-1", "agent-2") < before / 4
    after = _get_ratio(estimates, "agent-3", "agent-2")
    assert after == pytest.approx(model, rel=0.1)


def test_sums_of_models_agree_with_their_targets() -> None:
    """Guards against a drift of the sums that each run updates."""
    fleet = fleet_builders.Fleet(SPEEDS)
    estimates = core.Estimates()
    fleet.record_labels(estimates)
    _learn(estimates, 2_000, fleet, fleet.list_agents())
    agents = fleet.list_agents()
    speeds = [estimates.get_speed(agent) for agent in agents]
    late = builders.NOW + 1_000 * SECOND
    # A label that changes makes all sums be computed again.
    estimates.record_labels("agent-0", "seeb", ("a", "r9"), late)
    again = [estimates.get_speed(agent) for agent in agents]
    assert again == pytest.approx(speeds, rel=1e-9)


def test_label_that_is_withdrawn_leaves_the_own_runs() -> None:
    fleet = fleet_builders.Fleet(SPEEDS)
    estimates, alone = core.Estimates(), core.Estimates()
    fleet.record_labels(estimates)
    late = builders.NOW + 1_000 * SECOND
    for agent in fleet.list_agents():
        estimates.record_labels(agent, "seeb", (), late)
        late += SECOND
    assert not estimates.models
    for one in (estimates, alone):
        _learn(one, 100, fleet, fleet.list_agents())
    for agent in fleet.list_agents():
        assert estimates.get_speed(agent) == pytest.approx(
            alone.get_speed(agent), rel=1e-9
        )


def test_labels_of_many_targets_are_grouped_a_few_times() -> None:
    """Guards against work for each new target that grows with the fleet."""
    labelled = core.LabelledTargets()
    grouped = 0
    for number in range(2_000):
        target = core.LabelledTarget(str(number), "x", ("a",))
        if labelled.record(target, builders.NOW):
            labelled.find_models(builders.NOW)
            grouped += 1
    assert grouped < 200
    last = core.LabelledTarget("0", "x", ("b",))
    assert not labelled.record(last, builders.NOW)
    assert labelled.record(last, builders.NOW + SECOND)


def test_ledger_finds_models_in_the_reports_of_agents() -> None:
    ledger = core.Ledger(core.Matching())
    for number, label in enumerate("aaabbb"):
        report = core.Report(
            f"agent-{number}",
            1,
            "print",
            f"domain-{number % 2}",
            "serving",
            core.Resources(labels=(label,)),
            core.Load(8, 0, 0),
            1,
            "",
        )
        ledger.handle_report(report, builders.NOW)
    models = ledger.estimates.models
    assert [(m.name, m.targets) for m in models] == [("a", 3), ("b", 3)]
