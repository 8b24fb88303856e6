"""The component that owns the configuration in force."""

import datetime
import itertools

import attrs
import circuits
import msgspec

import cowslipgate_core as core
from cowslipgate_entry import _events
from cowslipgate_entry.callers import _requests

CHANNEL = "keeper"
CONFIGURATION_ROW = ("configuration", "current")
READ_INTERVAL = datetime.timedelta(seconds=4)
FIRST_READ_INTERVAL = datetime.timedelta(seconds=1)
IN_FORCE_TIMEOUT = datetime.timedelta(seconds=5)
WANTED_INTERVAL = datetime.timedelta(milliseconds=250)
ASKED_PEERS = 3


@attrs.define(eq=False)
class _InForce:
    """A stored patch that waits for the other entries."""

    patch: _requests.Patch
    """What was asked for."""

    version: int
    """Version stored."""

    until: datetime.datetime
    """When the operator is answered at the latest."""


class Keeper(circuits.BaseComponent):
    """Adopts only higher versions and tells when all entries have one."""

    channel = CHANNEL

    def __init__(self, member: core.Member, clock: core.Clock) -> None:
        super().__init__()
        self._member = member
        self._clock = clock
        self._numbers = itertools.count(1)
        self._configuration: core.Configuration | None = None
        self._members: tuple[core.Member, ...] = (member,)
        self._acknowledged: dict[int, int] = {}
        self._in_force: list[_InForce] = []
        self._next_read = clock.now()
        self._next_wanted = clock.now()
        self._asked = 0
        self.malformed = 0

    @circuits.handler("tick")
    def _on_tick(self) -> None:
        now = self._clock.now()
        if now >= self._next_read:
            self._read_current()
        for waiting in list(self._in_force):
            self._check_in_force(waiting, now)

    @circuits.handler("members_changed")
    def _on_members_changed(self, members: tuple[core.Member, ...]) -> None:
        self._members = members
        live = {member.incarnation for member in members}
        for entry in set(self._acknowledged) - live:
            del self._acknowledged[entry]

    @circuits.handler("configuration_wanted")
    def _on_configuration_wanted(
        self, version: int, identity: bytes = b""
    ) -> None:
        now = self._clock.now()
        if version <= self._version or now < self._next_wanted:
            return
        # Every agent and entry may name the version at once.
        self._next_wanted = now + WANTED_INTERVAL
        self._read_current()
        self._ask_peers()

    @circuits.handler("peer_heard")
    def _on_peer_heard(self, message: object) -> None:
        match message:
            case core.ConfigurationPush():
                self._adopt_encoded(message.version, message.document)
                reply = core.ConfigurationAcknowledge(
                    self._member.incarnation, self._version
                )
                self.fire(_events.tell_peer(message.entry, reply), "peers")
            case core.ConfigurationRequest():
                if self._configuration is not None:
                    push = self._make_push()
                    self.fire(_events.tell_peer(message.entry, push), "peers")
            case core.ConfigurationAcknowledge():
                self._note_version(message.entry, message.version)
            case core.Gossip():
                version = message.configuration_version
                self._note_version(message.member.incarnation, version)

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
        self._await_in_force(patch, version)

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

    def _ask_peers(self) -> None:
        # Each one asked sends the whole document, so a few do, in turn.
        own = self._member.incarnation
        request = core.ConfigurationRequest(own)
        entries = [member.incarnation for member in self._members]
        others = [entry for entry in entries if entry != own]
        for entry in others[:ASKED_PEERS]:
            position = self._asked % len(others)
            self._asked += 1
            event = _events.tell_peer(others[position], request)
            self.fire(event, "peers")

    def _adopt_encoded(self, version: int, document: bytes) -> None:
        try:
            decoded = msgspec.json.decode(core.expand_document(document))
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
        self._note_version(self._member.incarnation, version)
        event = _events.configuration_adopted(configuration)
        self.fire(event, "dispatcher", "gateway", "peers", "leases", "patches")

    def _note_version(self, entry: int, version: int) -> None:
        known = self._acknowledged.get(entry, -1)
        self._acknowledged[entry] = max(known, version)
        for waiting in list(self._in_force):
            self._check_in_force(waiting, self._clock.now())

    def _make_push(self) -> core.ConfigurationPush:
        return core.ConfigurationPush(
            self._member.incarnation,
            self._version,
            core.compress_document(self._configuration.encode()),
        )

    def _await_in_force(self, patch: _requests.Patch, version: int) -> None:
        self.fire(_events.tell_peers(self._make_push()), "peers")
        until = self._clock.now() + IN_FORCE_TIMEOUT
        waiting = _InForce(patch, version, until)
        self._in_force.append(waiting)
        self._check_in_force(waiting, self._clock.now())

    def _check_in_force(
        self, waiting: _InForce, now: datetime.datetime
    ) -> None:
        acknowledged = []
        lapsed = []
        for member in self._members:
            known = self._acknowledged.get(member.incarnation, -1)
            names = acknowledged if known >= waiting.version else lapsed
            names.append(member.incarnation)
        if lapsed and now < waiting.until:
            return
        self._in_force.remove(waiting)
        outcome = _requests.PatchOutcome(
            waiting.version,
            acknowledged=tuple(acknowledged),
            lapsed=tuple(lapsed),
        )
        self.fire(_events.patch_decided(waiting.patch, outcome), "gateway")
