"""Sampling of jobs for traces, without importing the tracing library."""

import random

import attrs

import cowslipgate_core as core

TRACE_BITS = 128
SPAN_BITS = 64


class Sampler:
    """Decides which jobs are traced: none unless ``enabled``.

    ``ratio`` is the share, from 0 to 1, of the jobs without a valid context.
    """

    def __init__(self, ratio: float, enabled: bool) -> None:
        self._ratio = ratio
        self._enabled = enabled

    def continue_trace(self, header: str) -> str:
        """Return the ``traceparent`` of a job, empty when it has none.

        A valid ``header`` decides; without one the ratio does.
        """
        parent = core.parse_traceparent(header) if header else None
        if parent is not None:
            if not (self._enabled and parent.sampled):
                return header
            return str(attrs.evolve(parent, span=make_span_id()))
        if not self._enabled or random.random() >= self._ratio:
            return ""
        trace = random.getrandbits(TRACE_BITS) or 1
        return str(core.Traceparent(trace, make_span_id(), True))


def make_span_id() -> int:
    """Return a random span id other than zero."""
    return random.getrandbits(SPAN_BITS) or 1
