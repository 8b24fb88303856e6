"""Log lines for changes of state, as JSON lines or for a console."""

import functools
import sys
from typing import TextIO

import attrs
import circuits
import logbook
import msgspec

from cowslipgate_entry import _changes

CHANNEL = "logs"
_CONSOLE_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name:7} "
    "{record.message}{record.extra[fields]}"
)
_JSON_FORMAT = "{record.extra[line]}"
_ISO_FORMAT = "%Y-%m-%dT%H:%M:%S.%fZ"


class Logs(circuits.BaseComponent):
    """Writes a line for each change."""

    channel = CHANNEL

    def __init__(
        self,
        form: str,
        level: str,
        entry: int,
        stream: TextIO | None = None,
    ) -> None:
        super().__init__()
        self._entry = entry
        self._logger = logbook.Logger("cowslipgate")
        self._handler = logbook.StreamHandler(
            stream or sys.stderr, level=level.upper(), bubble=False
        )
        template = _JSON_FORMAT if form == "json" else _CONSOLE_FORMAT
        self._handler.formatter = logbook.StringFormatter(template)

    @circuits.handler("changed", channel="*")
    def _on_changed(self, change: _changes.Change) -> None:
        self.write(change)

    def write(self, change: _changes.Change) -> None:
        """Write the line for a change."""
        kind = type(change).__name__
        level = get_level(change)
        fields = attrs.asdict(change)
        record_fields = {"entry": self._entry, "event": kind} | fields
        shown = "".join(f" {key}={value!r}" for key, value in fields.items())

        def inject(record: logbook.LogRecord) -> None:
            stamp = {
                "time": record.time.strftime(_ISO_FORMAT),
                "level": record.level_name.lower(),
            }
            line = msgspec.json.encode(stamp | record_fields)
            record.extra["line"] = line.decode()
            record.extra["fields"] = shown

        with (
            self._handler.applicationbound(),
            logbook.Processor(inject).applicationbound(),
        ):
            self._logger.log(level, kind)


@functools.singledispatch
def get_level(change: _changes.Change) -> int:
    """Return the severity of a change."""
    return logbook.INFO


@get_level.register
def _(change: _changes.AgentLost) -> int:
    return logbook.WARNING


@get_level.register
def _(change: _changes.StoreUnreachable) -> int:
    return logbook.WARNING


@get_level.register
def _(change: _changes.AddressUnprotected) -> int:
    return logbook.WARNING


@get_level.register
def _(change: _changes.StartFailed) -> int:
    return logbook.ERROR


@get_level.register
def _(change: _changes.HandlerFailed) -> int:
    return logbook.ERROR
