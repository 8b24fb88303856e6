"""Answers to jobs that were not done before their deadline.

Pattern: the targets of a service refuse work, are silent, full or unknown for
the whole time that a job allows. Its caller has to learn whether it ran.
"""

from collections.abc import Callable
import datetime

import attrs
import cowslipgate_core as core
from cowslipgate_core.tests import builders
import pytest

QUOTAS = {"hall": 100}
RUN_MS = 80
LEARNED_RUNS = 20
DEADLINE = datetime.timedelta(milliseconds=500)
TICK = datetime.timedelta(milliseconds=100)
SILENCE = 3 * core.Timing().agent_suspect_after
PHASES_MS = range(0, 100, 10)
"""Time of the first tick after the submission. With half of a run, 40 ms, a
job is seen before its deadline in some of these phases only."""

_UNSERVED = (core.Failure.OVERLOADED, core.Started.NONE)


class _Entry:
    """A ledger with one target and a job that has 500 ms."""

    def __init__(self, learned_runs: int = LEARNED_RUNS) -> None:
        self.now = builders.NOW
        self.ledger = core.Ledger(core.Matching())
        self.report(slots=1)
        for number in range(learned_runs):
            self.submit(f"earlier-{number}")
            self.end(core.Outcome.FINISHED)

    def report(self, slots: int) -> None:
        """Handle a report of the agent."""
        report = builders.build_report(slots=slots)
        self.ledger.handle_report(report, self.now)

    def submit(self, name: str) -> core.Job:
        """Submit a job and send it if a slot is free."""
        job = attrs.evolve(
            builders.build_job(self.ledger, job_id=name),
            deadline=self.now + DEADLINE,
        )
        self.ledger.submit(job)
        self.ledger.assign(self.now, QUOTAS)
        return job

    def end(
        self, outcome: core.Outcome, reason: core.Reason | None = None
    ) -> list[core.LedgerAction]:
        """Handle the end of the only attempt."""
        (attempt,) = self.ledger.attempts
        report = core.AttemptReport(
            attempt, outcome, result=b"1", run_ms=RUN_MS
        )
        if reason is not None:
            report = attrs.evolve(report, reason=reason)
        results = attrs.evolve(
            builders.build_results(report), load=core.Load(1, 0, 0)
        )
        return self.ledger.handle_results(results, self.now)

    def tick_until_answer(
        self, phase_ms: int
    ) -> tuple[core.Failure | None, core.Started]:
        """Return the answer to the job named ``late``."""
        last = self.now + 10 * DEADLINE
        self.now += datetime.timedelta(milliseconds=phase_ms)
        while self.now < last:
            for action in self.ledger.tick(self.now):
                answer = _find_answer(action)
                if answer is not None:
                    return answer
            self.now += TICK
        pytest.fail("the job was not answered")


def _find_answer(
    action: core.LedgerAction,
) -> tuple[core.Failure | None, core.Started] | None:
    if isinstance(action, core.AnswerJob) and action.job.id == "late":
        return action.answer.failure, action.answer.started
    return None


def _wait_for_refusing_target(entry: _Entry) -> None:
    entry.submit("late")
    entry.end(core.Outcome.NOT_STARTED, core.Reason.NOT_SERVING)


def _wait_for_target_without_slots(entry: _Entry) -> None:
    entry.report(slots=0)
    entry.submit("late")


def _wait_for_silent_target(entry: _Entry) -> None:
    entry.now += SILENCE
    entry.submit("late")
    assert not entry.ledger.attempts


def _wait_for_unknown_target(entry: _Entry) -> None:
    entry.ledger.handle_goodbye(core.Goodbye("agent-1", 1, 1), entry.now)
    entry.submit("late")


def _wait_for_full_target(entry: _Entry) -> None:
    job = entry.submit("running")
    job.deadline += 100 * DEADLINE
    entry.submit("late")


# Guards against an answer that is 503 or 504 by chance: which one it was
# depended on when the ledger looked at its jobs just before the deadline.
@pytest.mark.parametrize("phase_ms", PHASES_MS)
@pytest.mark.parametrize("learned_runs", [0, LEARNED_RUNS])
@pytest.mark.parametrize(
    "wait",
    [
        _wait_for_refusing_target,
        _wait_for_target_without_slots,
        _wait_for_silent_target,
        _wait_for_unknown_target,
        _wait_for_full_target,
    ],
)
def test_job_that_waited_to_the_end_is_refused_as_not_run(
    wait: Callable[[_Entry], None], learned_runs: int, phase_ms: int
) -> None:
    entry = _Entry(learned_runs)
    wait(entry)
    assert entry.tick_until_answer(phase_ms) == _UNSERVED


# Guards against a caller that is told to send again what may have run.
@pytest.mark.parametrize("phase_ms", PHASES_MS)
def test_job_that_may_have_run_is_answered_with_its_deadline(
    phase_ms: int,
) -> None:
    entry = _Entry()
    entry.submit("late")
    expected = (core.Failure.DEADLINE, core.Started.UNKNOWN)
    assert entry.tick_until_answer(phase_ms) == expected


# Guards against a sent task whose agent says that it never starts: until then
# it may have run, so only the outcome decides.
@pytest.mark.parametrize(
    ("outcome", "expected"),
    [
        (core.Outcome.NOT_STARTED, _UNSERVED),
        (core.Outcome.STOPPED, (core.Failure.DEADLINE, core.Started.SOME)),
    ],
)
def test_outcome_of_a_withdrawn_task_decides(
    outcome: core.Outcome, expected: tuple[core.Failure, core.Started]
) -> None:
    entry = _Entry()
    entry.submit("late")
    entry.now += DEADLINE
    (withdraw,) = entry.ledger.tick(entry.now)
    assert isinstance(withdraw, core.SendWithdraw)
    (action,) = entry.end(outcome)
    assert _find_answer(action) == expected


# Guards against a cancelled job that is called overloaded since nothing ran.
def test_cancelled_job_is_answered_as_cancelled() -> None:
    entry = _Entry()
    job = entry.submit("late")
    entry.ledger.cancel(job, entry.now)
    (action,) = entry.end(core.Outcome.NOT_STARTED)
    expected = (core.Failure.CANCELLED, core.Started.NONE)
    assert _find_answer(action) == expected
