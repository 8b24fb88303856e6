"""Tests of configuration and members that are read from a store."""

from collections.abc import Iterator
import datetime

import attrs
import circuits
import cowslipgate_core as core
import cowslipgate_transport as transport
import pytest

from cowslipgate_entry import _events
from cowslipgate_entry.peers import _stored_members
from cowslipgate_entry.store import _configuration_follower

OWN = core.Member(1, "tcp://127.0.0.1:1", "127.0.0.1:2", "ruwi")
OUTAGE_SECONDS = 60
"""An outage of the store longer than every lease, which is 30 s."""

OTHER = core.Member(2, "tcp://127.0.0.1:3", "127.0.0.1:4", "seeb")


def _read(row: core.TableRow) -> core.Configuration:
    if row.value == b"bad":
        fault = core.Fault("$", "is not valid")
        raise core.ConfigurationError((fault,))
    return core.parse_configuration(int(row.value), {})


class StoreHarness(circuits.BaseComponent):
    """Both components, their store calls and the events they fire."""

    channel = "harness"

    def __init__(self) -> None:
        super().__init__()
        self.clock = core.ManualClock()
        self.calls: list[core.TableCall] = []
        self.versions: list[int] = []
        self.order: list[str] = []
        self.rejected: list[core.ConfigurationError] = []
        self.members: list[set[core.Member]] = []
        self.refreshed: list[tuple[core.Member, ...] | None] = []
        _configuration_follower.ConfigurationFollower(
            "op", "config", _read, self.clock
        ).register(self)
        _stored_members.StoredMembers(OWN, self.clock).register(self)
        self.send(_events.tick(), "configuration-manager", "members")

    @circuits.handler("call_table", channel="store")
    def _on_call_table(self, call: core.TableCall) -> None:
        self.calls.append(call)

    @circuits.handler("configuration_adopted", channel="dispatcher")
    def _on_adopted(self, configuration: core.Configuration) -> None:
        self.versions.append(configuration.version)
        self.order.append("adopted")

    @circuits.handler("operator_rows_read", channel="evacuations")
    def _on_rows_read(self, answer: core.TableAnswer) -> None:
        self.order.append("rows")

    @circuits.handler("configuration_rejected", channel="state-change-log")
    def _on_rejected(self, error: core.ConfigurationError) -> None:
        self.rejected.append(error)

    @circuits.handler("members_changed", channel="dispatcher")
    def _on_members(self, members: tuple[core.Member, ...]) -> None:
        self.members.append(set(members))

    @circuits.handler("members_refreshed", channel="stored-cancellations")
    def _on_refreshed(self, members: tuple[core.Member, ...] | None) -> None:
        self.refreshed.append(members)

    def send(self, event: circuits.Event, *channels: str) -> None:
        """Fire an event and process events until none is queued."""
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
        """Deliver an answer to the last call of a component."""
        call = self.last(channel)
        answer = core.TableAnswer(call, result, rows, version)
        self.send(transport.table_answered(answer), channel)

    def last(self, channel: str) -> core.TableCall:
        """Return the last call of a component."""
        return [call for call in self.calls if call.channel == channel][-1]

    def pass_time(self, seconds: float) -> None:
        """Advance the clock and fire a tick."""
        self.clock.advance(datetime.timedelta(seconds=seconds))
        self.send(_events.tick(), "configuration-manager", "members")


@pytest.fixture
def harness() -> Iterator[StoreHarness]:
    """Return a harness whose first calls are unanswered."""
    yield StoreHarness()


def _row(value: bytes, key: str = "config") -> core.TableRow:
    return core.TableRow(key, value, 1)


def test_table_is_read_whole_and_then_followed(harness: StoreHarness) -> None:
    assert isinstance(harness.last("configuration-manager"), core.TableRead)
    harness.answer(
        "configuration-manager",
        rows=(_row(b"5"), _row(b"9", "other")),
        version=40,
    )
    assert harness.versions == [5]
    assert harness.last("configuration-manager").after == 40
    harness.answer("configuration-manager", rows=(_row(b"6"),), version=44)
    assert harness.versions == [5, 6]
    assert harness.last("configuration-manager").after == 44


