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


def _build_bench() -> control_builders.ComponentHarness:
    bench = control_builders.ComponentHarness("store", "peers", "dispatcher")
    dispatcher = _dispatcher.Dispatcher(
        core.Ledger(core.LateBinding()), builders.MEMBER, bench.clock
    )
    _leases.Leases(builders.MEMBER, dispatcher, bench.clock).register(
        bench.root
    )
    document = control_builders.SECTIONS
    event = _events.configuration_adopted(
        core.parse_configuration(1, document)
    )
    bench.tell(event, "leases")
    return bench


def _renew(
    bench: control_builders.ComponentHarness, row: object = None
) -> _requests.StoreCall:
    bench.tell(_events.tick(), "leases")
    result = _requests.StoreResult.DONE
    if row is None:
        result = _requests.StoreResult.ABSENT
    bench.answer(bench.take_call(), result, row, 1)
    write = bench.take_call()
    bench.answer(write, _requests.StoreResult.DONE)
    return write


def _simulate_outage(
    bench: control_builders.ComponentHarness, seconds: int, revisions: bool
) -> None:
    for second in range(seconds):
        bench.clock.advance(SECOND)
        bench.tell(_events.tick(), "leases")
        for (call,) in bench.recorders["store"].take("call_store"):
            bench.answer(call, _requests.StoreResult.UNREACHABLE)
        revision = second if revisions else 1
        member = control_builders.build_member(9, 3000)
        gossip = core.Gossip(member, 1, lease_revision=revision)
        bench.tell(_events.peer_message_received(gossip), "leases")


def _get_limit(bench: control_builders.ComponentHarness) -> int:
    limits, until = bench.recorders["dispatcher"].take("limits_changed")[-1]
    return limits["hall"] if bench.clock.now() <= until else 0


def test_single_entry_gets_the_whole_quota() -> None:
    bench = _build_bench()
    _renew(bench)
    assert _get_limit(bench) == QUOTA


def test_limit_stays_valid_through_a_long_outage() -> None:
    bench = _build_bench()
    _renew(bench)
    _simulate_outage(bench, 300, revisions=False)
    assert _get_limit(bench) == QUOTA


def test_limit_expires_when_the_others_renew_without_this_entry() -> None:
    bench = _build_bench()
    _renew(bench)
    _simulate_outage(bench, 40, revisions=True)
    assert _get_limit(bench) == 0


def test_limit_is_zero_after_a_pause_until_the_lease_is_renewed() -> None:
    bench = _build_bench()
    _renew(bench)
    bench.clock.advance(30 * SECOND)
    assert _get_limit(bench) == 0
    _simulate_outage(bench, 5, revisions=False)
    assert _get_limit(bench) == 0
    bench.clock.advance(10 * SECOND)
    _renew(bench)
    assert _get_limit(bench) == QUOTA


def test_entry_that_never_read_the_row_takes_an_equal_share() -> None:
    bench = _build_bench()
    members = [builders.MEMBER, control_builders.build_member(9, 3000)]
    bench.tell(_events.members_changed(tuple(members)), "leases")
    _simulate_outage(bench, 3, revisions=False)
    assert _get_limit(bench) == QUOTA // 2


def test_slots_of_another_lease_are_not_taken() -> None:
    bench = _build_bench()
    member = control_builders.build_member(9, 3000)
    lease = core.Lease(member, 1, {"hall": core.Share(4, 4)})
    write = _renew(bench, [msgspec.to_builtins(lease)])
    assert _get_limit(bench) == 1
    assert len(write.writes[0].value) == 2


def test_conflict_keeps_the_smaller_limit() -> None:
    bench = _build_bench()
    bench.tell(_events.tick(), "leases")
    bench.answer(bench.take_call(), _requests.StoreResult.ABSENT)
    bench.answer(bench.take_call(), _requests.StoreResult.CONFLICT)
    assert _get_limit(bench) == 0


@pytest.mark.parametrize("row", ["text", [1], [{"member": {}}], {}])
def test_malformed_row_is_not_overwritten(row: object) -> None:
    bench = _build_bench()
    bench.tell(_events.tick(), "leases")
    bench.answer(bench.take_call(), _requests.StoreResult.DONE, row, 1)
    assert bench.recorders["store"].take("call_store") == []


def test_starved_peer_brings_the_renewal_forward() -> None:
    bench = _build_bench()
    _renew(bench)
    bench.clock.advance(2 * SECOND)
    member = control_builders.build_member(9, 3000)
    gossip = core.Gossip(member, 1, starved=True)
    bench.tell(_events.peer_message_received(gossip), "leases")
    bench.tell(_events.tick(), "leases")
    assert bench.take_call().read == _leases.MEMBERS_ROW
