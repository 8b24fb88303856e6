"""Tests of the agent's calls of its target with real sockets."""

from collections.abc import Iterator
import socket
import struct

import cowslipgate_core as core
import pytest

from cowslipgate_agent.tests import builders

LOST = (core.Outcome.UNKNOWN, core.Reason.TARGET_LOST)
FINISHED = (core.Outcome.FINISHED, core.Reason.NONE)


@pytest.fixture
def harness() -> Iterator[builders.CallsHarness]:
    harness = builders.CallsHarness()
    yield harness
    harness.close()


def _await_calls(
    harness: builders.CallsHarness, target: builders.FakeTarget, count: int = 1
) -> list[socket.socket]:
    harness.run_until(lambda: len(target.find("POST")) == count, "called")
    return target.find("POST")


def _reset(sock: socket.socket) -> None:
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    sock.close()


def test_answer_with_another_task_id_is_rejected(
    harness: builders.CallsHarness,
) -> None:
    target = harness.add_target()
    harness.start(1, target.port)
    (connection,) = _await_calls(harness, target)
    target.answer(connection, "job.0.2", b'"tags of another shop"')
    harness.run_until(lambda: harness.recorder.reports, "ended")
    assert harness.outcomes == [(core.Outcome.UNKNOWN, core.Reason.WRONG_TASK)]
    assert harness.recorder.reports[0].result == b"null"


def test_unreachable_target_means_not_started(
    harness: builders.CallsHarness,
) -> None:
    target = harness.add_target()
    target.close()
    harness.start(1, target.port)
    harness.run_until(lambda: harness.recorder.reports, "ended")
    assert harness.outcomes == [
        (core.Outcome.NOT_STARTED, core.Reason.TARGET_UNREACHABLE)
    ]


@pytest.mark.parametrize("end", [socket.socket.close, _reset])
def test_connection_cut_after_the_request_is_unknown(
    harness: builders.CallsHarness, end: object
) -> None:
    target = harness.add_target()
    harness.start(1, target.port)
    (connection,) = _await_calls(harness, target)
    end(connection)
    harness.run_until(lambda: harness.recorder.reports, "ended")
    assert harness.outcomes == [LOST]


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nTask-Id: job.0.1\r\nContent-Length: 9\r\n\r\n1",
        b"HTTP/1.1 200 OK\r\nTask-Id: job.0.1\r\nConte",
        b"garbage\r\n\r\n",
    ],
)
def test_answer_cut_in_the_middle_is_unknown(
    harness: builders.CallsHarness, answer: bytes
) -> None:
    target = harness.add_target()
    harness.start(1, target.port)
    (connection,) = _await_calls(harness, target)
    connection.sendall(answer)
    connection.close()
    harness.run_until(lambda: harness.recorder.reports, "ended")
    assert harness.outcomes == [LOST]


def test_answer_that_never_comes_is_unknown(
    harness: builders.CallsHarness,
) -> None:
    target = harness.add_target()
    harness.start(1, target.port)
    _await_calls(harness, target)
    harness.advance(61)
    assert harness.outcomes == [LOST]


def test_connection_that_the_target_closed_is_not_used_again(
    harness: builders.CallsHarness,
) -> None:
    target = harness.add_target()
    harness.start(1, target.port)
    (connection,) = _await_calls(harness, target)
    target.answer(connection, "job.0.1")
    harness.run_until(lambda: harness.recorder.reports, "ended")
    connection.close()
    harness.start(2, target.port)
    (fresh,) = _await_calls(harness, target)
    target.answer(fresh, "job.0.2")
    harness.run_until(lambda: len(harness.outcomes) == 2, "ended")
    assert harness.outcomes == [FINISHED, FINISHED]


def test_connections_are_limited_with_stops_included(
    harness: builders.CallsHarness,
) -> None:
    target = harness.add_target()
    starts = [harness.start(n, target.port, connections=2) for n in (1, 2, 3)]
    _await_calls(harness, target, 2)
    harness.stop(starts[0])
    for _ in range(20):
        harness.run_round()
    assert len(target.connections) == 2
    for connection in target.find("POST"):
        task = target.received[connection].split(b"Task-Id: ")[1].split()[0]
        target.answer(connection, task.decode())
    harness.run_until(lambda: len(harness.outcomes) == 2, "two ended")
    harness.run_until(lambda: target.find("POST"), "the third is called")
    assert len(target.connections) == 2


def test_stop_goes_to_the_target_that_runs_the_task(
    harness: builders.CallsHarness,
) -> None:
    old, new = harness.add_target(), harness.add_target()
    start = harness.start(1, old.port)
    _await_calls(harness, old)
    harness.start(2, new.port)
    harness.stop(start)
    harness.run_until(lambda: old.find("DELETE"), "asked to stop")
    (connection,) = old.find("DELETE")
    assert b"DELETE /run/job.0.1 " in old.received[connection]
    assert not new.find("DELETE")


def test_stop_without_an_answer_is_repeated_and_ends_nothing(
    harness: builders.CallsHarness,
) -> None:
    target = harness.add_target()
    start = harness.start(1, target.port)
    (running,) = _await_calls(harness, target)
    harness.stop(start)
    for _ in range(10):
        harness.advance(3)
    stops = [
        data for data in target.received.values() if data.startswith(b"DELETE")
    ]
    assert (len(stops), harness.outcomes) == (3, [])
    target.answer(running, "job.0.1")
    harness.run_until(lambda: harness.recorder.reports, "ended")
    assert harness.outcomes == [FINISHED]


def test_stop_of_a_task_that_has_ended_is_not_sent(
    harness: builders.CallsHarness,
) -> None:
    target = harness.add_target()
    start = harness.start(1, target.port)
    (connection,) = _await_calls(harness, target)
    target.answer(connection, "job.0.1")
    harness.run_until(lambda: harness.recorder.reports, "ended")
    harness.stop(start)
    for _ in range(20):
        harness.run_round()
    assert not target.find("DELETE")


@pytest.mark.parametrize("kind", ["بطاقة", "tag\r\nEvil: 1"])
def test_any_kind_reaches_the_target_as_one_header(
    harness: builders.CallsHarness, kind: str
) -> None:
    target = harness.add_target()
    harness.start(1, target.port, kind=kind)
    (connection,) = _await_calls(harness, target)
    assert b"\r\nEvil" not in target.received[connection]


def test_oversized_answer_is_cut_off(harness: builders.CallsHarness) -> None:
    target = harness.add_target()
    harness.start(1, target.port)
    (connection,) = _await_calls(harness, target)
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"
    connection.sendall(head)
    chunk = bytes(65_536)

    def feed() -> bool:
        try:
            connection.send(chunk)
        except BlockingIOError:
            pass
        except OSError:
            return True
        return bool(harness.recorder.reports)

    harness.run_until(feed, "cut off")
    harness.run_until(lambda: harness.recorder.reports, "ended")
    assert harness.outcomes == [LOST]
