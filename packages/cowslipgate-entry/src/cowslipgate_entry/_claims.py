"""Claims of jobs that may not be repeated, kept in the table service."""

import itertools

import circuits

import cowslipgate_core as core
from cowslipgate_entry import _events
from cowslipgate_entry import _requests

CHANNEL = "claims"
CLAIM_TABLE = "claims"
TRIES = 4


class Claims(circuits.BaseComponent):
    """Inserts claim rows before the first task of a job is sent."""

    channel = CHANNEL

    def __init__(self, member: core.Member) -> None:
        super().__init__()
        self._member = member
        self._numbers = itertools.count(1)
        self._pending: list[_requests.Claim] = []
        self._calls: dict[int, tuple[_requests.Claim, ...]] = {}
        self._tries: dict[str, int] = {}

    @circuits.handler("claim_job")
    def _on_claim_job(self, claim: _requests.Claim) -> None:
        if not self._pending:
            self.fire(_events.write_claims())
        self._pending.append(claim)

    @circuits.handler("write_claims")
    def _on_write_claims(self) -> None:
        unique = {claim.key: claim for claim in reversed(self._pending)}
        later = [c for c in self._pending if unique[c.key] is not c]
        self._pending = []
        for claim in later:
            self._decide(claim, _requests.ClaimOutcome.TAKEN, "")
        self._write(tuple(unique.values()))

    @circuits.handler("store_answered")
    def _on_store_answered(self, answer: _requests.StoreAnswer) -> None:
        claims = self._calls.pop(answer.call.id)
        if answer.call.read is not None:
            self._follow_read(claims[0], answer)
        elif answer.result is _requests.StoreResult.DONE:
            for claim in claims:
                self._decide(claim, _requests.ClaimOutcome.CLAIMED, "")
        else:
            # A conflict names no row and a lost answer may have written.
            for claim in claims:
                self._read(claim)

    def _follow_read(
        self, claim: _requests.Claim, answer: _requests.StoreAnswer
    ) -> None:
        match answer.result:
            case _requests.StoreResult.DONE:
                outcome = _requests.ClaimOutcome.TAKEN
                if answer.value["nonce"] == claim.nonce:
                    outcome = _requests.ClaimOutcome.CLAIMED
                self._decide(claim, outcome, answer.value["job"])
            case _requests.StoreResult.ABSENT:
                self._retry(claim)
            case _:
                self._decide(claim, _requests.ClaimOutcome.UNAVAILABLE, "")

    def _retry(self, claim: _requests.Claim) -> None:
        tries = self._tries.get(claim.nonce, 0) + 1
        self._tries[claim.nonce] = tries
        if tries < TRIES:
            self._write((claim,))
        else:
            self._decide(claim, _requests.ClaimOutcome.UNAVAILABLE, "")

    def _write(self, claims: tuple[_requests.Claim, ...]) -> None:
        rows = tuple(
            _requests.Row(
                CLAIM_TABLE,
                claim.key,
                {
                    "nonce": claim.nonce,
                    "job": claim.job.id,
                    "entry": self._member.incarnation,
                },
                0,
            )
            for claim in claims
        )
        self._call(claims, writes=rows)

    def _read(self, claim: _requests.Claim) -> None:
        self._call((claim,), read=(CLAIM_TABLE, claim.key))

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

    def _decide(
        self,
        claim: _requests.Claim,
        outcome: _requests.ClaimOutcome,
        known: str,
    ) -> None:
        self._tries.pop(claim.nonce, None)
        self.fire(_events.job_claimed(claim, outcome, known), "dispatcher")
