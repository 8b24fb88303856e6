"""Tests of the detection of kinds that slow each other down.

The load is in ``interference_builders``: three kinds of jobs on targets whose
tasks slow each other down by 30%, or do not.
"""

import random

import attrs
import cowslipgate_core as core
from cowslipgate_core.tests import builders
from cowslipgate_core.tests import interference_builders
import pytest

MIDDLE = ("middle", "middle")
SHORT = ("short", "long")


def _build(
    pair: tuple[str, str] | None, seed: int = 0, **fields: object
) -> interference_builders.Targets:
    slowdowns = {pair: 0.3} if pair else {}
    load = interference_builders.Load(slowdowns, **fields)
    return interference_builders.Targets(load, seed)


# Guards against a detection that never has enough runs under the load of a
# deployment. Own attempts only: the entry sees every run, or a third of them.
@pytest.mark.parametrize(
    ("pair", "entries", "additive", "most"),
    [
        pytest.param(MIDDLE, 1, False, 3_000, id="all runs are seen"),
        pytest.param(SHORT, 1, False, 9_000, id="all runs, an unequal pair"),
        pytest.param(MIDDLE, 3, True, 4_000, id="a third, each neighbour"),
        pytest.param(SHORT, 3, True, 4_000, id="a third, an unequal pair"),
    ],
)
def test_pair_that_interferes_is_found(
    pair: tuple[str, str], entries: int, additive: bool, most: int
) -> None:
    targets = _build(pair, entries=entries, additive=additive, targets=76)
    runs = targets.run(45, until=pair)
    assert list(targets.interference.pairs) == [pair]
    assert 30 <= runs <= most
    found = targets.interference.pairs[pair]
    assert found.runs >= 30
    assert 0.1 < found.slowdown < 0.6


# Guards against separating kinds for noise: declared sizes that are off, 3%
# of the tasks that take seven times as long, targets that have become slow.
@pytest.mark.parametrize("entries", [1, 3])
@pytest.mark.parametrize(
    "slow", [{}, {0: 3.0, 1: 1.5, 2: 0.5}], ids=["equal", "slow targets"]
)
def test_no_pair_is_found_where_none_interferes(
    entries: int, slow: dict[int, float]
) -> None:
    targets = _build(None, 7, entries=entries, slow=slow)
    targets.run(90)
    assert targets.runs > 2_000
    assert not targets.interference.pairs


# Guards against blaming a kind that runs on the slow targets alone.
def test_kind_beside_which_a_target_is_always_slow_is_not_blamed() -> None:
    interference = core.Interference()
    interference.start("agent-9", 1, "tag", 0, builders.NOW)
    for number in range(4_000):
        slow = number % 2
        neighbours = interference_builders.build_neighbours(
            f"agent-{number % 8}", "tag", "print" if slow else "draw"
        )
        now = interference_builders.make_time(number / 1_000)
        interference.observe(neighbours, float(slow), now)
    interference.review(now)
    assert not interference.pairs


# Guards against blaming a kind that comes in wide jobs for the load of them.
def test_kind_that_is_there_when_targets_are_full_is_not_blamed() -> None:
    interference = core.Interference()
    interference.start("agent-9", 1, "tag", 0, builders.NOW)
    generator = random.Random(2)
    for number in range(4_000):
        wide = number % 2
        count = generator.choice((2, 3) if wide else (1, 2))
        neighbours = attrs.evolve(
            interference_builders.build_neighbours(
                f"agent-{number % 7}", "tag", "wide" if wide else "draw"
            ),
            count=count,
        )
        now = interference_builders.make_time(number / 1_000)
        ratio = 0.3 * count + generator.gauss(0, 0.3)
        interference.observe(neighbours, ratio, now)
    interference.review(now)
    assert not interference.pairs


# Guards against a pair that rests on too little, or is hidden by a few runs.
@pytest.mark.parametrize(
    ("runs", "agents", "outlier", "found"),
    [
        pytest.param(100, 4, 0.0, True, id="enough"),
        pytest.param(50, 4, 0.0, False, id="too few runs"),
        pytest.param(100, 2, 0.0, False, id="too few targets"),
        pytest.param(100, 4, 20.0, True, id="one run takes very long"),
    ],
)
def test_pair_needs_runs_on_several_targets(
    runs: int, agents: int, outlier: float, found: bool
) -> None:
    interference = core.Interference()
    interference.start("agent-9", 1, "tag", 0, builders.NOW)
    generator = random.Random(4)
    # The means of the targets need some runs first.
    for number in range(-5 * agents, runs):
        slow = number % (2 * agents) >= agents
        neighbours = interference_builders.build_neighbours(
            f"agent-{number % agents}", "tag", "print" if slow else "draw"
        )
        now = interference_builders.make_time(number / 1_000)
        ratio = outlier if number == runs - 1 and outlier else 0.4 * slow
        ratio += generator.gauss(0, 0.2)
        interference.observe(neighbours, ratio, now)
    interference.review(now)
    assert (("tag", "print") in interference.pairs) is found


