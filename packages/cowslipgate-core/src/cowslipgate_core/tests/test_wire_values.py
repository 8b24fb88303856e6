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
