"""HTTP calls that request the list of entries."""

import datetime

import msgspec

import cowslipgate_core as core
import cowslipgate_transport as transport

MEMBERS_PATH = "/v1/members"
_DECODER = msgspec.json.Decoder(tuple[core.Member, ...])


def make_members_call(
    number: int, address: transport.Address, timeout: datetime.timedelta
) -> transport.Call:
    """Return the call that requests the list at an entry or the balancer."""
    return transport.Call(
        number, address, "GET", MEMBERS_PATH, timeout=timeout
    )


def decode_members(answer: transport.CallAnswer) -> tuple[core.Member, ...]:
    """Return the entries in an answer, or none if it cannot be decoded."""
    try:
        return _DECODER.decode(answer.body)
    except (msgspec.MsgspecError, UnicodeError):
        return ()
