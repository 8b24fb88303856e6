"""Tests of timers, which the time of day must not hold up."""

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
"""The repository."""


class due(circuits.Event):
    """Time has passed."""


class Counter(circuits.BaseComponent):
    """Counts how often time has passed."""

    channel = CHANNEL

    def __init__(self) -> None:
        super().__init__()
        self.count = 0

    @circuits.handler("due")
    def _on_due(self) -> None:
        self.count += 1


def _turn(counter: Counter) -> None:
    event = events.generate_events(threading.RLock(), SECONDS)
    counter.fire(event, "*")
    counter.tick()


def _run_until(counter: Counter, check: Callable[[], bool]) -> None:
    until = time.monotonic() + WAIT_SECONDS
    while not check():
        assert time.monotonic() < until
        _turn(counter)


def test_timer_fires_again_after_the_time_of_day_went_back(
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
        _turn(counter)
    assert counter.count == 1


def test_no_process_waits_by_the_time_of_day() -> None:
    sources = [
        path
        for folder in ("packages", "platform")
        for path in (ROOT / folder).rglob("src/**/*.py")
        if "tests" not in path.parts and "cowslipgate_bench" not in path.parts
    ]
    assert len(sources) > 100
    words = ("circuits.Timer", "time.time()")
    guilty = [
        path.name
        for path in sources
        if any(word in path.read_text() for word in words)
    ]
    assert guilty == []
