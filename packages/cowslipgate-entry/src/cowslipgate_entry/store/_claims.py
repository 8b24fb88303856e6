"""Claims of non-repeatable jobs, kept in the table service."""

import itertools

import attrs
import circuits
import msgspec

import cowslipgate_core as core
from cowslipgate_entry import _events
from cowslipgate_entry.callers import _requests

CHANNEL = "claims"
CLAIM_TABLE = "claims"
MAX_WRITE_TRIES = 4
"""Writes of one claim without effect before it is reported unavailable."""

MAX_TRANSACTIONS = 2
"""Concurrent write transactions."""

MAX_TRANSACTION_ROWS = 100
"""Claims written in one transaction."""


@attrs.frozen
class _ClaimRow:
    """Value of a claim's row."""

    nonce: str
    """Unique value that distinguishes claims of the same key."""

    job: str
    """Id of the job that holds the key."""

    entry: int
    """Incarnation of the entry that owns the job."""


class Claims(circuits.BaseComponent):
    """Inserts claim rows before the first task of a job is sent.

    While ``MAX_TRANSACTIONS`` writes are in flight, further claims are queued
    and share the next transaction.
    """

    channel = CHANNEL

    def __init__(self, member: core.Member) -> None:
        super().__init__()
        self._member = member
        self._numbers = itertools.count(1)
        self._pending: list[_requests.Claim] = []
        self._calls: dict[int, tuple[_requests.Claim, ...]] = {}
        self._tries: dict[str, int] = {}
        self._keys: dict[str, str] = {}
        self._transactions = 0

    @circuits.handler("claim_job")
    def _on_claim_job(self, claim: _requests.Claim) -> None:
        holder = self._keys.get(claim.key)
        if holder is not None:
            self._fire_outcome(claim, _requests.ClaimOutcome.TAKEN, holder)
            return
        self._keys[claim.key] = claim.job.id
        self._enqueue(claim)

    @circuits.handler("write_claims")
    def _on_write_claims(self) -> None:
        while self._pending and self._transactions < MAX_TRANSACTIONS:
            claims = tuple(self._pending[:MAX_TRANSACTION_ROWS])
            del self._pending[:MAX_TRANSACTION_ROWS]
            self._write(claims)

    @circuits.handler("store_answered")
    def _on_store_answered(self, answer: _requests.StoreAnswer) -> None:
        claims = self._calls.pop(answer.call.id)
        if answer.call.read is not None:
            self._handle_read(claims[0], answer)
            return
        self._transactions -= 1
        self.fire(_events.write_claims())
        if answer.result is _requests.StoreResult.DONE:
            for claim in claims:
                self._finish(claim, _requests.ClaimOutcome.CLAIMED)
            return
        # A conflict names no row, and a write without an answer may have
        # taken effect: read each row to find out.
        for claim in claims:
            self._call((claim,), read=(CLAIM_TABLE, claim.key))

    def _handle_read(
        self, claim: _requests.Claim, answer: _requests.StoreAnswer
    ) -> None:
        match answer.result:
            case _requests.StoreResult.DONE:
                self._handle_row(claim, answer.value)
            case _requests.StoreResult.ABSENT:
                self._retry(claim)
            case _:
                self._finish(claim, _requests.ClaimOutcome.UNAVAILABLE)

    def _handle_row(self, claim: _requests.Claim, value: object) -> None:
        try:
            row = msgspec.convert(value, _ClaimRow)
        except msgspec.ValidationError:
            self._finish(claim, _requests.ClaimOutcome.TAKEN)
            return
        outcome = _requests.ClaimOutcome.TAKEN
        if row.nonce == claim.nonce:
            outcome = _requests.ClaimOutcome.CLAIMED
        self._finish(claim, outcome, row.job)

    def _retry(self, claim: _requests.Claim) -> None:
        tries = self._tries.get(claim.nonce, 0) + 1
        self._tries[claim.nonce] = tries
        if tries < MAX_WRITE_TRIES:
            self._enqueue(claim)
        else:
            self._finish(claim, _requests.ClaimOutcome.UNAVAILABLE)

    def _enqueue(self, claim: _requests.Claim) -> None:
        if not self._pending:
            self.fire(_events.write_claims())
        self._pending.append(claim)

    def _write(self, claims: tuple[_requests.Claim, ...]) -> None:
        self._transactions += 1
        rows = tuple(
            _requests.Row(CLAIM_TABLE, claim.key, self._make_value(claim), 0)
            for claim in claims
        )
        self._call(claims, writes=rows)

    def _make_value(self, claim: _requests.Claim) -> object:
        row = _ClaimRow(claim.nonce, claim.job.id, self._member.incarnation)
        return msgspec.to_builtins(row)

    def _call(
        self,
        claims: tuple[_requests.Claim, ...],
        read: tuple[str, str] | None = None,
        writes: tuple[_requests.Row, ...] = (),
    ) -> None:
        number = next(self._numbers)
        self._calls[number] = claims
        call = _requests.StoreCall(number, CHANNEL, read, writes)
        self.fire(_events.call_store(call), "store")

    def _finish(
        self,
        claim: _requests.Claim,
        outcome: _requests.ClaimOutcome,
        holder: str = "",
    ) -> None:
        self._tries.pop(claim.nonce, None)
        self._keys.pop(claim.key, None)
        self._fire_outcome(claim, outcome, holder)

    def _fire_outcome(
        self,
        claim: _requests.Claim,
        outcome: _requests.ClaimOutcome,
        holder: str,
    ) -> None:
        self.fire(_events.job_claimed(claim, outcome, holder), "dispatcher")
