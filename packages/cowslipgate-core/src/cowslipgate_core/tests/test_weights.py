"""Tests of policies adapted to a service's weights."""

import datetime

import cowslipgate_core as core
import pytest


@pytest.mark.parametrize(
    ("response_weight", "waste_weight", "milliseconds"),
    [
        (0.8, 0.2, 0),
        (0.5, 0.5, 0),
        (0.2, 0.8, 300),
        (0.0, 0.4, 500),
        (0, 0, 0),
    ],
)
def test_backlog_time_grows_with_the_lead_of_the_waste_weight(
    response_weight: float, waste_weight: float, milliseconds: int
) -> None:
    policy = core.tune_policy(core.Matching(), response_weight, waste_weight)
    assert policy.max_backlog_time == datetime.timedelta(
        milliseconds=milliseconds
    )


def test_round_robin_ignores_weights() -> None:
    assert core.tune_policy(core.RoundRobin(), 0.0, 1.0) == core.RoundRobin()
