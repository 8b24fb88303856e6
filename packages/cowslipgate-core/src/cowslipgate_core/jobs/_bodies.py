"""Strict decoding of callers' JSON bodies; errors give a fault's path."""

import json
import re
from typing import Any

import attrs
import msgspec

from cowslipgate_core import _exceptions
from cowslipgate_core.jobs import _jobs
from cowslipgate_core.messages import _resources

_PATH = re.compile(r" - at `(?:key in )?(\$.*)`$")
_DECODER = msgspec.json.Decoder(_jobs.JobRequest)
_PARTS_DECODER = msgspec.json.Decoder(dict[str, msgspec.Raw])
_TASKS_DECODER = msgspec.json.Decoder(list[msgspec.Raw])
_TASK_DECODER = msgspec.json.Decoder(_jobs.TaskRequest)
_JOB_FIELDS = frozenset(f.name for f in attrs.fields(_jobs.JobRequest))
_TASK_FIELDS = frozenset(f.name for f in attrs.fields(_jobs.TaskRequest))
_NEED_FIELDS = frozenset(f.name for f in attrs.fields(_resources.Resources))


def _make_shape(cls: type, **nested: Any) -> type:
    """Return a struct class that accepts only the field names of ``cls``."""
    fields = [
        (
            field.name,
            nested.get(field.name, msgspec.Raw) | msgspec.UnsetType,
            msgspec.UNSET,
        )
        for field in attrs.fields(cls)
    ]
    return msgspec.defstruct(
        f"{cls.__name__}Shape", fields, forbid_unknown_fields=True
    )


_NeedsShape = _make_shape(_resources.Resources)
_TaskShape = _make_shape(_jobs.TaskRequest, needs=_NeedsShape)
_JobShape = _make_shape(_jobs.JobRequest, tasks=list[_TaskShape])
_SHAPE_DECODER = msgspec.json.Decoder(_JobShape)


class _RepeatedNames(dict):
    """A JSON object with a repeated name."""


def parse_job(body: bytes) -> _jobs.JobRequest:
    """Decode the body of a submission.

    :raises BodyError: naming the path of the first fault
    """
    try:
        request = _DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        raise _locate_fault(body, error) from error
    if not _has_known_unique_names(body):
        _check_names(_load(body))
    return request


def _has_known_unique_names(body: bytes) -> bool:
    """Return whether every name is known and certainly not repeated.

    False may be wrong: an excess occurrence of a name in the body may also
    be part of a payload.
    """
    try:
        job = _SHAPE_DECODER.decode(body)
    except msgspec.MsgspecError:
        return False
    needs = [t.needs for t in job.tasks if t.needs is not msgspec.UNSET]
    return (
        _has_unique_names(body, _JOB_FIELDS, [job])
        and _has_unique_names(body, _TASK_FIELDS, job.tasks)
        and _has_unique_names(body, _NEED_FIELDS, needs)
    )


def _has_unique_names(
    body: bytes, names: frozenset[str], objects: list[Any]
) -> bool:
    for name in names:
        occurrences = body.count(f'"{name}"'.encode())
        if occurrences > len(objects):
            return False
        present = [
            None for o in objects if getattr(o, name) is not msgspec.UNSET
        ]
        if occurrences > len(present):
            return False
    return True


def parse_body(body: bytes, kind: Any) -> Any:
    """Decode a JSON body as the msgspec type ``kind``.

    :raises BodyError: naming the path of the first fault
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        raise _make_error("$", error) from error


def _make_error(prefix: str, error: Exception) -> _exceptions.BodyError:
    text = str(error)
    match = _PATH.search(text)
    if match is None:
        return _exceptions.BodyError(prefix, text)
    path = prefix + match[1].removeprefix("$")
    return _exceptions.BodyError(path, text[: match.start()])


def _locate_fault(body: bytes, error: Exception) -> _exceptions.BodyError:
    # The decoder's error lacks the index of the faulty task.
    try:
        parts = _PARTS_DECODER.decode(body)
        tasks = _TASKS_DECODER.decode(parts.get("tasks", b"[]"))
    except (msgspec.MsgspecError, UnicodeError, RecursionError):
        return _make_error("$", error)
    for index, task in enumerate(tasks):
        try:
            _TASK_DECODER.decode(task)
        except msgspec.MsgspecError as fault:
            return _make_error(f"$.tasks[{index}]", fault)
    return _make_error("$", error)


def _load(body: bytes) -> Any:
    try:
        return json.loads(body, object_pairs_hook=_make_object)
    except RecursionError as error:
        raise _exceptions.BodyError("$", "is nested too deeply") from error


def _make_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    made = dict(pairs)
    return made if len(made) == len(pairs) else _RepeatedNames(made)


def _check_names(job: dict[str, Any]) -> None:
    _check_object("$", job, _JOB_FIELDS)
    for index, task in enumerate(job["tasks"]):
        path = f"$.tasks[{index}]"
        _check_object(path, task, _TASK_FIELDS)
        if "needs" in task:
            _check_object(f"{path}.needs", task["needs"], _NEED_FIELDS)


def _check_object(
    path: str, value: dict[str, Any], allowed: frozenset[str]
) -> None:
    if isinstance(value, _RepeatedNames):
        raise _exceptions.BodyError(path, "a name came twice")
    if not value.keys() <= allowed:
        name = min(value.keys() - allowed)
        names = ", ".join(sorted(allowed))
        raise _exceptions.BodyError(f"{path}.{name}", f"is none of {names}")
