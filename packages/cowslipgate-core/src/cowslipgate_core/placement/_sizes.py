"""Run times of tasks, estimated from tasks with similar declarations.

For each range of declared sizes, histories are kept for all tasks, by kind,
and by kind and team. The weight of a finer history grows with its tasks.
"""

import bisect
import heapq
import itertools
import math

import attrs

BUCKETS_PER_OCTAVE = 2
"""Ranges of declared sizes, one history each, per doubling."""

BINS_PER_OCTAVE = 4
"""Histogram bins of run times per doubling."""

SHORTEST_BIN = -48
"""Bin of the shortest run times: 2 ** -12 s."""

LONGEST_BIN = 48
"""Bin of the longest run times: 2 ** 12 s."""

MAX_HISTORIES = 5_000
"""Histories that are kept; bounds the memory."""

MAX_HISTORY_RUNS = 4_000
"""Tasks at which a history halves its counts, to favour recent tasks."""

HALF_WEIGHT_RUNS = 8.0
"""Tasks at which a history weighs as much as the coarser estimate."""

REFRESH_GROWTH_FACTOR = 1.05
"""Growth of a history, as a factor, that makes its estimate outdated."""

UPPER_SHARE = 0.85
"""Share of tasks that end within ``SizeEstimate.upper_seconds``."""

BINS = LONGEST_BIN - SHORTEST_BIN + 1

MAX_KEY_PARTS = 3
"""Parts of the longest key of a history: range of sizes, kind and team."""


@attrs.frozen
class SizeEstimate:
    """Estimated run time of a task on a target of speed one."""

    mean_seconds: float
    """Mean run time in seconds."""

    upper_seconds: float
    """Run time in seconds that about 15 % of such tasks exceed."""

    log_mean: float
    """Mean of the natural logarithm of the run time in seconds."""

    confidence: float = 1.0
    """Weight of finished tasks against the declaration, from 0 to 1."""


@attrs.frozen
class StoredHistory:
    """A history outside the table that learns it."""

    key: tuple[str, ...]
    """Range of sizes, and kind and team if it is restricted to them."""

    runs: float
    """Number of tasks."""

    seconds: float
    """Sum of their run times in seconds."""

    log_sum: float
    """Sum of the natural logarithms of their run times."""

    bins: tuple[tuple[int, float], ...]
    """Bins of the histogram that are not empty, with their counts."""

    def scale(self, factor: float) -> "StoredHistory":
        """Return the history of ``factor`` times as many tasks."""
        return StoredHistory(
            self.key,
            self.runs * factor,
            self.seconds * factor,
            self.log_sum * factor,
            tuple((bin_, count * factor) for bin_, count in self.bins),
        )

    def shift(self, log_factor: float) -> "StoredHistory":
        """Return the history of tasks that take longer by a factor.

        :param log_factor: natural logarithm of the factor
        """
        bins = round(log_factor / math.log(2) * BINS_PER_OCTAVE)
        return StoredHistory(
            self.key,
            self.runs,
            self.seconds * math.exp(log_factor),
            self.log_sum + self.runs * log_factor,
            tuple(
                (max(0, min(BINS - 1, bin_ + bins)), count)
                for bin_, count in self.bins
            ),
        )


