"""Tests of the workload traces."""

import pytest

from cowslipgate_bench import _workload

PROFILES = list(_workload.Profile)


def _make_trace(profile: _workload.Profile, seed: int) -> _workload.Trace:
    options = _workload.TraceOptions(seed, 0.7, 50.0, 40.0, 5.0, profile)
    return _workload.make_trace(options)


@pytest.mark.parametrize("profile", PROFILES)
def test_trace_is_the_same_for_the_same_seed(
    profile: _workload.Profile,
) -> None:
    assert _make_trace(profile, 1) == _make_trace(profile, 1)
    assert _make_trace(profile, 1) != _make_trace(profile, 2)


@pytest.mark.parametrize("profile", PROFILES)
def test_trace_offers_the_requested_load(
    profile: _workload.Profile,
) -> None:
    trace = _make_trace(profile, 1)
    work = sum(job.work_seconds for job in trace.jobs)
    assert work / (50.0 * 45.0) == pytest.approx(0.7, rel=0.03)
    arrivals = [job.arrival for job in trace.jobs]
    assert arrivals == sorted(arrivals)
    assert arrivals[-1] < 45.0


def test_opening_burst_has_its_arrivals_within_a_second() -> None:
    trace = _make_trace(_workload.Profile.SCHELDE, 1)
    start = 5.0 + 40.0 / 3
    burst = [j for j in trace.jobs if start <= j.arrival < start + 1]
    assert len(burst) > 3 * len(trace.jobs) / 45
