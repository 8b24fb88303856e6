"""Tests of the event loop: what a round costs beside its events."""

import threading

import circuits
from circuits.core import events
import cowslipgate_transport as transport
import pytest

CHANNEL = "chain"
LENGTH = 10
"""Events of the chain, each caused by the one before."""


class link(circuits.Event):
    """The next event of a chain; the argument is how many are left."""


class Chain(circuits.BaseComponent):
    """Handles a chain of events and counts the polls."""

    channel = CHANNEL

    def __init__(self) -> None:
        super().__init__()
        self.polls = 0
        self.handled = 0

    @circuits.handler("link")
    def _on_link(self, left: int) -> None:
        self.handled += 1
        if left:
            self.fire(link(left - 1))

    @circuits.handler("generate_events")
    def _on_generate_events(self, event: circuits.Event) -> None:
        self.polls += 1
        event.reduce_time_left(0)


def _run(root: circuits.BaseComponent, chain: Chain, length: int) -> None:
    root.fire(link(length - 1), CHANNEL)
    for _ in range(10 * length):
        if chain.handled >= length:
            return
        root.fire(events.generate_events(threading.RLock(), 0), "*")
        root.tick()
    pytest.fail("the chain did not end")


def test_events_fired_by_events_need_no_poll() -> None:
    root = transport.Process()
    chain = Chain().register(root)
    _run(root, chain, LENGTH)
    assert chain.polls == 1


def test_an_endless_chain_is_interrupted_by_polls() -> None:
    root = transport.Process()
    chain = Chain().register(root)
    _run(root, chain, 500)
    assert chain.polls >= 10


def test_countdowns_keep_the_lookup_of_handlers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    root = transport.Process()
    chain = Chain().register(root)
    countdown = transport.Countdown(link(0), CHANNEL).register(root)
    countdown.start(0)
    _run(root, chain, 1)
    lookups = []
    look_up = circuits.Manager.getHandlers

    def count(
        self: circuits.Manager, *arguments: object, **options: object
    ) -> object:
        lookups.append(arguments)
        return look_up(self, *arguments, **options)

    monkeypatch.setattr(circuits.Manager, "getHandlers", count)
    for rounds in range(2, 6):
        countdown.start(0)
        assert countdown.running
        for _ in range(10):
            root.fire(events.generate_events(threading.RLock(), 0), "*")
            root.tick()
            if chain.handled >= rounds:
                break
        assert chain.handled >= rounds
        assert not countdown.running
    assert lookups == []
