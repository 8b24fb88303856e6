"""Withdrawals that only repeat earlier ones, and when they are sent.

Pattern: a cancellation of hundreds of jobs, whose entry is busy with their
callers while the agents' answers arrive.
"""

import datetime

import attrs
import cowslipgate_core as core
from cowslipgate_core.tests import builders
import pytest

QUOTAS = {"hall": 100}
MILLISECOND = datetime.timedelta(milliseconds=1)
TICK = 100 * MILLISECOND


class _Entry:
    """A ledger with one agent that runs the tasks of two jobs."""

    def __init__(self) -> None:
        self.now = builders.NOW
        self.ledger = core.Ledger(core.LateBinding())
        self.ledger.handle_report(builders.build_report(), self.now)
        self.jobs = [
            builders.build_job(self.ledger, job_id=f"job-{number}")
            for number in range(2)
        ]
        for job in self.jobs:
            self.ledger.submit(job)
        self.ledger.assign(self.now, QUOTAS)
        self.tick()

    def tick(
        self, after: datetime.timedelta = TICK
    ) -> list[core.SendWithdraw]:
        """Return the withdrawals of the next tick."""
        self.now += after
        return _list_withdraws(self.ledger.tick(self.now))

    def cancel(self, count: int) -> list[core.SendWithdraw]:
        """Cancel the first ``count`` jobs."""
        jobs = self.jobs[:count]
        return _list_withdraws(self.ledger.cancel_all(jobs, self.now))

    def answer(self) -> None:
        """Handle the agent's answer that each attempt is running."""
        reports = [
            core.AttemptReport(attempt, core.Outcome.RUNNING)
            for attempt in self.ledger.attempts
        ]
        results = attrs.evolve(
            builders.build_results(*reports), load=core.Load(8, 2, 0)
        )
        self.ledger.handle_results(results, self.now)


def _list_withdraws(
    actions: list[core.LedgerAction],
) -> list[core.SendWithdraw]:
    return [a for a in actions if isinstance(a, core.SendWithdraw)]


# Guards against repeats that can't be told from a wave sent message by
# message: both only raised the count of withdrawals.
def test_repeats_are_counted_apart() -> None:
    entry = _Entry()
    sent = entry.cancel(2)
    for _ in range(3):
        sent += entry.tick()
    counters = entry.ledger.counters
    for withdraw in sent:
        counters.record_withdraw(withdraw.stop, withdraw.repeated)
    assert [withdraw.repeated for withdraw in sent] == [False, True]
    assert (counters.withdrawals, counters.repeated_withdrawals) == (2, 1)


# Guards against a first withdrawal that is not counted as one, because it
# shares its message with a repeat.
def test_message_with_a_first_withdrawal_is_no_repeat() -> None:
    entry = _Entry()
    (first,) = entry.cancel(1)
    second = attrs.evolve(first, attempts=(2,), repeated=True)
    for pair in ([first, second], [second, first]):
        (merged,) = core.merge_withdraws(pair)
        assert (set(merged.attempts), merged.repeated) == ({1, 2}, False)


def test_inquiry_is_no_repeat() -> None:
    entry = _Entry()
    ticks = core.Timing().inquiry_interval // TICK
    (inquiry,) = [sent for _ in range(ticks) for sent in entry.tick()]
    assert (inquiry.stop, inquiry.repeated) == (False, False)


# Guards against a message more for each agent while the entry is busiest: the
# answers had arrived, but it looked at its attempts before it read them.
@pytest.mark.parametrize("pause_ms", [300, 400, 900, 2_500])
def test_pause_of_the_entry_is_no_silence_of_the_agent(pause_ms: int) -> None:
    entry = _Entry()
    entry.cancel(2)
    assert entry.tick(pause_ms * MILLISECOND) == []
    entry.answer()
    assert [entry.tick() for _ in range(3)] == [[], [], []]


# Guards against a lost stop that is sent again late, since the entry paused.
def test_stop_without_an_answer_is_repeated_right_after_a_pause() -> None:
    entry = _Entry()
    entry.cancel(2)
    assert entry.tick(900 * MILLISECOND) == []
    (repeat,) = entry.tick()
    assert (repeat.stop, repeat.repeated) == (True, True)


# Guards against a stop that is never sent again by an entry that is always
# late.
def test_stop_is_repeated_by_an_entry_that_pauses_between_all_ticks() -> None:
    entry = _Entry()
    entry.cancel(2)
    sent = [entry.tick(400 * MILLISECOND) for _ in range(6)]
    assert [len(withdraws) for withdraws in sent] == [0, 1, 0, 1, 0, 1]


# Guards against a repeat that waits although the entry kept its time.
def test_slightly_late_ticks_delay_no_repeat() -> None:
    entry = _Entry()
    entry.cancel(2)
    sent = [entry.tick(150 * MILLISECOND) for _ in range(2)]
    assert [len(withdraws) for withdraws in sent] == [0, 1]
