"""Records of decisions and state changes that a process logs."""

import functools

import attrs
import circuits
import logbook


@attrs.frozen
class Change:
    """Base of the records; a record's fields become those of its log line."""


@attrs.frozen
class LinesDropped(Change):
    """Log lines were dropped because the log was not read fast enough."""

    count: int
    """Lines dropped since the previous record of this kind."""


@attrs.frozen
class ProcessStarted(Change):
    """The process has started serving."""

    role: str
    """``entry`` or ``agent``."""

    name: str
    """Name of the VM."""

    domain: str
    """Failure domain of the VM."""

    serves: tuple[str, ...]
    """Addresses that it listens on, each as ``host:port``."""


@attrs.frozen
class FeatureEnabled(Change):
    """An optional feature is enabled in this process."""

    feature: str
    """Name of the feature."""

    reason: str
    """Setting that enables it."""


@attrs.frozen
class ProcessStopping(Change):
    """The process received a signal to stop."""

    signal: int
    """Number of the signal."""


@attrs.frozen
class MessagePassedOver(Change):
    """A message of another process cannot be decoded."""

    kind: str
    """Kind of the message."""

    problem: str
    """What is wrong with it."""


@attrs.frozen
class RowPassedOver(Change):
    """A row of the store names nothing, since it cannot be decoded."""

    table: str
    """Table of the row, or address and path of the list."""

    key: str
    """Key of the row, empty if it is unknown."""

    version: int
    """Version of the row, zero if it is unknown."""

    problem: str
    """What is wrong with it."""


@attrs.frozen
class SettingsChanged(Change):
    """The settings were reloaded."""

    noticed: str
    """What triggered the reload: ``signal`` or ``file``."""

    fields: tuple[str, ...]
    """Names of the settings whose values changed; may be empty."""


@attrs.frozen
class SettingsRejected(Change):
    """The reloaded settings are invalid; the previous ones stay in force."""

    noticed: str
    """What triggered the reload: ``signal`` or ``file``."""

    problem: str
    """What is wrong, with the name of the setting."""


class changed(circuits.Event):
    """A decision was made or a state changed; the argument is a Change."""


@functools.singledispatch
def get_level(change: Change) -> int:
    """Return the log level of a change."""
    return logbook.INFO


@get_level.register(LinesDropped)
@get_level.register(MessagePassedOver)
@get_level.register(RowPassedOver)
@get_level.register(SettingsRejected)
def _get_warning_level(change: Change) -> int:
    return logbook.WARNING
