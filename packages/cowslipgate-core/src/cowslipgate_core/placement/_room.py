"""Arithmetic of resources that several tasks share."""

from collections.abc import Iterable
import sys

from cowslipgate_core.messages import _resources

UNBOUNDED_SLOTS = 10_000
"""Slots that a target announces whose room alone bounds its tasks."""


def add_resources(
    first: _resources.Resources, second: _resources.Resources
) -> _resources.Resources:
    """Return what both take together; labels are not taken."""
    return _resources.Resources(
        first.memory_mb + second.memory_mb,
        first.accelerators + second.accelerators,
        first.millicores + second.millicores,
    )


def subtract_resources(
    whole: _resources.Resources, part: _resources.Resources
) -> _resources.Resources:
    """Return what is left of ``whole``, nothing below zero."""
    return _resources.Resources(
        max(0, whole.memory_mb - part.memory_mb),
        max(0, whole.accelerators - part.accelerators),
        max(0, whole.millicores - part.millicores),
        whole.labels,
    )


def scale_resources(
    resources: _resources.Resources, factor: float
) -> _resources.Resources:
    """Return ``factor`` times the resources, rounded."""
    return _resources.Resources(
        round(resources.memory_mb * factor),
        round(resources.accelerators * factor),
        round(resources.millicores * factor),
    )


def sum_resources(
    parts: Iterable[_resources.Resources],
) -> _resources.Resources:
    """Return what all parts take together."""
    total = _resources.Resources()
    for part in parts:
        total = add_resources(total, part)
    return total


def fits_resources(
    offer: _resources.Resources, needs: _resources.Resources
) -> bool:
    """Tell whether ``offer`` covers ``needs``."""
    return (
        needs.memory_mb <= offer.memory_mb
        and needs.accelerators <= offer.accelerators
        and needs.millicores <= offer.millicores
        and (not needs.labels or set(needs.labels) <= set(offer.labels))
    )


def count_fitting(
    offer: _resources.Resources, needs: _resources.Resources
) -> int:
    """Return how many tasks with these needs the offer covers at once."""
    counts = [
        have // need
        for have, need in (
            (offer.memory_mb, needs.memory_mb),
            (offer.accelerators, needs.accelerators),
            (offer.millicores, needs.millicores),
        )
        if need
    ]
    return min(counts, default=sys.maxsize)
