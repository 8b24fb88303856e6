"""Speeds that targets of the same model share.

Targets of a model announce the same labels. What the runs of all of them say
about the model's speed is the prior of each target's own speed, which its own
runs replace.
"""

import collections
from collections.abc import Iterable
import datetime

import attrs

MIN_TARGETS = 3
"""Least number of targets that share a label for it to name a model."""

PRIOR_TARGETS = 0.5
"""Targets with many runs that the initial speed of a model counts for."""

REGROUP_INTERVAL = datetime.timedelta(milliseconds=200)
"""Time after which a changed label takes effect in any case."""

REGROUP_SHARE = 0.05
"""Share of the targets whose changed labels take effect at once, so that the
work for each new target does not grow with the fleet."""

MAX_TARGETS = 10_000
"""Targets whose labels are kept; bounds the memory."""


@attrs.frozen
class LabelledTarget:
    """The labels of a target, and where it is."""

    agent: str
    """Name of its agent."""

    domain: str
    """Failure domain of its agent."""

    labels: tuple[str, ...]
    """Labels that it announces."""


def find_models(targets: Iterable[LabelledTarget]) -> dict[str, str]:
    """Return the name of the model of each target that has one, by agent.

    The name consists of the target's labels that may tell it from targets of
    other models. A label that fewer than ``MIN_TARGETS`` targets share, or
    only targets of one failure domain, names a place or the target itself; a
    label that all targets share tells none from the others. A model has at
    least ``MIN_TARGETS`` targets.
    """
    targets = tuple(targets)
    counts: collections.Counter[str] = collections.Counter()
    domains: dict[str, set[str]] = {}
    for target in targets:
        for label in set(target.labels):
            counts[label] += 1
            domains.setdefault(label, set()).add(target.domain)
    telling = {
        label
        for label, count in counts.items()
        if MIN_TARGETS <= count < len(targets) and len(domains[label]) > 1
    }
    names = {
        target.agent: ",".join(sorted(telling.intersection(target.labels)))
        for target in targets
    }
    sizes = collections.Counter(names.values())
    return {
        agent: name
        for agent, name in names.items()
        if name and sizes[name] >= MIN_TARGETS
    }


class LabelledTargets:
    """Labels of all targets that have reported, and the models they name.

    Targets that leave stay, as their speeds do.
    """

    def __init__(self) -> None:
        self._targets: dict[str, LabelledTarget] = {}
        self._changes = 0
        self._grouped_at: datetime.datetime | None = None

    def record(self, target: LabelledTarget, now: datetime.datetime) -> bool:
        """Record a target's labels; return whether to find the models again.

        Changes take effect together, at the latest with the first report
        after ``REGROUP_INTERVAL``.
        """
        known = self._targets.get(target.agent)
        if known != target and (
            known is not None or len(self._targets) < MAX_TARGETS
        ):
            self._targets[target.agent] = target
            self._changes += 1
        if not self._changes:
            return False
        return (
            self._changes >= REGROUP_SHARE * len(self._targets)
            or self._grouped_at is None
            or now - self._grouped_at >= REGROUP_INTERVAL
        )

    def find_models(self, now: datetime.datetime) -> dict[str, str]:
        """Return the model of each target that has one, by agent."""
        self._changes = 0
        self._grouped_at = now
        return find_models(self._targets.values())


@attrs.define(eq=False)
class ModelSpeed:
    """The speed of one model, from the speeds of its targets."""

    name: str
    """Name of the model."""

    targets: int = 0
    """Number of its targets."""

    log_sum: float = 0.0
    """Sum of the targets' own log speeds, each weighted by its runs."""

    weight: float = 0.0
    """Sum of these weights, each from 0 without a run to 1."""

    log_speed: float = 0.0
    """Natural logarithm of the model's speed."""

    total: float = 0.0
    """Sum of the log speeds of its targets, weighted towards the model's."""

    def add(self, log_speed: float, weight: float) -> None:
        """Add a target.

        :param log_speed: its own log speed times ``weight``
        :param weight: weight of its own runs against the model, 0 to 1
        """
        self.targets += 1
        self.update(log_speed, weight)

    def update(self, log_speed: float, weight: float) -> None:
        """Add to the sums what a target's log speed and weight grew by."""
        self.log_sum += log_speed
        self.weight += weight
        self.log_speed = self.log_sum / (self.weight + PRIOR_TARGETS)
        self.total = self.log_sum + self.log_speed * (
            self.targets - self.weight
        )
