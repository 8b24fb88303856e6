"""Tests of the text exposition of metrics."""

import datetime

import pytest

import cowslipgate_core as core
from cowslipgate_transport import _exposition


def test_counters_and_gauges_are_rendered_with_labels() -> None:
    counter = _exposition.Counter("a_total", "About a.", "kind")
    counter.add('x"\n', amount=2)
    counter.add("b")
    gauge = _exposition.Gauge("g", "About g.", lambda: {(): 3})
    lines = _exposition.render_families([counter, gauge]).decode()
    assert lines.splitlines() == [
        "# HELP a_total About a.",
        "# TYPE a_total counter",
        'a_total{kind="b"} 1',
        'a_total{kind="x\\"\\n"} 2',
        "# HELP g About g.",
        "# TYPE g gauge",
        "g 3",
    ]


def _read(summary: _exposition.Summary) -> dict[str, float]:
    return {
        dict(sample.labels).get("quantile", sample.name): sample.value
        for sample in summary.collect()
    }


def test_quantiles_cover_the_last_minutes_and_totals_everything() -> None:
    clock = core.ManualClock()
    summary = _exposition.Summary("s", "About s.", clock)
    for number in range(1, 1001):
        summary.observe(number / 1000)
    values = _read(summary)
    assert values["0.5"] == pytest.approx(0.5, rel=0.02)
    assert values["0.99"] == pytest.approx(0.99, rel=0.02)
    clock.advance(_exposition.WINDOW)
    summary.observe(5.0)
    assert _read(summary)["0.5"] == pytest.approx(0.5, rel=0.02)
    clock.advance(_exposition.WINDOW)
    assert _read(summary)["0.5"] == pytest.approx(5.0, rel=0.02)
    clock.advance(datetime.timedelta(hours=1))
    values = _read(summary)
    assert values["0.5"] == 0
    assert values["s_count"] == 1001
    assert values["s_sum"] == pytest.approx(505.5)
