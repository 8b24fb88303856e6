"""Configuration of another entry, relayed by an agent.

An entry that cannot reach the store learns of newer versions from its agents,
which refuse attempts under an older one. It asks an agent, which requests the
document from an entry that has the version and relays it.
"""

import datetime

import attrs
import circuits
import msgspec

import cowslipgate_core as core
from cowslipgate_entry import _events
from cowslipgate_entry.agents import _dispatcher
import cowslipgate_transport as transport

CHANNEL = "relayed"

RELAY_DELAY = datetime.timedelta(milliseconds=200)
"""Time in which the store should deliver a version that an agent reports. An
unloaded store does so within 10 ms; reading it again would cost a call."""

RELAY_INTERVAL = datetime.timedelta(milliseconds=300)
"""Time between two requests to agents. Request and document cross failure
domains four times, at 1.5 ms each, or about 30 ms each between regions."""


@attrs.frozen
class _MissingVersion:
    """A version that is in force elsewhere and unknown to this entry."""

    version: int
    """Version reported last."""

    identity: bytes
    """ZeroMQ identity of the agent that reported it last."""

    since: datetime.datetime
    """When an agent first reported a newer version."""


class ConfigurationRelay(circuits.BaseComponent):
    """Requests newer versions from agents, and answers agents' requests."""

    channel = CHANNEL

    def __init__(self, incarnation: int, clock: core.Clock) -> None:
        super().__init__()
        self._incarnation = incarnation
        self._clock = clock
        self._configuration: core.Configuration | None = None
        self._missing: _MissingVersion | None = None
        self._next_request = clock.now()

    @property
    def _version(self) -> int:
        configuration = self._configuration
        return -1 if configuration is None else configuration.version

    @circuits.handler("configuration_adopted", channel=_events.GATEWAY)
    def _on_configuration_adopted(
        self, configuration: core.Configuration
    ) -> None:
        self._configuration = configuration
        self._missing = None

    @circuits.handler(
        "newer_configuration_reported", channel="configuration-manager"
    )
    def _on_newer_configuration_reported(
        self, version: int, identity: bytes = b""
    ) -> None:
        if version <= self._version or not identity:
            return
        since = self._missing.since if self._missing else self._clock.now()
        self._missing = _MissingVersion(version, identity, since)
        self._send_request()

    @circuits.handler("tick")
    def _on_tick(self) -> None:
        # An idle agent seldom reports the version.
        self._send_request()

    def _send_request(self) -> None:
        missing = self._missing
        if missing is None:
            return
        now = self._clock.now()
        if now < max(missing.since + RELAY_DELAY, self._next_request):
            return
        self._next_request = now + RELAY_INTERVAL
        request = core.ConfigurationRequest(self._incarnation)
        self._send(missing.identity, request)
        event = _events.configuration_requested(
            missing.version, missing.identity
        )
        self.fire(event, "state-change-log")

    @circuits.handler("message_received", channel=_dispatcher.AGENTS_CHANNEL)
    def _on_message_received(self, identity: bytes, message: object) -> None:
        match message:
            case core.RelayRequest():
                self._handle_relay_request(identity, message)
            case core.RelayedConfiguration():
                self._handle_relayed_configuration(message)

    def _handle_relay_request(
        self, identity: bytes, request: core.RelayRequest
    ) -> None:
        if self._configuration is None:
            return
        relay = core.ConfigurationRelay(
            self._incarnation,
            request.asker,
            self._version,
            core.compress_document(self._configuration.encode()),
        )
        self._send(identity, relay)

    def _handle_relayed_configuration(
        self, relayed: core.RelayedConfiguration
    ) -> None:
        if relayed.version <= self._version:
            return
        try:
            document = core.decompress_document(relayed.document)
            configuration = core.parse_configuration(
                relayed.version, msgspec.json.decode(document)
            )
        except (
            core.WireError,
            core.ConfigurationError,
            msgspec.MsgspecError,
            UnicodeError,
            RecursionError,
        ) as error:
            self.fire(
                _events.configuration_rejected(error), "state-change-log"
            )
            return
        self.fire(
            _events.configuration_relayed(configuration),
            "configuration-manager",
        )

    def _send(self, identity: bytes, message: object) -> None:
        event = transport.send_message(identity, message)
        self.fire(event, _dispatcher.AGENTS_CHANNEL)
