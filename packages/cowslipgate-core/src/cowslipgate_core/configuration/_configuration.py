"""The operators' configuration: records, validation, merge patches."""

import datetime
import enum
import hashlib
import hmac
import json
from typing import Annotated, Any

import attrs
import msgspec

from cowslipgate_core import _exceptions
from cowslipgate_core.configuration import _routes

MAX_TASKS = 410
"""Largest number of tasks in one job of any service."""

_Weight = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
_Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
_Tasks = Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS)]
_Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=86_400_000)]
_Digest = Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]


class Admission(enum.StrEnum):
    """How a service decides whether a job can be done in time."""

    DEADLINE = "deadline"
    FORECAST = "forecast"


@attrs.frozen
class Service:
    """A pool of targets, with the limits and weights of its jobs."""

    response_weight: _Weight = 0.5
    """Weight of response time in placement, 0 to 1."""

    waste_weight: _Weight = 0.5
    """Weight of wasted messages in placement, 0 to 1."""

    max_tasks: _Tasks = MAX_TASKS
    """Largest number of tasks in one job."""

    max_backlog: _Count = 100_000
    """Largest number of waiting tasks at one entry."""

    default_deadline_ms: _Milliseconds = 30_000
    """Deadline in milliseconds of jobs that declare none."""

    preemption: bool = False
    """Whether runs are stopped for jobs of a more urgent priority."""

    admission: Admission = Admission.DEADLINE
    """``deadline`` lets a job wait until its own size makes it too late;
    ``forecast`` refuses it once the work ahead of it does."""

    separate_kinds: bool = False
    """Whether tasks of routes that slow each other down are sent to different
    targets where targets are equally good otherwise."""

    @property
    def default_deadline(self) -> datetime.timedelta:
        """Deadline of jobs that declare none."""
        return datetime.timedelta(milliseconds=self.default_deadline_ms)


@attrs.frozen
class Team:
    """A team of callers and its quota."""

    token_digests: tuple[_Digest, ...] = ()
    """SHA-256 digests in hexadecimal of the team's bearer tokens."""

    slots: _Count = 1_000_000
    """Quota: slots that the team may use at once, over all entries."""


@attrs.frozen
class Operator:
    """A user who may read and patch the configuration."""

    token_digests: tuple[_Digest, ...] = ()
    """SHA-256 digests in hexadecimal of the operator's bearer tokens."""


@attrs.frozen
class Document:
    """The content of a configuration, without its version."""

    services: dict[str, Service] = attrs.Factory(dict)
    """Services by name."""

    teams: dict[str, Team] = attrs.Factory(dict)
    """Teams by name."""

    operators: dict[str, Operator] = attrs.Factory(dict)
    """Operators by name."""

    routes: dict[str, _routes.Route] = attrs.Factory(dict)
    """Routes by name."""


@attrs.frozen
class Configuration:
    """A validated document with its version."""

    version: int
    """Version number, incremented by each accepted patch."""

    document: Document
    """The validated document."""

    raw: dict[str, Any]
    """The document as stored, in JSON types."""

    def encode(self) -> bytes:
        """Return ``raw`` encoded as JSON."""
        return json.dumps(self.raw).encode()


def parse_configuration(version: int, raw: Any) -> Configuration:
    """Validate the stored document ``raw`` and return the configuration.

    :raises ConfigurationError: with every fault found
    """
    faults = list(_find_faults(raw))
    if faults:
        raise _exceptions.ConfigurationError(tuple(faults))
    document = msgspec.convert(raw, Document)
    faults = _find_share_faults(document)
    if faults:
        raise _exceptions.ConfigurationError(tuple(faults))
    return Configuration(version, document, raw)


def _find_share_faults(document: Document) -> "list[_exceptions.Fault]":
    totals = _routes.sum_shares(document.routes)
    return [
        _exceptions.Fault(
            f"$.routes.{name}.share",
            f"the shares of service {route.service!r} sum to "
            f"{totals[route.service]:g}, above 1",
        )
        for name, route in document.routes.items()
        if route.share and totals[route.service] > 1
    ]


def _find_faults(raw: Any) -> "list[_exceptions.Fault]":
    if not isinstance(raw, dict):
        return [_exceptions.Fault("$", "must be an object")]
    sections = {
        "services": Service,
        "teams": Team,
        "operators": Operator,
        "routes": _routes.Route,
    }
    faults = []
    for name, value in raw.items():
        if name not in sections:
            allowed = ", ".join(sections)
            faults.append(_exceptions.Fault(f"$.{name}", f"one of {allowed}"))
        elif not isinstance(value, dict):
            faults.append(_exceptions.Fault(f"$.{name}", "must be an object"))
        else:
            faults.extend(_find_section_faults(name, sections[name], value))
    return faults


def _find_section_faults(
    section: str, cls: type, entries: dict[str, Any]
) -> "list[_exceptions.Fault]":
    faults = []
    for name, value in entries.items():
        path = f"$.{section}.{name}"
        if not isinstance(value, dict):
            faults.append(_exceptions.Fault(path, "must be an object"))
            continue
        fields = {field.name: field.type for field in attrs.fields(cls)}
        faults.extend(
            _exceptions.Fault(f"{path}.{field.name}", "is required")
            for field in attrs.fields(cls)
            if field.default is attrs.NOTHING and field.name not in value
        )
        for key, item in value.items():
            if key not in fields:
                allowed = ", ".join(fields)
                faults.append(
                    _exceptions.Fault(f"{path}.{key}", f"one of {allowed}")
                )
                continue
            try:
                msgspec.convert(item, fields[key])
            except msgspec.ValidationError as error:
                faults.append(_exceptions.Fault(f"{path}.{key}", str(error)))
    return faults


def merge_patch(document: Any, patch: Any) -> Any:
    """Return ``document`` with the RFC 7396 merge patch ``patch`` applied."""
    if not isinstance(patch, dict):
        return patch
    merged = dict(document) if isinstance(document, dict) else {}
    for key, value in patch.items():
        if value is None:
            merged.pop(key, None)
        else:
            merged[key] = merge_patch(merged.get(key), value)
    return merged


def digest_token(token: str) -> str:
    """Return the SHA-256 digest of ``token`` in hexadecimal."""
    return hashlib.sha256(token.encode()).hexdigest()


def digest_claim(team: str, key: str) -> str:
    """Return the row key of a team's idempotency key.

    The pair is encoded as JSON, so that no two pairs have the same text.
    """
    return digest_token(json.dumps([team, key]))


def find_holder(
    holders: "dict[str, Team] | dict[str, Operator]", token: str
) -> str:
    """Return the name of the holder of ``token``, or ``""`` if it is unknown.

    Every digest is compared, each in constant time, so that the duration does
    not depend on which one matches.
    """
    digest = digest_token(token)
    found = ""
    for name, holder in holders.items():
        for known in holder.token_digests:
            if hmac.compare_digest(known, digest):
                found = name
    return found
