"""Tests of job admission."""

import datetime

import cowslipgate_core as core
import pytest

from cowslipgate_core.tests import builders

SECOND = datetime.timedelta(seconds=1)
SMALL = core.Resources(100, 0)
LARGE = core.Resources(1000, 2)
CONCLUSIVE_AFTER = core.OFFERS_CONCLUSIVE_AFTER


def _build_request(needs: core.Resources) -> core.JobRequest:
    return core.JobRequest((core.TaskRequest(), core.TaskRequest(needs=needs)))


@pytest.mark.parametrize(
    ("offers", "after", "needs", "index"),
    [
        ([], CONCLUSIVE_AFTER, LARGE, None),
        ([SMALL], CONCLUSIVE_AFTER, LARGE, 1),
        ([SMALL], CONCLUSIVE_AFTER - SECOND, LARGE, None),
        ([SMALL, LARGE], CONCLUSIVE_AFTER, LARGE, None),
        ([SMALL], CONCLUSIVE_AFTER, SMALL, None),
        ([SMALL], core.OFFERS_KEPT_FOR + SECOND, LARGE, None),
    ],
    ids=[
        "no target is known",
        "no target is large enough",
        "offers are not conclusive yet",
        "a target is large enough",
        "every target is large enough",
        "every target was last seen long ago",
    ],
)
def test_job_is_infeasible_only_on_conclusive_offers(
    offers: list[core.Resources],
    after: datetime.timedelta,
    needs: core.Resources,
    index: int | None,
) -> None:
    history = core.OfferHistory()
    for offer in offers:
        history.record_offer("print", offer, builders.NOW)
    found = history.find_infeasible(
        "print", _build_request(needs), builders.NOW + after
    )
    assert found == index


def test_offer_of_absent_target_still_counts() -> None:
    history = core.OfferHistory()
    history.record_offer("print", LARGE, builders.NOW)
    later = builders.NOW + core.OFFERS_KEPT_FOR - SECOND
    history.record_offer("print", SMALL, later)
    assert (
        history.find_infeasible("print", _build_request(LARGE), later) is None
    )


def test_offers_are_bounded_and_prove_nothing_when_full() -> None:
    history = core.OfferHistory()
    for memory in range(2000):
        offer = core.Resources(memory, 0)
        history.record_offer("print", offer, builders.NOW)
    later = builders.NOW + CONCLUSIVE_AFTER
    assert (
        history.find_infeasible("print", _build_request(LARGE), later) is None
    )


@pytest.mark.parametrize(
    ("tasks", "waiting", "failure"),
    [
        (10, 90, None),
        (11, 0, core.Failure.TOO_LARGE),
        (10, 91, core.Failure.OVERLOADED),
    ],
)
def test_limits(
    tasks: int, waiting: int, failure: core.Failure | None
) -> None:
    service = core.Service(max_tasks=10, max_backlog=100)
    refusal = core.check_limits(service, tasks, waiting)
    assert (refusal.failure if refusal else None) == failure


@pytest.mark.parametrize(
    ("ahead", "capacity", "refused"),
    [
        (0.0, 8.0, False),
        (8.0, 8.0, False),
        (9.0, 8.0, True),
        (9.0, 0.0, False),
    ],
)
def test_wait_beyond_deadline_is_refused(
    ahead: float, capacity: float, refused: bool
) -> None:
    refusal = core.check_wait(ahead, capacity, SECOND)
    assert (refusal is not None) == refused
