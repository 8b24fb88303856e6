"""The configuration of another entry, passed on by an agent.

An entry that is cut off from the store hears of newer versions from its
agents, which take nothing from it under an older one. It asks an agent, which
asks an entry that has the version and passes the document back.
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

RELAY_AFTER = datetime.timedelta(milliseconds=200)
"""Time in which the store should tell of a version that an agent names; a
calm store does so within 10 ms, and reading it again would cost a call."""

RELAY_INTERVAL = datetime.timedelta(milliseconds=300)
"""Time between two agents that are asked. The document takes four ways
between failure domains, of 1.5 ms or of some 30 ms between regions."""


@attrs.frozen
class _Wanted:
    """A version that is in force elsewhere and not known here."""

    version: int
    """The version."""

    identity: bytes
    """ZeroMQ identity of the agent that named it last."""

    since: datetime.datetime
    """Since when a newer version is wanted."""


class RelayedConfiguration(circuits.BaseComponent):
    """Asks agents for newer versions, and answers those that ask."""

    channel = CHANNEL

    def __init__(self, incarnation: int, clock: core.Clock) -> None:
        super().__init__()
        self._incarnation = incarnation
        self._clock = clock
        self._configuration: core.Configuration | None = None
        self._wanted: _Wanted | None = None
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
        self._wanted = None

    @circuits.handler("configuration_wanted", channel="keeper")
    def _on_configuration_wanted(
        self, version: int, identity: bytes = b""
    ) -> None:
        if version <= self._version or not identity:
            return
        since = self._wanted.since if self._wanted else self._clock.now()
        self._wanted = _Wanted(version, identity, since)
        self._ask()

    @circuits.handler("tick")
    def _on_tick(self) -> None:
        # An agent without work names the version seldom.
        self._ask()

    def _ask(self) -> None:
        wanted = self._wanted
        if wanted is None:
            return
        now = self._clock.now()
        if now < max(wanted.since + RELAY_AFTER, self._next_request):
            return
        self._next_request = now + RELAY_INTERVAL
        request = core.ConfigurationRequest(self._incarnation)
        self._send(wanted.identity, request)
        event = _events.configuration_asked(wanted.version, wanted.identity)
        self.fire(event, "watch")

    @circuits.handler("message_received", channel=_dispatcher.AGENTS_CHANNEL)
    def _on_message_received(self, identity: bytes, message: object) -> None:
        match message:
            case core.RelayRequest():
                self._answer(identity, message)
            case core.RelayedConfiguration():
                self._take(message)

    def _answer(self, identity: bytes, request: core.RelayRequest) -> None:
        if self._configuration is None:
            return
        relay = core.ConfigurationRelay(
            self._incarnation,
            request.asker,
            self._version,
            core.compress_document(self._configuration.encode()),
        )
        self._send(identity, relay)

    def _take(self, relayed: core.RelayedConfiguration) -> None:
        if relayed.version <= self._version:
            return
        try:
            document = core.expand_document(relayed.document)
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
            self.fire(_events.configuration_rejected(error), "watch")
            return
        self.fire(_events.configuration_relayed(configuration), "keeper")

    def _send(self, identity: bytes, message: object) -> None:
        event = transport.send_message(identity, message)
        self.fire(event, _dispatcher.AGENTS_CHANNEL)
