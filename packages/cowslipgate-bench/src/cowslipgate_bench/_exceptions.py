"""Exceptions of the bench, each with the fields that describe it."""

import attrs
import cowslipgate_core as core


class BenchError(core.CowslipgateError):
    """Base of every exception that the bench raises."""


@attrs.frozen
class WaitTimeout(BenchError):
    """A condition did not come true in time; see what it says was seen."""

    condition: str
    """What was waited for."""

    seconds: float
    """How long, in seconds."""

    def __str__(self) -> str:
        return f"{self.condition} did not happen in {self.seconds} s"


@attrs.frozen
class UnexpectedStatus(BenchError):
    """A request was answered with another status than expected."""

    status: int
    """HTTP status of the answer."""

    def __str__(self) -> str:
        return f"unexpected HTTP status {self.status}"


@attrs.frozen
class BrokenPromise(BenchError):
    """The demonstration saw something that was not as promised."""

    promise: str
    """What was promised."""

    def __str__(self) -> str:
        return self.promise


@attrs.frozen
class MalformedEntry(BenchError):
    """An entry of the list of known failures lacks one of its fields."""

    line: str
    """The line."""

    def __str__(self) -> str:
        return f"expected test | command | seen | issue, got {self.line!r}"
