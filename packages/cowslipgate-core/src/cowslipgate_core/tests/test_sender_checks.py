"""Tests of malformed messages and forged senders on internal sockets."""

import time

import attrs
import hypothesis
from hypothesis import strategies
import msgspec
import pytest

import cowslipgate_core as core
from cowslipgate_core.tests import builders

MEMBER = core.Member(7, "tcp://127.0.0.1:1", "127.0.0.1:2", "kaai-zuid")
MESSAGES = (
    builders.build_report(),
    builders.build_results(core.AttemptReport(1, core.Outcome.FINISHED)),
    builders.build_dispatch(builders.build_order(1)),
    core.Withdraw(7, 1, (1, 2), True),
    core.Acknowledge(7, (1,)),
    core.Beat(7, 1, (MEMBER,)),
    core.Goodbye("agent-1", 1, 2),
    core.Release(7, 2, (1,)),
    core.Gossip(MEMBER, 1, (MEMBER,), True, 3),
    core.ConfigurationPush(7, 1, b"{}"),
    core.ConfigurationRequest(7),
    core.ConfigurationAcknowledge(7, 1),
    core.CancelRequest(1, 7, "hall"),
    core.CancelReply(1, 7, 0),
)
MAX_DECODING_SECONDS = 0.2
"""Longest processor time for a message; other processes don't count."""

KINDS = [type(message).__name__.encode() for message in MESSAGES]


def _decode(kind: bytes, body: bytes) -> object:
    began = time.thread_time()
    try:
        return core.decode_message(kind, body)
    except core.WireError:
        return None
    finally:
        assert time.thread_time() - began < MAX_DECODING_SECONDS


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_decoded_message_equals_the_encoded_one(message: object) -> None:
    assert core.decode_message(*core.encode_message(message)) == message


@hypothesis.given(
    kind=strategies.sampled_from(KINDS) | strategies.binary(max_size=40),
    body=strategies.binary(max_size=200),
)
@hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=300
)
def test_random_frames_raise_only_wire_errors(
    kind: bytes, body: bytes
) -> None:
    _decode(kind, body)


@hypothesis.given(
    message=strategies.sampled_from(MESSAGES),
    data=strategies.data(),
)
@hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=300
)
def test_corrupted_messages_raise_only_wire_errors(
    message: object, data: strategies.DataObject
) -> None:
    kind, body = core.encode_message(message)
    corrupted = bytearray(body)
    for _ in range(data.draw(strategies.integers(1, 4))):
        position = data.draw(strategies.integers(0, len(corrupted) - 1))
        corrupted[position] = data.draw(strategies.integers(0, 255))
    decoded = _decode(kind, bytes(corrupted))
    core.find_message_fault(decoded, b"agent-1/1")


@pytest.mark.parametrize(
    "change",
    [
        {"load": {"slots": -1, "own": 0, "others": 0}},
        {"incarnation": -1},
        {"resources": {"memory_mb": -5, "accelerators": 0}},
        {"agent": "a" * 300},
        {"link": -1},
    ],
)
def test_out_of_range_field_of_a_report_is_malformed(change: dict) -> None:
    body = msgspec.to_builtins(builders.build_report()) | change
    with pytest.raises(core.WireError):
        core.decode_message(b"Report", msgspec.msgpack.encode(body))


@pytest.mark.parametrize(
    "milliseconds", [-1.0, float("nan"), float("inf"), float("-inf")]
)
def test_invalid_run_times_are_malformed(milliseconds: float) -> None:
    report = core.AttemptReport(1, core.Outcome.FINISHED, run_ms=milliseconds)
    frames = core.encode_message(builders.build_results(report))
    with pytest.raises(core.WireError):
        core.decode_message(*frames)


@pytest.mark.parametrize(
    ("message", "identity", "allowed"),
    [
        (builders.build_report(), b"agent-1/1", True),
        (builders.build_report(), b"agent-2/1", False),
        (builders.build_report(), b"agent-1/2", False),
        (builders.build_report(agent="a b"), b"a b/1", False),
        (builders.build_report(agent="x/1"), b"x/1/1", False),
        (builders.build_results(), b"agent-1/1", True),
        (builders.build_results(), b"agent-9/1", False),
        (core.Goodbye("agent-1", 1, 2), b"agent-1/1", True),
        (core.Goodbye("agent-1", 1, 2), b"agent-2/1", False),
        (core.Release(7, 2), b"entry-7:1", False),
        (core.Gossip(MEMBER, 1, (), {}), b"entry-7:1", True),
        (core.Gossip(MEMBER, 1, (), {}), b"entry-8:1", False),
        (core.Gossip(MEMBER, 1, (), {}), b"entry-7", False),
        (core.Gossip(MEMBER, 1, (), {}), b"entry-7/1", False),
        (core.ConfigurationPush(7, 9, b"{}"), b"agent-1/1", False),
        (core.CancelRequest(1, 7, "hall"), b"entry-7:1", True),
        (builders.build_dispatch(), b"entry-7:1", False),
        (attrs.evolve(MEMBER), b"entry-7:1", False),
    ],
)
def test_messages_are_accepted_from_their_sender_only(
    message: object, identity: bytes, allowed: bool
) -> None:
    assert (core.find_message_fault(message, identity) == "") is allowed
