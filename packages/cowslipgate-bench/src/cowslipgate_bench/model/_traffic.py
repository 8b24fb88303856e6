"""Seeded requests of a day."""

import random

import attrs

from cowslipgate_bench.model import _sites

SPREAD = 0.4
"""Spread of sizes and widths, as a sigma of the logarithm."""

DECLARED_SPREAD = 0.4
"""How far declared sizes are off, as a sigma of the logarithm."""

CORES_SPREAD = 0.2
"""Spread of the tasks' processor time, as a share of the mean."""

MOST_MILLICORES = 4_700
"""Largest processor time of a task."""


@attrs.frozen
class Request:
    """A job as its caller sends it."""

    name: str
    """Name."""

    at: float
    """Seconds from the start of the day."""

    entry: int
    """Number of the entry that the balancer chooses."""

    kind: _sites.Kind
    """Kind of request."""

    seconds: tuple[float, ...]
    """Run times of its tasks at speed one."""

    declared_seconds: float
    """What the caller says that a task takes."""

    millicores: int
    """Processor time of each task."""


def make_traffic(
    site: _sites.Site, pattern: _sites.Pattern, duration: float, seed: int
) -> list[Request]:
    """Return the requests of a day in the order in which they come.

    :param duration: seconds of traffic
    """
    source = random.Random(seed)
    requests = []
    at = 0.0
    while True:
        within = duration / 3 <= at < 2 * duration / 3
        rate = site.requests * (pattern.burst if within else 1.0)
        at += source.expovariate(rate)
        if at >= duration:
            return requests
        requests.append(_make_request(source, site, at, len(requests)))


def _make_request(
    source: random.Random, site: _sites.Site, at: float, number: int
) -> Request:
    weights = [kind.share for kind in site.kinds]
    (kind,) = source.choices(site.kinds, weights)
    width = round(_spread(source, kind.tasks, SPREAD))
    width = min(max(1, width), kind.most_tasks)
    size = _spread(source, kind.seconds, SPREAD)
    seconds = tuple(_spread(source, size, SPREAD / 3) for _ in range(width))
    cores = source.gauss(1.0, CORES_SPREAD) * site.millicores
    return Request(
        f"{number:016x}",
        at,
        source.randrange(site.domains),
        kind,
        seconds,
        _spread(source, size, DECLARED_SPREAD),
        min(max(100, round(cores)), MOST_MILLICORES),
    )


def _spread(source: random.Random, mean: float, sigma: float) -> float:
    """Return a log-normal number with a mean."""
    return mean * source.lognormvariate(-sigma * sigma / 2, sigma)
