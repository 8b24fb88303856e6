"""Tests of the shares of the time after which callers submit again."""

import datetime

import cowslipgate_core as core
from cowslipgate_core.execution import _run_budgets
import pytest

SLOWEST_RATE = 0.98
TICK = datetime.timedelta(milliseconds=100)
STOP = datetime.timedelta(milliseconds=50)


def _seconds(number: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=number)


# Guards against limits that add up past the time of the second submission.
@pytest.mark.parametrize("resend", [0.7, 0.9, 1.3, 1.31, 2.0, 9.0])
@pytest.mark.parametrize("lease", [0.3, 0.6, 1.0, 3.0])
def test_shares_fit_into_the_time_of_the_second_submission(
    resend: float, lease: float
) -> None:
    budget = core.make_run_budget(_seconds(resend), _seconds(lease))
    assert budget.stop_after + TICK + STOP < budget.end_after
    assert _run_budgets.ORDINARY_AGE + budget.renewal <= budget.end_after
    assert budget.renewal <= _seconds(lease)
    lag = budget.renewal / SLOWEST_RATE - budget.renewal
    assert budget.end_after + lag < _seconds(resend)


# Guards against a time to resend for which no run could end in time.
@pytest.mark.parametrize(
    ("resend", "lease"), [(0.0, 1.0), (0.2, 1.0), (0.69, 1.0), (1.3, 0.2)]
)
def test_time_that_is_too_short_is_refused(
    resend: float, lease: float
) -> None:
    with pytest.raises(core.SettingsError) as caught:
        core.make_run_budget(_seconds(resend), _seconds(lease))
    assert "resend_after" in str(caught.value)
