"""Differential test of the executor against its reference."""

import datetime
import random

import attrs
import pytest

import cowslipgate_core as core
from cowslipgate_core.execution import _outcomes
from cowslipgate_core.execution import _sessions
from cowslipgate_core.tests import builders
from cowslipgate_core.tests import reference_executor

SLOTS = 2
STEPS = 2_000
MEMBER_EXPIRES_AFTER = datetime.timedelta(seconds=6)
ADDRESSES = ("http://127.0.0.1:1", "http://127.0.0.1:2")
ENTRIES = (7, 8, 9, 10)
ENDINGS = (
    core.AttemptReport(0, core.Outcome.FINISHED),
    core.AttemptReport(0, core.Outcome.FAILED, core.Reason.TARGET_STATUS),
    core.AttemptReport(0, core.Outcome.UNKNOWN, core.Reason.TARGET_LOST),
    core.AttemptReport(
        0, core.Outcome.NOT_STARTED, core.Reason.TARGET_UNREACHABLE
    ),
)
ENDING_WEIGHTS = (8, 2, 1, 1)


class DifferentialHarness:
    """Takes random steps with an executor and checks each action.

    Messages are repeated, reordered and late; the process pauses, links are
    lost, and the target leaves or changes its address.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = builders.NOW
        self.executor = core.Executor(1, queue_limit=2)
        self.reference = reference_executor.ReferenceExecutor(SLOTS)
        self.sequences = dict.fromkeys(ENTRIES, 0)
        self.known_links = dict.fromkeys(ENTRIES, 0)
        self.messages: list[object] = []
        self.delivered: set[core.AttemptKey] = set()
        self.weights = {
            self.send_dispatch: 20,
            self.send_withdraw: 10,
            self.deliver: 40,
            self.end_task: 15,
            self.acknowledge: 10,
            self.report: 10,
            self.tick: 10,
            self.connect: 2,
            self.drop: 2,
            self.pause: 1,
            self.leave: 1,
        }

    def run(self) -> None:
        """Take random steps, then drain."""
        self.announce()
        for step in self.random.choices(
            list(self.weights), list(self.weights.values()), k=STEPS
        ):
            step()
        self.drain()

    def announce(self) -> None:
        address = self.random.choice(ADDRESSES)
        announcement = core.Announcement("print", address, SLOTS, 64)
        self.reference.check(self.executor.announce(announcement, self.now))

    def leave(self) -> None:
        self.reference.check(self.executor.leave(self.now))

    def send_dispatch(self) -> None:
        entry = self.random.choice(ENTRIES)
        first = self.sequences[entry] + 1
        count = self.random.randint(1, 3)
        self.sequences[entry] += count
        orders = tuple(
            builders.build_order(n, f"job-{entry}-{n}")
            for n in range(first, first + count)
        )
        incarnation = self.random.choice((1, 1, 1, 1, 2))
        link = self.known_links[entry]
        self.messages.append(
            core.Dispatch(entry, incarnation, 1, orders, (), link)
        )

    def send_withdraw(self) -> None:
        entry = self.random.choice(ENTRIES)
        highest = self.sequences[entry]
        attempts = range(highest - self.random.randint(0, 4), highest + 1)
        kept = tuple(attempt for attempt in attempts if attempt > 0)
        stop = self.random.random() < 0.5
        self.messages.append(core.Withdraw(entry, 1, kept, stop))

    def deliver(self) -> None:
        if not self.messages:
            return
        message = self.random.choice(self.messages[-8:])
        if self.random.random() < 0.8:
            self.messages.remove(message)
        if isinstance(message, core.Withdraw):
            self.reference.check(self.executor.withdraw(message, self.now))
            return
        self.delivered |= _get_keys(message)
        self.reference.check(self.executor.dispatch(message, self.now))

    def end_task(self) -> None:
        if self.reference.running:
            key = self.random.choice(list(self.reference.running))
            (ending,) = self.random.choices(ENDINGS, ENDING_WEIGHTS)
            self._end(key, ending)

    def acknowledge(self) -> None:
        if self.reference.reported:
            keys = sorted(self.reference.reported, key=attrs.astuple)
            key = self.random.choice(keys)
            self.executor.acknowledge(key.entry, (key.attempt,))

    def report(self) -> None:
        for entry in ENTRIES:
            link = self.executor.get_link(entry)
            self.known_links[entry] = max(self.known_links[entry], link)

    def tick(self) -> None:
        milliseconds = self.random.choice((100, 500, 2_500))
        self.now += datetime.timedelta(milliseconds=milliseconds)
        self.reference.check(
            self.executor.tick(self.now, MEMBER_EXPIRES_AFTER)
        )
        self.announce()

    def connect(self) -> None:
        entry = self.random.choice(ENTRIES)
        self.executor.connect(entry)
        self.known_links[entry] = self.executor.get_link(entry)

    def drop(self) -> None:
        entry = self.random.choice(ENTRIES)
        known = self.executor.get_link(entry)
        self.reference.check(self.executor.drop_entry(entry, self.now))
        if known:
            self._bar(entry)

    def pause(self) -> None:
        self.now += datetime.timedelta(seconds=self.random.choice((6, 25, 90)))
        for entry in ENTRIES:
            if self.executor.get_link(entry):
                self._bar(entry)

    def drain(self) -> None:
        """End all calls; every attempt is reported, then forgotten."""
        self.leave()
        for key in list(self.reference.running):
            self._end(key, ENDINGS[0])
        assert self.delivered <= self.reference.reported
        until = self.now + 2 * core.OUTCOME_LIFETIME
        while self.now < until:
            self.now += datetime.timedelta(seconds=4)
            self.reference.check(
                self.executor.tick(self.now, MEMBER_EXPIRES_AFTER)
            )
        assert self.executor.idle

    def _end(self, key: core.AttemptKey, ending: core.AttemptReport) -> None:
        report = attrs.evolve(ending, attempt=key.attempt)
        self.reference.end(key, report)
        self.reference.check(self.executor.end_task(key, report, self.now))

    def _bar(self, entry: int) -> None:
        sent = {key for key in self.delivered if key.entry == entry}
        for message in self.messages:
            if isinstance(message, core.Dispatch) and message.entry == entry:
                sent |= _get_keys(message)
        self.reference.barred |= sent - self.reference.started


def _get_keys(dispatch: core.Dispatch) -> set[core.AttemptKey]:
    return {
        core.AttemptKey(dispatch.entry, order.attempt)
        for order in dispatch.orders
    }


@pytest.mark.parametrize("seed", range(10))
def test_executor_matches_the_reference(seed: int) -> None:
    DifferentialHarness(seed).run()


@pytest.mark.parametrize("seed", range(10))
def test_executor_with_low_limits_matches_the_reference(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_sessions, "MAX_REMEMBERED", 3)
    monkeypatch.setattr(_sessions, "MAX_SESSIONS", 2)
    monkeypatch.setattr(_sessions, "MAX_EVICTED", 1)
    monkeypatch.setattr(_outcomes, "MAX_UNACKNOWLEDGED", 4)
    DifferentialHarness(seed).run()
