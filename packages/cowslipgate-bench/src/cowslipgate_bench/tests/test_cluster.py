"""Tests of the deployment's waits and ports."""

import http.client
import pathlib
import socket
import threading

from cowslipgate_bench import _cluster
from cowslipgate_bench import _exceptions
from cowslipgate_bench import _waits
import pytest


def test_wait_goes_on_after_a_lost_connection() -> None:
    errors = [http.client.RemoteDisconnected(), ConnectionRefusedError()]

    def check() -> bool:
        if errors:
            raise errors.pop()
        return True

    _waits.wait_until(check, "an answer")
    assert errors == []


def test_chosen_port_is_reserved_and_can_be_served() -> None:
    (port,) = _cluster.choose_ports(1)
    with socket.socket() as other:
        with pytest.raises(OSError, match="in use"):
            other.bind((_cluster.HOST, port))
    with socket.create_server((_cluster.HOST, port)):
        socket.create_connection((_cluster.HOST, port)).close()


# Guards against a journal that is read while a target writes to it: a line
# that goes over the end of a page is seen by half.
def test_line_that_is_half_written_is_read_whole(
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / "target-0.jsonl"
    path.write_text('{"a": 1}\n{"b"')

    def write_rest() -> None:
        with path.open("a") as journal:
            journal.write(": 2}\n")

    timer = threading.Timer(0.1, write_rest)
    timer.start()
    assert _cluster.read_lines(path) == ['{"a": 1}', '{"b": 2}']
    timer.join()


def test_line_that_stays_half_written_is_a_fault(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_waits, "WAIT_SECONDS", 0.1)
    path = tmp_path / "target-0.jsonl"
    path.write_text('{"a": 1}\n{"b"')
    with pytest.raises(_exceptions.WaitTimeout):
        _cluster.read_lines(path)
