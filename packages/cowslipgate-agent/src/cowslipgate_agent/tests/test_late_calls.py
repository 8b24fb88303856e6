"""Tests that the target is called once, however late the call leaves."""

from collections.abc import Iterator

import cowslipgate_core as core
import pytest

from cowslipgate_agent.tests import builders

ATTEMPT = 1


@pytest.fixture
def rig() -> Iterator[builders.Rig]:
    rig = builders.Rig()
    yield rig
    rig.close()


@pytest.mark.parametrize("paused_seconds", [0, 1, 30, 3_600])
@pytest.mark.parametrize("turns", range(0, 12, 2))
def test_pause_between_decision_and_call_starts_the_task_at_most_once(
    rig: builders.Rig, paused_seconds: int, turns: int
) -> None:
    listener = rig.listen()
    start = rig.start(ATTEMPT, listener.port)
    for _ in range(turns):
        rig.turn()
    rig.advance(paused_seconds)
    rig.run_until(lambda: listener.find("POST") or rig.outcomes, "an end")
    calls = listener.find("POST")
    if calls and not rig.outcomes:
        request = listener.received[calls[0]]
        listener.answer(calls[0], start.order.task)
        listener.received[calls[0]] = request
    rig.run_until(lambda: rig.outcomes, "an outcome")
    rig.advance(0)
    ((outcome, _),) = rig.outcomes
    requests = b"".join(listener.received.values())
    assert requests.count(b"POST /run") <= 1
    # What may have been called is never told as not started.
    assert outcome is not core.Outcome.NOT_STARTED or not calls
