"""Tests of forwarding a configuration from one entry to another."""

import circuits
import cowslipgate_core as core
import pytest

from cowslipgate_agent import _events
from cowslipgate_agent import _relay

ASKER = 3


class SentMessages(circuits.BaseComponent):
    """Recorder of the messages sent to entries."""

    channel = "links"

    def __init__(self) -> None:
        super().__init__()
        self.messages: list[tuple[int, object]] = []

    @circuits.handler("send_to_entry")
    def _on_send_to_entry(self, entry: int, message: object) -> None:
        self.messages.append((entry, message))


@pytest.fixture
def sent() -> SentMessages:
    sent = SentMessages()
    _relay.Relay("agent-1", 5).register(sent)
    return sent


def _fire(sent: SentMessages, event: circuits.Event) -> None:
    sent.fire(event, "runner")
    while len(sent):
        sent.flush()


def _deliver(sent: SentMessages, message: object) -> None:
    _fire(sent, _events.entry_message_received(message))


def test_entry_with_the_highest_version_is_asked(sent: SentMessages) -> None:
    for entry, version in ((ASKER, 9), (4, 7), (5, 8), (6, 6)):
        _deliver(sent, core.Beat(entry, version, ()))
    _deliver(sent, core.ConfigurationRequest(ASKER))
    assert sent.messages == [(5, core.RelayRequest("agent-1", 5, ASKER))]


def test_entry_that_was_lost_is_not_asked(sent: SentMessages) -> None:
    _deliver(sent, core.Beat(4, 7, ()))
    _deliver(sent, core.Dispatch(5, 5, 8, ()))
    _fire(sent, _events.entry_dropped(5))
    _deliver(sent, core.ConfigurationRequest(ASKER))
    assert [entry for entry, _ in sent.messages] == [4]


def test_no_entry_is_asked_if_no_other_is_known(sent: SentMessages) -> None:
    _deliver(sent, core.Beat(ASKER, 7, ()))
    _deliver(sent, core.ConfigurationRequest(ASKER))
    assert sent.messages == []


def test_document_is_forwarded_to_the_entry_that_asked(
    sent: SentMessages,
) -> None:
    _deliver(sent, core.ConfigurationRelay(4, ASKER, 8, b"document"))
    relayed = core.RelayedConfiguration("agent-1", 5, 8, b"document")
    assert sent.messages == [(ASKER, relayed)]
