"""Tests of the set of evacuated domains and of its effects."""

import datetime

import attrs
import cowslipgate_core as core
from cowslipgate_core.tests import builders
import pytest

NOW = builders.NOW
SECOND = datetime.timedelta(seconds=1)
PREFIX = "evacuate/"
DOMAIN = "kaai-zuid"
QUOTAS = {"hall": 8}
READ = core.TableRead("", "op")
FOLLOW = core.TableFollow("", "op", 1, SECOND)


def _find_domain(key: str) -> str | None:
    return key.removeprefix(PREFIX) if key.startswith(PREFIX) else None


def _answer(
    call: core.TableCall, version: int, *rows: core.TableRow
) -> core.TableAnswer:
    return core.TableAnswer(call, core.TableResult.DONE, rows, version)


def _row(domain: str, version: int, removed: bool = False) -> core.TableRow:
    return core.TableRow(PREFIX + domain, b"", version, removed)


@pytest.fixture
def stored() -> core.StoredEvacuations:
    """Return the set after a read at version 10, with the domain ``a``."""
    stored = core.StoredEvacuations(_find_domain)
    stored.record(_answer(READ, 10, _row("a", 4), core.TableRow("x", b"", 9)))
    return stored


def test_read_and_changes_give_the_set(stored: core.StoredEvacuations) -> None:
    assert stored.evacuations == core.Evacuations(10, frozenset("a"))
    stored.record(_answer(FOLLOW, 14, _row("b", 12)))
    assert stored.evacuations == core.Evacuations(12, frozenset("ab"))
    stored.record(_answer(FOLLOW, 16, _row("a", 15, removed=True)))
    assert stored.evacuations == core.Evacuations(15, frozenset("b"))


def test_read_of_the_whole_table_replaces_the_set(
    stored: core.StoredEvacuations,
) -> None:
    stored.record(_answer(READ, 30, _row("c", 20)))
    assert stored.evacuations == core.Evacuations(30, frozenset("c"))


# Guards against notices to every agent with each change of the store.
def test_change_of_other_rows_raises_no_version(
    stored: core.StoredEvacuations,
) -> None:
    before = stored.evacuations
    other = core.TableRow("x", b"", 13)
    for rows in ((), (other,)):
        assert stored.record(_answer(FOLLOW, 14, *rows)) == []
        assert stored.evacuations == before


# Guards against an evacuation that stays in force after it was revoked: a
# process that was told of it by another, and read the request and its removal
# in one answer, must not hold the set without it as the older one.
@pytest.mark.parametrize(
    "rows",
    [
        (_row("a", 12),),
        (_row("z", 12, removed=True),),
        (_row("z", 11), _row("z", 12, removed=True)),
    ],
)
def test_rows_that_change_no_domain_raise_the_version(
    stored: core.StoredEvacuations, rows: tuple[core.TableRow, ...]
) -> None:
    assert stored.record(_answer(FOLLOW, 14, *rows)) == []
    assert stored.evacuations == core.Evacuations(12, frozenset("a"))


@pytest.mark.parametrize(
    "domain", ["", "d" * (core.MAX_DOMAIN_BYTES + 1), "é" * 101]
)
def test_domain_without_a_name_or_with_an_overlong_one_is_ignored(
    stored: core.StoredEvacuations, domain: str
) -> None:
    (fault,) = stored.record(_answer(FOLLOW, 14, _row(domain, 12)))
    assert (fault.key, fault.version) == (PREFIX + domain, 12)
    assert stored.evacuations.domains == {"a"}


def test_number_of_domains_is_bounded() -> None:
    stored = core.StoredEvacuations(_find_domain)
    rows = [_row(f"d-{n:03}", 200 - n) for n in range(core.MAX_EVACUATED + 5)]
    faults = stored.record(_answer(READ, 300, *rows))
    assert len(stored.evacuations.domains) == core.MAX_EVACUATED
    assert len(faults) == 5
    # Those requested last are ignored, at every process.
    assert "d-000" not in stored.evacuations.domains


def test_messages_bound_the_number_of_domains() -> None:
    domains = tuple("d" for _ in range(core.MAX_EVACUATED + 1))
    notice = core.EvacuationNotice(7, 1, domains)
    with pytest.raises(core.WireError):
        core.decode_message(*core.encode_message(notice))


def test_only_the_agent_itself_says_what_it_holds() -> None:
    held = core.EvacuationHeld("agent-1", 3, 1, ())
    assert not core.find_message_fault(held, b"agent-1/3")
    assert core.find_message_fault(held, b"agent-2/3")
    notice = core.EvacuationNotice(7, 1, ())
    assert core.find_message_fault(notice, b"agent-1/3")


