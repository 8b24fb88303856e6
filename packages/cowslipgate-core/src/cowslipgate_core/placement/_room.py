"""Arithmetic of resources that the tasks of a target share."""

from collections.abc import Iterable
import sys

from cowslipgate_core.messages import _resources

UNBOUNDED_SLOTS = 10_000
"""Slots announced by a target whose room alone limits its tasks."""


def add_resources(
    first: _resources.Resources, second: _resources.Resources
) -> _resources.Resources:
    """Return the sum of both, without labels."""
    return _resources.Resources(
        first.memory_mb + second.memory_mb,
        first.accelerators + second.accelerators,
        first.millicores + second.millicores,
    )


def subtract_resources(
    whole: _resources.Resources, part: _resources.Resources
) -> _resources.Resources:
    """Return ``whole`` minus ``part``, at least zero; labels are kept."""
    return _resources.Resources(
        max(0, whole.memory_mb - part.memory_mb),
        max(0, whole.accelerators - part.accelerators),
        max(0, whole.millicores - part.millicores),
        whole.labels,
    )


def scale_resources(
    resources: _resources.Resources, factor: float
) -> _resources.Resources:
    """Return ``factor`` times the resources, rounded, without labels."""
    return _resources.Resources(
        round(resources.memory_mb * factor),
        round(resources.accelerators * factor),
        round(resources.millicores * factor),
    )


def sum_resources(
    parts: Iterable[_resources.Resources],
) -> _resources.Resources:
    """Return the sum of all parts, without labels."""
    total = _resources.Resources()
    for part in parts:
        total = add_resources(total, part)
    return total


def covers_needs(
    offer: _resources.Resources, needs: _resources.Resources
) -> bool:
    """Return whether ``offer`` covers the amounts and labels of ``needs``."""
    return (
        needs.memory_mb <= offer.memory_mb
        and needs.accelerators <= offer.accelerators
        and needs.millicores <= offer.millicores
        and (not needs.labels or set(needs.labels) <= set(offer.labels))
    )


def count_fitting(
    offer: _resources.Resources, needs: _resources.Resources
) -> int:
    """Return how many tasks with these needs fit at once.

    ``sys.maxsize`` if the needs are zero; labels are ignored.
    """
    counts = [
        available // needed
        for available, needed in (
            (offer.memory_mb, needs.memory_mb),
            (offer.accelerators, needs.accelerators),
            (offer.millicores, needs.millicores),
        )
        if needed
    ]
    return min(counts, default=sys.maxsize)
