"""Rejection of messages that do not match their sender's identity."""

import circuits

import cowslipgate_core as core
from cowslipgate_entry import _events
from cowslipgate_entry.agents import _dispatcher

CHANNEL = "sender-check"


class SenderCheck(circuits.BaseComponent):
    """Component that drops such messages before any other handles them."""

    channel = CHANNEL

    @circuits.handler(
        "message_received", channel=_dispatcher.AGENTS_CHANNEL, priority=10
    )
    def _on_message_received(
        self, event: circuits.Event, identity: bytes, message: object
    ) -> None:
        fault = core.find_message_fault(message, identity)
        if fault:
            event.stop()
            kind = type(message).__name__.encode()
            error = core.WireError(kind, fault)
            self.fire(_events.message_refused(identity, error))
