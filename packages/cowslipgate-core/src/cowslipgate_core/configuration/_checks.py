"""Findings in a configuration that is not in force yet."""

from collections.abc import Iterator
from typing import Any

import attrs

from cowslipgate_core import _exceptions
from cowslipgate_core.configuration import _configuration
from cowslipgate_core.configuration import _routes

_DEPTH = 3
"""Levels of a document that are compared: sections, names and fields."""


@attrs.frozen
class Difference:
    """An item that differs between two documents."""

    path: str
    """Path of the item."""

    before: Any = None
    """Value in the first document, None if it is missing there."""

    after: Any = None
    """Value in the second document, None if it is missing there."""


def check_document(raw: Any) -> tuple[_exceptions.Fault, ...]:
    """Return what is wrong with a document, in JSON types.

    Routes and limits are checked once the document is valid by itself.
    """
    try:
        configuration = _configuration.parse_configuration(0, raw)
    except _exceptions.ConfigurationError as error:
        return error.faults
    document = configuration.document
    return (
        *_find_unmatched_routes(document),
        *_find_contradictions(document),
    )


def compare_documents(before: Any, after: Any) -> tuple[Difference, ...]:
    """Return the items that differ, in order of their paths."""
    return tuple(_compare("$", before, after, _DEPTH))


def _find_unmatched_routes(
    document: _configuration.Document,
) -> Iterator[_exceptions.Fault]:
    known: dict[tuple[str, str], str] = {}
    for name, route in document.routes.items():
        path = f"$.routes.{name}"
        if route.service not in document.services:
            yield _exceptions.Fault(
                f"{path}.service", f"there is no service {route.service!r}"
            )
        if ":" in route.host:
            yield _exceptions.Fault(
                f"{path}.host", "never matches, as it names a port"
            )
        if route.path_prefix and not route.path_prefix.startswith("/"):
            yield _exceptions.Fault(
                f"{path}.path_prefix", "never matches without a leading /"
            )
        # Of routes with the same host and prefix, the first one matches.
        first = known.setdefault(_get_pattern(route), name)
        if first != name:
            yield _exceptions.Fault(
                path,
                f"never matches, as {first!r} has the same host and prefix",
            )


def _get_pattern(route: _routes.Route) -> tuple[str, str]:
    # Every path begins with a slash.
    return route.host.lower(), route.path_prefix or "/"


def _find_contradictions(
    document: _configuration.Document,
) -> Iterator[_exceptions.Fault]:
    for name, route in document.routes.items():
        if route.timeout_ms < route.target_latency_ms:
            yield _exceptions.Fault(
                f"$.routes.{name}.timeout_ms",
                f"{route.timeout_ms} is below target_latency_ms, "
                f"{route.target_latency_ms}",
            )
    for name, service in document.services.items():
        if service.max_backlog < service.max_tasks:
            yield _exceptions.Fault(
                f"$.services.{name}.max_backlog",
                f"{service.max_backlog} is below one job of max_tasks, "
                f"{service.max_tasks}",
            )
    # A service without a limit of its own says nothing about its jobs.
    limits = [
        service.max_tasks
        for service in document.services.values()
        if service.max_tasks < _configuration.MAX_TASKS
    ]
    largest = min(limits, default=0)
    for name, team in document.teams.items():
        if team.slots < largest:
            yield _exceptions.Fault(
                f"$.teams.{name}.slots",
                f"{team.slots} is below one job of max_tasks, {largest}, "
                "of any service",
            )


def _compare(
    path: str, before: Any, after: Any, depth: int
) -> Iterator[Difference]:
    if depth and isinstance(before, dict) and isinstance(after, dict):
        for name in sorted(before.keys() | after.keys()):
            yield from _compare(
                f"{path}.{name}", before.get(name), after.get(name), depth - 1
            )
    elif before != after or type(before) is not type(after):
        yield Difference(path, before, after)
