"""Tests that each call ends, whatever is called and answers."""

import cowslipgate_core as core
import hypothesis
from hypothesis import strategies
import pytest

import cowslipgate_transport as transport
from cowslipgate_transport.tests import client_builders

HEAD = b"HTTP/1.1 200 OK\r\n"
DIGITS = "9" * 5_000


def test_answer_is_returned() -> None:
    harness = client_builders.get(HEAD + b"Content-Length: 2\r\n\r\n{}")
    assert [answer.body for answer in harness.answers] == [b"{}"]


# Guards against an interim response that is taken for the answer: an entry
# sends some to whoever waits, other entries too.
@pytest.mark.parametrize("piece", [0, 1, 13, 26])
def test_interim_responses_are_passed_over(piece: int) -> None:
    interim = b"HTTP/1.1 100 Continue\r\n\r\n"
    answer = HEAD + b"Content-Length: 2\r\n\r\n{}"
    harness = client_builders.get(interim * 2 + answer, piece)
    (found,) = harness.answers
    assert (found.status, found.body) == (200, b"{}")


# Guards against a call that ends by its timeout alone after an odd answer.
@pytest.mark.parametrize(
    "answer",
    [
        HEAD + b"Content-Length: two\r\n\r\n{}",
        HEAD + b"Content-Length: %b\r\n\r\n{}" % DIGITS.encode(),
        HEAD + b"X: \\x\r\nContent-Length: 2\r\n\r\n{}",
        b"HTTP/1.1 200 \\u\r\nContent-Length: 2\r\n\r\n{}",
        b"HTTP/%b.1 200 OK\r\nContent-Length: 2\r\n\r\n{}" % DIGITS.encode(),
        b"HTTP/1.1 2000 OK\r\n\r\n",
        b"odd\r\n\r\n",
        HEAD + b"no header\r\n\r\n",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\nx\r\n{}\r\n0\r\n\r\n",
    ],
)
def test_answer_that_is_not_http_fails_the_call(answer: bytes) -> None:
    harness = client_builders.get(answer)
    problems = [failure.problem for failure in harness.failures]
    assert problems == [transport.CallProblem.PROTOCOL]
    assert harness.errors == []


@hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
@hypothesis.given(
    strategies.binary(max_size=60), strategies.binary(max_size=9)
)
def test_any_answer_raises_no_error(head: bytes, body: bytes) -> None:
    harness = client_builders.get(HEAD + head + b"\r\n\r\n" + body)
    assert harness.errors == []


# Guards against a small answer that takes the process's memory.
@pytest.mark.parametrize("encoding", ["gzip", "deflate"])
def test_encoded_answer_is_not_expanded(encoding: str) -> None:
    size = 4 * transport.MAX_ANSWER_BYTES
    body = client_builders.compress(size, encoding)
    assert len(body) < transport.MAX_ANSWER_BYTES
    head = HEAD + f"Content-Encoding: {encoding}\r\n".encode()
    length = f"Content-Length: {len(body)}\r\n\r\n".encode()
    harness = client_builders.get(head + length + body)
    assert [answer.body for answer in harness.answers] == [body]


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
