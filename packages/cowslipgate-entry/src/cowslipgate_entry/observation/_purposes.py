"""Purposes of the messages between processes, for the metrics."""

import functools

import cowslipgate_core as core


@functools.singledispatch
def get_purpose(message: object) -> str:
    """Return the value of the label ``purpose`` for a message."""
    return "other"


@get_purpose.register
def _(message: core.Withdraw) -> str:
    return "withdraw" if message.stop else "inquiry"


@get_purpose.register
def _(message: core.Acknowledge) -> str:
    return "acknowledge"


@get_purpose.register
def _(message: core.Beat) -> str:
    return "beat"


@get_purpose.register
def _(message: core.Release) -> str:
    return "release"


@get_purpose.register
def _(message: core.Gossip) -> str:
    return "gossip"


@get_purpose.register(core.ConfigurationPush)
@get_purpose.register(core.ConfigurationRequest)
@get_purpose.register(core.ConfigurationAcknowledge)
def _(message: object) -> str:
    return "configuration"


@get_purpose.register
def _(message: core.EvacuationNotice) -> str:
    return "evacuation"


@get_purpose.register(core.CancelRequest)
@get_purpose.register(core.CancelReply)
def _(message: object) -> str:
    return "cancellation"
