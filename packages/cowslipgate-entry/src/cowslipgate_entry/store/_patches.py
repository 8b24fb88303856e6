"""The component that takes patches through the table service."""

import itertools

import attrs
import circuits
import msgspec

import cowslipgate_core as core
from cowslipgate_entry import _events
from cowslipgate_entry.callers import _requests
from cowslipgate_entry.store import _keeper

CHANNEL = "patches"
PATCH_TABLE = "patches"
SETTLE_TRIES = 3


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


class Patches(circuits.BaseComponent):
    """Stores patches by compare-and-set on the configuration's version."""

    channel = CHANNEL

    def __init__(self) -> None:
        super().__init__()
        self._chart = core.load_chart("configuration")
        self._numbers = itertools.count(1)
        self._runs: dict[int, _PatchRun] = {}
        self._version = 0

    @circuits.handler("configuration_adopted")
    def _on_configuration_adopted(
        self, configuration: core.Configuration
    ) -> None:
        self._version = configuration.version

    @circuits.handler("patch_configuration")
    def _on_patch_configuration(self, patch: _requests.Patch) -> None:
        run = _PatchRun(patch, core.Machine(self._chart))
        self._call(run, read=(PATCH_TABLE, patch.key))

    @circuits.handler("store_answered")
    def _on_store_answered(self, answer: _requests.StoreAnswer) -> None:
        run = self._runs.pop(answer.call.id)
        if answer.call.read is None:
            self._follow_write(run, answer)
        elif answer.call.read == _keeper.CONFIGURATION_ROW:
            self._follow_current(run, answer)
        else:
            self._follow_applied(run, answer)

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
                self._call(run, read=_keeper.CONFIGURATION_ROW)
            case _:
                self._follow_unreachable(run)

    def _follow_row(self, run: _PatchRun, value: object) -> None:
        try:
            applied = msgspec.convert(value, _AppliedPatch)
        except msgspec.ValidationError:
            self._follow_unreachable(run)
            return
        if applied.digest != _digest_patch(run.patch):
            self._refuse(run, _requests.PatchProblem.KEY_REUSED)
            return
        run.applied = applied.version
        self._call(run, read=_keeper.CONFIGURATION_ROW)

    def _follow_current(
        self, run: _PatchRun, answer: _requests.StoreAnswer
    ) -> None:
        row: _requests.StoredConfiguration | None = None
        if answer.result is _requests.StoreResult.DONE:
            row = _requests.decode_configuration(answer.value)
        elif answer.result is _requests.StoreResult.ABSENT:
            row = _requests.StoredConfiguration(0, {})
        if row is None:
            self._follow_unreachable(run)
            return
        if run.applied is not None:
            run.machine.fire("applied")
            self._finish(run, run.applied, row)
            return
        self.fire(_events.configuration_read(row), "keeper")
        if row.version != run.patch.expected_version:
            run.machine.fire("outdated")
            self._decide(run, row.version, _requests.PatchProblem.OUTDATED)
            return
        self._write(run, row, answer.revision)

    def _write(
        self,
        run: _PatchRun,
        row: _requests.StoredConfiguration,
        revision: int,
    ) -> None:
        version = row.version
        merged = core.merge_patch(row.document, run.patch.changes)
        try:
            run.configuration = core.parse_configuration(version + 1, merged)
        except core.ConfigurationError as error:
            run.machine.fire("outdated")
            self._decide(
                run, version, _requests.PatchProblem.INVALID, error.faults
            )
            return
        run.machine.fire("found")
        table, key = _keeper.CONFIGURATION_ROW
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
                stored = run.configuration
                row = _requests.StoredConfiguration(stored.version, stored.raw)
                self._finish(run, stored.version, row)
            case _requests.StoreResult.CONFLICT:
                run.machine.fire("conflict")
                self._call(run, read=(PATCH_TABLE, run.patch.key))
            case _:
                run.machine.fire("lost")
                self._follow_unreachable(run)

    def _finish(
        self,
        run: _PatchRun,
        version: int,
        row: _requests.StoredConfiguration,
    ) -> None:
        event = _events.patch_stored(run.patch, version, row)
        self.fire(event, "keeper")

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


def _digest_patch(patch: _requests.Patch) -> str:
    body = msgspec.json.encode(patch.changes, order="sorted")
    return core.digest_token(f"{patch.expected_version}:{body.decode()}")