# Guards against a new entry that sends an order to an evacuated domain: with
# a configuration it may send orders at once.
def test_rows_are_passed_on_before_a_configuration_is_adopted(
    harness: StoreHarness,
) -> None:
    rows = (_row(b"5"), _row(b"", "evacuate/ruwi"))
    harness.answer("configuration-manager", rows=rows, version=40)
    assert harness.order == ["rows", "adopted"]
    harness.answer("configuration-manager", core.TableResult.UNREACHABLE)
    assert harness.order == ["rows", "adopted"]


def test_older_version_is_never_adopted(harness: StoreHarness) -> None:
    harness.answer("configuration-manager", rows=(_row(b"6"),), version=44)
    harness.answer(
        "configuration-manager", rows=(_row(b"5"), _row(b"6")), version=45
    )
    assert harness.versions == [6]


def test_table_is_read_whole_again_after_its_history_expired(
    harness: StoreHarness,
) -> None:
    harness.answer("configuration-manager", rows=(_row(b"5"),), version=40)
    harness.answer("configuration-manager", core.TableResult.EXPIRED)
    assert isinstance(harness.last("configuration-manager"), core.TableRead)
    harness.answer("configuration-manager", rows=(_row(b"7"),), version=90)
    assert harness.versions == [5, 7]


@pytest.mark.parametrize(
    "result", [core.TableResult.UNREACHABLE, core.TableResult.REFUSED]
)
def test_failed_call_is_retried_after_the_interval(
    harness: StoreHarness, result: core.TableResult
) -> None:
    before = len(harness.calls)
    harness.answer("configuration-manager", result)
    assert len(harness.calls) == before
    harness.pass_time(0.2)
    assert isinstance(harness.last("configuration-manager"), core.TableRead)
    assert len(harness.calls) > before


# Guards against a configuration that is in force late: a call that has timed
# out has taken longer than the interval already.
def test_call_that_has_timed_out_is_repeated_at_once(
    harness: StoreHarness,
) -> None:
    harness.answer("configuration-manager", rows=(_row(b"5"),), version=40)
    before = len(harness.calls)
    harness.pass_time(1.3)
    unreachable = core.TableResult.UNREACHABLE
    harness.answer("configuration-manager", unreachable)
    assert harness.calls[before:] == [harness.last("configuration-manager")]
    harness.answer("configuration-manager", unreachable)
    assert len(harness.calls) == before + 1


# Guards against a follower that asks for the same odd changes without end.
def test_table_is_read_whole_again_after_undecodable_changes(
    harness: StoreHarness,
) -> None:
    harness.answer("configuration-manager", rows=(_row(b"5"),), version=40)
    before = len(harness.calls)
    harness.answer("configuration-manager", core.TableResult.MALFORMED)
    assert len(harness.calls) == before
    harness.pass_time(0.2)
    assert isinstance(harness.last("configuration-manager"), core.TableRead)
    harness.answer("configuration-manager", rows=(_row(b"6"),), version=41)
    assert harness.versions == [5, 6]


def test_invalid_configuration_is_rejected_and_the_old_one_kept(
    harness: StoreHarness,
) -> None:
    harness.answer("configuration-manager", rows=(_row(b"5"),), version=40)
    harness.answer("configuration-manager", rows=(_row(b"bad"),), version=41)
    assert (harness.versions, len(harness.rejected)) == ([5], 1)


def _lease(member: core.Member, renewal: int) -> core.TableRow:
    value = core.encode_lease(core.Lease(member, renewal))
    return core.TableRow(core.name_lease(member), value, renewal)


def test_entries_that_renew_are_members(harness: StoreHarness) -> None:
    harness.answer("members")
    rows = (_lease(OWN, 1), _lease(OTHER, 1), _row(b"junk", "x"))
    harness.answer("members", rows=rows)
    assert harness.members == [{OWN, OTHER}]


