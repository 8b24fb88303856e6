"""Tests of heartbeat intervals, which grow with the number of agents."""

import datetime

import cowslipgate_core as core
from cowslipgate_core.tests import builders
import pytest

NOW = builders.NOW
QUOTAS = {"hall": 100}


def _build_ledger(agents: int) -> core.Ledger:
    ledger = core.Ledger(core.LateBinding())
    for number in range(agents):
        ledger.handle_report(builders.build_report(f"agent-{number}"), NOW)
    return ledger


@pytest.mark.parametrize("agents", [0, 11, 100, 2_000])
def test_heartbeats_stay_within_the_byte_budget(agents: int) -> None:
    interval = core.choose_heartbeat(agents)
    rate = agents * core.HEARTBEAT_BYTES / interval.total_seconds()
    assert rate <= core.HEARTBEAT_BYTES_PER_SECOND + 1


def test_few_agents_report_each_second() -> None:
    assert core.choose_heartbeat(11) == core.SHORTEST_HEARTBEAT


def test_idle_agents_with_long_heartbeats_are_not_suspect() -> None:
    ledger = _build_ledger(2_000)
    ledger.submit(builders.build_job(ledger))
    later = NOW + 2 * ledger.heartbeat
    assert ledger.assign(later, QUOTAS)


def test_idle_agents_with_long_heartbeats_are_not_lost() -> None:
    ledger = _build_ledger(2_000)
    ledger.tick(NOW + 4 * ledger.heartbeat)
    assert len(ledger.agents) == 2_000


def test_long_heartbeats_do_not_delay_the_loss_of_a_busy_agent() -> None:
    ledger = _build_ledger(2_000)
    later = NOW + 2 * ledger.heartbeat
    job = builders.build_job(ledger)
    job.deadline = later + datetime.timedelta(hours=1)
    ledger.submit(job)
    ledger.assign(later, QUOTAS)
    ledger.tick(later + datetime.timedelta(seconds=19))
    kept = len(ledger.agents)
    ledger.tick(later + datetime.timedelta(seconds=21))
    assert (kept, len(ledger.agents)) == (2_000, 1_999)
