"""Tests of callers that hang up before the entry has read all they sent.

Pattern: an entry is frozen, or a cut holds up the caller's packets. The caller
gives up and sends its job again to another entry, where it runs. What it had
sent to the first entry, and its end of the connection, are read later at once.
"""

from collections.abc import Iterator

import cowslipgate_core as core
import pytest

from cowslipgate_entry.tests import builders
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


# Guards against two runs of one task: an entry that wakes heard its agents
# first and sent them tasks of callers that had left while it was frozen.
@pytest.mark.parametrize("reset", [False, True])
def test_waiting_task_whose_caller_has_gone_is_not_sent(
    harness: caller_builders.CallerHarness, reset: bool
) -> None:
    caller = harness.connect()
    caller.sendall(caller_builders.REQUEST)
    harness.run()
    assert len(harness.ledger.jobs) == 1
    caller_builders.hang_up(caller, reset)
    harness.start_agent()
    assert harness.outbox.take(core.Dispatch) == []
    assert not harness.ledger.jobs


# Guards against two runs of one task: an entry that wakes heard that its runs
# had been stopped and sent the tasks again for callers that had left.
def test_stopped_task_whose_caller_has_gone_is_not_sent_again(
    harness: caller_builders.CallerHarness,
) -> None:
    harness.start_agent()
    caller = harness.connect()
    caller.sendall(caller_builders.REQUEST)
    harness.run()
    (dispatch,) = harness.outbox.take(core.Dispatch)
    caller_builders.hang_up(caller, reset=False)
    refused = core.AttemptReport(
        dispatch.orders[0].attempt, core.Outcome.NOT_STARTED
    )
    harness.deliver(caller_builders.build_results(refused))
    assert harness.outbox.take(core.Dispatch) == [dispatch]
    assert not harness.ledger.jobs


# Guards against a lease that an entry confirms as it wakes, for the run of a
# caller that left while it was frozen.
@pytest.mark.parametrize("reports", [1, 3])
def test_stop_for_a_caller_that_has_gone_comes_before_any_confirmation(
    harness: caller_builders.CallerHarness, reports: int
) -> None:
    harness.start_agent()
    caller = harness.connect()
    caller.sendall(caller_builders.REQUEST)
    harness.run()
    caller_builders.hang_up(caller, reset=False)
    harness.outbox.messages.clear()
    harness.deliver(*[builders.build_report()] * reports)
    kinds = [type(message) for message in harness.outbox.messages]
    assert kinds == [core.Withdraw] + [core.Beat] * reports


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


# Guards against a job that is cancelled for the caller of another: descriptors
# of closed connections are used again.
def test_only_the_jobs_of_callers_that_left_are_cancelled(
    harness: caller_builders.CallerHarness,
) -> None:
    callers = [harness.connect() for _ in range(4)]
    for caller in callers:
        caller.sendall(caller_builders.REQUEST)
    harness.run()
    for caller in callers[1:3]:
        caller_builders.hang_up(caller, reset=False)
    harness.run()
    callers.append(harness.connect())
    callers[-1].sendall(caller_builders.REQUEST)
    harness.run()
    caller_builders.hang_up(callers[0], reset=True)
    harness.start_agent()
    assert len(harness.ledger.jobs) == 2
    (dispatch,) = harness.outbox.take(core.Dispatch)
    for order in dispatch.orders:
        harness.finish_task(order.attempt)
    for caller in (callers[3], callers[4]):
        assert harness.read_status(caller) == 200
