"""What the system asks of a store that keeps rows in tables.

The store's protocol is behind a client component that takes these calls and
fires ``TableAnswer`` records; rows are bytes to it.
"""

import datetime
import enum

import attrs


@attrs.frozen
class TableRow:
    """A row as the store keeps it."""

    key: str
    """Key in its table."""

    value: bytes
    """Value; empty for a row that was removed."""

    version: int
    """Version of the store at which it was written."""

    removed: bool = False
    """Whether it was removed."""


@attrs.frozen(eq=False)
class TableRead:
    """Asks for all rows of a table."""

    channel: str
    """Channel that the answer goes to."""

    table: str
    """Table."""


@attrs.frozen(eq=False)
class TableFollow:
    """Asks for the rows of a table that change, as soon as one does."""

    channel: str
    """Channel that the answer goes to."""

    table: str
    """Table."""

    after: int
    """Version of the store from which on changes are wanted."""

    wait: datetime.timedelta
    """Longest time that the store waits for a change."""


@attrs.frozen(eq=False)
class TableWrite:
    """Asks to write a row, whatever was there."""

    channel: str
    """Channel that the answer goes to."""

    table: str
    """Table."""

    key: str
    """Key."""

    value: bytes
    """Value; empty to remove the row."""


TableCall = TableRead | TableFollow | TableWrite


class TableResult(enum.StrEnum):
    """How a call of the store ended."""

    DONE = "done"
    EXPIRED = "expired"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"


@attrs.frozen(eq=False)
class TableAnswer:
    """The answer to a call."""

    call: TableCall
    """The call."""

    result: TableResult
    """How it ended; EXPIRED means that the changes are no longer kept."""

    rows: tuple[TableRow, ...] = ()
    """Rows read or changed."""

    version: int = 0
    """Version of the store from which on to follow."""

    detail: str = ""
    """Why it failed, for the log."""
