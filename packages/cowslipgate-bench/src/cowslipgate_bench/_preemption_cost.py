"""Processor time of an assignment behind a full pool, by preemption."""

from collections.abc import Sequence
import datetime
import time

import attrs
import cowslipgate_core as core

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
TARGETS = 80
RUNS_PER_TARGET = 5
BACKLOG = 2_000
ROUNDS = 10
LATER_PASSES = 10
NEEDS = core.Resources(0, 0, 2_700)
ROOM = core.Resources(64_000, 0, 16_000)
QUOTAS = {"team-a": 1_000_000}
SERVICE = "schapkaart"
OBJECTIVE = datetime.timedelta(milliseconds=61)
KINDS = {0: (8, 120.0), 2: (4, 1_800.0)}
"""Tasks of a job and their size in milliseconds, by priority."""

FIRST_AT = datetime.timedelta(milliseconds=50)
PASS_INTERVAL = datetime.timedelta(milliseconds=2)


@attrs.frozen
class PreemptionCost:
    """Processor time of one call of ``assign``."""

    priority: int
    """Priority of the waiting jobs; the runs have priority 2."""

    preemption: bool
    """Whether the service allows preemption."""

    first_microseconds: float
    """Time of the call after the jobs were submitted."""

    later_microseconds: float
    """Mean time of the calls after it, while nothing ends."""

    preempted: int
    """Runs stopped by them."""


def measure_costs() -> list[PreemptionCost]:
    """Return the costs with and without urgent jobs that wait."""
    return [
        _measure(priority, preemption)
        for priority in sorted(KINDS, reverse=True)
        for preemption in (False, True)
    ]


def format_costs(costs: Sequence[PreemptionCost]) -> str:
    """Return a table of the costs."""
    lines = [
        f"{BACKLOG} tasks wait, {TARGETS} targets are full",
        f"{'priority':>16} {'stops':>8} {'us/first':>8} {'us/later':>8}"
        f" {'stopped':>8}",
    ]
    lines.extend(
        f"{cost.priority:>16} {'yes' if cost.preemption else 'no':>8} "
        f"{cost.first_microseconds:>8.1f} {cost.later_microseconds:>8.1f}"
        f" {cost.preempted:>8}"
        for cost in costs
    )
    return "\n".join(lines)


def _measure(priority: int, preemption: bool) -> PreemptionCost:
    services = {SERVICE: core.Service(preemption=preemption)}
    first = later = 0.0
    for _ in range(ROUNDS):
        ledger = _build_full_ledger()
        now = START + FIRST_AT
        _submit(ledger, priority, BACKLOG, now)
        first += _time_assign(ledger, now, services)
        for _ in range(LATER_PASSES):
            now += PASS_INTERVAL
            later += _time_assign(ledger, now, services)
    return PreemptionCost(
        priority,
        preemption,
        first / ROUNDS * 1e6,
        later / (ROUNDS * LATER_PASSES) * 1e6,
        ledger.counters.preempted,
    )


def _time_assign(
    ledger: core.Ledger,
    now: datetime.datetime,
    services: dict[str, core.Service],
) -> float:
    started_at = time.process_time()
    ledger.assign(now, QUOTAS, 1, services)
    return time.process_time() - started_at


def _build_full_ledger() -> core.Ledger:
    ledger = core.Ledger(core.Matching())
    for number in range(TARGETS):
        report = core.Report(
            f"agent-{number}",
            1,
            SERVICE,
            "kaai-zuid",
            "serving",
            ROOM,
            core.Load(core.UNBOUNDED_SLOTS, 0, 0),
            1,
            "",
            room=ROOM,
        )
        ledger.handle_report(report, START)
    _submit(ledger, 2, TARGETS * RUNS_PER_TARGET, START)
    ledger.assign(START, QUOTAS)
    return ledger


def _submit(
    ledger: core.Ledger, priority: int, tasks: int, now: datetime.datetime
) -> None:
    """Submit jobs of a priority with a number of tasks in all."""
    count, size_ms = KINDS[priority]
    task = core.TaskRequest(kind=f"r{priority}", size_ms=size_ms, needs=NEEDS)
    terms = core.JobTerms(
        rerun_lost=True,
        priority=priority,
        objective=OBJECTIVE,
        slowdown=1.6,
    )
    for number in range(tasks // count):
        job = core.Job(
            f"job-{priority}-{number}-{now:%f}",
            "team-a",
            SERVICE,
            core.JobRequest((task,) * count),
            now,
            now + datetime.timedelta(hours=1),
            ledger.make_machine(),
            terms=terms,
        )
        ledger.submit(job)
