"""Targets that are added or replaced while jobs wait.

Pattern: a fleet of slow targets is full and jobs wait at an entry. Empty
targets are added, in its failure domain or another; or nine of twenty targets
are about to leave, as when a fleet is replaced one by one.
"""

import datetime

import attrs
import cowslipgate_core as core
from cowslipgate_core.tests import builders
import pytest

DOMAIN = "kaai-zuid"
QUOTAS = {"hall": 1_000}
ROOM = core.Resources(65_536, 0, 32_000)
NEEDS = core.Resources(0, 0, 5_000)
TASKS_A_TARGET = 6
TASKS_A_JOB = 4
SLOW_TARGETS = 12
OBJECTIVE = datetime.timedelta(milliseconds=60)
TERMS = core.JobTerms(objective=OBJECTIVE, slowdown=1.6)


def _build_report(
    agent: str, domain: str = DOMAIN, state: str = "serving"
) -> core.Report:
    # The agent of a leaving target offers no slots.
    slots = core.UNBOUNDED_SLOTS if state == "serving" else 0
    return attrs.evolve(
        builders.build_report(agent, slots=slots),
        domain=domain,
        state=state,
        resources=ROOM,
        room=ROOM,
    )


def _submit(ledger: core.Ledger, jobs: int, first: int) -> None:
    task = core.TaskRequest(kind="tag", size_ms=120.0, needs=NEEDS)
    request = core.JobRequest((task,) * TASKS_A_JOB)
    for number in range(first, first + jobs):
        job = builders.build_job(ledger, job_id=f"job-{number}")
        ledger.submit(attrs.evolve(job, request=request, terms=TERMS))


def _assign(ledger: core.Ledger, now: datetime.datetime) -> dict[str, int]:
    """Return the number of tasks sent to each agent."""
    return {
        action.agent: len(action.orders)
        for action in ledger.assign(now, QUOTAS)
    }


def _build_ledger(targets: int) -> core.Ledger:
    ledger = core.Ledger(core.Matching(), domain=DOMAIN)
    for number in range(targets):
        ledger.handle_report(_build_report(f"slow-{number}"), builders.NOW)
    return ledger


def _fill(ledger: core.Ledger, targets: int) -> None:
    """Fill every target, and leave as many jobs waiting."""
    jobs = targets * TASKS_A_TARGET // TASKS_A_JOB
    _submit(ledger, 2 * jobs, 0)
    sent = _assign(ledger, builders.NOW)
    assert list(sent.values()) == [TASKS_A_TARGET] * targets


@pytest.mark.parametrize("waited_ms", [0, 100, 500])
@pytest.mark.parametrize("domain", [DOMAIN, "dokken-noord"])
def test_empty_target_is_filled_by_waiting_jobs_at_once(
    domain: str, waited_ms: int
) -> None:
    ledger = _build_ledger(SLOW_TARGETS)
    _fill(ledger, SLOW_TARGETS)
    now = builders.NOW + datetime.timedelta(milliseconds=waited_ms)
    ledger.handle_report(_build_report("fresh", domain), now)
    assert _assign(ledger, now) == {"fresh": TASKS_A_TARGET}


@pytest.mark.parametrize("leaving", [1, 9, 19])
def test_work_goes_around_targets_that_leave_and_theirs_is_not_cut(
    leaving: int,
) -> None:
    targets = 20
    ledger = _build_ledger(targets)
    _submit(ledger, targets, 0)
    running = _assign(ledger, builders.NOW)
    for number in range(leaving):
        report = _build_report(f"slow-{number}", state="leaving")
        assert ledger.handle_report(report, builders.NOW) == []
    _submit(ledger, targets * TASKS_A_TARGET, 1_000)
    sent = _assign(ledger, builders.NOW)
    gone = {f"slow-{number}" for number in range(leaving)}
    assert not gone & sent.keys()
    assert ledger.tick(builders.NOW) == []
    stayed = [f"slow-{number}" for number in range(leaving, targets)]
    filled = [running.get(name, 0) + sent.get(name, 0) for name in stayed]
    assert filled == [TASKS_A_TARGET] * len(stayed)
