"""Tests of claims of non-repeatable jobs."""

import cowslipgate_core as core
import pytest

from cowslipgate_entry import _events
from cowslipgate_entry.callers import _requests
from cowslipgate_entry.store import _claims
from cowslipgate_entry.tests import builders
from cowslipgate_entry.tests import control_builders

BURST = 150


def _build_harness() -> control_builders.ComponentHarness:
    harness = control_builders.ComponentHarness("store", "dispatcher")
    _claims.Claims(builders.MEMBER).register(harness.root)
    harness.flush_all()
    return harness


def _build_claim(number: int, key: str = "") -> _requests.Claim:
    ledger = core.Ledger(core.LateBinding())
    request = core.JobRequest((core.TaskRequest(),), repeatable=False)
    now = core.ManualClock().now()
    job = core.Job(
        f"7-{number}",
        "hall",
        "print",
        request,
        now,
        now,
        ledger.make_machine(),
    )
    return _requests.Claim(key or f"key-{number}", f"nonce-{number}", job)


def _claim(
    harness: control_builders.ComponentHarness, *claims: _requests.Claim
) -> None:
    for claim in claims:
        harness.root.fire(_events.claim_job(claim), "claims")
    harness.flush_all()


def _take_outcomes(harness: control_builders.ComponentHarness) -> list[str]:
    decided = harness.recorders["dispatcher"].take("job_claimed")
    return [outcome.value for _, outcome, _ in decided]


def test_claims_of_a_burst_share_transactions() -> None:
    harness = _build_harness()
    _claim(harness, *[_build_claim(number) for number in range(BURST)])
    calls = harness.recorders["store"].take("call_store")
    assert [len(call.writes) for (call,) in calls] == [100, 50]


def test_claims_wait_while_two_transactions_are_in_flight() -> None:
    harness = _build_harness()
    for number in range(5):
        _claim(harness, _build_claim(number))
    (first,), _ = harness.recorders["store"].take("call_store")
    harness.answer(first, _requests.StoreResult.DONE)
    assert len(harness.take_call().writes) == 3


def test_second_claim_of_a_key_gets_the_first_job() -> None:
    harness = _build_harness()
    _claim(harness, _build_claim(1, "key"), _build_claim(2, "key"))
    ((claim, outcome, holder),) = harness.recorders["dispatcher"].take(
        "job_claimed"
    )
    assert (claim.job.id, outcome.value, holder) == ("7-2", "taken", "7-1")


@pytest.mark.parametrize(
    ("nonce", "outcome"), [("nonce-1", "claimed"), ("other", "taken")]
)
@pytest.mark.parametrize("result", ["lost", "conflict"])
def test_nonce_resolves_a_lost_answer(
    nonce: str, outcome: str, result: str
) -> None:
    harness = _build_harness()
    _claim(harness, _build_claim(1))
    harness.answer(harness.take_call(), _requests.StoreResult(result))
    row = {"nonce": nonce, "job": "7-1", "entry": 7}
    harness.answer(harness.take_call(), _requests.StoreResult.DONE, row, 1)
    assert _take_outcomes(harness) == [outcome]


def test_absent_row_after_a_lost_answer_is_written_again() -> None:
    harness = _build_harness()
    _claim(harness, _build_claim(1))
    harness.answer(harness.take_call(), _requests.StoreResult.LOST)
    harness.answer(harness.take_call(), _requests.StoreResult.ABSENT)
    harness.answer(harness.take_call(), _requests.StoreResult.DONE)
    assert _take_outcomes(harness) == ["claimed"]


@pytest.mark.parametrize("row", [None, {}, {"nonce": 1}, "text"])
def test_malformed_row_counts_as_taken(row: object) -> None:
    harness = _build_harness()
    _claim(harness, _build_claim(1))
    harness.answer(harness.take_call(), _requests.StoreResult.CONFLICT)
    harness.answer(harness.take_call(), _requests.StoreResult.DONE, row, 1)
    assert _take_outcomes(harness) == ["taken"]


@pytest.mark.parametrize(
    ("one", "other"), [(("a:b", "c"), ("a", "b:c")), (("a", "k"), ("b", "k"))]
)
def test_rows_of_different_teams_do_not_collide(
    one: tuple[str, str], other: tuple[str, str]
) -> None:
    assert core.digest_claim(*one) != core.digest_claim(*other)
