"""Tests of timers, which must not depend on the system clock."""

from collections.abc import Callable
import math
import pathlib
import threading
import time

import circuits
from circuits.core import events
from circuits.core import timers
import cowslipgate_transport as transport
import pytest

CHANNEL = "counter"
SECONDS = 0.01
STEP_SECONDS = 20.0
WAIT_SECONDS = 10.0
RESOLUTION_SECONDS = 1e-6
ROOT = pathlib.Path(__file__).parents[5]
"""Root of the repository."""


class due(circuits.Event):
    """A timer has expired."""


class Counter(circuits.BaseComponent):
    """Counts the timer's events."""

    channel = CHANNEL

    def __init__(self) -> None:
        super().__init__()
        self.count = 0

    @circuits.handler("due")
    def _on_due(self) -> None:
        self.count += 1


def _run_round(counter: Counter) -> None:
    event = events.generate_events(threading.RLock(), SECONDS)
    counter.fire(event, "*")
    counter.tick()


def _run_until(counter: Counter, check: Callable[[], bool]) -> None:
    until = time.monotonic() + WAIT_SECONDS
    while not check():
        assert time.monotonic() < until
        _run_round(counter)


def test_timer_keeps_firing_after_the_system_clock_was_set_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    counter = Counter()
    transport.Timer(SECONDS, due(), CHANNEL, persist=True).register(counter)
    _run_until(counter, lambda: counter.count > 1)
    back = time.time() - STEP_SECONDS
    monkeypatch.setattr(timers, "time", lambda: back)
    monkeypatch.setattr(time, "time", lambda: back)
    before = counter.count
    _run_until(counter, lambda: counter.count > before + 1)


def test_timer_that_does_not_persist_fires_once() -> None:
    counter = Counter()
    transport.Timer(SECONDS, due(), CHANNEL).register(counter)
    _run_until(counter, lambda: counter.count == 1)
    until = time.monotonic() + 5 * SECONDS
    while time.monotonic() < until:
        _run_round(counter)
    assert counter.count == 1


class generate_events(circuits.Event):
    """Stands in for circuits' event, which lets no stopped process wait."""

    def __init__(self) -> None:
        super().__init__()
        self.time_left = math.inf

    def reduce_time_left(self, seconds: float) -> None:
        """Shorten the wait."""
        self.time_left = min(self.time_left, seconds)


class Waits(circuits.BaseComponent):
    """Advances the clock in place of waiting, and counts the waits."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        super().__init__()
        self.now = 100.0
        self.count = 0
        monkeypatch.setattr(time, "monotonic", lambda: self.now)

    @circuits.handler("generate_events", priority=-9)
    def _on_generate_events(self, event: generate_events) -> None:
        if event.time_left > 0:
            self.now += max(event.time_left, RESOLUTION_SECONDS)
            self.count += 1

    def run(self, seconds: float) -> None:
        """Run the root component for some time of the clock."""
        until = self.now + seconds
        while self.now < until:
            self.root.fire(generate_events(), "*")
            while len(self.root):
                self.root.flush()


def test_timers_of_one_process_share_their_wakeups(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Those of an agent whose target is at work, started at different times.
    counter = Counter()
    waits = Waits(monkeypatch).register(counter)
    for seconds in (0.1, 0.5, 0.5, 1.0, 0.2):
        transport.Timer(seconds, due(), CHANNEL, persist=True).register(
            counter
        )
        counter.flush()
        waits.now += 0.011
    waits.run(10.0)
    # 10 + 2 + 2 + 1 + 5 events a second need 10 wake-ups.
    assert counter.count == pytest.approx(200, abs=5)
    assert waits.count == pytest.approx(100, abs=2)


def test_short_wait_is_not_rounded(monkeypatch: pytest.MonkeyPatch) -> None:
    counter = Counter()
    waits = Waits(monkeypatch).register(counter)
    transport.Timer(0.03, due(), CHANNEL).register(counter)
    transport.Timer(1.0, due(), CHANNEL).register(counter)
    waits.run(0.0299)
    assert counter.count == 0
    waits.run(0.0002)
    assert counter.count == 1


def test_timer_of_a_removed_component_no_longer_fires(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    counter = Counter()
    waits = Waits(monkeypatch).register(counter)
    owner = circuits.BaseComponent(channel="owner").register(counter)
    transport.Timer(0.1, due(), CHANNEL, persist=True).register(owner)
    transport.Timer(1.0, due(), CHANNEL, persist=True).register(counter)
    waits.run(1.0)
    before = counter.count
    owner.unregister()
    waits.run(3.0)
    assert before >= 9
    assert counter.count - before <= 4


def test_no_process_waits_by_the_system_clock() -> None:
    sources = [
        path
        for folder in ("packages", "platform")
        for path in (ROOT / folder).rglob("src/**/*.py")
        if "tests" not in path.parts and "cowslipgate_bench" not in path.parts
    ]
    assert len(sources) > 100
    calls = ("circuits.Timer", "time.time()")
    offenders = [
        path.name
        for path in sources
        if any(call in path.read_text() for call in calls)
    ]
    assert offenders == []
