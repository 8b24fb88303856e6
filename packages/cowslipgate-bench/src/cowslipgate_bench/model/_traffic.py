"""Traffic of a day, generated from a seed."""

import random

import attrs

from cowslipgate_bench.model import _sites

SIZE_SIGMA = 0.4
"""Standard deviation of the logarithm of task sizes and task counts."""

DECLARED_SIZE_SIGMA = 0.4
"""Standard deviation of the logarithm of declared over true sizes."""

MILLICORES_DEVIATION = 0.2
"""Standard deviation of the tasks' processor time, over its mean."""

MAX_MILLICORES = 4_700
"""Largest processor time of a task, in thousandths of a core."""


@attrs.frozen
class Request:
    """A job as its caller submits it."""

    name: str
    """Name, unique within a day."""

    at: float
    """Arrival time, in seconds from the start of traffic."""

    entry: int
    """Index of the entry that the balancer chooses, from zero."""

    kind: _sites.Kind
    """Kind of request."""

    seconds: tuple[float, ...]
    """Run times of its tasks at speed one, in seconds."""

    declared_seconds: float
    """Run time that the caller declares for each task, in seconds."""

    millicores: int
    """Processor time of each task, in thousandths of a core."""


def make_traffic(
    site: _sites.Site, pattern: _sites.Pattern, duration: float, seed: int
) -> list[Request]:
    """Return the requests of a day in order of arrival.

    :param duration: seconds of traffic
    """
    rng = random.Random(seed)
    requests = []
    at = 0.0
    while True:
        in_burst = duration / 3 <= at < 2 * duration / 3
        rate = site.requests_per_second * (pattern.burst if in_burst else 1.0)
        at += rng.expovariate(rate)
        if at >= duration:
            return requests
        requests.append(_make_request(rng, site, at, len(requests)))


def _make_request(
    rng: random.Random, site: _sites.Site, at: float, number: int
) -> Request:
    weights = [kind.share for kind in site.kinds]
    (kind,) = rng.choices(site.kinds, weights)
    width = round(_draw_lognormal(rng, kind.tasks, SIZE_SIGMA))
    width = min(max(1, width), kind.max_tasks)
    size = _draw_lognormal(rng, kind.seconds, SIZE_SIGMA)
    seconds = tuple(
        _draw_lognormal(rng, size, SIZE_SIGMA / 3) for _ in range(width)
    )
    millicores = rng.gauss(1.0, MILLICORES_DEVIATION) * site.millicores
    return Request(
        f"{number:016x}",
        at,
        rng.randrange(site.domains),
        kind,
        seconds,
        _draw_lognormal(rng, size, DECLARED_SIZE_SIGMA),
        min(max(100, round(millicores)), MAX_MILLICORES),
    )


def _draw_lognormal(rng: random.Random, mean: float, sigma: float) -> float:
    """Draw from a log-normal distribution with this mean."""
    return mean * rng.lognormvariate(-sigma * sigma / 2, sigma)
