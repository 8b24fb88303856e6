"""Exceptions of the bench, each with the fields that describe it."""

import attrs
import cowslipgate_core as core


class BenchError(core.CowslipgateError):
    """Base of every exception that the bench raises."""


@attrs.frozen
class WaitTimeout(BenchError):
    """A condition did not become true in time.

    The condition may say which state was seen instead.
    """

    condition: str
    """Condition as a noun phrase, with the state that was seen if known."""

    seconds: float
    """Time limit in seconds."""

    def __str__(self) -> str:
        return f"{self.condition} did not happen within {self.seconds} s"


@attrs.frozen
class UnexpectedStatus(BenchError):
    """A request was answered with an unexpected HTTP status."""

    status: int
    """HTTP status of the answer."""

    def __str__(self) -> str:
        return f"unexpected HTTP status {self.status}"


@attrs.frozen
class BrokenPromise(BenchError):
    """A check of the demonstration failed."""

    promise: str
    """Text of the failed check, with the values that were seen."""

    def __str__(self) -> str:
        return self.promise


@attrs.frozen
class MalformedEntry(BenchError):
    """An entry of KNOWN-RED.txt lacks one of its four fields."""

    line: str
    """Text of the entry's line."""

    def __str__(self) -> str:
        return f"expected test | command | seen | issue, got {self.line!r}"
