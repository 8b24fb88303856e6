"""Records exchanged by the components of the entry."""

import datetime
import enum
from typing import Any

import attrs
import msgspec

import cowslipgate_core as core
import cowslipgate_transport as transport


@attrs.frozen(eq=False)
class Submission:
    """A submitted job and the HTTP request to be answered."""

    exchange: transport.Exchange
    """HTTP request to be answered."""

    team: str
    """Team of the caller."""

    service: str
    """Service that runs the tasks."""

    request: core.JobRequest
    """Decoded body."""

    key: str
    """Idempotency key; empty is allowed for repeatable jobs only."""

    traceparent: str
    """W3C trace context, or empty."""

    terms: core.JobTerms = core.DEFAULT_TERMS
    """How the job runs; set by the request decoder, not by the caller."""

    caller_seen_at: datetime.datetime | None = None
    """When the caller was last known to be connected, or None if callers are
    not probed."""


@attrs.frozen(eq=False)
class Cancellation:
    """Jobs to cancel on behalf of a team."""

    number: int
    """Number that the requesting component or entry assigned."""

    team: str
    """Team whose jobs are cancelled."""

    job: str = ""
    """Job id, empty when a label is given."""

    service: str = ""
    """Service of the jobs with the label."""

    label: str = ""
    """Label, empty when a job is given."""

    resource: str = ""
    """Host and path of the jobs' requests, empty when a job or a label is
    given."""


class JobState(enum.StrEnum):
    """State of a job as its caller sees it."""

    QUEUED = "queued"
    RUNNING = "running"
    CANCELLED = "cancelled"


@attrs.frozen(eq=False)
class Inquiry:
    """A caller's request for the state of its job, or to cancel it."""

    exchange: transport.Exchange
    """HTTP request to be answered."""

    team: str
    """Team of the caller."""

    resource: str
    """Host and path by which the caller names the job."""

    cancels: bool
    """Whether the job is to be cancelled."""

    routed: bool = True
    """Whether a route of the present configuration matches the path."""


@attrs.frozen(eq=False)
class Claim:
    """A claim that a job must store before its first task is sent.

    Jobs that are not repeatable need one.
    """

    key: str
    """Row key: digest of the team and the idempotency key."""

    nonce: str
    """Random text that distinguishes claims of the same key."""

    job: core.Job
    """Job that waits for the claim."""


class ClaimOutcome(enum.StrEnum):
    """Result of a claim: stored, held by another job, or unconfirmed."""

    CLAIMED = "claimed"
    TAKEN = "taken"
    UNAVAILABLE = "unavailable"


@attrs.frozen(eq=False)
class Patch:
    """A change of the configuration requested by an operator."""

    exchange: transport.Exchange
    """HTTP request to be answered."""

    expected_version: int
    """Version that must be current, from ``If-Match``."""

    key: str
    """Digest of the idempotency key."""

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
    """Result of a patch."""

    version: int
    """Version stored, or the current one if the patch was refused."""

    problem: PatchProblem | None = None
    """Why it was not stored, or None if it was."""

    faults: tuple[core.Fault, ...] = ()
    """Validation errors of the patched document."""

    acknowledged: tuple[int, ...] = ()
    """Incarnations of the entries that apply the version."""

    lapsed: tuple[int, ...] = ()
    """Incarnations of the entries that have not acknowledged it in time."""


@attrs.frozen(eq=False)
class Row:
    """A row of the table service to write."""

    table: str
    """Name of the table."""

    key: str
    """Key of the row."""

    value: object
    """New value in JSON types."""

    revision: int
    """Revision that must be current; zero if the row must not exist."""


@attrs.frozen(eq=False)
class StoreCall:
    """A read of one row or a transaction of several."""

    id: int
    """Number that the calling component assigned."""

    channel: str
    """Channel that the answer goes to."""

    read: tuple[str, str] | None = None
    """Table and key to read, or None to write."""

    writes: tuple[Row, ...] = ()
    """Rows to write atomically."""


class StoreResult(enum.StrEnum):
    """Result of a call of the table service.

    LOST means that a write may have taken effect.
    """

    DONE = "done"
    ABSENT = "absent"
    CONFLICT = "conflict"
    UNREACHABLE = "unreachable"
    LOST = "lost"


@attrs.frozen(eq=False)
class StoreAnswer:
    """The answer to a store call."""

    call: StoreCall
    """Call that is answered."""

    result: StoreResult
    """Result of the call."""

    value: object = None
    """Value read in JSON types, or None."""

    revision: int = 0
    """Revision of the row read, or zero."""


@attrs.frozen
class StoredConfiguration:
    """The value of the configuration's row."""

    version: core.Count
    """Version of the document."""

    document: dict[str, Any]
    """The document in JSON types."""


def decode_configuration(value: object) -> StoredConfiguration | None:
    """Return the record in a row's value, or None if it is malformed."""
    try:
        return msgspec.convert(value, StoredConfiguration)
    except msgspec.ValidationError:
        return None
