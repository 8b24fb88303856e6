"""Tests of orders that could not be sent, as the agent is not connected."""

import datetime

import cowslipgate_core as core
from cowslipgate_core.tests import builders
import pytest

QUOTAS = {"hall": 100}
TIMING = core.Timing(
    agent_suspect_after=datetime.timedelta(milliseconds=1_200),
    agent_lost_after=datetime.timedelta(milliseconds=3_500),
)
INSTANT = datetime.timedelta(microseconds=1)


# Guards against sending a task to the same agent again and again, without
# pause, after each of its orders could not be sent.
@pytest.mark.parametrize("policy", [core.LateBinding(), core.Matching()])
def test_task_that_was_not_sent_goes_to_another_agent(
    policy: core.Policy,
) -> None:
    ledger = core.Ledger(policy, 0, TIMING)
    for agent in ("agent-1", "agent-2"):
        ledger.handle_report(builders.build_report(agent), builders.NOW)
    ledger.submit(builders.build_job(ledger))
    agents = []
    now = builders.NOW
    for _ in range(2):
        (action,) = ledger.assign(now, QUOTAS)
        agents.append(action.agent)
        now += INSTANT
        unsent = tuple(order.attempt for order in action.orders)
        ledger.handle_unsent(action.agent, unsent, now)
    assert sorted(agents) == ["agent-1", "agent-2"]
    assert ledger.assign(now, QUOTAS) == []
