"""Tests of callers that hang up before the entry has read all they sent.

Pattern: an entry is frozen, or a cut holds up the caller's packets. The caller
gives up and sends its job again to another entry, where it runs. What it had
sent to the first entry, and its end of the connection, are read later at once.
"""

from collections.abc import Iterator

import cowslipgate_core as core
import pytest

from cowslipgate_entry.tests import caller_builders

STEPS = 12
"""More rounds of events than a request takes until its task is sent."""


@pytest.fixture
def harness() -> Iterator[caller_builders.CallerHarness]:
    harness = caller_builders.CallerHarness()
    yield harness
    harness.close()


# Guards against two runs of one task: a request that is read after its caller
# has gone was run until the end of the connection was read.
@pytest.mark.parametrize("reset", [False, True])
def test_request_whose_caller_has_gone_is_not_run(
    harness: caller_builders.CallerHarness, reset: bool
) -> None:
    harness.start_agent()
    caller = harness.connect()
    caller.sendall(caller_builders.REQUEST)
    caller_builders.hang_up(caller, reset)
    harness.run()
    assert harness.outbox.take(core.Dispatch) == []
    assert not harness.ledger.jobs


# Guards against a run without a caller until its deadline: the end of the
# connection was noticed between the request and the acceptance of its job.
@pytest.mark.parametrize("steps", range(STEPS))
def test_caller_that_leaves_at_any_step_of_its_request_leaves_no_job(
    harness: caller_builders.CallerHarness, steps: int
) -> None:
    caller = harness.connect()
    caller.sendall(caller_builders.REQUEST)
    harness.poll()
    for _ in range(steps):
        harness.root.flush()
    caller_builders.hang_up(caller, reset=False)
    # A busy process polls before its queue is empty.
    for _ in range(STEPS):
        harness.poll()
    harness.run()
    assert not harness.ledger.jobs


def test_callers_that_wait_are_answered_on_one_connection(
    harness: caller_builders.CallerHarness,
) -> None:
    harness.start_agent()
    caller = harness.connect()
    for number in (1, 2):
        caller.sendall(caller_builders.REQUEST)
        harness.run()
        assert len(harness.outbox.take(core.Dispatch)) == number
        harness.finish_task(number)
        assert harness.read_status(caller) == 200
