"""Routes, which map requests to services by host and path."""

from collections.abc import Mapping
import datetime
import math
from typing import Annotated

import attrs
import msgspec

_Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
_Positive = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
_Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=86_400_000)]
_Factor = Annotated[float, msgspec.Meta(ge=0.0, le=1_000.0)]
_Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
_Text = Annotated[str, msgspec.Meta(max_length=256)]

SHARE_DIGITS = 9
"""Decimal places of a sum of shares; binary fractions are inexact."""


@attrs.frozen
class Route:
    """A class of requests, with its timeout, objective and priority."""

    service: _Text
    """Service that runs the tasks."""

    host: _Text = ""
    """Host of the requests; empty matches any host."""

    path_prefix: _Text = "/"
    """Prefix of the requests' paths."""

    timeout_ms: _Milliseconds = 30_000
    """Time after which a request times out, in milliseconds."""

    target_latency_ms: _Count = 0
    """Response-time objective in milliseconds, without the longest chain of
    work, which is added to it; zero for no objective."""

    slowdown_factor: _Factor = 1.0
    """Factor by which the objective multiplies the longest chain of work."""

    priority: _Count = 0
    """Priority; zero is the highest."""

    max_attempts: _Positive = 1
    """Failed runs of one task after which its job fails."""

    unsupported: _Text = ""
    """Feature that the route needs and that is not supported; its jobs are
    refused. Empty when there is none."""

    share: _Share = 0.0
    """Share of an entry's started work that the route gets under overload;
    zero for none. The shares of a service's routes sum to at most 1."""

    @property
    def timeout(self) -> datetime.timedelta:
        """Time after which a request times out."""
        return datetime.timedelta(milliseconds=self.timeout_ms)

    @property
    def target_latency(self) -> datetime.timedelta:
        """Response-time objective without the longest chain of work."""
        return datetime.timedelta(milliseconds=self.target_latency_ms)


@attrs.frozen
class FoundRoute:
    """A route with its name."""

    name: str
    """Key of the route in the configuration."""

    route: Route
    """Definition of the route."""


def sum_shares(routes: Mapping[str, Route]) -> dict[str, float]:
    """Return the sum of the shares of each service's routes, by service."""
    shares: dict[str, list[float]] = {}
    for route in routes.values():
        shares.setdefault(route.service, []).append(route.share)
    return {
        service: round(math.fsum(each), SHARE_DIGITS)
        for service, each in shares.items()
    }


class RouteTable:
    """Routes by host, each host's routes with the longest prefix first."""

    def __init__(self, routes: Mapping[str, Route]) -> None:
        self._by_host: dict[str, list[FoundRoute]] = {}
        for name, route in routes.items():
            found = self._by_host.setdefault(route.host.lower(), [])
            found.append(FoundRoute(name, route))
        for found in self._by_host.values():
            found.sort(key=lambda each: -len(each.route.path_prefix))

    def find(self, host: str, path: str) -> FoundRoute | None:
        """Return the route of a request, or None if no route matches.

        Routes of the host are matched before routes of any host.

        :param host: value of the Host header, with or without a port
        :param path: percent-decoded path
        """
        name = host.partition(":")[0].lower()
        for wanted in (name, ""):
            for found in self._by_host.get(wanted, ()):
                if path.startswith(found.route.path_prefix):
                    return found
        return None
