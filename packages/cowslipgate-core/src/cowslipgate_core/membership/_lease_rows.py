"""Rows in which entries tell of themselves."""

import msgspec

from cowslipgate_core.membership import _quotas
from cowslipgate_core.messages import _reports
from cowslipgate_core.messages import _tables

ENTRIES_TABLE = "entries"
"""Table in which each entry has a row."""

_DECODER = msgspec.json.Decoder(_quotas.Lease)


def name_lease(member: _reports.Member) -> str:
    """Return the key of an entry's row; a restart overwrites it."""
    return member.address.removeprefix("tcp://")


def encode_lease(lease: _quotas.Lease) -> bytes:
    """Return the value of an entry's row."""
    return msgspec.json.encode(lease)


def decode_leases(
    rows: tuple[_tables.TableRow, ...],
) -> tuple[_quotas.Lease, ...]:
    """Return the leases in rows; what cannot be read names no entry."""
    leases = []
    for row in rows:
        if row.removed:
            continue
        try:
            leases.append(_DECODER.decode(row.value))
        except (msgspec.MsgspecError, UnicodeError, RecursionError):
            continue
    return tuple(leases)
