"""Tests of passing a configuration from one entry to another."""

import circuits
import cowslipgate_core as core
import pytest

from cowslipgate_agent import _events
from cowslipgate_agent import _relay

ASKER = 3


class Told(circuits.BaseComponent):
    """Keeps what entries are told."""

    channel = "links"

    def __init__(self) -> None:
        super().__init__()
        self.messages: list[tuple[int, object]] = []

    @circuits.handler("tell_entry")
    def _on_tell_entry(self, entry: int, message: object) -> None:
        self.messages.append((entry, message))


@pytest.fixture
def told() -> Told:
    told = Told()
    _relay.Relay("agent-1", 5).register(told)
    return told


def _tell(told: Told, event: circuits.Event) -> None:
    told.fire(event, "runner")
    while len(told):
        told.flush()


def _hear(told: Told, message: object) -> None:
    _tell(told, _events.entry_heard(message))


def test_entry_with_the_highest_version_is_asked(told: Told) -> None:
    for entry, version in ((ASKER, 9), (4, 7), (5, 8), (6, 6)):
        _hear(told, core.Beat(entry, version, ()))
    _hear(told, core.ConfigurationRequest(ASKER))
    assert told.messages == [(5, core.RelayRequest("agent-1", 5, ASKER))]


def test_entry_that_was_lost_is_not_asked(told: Told) -> None:
    _hear(told, core.Beat(4, 7, ()))
    _hear(told, core.Dispatch(5, 5, 8, ()))
    _tell(told, _events.entry_dropped(5))
    _hear(told, core.ConfigurationRequest(ASKER))
    assert [entry for entry, _ in told.messages] == [4]


def test_nobody_is_asked_where_no_other_entry_is_known(told: Told) -> None:
    _hear(told, core.Beat(ASKER, 7, ()))
    _hear(told, core.ConfigurationRequest(ASKER))
    assert told.messages == []


def test_document_is_passed_to_the_entry_that_asked(told: Told) -> None:
    _hear(told, core.ConfigurationRelay(4, ASKER, 8, b"document"))
    relayed = core.RelayedConfiguration("agent-1", 5, 8, b"document")
    assert told.messages == [(ASKER, relayed)]
