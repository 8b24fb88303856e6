"""Tests of adopting, storing and distributing the configuration."""

import datetime

import cowslipgate_core as core
import pytest

from cowslipgate_entry import _events
from cowslipgate_entry.callers import _requests
from cowslipgate_entry.store import _configuration_manager
from cowslipgate_entry.store import _patches
from cowslipgate_entry.store import _store
from cowslipgate_entry.tests import control_builders

IN_FORCE_WITHIN = datetime.timedelta(seconds=12)


def _build_bench() -> control_builders.ComponentHarness:
    bench = control_builders.ComponentHarness(
        "store", "peers", "gateway", "dispatcher"
    )
    member = control_builders.build_member(1, 1000)
    _configuration_manager.ConfigurationManager(member, bench.clock).register(
        bench.root
    )
    _patches.Patches().register(bench.root)
    bench.settle()
    return bench


def _push(
    bench: control_builders.ComponentHarness, version: int, document: bytes
) -> list[tuple]:
    compressed = core.compress_document(document)
    return _push_compressed(bench, version, compressed)


def _push_compressed(
    bench: control_builders.ComponentHarness, version: int, compressed: bytes
) -> list[tuple]:
    push = core.ConfigurationPush(2, version, compressed)
    bench.tell(_events.peer_message_received(push), "configuration-manager")
    return bench.recorders["dispatcher"].take("configuration_adopted")


@pytest.mark.parametrize(
    "document", [b"", b"{", b"\xff\xfe", b"[]", b'{"colours": {}}']
)
def test_malformed_push_is_not_adopted(document: bytes) -> None:
    bench = _build_bench()
    assert _push(bench, 1, document) == []
    assert bench.recorders["peers"].take("send_to_peer")
    assert len(_push(bench, 1, b"{}")) == 1


@pytest.mark.parametrize(
    "compressed",
    [
        b"",
        b"{}",
        core.compress_document(b"{}")[:-1],
        core.compress_document(b" " * core.MAX_DOCUMENT_BYTES + b"{}"),
    ],
    ids=["empty", "not compressed", "cut off", "too large"],
)
def test_push_that_cannot_be_expanded_is_not_adopted(
    compressed: bytes,
) -> None:
    bench = _build_bench()
    assert _push_compressed(bench, 1, compressed) == []
    assert len(_push(bench, 1, b"{}")) == 1


@pytest.mark.parametrize(
    "row",
    [
        None,
        {},
        {"version": "1", "document": {}},
        {"version": -5, "document": {}},
        {"version": 1, "document": {"colours": {}}},
    ],
)
def test_malformed_row_is_not_adopted(row: object) -> None:
    bench = _build_bench()
    bench.tell(_events.tick(), "configuration-manager")
    call = bench.take_call()
    bench.answer(call, _requests.StoreResult.DONE, row, 1)
    adopted = bench.recorders["dispatcher"].take("configuration_adopted")
    assert adopted == []
    assert len(_push(bench, 1, b"{}")) == 1


def test_older_version_is_never_adopted() -> None:
    bench = _build_bench()
    assert len(_push(bench, 2, b"{}")) == 1
    assert _push(bench, 1, b"{}") == []
    assert _push(bench, 2, b"{}") == []


def test_repeated_requests_for_a_version_make_one_read() -> None:
    bench = _build_bench()
    for _ in range(100):
        bench.tell(
            _events.newer_configuration_reported(3), "configuration-manager"
        )
    assert len(bench.recorders["store"].take("call_store")) == 1


def test_new_version_is_read_in_time_despite_a_lost_read() -> None:
    slowest = 2 * _configuration_manager.READ_INTERVAL + _store.TIMEOUT
    assert slowest < IN_FORCE_WITHIN


def test_conflict_after_a_lost_answer_has_an_unknown_outcome() -> None:
    bench = _build_bench()
    patch = _requests.Patch(None, 0, "key", {})
    bench.tell(_events.patch_configuration(patch), "patches")
    for result in (
        _requests.StoreResult.ABSENT,
        _requests.StoreResult.ABSENT,
        _requests.StoreResult.LOST,
        _requests.StoreResult.ABSENT,
        _requests.StoreResult.ABSENT,
        _requests.StoreResult.CONFLICT,
    ):
        bench.answer(bench.take_call(), result)
    while not (decided := bench.recorders["gateway"].take("patch_resolved")):
        bench.answer(bench.take_call(), _requests.StoreResult.UNREACHABLE)
    ((_, outcome),) = decided
    assert outcome.problem is _requests.PatchProblem.OUTCOME_UNKNOWN


@pytest.mark.parametrize(("peers", "asked"), [(0, 0), (2, 2), (56, 3)])
def test_missing_version_is_requested_from_a_few_peers_in_turn(
    peers: int, asked: int
) -> None:
    bench = _build_bench()
    members = tuple(
        control_builders.build_member(number, 1000 + 2 * number)
        for number in range(1, peers + 2)
    )
    bench.tell(_events.members_changed(members), "configuration-manager")
    requested: list[int] = []
    for _ in range(peers):
        bench.clock.advance(_configuration_manager.FETCH_INTERVAL)
        bench.tell(
            _events.newer_configuration_reported(5), "configuration-manager"
        )
        requests = bench.recorders["peers"].take("send_to_peer")
        assert len(requests) == asked
        requested += [entry for entry, _ in requests]
    assert set(requested) == set(range(2, peers + 2))
