"""Counters, gauges and summaries, and their text exposition format."""

import datetime
from collections.abc import Callable, Iterable

import attrs
from hdrh import histogram

import cowslipgate_core as core

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
QUANTILES = (0.5, 0.9, 0.99, 0.999)
WINDOW = datetime.timedelta(seconds=60)
"""Time for which a summary records into one histogram."""

MAX_MILLIONTHS = 3_600_000_000
"""Largest value in a histogram: 3600 in the summary's own unit."""

SIGNIFICANT_FIGURES = 2
MILLIONTHS_PER_UNIT = 1_000_000

Labels = tuple[tuple[str, str], ...]


@attrs.frozen
class Sample:
    """One line of the exposition."""

    name: str
    """Name of the family with the sample's suffix."""

    labels: Labels
    """Label names with their values."""

    value: float
    """The value."""


class Counter:
    """A cumulative number for each combination of label values."""

    kind = "counter"

    def __init__(self, name: str, description: str, *labels: str) -> None:
        self.name = name
        self.description = description
        self._labels = labels
        self._values: dict[tuple[str, ...], float] = {}
        if not labels:
            self._values[()] = 0

    def add(self, *values: str, amount: float = 1) -> None:
        """Add to the number with the label values ``values``."""
        self._values[values] = self._values.get(values, 0) + amount

    def get(self, *values: str) -> float:
        """Return the number with the label values ``values``."""
        return self._values.get(values, 0)

    def collect(self) -> Iterable[Sample]:
        """Return the samples, sorted by label values."""
        for values, number in sorted(self._values.items()):
            labels = tuple(zip(self._labels, values, strict=True))
            yield Sample(self.name, labels, number)


class Gauge:
    """A number for each combination of label values, read on collection."""

    kind = "gauge"

    def __init__(
        self,
        name: str,
        description: str,
        read: Callable[[], dict[tuple[str, ...], float]],
        *labels: str,
    ) -> None:
        self.name = name
        self.description = description
        self._read = read
        self._labels = labels

    def collect(self) -> Iterable[Sample]:
        """Return the samples, sorted by label values."""
        for values, number in sorted(self._read().items()):
            labels = tuple(zip(self._labels, values, strict=True))
            yield Sample(self.name, labels, number)


class Summary:
    """Quantiles of the last one to two minutes, and total sum and count."""

    kind = "summary"

    def __init__(self, name: str, description: str, clock: core.Clock) -> None:
        self.name = name
        self.description = description
        self._clock = clock
        self._current = _make_histogram()
        self._previous = _make_histogram()
        self._window_end = clock.now() + WINDOW
        self._sum = 0.0
        self._count = 0

    def observe(self, value: float) -> None:
        """Record a value of zero or more; quantiles cap it at 3600."""
        self._rotate()
        scaled = min(max(int(value * MILLIONTHS_PER_UNIT), 1), MAX_MILLIONTHS)
        self._current.record_value(scaled)
        self._sum += value
        self._count += 1

    def collect(self) -> Iterable[Sample]:
        """Return the quantiles, then the total sum and count."""
        self._rotate()
        merged = _make_histogram()
        merged.add(self._previous)
        merged.add(self._current)
        for quantile in QUANTILES:
            value = merged.get_value_at_percentile(quantile * 100)
            labels = (("quantile", str(quantile)),)
            yield Sample(self.name, labels, value / MILLIONTHS_PER_UNIT)
        yield Sample(f"{self.name}_sum", (), self._sum)
        yield Sample(f"{self.name}_count", (), self._count)

    def _rotate(self) -> None:
        now = self._clock.now()
        if now < self._window_end:
            return
        self._previous = self._current
        if now >= self._window_end + WINDOW:
            self._previous = _make_histogram()
        self._current = _make_histogram()
        self._window_end = now + WINDOW


def _make_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, MAX_MILLIONTHS, SIGNIFICANT_FIGURES)


Family = Counter | Gauge | Summary


def render_families(families: Iterable[Family]) -> bytes:
    """Return the text exposition of metric families."""
    lines = []
    for family in families:
        lines.append(f"# HELP {family.name} {family.description}")
        lines.append(f"# TYPE {family.name} {family.kind}")
        lines.extend(_render_sample(sample) for sample in family.collect())
    return ("\n".join(lines) + "\n").encode()


def _render_sample(sample: Sample) -> str:
    labels = ",".join(
        f'{name}="{_escape(value)}"' for name, value in sample.labels
    )
    label_set = f"{{{labels}}}" if labels else ""
    return f"{sample.name}{label_set} {sample.value:.10g}"


def _escape(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
