"""Forwarding of configurations from one entry to another.

An entry that is partitioned from the store, and perhaps from other entries,
can still reach the agents.
"""

import functools

import circuits

from cowslipgate_agent import _events
import cowslipgate_core as core

CHANNEL = "relay"


class Relay(circuits.BaseComponent):
    """Forwarder that tracks the configuration version of each entry."""

    channel = CHANNEL

    def __init__(self, name: str, incarnation: int) -> None:
        super().__init__()
        self._name = name
        self._incarnation = incarnation
        self._versions: dict[int, int] = {}

    @circuits.handler("entry_message_received", channel="runner")
    def _on_entry_message_received(self, message: object) -> None:
        _handle_message(message, self)

    @circuits.handler("entry_dropped", channel="runner")
    def _on_entry_dropped(self, incarnation: int) -> None:
        self._versions.pop(incarnation, None)

    def record_version(self, entry: int, version: int) -> None:
        """Record the configuration version in force at an entry."""
        self._versions[entry] = version

    def request_configuration(self, asker: int) -> None:
        """Request the highest version from another entry for the asker."""
        others = [
            (version, entry)
            for entry, version in self._versions.items()
            if entry != asker
        ]
        if others:
            _, entry = max(others)
            request = core.RelayRequest(self._name, self._incarnation, asker)
            self.fire(_events.send_to_entry(entry, request), "links")

    def forward_configuration(self, relay: core.ConfigurationRelay) -> None:
        """Send a configuration document to the entry that requested it."""
        relayed = core.RelayedConfiguration(
            self._name, self._incarnation, relay.version, relay.document
        )
        self.fire(_events.send_to_entry(relay.asker, relayed), "links")


@functools.singledispatch
def _handle_message(message: object, relay: Relay) -> None:
    """Handle a message of an entry by its type; ignore other types."""


@_handle_message.register(core.Beat)
@_handle_message.register(core.Dispatch)
def _handle_version(message: core.Beat | core.Dispatch, relay: Relay) -> None:
    relay.record_version(message.entry, message.configuration_version)


@_handle_message.register
def _handle_request(message: core.ConfigurationRequest, relay: Relay) -> None:
    relay.request_configuration(message.entry)


@_handle_message.register
def _handle_relay(message: core.ConfigurationRelay, relay: Relay) -> None:
    relay.forward_configuration(message)
