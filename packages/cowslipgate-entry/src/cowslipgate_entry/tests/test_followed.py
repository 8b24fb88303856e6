"""Tests of following the configuration and the members in a store."""

from collections.abc import Iterator
import datetime

import circuits
import cowslipgate_core as core
import cowslipgate_transport as transport
import pytest

from cowslipgate_entry import _events
from cowslipgate_entry.peers import _stored_members
from cowslipgate_entry.store import _followed

OWN = core.Member(1, "tcp://127.0.0.1:1", "127.0.0.1:2", "ruwi")
OUTAGE_SECONDS = 60
"""An outage of the store that outlasts every lease, which is 30 s."""

OTHER = core.Member(2, "tcp://127.0.0.1:3", "127.0.0.1:4", "seeb")


def _read(row: core.TableRow) -> core.Configuration:
    if row.value == b"bad":
        fault = core.Fault("$", "is not valid")
        raise core.ConfigurationError((fault,))
    return core.parse_configuration(int(row.value), {})


class Rig(circuits.BaseComponent):
    """Both components and what they ask and tell."""

    channel = "rig"

    def __init__(self) -> None:
        super().__init__()
        self.clock = core.ManualClock()
        self.calls: list[core.TableCall] = []
        self.versions: list[int] = []
        self.rejected: list[core.ConfigurationError] = []
        self.members: list[set[core.Member]] = []
        _followed.FollowedConfiguration(
            "op", "config", _read, self.clock
        ).register(self)
        _stored_members.StoredMembers(OWN, self.clock).register(self)
        self.send(_events.tick(), "keeper", "members")

    @circuits.handler("call_table", channel="store")
    def _on_call_table(self, call: core.TableCall) -> None:
        self.calls.append(call)

    @circuits.handler("configuration_adopted", channel="dispatcher")
    def _on_adopted(self, configuration: core.Configuration) -> None:
        self.versions.append(configuration.version)

    @circuits.handler("configuration_rejected", channel="watch")
    def _on_rejected(self, error: core.ConfigurationError) -> None:
        self.rejected.append(error)

    @circuits.handler("members_changed", channel="dispatcher")
    def _on_members(self, members: tuple[core.Member, ...]) -> None:
        self.members.append(set(members))

    def send(self, event: circuits.Event, *channels: str) -> None:
        """Fire an event and let all follow."""
        self.fire(event, *channels)
        while len(self):
            self.flush()

    def answer(
        self,
        channel: str,
        result: core.TableResult = core.TableResult.DONE,
        rows: tuple[core.TableRow, ...] = (),
        version: int = 0,
    ) -> None:
        """Answer the last call of a component."""
        call = self.last(channel)
        answer = core.TableAnswer(call, result, rows, version)
        self.send(transport.table_answered(answer), channel)

    def last(self, channel: str) -> core.TableCall:
        """Return the last call of a component."""
        return [call for call in self.calls if call.channel == channel][-1]

    def pass_time(self, seconds: float) -> None:
        """Let time pass and look at it."""
        self.clock.advance(datetime.timedelta(seconds=seconds))
        self.send(_events.tick(), "keeper", "members")


@pytest.fixture
def rig() -> Iterator[Rig]:
    """Return a rig whose first calls wait for an answer."""
    yield Rig()


def _row(value: bytes, key: str = "config") -> core.TableRow:
    return core.TableRow(key, value, 1)


def test_configuration_is_read_whole_and_then_followed(rig: Rig) -> None:
    assert isinstance(rig.last("keeper"), core.TableRead)
    rig.answer("keeper", rows=(_row(b"5"), _row(b"9", "other")), version=40)
    assert rig.versions == [5]
    assert rig.last("keeper").after == 40
    rig.answer("keeper", rows=(_row(b"6"),), version=44)
    assert rig.versions == [5, 6]
    assert rig.last("keeper").after == 44


def test_older_version_is_never_adopted(rig: Rig) -> None:
    rig.answer("keeper", rows=(_row(b"6"),), version=44)
    rig.answer("keeper", rows=(_row(b"5"), _row(b"6")), version=45)
    assert rig.versions == [6]


def test_forgotten_history_is_read_whole_again(rig: Rig) -> None:
    rig.answer("keeper", rows=(_row(b"5"),), version=40)
    rig.answer("keeper", core.TableResult.EXPIRED)
    assert isinstance(rig.last("keeper"), core.TableRead)
    rig.answer("keeper", rows=(_row(b"7"),), version=90)
    assert rig.versions == [5, 7]


@pytest.mark.parametrize(
    "result", [core.TableResult.UNREACHABLE, core.TableResult.REFUSED]
)
def test_call_that_failed_is_made_again_a_little_later(
    rig: Rig, result: core.TableResult
) -> None:
    before = len(rig.calls)
    rig.answer("keeper", result)
    assert len(rig.calls) == before
    rig.pass_time(0.2)
    assert isinstance(rig.last("keeper"), core.TableRead)
    assert len(rig.calls) > before


def test_configuration_that_cannot_be_read_changes_nothing(rig: Rig) -> None:
    rig.answer("keeper", rows=(_row(b"5"),), version=40)
    rig.answer("keeper", rows=(_row(b"bad"),), version=41)
    assert (rig.versions, len(rig.rejected)) == ([5], 1)


