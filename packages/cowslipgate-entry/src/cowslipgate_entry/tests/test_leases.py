"""Tests of renewing the lease row and of the limits derived from it."""

import datetime

import cowslipgate_core as core
import msgspec
import pytest

from cowslipgate_entry import _events
from cowslipgate_entry.agents import _dispatcher
from cowslipgate_entry.callers import _requests
from cowslipgate_entry.peers import _leases
from cowslipgate_entry.tests import builders
from cowslipgate_entry.tests import control_builders

SECOND = datetime.timedelta(seconds=1)
QUOTA = 6


def _build_harness() -> control_builders.ComponentHarness:
    harness = control_builders.ComponentHarness("store", "peers", "dispatcher")
    dispatcher = _dispatcher.Dispatcher(
        core.Ledger(core.LateBinding()), builders.MEMBER, harness.clock
    )
    _leases.Leases(builders.MEMBER, dispatcher, harness.clock).register(
        harness.root
    )
    document = control_builders.CONFIGURATION
    event = _events.configuration_adopted(
        core.parse_configuration(1, document)
    )
    harness.fire(event, "leases")
    return harness


def _renew(
    harness: control_builders.ComponentHarness, row: object = None
) -> _requests.StoreCall:
    harness.fire(_events.tick(), "leases")
    result = _requests.StoreResult.DONE
    if row is None:
        result = _requests.StoreResult.ABSENT
    harness.answer(harness.take_call(), result, row, 1)
    write = harness.take_call()
    harness.answer(write, _requests.StoreResult.DONE)
    return write


def _simulate_outage(
    harness: control_builders.ComponentHarness, seconds: int, revisions: bool
) -> None:
    for second in range(seconds):
        harness.clock.advance(SECOND)
        harness.fire(_events.tick(), "leases")
        for (call,) in harness.recorders["store"].take("call_store"):
            harness.answer(call, _requests.StoreResult.UNREACHABLE)
        revision = second if revisions else 1
        member = control_builders.build_member(9, 3000)
        gossip = core.Gossip(member, 1, lease_revision=revision)
        harness.fire(_events.peer_message_received(gossip), "leases")


def _get_limit(harness: control_builders.ComponentHarness) -> int:
    limits, until = harness.recorders["dispatcher"].take("limits_changed")[-1]
    return limits["hall"] if harness.clock.now() <= until else 0


def test_single_entry_gets_the_whole_quota() -> None:
    harness = _build_harness()
    _renew(harness)
    assert _get_limit(harness) == QUOTA


def test_limit_stays_valid_through_a_long_outage() -> None:
    harness = _build_harness()
    _renew(harness)
    _simulate_outage(harness, 300, revisions=False)
    assert _get_limit(harness) == QUOTA


def test_limit_expires_when_the_others_renew_without_this_entry() -> None:
    harness = _build_harness()
    _renew(harness)
    _simulate_outage(harness, 40, revisions=True)
    assert _get_limit(harness) == 0


def test_limit_is_zero_after_a_pause_until_the_lease_is_renewed() -> None:
    harness = _build_harness()
    _renew(harness)
    harness.clock.advance(30 * SECOND)
    assert _get_limit(harness) == 0
    _simulate_outage(harness, 5, revisions=False)
    assert _get_limit(harness) == 0
    harness.clock.advance(10 * SECOND)
    _renew(harness)
    assert _get_limit(harness) == QUOTA


# Guards against two entries that use the same slots: the answer to a renewal
# was read so late that other entries have counted its lease as expired.
def test_limit_counts_from_the_renewal_and_not_from_its_answer() -> None:
    harness = _build_harness()
    harness.fire(_events.tick(), "leases")
    harness.answer(harness.take_call(), _requests.StoreResult.ABSENT, None, 1)
    write = harness.take_call()
    harness.clock.advance(25 * SECOND)
    harness.answer(write, _requests.StoreResult.DONE)
    assert _get_limit(harness) == 0


def test_entry_that_never_read_the_row_takes_an_equal_share() -> None:
    harness = _build_harness()
    members = [builders.MEMBER, control_builders.build_member(9, 3000)]
    harness.fire(_events.members_changed(tuple(members)), "leases")
    _simulate_outage(harness, 3, revisions=False)
    assert _get_limit(harness) == QUOTA // 2


def test_slots_of_another_lease_are_not_taken() -> None:
    harness = _build_harness()
    member = control_builders.build_member(9, 3000)
    lease = core.Lease(member, 1, {"hall": core.Share(4, 4)})
    write = _renew(harness, [msgspec.to_builtins(lease)])
    assert _get_limit(harness) == 1
    assert len(write.writes[0].value) == 2


def test_conflict_keeps_the_smaller_limit() -> None:
    harness = _build_harness()
    harness.fire(_events.tick(), "leases")
    harness.answer(harness.take_call(), _requests.StoreResult.ABSENT)
    harness.answer(harness.take_call(), _requests.StoreResult.CONFLICT)
    assert _get_limit(harness) == 0


@pytest.mark.parametrize("row", ["text", [1], [{"member": {}}], {}])
def test_malformed_row_is_not_overwritten(row: object) -> None:
    harness = _build_harness()
    harness.fire(_events.tick(), "leases")
    harness.answer(harness.take_call(), _requests.StoreResult.DONE, row, 1)
    assert harness.recorders["store"].take("call_store") == []


def test_starved_peer_brings_the_renewal_forward() -> None:
    harness = _build_harness()
    _renew(harness)
    harness.clock.advance(2 * SECOND)
    member = control_builders.build_member(9, 3000)
    gossip = core.Gossip(member, 1, starved=True)
    harness.fire(_events.peer_message_received(gossip), "leases")
    harness.fire(_events.tick(), "leases")
    assert harness.take_call().read == _leases.MEMBERS_ROW
