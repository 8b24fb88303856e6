"""HTTP calls that request the list of entries."""

import datetime

import cowslipgate_core as core
import cowslipgate_transport as transport

MEMBERS_PATH = "/v1/members"
HTTP_OK = 200


def make_members_call(
    number: int, address: transport.Address, timeout: datetime.timedelta
) -> transport.Call:
    """Return the call that requests the list at an entry or the balancer."""
    return transport.Call(
        number, address, "GET", MEMBERS_PATH, timeout=timeout
    )


def decode_members(
    answer: transport.CallAnswer, passed_over: transport.RowsPassedOver
) -> tuple[core.Member, ...]:
    """Return the entries in an answer, and log what names none."""
    if answer.status != HTTP_OK:
        return ()
    address = answer.call.address
    source = f"{address.host}:{address.port}"
    found = core.decode_members(answer.body, source)
    passed_over.log(f"{source}{MEMBERS_PATH}", found.faults)
    return found.members
