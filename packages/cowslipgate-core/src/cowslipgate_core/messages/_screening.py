"""Checks that a message tells the truth about its sender."""

import functools
import re

from cowslipgate_core.messages import _messages

_AGENT = re.compile(r"[A-Za-z0-9._-]{1,64}")


@functools.singledispatch
def find_message_fault(message: object, identity: bytes) -> str:
    """Return what is wrong with a message to an entry, or ``""``.

    :param identity: ZeroMQ identity of the connection that it came by
    """
    return "entries take no message of this kind"


@find_message_fault.register(_messages.Report)
@find_message_fault.register(_messages.Results)
@find_message_fault.register(_messages.Goodbye)
@find_message_fault.register(_messages.RelayRequest)
@find_message_fault.register(_messages.RelayedConfiguration)
def _(
    message: _messages.Report
    | _messages.Results
    | _messages.Goodbye
    | _messages.RelayRequest
    | _messages.RelayedConfiguration,
    identity: bytes,
) -> str:
    if not _AGENT.fullmatch(message.agent):
        return "the agent's name is not allowed"
    known = _messages.encode_identity(message.agent, message.incarnation)
    if identity != known:
        return "the agent is not the sender"
    return ""


@find_message_fault.register(_messages.Gossip)
def _(message: _messages.Gossip, identity: bytes) -> str:
    return _check_entry(message.member.incarnation, identity)


@find_message_fault.register(_messages.ConfigurationPush)
@find_message_fault.register(_messages.ConfigurationRequest)
@find_message_fault.register(_messages.ConfigurationAcknowledge)
@find_message_fault.register(_messages.CancelRequest)
@find_message_fault.register(_messages.CancelReply)
def _(
    message: _messages.ConfigurationPush
    | _messages.ConfigurationRequest
    | _messages.ConfigurationAcknowledge
    | _messages.CancelRequest
    | _messages.CancelReply,
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

    Connections have identities of their own: of two with the same one only
    the latest is read, and none when that one ends.

    :param number: number of the connection at its entry
    """
    return f"entry-{incarnation}:{number}".encode()
