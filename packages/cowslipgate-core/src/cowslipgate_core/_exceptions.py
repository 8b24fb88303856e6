"""Exceptions of cowslipgate, with fields that describe the fault."""

import attrs


class CowslipgateError(Exception):
    """Base of every exception that cowslipgate raises."""


@attrs.frozen
class ChartError(CowslipgateError):
    """A state chart cannot be interpreted."""

    chart: str
    """Name of the chart file."""

    state: str
    """State that is faulty or current, empty when there is none."""

    event: str
    """Event of the transition, empty when the state itself is faulty."""

    problem: str
    """Description of the fault."""

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
    """Error of the decoder."""

    def __str__(self) -> str:
        return f"message of kind {self.kind!r}: {self.problem}"


@attrs.frozen
class BodyError(CowslipgateError):
    """The JSON body of a request is not valid."""

    path: str
    """Path of the first fault, such as ``$.tasks[3].size_ms``."""

    problem: str
    """Requirement that the value violates."""

    def __str__(self) -> str:
        return f"{self.path}: {self.problem}"


@attrs.frozen
class Fault:
    """One fault in a document."""

    path: str
    """Path of the faulty value, such as ``$.services.print.slots``."""

    problem: str
    """Requirement that the value violates."""


@attrs.frozen
class ConfigurationError(CowslipgateError):
    """A configuration document is not valid."""

    faults: tuple[Fault, ...]
    """Every fault found."""

    def __str__(self) -> str:
        return "; ".join(f"{f.path}: {f.problem}" for f in self.faults)


@attrs.frozen
class SettingFault:
    """One setting that is missing or not valid."""

    flag: str
    """Flag of the setting."""

    value: str
    """Text that was given, hidden for secrets and empty when missing."""

    allowed: str
    """Description of the values that are allowed."""


@attrs.frozen
class SettingsError(CowslipgateError):
    """The settings of a process are not valid."""

    faults: tuple[SettingFault, ...]
    """Every fault found."""

    def __str__(self) -> str:
        return "\n".join(
            f"{fault.flag}={fault.value!r}: must be {fault.allowed}"
            for fault in self.faults
        )
