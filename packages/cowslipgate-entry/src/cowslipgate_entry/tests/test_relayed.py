"""An entry that is cut off from the store while the configuration changes.

Its agents hear of newer versions from other entries and take nothing from it
under an older one: jobs that it took would wait to their deadlines.
"""

import datetime

import circuits
import cowslipgate_core as core
import cowslipgate_transport as transport
import pytest

from cowslipgate_entry import _events
from cowslipgate_entry.store import _followed
from cowslipgate_entry.store import _relayed
from cowslipgate_entry.tests import control_builders

AGENT = core.encode_identity("agent-1", 5)
OTHER_AGENT = core.encode_identity("agent-2", 6)
OWN = 1
OTHER = 2


def _configure(version: int) -> core.Configuration:
    return core.parse_configuration(version, control_builders.SECTIONS)


class Rig:
    """Both components of an entry and what they send."""

    def __init__(self, incarnation: int = OWN) -> None:
        self.clock = core.ManualClock()
        self.root = circuits.BaseComponent()
        self.recorders = {
            channel: control_builders.Recorder(channel).register(self.root)
            for channel in ("internal", "dispatcher", "watch", "store")
        }
        _followed.FollowedConfiguration(
            "op", "config", _read, self.clock
        ).register(self.root)
        _relayed.RelayedConfiguration(incarnation, self.clock).register(
            self.root
        )

    def tell(self, event: circuits.Event, *channels: str) -> None:
        """Fire an event and let all follow."""
        self.root.fire(event, *channels)
        while len(self.root):
            self.root.flush()

    def adopt(self, version: int) -> None:
        """Have the store tell of a version."""
        self.tell(_events.configuration_relayed(_configure(version)), "keeper")
        self.recorders["dispatcher"].take("configuration_adopted")

    def want(self, version: int, identity: bytes = AGENT) -> None:
        """Have an agent name a version."""
        event = _events.configuration_wanted(version, identity)
        self.tell(event, "keeper")

    def hear(self, message: object) -> None:
        """Deliver a message of an agent."""
        self.tell(transport.message_received(AGENT, message), "internal")

    def take_sent(self) -> list[tuple]:
        """Return the identities and messages that were sent."""
        return self.recorders["internal"].take("send_message")

    def take_adopted(self) -> list[int]:
        """Return the versions that came into force."""
        taken = self.recorders["dispatcher"].take("configuration_adopted")
        return [configuration.version for (configuration,) in taken]

    def pass_time(self, milliseconds: int) -> None:
        """Let time pass."""
        self.clock.advance(datetime.timedelta(milliseconds=milliseconds))


def _read(row: core.TableRow) -> core.Configuration:
    return _configure(int(row.value))


def test_agent_is_asked_when_the_store_does_not_tell_of_a_version() -> None:
    rig = Rig()
    rig.adopt(3)
    rig.want(4)
    rig.pass_time(190)
    rig.want(4)
    assert rig.take_sent() == []
    rig.pass_time(20)
    rig.want(4)
    assert rig.take_sent() == [(AGENT, core.ConfigurationRequest(OWN))]


def test_agent_is_asked_though_it_names_the_version_only_once() -> None:
    rig = Rig()
    rig.want(4)
    for expected in ([], [(AGENT, core.ConfigurationRequest(OWN))], []):
        rig.pass_time(110)
        rig.tell(_events.tick(), _relayed.CHANNEL)
        assert rig.take_sent() == expected


def test_another_agent_is_asked_when_the_first_does_not_answer() -> None:
    rig = Rig()
    for milliseconds, identity in (
        (0, AGENT),
        (210, AGENT),
        (100, AGENT),
        (210, OTHER_AGENT),
    ):
        rig.pass_time(milliseconds)
        rig.want(4, identity)
    request = core.ConfigurationRequest(OWN)
    assert rig.take_sent() == [(AGENT, request), (OTHER_AGENT, request)]


def test_nobody_is_asked_once_the_store_has_told() -> None:
    rig = Rig()
    rig.want(4)
    rig.adopt(4)
    rig.pass_time(300)
    rig.want(4)
    rig.want(5)
    assert rig.take_sent() == []


def test_configuration_of_another_entry_comes_into_force() -> None:
    asker, other = Rig(OWN), Rig(OTHER)
    asker.adopt(3)
    other.adopt(4)
    other.hear(core.RelayRequest("agent-1", 5, OWN))
    ((identity, relay),) = other.take_sent()
    assert (identity, relay.entry, relay.asker) == (AGENT, OTHER, OWN)
    asker.hear(
        core.RelayedConfiguration("agent-1", 5, relay.version, relay.document)
    )
    assert asker.take_adopted() == [4]


def test_entry_without_a_configuration_answers_nothing() -> None:
    rig = Rig()
    rig.hear(core.RelayRequest("agent-1", 5, OTHER))
    assert rig.take_sent() == []


@pytest.mark.parametrize("version", [2, 3])
def test_older_version_is_not_taken(version: int) -> None:
    rig = Rig()
    rig.adopt(3)
    document = core.compress_document(_configure(version).encode())
    rig.hear(core.RelayedConfiguration("agent-1", 5, version, document))
    assert rig.take_adopted() == []


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
def test_document_that_cannot_be_read_changes_nothing(
    document: bytes,
) -> None:
    rig = Rig()
    rig.adopt(3)
    rig.hear(core.RelayedConfiguration("agent-1", 5, 9, document))
    assert rig.take_adopted() == []
    assert len(rig.recorders["watch"].take("configuration_rejected")) == 1
