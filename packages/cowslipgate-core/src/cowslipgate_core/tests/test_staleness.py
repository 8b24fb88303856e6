"""Tests of target loads corrected for their age."""

import datetime

import attrs
import cowslipgate_core as core
from cowslipgate_core.tests import builders
from cowslipgate_core.tests import reference_placement
import hypothesis
from hypothesis import strategies
import pytest

QUOTAS = {"hall": 100}


@hypothesis.settings(derandomize=True, database=None, deadline=None)
@hypothesis.given(
    strategies.integers(0, 100),
    strategies.floats(0.0, 60.0),
    strategies.floats(0.05, 8.0),
)
def test_corrected_load_matches_the_reference(
    others: int, age_seconds: float, speed: float
) -> None:
    age = datetime.timedelta(seconds=age_seconds)
    expected = reference_placement.expect_others(
        others, age.total_seconds(), speed
    )
    assert core.expect_others(others, age, speed) == pytest.approx(expected)


@pytest.mark.parametrize(("seconds", "sent"), [(0.05, 0), (1.0, 1)])
def test_target_that_other_entries_filled_gets_a_task_within_1_s(
    seconds: float, sent: int
) -> None:
    ledger = core.Ledger(core.Matching())
    report = builders.build_report(slots=8)
    report = attrs.evolve(report, load=core.Load(8, 0, 8))
    ledger.handle_report(report, builders.NOW)
    ledger.submit(builders.build_job(ledger))
    assert not ledger.assign(builders.NOW, QUOTAS)
    later = builders.NOW + datetime.timedelta(seconds=seconds)
    assert len(ledger.assign(later, QUOTAS)) == sent
