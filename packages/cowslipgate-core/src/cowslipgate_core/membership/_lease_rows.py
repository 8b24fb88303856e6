"""Rows of the entries table, in which each entry stores its lease."""

import msgspec

from cowslipgate_core.membership import _quotas
from cowslipgate_core.messages import _reports
from cowslipgate_core.messages import _tables

ENTRIES_TABLE = "entries"
"""Name of the table with one row per entry."""

_DECODER = msgspec.json.Decoder(_quotas.Lease)


def name_lease(member: _reports.Member) -> str:
    """Return the key of an entry's row, the same after a restart."""
    return member.address.removeprefix("tcp://")


def encode_lease(lease: _quotas.Lease) -> bytes:
    """Return the value of an entry's row: its lease in JSON."""
    return msgspec.json.encode(lease)


def decode_leases(
    rows: tuple[_tables.TableRow, ...],
) -> tuple[_quotas.Lease, ...]:
    """Return the leases in ``rows``, without removed and malformed rows."""
    leases = []
    for row in rows:
        if row.removed:
            continue
        try:
            leases.append(_DECODER.decode(row.value))
        except (msgspec.MsgspecError, UnicodeError, RecursionError):
            continue
    return tuple(leases)
