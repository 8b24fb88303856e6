"""Tests of an entry cut off from the store while the configuration changes.

Its agents learn of newer versions from other entries and refuse attempts under
an older one, so jobs that it accepted would wait until their deadlines.
"""

import datetime

import circuits
import cowslipgate_core as core
import cowslipgate_transport as transport
import pytest

from cowslipgate_entry import _events
from cowslipgate_entry.store import _configuration_follower
from cowslipgate_entry.store import _configuration_relay
from cowslipgate_entry.tests import control_builders

AGENT = core.encode_identity("agent-1", 5)
OTHER_AGENT = core.encode_identity("agent-2", 6)
OWN = 1
OTHER = 2


def _configure(version: int) -> core.Configuration:
    return core.parse_configuration(version, control_builders.CONFIGURATION)


class RelayHarness:
    """Both components of an entry and the events they fire."""

    def __init__(self, incarnation: int = OWN) -> None:
        self.clock = core.ManualClock()
        self.root = circuits.BaseComponent()
        self.recorders = {
            channel: control_builders.Recorder(channel).register(self.root)
            for channel in (
                "internal",
                "dispatcher",
                "state-change-log",
                "store",
            )
        }
        _configuration_follower.ConfigurationFollower(
            "op", "config", _read, self.clock
        ).register(self.root)
        _configuration_relay.ConfigurationRelay(
            incarnation, self.clock
        ).register(self.root)

    def fire(self, event: circuits.Event, *channels: str) -> None:
        """Fire an event and process events until none is queued."""
        self.root.fire(event, *channels)
        while len(self.root):
            self.root.flush()

    def adopt(self, version: int) -> None:
        """Adopt a version as if the store had delivered it."""
        self.fire(
            _events.configuration_relayed(_configure(version)),
            "configuration-manager",
        )
        self.recorders["dispatcher"].take("configuration_adopted")

    def report_version(self, version: int, identity: bytes = AGENT) -> None:
        """Report a version as an agent does."""
        event = _events.newer_configuration_reported(version, identity)
        self.fire(event, "configuration-manager")

    def deliver(self, message: object) -> None:
        """Deliver a message from an agent."""
        self.fire(transport.message_received(AGENT, message), "internal")

    def take_sent(self) -> list[tuple]:
        """Return the identities and messages that were sent."""
        return self.recorders["internal"].take("send_message")

    def take_adopted(self) -> list[int]:
        """Return the versions that came into force."""
        taken = self.recorders["dispatcher"].take("configuration_adopted")
        return [configuration.version for (configuration,) in taken]

    def pass_time(self, milliseconds: int) -> None:
        """Advance the clock."""
        self.clock.advance(datetime.timedelta(milliseconds=milliseconds))


def _read(row: core.TableRow) -> core.Configuration:
    return _configure(int(row.value))


def test_agent_is_asked_when_the_store_does_not_deliver_a_version() -> None:
    harness = RelayHarness()
    harness.adopt(3)
    harness.report_version(4)
    harness.pass_time(190)
    harness.report_version(4)
    assert harness.take_sent() == []
    harness.pass_time(20)
    harness.report_version(4)
    assert harness.take_sent() == [(AGENT, core.ConfigurationRequest(OWN))]


def test_agent_is_asked_after_one_report_of_the_version() -> None:
    harness = RelayHarness()
    harness.report_version(4)
    for expected in ([], [(AGENT, core.ConfigurationRequest(OWN))], []):
        harness.pass_time(110)
        harness.fire(_events.tick(), _configuration_relay.CHANNEL)
        assert harness.take_sent() == expected


def test_another_agent_is_asked_when_the_first_does_not_answer() -> None:
    harness = RelayHarness()
    for milliseconds, identity in (
        (0, AGENT),
        (210, AGENT),
        (100, AGENT),
        (210, OTHER_AGENT),
    ):
        harness.pass_time(milliseconds)
        harness.report_version(4, identity)
    request = core.ConfigurationRequest(OWN)
    assert harness.take_sent() == [(AGENT, request), (OTHER_AGENT, request)]


def test_no_agent_is_asked_once_the_store_delivered_the_version() -> None:
    harness = RelayHarness()
    harness.report_version(4)
    harness.adopt(4)
    harness.pass_time(300)
    harness.report_version(4)
    harness.report_version(5)
    assert harness.take_sent() == []


def test_configuration_of_another_entry_comes_into_force() -> None:
    asker, other = RelayHarness(OWN), RelayHarness(OTHER)
    asker.adopt(3)
    other.adopt(4)
    other.deliver(core.RelayRequest("agent-1", 5, OWN))
    ((identity, relay),) = other.take_sent()
    assert (identity, relay.entry, relay.asker) == (AGENT, OTHER, OWN)
    asker.deliver(
        core.RelayedConfiguration("agent-1", 5, relay.version, relay.document)
    )
    assert asker.take_adopted() == [4]


def test_entry_without_a_configuration_answers_nothing() -> None:
    harness = RelayHarness()
    harness.deliver(core.RelayRequest("agent-1", 5, OTHER))
    assert harness.take_sent() == []


@pytest.mark.parametrize("version", [2, 3])
def test_older_version_is_not_adopted(version: int) -> None:
    harness = RelayHarness()
    harness.adopt(3)
    document = core.compress_document(_configure(version).encode())
    harness.deliver(core.RelayedConfiguration("agent-1", 5, version, document))
    assert harness.take_adopted() == []


@pytest.mark.parametrize(
    "document",
    [
        b"",
        b"junk",
        core.compress_document(b"{"),
        core.compress_document(b"[]"),
        core.compress_document(b'{"services": 1}'),
    ],
)
def test_malformed_document_is_rejected_and_the_old_one_kept(
    document: bytes,
) -> None:
    harness = RelayHarness()
    harness.adopt(3)
    harness.deliver(core.RelayedConfiguration("agent-1", 5, 9, document))
    assert harness.take_adopted() == []
    assert (
        len(
            harness.recorders["state-change-log"].take(
                "configuration_rejected"
            )
        )
        == 1
    )
