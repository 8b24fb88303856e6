"""Tests that state that grows with time or with remote input is bounded."""

import datetime

import cowslipgate_core as core
from cowslipgate_core.placement import _assignment
from cowslipgate_core.placement import _roster
from cowslipgate_core.tests import builders
import pytest

NOW = builders.NOW
MANY = 50


def _build_roster() -> core.Roster:
    return _roster.Roster(
        lambda agent, now: 1.0, 0, datetime.timedelta(seconds=5)
    )


def _announce_service(roster: core.Roster, service: str) -> core.AgentRecord:
    report = core.Report(
        "agent-1",
        1,
        service,
        "kaai-zuid",
        "serving",
        core.Resources(),
        core.Load(8, 0, 0),
        1,
        "",
    )
    record = roster.agents.get("agent-1")
    if record is None:
        record = core.AgentRecord(report, NOW, report.load)
        roster.add(record)
    else:
        roster.replace_report(record, report)
    roster.get_pool(service, NOW)
    return record


def test_pools_end_with_their_last_target() -> None:
    roster = _build_roster()
    for number in range(MANY):
        _announce_service(roster, f"service-{number}")
    assert roster.services == {f"service-{MANY - 1}"}
    roster.remove("agent-1")
    assert not roster.services


def test_removed_pool_is_created_again() -> None:
    roster = _build_roster()
    _announce_service(roster, "print")
    _announce_service(roster, "draw")
    _announce_service(roster, "print")
    pool = roster.get_pool("print", NOW)
    assert [view.agent for view in pool.ranked] == ["agent-1"]


def test_services_without_jobs_are_forgotten() -> None:
    ledger = core.Ledger(core.LateBinding())
    assigner = _assignment.Assigner(
        core.LateBinding(), _build_roster(), ledger.estimates
    )
    for number in range(MANY):
        job = builders.build_job(ledger, job_id=f"job-{number}")
        job.service = f"service-{number}"
        assigner.add_job(job)
        assigner.drop_job(job)
    assert not assigner.services


def test_answered_jobs_are_not_tracked() -> None:
    ledger = core.Ledger(core.LateBinding())
    unchecked_jobs = core.UncheckedJobs()
    for number in range(MANY):
        job = builders.build_job(ledger, job_id=f"job-{number}")
        unchecked_jobs.add(job)
        unchecked_jobs.remove(job.id)
    assert not len(unchecked_jobs)


def test_candidates_are_bounded() -> None:
    candidates = core.Candidates()
    for number in range(2 * core.MAX_CANDIDATES):
        member = core.Member(number, f"tcp://127.0.0.1:{number}", "", "ruwi")
        candidates.add(member, NOW)
    assert len(candidates.get_members()) == core.MAX_CANDIDATES


@pytest.mark.parametrize(
    ("agents", "kinds"),
    [(core.MAX_SPEEDS + MANY, 1), (2, core.MAX_KIND_SPEEDS // 2 + MANY)],
)
def test_speeds_are_bounded(agents: int, kinds: int) -> None:
    estimates = core.Estimates()
    for _ in range(MANY * 4):
        estimates.observe("first", "hall", "k", 100.0, 100.0)
    for agent in range(agents):
        for kind in range(kinds):
            estimates.observe(
                f"agent-{agent}", "hall", f"k{kind}", 100.0, 50.0
            )
    assert estimates.speeds <= core.MAX_SPEEDS
    assert estimates.kind_speeds <= core.MAX_KIND_SPEEDS


def test_histories_are_bounded() -> None:
    estimates = core.Estimates()
    for kind in range(core.MAX_HISTORIES):
        estimates.observe("agent-1", "hall", f"k{kind}", 100.0, 50.0)
    assert estimates.histories <= core.MAX_HISTORIES
