"""Checks that a message names the sender that it came from."""

import functools
import re

from cowslipgate_core.messages import _attempts
from cowslipgate_core.messages import _cancels
from cowslipgate_core.messages import _documents
from cowslipgate_core.messages import _evacuation_notices
from cowslipgate_core.messages import _reports
from cowslipgate_core.messages import _wire

_AGENT = re.compile(r"[A-Za-z0-9._-]{1,64}")


@functools.singledispatch
def find_message_fault(message: object, identity: bytes) -> str:
    """Return the reason to reject a message to an entry, or ``""``.

    :param identity: ZeroMQ identity of the connection that delivered it
    """
    return "entries accept no messages of this kind"


@find_message_fault.register(_reports.Report)
@find_message_fault.register(_attempts.Results)
@find_message_fault.register(_reports.Goodbye)
@find_message_fault.register(_documents.RelayRequest)
@find_message_fault.register(_documents.RelayedConfiguration)
@find_message_fault.register(_evacuation_notices.EvacuationHeld)
def _(
    message: _reports.Report
    | _attempts.Results
    | _reports.Goodbye
    | _documents.RelayRequest
    | _documents.RelayedConfiguration
    | _evacuation_notices.EvacuationHeld,
    identity: bytes,
) -> str:
    if not _AGENT.fullmatch(message.agent):
        return "the agent's name is not allowed"
    expected = _wire.encode_identity(message.agent, message.incarnation)
    if identity != expected:
        return "the agent is not the sender"
    return ""


@find_message_fault.register(_reports.Gossip)
def _(message: _reports.Gossip, identity: bytes) -> str:
    return _check_entry(message.member.incarnation, identity)


@find_message_fault.register(_documents.ConfigurationPush)
@find_message_fault.register(_documents.ConfigurationRequest)
@find_message_fault.register(_documents.ConfigurationAcknowledge)
@find_message_fault.register(_cancels.CancelRequest)
@find_message_fault.register(_cancels.CancelReply)
def _(
    message: _documents.ConfigurationPush
    | _documents.ConfigurationRequest
    | _documents.ConfigurationAcknowledge
    | _cancels.CancelRequest
    | _cancels.CancelReply,
    identity: bytes,
) -> str:
    return _check_entry(message.entry, identity)


def _check_entry(entry: int, identity: bytes) -> str:
    name, _, number = identity.partition(b":")
    if name != f"entry-{entry}".encode() or not number.isdigit():
        return "the entry is not the sender"
    return ""


def encode_entry_identity(incarnation: int, number: int) -> bytes:
    """Return the ZeroMQ identity of a connection of an entry.

    Each connection needs its own identity: ZeroMQ reads only the latest of
    two connections with the same one, and neither after that one closes.

    :param number: number of the connection, unique at its entry
    """
    return f"entry-{incarnation}:{number}".encode()
