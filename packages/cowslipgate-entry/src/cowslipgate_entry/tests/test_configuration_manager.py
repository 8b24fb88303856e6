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


def _build_harness() -> control_builders.ComponentHarness:
    harness = control_builders.ComponentHarness(
        "store", "peers", "gateway", "dispatcher"
    )
    member = control_builders.build_member(1, 1000)
    _configuration_manager.ConfigurationManager(
        member, harness.clock
    ).register(harness.root)
    _patches.Patches().register(harness.root)
    harness.flush_all()
    return harness


def _push(
    harness: control_builders.ComponentHarness, version: int, document: bytes
) -> list[tuple]:
    compressed = core.compress_document(document)
    return _push_compressed(harness, version, compressed)


def _push_compressed(
    harness: control_builders.ComponentHarness, version: int, compressed: bytes
) -> list[tuple]:
    push = core.ConfigurationPush(2, version, compressed)
    harness.fire(_events.peer_message_received(push), "configuration-manager")
    return harness.recorders["dispatcher"].take("configuration_adopted")


@pytest.mark.parametrize(
    "document", [b"", b"{", b"\xff\xfe", b"[]", b'{"colours": {}}']
)
def test_malformed_push_is_not_adopted(document: bytes) -> None:
    harness = _build_harness()
    assert _push(harness, 1, document) == []
    assert harness.recorders["peers"].take("send_to_peer")
    assert len(_push(harness, 1, b"{}")) == 1


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
    harness = _build_harness()
    assert _push_compressed(harness, 1, compressed) == []
    assert len(_push(harness, 1, b"{}")) == 1


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
    harness = _build_harness()
    harness.fire(_events.tick(), "configuration-manager")
    call = harness.take_call()
    harness.answer(call, _requests.StoreResult.DONE, row, 1)
    adopted = harness.recorders["dispatcher"].take("configuration_adopted")
    assert adopted == []
    assert len(_push(harness, 1, b"{}")) == 1


def test_older_version_is_never_adopted() -> None:
    harness = _build_harness()
    assert len(_push(harness, 2, b"{}")) == 1
    assert _push(harness, 1, b"{}") == []
    assert _push(harness, 2, b"{}") == []


def test_repeated_requests_for_a_version_make_one_read() -> None:
    harness = _build_harness()
    for _ in range(100):
        harness.fire(
            _events.newer_configuration_reported(3), "configuration-manager"
        )
    assert len(harness.recorders["store"].take("call_store")) == 1


def test_new_version_is_read_in_time_despite_a_lost_read() -> None:
    slowest = 2 * _configuration_manager.READ_INTERVAL + _store.TIMEOUT
    assert slowest < IN_FORCE_WITHIN


def test_conflict_after_a_lost_answer_has_an_unknown_outcome() -> None:
    harness = _build_harness()
    patch = _requests.Patch(None, 0, "key", {})
    harness.fire(_events.patch_configuration(patch), "patches")
    for result in (
        _requests.StoreResult.ABSENT,
        _requests.StoreResult.ABSENT,
        _requests.StoreResult.LOST,
        _requests.StoreResult.ABSENT,
        _requests.StoreResult.ABSENT,
        _requests.StoreResult.CONFLICT,
    ):
        harness.answer(harness.take_call(), result)
    while not (decided := harness.recorders["gateway"].take("patch_resolved")):
        harness.answer(harness.take_call(), _requests.StoreResult.UNREACHABLE)
    ((_, outcome),) = decided
    assert outcome.problem is _requests.PatchProblem.OUTCOME_UNKNOWN


@pytest.mark.parametrize(("peers", "asked"), [(0, 0), (2, 2), (56, 3)])
def test_missing_version_is_requested_from_a_few_peers_in_turn(
    peers: int, asked: int
) -> None:
    harness = _build_harness()
    members = tuple(
        control_builders.build_member(number, 1000 + 2 * number)
        for number in range(1, peers + 2)
    )
    harness.fire(_events.members_changed(members), "configuration-manager")
    requested: list[int] = []
    for _ in range(peers):
        harness.clock.advance(_configuration_manager.FETCH_INTERVAL)
        harness.fire(
            _events.newer_configuration_reported(5), "configuration-manager"
        )
        requests = harness.recorders["peers"].take("send_to_peer")
        assert len(requests) == asked
        requested += [entry for entry, _ in requests]
    assert set(requested) == set(range(2, peers + 2))