def test_entry_that_does_not_renew_expires(harness: StoreHarness) -> None:
    harness.answer("members")
    harness.answer("members", rows=(_lease(OTHER, 1),))
    for _ in range(8):
        harness.pass_time(5)
        harness.answer("members")
        harness.answer("members", rows=(_lease(OTHER, 1),))
    assert harness.members[-1] == {OWN}


def test_outage_of_the_store_changes_no_member(harness: StoreHarness) -> None:
    harness.answer("members")
    harness.answer("members", rows=(_lease(OTHER, 1),))
    for _ in range(60):
        harness.pass_time(1)
        harness.answer("members", core.TableResult.UNREACHABLE)
    assert harness.members == [{OWN, OTHER}]


# Guards against a cancellation that is answered for a list read before it.
def test_list_of_entries_is_read_on_command(harness: StoreHarness) -> None:
    harness.answer("members")
    harness.answer("members")
    harness.send(_events.refresh_members(), "members")
    assert harness.refreshed == []
    harness.answer("members", rows=(_lease(OTHER, 1),))
    assert harness.refreshed == [(OWN, OTHER)]
    assert harness.members[-1] == {OWN, OTHER}


# Guards against members that are lost, and renewals that end, by such a read.
def test_read_on_command_that_fails_changes_no_member(
    harness: StoreHarness,
) -> None:
    harness.answer("members")
    harness.answer("members", rows=(_lease(OTHER, 1),))
    harness.send(_events.refresh_members(), "members")
    harness.answer("members", core.TableResult.UNREACHABLE)
    assert harness.refreshed == [None]
    assert harness.members == [{OWN, OTHER}]
    harness.pass_time(_stored_members.RENEW_INTERVAL.total_seconds())
    assert isinstance(harness.last("members"), core.TableWrite)


def test_row_is_written_within_two_seconds_of_the_stores_recovery(
    harness: StoreHarness,
) -> None:
    for _ in range(20):
        harness.answer("members", core.TableResult.UNREACHABLE)
        harness.pass_time(1)
    harness.answer("members", core.TableResult.UNREACHABLE)
    before = len(harness.calls)
    harness.pass_time(0.5)
    (call,) = [c for c in harness.calls[before:] if c.channel == "members"]
    assert isinstance(call, core.TableWrite)


def _abandon_row(
    harness: StoreHarness, own: core.Member, gone: core.Member
) -> None:
    """Leave a row unrenewed until it counts as abandoned."""
    rounds = core.LEASE_ABANDONED_AFTER // _stored_members.RENEW_INTERVAL
    for number in range(rounds + 2):
        harness.answer("members")
        harness.answer("members", rows=(_lease(own, number), _lease(gone, 1)))
        harness.pass_time(_stored_members.RENEW_INTERVAL.total_seconds())


def test_row_of_an_entry_that_never_returns_is_removed(
    harness: StoreHarness,
) -> None:
    _abandon_row(harness, OWN, OTHER)
    writes = [c for c in harness.calls if isinstance(c, core.TableWrite)]
    removed = [call.key for call in writes if not call.value]
    assert removed == [core.name_lease(OTHER)]
    # Renewals continue after the removal is answered.
    harness.answer("members")
    harness.answer("members", rows=(_lease(OWN, 1),))
    harness.pass_time(_stored_members.RENEW_INTERVAL.total_seconds())
    assert harness.last("members").key == core.name_lease(OWN)


def test_removal_spares_a_row_that_was_renewed_since_it_was_read(
    harness: StoreHarness,
) -> None:
    _abandon_row(harness, OWN, OTHER)
    removal = harness.last("members")
    # The version of the row that was read, see ``_lease``.
    assert (removal.value, removal.expected) == (b"", 1)
    harness.answer("members", core.TableResult.CONFLICT)
    harness.pass_time(_stored_members.RENEW_INTERVAL.total_seconds())
    renewal = harness.last("members")
    assert renewal.key == core.name_lease(OWN)
    assert renewal.expected == core.ANY_VERSION
    harness.answer("members")
    harness.answer("members", rows=(_lease(OWN, 1), _lease(OTHER, 2)))
    assert harness.members[-1] == {OWN, OTHER}


