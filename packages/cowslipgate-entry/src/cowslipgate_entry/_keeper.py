"""The component that owns the configuration and its patches."""

import datetime
import itertools
from typing import Annotated, Any

import attrs
import circuits
import msgspec

import cowslipgate_core as core
from cowslipgate_entry import _events
from cowslipgate_entry import _requests

CHANNEL = "keeper"
CONFIGURATION_ROW = ("configuration", "current")
PATCH_TABLE = "patches"
READ_INTERVAL = datetime.timedelta(seconds=4)
FIRST_READ_INTERVAL = datetime.timedelta(seconds=1)
IN_FORCE_TIMEOUT = datetime.timedelta(seconds=5)
WANTED_INTERVAL = datetime.timedelta(milliseconds=250)
SETTLE_TRIES = 3


@attrs.frozen
class _StoredConfiguration:
    """The value of the configuration row."""

    version: Annotated[int, msgspec.Meta(ge=0)]
    """Version of the document."""

    document: dict[str, Any]
    """The document in JSON types."""


@attrs.frozen
class _AppliedPatch:
    """The value of the row that an applied patch leaves."""

    version: int
    """Version that the patch made."""

    digest: str
    """Digest of the patch."""


@attrs.define(eq=False)
class _PatchRun:
    """A patch on its way through the table service."""

    patch: _requests.Patch
    """What was asked for."""

    machine: core.Machine
    """State, as in ``charts/configuration.toml``."""

    applied: int | None = None
    """Version that an earlier try with the same key stored."""

    configuration: core.Configuration | None = None
    """What is being written."""

    tries: int = 0
    """Store calls that failed since the patch came."""


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
    """Adopts only higher versions and stores patches by compare-and-set."""

    channel = CHANNEL

    def __init__(self, member: core.Member, clock: core.Clock) -> None:
        super().__init__()
        self._member = member
        self._clock = clock
        self._numbers = itertools.count(1)
        self._chart = core.load_chart("configuration")
        self._configuration: core.Configuration | None = None
        self._members: tuple[core.Member, ...] = (member,)
        self._acknowledged: dict[int, int] = {}
        self._runs: dict[int, _PatchRun] = {}
        self._in_force: list[_InForce] = []
        self._next_read = clock.now()
        self._next_wanted = clock.now()
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
    def _on_configuration_wanted(self, version: int) -> None:
        now = self._clock.now()
        if version <= self._version or now < self._next_wanted:
            return
        # Every agent and entry may name the version at once.
        self._next_wanted = now + WANTED_INTERVAL
        self._read_current()
        request = core.ConfigurationRequest(self._member.incarnation)
        self.fire(_events.tell_peers(request), "peers")

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

    @circuits.handler("patch_configuration")
    def _on_patch_configuration(self, patch: _requests.Patch) -> None:
        run = _PatchRun(patch, core.Machine(self._chart))
        self._call(run, read=(PATCH_TABLE, patch.key))

    @circuits.handler("store_answered")
    def _on_store_answered(self, answer: _requests.StoreAnswer) -> None:
        run = self._runs.pop(answer.call.id, None)
        if run is None:
            self._take_current(answer)
        elif answer.call.read is None:
            self._follow_write(run, answer)
        elif answer.call.read == CONFIGURATION_ROW:
            self._follow_current(run, answer)
        else:
            self._follow_applied(run, answer)

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

    def _take_current(self, answer: _requests.StoreAnswer) -> None:
        match answer.result:
            case _requests.StoreResult.DONE:
                row = self._decode_row(answer.value)
                if row is not None:
                    self._adopt(row.version, row.document)
            case _requests.StoreResult.ABSENT:
                self._adopt(0, {})

    def _decode_row(self, value: object) -> _StoredConfiguration | None:
        try:
            return msgspec.convert(value, _StoredConfiguration)
        except msgspec.ValidationError:
            self.malformed += 1
            return None

    def _adopt_encoded(self, version: int, document: bytes) -> None:
        try:
            decoded = msgspec.json.decode(document)
        except (msgspec.MsgspecError, UnicodeError, RecursionError):
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
        self.fire(event, "dispatcher", "gateway", "peers", "leases")

    def _note_version(self, entry: int, version: int) -> None:
        known = self._acknowledged.get(entry, -1)
        self._acknowledged[entry] = max(known, version)
        for waiting in list(self._in_force):
            self._check_in_force(waiting, self._clock.now())

    def _make_push(self) -> core.ConfigurationPush:
        return core.ConfigurationPush(
            self._member.incarnation,
            self._version,
            self._configuration.encode(),
        )

    def _call(
        self,
        run: _PatchRun,
        read: tuple[str, str] | None = None,
        writes: tuple[_requests.Row, ...] = (),
    ) -> None:
        number = next(self._numbers)
        self._runs[number] = run
        call = _requests.StoreCall(number, CHANNEL, read, writes)
        self.fire(_events.call_store(call), "store")

    def _follow_applied(
        self, run: _PatchRun, answer: _requests.StoreAnswer
    ) -> None:
        match answer.result:
            case _requests.StoreResult.DONE:
                self._follow_row(run, answer.value)
            case _requests.StoreResult.ABSENT:
                self._call(run, read=CONFIGURATION_ROW)
            case _:
                self._follow_unreachable(run)

    def _follow_row(self, run: _PatchRun, value: object) -> None:
        try:
            applied = msgspec.convert(value, _AppliedPatch)
        except msgspec.ValidationError:
            self.malformed += 1
            self._follow_unreachable(run)
            return
        if applied.digest != _digest_patch(run.patch):
            self._refuse(run, _requests.PatchProblem.KEY_REUSED)
            return
        run.applied = applied.version
        self._call(run, read=CONFIGURATION_ROW)

    def _follow_current(
        self, run: _PatchRun, answer: _requests.StoreAnswer
    ) -> None:
        row: _StoredConfiguration | None = None
        if answer.result is _requests.StoreResult.DONE:
            row = self._decode_row(answer.value)
        elif answer.result is _requests.StoreResult.ABSENT:
            row = _StoredConfiguration(0, {})
        if row is None:
            self._follow_unreachable(run)
            return
        version, document = row.version, row.document
        self._adopt(version, document)
        if run.applied is not None:
            run.machine.fire("applied")
            self._await_in_force(run.patch, run.applied)
            return
        if version != run.patch.expected_version:
            run.machine.fire("outdated")
            self._decide(run, version, _requests.PatchProblem.OUTDATED)
            return
        self._write(run, version, document, answer.revision)

    def _write(
        self,
        run: _PatchRun,
        version: int,
        document: object,
        revision: int,
    ) -> None:
        merged = core.merge_patch(document, run.patch.changes)
        try:
            run.configuration = core.parse_configuration(version + 1, merged)
        except core.ConfigurationError as error:
            run.machine.fire("outdated")
            self._decide(
                run, version, _requests.PatchProblem.INVALID, error.faults
            )
            return
        run.machine.fire("found")
        table, key = CONFIGURATION_ROW
        value = {"version": version + 1, "document": merged}
        applied = {"version": version + 1, "digest": _digest_patch(run.patch)}
        rows = (
            _requests.Row(table, key, value, revision),
            _requests.Row(PATCH_TABLE, run.patch.key, applied, 0),
        )
        self._call(run, writes=rows)

    def _follow_write(
        self, run: _PatchRun, answer: _requests.StoreAnswer
    ) -> None:
        match answer.result:
            case _requests.StoreResult.DONE:
                run.machine.fire("stored")
                configuration = run.configuration
                self._adopt(configuration.version, configuration.raw)
                self._await_in_force(run.patch, configuration.version)
            case _requests.StoreResult.CONFLICT:
                run.machine.fire("conflict")
                self._call(run, read=(PATCH_TABLE, run.patch.key))
            case _:
                run.machine.fire("lost")
                self._follow_unreachable(run)

    def _follow_unreachable(self, run: _PatchRun) -> None:
        settling = run.machine.state == "settling"
        run.tries += 1
        if settling and run.tries < SETTLE_TRIES:
            self._call(run, read=(PATCH_TABLE, run.patch.key))
            return
        problem = _requests.PatchProblem.STORE_UNAVAILABLE
        if settling:
            problem = _requests.PatchProblem.OUTCOME_UNKNOWN
        run.machine.fire("unreachable")
        self._decide(run, self._version, problem)

    def _refuse(self, run: _PatchRun, problem: _requests.PatchProblem) -> None:
        run.machine.fire("outdated")
        self._decide(run, self._version, problem)

    def _decide(
        self,
        run: _PatchRun,
        version: int,
        problem: _requests.PatchProblem,
        faults: tuple[core.Fault, ...] = (),
    ) -> None:
        outcome = _requests.PatchOutcome(version, problem, faults)
        self.fire(_events.patch_decided(run.patch, outcome), "gateway")

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


def _digest_patch(patch: _requests.Patch) -> str:
    body = msgspec.json.encode(patch.changes, order="sorted")
    return core.digest_token(f"{patch.expected_version}:{body.decode()}")
