"""Tests of log lines whose reader is slow or stalled."""

from collections.abc import Iterator
import json
import os
from typing import TextIO

import circuits
import pytest

from cowslipgate_transport import _changes
from cowslipgate_transport import _logs

LINE = "x" * 99 + "\n"


@pytest.fixture
def pipe() -> Iterator[tuple[int, TextIO]]:
    """Yield the reading end of a pipe and a stream that writes to it."""
    reading, writing = os.pipe()
    with open(writing, "w") as stream:
        yield reading, stream
    os.close(reading)


def _fill(buffer: _logs.Buffer) -> int:
    """Write lines until the pipe is full; return how many it took."""
    count = 0
    while not len(buffer):
        buffer.add(LINE)
        buffer.flush()
        count += 1
    return count - 1


def test_flush_does_not_block_on_a_stalled_reader(
    pipe: tuple[int, TextIO],
) -> None:
    buffer = _logs.Buffer(pipe[1])
    assert _fill(buffer) > 0
    # A blocking write would hang here.
    buffer.flush()
    assert len(buffer) == 1
    os.read(pipe[0], 65_536)
    buffer.flush()
    assert len(buffer) == 0


def test_lines_beyond_the_bound_are_dropped_and_counted(
    pipe: tuple[int, TextIO],
) -> None:
    buffer = _logs.Buffer(pipe[1])
    _fill(buffer)
    kept = _logs.MAX_WAITING_BYTES // len(LINE)
    for _ in range(kept + 7):
        buffer.add(LINE)
    assert len(buffer) == kept
    # One line was buffered before.
    assert buffer.take_dropped() == 8
    assert buffer.take_dropped() == 0
    while len(buffer):
        os.read(pipe[0], 65_536)
        buffer.flush()


def _flush_events(root: circuits.BaseComponent) -> None:
    while len(root):
        root.flush()


def test_dropped_lines_are_logged(pipe: tuple[int, TextIO]) -> None:
    root = circuits.BaseComponent(channel="root")
    _logs.Logs("json", "info", {"role": "entry"}, pipe[1]).register(root)
    change = _changes.ProcessStarted("entry", "n" * 1_000, "ruwi", ())
    for _ in range(2 * _logs.MAX_WAITING_BYTES // 1_000):
        root.fire(_changes.changed(change), _logs.CHANNEL)
    _flush_events(root)
    text = b""
    while b"LinesDropped" not in text:
        root.fire(_logs.write_lines(), _logs.CHANNEL)
        _flush_events(root)
        text += os.read(pipe[0], 1_048_576)
    lines = [json.loads(line) for line in text.splitlines()]
    (dropped,) = [line for line in lines if line["event"] == "LinesDropped"]
    assert dropped["count"] > 0
    assert dropped["role"] == "entry"