# Guards against entries that keep tasks apart for good.
def test_pair_is_forgotten_once_it_no_longer_interferes() -> None:
    targets = _build(MIDDLE, entries=1)
    targets.run(45, until=MIDDLE)
    assert targets.interference.pairs
    targets.load = attrs.evolve(targets.load, slowdowns={})
    targets.run(120)
    assert not targets.interference.pairs


def test_everything_is_forgotten_without_runs() -> None:
    targets = _build(MIDDLE, entries=1)
    targets.run(45, until=MIDDLE)
    interference = targets.interference
    targets.stop()
    interference.review(interference_builders.make_time(1_000))
    assert (dict(interference.pairs), interference.kinds) == ({}, 0)
    assert interference.compared == 0
    assert interference.get_costs("middle") == {}


def test_state_is_bounded() -> None:
    interference = core.Interference()
    for number in range(200):
        now = interference_builders.make_time(number / 1_000)
        for kind in (f"kind-{number}", f"kind-{number // 2}"):
            sequence = 2 * number + (kind == f"kind-{number}")
            interference.start("agent-1", sequence, kind, 0, now)
    for number in range(200):
        later = interference_builders.make_time(1 + number / 1_000)
        for sequence in (2 * number, 2 * number + 1):
            ended = interference.end("agent-1", sequence, 0, later)
            if ended is not None:
                interference.observe(ended, 0.0, later)
    assert interference.kinds == core.MAX_KINDS
    assert 0 < interference.compared <= core.MAX_PAIRS


def test_kind_counts_for_the_share_of_the_run_in_which_it_was_present() -> (
    None
):
    interference = core.Interference()
    events = [
        (0.0, 1, "long", True),
        (0.5, 2, "short", True),
        # Two at once count as present once.
        (0.6, 3, "short", True),
        (1.0, 2, "short", False),
        (1.1, 3, "short", False),
        (1.5, 4, "long", True),
    ]
    for seconds, sequence, kind, starts in events:
        now = interference_builders.make_time(seconds)
        if starts:
            interference.start("agent-1", sequence, kind, 2, now)
        else:
            interference.end("agent-1", sequence, 2, now)
    now = interference_builders.make_time(2.0)
    ended = interference.end("agent-1", 1, 4, now)
    assert ended.shares == pytest.approx({"short": 0.3, "long": 0.25})
    # 0.75 runs of the entry and 3 of others on average.
    assert ended.count == 4
    assert interference.end("agent-1", 1, 4, now) is None


def _run_two(services: dict[str, core.Service]) -> core.Ledger:
    """Return a ledger after two runs side by side, one of each route."""
    ledger = core.Ledger(core.Matching())
    ledger.handle_report(builders.build_report(), builders.NOW)
    for route in ("draw", "tag"):
        job = builders.build_job(ledger, 1, route)
        job.terms = core.JobTerms(route=route)
        ledger.submit(job)
    ledger.assign(builders.NOW, {"hall": 9}, 1, services)
    return ledger


def test_runs_are_observed_only_in_services_that_separate_kinds() -> None:
    service = core.Service(separate_kinds=True)
    assert _run_two({"print": service}).interference.kinds == 2
    assert _run_two({"print": core.Service()}).interference.kinds == 0
    assert _run_two({}).interference.kinds == 0


def test_all_is_forgotten_once_the_field_is_removed() -> None:
    ledger = _run_two({"print": core.Service(separate_kinds=True)})
    ledger.submit(builders.build_job(ledger, 1, "job-3"))
    ledger.assign(builders.NOW, {"hall": 9}, 1, {"print": core.Service()})
    assert ledger.interference.kinds == 0
    # Runs that were observed may still end.
    for attempt in tuple(ledger.attempts.values()):
        outcome = core.AttemptReport(
            attempt.sequence, core.Outcome.FINISHED, b"1", run_ms=90
        )
        ledger.handle_results(
            builders.build_results(outcome), interference_builders.make_time(1)
        )
    assert not ledger.attempts
    assert ledger.interference.kinds == 0
