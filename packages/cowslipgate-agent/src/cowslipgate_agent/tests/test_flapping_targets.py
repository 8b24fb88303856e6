"""Tests of a target that goes down and up and closes each connection.

Pattern: some targets of a fleet accept connections and close them without an
answer for a second or more. Their agents called them 2,000 times a second to
stop what they had ordered, and went on taking tasks.
"""

import datetime

import circuits
import cowslipgate_core as core
from cowslipgate_core.tests import run_builders
import cowslipgate_transport as transport
import pytest

from cowslipgate_agent import _events
from cowslipgate_agent import _runner
from cowslipgate_agent.tests import leased_builders

CLOSED = transport.CallProblem.CLOSED
DOWN_MS = 1_000
TICK_MS = 100
TARGET_LAPSE = datetime.timedelta(seconds=6)


class ClosingTarget(circuits.BaseComponent):
    """Fails each call of the harness at once while it is down."""

    channel = "target"

    def __init__(self) -> None:
        super().__init__()
        self.down = False
        self.calls = 0

    @circuits.handler("call_http", priority=-1)
    def _on_call_http(self, call: transport.Call) -> None:
        if self.down and self.calls < 10_000:
            self.calls += 1
            failure = transport.CallFailure(call, CLOSED, sent=True)
            self.fire(transport.http_failed(failure))


def _start_two_tasks(
    harness: leased_builders.LeasedCallsHarness,
) -> core.Executor:
    executor = core.Executor(1, 0)
    _runner.Runner(executor, harness.clock, TARGET_LAPSE).register(harness)
    leased_builders.connect_target(harness)
    orders = tuple(run_builders.build_order(n, run=10 + n) for n in (1, 2))
    dispatch = core.Dispatch(7, 1, 0, orders)
    harness.fire(_events.entry_message_received(dispatch), "runner")
    harness.send(_events.tick())
    assert len(executor.running) == len(orders)
    return executor


def test_closing_target_is_called_a_few_times_a_second() -> None:
    harness = leased_builders.LeasedCallsHarness()
    target = ClosingTarget().register(harness)
    _start_two_tasks(harness)
    target.down = True
    harness.fail(harness.calls[-1], CLOSED)
    for _ in range(DOWN_MS // TICK_MS):
        harness.pass_time(TICK_MS)
    # A watch and a stop for each of two runs, at each tick.
    assert target.calls <= 3 * DOWN_MS // TICK_MS + 3


@pytest.mark.parametrize(
    ("broken", "serves"),
    [
        pytest.param(1, True, id="one idle connection ended"),
        pytest.param(2, False, id="two in a row"),
    ],
)
def test_closing_target_gets_no_tasks_until_it_answers(
    broken: int, serves: bool
) -> None:
    harness = leased_builders.LeasedCallsHarness()
    executor = _start_two_tasks(harness)
    watch = leased_builders.find_watch(harness)
    for call in harness.calls[-broken:]:
        harness.fail(call, CLOSED)
    assert (executor.slots > 0) is serves
    harness.pass_time(TICK_MS)
    harness.answer(
        leased_builders.find_watch(harness),
        run_builders.build_listing(6_000),
    )
    assert watch is not leased_builders.find_watch(harness) or serves
    assert executor.slots > 0
