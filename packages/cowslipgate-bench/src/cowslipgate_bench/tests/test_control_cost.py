"""Tests of the limits on the cost of an idle process."""

from cowslipgate_bench import _control_cost
import pytest

LIMIT_KB = _control_cost.RSS_LIMIT_KB


def _build_samples(
    rss_kb: tuple[int, ...] = (1, 1, 1, 1),
    cpu_seconds: tuple[float, ...] = (0.0, 0.0, 0.0, 0.0),
    traffic_bytes: tuple[int, ...] = (0, 0, 0, 0),
) -> list[_control_cost.Sample]:
    counters = zip(rss_kb, cpu_seconds, traffic_bytes, strict=True)
    return [
        _control_cost.Sample(10.0 * number, *counts)
        for number, counts in enumerate(counters)
    ]


@pytest.mark.parametrize(
    ("samples", "excesses"),
    [
        (_build_samples(rss_kb=(1, 1, 99_999, 1)), 0),
        (_build_samples(rss_kb=(1, LIMIT_KB, LIMIT_KB, LIMIT_KB)), 0),
        (_build_samples(rss_kb=(1, 99_999, 1, 99_999)), 1),
        (_build_samples(cpu_seconds=(0.0, 0.1, 0.2, 1.0)), 0),
        (_build_samples(cpu_seconds=(0.0, 0.1, 0.2, 1.2)), 1),
        (_build_samples(traffic_bytes=(0, 10, 20, 600_000)), 0),
        (_build_samples(traffic_bytes=(0, 10, 20, 700_000)), 1),
    ],
    ids=[
        "memory once",
        "memory at the limit",
        "memory",
        "processor within",
        "processor in a burst",
        "traffic within",
        "traffic in a burst",
    ],
)
def test_median_memory_and_mean_rates_are_compared_to_limits(
    samples: list[_control_cost.Sample], excesses: int
) -> None:
    cost = _control_cost.summarize_samples("entry-0", samples)
    assert len(cost.find_excesses()) == excesses


def test_rates_are_per_second() -> None:
    samples = _build_samples((5, 7, 7, 9), (0.0, 1.0, 2.0, 3.0), (0, 5, 9, 15))
    cost = _control_cost.summarize_samples("entry-0", samples)
    assert cost == _control_cost.Cost("entry-0", 7, 0.1, 0.5)
