"""The decision which jobs are traced, without the tracing library."""

import random

import attrs

import cowslipgate_core as core

TRACE_BITS = 128
SPAN_BITS = 64


class Sampler:
    """Decides which jobs are traced."""

    def __init__(self, ratio: float, enabled: bool) -> None:
        self._ratio = ratio
        self._enabled = enabled

    def continue_trace(self, header: str) -> str:
        """Return the trace context of a job, empty when it has none.

        A caller's decision is followed; without one a share is sampled.
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
    """Return the id of a new span."""
    return random.getrandbits(SPAN_BITS) or 1
