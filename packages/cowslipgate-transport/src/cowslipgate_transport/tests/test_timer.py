"""Tests of timers, which must not depend on the system clock."""

from collections.abc import Callable
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
