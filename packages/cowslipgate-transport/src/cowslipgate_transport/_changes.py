"""Base of what a process tells in its log: decisions and changes of state."""

import functools

import attrs
import circuits
import logbook


@attrs.frozen
class Change:
    """Base of the records; the fields of a record are those of its line."""


@attrs.frozen
class LinesDropped(Change):
    """Lines were left out, since nobody read the log fast enough."""

    count: int
    """Lines left out since the last line of this kind."""


@attrs.frozen
class ProcessStarted(Change):
    """The process has begun to serve."""

    role: str
    """``entry`` or ``agent``."""

    name: str
    """Name of the VM."""

    domain: str
    """Failure domain."""

    serves: tuple[str, ...]
    """Addresses that it listens on."""


@attrs.frozen
class ProcessStopping(Change):
    """The process was told to stop."""

    signal: int
    """Number of the signal."""


@attrs.frozen
class SettingsChanged(Change):
    """Settings were read anew."""

    noticed: str
    """How it was noticed: ``signal`` or ``file``."""

    fields: tuple[str, ...]
    """Settings that are in force with other values; empty for none."""


@attrs.frozen
class SettingsRejected(Change):
    """Settings could not be used; those before stay in force."""

    noticed: str
    """How it was noticed: ``signal`` or ``file``."""

    problem: str
    """What is wrong, with the name of the field."""


class changed(circuits.Event):
    """Something was decided or changed; the argument is a Change."""


@functools.singledispatch
def get_level(change: Change) -> int:
    """Return the severity of a change."""
    return logbook.INFO


@get_level.register(LinesDropped)
@get_level.register(SettingsRejected)
def _warn(change: Change) -> int:
    return logbook.WARNING