def _lease(member: core.Member, renewal: int) -> core.TableRow:
    value = core.encode_lease(core.Lease(member, renewal))
    return core.TableRow(core.name_lease(member), value, renewal)


def test_entries_that_renew_are_members(rig: Rig) -> None:
    rig.answer("members")
    rows = (_lease(OWN, 1), _lease(OTHER, 1), _row(b"junk", "x"))
    rig.answer("members", rows=rows)
    assert rig.members == [{OWN, OTHER}]


def test_entry_that_does_not_renew_lapses(rig: Rig) -> None:
    rig.answer("members")
    rig.answer("members", rows=(_lease(OTHER, 1),))
    for _ in range(8):
        rig.pass_time(5)
        rig.answer("members")
        rig.answer("members", rows=(_lease(OTHER, 1),))
    assert rig.members[-1] == {OWN}


def test_outage_of_the_store_changes_no_member(rig: Rig) -> None:
    rig.answer("members")
    rig.answer("members", rows=(_lease(OTHER, 1),))
    for _ in range(60):
        rig.pass_time(1)
        rig.answer("members", core.TableResult.UNREACHABLE)
    assert rig.members == [{OWN, OTHER}]


def test_row_is_written_within_two_seconds_of_the_stores_return(
    rig: Rig,
) -> None:
    for _ in range(20):
        rig.answer("members", core.TableResult.UNREACHABLE)
        rig.pass_time(1)
    rig.answer("members", core.TableResult.UNREACHABLE)
    before = len(rig.calls)
    rig.pass_time(0.5)
    (call,) = [c for c in rig.calls[before:] if c.channel == "members"]
    assert isinstance(call, core.TableWrite)


def _abandon_row(rig: Rig, own: core.Member, gone: core.Member) -> None:
    """Let a row stand unrenewed until its entry will not come back."""
    rounds = core.LEASE_ABANDONED_AFTER // _stored_members.RENEW_INTERVAL
    for number in range(rounds + 2):
        rig.answer("members")
        rig.answer("members", rows=(_lease(own, number), _lease(gone, 1)))
        rig.pass_time(_stored_members.RENEW_INTERVAL.total_seconds())


def test_row_of_an_entry_that_never_returns_is_removed(rig: Rig) -> None:
    _abandon_row(rig, OWN, OTHER)
    writes = [c for c in rig.calls if isinstance(c, core.TableWrite)]
    removed = [call.key for call in writes if not call.value]
    assert removed == [core.name_lease(OTHER)]
    # The answer to the removal is followed by the renewals as before.
    rig.answer("members")
    rig.answer("members", rows=(_lease(OWN, 1),))
    rig.pass_time(_stored_members.RENEW_INTERVAL.total_seconds())
    assert rig.last("members").key == core.name_lease(OWN)


def test_outage_of_the_store_makes_no_row_abandoned(rig: Rig) -> None:
    rig.answer("members")
    rig.answer("members", rows=(_lease(OTHER, 1),))
    rig.pass_time(6)
    rig.answer("members", core.TableResult.UNREACHABLE)
    rig.pass_time(core.LEASE_ABANDONED_AFTER.total_seconds())
    rig.answer("members")
    # The other entry has not come round to its renewal yet.
    rig.answer("members", rows=(_lease(OTHER, 1),))
    writes = [c for c in rig.calls if isinstance(c, core.TableWrite)]
    assert all(call.value for call in writes)


def test_one_entry_alone_removes_what_others_left(rig: Rig) -> None:
    first = core.Member(3, "tcp://127.0.0.1:0", "127.0.0.1:9", "seeb")
    _abandon_row(rig, first, OTHER)
    writes = [c for c in rig.calls if isinstance(c, core.TableWrite)]
    assert all(call.value for call in writes)


def _outlast_outage(rig: Rig) -> None:
    """Let a long outage pass, up to the first read after it."""
    rig.answer("members")
    rig.answer("members", rows=(_lease(OTHER, 1),))
    for _ in range(OUTAGE_SECONDS):
        rig.pass_time(1)
        rig.answer("members", core.TableResult.UNREACHABLE)
    rig.pass_time(0.5)
    rig.answer("members")


def test_entry_whose_row_is_old_after_a_long_outage_stays_a_member(
    rig: Rig,
) -> None:
    _outlast_outage(rig)
    # The other entry has not come round to its renewal yet.
    rig.answer("members", rows=(_lease(OTHER, 1),))
    assert rig.members[-1] == {OWN, OTHER}


def test_entry_that_is_gone_after_an_outage_lapses_two_seconds_later(
    rig: Rig,
) -> None:
    _outlast_outage(rig)
    rig.answer("members", rows=(_lease(OTHER, 1),))
    rig.pass_time(2)
    rig.answer("members")
    rig.answer("members", rows=(_lease(OTHER, 1),))
    assert rig.members[-1] == {OWN}


def test_stopping_entry_removes_its_row(rig: Rig) -> None:
    rig.send(_events.drain(), "members")
    written = rig.last("members")
    assert (written.key, written.value) == ("127.0.0.1:1", b"")