@attrs.define(eq=False)
class _History:
    """Run times at speed one of tasks with similar declarations."""

    runs: float = 0.0
    """Number of tasks, halved with the other counts."""

    seconds: float = 0.0
    """Sum of their run times in seconds."""

    log_sum: float = 0.0
    """Sum of the natural logarithms of their run times."""

    bins: list[float] = attrs.Factory(lambda: [0.0] * BINS)
    """Histogram: number of tasks by run time."""

    latest: SizeEstimate | None = None
    """Cached estimate, or None before the first."""

    outdated_at_runs: float = 0.0
    """Number of tasks from which on the cached estimate is outdated."""

    def add(self, log_seconds: float, seconds: float, position: int) -> None:
        """Record a run time; all counts are halved when the history is full.

        :param position: bin that the run time falls into
        """
        if self.runs >= MAX_HISTORY_RUNS:
            self.runs /= 2
            self.outdated_at_runs = 0.0
            self.seconds /= 2
            self.log_sum /= 2
            self.bins = [count / 2 for count in self.bins]
        self.runs += 1
        self.seconds += seconds
        self.log_sum += log_seconds
        self.bins[position] += 1

    def add_stored(self, stored: StoredHistory) -> None:
        """Add the run times of a stored history."""
        self.outdated_at_runs = 0.0
        self.runs += stored.runs
        self.seconds += stored.seconds
        self.log_sum += stored.log_sum
        for position, count in stored.bins:
            self.bins[position] += count

    def estimate(self) -> SizeEstimate:
        """Return this history's estimate, cached until it grows by 5 %."""
        if self.latest is None or self.runs >= self.outdated_at_runs:
            self.latest = self._make_estimate()
            self.outdated_at_runs = self.runs * REFRESH_GROWTH_FACTOR
        return self.latest

    def _make_estimate(self) -> SizeEstimate:
        sums = list(itertools.accumulate(self.bins))
        position = bisect.bisect_left(sums, self.runs * UPPER_SHARE - 1e-9)
        position = min(position, BINS - 1)
        upper = 2 ** ((position + SHORTEST_BIN + 0.5) / BINS_PER_OCTAVE)
        mean = self.seconds / self.runs
        return SizeEstimate(mean, max(upper, mean), self.log_sum / self.runs)


class SizeTable:
    """Histories by declared size, by size and kind, and also by team."""

    def __init__(self) -> None:
        self._histories: dict[tuple[str, ...], _History] = {}

    def __len__(self) -> int:
        return len(self._histories)

    def estimate(self, team: str, kind: str, size_ms: float) -> SizeEstimate:
        """Return the estimate of a task declared as ``size_ms``."""
        # Plain numbers for speed: this runs for each task that ends.
        mean = upper = size_ms / 1000
        log_mean = math.log(mean)
        confidence = 0.0
        for key in _list_keys(team, kind, size_ms):
            history = self._histories.get(key)
            if history is None:
                continue
            finer = history.estimate()
            weight = history.runs / (history.runs + HALF_WEIGHT_RUNS)
            coarser_weight = 1 - weight
            mean = coarser_weight * mean + weight * finer.mean_seconds
            upper = coarser_weight * upper + weight * finer.upper_seconds
            log_mean = coarser_weight * log_mean + weight * finer.log_mean
            confidence = coarser_weight * confidence + weight
        return SizeEstimate(mean, upper, log_mean, confidence)

    def observe(
        self, team: str, kind: str, size_ms: float, log_seconds: float
    ) -> None:
        """Record a finished task's run time at speed one.

        :param log_seconds: natural logarithm of the run time in seconds
        """
        seconds = math.exp(log_seconds)
        position = _find_bin(log_seconds)
        for key in _list_keys(team, kind, size_ms):
            history = self._histories.get(key)
            if history is None:
                if len(self._histories) >= MAX_HISTORIES:
                    continue
                history = self._histories[key] = _History()
            history.add(log_seconds, seconds, position)

    def list_largest(self, count: int) -> list[StoredHistory]:
        """Return the histories with the most runs, the largest first."""
        largest = heapq.nlargest(
            count, self._histories.items(), key=lambda item: item[1].runs
        )
        return [
            StoredHistory(
                key,
                history.runs,
                history.seconds,
                history.log_sum,
                tuple(
                    (bin_, number)
                    for bin_, number in enumerate(history.bins)
                    if number
                ),
            )
            for key, history in largest
        ]

    def add(self, stored: StoredHistory) -> None:
        """Add the run times of a stored history to that with its key."""
        history = self._histories.get(stored.key)
        if history is None:
            if len(self._histories) >= MAX_HISTORIES:
                return
            history = self._histories[stored.key] = _History()
        history.add_stored(stored)


def _list_keys(
    team: str, kind: str, size_ms: float
) -> tuple[tuple[str, ...], ...]:
    bucket = str(round(math.log2(size_ms) * BUCKETS_PER_OCTAVE))
    return (bucket,), (bucket, kind), (bucket, kind, team)


def _find_bin(log_seconds: float) -> int:
    position = math.floor(log_seconds / math.log(2) * BINS_PER_OCTAVE)
    return max(SHORTEST_BIN, min(LONGEST_BIN, position)) - SHORTEST_BIN
