"""The simulated sites, and the patterns of load and faults of a day.

The figures come from the users' data sheets; speeds and sizes of targets
come from the logs of their bench.
"""

import enum

import attrs

TARGET_SPEEDS = (0.77, 1.2, 1.2, 1.2)
"""Relative speeds, assigned to targets in turn: a quarter is slow."""

TARGET_MILLICORES = (32_000, 32_000, 48_000)
"""Processor time in thousandths of a core, assigned to targets in turn."""


@attrs.frozen
class Kind:
    """A kind of request, with its sizes and its priority."""

    name: str
    """Name of the route."""

    share: float
    """Share of all requests, 0 to 1."""

    tasks: float
    """Mean number of tasks."""

    max_tasks: int
    """Largest number of tasks."""

    seconds: float
    """Mean run time of a task at speed one, in seconds."""

    priority: int
    """Priority of its jobs; zero is the highest."""

    worth: float
    """Worth of an answer within the objective, in arbitrary units."""

    attempts: int = 4
    """Maximum number of attempts of a task."""


@attrs.frozen
class Site:
    """A deployment with its usual traffic."""

    name: str
    """Name of the site, as the command line gives it."""

    domains: int
    """Number of failure domains; each has an entry."""

    targets: int
    """Number of targets, spread over the failure domains."""

    cross_domain_seconds: float
    """One-way latency between two failure domains, in seconds."""

    kinds: tuple[Kind, ...]
    """Kinds of request."""

    requests_per_second: float
    """Mean requests per second outside bursts."""

    same_domain_seconds: float = 0.000_2
    """One-way latency within a failure domain, in seconds."""

    slowdown: float = 1.6
    """Multiple of the longest task's run time that the objective allows."""

    latency_seconds: float = 0.060
    """Seconds that the objective allows in addition."""

    millicores: float = 3_100.0
    """Mean processor time of a task, in thousandths of a core."""


class Fault(enum.StrEnum):
    """A fault of targets."""

    NONE = "none"
    SLOW = "slow"
    HANG = "hang"
    FAIL = "fail"
    LOST_ORDERS = "lost_orders"


@attrs.frozen
class Pattern:
    """A load and a fault, both during the middle third of the day."""

    name: str
    """Name of the pattern, as the command line gives it."""

    burst: float = 1.0
    """Multiple of the site's traffic meanwhile."""

    fault: Fault = Fault.NONE
    """Fault meanwhile."""

    share: float = 0.0
    """Share of the targets that are faulty; for LOST_ORDERS, of the orders."""


_KINDS = (
    Kind("pairing", 0.244, 8, 32, 0.12, 0, 0.0291),
    Kind("check", 0.044, 4, 16, 1.8, 2, 0.16, attempts=2),
    Kind("reveal", 0.712, 2, 8, 0.4, 1, 0.01),
)

SITES = {
    site.name: site
    for site in (
        Site("al-haddad", 4, 11, 0.001_4, _KINDS, 80.0),
        Site("schelde", 3, 11, 0.000_9, _KINDS, 70.0),
    )
}

PATTERNS = {
    pattern.name: pattern
    for pattern in (
        Pattern("calm"),
        Pattern("burst", 1.6),
        Pattern("slow", 1.0, Fault.SLOW, 0.2),
        Pattern("hang", 1.0, Fault.HANG, 0.1),
        Pattern("fail", 1.0, Fault.FAIL, 0.1),
        Pattern("lost-orders", 1.0, Fault.LOST_ORDERS, 0.035),
    )
}
