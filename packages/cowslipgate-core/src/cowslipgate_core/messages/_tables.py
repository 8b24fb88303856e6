"""Calls of a store that keeps rows in tables, and their answers.

A client component translates the calls to the store's protocol and fires
``TableAnswer`` records. It does not interpret the bytes of a row.
"""

import datetime
import enum

import attrs


ANY_VERSION = -1
"""Version in a write that replaces the row whatever its version is."""

MAX_TRANSACTION_ROWS = 100
"""Most rows that the store accepts in one transaction."""


@attrs.frozen
class TableRow:
    """A row of a table in the store."""

    key: str
    """Key of the row, unique in its table."""

    value: bytes
    """Value, or empty for a row that was removed."""

    version: int
    """Version of the store at which the row was written or removed."""

    removed: bool = False
    """Whether the row was removed."""


@attrs.frozen
class RowFault:
    """Why a row names nothing."""

    key: str
    """Key of the row, empty if it is unknown."""

    version: int
    """Version of the row, zero if it is unknown."""

    problem: str
    """What is wrong with it."""


@attrs.frozen(eq=False)
class TableRead:
    """A call that reads all rows of a table."""

    channel: str
    """Channel of the component that receives the answer."""

    table: str
    """Name of the table."""


@attrs.frozen(eq=False)
class TableFollow:
    """A call that waits until rows of a table change and returns them."""

    channel: str
    """Channel of the component that receives the answer."""

    table: str
    """Name of the table."""

    after: int
    """Version of the store after which changes are returned."""

    wait: datetime.timedelta
    """Longest time that the store waits for a change."""


@attrs.frozen(eq=False)
class TableWrite:
    """A call that writes a row."""

    channel: str
    """Channel of the component that receives the answer."""

    table: str
    """Name of the table."""

    key: str
    """Key of the row."""

    value: bytes
    """New value, or empty to remove the row."""

    expected: int = ANY_VERSION
    """Version that the row must have for the write to take effect."""


@attrs.frozen
class TableRowWrite:
    """A row that a transaction writes."""

    key: str
    """Key of the row."""

    value: bytes
    """New value, or empty to remove the row."""

    expected: int = ANY_VERSION
    """Version that the row must have for the transaction to take effect."""


@attrs.frozen(eq=False)
class TableTransaction:
    """A call that writes several rows of a table, all of them or none."""

    channel: str
    """Channel of the component that receives the answer."""

    table: str
    """Name of the table."""

    rows: tuple[TableRowWrite, ...]
    """Rows to write, at most MAX_TRANSACTION_ROWS."""


TableCall = TableRead | TableFollow | TableWrite | TableTransaction


class TableResult(enum.StrEnum):
    """Result of a call of the store."""

    DONE = "done"
    CONFLICT = "conflict"
    EXPIRED = "expired"
    REFUSED = "refused"
    MALFORMED = "malformed"
    UNREACHABLE = "unreachable"


@attrs.frozen(eq=False)
class TableAnswer:
    """The answer to a call."""

    call: TableCall
    """The call that is answered."""

    result: TableResult
    """Result; EXPIRED means that the store no longer keeps the changes,
    CONFLICT that a write had no effect since the row had another version,
    MALFORMED that the answer cannot be decoded."""

    rows: tuple[TableRow, ...] = ()
    """Rows that were read or have changed."""

    version: int = 0
    """Version of the store to pass as ``after`` to the next follow."""

    detail: str = ""
    """Cause of a failure, for the log; otherwise empty."""