def test_abandoned_lease_in_a_row_of_another_key_is_left_alone(
    harness: StoreHarness,
) -> None:
    misplaced = attrs.evolve(_lease(OTHER, 1), key="elsewhere")
    rounds = core.LEASE_ABANDONED_AFTER // _stored_members.RENEW_INTERVAL
    for number in range(rounds + 2):
        harness.answer("members")
        harness.answer("members", rows=(_lease(OWN, number), misplaced))
        harness.pass_time(_stored_members.RENEW_INTERVAL.total_seconds())
    writes = [c for c in harness.calls if isinstance(c, core.TableWrite)]
    assert all(call.value for call in writes)


def test_outage_of_the_store_makes_no_row_abandoned(
    harness: StoreHarness,
) -> None:
    harness.answer("members")
    harness.answer("members", rows=(_lease(OTHER, 1),))
    harness.pass_time(6)
    harness.answer("members", core.TableResult.UNREACHABLE)
    harness.pass_time(core.LEASE_ABANDONED_AFTER.total_seconds())
    harness.answer("members")
    # The other entry has not renewed its row yet.
    harness.answer("members", rows=(_lease(OTHER, 1),))
    writes = [c for c in harness.calls if isinstance(c, core.TableWrite)]
    assert all(call.value for call in writes)


def test_only_the_first_entry_removes_abandoned_rows(
    harness: StoreHarness,
) -> None:
    first = core.Member(3, "tcp://127.0.0.0:1", "127.0.0.1:9", "seeb")
    _abandon_row(harness, first, OTHER)
    writes = [c for c in harness.calls if isinstance(c, core.TableWrite)]
    assert all(call.value for call in writes)


def _simulate_outage(harness: StoreHarness) -> None:
    """Simulate an outage of 60 s, up to the first read after it."""
    harness.answer("members")
    harness.answer("members", rows=(_lease(OTHER, 1),))
    for _ in range(OUTAGE_SECONDS):
        harness.pass_time(1)
        harness.answer("members", core.TableResult.UNREACHABLE)
    harness.pass_time(0.5)
    harness.answer("members")


def test_entry_whose_row_is_old_after_a_long_outage_stays_a_member(
    harness: StoreHarness,
) -> None:
    _simulate_outage(harness)
    # The other entry has not renewed its row yet.
    harness.answer("members", rows=(_lease(OTHER, 1),))
    assert harness.members[-1] == {OWN, OTHER}


# Guards against live entries that lose their agents, since a cancellation
# reads the list before they have renewed their rows.
def test_read_on_command_soon_after_an_outage_drops_no_member(
    harness: StoreHarness,
) -> None:
    _simulate_outage(harness)
    harness.answer("members", rows=(_lease(OTHER, 1),))
    for _ in range(2):
        harness.pass_time(0.8)
        harness.send(_events.refresh_members(), "members")
        harness.answer("members", rows=(_lease(OTHER, 1),))
    assert harness.refreshed == [(OWN, OTHER)] * 2
    assert harness.members == [{OWN, OTHER}]
    # From then on, it counts as gone.
    harness.pass_time(0.4)
    harness.answer("members")
    harness.answer("members", rows=(_lease(OTHER, 1),))
    assert harness.members[-1] == {OWN}


def test_entry_missing_after_an_outage_expires_two_seconds_later(
    harness: StoreHarness,
) -> None:
    _simulate_outage(harness)
    harness.answer("members", rows=(_lease(OTHER, 1),))
    harness.pass_time(2)
    harness.answer("members")
    harness.answer("members", rows=(_lease(OTHER, 1),))
    assert harness.members[-1] == {OWN}


def test_stopping_entry_removes_its_row(harness: StoreHarness) -> None:
    harness.send(_events.drain(), "members")
    written = harness.last("members")
    assert (written.key, written.value) == ("127.0.0.1:1", b"")
