"""Routes: which service a request belongs to, by its host and path."""

from collections.abc import Mapping
import datetime
from typing import Annotated

import attrs
import msgspec

_Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
_Positive = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
_Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=86_400_000)]
_Factor = Annotated[float, msgspec.Meta(ge=0.0, le=1_000.0)]
_Text = Annotated[str, msgspec.Meta(max_length=256)]


@attrs.frozen
class Route:
    """A kind of request and what its callers are promised."""

    service: _Text
    """Service that runs the tasks."""

    host: _Text = ""
    """Host that requests name; empty for any."""

    path_prefix: _Text = "/"
    """Beginning of the path."""

    timeout_ms: _Milliseconds = 30_000
    """Time after which a request is given up, in milliseconds."""

    target_latency_ms: _Count = 0
    """Time added to the longest chain of work for the objective, in
    milliseconds; zero for no objective."""

    slowdown_factor: _Factor = 1.0
    """Multiple of the longest chain of work that the objective allows."""

    priority: _Count = 0
    """Urgency; zero goes first."""

    max_attempts: _Positive = 1
    """Runs of a task that may fail before its job fails."""

    unsupported: _Text = ""
    """What it asks for and cannot be done; its jobs are refused."""

    @property
    def timeout(self) -> datetime.timedelta:
        """Time after which a request is given up."""
        return datetime.timedelta(milliseconds=self.timeout_ms)

    @property
    def target_latency(self) -> datetime.timedelta:
        """Time added to the longest chain of work for the objective."""
        return datetime.timedelta(milliseconds=self.target_latency_ms)


@attrs.frozen
class FoundRoute:
    """A route with its name."""

    name: str
    """Name of the route."""

    route: Route
    """The route."""


class RouteTable:
    """Finds the route of a request: its host, and the longest prefix."""

    def __init__(self, routes: Mapping[str, Route]) -> None:
        self._by_host: dict[str, list[FoundRoute]] = {}
        for name, route in routes.items():
            found = self._by_host.setdefault(route.host.lower(), [])
            found.append(FoundRoute(name, route))
        for found in self._by_host.values():
            found.sort(key=lambda each: -len(each.route.path_prefix))

    def find(self, host: str, path: str) -> FoundRoute | None:
        """Return the route of a request, or None.

        :param host: value of the header, with or without a port
        :param path: decoded path
        """
        name = host.partition(":")[0].lower()
        for wanted in (name, ""):
            for found in self._by_host.get(wanted, ()):
                if path.startswith(found.route.path_prefix):
                    return found
        return None
