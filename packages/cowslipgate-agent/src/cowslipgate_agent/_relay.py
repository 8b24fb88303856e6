"""Passes configurations from one entry to another.

An entry that is cut off from the store, and perhaps from the other entries,
still reaches the agents.
"""

import functools

import circuits

from cowslipgate_agent import _events
import cowslipgate_core as core

CHANNEL = "relay"


class Relay(circuits.BaseComponent):
    """Knows which entry has which version."""

    channel = CHANNEL

    def __init__(self, name: str, incarnation: int) -> None:
        super().__init__()
        self._name = name
        self._incarnation = incarnation
        self._versions: dict[int, int] = {}

    @circuits.handler("entry_heard", channel="runner")
    def _on_entry_heard(self, message: object) -> None:
        _take_message(message, self)

    @circuits.handler("entry_dropped", channel="runner")
    def _on_entry_dropped(self, incarnation: int) -> None:
        self._versions.pop(incarnation, None)

    def note_version(self, entry: int, version: int) -> None:
        """Take in which version is in force at an entry."""
        self._versions[entry] = version

    def ask(self, asker: int) -> None:
        """Ask the entry with the highest version on behalf of another."""
        others = [
            (version, entry)
            for entry, version in self._versions.items()
            if entry != asker
        ]
        if others:
            _, entry = max(others)
            request = core.RelayRequest(self._name, self._incarnation, asker)
            self.fire(_events.tell_entry(entry, request), "links")

    def pass_on(self, relay: core.ConfigurationRelay) -> None:
        """Send a document to the entry that asked for it."""
        relayed = core.RelayedConfiguration(
            self._name, self._incarnation, relay.version, relay.document
        )
        self.fire(_events.tell_entry(relay.asker, relayed), "links")


@functools.singledispatch
def _take_message(message: object, relay: Relay) -> None:
    """Take in a message of an entry, by its type."""


@_take_message.register(core.Beat)
@_take_message.register(core.Dispatch)
def _take_version(message: core.Beat | core.Dispatch, relay: Relay) -> None:
    relay.note_version(message.entry, message.configuration_version)


@_take_message.register
def _take_request(message: core.ConfigurationRequest, relay: Relay) -> None:
    relay.ask(message.entry)


@_take_message.register
def _take_relay(message: core.ConfigurationRelay, relay: Relay) -> None:
    relay.pass_on(message)
