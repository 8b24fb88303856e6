"""Text of everything that leaves a process, to compare with a committed file.

A rename in the source that would change a message, a log line, a metric, a row
or a flag shows as a difference of that file.
"""

from collections.abc import Callable
from collections.abc import Iterator
import enum
import pathlib
import typing

import attrs
import cowslipgate_agent
from cowslipgate_agent import _changes as _agent_changes
import cowslipgate_core as core
import cowslipgate_entry
from cowslipgate_entry.observation import _changes as _entry_changes
from cowslipgate_entry.observation import _families
import cowslipgate_transport as transport
from cowslipgate_transport import _changes as _process_changes
import logbook

FILE = pathlib.Path("docs/INTERFACES.txt")
_HEAD = (
    "Written by `make interfaces` from the classes; a test compares.",
    "Fields stand in the order in which they are sent or written.",
)
_ROLES = {
    "cowslipgate serve": cowslipgate_entry.EntrySettings,
    "cowslipgate-agent": cowslipgate_agent.AgentSettings,
}
_ROWS = (core.Lease,)
_CHANGE_MODULES = (_process_changes, _agent_changes, _entry_changes)
_TYPE_LINE = "# TYPE "
_CHARTS = ("attempt", "configuration", "entry", "job", "run", "target")


def render_interfaces() -> str:
    """Return the text, with one section for each kind of interface."""
    sections = {
        "messages between processes": _describe_all(core.MESSAGE_TYPES),
        "rows in the store": _list_rows(),
        "log events": _list_log_events(),
        "metrics": _list_metrics(),
        "settings": _list_settings(),
        "state charts": _list_charts(),
    }
    lines = list(_HEAD)
    for name, entries in sections.items():
        lines += ["", f"[{name}]", *entries]
    return "\n".join(lines) + "\n"


def write_interfaces() -> None:
    """Write the file; the working directory must be the repository's root."""
    FILE.write_text(render_interfaces())


def _list_rows() -> list[str]:
    return [f"table {core.ENTRIES_TABLE}", *_describe_all(_ROWS)]


def _describe_all(classes: tuple[type, ...]) -> list[str]:
    """Describe classes, and the classes and enumerations in their fields."""
    pending = list(classes)
    described: dict[type, str] = {}
    while pending:
        cls = pending.pop(0)
        if cls in described:
            continue
        described[cls] = _describe(cls)
        pending.extend(_find_nested(cls))
    named = [described.pop(cls) for cls in classes]
    return named + sorted(described.values())


def _describe(cls: type) -> str:
    if issubclass(cls, enum.Enum):
        values = " ".join(repr(member.value) for member in cls)
        return f"{cls.__name__}: {values}"
    fields = " ".join(field.name for field in attrs.fields(cls))
    return f"{cls.__name__}: {fields}"


def _find_nested(cls: type) -> Iterator[type]:
    if attrs.has(cls):
        for hint in typing.get_type_hints(cls).values():
            yield from _find_classes(hint)


def _find_classes(hint: object) -> Iterator[type]:
    arguments = typing.get_args(hint)
    for argument in arguments:
        yield from _find_classes(argument)
    if isinstance(hint, type) and not arguments:
        if attrs.has(hint) or issubclass(hint, enum.Enum):
            yield hint


def _list_log_events() -> list[str]:
    changes = [
        cls
        for module in _CHANGE_MODULES
        for cls in vars(module).values()
        if isinstance(cls, type) and cls in transport.Change.__subclasses__()
    ]
    changes.sort(key=lambda cls: cls.__name__)
    return [f"{_name_level(cls)} {_describe(cls)}" for cls in changes]


def _name_level(cls: type) -> str:
    level = transport.get_level.dispatch(cls)(None)
    return logbook.get_level_name(level).lower()


class _NoReadings:
    """Stands in for the readings of gauges, which are not rendered."""

    def __getattr__(self, name: str) -> Callable[[], dict]:
        return dict


def _list_metrics() -> list[str]:
    clock = core.ManualClock()
    families = _families.make_families(_NoReadings(), clock)
    log = cowslipgate_agent.AgentLog(core.Executor(1, 0), clock)
    pages = (
        transport.render_families(attrs.astuple(families, recurse=False)),
        log.render(),
    )
    return [
        line.removeprefix(_TYPE_LINE)
        for page in pages
        for line in page.decode().splitlines()
        if line.startswith(_TYPE_LINE)
    ]


def _list_settings() -> list[str]:
    return [
        f"{role} {setting.flag} {setting.variable}"
        for role, cls in _ROLES.items()
        for setting in core.describe_settings(cls)
    ]


def _list_charts() -> list[str]:
    lines = []
    for name in _CHARTS:
        chart = core.load_chart(name)
        for state in chart.states.values():
            moves = " ".join(
                f"{event}>{to}" for event, to in state.transitions.items()
            )
            start = "initial " if state.name == chart.initial else ""
            lines.append(f"{name} {start}{state.name}: {moves}".rstrip(" :"))
    return lines
