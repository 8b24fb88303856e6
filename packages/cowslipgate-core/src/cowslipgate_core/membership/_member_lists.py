"""Lists of entries that other processes return in JSON."""

import attrs
import msgspec

from cowslipgate_core import _exceptions
from cowslipgate_core.messages import _decoding
from cowslipgate_core.messages import _reports
from cowslipgate_core.messages import _tables

_LIST_DECODER = msgspec.json.Decoder(list[msgspec.Raw])
_MEMBER_DECODER = msgspec.json.Decoder(_reports.Member)


@attrs.frozen
class MemberList:
    """Entries that a list names, and its elements that name none."""

    members: tuple[_reports.Member, ...]
    """Entries, in the order of the list."""

    faults: tuple[_tables.RowFault, ...]
    """Faults of the other elements, or of the whole list."""


def decode_members(body: bytes, source: str) -> MemberList:
    """Return the entries in a list.

    :param source: process that returned it, the key of its faults
    """
    try:
        rows = _decoding.decode_rows(_LIST_DECODER, body, b"members", depth=1)
    except _exceptions.WireError as error:
        return MemberList((), (_tables.RowFault(source, 0, error.problem),))
    members = []
    faults = []
    for raw in rows:
        try:
            member = _decoding.decode(_MEMBER_DECODER, raw, b"member")
        except _exceptions.WireError as error:
            faults.append(_tables.RowFault(source, 0, error.problem))
        else:
            members.append(member)
    return MemberList(tuple(members), tuple(faults))
