"""Tests of the handling of goodbyes from agents."""

import cowslipgate_core as core
from cowslipgate_core.tests import builders

NOW = builders.NOW
GOODBYE = core.Goodbye("agent-1", 1, 1)
QUOTAS = {"hall": 8}


def _build_ledger() -> core.Ledger:
    ledger = core.Ledger(core.LateBinding(), incarnation=7)
    ledger.handle_report(builders.build_report(), NOW)
    return ledger


def _send_job(ledger: core.Ledger, job_id: str) -> list[core.LedgerAction]:
    ledger.submit(builders.build_job(ledger, job_id=job_id))
    return ledger.assign(NOW, QUOTAS)


def _finish(ledger: core.Ledger, attempt: int) -> list[core.LedgerAction]:
    report = core.AttemptReport(attempt, core.Outcome.FINISHED)
    results = core.Results("agent-1", 1, core.Load(8, 0, 0), (report,), 7)
    return ledger.handle_results(results, NOW)


def test_idle_agent_is_removed_at_once() -> None:
    ledger = _build_ledger()
    assert ledger.handle_goodbye(GOODBYE, NOW)
    assert not ledger.agents
    assert _send_job(ledger, "job-1") == []


def test_agent_with_outstanding_attempts_is_kept_without_new_work() -> None:
    ledger = _build_ledger()
    assert len(_send_job(ledger, "job-1")) == 1
    assert not ledger.handle_goodbye(GOODBYE, NOW)
    assert _send_job(ledger, "job-2") == []
    (answer,) = _finish(ledger, 1)
    assert answer.answer.failure is None
    # The load in the result has free slots; a leaving agent gets no work.
    assert ledger.assign(NOW, QUOTAS) == []
    assert ledger.handle_goodbye(GOODBYE, NOW)


def test_agent_gets_work_again_after_a_new_report() -> None:
    ledger = _build_ledger()
    _send_job(ledger, "job-1")
    ledger.handle_goodbye(GOODBYE, NOW)
    ledger.handle_report(builders.build_report(own=1), NOW)
    assert len(_send_job(ledger, "job-2")) == 1


def test_goodbye_of_another_incarnation_is_ignored() -> None:
    ledger = _build_ledger()
    assert not ledger.handle_goodbye(core.Goodbye("agent-1", 2, 1), NOW)
    assert "agent-1" in ledger.agents


def test_goodbye_is_idempotent() -> None:
    ledger = _build_ledger()
    ledger.handle_goodbye(GOODBYE, NOW)
    assert ledger.handle_goodbye(GOODBYE, NOW)
