"""Log lines for changes, as JSON lines or for a console.

Lines are buffered and written a few times a second. If the reader is too slow,
lines are dropped and counted; a running process never waits for the reader.
"""

import collections
import select
import sys
from typing import TextIO

import attrs
import circuits
import logbook
import msgspec

from cowslipgate_transport import _changes
from cowslipgate_transport import _timer

LOGGER = "cowslipgate"
CHANNEL = "logs"

FLUSH_SECONDS = 0.2
"""Interval between writes; each costs a system call."""

MAX_WAITING_BYTES = 262_144
"""Maximum text that waits for the reader; about 600 lines."""

CHUNK_BYTES = 4_096
"""Bytes that a pipe reported as writable accepts without blocking."""

_CONSOLE_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name:7} "
    "{record.message}{record.extra[fields]}"
)
_JSON_FORMAT = "{record.extra[line]}"
_ISO_FORMAT = "%Y-%m-%dT%H:%M:%S.%fZ"


class write_lines(circuits.Event):
    """Asks to write the buffered lines."""


class Buffer:
    """Bounded buffer of lines that are to be written to a stream.

    :param stream: destination; if it has a descriptor, that is polled
        before each write
    """

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream
        self._lines: collections.deque[str] = collections.deque()
        self._size = 0
        self._dropped = 0
        self._poll = _make_poll(stream)

    def __len__(self) -> int:
        return len(self._lines)

    def add(self, line: str) -> None:
        """Buffer a line, or count it as dropped if the buffer is full."""
        if self._size + len(line) > MAX_WAITING_BYTES:
            self._dropped += 1
            return
        self._lines.append(line)
        self._size += len(line)

    def take_dropped(self) -> int:
        """Return the number of lines dropped since the last call."""
        dropped, self._dropped = self._dropped, 0
        return dropped

    def flush(self, until_empty: bool = False) -> None:
        """Write what the stream accepts now.

        :param until_empty: whether to block until every line is written
        """
        while self._lines and (until_empty or self._is_writable()):
            self._stream.write(self._take_chunk())
            self._stream.flush()

    def _is_writable(self) -> bool:
        return self._poll is None or bool(self._poll.poll(0))

    def _take_chunk(self) -> str:
        chunk = [self._lines.popleft()]
        size = len(chunk[0])
        while self._lines and size + len(self._lines[0]) <= CHUNK_BYTES:
            chunk.append(self._lines.popleft())
            size += len(chunk[-1])
        self._size -= size
        return "".join(chunk)


class _BufferHandler(logbook.Handler, logbook.StringFormatterHandlerMixin):
    def __init__(self, buffer: Buffer, level: str, template: str) -> None:
        logbook.Handler.__init__(self, level, bubble=False)
        logbook.StringFormatterHandlerMixin.__init__(self, template)
        self._buffer = buffer

    def emit(self, record: logbook.LogRecord) -> None:
        self._buffer.add(self.format(record) + "\n")


class Logs(circuits.BaseComponent):
    """Writes a line for each change.

    :param form: ``json`` or ``console``
    :param level: lowest level that is written
    :param source: fields added to every line to identify the process
    :param stream: destination; None for standard error
    """

    channel = CHANNEL

    def __init__(
        self,
        form: str,
        level: str,
        source: dict[str, object],
        stream: TextIO | None = None,
    ) -> None:
        super().__init__()
        self._source = source
        self._buffer = Buffer(stream or sys.stderr)
        template = _JSON_FORMAT if form == "json" else _CONSOLE_FORMAT
        self._handler = _BufferHandler(self._buffer, level.upper(), template)
        self._countdown = _timer.Countdown(write_lines(), CHANNEL).register(
            self
        )

    @circuits.handler("changed", channel="*")
    def _on_changed(self, change: _changes.Change) -> None:
        self._log(change)
        if not self._countdown.running:
            self._countdown.start(FLUSH_SECONDS)

    @circuits.handler("write_lines")
    def _on_write_lines(self) -> None:
        dropped = self._buffer.take_dropped()
        self._buffer.flush()
        if dropped:
            self._on_changed(_changes.LinesDropped(dropped))
        elif len(self._buffer):
            self._countdown.start(FLUSH_SECONDS)

    def write(self, change: _changes.Change) -> None:
        """Write a change's line at once, blocking, at start or shutdown."""
        self._log(change)
        self._buffer.flush(until_empty=True)

    def _log(self, change: _changes.Change) -> None:
        level = _changes.get_level(change)
        if level < self._handler.level:
            return
        kind = type(change).__name__
        fields = attrs.asdict(change, recurse=False)
        # Without the stacks of handlers and processors that a logger visits.
        record = logbook.LogRecord(LOGGER, level, kind)
        record.heavy_init()
        stamp = {
            "time": record.time.strftime(_ISO_FORMAT),
            "level": record.level_name.lower(),
        }
        line = msgspec.json.encode(
            stamp | self._source | {"event": kind} | fields
        )
        record.extra["line"] = line.decode()
        record.extra["fields"] = "".join(
            f" {key}={value!r}" for key, value in fields.items()
        )
        self._handler.emit(record)


def _make_poll(stream: TextIO) -> "select.poll | None":
    try:
        descriptor = stream.fileno()
    except (OSError, ValueError, AttributeError):
        # A stream in memory has no descriptor and never blocks.
        return None
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    return poll
