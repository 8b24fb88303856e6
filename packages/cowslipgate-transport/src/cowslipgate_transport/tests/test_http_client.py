"""Tests that each call ends, whatever is called and answers."""

import cowslipgate_core as core
import pytest

import cowslipgate_transport as transport
from cowslipgate_transport.tests import client_builders

HEAD = b"HTTP/1.1 200 OK\r\n"
DIGITS = "9" * 5_000


def test_answer_is_returned() -> None:
    harness = client_builders.get(HEAD + b"Content-Length: 2\r\n\r\n{}")
    assert [answer.body for answer in harness.answers] == [b"{}"]


# Guards against a call that never ends since its address raises an error.
@pytest.mark.parametrize(
    "address",
    [
        transport.Address("127.0.0.1", 65_536),
        transport.Address("127.0.0.1", -1),
        transport.Address("127.0.0.1", 2**70),
        transport.Address("127.0.0.1\0", 1),
        transport.Address("a" * 100, 1),
        transport.Address("127.0.0.256", 1),
    ],
)
def test_call_of_an_odd_address_fails(address: transport.Address) -> None:
    harness = client_builders.ClientHarness(core.ManualClock())
    harness.call(address)
    harness.run_round()
    problems = [failure.problem for failure in harness.failures]
    assert problems == [transport.CallProblem.UNREACHABLE]
    assert harness.errors == []


# Guards against an address that no socket accepts.
@pytest.mark.parametrize(
    "text",
    [
        "",
        "127.0.0.1",
        "127.0.0.1:",
        "127.0.0.1:0",
        "127.0.0.1:65536",
        "127.0.0.1:-1",
        "127.0.0.1: 9",
        "127.0.0.1:1_0",
        "127.0.0.1:\u0669",
        f"127.0.0.1:{DIGITS}",
        "127.0.0.256:9",
        "some.host:9",
        "[::1]:9",
        "https://127.0.0.1:9",
    ],
)
def test_text_that_is_no_address_is_a_known_error(text: str) -> None:
    with pytest.raises(ValueError, match="must be"):
        transport.parse_address(text)


@pytest.mark.parametrize("text", ["127.0.0.1:9", "http://127.0.0.1:9/"])
def test_address_is_parsed(text: str) -> None:
    assert transport.parse_address(text) == transport.Address("127.0.0.1", 9)
