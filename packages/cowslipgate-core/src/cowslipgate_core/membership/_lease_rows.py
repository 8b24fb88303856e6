"""Rows of the entries table, in which each entry stores its lease."""

import attrs
import msgspec

from cowslipgate_core import _exceptions
from cowslipgate_core.membership import _quotas
from cowslipgate_core.messages import _decoding
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


@attrs.frozen
class LeaseRows:
    """Leases that rows hold, and the rows that hold none."""

    leases: tuple[_quotas.Lease, ...]
    """Leases, in the order of their rows."""

    faults: tuple[_tables.RowFault, ...]
    """Faults of the other rows, apart from removed ones."""


def decode_leases(rows: tuple[_tables.TableRow, ...]) -> LeaseRows:
    """Return the leases in ``rows``; other programs may write rows too."""
    leases = []
    faults = []
    for row in rows:
        if row.removed:
            continue
        try:
            lease = _decode_lease(row)
        except _exceptions.WireError as error:
            fault = _tables.RowFault(row.key, row.version, error.problem)
            faults.append(fault)
            continue
        leases.append(lease)
    return LeaseRows(tuple(leases), tuple(faults))


def _decode_lease(row: _tables.TableRow) -> _quotas.Lease:
    lease = _decoding.decode(_DECODER, row.value, b"lease")
    if row.key != name_lease(lease.member):
        raise _exceptions.WireError(b"lease", "the key is not the entry's")
    return lease
