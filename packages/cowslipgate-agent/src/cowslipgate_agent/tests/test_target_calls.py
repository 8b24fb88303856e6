"""Tests of the agent's calls of its target over real sockets."""

from collections.abc import Iterator
import socket
import struct

import cowslipgate_core as core
import pytest

from cowslipgate_agent.tests import builders

LOST = (core.Outcome.UNKNOWN, core.Reason.TARGET_LOST)
FINISHED = (core.Outcome.FINISHED, core.Reason.NONE)


@pytest.fixture
def rig() -> Iterator[builders.Rig]:
    rig = builders.Rig()
    yield rig
    rig.close()


def _await_calls(
    rig: builders.Rig, target: builders.Listener, count: int = 1
) -> list[socket.socket]:
    rig.run_until(lambda: len(target.find("POST")) == count, "called")
    return target.find("POST")


def _reset(sock: socket.socket) -> None:
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    sock.close()


def test_answer_with_another_task_id_is_not_taken(rig: builders.Rig) -> None:
    target = rig.listen()
    rig.start(1, target.port)
    (connection,) = _await_calls(rig, target)
    target.answer(connection, "job.0.2", b'"tags of another shop"')
    rig.run_until(lambda: rig.recorder.reports, "ended")
    assert rig.outcomes == [(core.Outcome.UNKNOWN, core.Reason.WRONG_TASK)]
    assert rig.recorder.reports[0].result == b"null"


def test_nobody_listening_means_not_started(rig: builders.Rig) -> None:
    target = rig.listen()
    target.close()
    rig.start(1, target.port)
    rig.run_until(lambda: rig.recorder.reports, "ended")
    assert rig.outcomes == [
        (core.Outcome.NOT_STARTED, core.Reason.TARGET_UNREACHABLE)
    ]


@pytest.mark.parametrize("end", [socket.socket.close, _reset])
def test_connection_cut_after_the_request_is_unknown(
    rig: builders.Rig, end: object
) -> None:
    target = rig.listen()
    rig.start(1, target.port)
    (connection,) = _await_calls(rig, target)
    end(connection)
    rig.run_until(lambda: rig.recorder.reports, "ended")
    assert rig.outcomes == [LOST]


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nTask-Id: job.0.1\r\nContent-Length: 9\r\n\r\n1",
        b"HTTP/1.1 200 OK\r\nTask-Id: job.0.1\r\nConte",
        b"garbage\r\n\r\n",
    ],
)
def test_answer_cut_in_the_middle_is_unknown(
    rig: builders.Rig, answer: bytes
) -> None:
    target = rig.listen()
    rig.start(1, target.port)
    (connection,) = _await_calls(rig, target)
    connection.sendall(answer)
    connection.close()
    rig.run_until(lambda: rig.recorder.reports, "ended")
    assert rig.outcomes == [LOST]


def test_answer_that_never_comes_is_unknown(rig: builders.Rig) -> None:
    target = rig.listen()
    rig.start(1, target.port)
    _await_calls(rig, target)
    rig.advance(61)
    assert rig.outcomes == [LOST]


def test_connection_that_the_target_closed_is_not_used_again(
    rig: builders.Rig,
) -> None:
    target = rig.listen()
    rig.start(1, target.port)
    (connection,) = _await_calls(rig, target)
    target.answer(connection, "job.0.1")
    rig.run_until(lambda: rig.recorder.reports, "ended")
    connection.close()
    rig.start(2, target.port)
    (fresh,) = _await_calls(rig, target)
    target.answer(fresh, "job.0.2")
    rig.run_until(lambda: len(rig.outcomes) == 2, "ended")
    assert rig.outcomes == [FINISHED, FINISHED]


def test_connections_are_limited_with_stops_included(
    rig: builders.Rig,
) -> None:
    target = rig.listen()
    starts = [rig.start(n, target.port, connections=2) for n in (1, 2, 3)]
    _await_calls(rig, target, 2)
    rig.stop(starts[0])
    for _ in range(20):
        rig.turn()
    assert len(target.connections) == 2
    for connection in target.find("POST"):
        task = target.received[connection].split(b"Task-Id: ")[1].split()[0]
        target.answer(connection, task.decode())
    rig.run_until(lambda: len(rig.outcomes) == 2, "two ended")
    rig.run_until(lambda: target.find("POST"), "the third is called")
    assert len(target.connections) == 2


def test_stop_goes_to_the_target_that_runs_the_task(
    rig: builders.Rig,
) -> None:
    old, new = rig.listen(), rig.listen()
    start = rig.start(1, old.port)
    _await_calls(rig, old)
    rig.start(2, new.port)
    rig.stop(start)
    rig.run_until(lambda: old.find("DELETE"), "asked to stop")
    (connection,) = old.find("DELETE")
    assert b"DELETE /run/job.0.1 " in old.received[connection]
    assert not new.find("DELETE")


def test_stop_without_an_answer_is_repeated_and_ends_nothing(
    rig: builders.Rig,
) -> None:
    target = rig.listen()
    start = rig.start(1, target.port)
    (running,) = _await_calls(rig, target)
    rig.stop(start)
    for _ in range(10):
        rig.advance(3)
    stops = [
        data for data in target.received.values() if data.startswith(b"DELETE")
    ]
    assert (len(stops), rig.outcomes) == (3, [])
    target.answer(running, "job.0.1")
    rig.run_until(lambda: rig.recorder.reports, "ended")
    assert rig.outcomes == [FINISHED]


def test_stop_of_a_task_that_has_ended_is_not_sent(rig: builders.Rig) -> None:
    target = rig.listen()
    start = rig.start(1, target.port)
    (connection,) = _await_calls(rig, target)
    target.answer(connection, "job.0.1")
    rig.run_until(lambda: rig.recorder.reports, "ended")
    rig.stop(start)
    for _ in range(20):
        rig.turn()
    assert not target.find("DELETE")


@pytest.mark.parametrize("kind", ["بطاقة", "tag\r\nEvil: 1"])
def test_any_kind_reaches_the_target_as_one_header(
    rig: builders.Rig, kind: str
) -> None:
    target = rig.listen()
    rig.start(1, target.port, kind=kind)
    (connection,) = _await_calls(rig, target)
    assert b"\r\nEvil" not in target.received[connection]


def test_oversized_answer_is_cut_off(rig: builders.Rig) -> None:
    target = rig.listen()
    rig.start(1, target.port)
    (connection,) = _await_calls(rig, target)
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
        return bool(rig.recorder.reports)

    rig.run_until(feed, "cut off")
    rig.run_until(lambda: rig.recorder.reports, "ended")
    assert rig.outcomes == [LOST]
