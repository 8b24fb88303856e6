"""Exceptions of cowslipgate, each with the fields that describe it."""

import attrs


class CowslipgateError(Exception):
    """Base of every exception that cowslipgate raises."""


@attrs.frozen
class ChartError(CowslipgateError):
    """A state chart cannot be interpreted."""

    chart: str
    """Name of the chart file."""

    state: str
    """State in which the fault lies."""

    event: str
    """Event concerned, empty when the fault concerns the state itself."""

    problem: str
    """What is wrong with it."""

    def __str__(self) -> str:
        return (
            f"chart {self.chart!r}, state {self.state!r}, "
            f"event {self.event!r}: {self.problem}"
        )


@attrs.frozen
class WireError(CowslipgateError):
    """A message from another process cannot be decoded."""

    kind: bytes
    """Kind frame of the message."""

    problem: str
    """What the decoder said."""

    def __str__(self) -> str:
        return f"message of kind {self.kind!r}: {self.problem}"


@attrs.frozen
class BodyError(CowslipgateError):
    """The JSON body of a request cannot be used."""

    path: str
    """Path of the first fault, such as ``$.tasks[3].size_ms``."""

    problem: str
    """What is allowed there."""

    def __str__(self) -> str:
        return f"{self.path}: {self.problem}"


@attrs.frozen
class Fault:
    """One fault in a document, named by its path."""

    path: str
    """Path of the value, such as ``$.services.print.slots``."""

    problem: str
    """What is allowed there."""


@attrs.frozen
class ConfigurationError(CowslipgateError):
    """A configuration document is not valid."""

    faults: tuple[Fault, ...]
    """Every fault found."""

    def __str__(self) -> str:
        return "; ".join(f"{f.path}: {f.problem}" for f in self.faults)


@attrs.frozen
class SettingFault:
    """One setting that cannot be used."""

    flag: str
    """Flag of the setting."""

    value: str
    """Value given, empty when missing."""

    allowed: str
    """What is allowed."""


@attrs.frozen
class SettingsError(CowslipgateError):
    """Settings that cannot be used."""

    faults: tuple[SettingFault, ...]
    """Every fault found."""

    def __str__(self) -> str:
        return "\n".join(
            f"{fault.flag}={fault.value!r}: must be {fault.allowed}"
            for fault in self.faults
        )
