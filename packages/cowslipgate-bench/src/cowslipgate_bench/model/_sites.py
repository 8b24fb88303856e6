"""The users' sites and what happens on a day, as far as the model goes.

Figures are those of the sheets in the users' second letter; speeds and sizes
of targets are those that logs of their bench show.
"""

import enum

import attrs

RACK_SPEEDS = (0.77, 1.2, 1.2, 1.2)
"""Speeds of targets in turn: a quarter is slow."""

RACK_MILLICORES = (32_000, 32_000, 48_000)
"""Processor time of targets in turn."""


@attrs.frozen
class Kind:
    """One kind of request."""

    name: str
    """Name of its route."""

    share: float
    """Share of all requests."""

    tasks: float
    """Mean number of tasks."""

    most_tasks: int
    """Largest number of tasks."""

    seconds: float
    """Mean run time of a task at speed one."""

    priority: int
    """Urgency; zero goes first."""

    worth: float
    """What an answer in time is worth."""

    attempts: int = 4
    """Runs of a task that may fail."""


@attrs.frozen
class Site:
    """A deployment with its usual traffic."""

    name: str
    """Name."""

    domains: int
    """Failure domains; each has an entry."""

    targets: int
    """Targets, spread over the domains."""

    cross_seconds: float
    """One way between two failure domains."""

    kinds: tuple[Kind, ...]
    """Kinds of request."""

    requests: float
    """Requests a second on a quiet day."""

    near_seconds: float = 0.000_2
    """One way within a failure domain."""

    slowdown: float = 1.6
    """Multiple of the longest task that a promise allows."""

    latency_seconds: float = 0.060
    """What a promise allows beside it."""

    millicores: float = 3_100.0
    """Mean processor time of a task."""


class Trouble(enum.StrEnum):
    """What goes wrong."""

    NONE = "none"
    SLOW = "slow"
    HANG = "hang"
    FAIL = "fail"
    LOST_ORDERS = "lost_orders"


@attrs.frozen
class Pattern:
    """A load and a trouble, each in the middle third of the day."""

    name: str
    """Name."""

    burst: float = 1.0
    """Multiple of the traffic while it lasts."""

    trouble: Trouble = Trouble.NONE
    """What goes wrong meanwhile."""

    share: float = 0.0
    """Share of the targets, or of the orders, that it strikes."""


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
        Pattern("slow", 1.0, Trouble.SLOW, 0.2),
        Pattern("hang", 1.0, Trouble.HANG, 0.1),
        Pattern("fail", 1.0, Trouble.FAIL, 0.1),
        Pattern("lost-orders", 1.0, Trouble.LOST_ORDERS, 0.035),
    )
}
