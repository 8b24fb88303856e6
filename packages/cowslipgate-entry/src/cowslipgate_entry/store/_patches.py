"""Storing of operators' patches in the table service."""

import itertools

import attrs
import circuits
import msgspec

import cowslipgate_core as core
from cowslipgate_entry import _events
from cowslipgate_entry.callers import _requests
from cowslipgate_entry.store import _configuration_manager

CHANNEL = "patches"
PATCH_TABLE = "patches"
MAX_FAILED_CALLS = 3
"""Failed store calls after which a lost write has an unknown outcome."""


@attrs.frozen
class _AppliedPatch:
    """Value of the row that records an applied patch."""

    version: int
    """Configuration version that the patch made."""

    digest: str
    """Digest of the expected version and the changes."""


@attrs.define(eq=False)
class _PendingPatch:
    """A patch that is being stored."""

    patch: _requests.Patch
    """The operator's request."""

    machine: core.StateMachine
    """State machine of ``charts/configuration.toml``."""

    applied: int | None = None
    """Version stored by an earlier try with the same key, None without one."""

    configuration: core.Configuration | None = None
    """Configuration being written, None until the row was read."""

    tries: int = 0
    """Failed store calls since the patch was received."""


class Patches(circuits.BaseComponent):
    """Stores patches by compare-and-set on the configuration's version."""

    channel = CHANNEL

    def __init__(self) -> None:
        super().__init__()
        self._chart = core.load_chart("configuration")
        self._numbers = itertools.count(1)
        self._pending: dict[int, _PendingPatch] = {}
        self._version = 0

    @circuits.handler("configuration_adopted")
    def _on_configuration_adopted(
        self, configuration: core.Configuration
    ) -> None:
        self._version = configuration.version

    @circuits.handler("patch_configuration")
    def _on_patch_configuration(self, patch: _requests.Patch) -> None:
        pending = _PendingPatch(patch, core.StateMachine(self._chart))
        self._call(pending, read=(PATCH_TABLE, patch.key))

    @circuits.handler("store_answered")
    def _on_store_answered(self, answer: _requests.StoreAnswer) -> None:
        pending = self._pending.pop(answer.call.id)
        if answer.call.read is None:
            self._handle_write(pending, answer)
        elif answer.call.read == _configuration_manager.CONFIGURATION_ROW:
            self._handle_current(pending, answer)
        else:
            self._handle_applied(pending, answer)

    def _call(
        self,
        pending: _PendingPatch,
        read: tuple[str, str] | None = None,
        writes: tuple[_requests.Row, ...] = (),
    ) -> None:
        number = next(self._numbers)
        self._pending[number] = pending
        call = _requests.StoreCall(number, CHANNEL, read, writes)
        self.fire(_events.call_store(call), "store")

    def _handle_applied(
        self, pending: _PendingPatch, answer: _requests.StoreAnswer
    ) -> None:
        match answer.result:
            case _requests.StoreResult.DONE:
                self._handle_applied_row(pending, answer.value)
            case _requests.StoreResult.ABSENT:
                self._call(
                    pending, read=_configuration_manager.CONFIGURATION_ROW
                )
            case _:
                self._handle_unreachable(pending)

    def _handle_applied_row(
        self, pending: _PendingPatch, value: object
    ) -> None:
        try:
            applied = msgspec.convert(value, _AppliedPatch)
        except msgspec.ValidationError:
            self._handle_unreachable(pending)
            return
        if applied.digest != _digest_patch(pending.patch):
            self._refuse(pending, _requests.PatchProblem.KEY_REUSED)
            return
        pending.applied = applied.version
        self._call(pending, read=_configuration_manager.CONFIGURATION_ROW)

    def _handle_current(
        self, pending: _PendingPatch, answer: _requests.StoreAnswer
    ) -> None:
        row: _requests.StoredConfiguration | None = None
        if answer.result is _requests.StoreResult.DONE:
            row = _requests.decode_configuration(answer.value)
        elif answer.result is _requests.StoreResult.ABSENT:
            row = _requests.StoredConfiguration(0, {})
        if row is None:
            self._handle_unreachable(pending)
            return
        if pending.applied is not None:
            pending.machine.fire("applied")
            self._finish(pending, pending.applied, row)
            return
        self.fire(_events.configuration_read(row), "configuration-manager")
        if row.version != pending.patch.expected_version:
            pending.machine.fire("outdated")
            self._fire_outcome(
                pending, row.version, _requests.PatchProblem.OUTDATED
            )
            return
        self._write(pending, row, answer.revision)

    def _write(
        self,
        pending: _PendingPatch,
        row: _requests.StoredConfiguration,
        revision: int,
    ) -> None:
        version = row.version
        merged = core.merge_patch(row.document, pending.patch.changes)
        try:
            pending.configuration = core.parse_configuration(
                version + 1, merged
            )
        except core.ConfigurationError as error:
            pending.machine.fire("outdated")
            self._fire_outcome(
                pending, version, _requests.PatchProblem.INVALID, error.faults
            )
            return
        pending.machine.fire("found")
        table, key = _configuration_manager.CONFIGURATION_ROW
        value = {"version": version + 1, "document": merged}
        applied = {
            "version": version + 1,
            "digest": _digest_patch(pending.patch),
        }
        rows = (
            _requests.Row(table, key, value, revision),
            _requests.Row(PATCH_TABLE, pending.patch.key, applied, 0),
        )
        self._call(pending, writes=rows)

    def _handle_write(
        self, pending: _PendingPatch, answer: _requests.StoreAnswer
    ) -> None:
        match answer.result:
            case _requests.StoreResult.DONE:
                pending.machine.fire("stored")
                stored = pending.configuration
                row = _requests.StoredConfiguration(stored.version, stored.raw)
                self._finish(pending, stored.version, row)
            case _requests.StoreResult.CONFLICT:
                pending.machine.fire("conflict")
                self._call(pending, read=(PATCH_TABLE, pending.patch.key))
            case _:
                pending.machine.fire("lost")
                self._handle_unreachable(pending)

    def _finish(
        self,
        pending: _PendingPatch,
        version: int,
        row: _requests.StoredConfiguration,
    ) -> None:
        event = _events.patch_stored(pending.patch, version, row)
        self.fire(event, "configuration-manager")

    def _handle_unreachable(self, pending: _PendingPatch) -> None:
        settling = pending.machine.state == "settling"
        pending.tries += 1
        if settling and pending.tries < MAX_FAILED_CALLS:
            self._call(pending, read=(PATCH_TABLE, pending.patch.key))
            return
        problem = _requests.PatchProblem.STORE_UNAVAILABLE
        if settling:
            problem = _requests.PatchProblem.OUTCOME_UNKNOWN
        pending.machine.fire("unreachable")
        self._fire_outcome(pending, self._version, problem)

    def _refuse(
        self, pending: _PendingPatch, problem: _requests.PatchProblem
    ) -> None:
        pending.machine.fire("outdated")
        self._fire_outcome(pending, self._version, problem)

    def _fire_outcome(
        self,
        pending: _PendingPatch,
        version: int,
        problem: _requests.PatchProblem,
        faults: tuple[core.Fault, ...] = (),
    ) -> None:
        outcome = _requests.PatchOutcome(version, problem, faults)
        self.fire(_events.patch_resolved(pending.patch, outcome), "gateway")


def _digest_patch(patch: _requests.Patch) -> str:
    body = msgspec.json.encode(patch.changes, order="sorted")
    return core.digest_token(f"{patch.expected_version}:{body.decode()}")
