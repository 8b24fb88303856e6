"""Owner of the configuration in force."""

import datetime
import itertools

import attrs
import circuits
import msgspec

import cowslipgate_core as core
from cowslipgate_entry import _events
from cowslipgate_entry.callers import _requests

CHANNEL = "configuration-manager"
CONFIGURATION_ROW = ("configuration", "current")
READ_INTERVAL = datetime.timedelta(seconds=4)
"""Time between two reads of the row once a configuration is in force."""

FIRST_READ_INTERVAL = datetime.timedelta(seconds=1)
"""Time between two reads while no configuration is in force."""

ACKNOWLEDGE_TIMEOUT = datetime.timedelta(seconds=5)
"""Longest time that a stored patch waits for the other entries."""

FETCH_INTERVAL = datetime.timedelta(milliseconds=250)
"""Shortest time between two fetches of a newer version."""

ASKED_PEERS = 3
"""Entries asked per fetch; each one sends the whole document."""


@attrs.define(eq=False)
class _PendingPatch:
    """A stored patch that the other entries have yet to acknowledge."""

    patch: _requests.Patch
    """The operator's request."""

    version: int
    """Configuration version that the patch made."""

    until: datetime.datetime
    """Latest time to answer the operator."""


class ConfigurationManager(circuits.BaseComponent):
    """Adopts only higher versions, and reports when all entries have one."""

    channel = CHANNEL

    def __init__(self, member: core.Member, clock: core.Clock) -> None:
        super().__init__()
        self._member = member
        self._clock = clock
        self._numbers = itertools.count(1)
        self._configuration: core.Configuration | None = None
        self._members: tuple[core.Member, ...] = (member,)
        self._acknowledged: dict[int, int] = {}
        self._pending: list[_PendingPatch] = []
        self._next_read = clock.now()
        self._next_fetch = clock.now()
        self._request_count = 0
        self.malformed = 0

    @circuits.handler("tick")
    def _on_tick(self) -> None:
        now = self._clock.now()
        if now >= self._next_read:
            self._read_current()
        for pending in list(self._pending):
            self._check_acknowledged(pending, now)

    @circuits.handler("members_changed")
    def _on_members_changed(self, members: tuple[core.Member, ...]) -> None:
        self._members = members
        live = {member.incarnation for member in members}
        for entry in set(self._acknowledged) - live:
            del self._acknowledged[entry]

    @circuits.handler("newer_configuration_reported")
    def _on_newer_configuration_reported(
        self, version: int, identity: bytes = b""
    ) -> None:
        now = self._clock.now()
        if version <= self._version or now < self._next_fetch:
            return
        # All agents and entries may report the version at the same time.
        self._next_fetch = now + FETCH_INTERVAL
        self._read_current()
        self._request_from_peers()

    @circuits.handler("peer_message_received")
    def _on_peer_message_received(self, message: object) -> None:
        match message:
            case core.ConfigurationPush():
                self._adopt_encoded(message.version, message.document)
                reply = core.ConfigurationAcknowledge(
                    self._member.incarnation, self._version
                )
                self.fire(_events.send_to_peer(message.entry, reply), "peers")
            case core.ConfigurationRequest():
                if self._configuration is not None:
                    push = self._make_push()
                    self.fire(
                        _events.send_to_peer(message.entry, push), "peers"
                    )
            case core.ConfigurationAcknowledge():
                self._record_version(message.entry, message.version)
            case core.Gossip():
                version = message.configuration_version
                self._record_version(message.member.incarnation, version)

    @circuits.handler("store_answered")
    def _on_store_answered(self, answer: _requests.StoreAnswer) -> None:
        match answer.result:
            case _requests.StoreResult.DONE:
                row = _requests.decode_configuration(answer.value)
                if row is None:
                    self.malformed += 1
                else:
                    self._adopt(row.version, row.document)
            case _requests.StoreResult.ABSENT:
                self._adopt(0, {})

    @circuits.handler("configuration_read")
    def _on_configuration_read(
        self, row: _requests.StoredConfiguration
    ) -> None:
        self._adopt(row.version, row.document)

    @circuits.handler("patch_stored")
    def _on_patch_stored(
        self,
        patch: _requests.Patch,
        version: int,
        row: _requests.StoredConfiguration,
    ) -> None:
        self._adopt(row.version, row.document)
        self._await_acknowledgements(patch, version)

    @property
    def _version(self) -> int:
        configuration = self._configuration
        return configuration.version if configuration is not None else -1

    def _read_current(self) -> None:
        interval = READ_INTERVAL
        if self._configuration is None:
            interval = FIRST_READ_INTERVAL
        self._next_read = self._clock.now() + interval
        call = _requests.StoreCall(
            next(self._numbers), CHANNEL, CONFIGURATION_ROW
        )
        self.fire(_events.call_store(call), "store")

    def _request_from_peers(self) -> None:
        # A few take turns, since each one sends the whole document.
        own = self._member.incarnation
        request = core.ConfigurationRequest(own)
        entries = [member.incarnation for member in self._members]
        others = [entry for entry in entries if entry != own]
        for entry in others[:ASKED_PEERS]:
            position = self._request_count % len(others)
            self._request_count += 1
            event = _events.send_to_peer(others[position], request)
            self.fire(event, "peers")

    def _adopt_encoded(self, version: int, document: bytes) -> None:
        try:
            decoded = msgspec.json.decode(core.decompress_document(document))
        except (
            core.WireError,
            msgspec.MsgspecError,
            UnicodeError,
            RecursionError,
        ):
            self.malformed += 1
            return
        self._adopt(version, decoded)

    def _adopt(self, version: int, document: object) -> None:
        if version <= self._version:
            return
        try:
            configuration = core.parse_configuration(version, document)
        except core.ConfigurationError:
            self.malformed += 1
            return
        self._configuration = configuration
        self._record_version(self._member.incarnation, version)
        event = _events.configuration_adopted(configuration)
        self.fire(event, "dispatcher", "gateway", "peers", "leases", "patches")

    def _record_version(self, entry: int, version: int) -> None:
        known = self._acknowledged.get(entry, -1)
        self._acknowledged[entry] = max(known, version)
        for pending in list(self._pending):
            self._check_acknowledged(pending, self._clock.now())

    def _make_push(self) -> core.ConfigurationPush:
        return core.ConfigurationPush(
            self._member.incarnation,
            self._version,
            core.compress_document(self._configuration.encode()),
        )

    def _await_acknowledgements(
        self, patch: _requests.Patch, version: int
    ) -> None:
        self.fire(_events.send_to_peers(self._make_push()), "peers")
        until = self._clock.now() + ACKNOWLEDGE_TIMEOUT
        pending = _PendingPatch(patch, version, until)
        self._pending.append(pending)
        self._check_acknowledged(pending, self._clock.now())

    def _check_acknowledged(
        self, pending: _PendingPatch, now: datetime.datetime
    ) -> None:
        acknowledged = []
        missing = []
        for member in self._members:
            known = self._acknowledged.get(member.incarnation, -1)
            names = acknowledged if known >= pending.version else missing
            names.append(member.incarnation)
        if missing and now < pending.until:
            return
        self._pending.remove(pending)
        outcome = _requests.PatchOutcome(
            pending.version,
            acknowledged=tuple(acknowledged),
            lapsed=tuple(missing),
        )
        self.fire(_events.patch_resolved(pending.patch, outcome), "gateway")
