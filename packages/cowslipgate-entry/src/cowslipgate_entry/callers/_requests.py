"""Records that the components of the entry exchange."""

import enum
from typing import Annotated, Any

import attrs
import msgspec

import cowslipgate_core as core
import cowslipgate_transport as transport


@attrs.frozen(eq=False)
class Submission:
    """A job at the door, with the request that waits for its answer."""

    exchange: transport.Exchange
    """Request to be answered."""

    team: str
    """Team of the caller."""

    service: str
    """Service asked for."""

    request: core.JobRequest
    """The job."""

    key: str
    """Idempotency key, or empty."""

    traceparent: str
    """W3C trace context, or empty."""

    terms: core.JobTerms = core.DEFAULT_TERMS
    """How the job is run."""


@attrs.frozen(eq=False)
class Cancellation:
    """Jobs to cancel on behalf of a team."""

    number: int
    """Number at the component that asks."""

    team: str
    """Team whose jobs are cancelled."""

    job: str = ""
    """Job id, empty when a label is given."""

    service: str = ""
    """Service of the jobs with the label."""

    label: str = ""
    """Label, empty when a job is given."""


@attrs.frozen(eq=False)
class Claim:
    """A job that may not be repeated, before its first task is sent."""

    key: str
    """Row of the claim: team and idempotency key."""

    nonce: str
    """Tells this claim from any other of the same key."""

    job: core.Job
    """The job."""


class ClaimOutcome(enum.StrEnum):
    """How a claim was decided."""

    CLAIMED = "claimed"
    TAKEN = "taken"
    UNAVAILABLE = "unavailable"


@attrs.frozen(eq=False)
class Patch:
    """A change of the configuration that an operator asks for."""

    exchange: transport.Exchange
    """Request to be answered."""

    expected_version: int
    """Version that the operator saw."""

    key: str
    """Idempotency key."""

    changes: object
    """RFC 7396 merge patch in JSON types."""


class PatchProblem(enum.StrEnum):
    """Why a patch was not stored."""

    OUTDATED = "outdated"
    INVALID = "invalid"
    KEY_REUSED = "key_reused"
    STORE_UNAVAILABLE = "store_unavailable"
    OUTCOME_UNKNOWN = "outcome_unknown"


@attrs.frozen(eq=False)
class PatchOutcome:
    """How a patch was decided."""

    version: int
    """Version stored, or the current one when refused."""

    problem: PatchProblem | None = None
    """Why it was not stored, or None when it was."""

    faults: tuple[core.Fault, ...] = ()
    """Faults of the patched document."""

    acknowledged: tuple[int, ...] = ()
    """Entries in which the version is in force."""

    lapsed: tuple[int, ...] = ()
    """Entries that have not acknowledged it in time."""


@attrs.frozen(eq=False)
class Row:
    """A row to write."""

    table: str
    """Table."""

    key: str
    """Key."""

    value: object
    """JSON value."""

    revision: int
    """Revision that must be current; zero for a row that must not exist."""


@attrs.frozen(eq=False)
class StoreCall:
    """A read of one row or a transaction of several."""

    id: int
    """Number at the component that asks."""

    channel: str
    """Channel that the answer goes to."""

    read: tuple[str, str] | None = None
    """Table and key to read, or None to write."""

    writes: tuple[Row, ...] = ()
    """Rows to write, all or nothing."""


class StoreResult(enum.StrEnum):
    """How a call of the table service ended."""

    DONE = "done"
    ABSENT = "absent"
    CONFLICT = "conflict"
    UNREACHABLE = "unreachable"
    LOST = "lost"


@attrs.frozen(eq=False)
class StoreAnswer:
    """The answer to a store call."""

    call: StoreCall
    """The call."""

    result: StoreResult
    """How it ended; LOST means that a write may have taken effect."""

    value: object = None
    """JSON value read."""

    revision: int = 0
    """Revision of the row read."""


@attrs.frozen
class StoredConfiguration:
    """The value of the configuration's row."""

    version: Annotated[int, msgspec.Meta(ge=0)]
    """Version of the document."""

    document: dict[str, Any]
    """The document in JSON types."""


def decode_configuration(value: object) -> StoredConfiguration | None:
    """Return the record in a row's value, or None when it is malformed."""
    try:
        return msgspec.convert(value, StoredConfiguration)
    except msgspec.ValidationError:
        return None
