"""The wire format of messages between entries and agents.

A message consists of two frames: its kind (the class name) and its body in
MessagePack.
"""

from typing import Any

import msgspec

from cowslipgate_core import _exceptions
from cowslipgate_core.messages import _attempts
from cowslipgate_core.messages import _cancels
from cowslipgate_core.messages import _decoding
from cowslipgate_core.messages import _documents
from cowslipgate_core.messages import _evacuation_notices
from cowslipgate_core.messages import _reports

MESSAGE_TYPES = (
    _reports.Report,
    _attempts.Results,
    _attempts.Dispatch,
    _attempts.Withdraw,
    _attempts.Acknowledge,
    _reports.Beat,
    _reports.Goodbye,
    _reports.Release,
    _reports.Gossip,
    _documents.ConfigurationPush,
    _documents.ConfigurationRequest,
    _documents.ConfigurationAcknowledge,
    _documents.RelayRequest,
    _documents.ConfigurationRelay,
    _documents.RelayedConfiguration,
    _cancels.CancelRequest,
    _cancels.CancelReply,
    _evacuation_notices.EvacuationNotice,
    _evacuation_notices.EvacuationHeld,
)
"""Types of the messages; the kind of a message is the name of its type."""

_DECODERS = {
    cls.__name__.encode(): msgspec.msgpack.Decoder(cls)
    for cls in MESSAGE_TYPES
}

_ENCODER = msgspec.msgpack.Encoder()


def encode_message(message: Any) -> tuple[bytes, bytes]:
    """Return the kind and body frames of a message."""
    return type(message).__name__.encode(), _ENCODER.encode(message)


def decode_message(kind: bytes, body: bytes) -> Any:
    """Return the message decoded from the frames ``kind`` and ``body``.

    :raises WireError: when the kind is unknown or the body malformed
    """
    decoder = _DECODERS.get(kind)
    if decoder is None:
        raise _exceptions.WireError(kind[:32], "unknown kind")
    return _decoding.decode(decoder, body, kind)


def encode_identity(agent: str, incarnation: int) -> bytes:
    """Return the ZeroMQ identity of an incarnation of an agent."""
    return f"{agent}/{incarnation}".encode()
