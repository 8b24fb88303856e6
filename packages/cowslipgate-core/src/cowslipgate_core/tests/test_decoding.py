"""Tests of decoding answers that hold rows of several writers."""

import json

import cowslipgate_core as core
import hypothesis
from hypothesis import strategies
import msgspec
import pytest

DEEP = b"[" * 50_000 + b"]" * 50_000
_PAGE_DECODER = msgspec.json.Decoder(dict[str, list[msgspec.Raw]])
_LIST_DECODER = msgspec.json.Decoder(list[msgspec.Raw])

JSON_VALUES = strategies.recursive(
    strategies.none() | strategies.integers() | strategies.text(),
    lambda children: (
        strategies.lists(children)
        | strategies.dictionaries(strategies.text(), children)
    ),
)


def _decode_page(data: bytes) -> list[bytes]:
    page = core.decode_rows(_PAGE_DECODER, data, b"page")
    return [bytes(row) for row in page["rows"]]


# Guards against a whole answer that is lost because of one row.
@pytest.mark.parametrize(
    "odd", [DEEP, b'{"a":%b}' % DEEP, b'"\\ud800"', b'{"a":"\\ud800]["}']
)
@hypothesis.settings(derandomize=True, deadline=None, max_examples=20)
@hypothesis.given(strategies.lists(JSON_VALUES, min_size=2, max_size=4))
def test_undecodable_row_is_null_and_the_others_are_unchanged(
    odd: bytes, values: list[object]
) -> None:
    others = [json.dumps(value).encode() for value in values]
    rows = [others[0], odd, *others[1:]]
    assert _decode_page(b'{"rows":[%b]}' % b", ".join(rows)) == [
        others[0],
        b"null",
        *others[1:],
    ]


# Guards against a process that stands still over an answer of many MB.
def test_large_answer_with_an_undecodable_row_is_a_known_error() -> None:
    deep = b"[" * 1_100_000 + b"]" * 1_100_000
    with pytest.raises(core.WireError):
        _decode_page(b'{"rows":[1,%b]}' % deep)


def test_rows_of_a_plain_list_are_decoded() -> None:
    rows = core.decode_rows(
        _LIST_DECODER, b'[{"a":1},%b,2]' % DEEP, b"list", depth=1
    )
    assert [bytes(row) for row in rows] == [b'{"a":1}', b"null", b"2"]


@pytest.mark.parametrize(
    "data", [DEEP, b"[" * 50_000, b'{"rows":[%b' % DEEP, b"\xff", b"", b"7"]
)
def test_answer_that_cannot_be_decoded_is_a_known_error(data: bytes) -> None:
    with pytest.raises(core.WireError):
        _decode_page(data)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(strategies.binary(max_size=100))
def test_any_bytes_are_decoded_or_raise_the_known_error(data: bytes) -> None:
    try:
        _decode_page(b'{"rows":[%b]}' % data)
    except core.WireError:
        pass
