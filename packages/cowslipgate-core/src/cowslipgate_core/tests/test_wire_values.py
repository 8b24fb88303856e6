"""Tests of enum members whose value on the wire differs from their name."""

import enum

import cowslipgate_core as core
import msgspec
import pytest


@pytest.mark.parametrize(
    ("member", "value"),
    [
        (core.Reason.STALE_TOKEN, "outranked"),
        (core.StartReply.STALE_TOKEN, "outranked"),
    ],
)
def test_member_keeps_its_value_on_the_wire(
    member: enum.StrEnum, value: str
) -> None:
    encoded = msgspec.msgpack.encode(member)
    assert msgspec.msgpack.decode(encoded) == value
    assert msgspec.msgpack.decode(encoded, type=type(member)) is member


# Guards against an agent that handles no list of entries in such a heartbeat.
@pytest.mark.parametrize("heartbeat_ms", [86_400_001, 2**62, 2**63 - 1])
def test_heartbeat_with_an_interval_that_is_no_time_is_a_known_error(
    heartbeat_ms: int,
) -> None:
    beat = core.Beat(7, 1, (), heartbeat_ms=heartbeat_ms)
    with pytest.raises(core.WireError):
        core.decode_message(*core.encode_message(beat))
