"""Any bytes of a message are decoded or raise the known error.

One malformed message must not end a process: transport turns a WireError into
an event, and drops the message.
"""

import cowslipgate_core as core
import hypothesis
from hypothesis import strategies
import msgspec
import pytest

KINDS = [cls.__name__.encode() for cls in core.MESSAGE_TYPES]
_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats()
    | strategies.text(max_size=20)
    | strategies.binary(max_size=20),
    lambda values: (
        strategies.lists(values, max_size=4)
        | strategies.dictionaries(
            strategies.text(max_size=8), values, max_size=4
        )
    ),
    max_leaves=12,
)
_SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=60
)


def _decode(kind: bytes, body: bytes) -> None:
    try:
        core.decode_message(kind, body)
    except core.WireError:
        pass


@pytest.mark.parametrize("kind", [*KINDS, b"Unknown", b"", b"\xff" * 40])
@_SETTINGS
@hypothesis.given(body=strategies.binary(max_size=200))
def test_any_bytes_are_decoded_or_refused(kind: bytes, body: bytes) -> None:
    _decode(kind, body)


@pytest.mark.parametrize("cls", core.MESSAGE_TYPES, ids=lambda c: c.__name__)
@_SETTINGS
@hypothesis.given(data=strategies.data())
def test_fields_of_other_types_are_decoded_or_refused(
    cls: type, data: strategies.DataObject
) -> None:
    names = [field.name for field in cls.__attrs_attrs__]
    body = {name: data.draw(_VALUES) for name in names}
    _decode(cls.__name__.encode(), msgspec.msgpack.encode(body))


@pytest.mark.parametrize("depth", [100, 100_000])
def test_deep_nesting_is_refused(depth: int) -> None:
    # 0x91 opens a list of one element.
    for kind in KINDS:
        with pytest.raises(core.WireError):
            core.decode_message(kind, b"\x91" * depth)