def test_executor_refuses_queued_and_new_orders_but_stops_no_run() -> None:
    executor = builders.build_executor(slots=1, queue_limit=1)
    orders = [builders.build_order(n) for n in (1, 2)]
    executor.dispatch(builders.build_dispatch(*orders), NOW)
    (action,) = executor.evacuate(True, NOW)
    assert [(r.attempt, r.reason) for r in action.reports] == [
        (2, core.Reason.NOT_SERVING)
    ]
    later = builders.build_dispatch(builders.build_order(3))
    (action,) = executor.dispatch(later, NOW)
    assert action.reports[0].reason is core.Reason.NOT_SERVING
    assert len(executor.running) == 1
    assert executor.measure_load(7).slots == 0
    finished = core.AttemptReport(1, core.Outcome.FINISHED)
    executor.end_task(core.AttemptKey(7, 1), finished, NOW)
    assert executor.evacuate(False, NOW) == []
    again = builders.build_dispatch(builders.build_order(4))
    (action,) = executor.dispatch(again, NOW)
    assert isinstance(action, core.StartTask)


def _build_ledger(cold_excess: float = 1.5) -> core.Ledger:
    ledger = core.Ledger(core.LateBinding(), 7, cold_excess=cold_excess)
    for number, domain in ((1, DOMAIN), (2, "kaai-noord")):
        report = builders.build_report(f"agent-{number}")
        ledger.handle_report(attrs.evolve(report, domain=domain), NOW)
    return ledger


def _send_job(ledger: core.Ledger, job_id: str) -> set[str]:
    ledger.submit(builders.build_job(ledger, 8, job_id))
    return {action.agent for action in ledger.assign(NOW, {"hall": 99})}


def test_jobs_go_elsewhere_until_the_evacuation_is_revoked() -> None:
    ledger = _build_ledger()
    ledger.evacuate(frozenset((DOMAIN, "unknown")))
    assert _send_job(ledger, "job-1") == {"agent-2"}
    # Neither a report nor an agent that is new makes a target usable.
    report = attrs.evolve(builders.build_report(), domain=DOMAIN)
    ledger.handle_report(report, NOW)
    new = attrs.evolve(builders.build_report("agent-3"), domain=DOMAIN)
    ledger.handle_report(new, NOW)
    assert _send_job(ledger, "job-2") == set()
    ledger.evacuate(frozenset())
    assert ledger.assign(NOW, {"hall": 99})


def _get_speed(
    ledger: core.Ledger, agent: str, now: datetime.datetime
) -> float:
    ledger.submit(builders.build_job(ledger, 1, f"job-{now}"))
    ledger.assign(now, QUOTAS)
    return ledger.find_pool("print").get(agent).speed


def test_cold_target_counts_as_slower_until_it_is_warm() -> None:
    ledger = _build_ledger()
    cold = attrs.evolve(builders.build_report(), cold_left_ms=2_000)
    ledger.handle_report(cold, NOW)
    assert _get_speed(ledger, "agent-1", NOW) == pytest.approx(1 / 1.5)
    later = NOW + 2.1 * SECOND
    assert _get_speed(ledger, "agent-1", later) == pytest.approx(1.0)


# Guards against other behaviour of deployments without evacuations.
def test_cold_targets_are_not_told_apart_without_a_factor() -> None:
    ledger = _build_ledger(cold_excess=1.0)
    cold = attrs.evolve(builders.build_report(), cold_left_ms=2_000)
    ledger.handle_report(cold, NOW)
    assert _get_speed(ledger, "agent-1", NOW) == 1.0


# Guards against a target that counts as slow after it is warm; its runs tell
# the sizes of tasks all the same.
def test_run_at_a_cold_target_changes_no_speed() -> None:
    estimates = core.Estimates()
    for _ in range(50):
        estimates.observe("warm", "hall", "tag", 200, 200)
        estimates.observe("cold", "hall", "tag", 200, 300, excess=1.5)
    assert estimates.get_speed("cold") == 1.0
    size = estimates.estimate_size("hall", "tag", 200)
    assert size.mean_seconds == pytest.approx(0.2, rel=0.01)


def test_announced_time_is_bounded_by_what_reports_may_name() -> None:
    executor = builders.build_executor()
    assert executor.measure_cold_ms(NOW) == 0
    executor.cold_until = NOW + SECOND
    assert executor.measure_cold_ms(NOW) == 1_000
    assert executor.measure_cold_ms(NOW + 2 * SECOND) == 0
    executor.cold_until = NOW + datetime.timedelta(days=2)
    assert executor.measure_cold_ms(NOW) == core.MAX_COLD_MS
