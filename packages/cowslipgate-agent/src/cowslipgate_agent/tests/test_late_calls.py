"""Tests that a target is called at most once however late the call is sent."""

from collections.abc import Iterator

import cowslipgate_core as core
import pytest

from cowslipgate_agent.tests import builders

ATTEMPT = 1


@pytest.fixture
def harness() -> Iterator[builders.CallsHarness]:
    harness = builders.CallsHarness()
    yield harness
    harness.close()


@pytest.mark.parametrize("paused_seconds", [0, 1, 30, 3_600])
@pytest.mark.parametrize("rounds", range(0, 12, 2))
def test_pause_between_decision_and_call_starts_the_task_at_most_once(
    harness: builders.CallsHarness, paused_seconds: int, rounds: int
) -> None:
    target = harness.add_target()
    start = harness.start(ATTEMPT, target.port)
    for _ in range(rounds):
        harness.run_round()
    harness.advance(paused_seconds)
    harness.run_until(
        lambda: target.find("POST") or harness.outcomes, "an end"
    )
    calls = target.find("POST")
    if calls and not harness.outcomes:
        request = target.received[calls[0]]
        target.answer(calls[0], start.order.task)
        target.received[calls[0]] = request
    harness.run_until(lambda: harness.outcomes, "an outcome")
    harness.advance(0)
    ((outcome, _),) = harness.outcomes
    requests = b"".join(target.received.values())
    assert requests.count(b"POST /run") <= 1
    # A task whose call may have been received is never "not started".
    assert outcome is not core.Outcome.NOT_STARTED or not calls
