"""Tests of shares of the started work under overload.

The load is a stream of urgent jobs that alone exceeds the target, beside a
less urgent route that has a share.
"""

import cowslipgate_core as core
from cowslipgate_core.tests import builders
from cowslipgate_core.tests import overload_builders
import pytest

SECONDS = 20


def _run_streams(
    share: float, other_share: float = 0.0, sends_other: bool = True
) -> dict[str, float]:
    """Return the part of the work of each route over 20 s of overload.

    :param share: share of the less urgent route
    :param other_share: share of a third route
    :param sends_other: whether the third route sends jobs
    """
    entry = overload_builders.Entry(4)
    for route in ("urgent", "other", "shared"):
        entry.learn(route, 400)
    for _ in range(SECONDS * 10):
        for _ in range(2):
            entry.submit(entry.build_job("urgent", 1, 400, 3.0))
        entry.submit(
            entry.build_job("shared", 1, 400, 3.0, priority=2, share=share)
        )
        if sends_other:
            entry.submit(
                entry.build_job(
                    "other", 1, 400, 3.0, priority=1, share=other_share
                )
            )
        entry.run(0.1)
    total = sum(entry.started_work.values())
    return {route: work / total for route, work in entry.started_work.items()}


# Guards against a route that gets nothing behind more urgent ones.
def test_route_gets_at_least_its_share_under_overload() -> None:
    without = _run_streams(0.0)
    parts = _run_streams(0.3)
    assert without.get("shared", 0.0) < 0.1
    assert parts["shared"] == pytest.approx(0.3, abs=0.05)
    assert parts["urgent"] > 0.6


def test_two_shares_are_kept_at_once() -> None:
    parts = _run_streams(0.2, 0.3)
    assert parts["shared"] == pytest.approx(0.2, abs=0.05)
    assert parts["other"] == pytest.approx(0.3, abs=0.05)


# Guards against room that stays empty for a route that sends nothing.
def test_idle_share_is_used_by_others() -> None:
    entry = overload_builders.Entry(4)
    entry.learn("urgent", 400)
    for _ in range(100):
        entry.submit(entry.build_job("urgent", 2, 400, 3.0))
        entry.run(0.1)
    # Four slots for 10 s.
    assert sum(entry.started_work.values()) > 0.9 * 40
    parts = _run_streams(0.3, 0.6, sends_other=False)
    assert parts["shared"] == pytest.approx(0.3, abs=0.05)
    assert parts["urgent"] > 0.6


# Guards against a route that saves its share while it is idle and then keeps
# all others out.
def test_share_is_not_saved_while_a_route_is_idle() -> None:
    entry = overload_builders.Entry(4)
    for route in ("urgent", "shared"):
        entry.learn(route, 400)
    entry.submit(entry.build_job("shared", 1, 400, 3.0, priority=2, share=0.5))
    for _ in range(100):
        entry.submit(entry.build_job("urgent", 2, 400, 3.0))
        entry.run(0.1)
    entry.started_work.clear()
    for _ in range(20):
        for _ in range(4):
            entry.submit(
                entry.build_job("shared", 1, 400, 3.0, priority=2, share=0.5)
            )
        entry.submit(entry.build_job("urgent", 2, 400, 3.0))
        entry.run(0.1)
    total = sum(entry.started_work.values())
    assert entry.started_work["shared"] / total < 0.6


# Guards against refusals of what a route's share would have served, and of
# jobs beyond their share being kept in its place.
def test_jobs_beyond_their_share_are_refused_first() -> None:
    urgent = [
        overload_builders.build_queued(f"u{n}", 1.0, 0.1, 10.0)
        for n in range(20)
    ]
    shared = [
        overload_builders.build_queued(
            f"s{n}", 1.0, 0.1, 10.0, "r", 0.25, priority=2
        )
        for n in range(6)
    ]
    queue = core.Queue(urgent + shared, 1.0, 1.0, builders.NOW)
    refused = {forecast.job for forecast in queue.refused}
    # Three jobs of the route fit its quarter of the rate.
    assert not refused & {"s0", "s1", "s2", "s3"}
    assert "s5" in refused
    assert "u19" in refused
    without = [
        overload_builders.build_queued(f"s{n}", 1.0, 0.1, 10.0, priority=2)
        for n in range(6)
    ]
    queue = core.Queue(urgent + without, 1.0, 1.0, builders.NOW)
    assert "s0" in {forecast.job for forecast in queue.refused}


def test_new_job_within_its_share_is_forecast_by_it() -> None:
    urgent = overload_builders.build_queued("u", 90.0, 1.0, 999.0)
    shared = overload_builders.build_queued(
        "s", 1.0, 1.0, 999.0, "r", 0.25, priority=2
    )
    queue = core.Queue([urgent, shared], 1.0, 1.0, builders.NOW)
    new = overload_builders.build_queued(
        "n", 2.0, 1.0, 9.0, "r", 0.25, priority=2
    )
    assert queue.forecast_new(new).start_seconds == 4.0


# Guards against credits that are kept for routes without jobs.
def test_credits_end_with_the_jobs_of_their_route() -> None:
    shares = core.Shares()
    task = core.WaitingTask("j", 0, 1.0, upper_seconds=1.0)
    terms = core.JobTerms(route="r", share=0.5)
    job = core.WaitingJob("j", "hall", builders.NOW, [task], terms=terms)
    shares.add_job("print", job)
    empty = core.Pool(
        [core.TargetView("agent-1", core.Resources(), 1, 1, 1.0)]
    )
    free = core.Pool([core.TargetView("agent-2", core.Resources(), 1, 0, 1.0)])
    for pool, chosen in ((empty, 0), (free, 1)):
        assignments = shares.choose_assignments(
            "print",
            core.Matching(),
            [job],
            pool,
            {"hall": 9},
            builders.NOW,
            1,
        )
        assert len(assignments) == chosen
    assert shares.get_credit("print", "r") == 0
