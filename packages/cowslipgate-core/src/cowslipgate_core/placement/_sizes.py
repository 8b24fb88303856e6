"""How long tasks take, told by how long tasks declared alike have taken.

Histories are kept for all tasks, by kind, and by kind and team; a finer one
is believed as far as it has seen enough tasks.
"""

import bisect
import itertools
import math

import attrs

BUCKETS_PER_OCTAVE = 2
BINS_PER_OCTAVE = 4
SHORTEST_BIN = -48
LONGEST_BIN = 48
MAX_HISTORIES = 5_000
FULL_HISTORY = 4_000
BELIEF_RUNS = 8.0
GROWTH_TO_REFRESH = 1.05
UPPER_SHARE = 0.85
BINS = LONGEST_BIN - SHORTEST_BIN + 1


@attrs.frozen
class SizeEstimate:
    """Likely run time of a task at speed one."""

    mean_seconds: float
    """Mean run time in seconds."""

    upper_seconds: float
    """Run time in seconds that few tasks like it exceed."""

    log_mean: float
    """Mean of the logarithm of the run time in seconds."""

    belief: float = 1.0
    """How far it rests on finished tasks and not on the declaration."""


@attrs.define(eq=False)
class _History:
    """Run times at speed one of tasks declared about alike."""

    runs: float = 0.0
    """Number of tasks."""

    seconds: float = 0.0
    """Sum of their run times."""

    logs: float = 0.0
    """Sum of the logarithms of their run times."""

    bins: list[float] = attrs.Factory(lambda: [0.0] * BINS)
    """Number of tasks by run time."""

    latest: SizeEstimate | None = None
    """Estimate made last."""

    fresh_until: float = 0.0
    """Number of tasks at which another estimate is made."""

    def add(self, log_seconds: float, seconds: float, position: int) -> None:
        """Take in a run time; half is forgotten when the history is full.

        :param position: bin that the run time falls into
        """
        if self.runs >= FULL_HISTORY:
            self.runs /= 2
            self.fresh_until = 0.0
            self.seconds /= 2
            self.logs /= 2
            self.bins = [count / 2 for count in self.bins]
        self.runs += 1
        self.seconds += seconds
        self.logs += log_seconds
        self.bins[position] += 1

    def estimate(self) -> SizeEstimate:
        """Return the estimate of this history alone, at most a bit old."""
        if self.latest is None or self.runs >= self.fresh_until:
            self.latest = self._make_estimate()
            self.fresh_until = self.runs * GROWTH_TO_REFRESH
        return self.latest

    def _make_estimate(self) -> SizeEstimate:
        sums = list(itertools.accumulate(self.bins))
        position = bisect.bisect_left(sums, self.runs * UPPER_SHARE - 1e-9)
        position = min(position, BINS - 1)
        upper = 2 ** ((position + SHORTEST_BIN + 0.5) / BINS_PER_OCTAVE)
        mean = self.seconds / self.runs
        return SizeEstimate(mean, max(upper, mean), self.logs / self.runs)


class SizeTable:
    """Histories by declared size, the finer ones before the coarser."""

    def __init__(self) -> None:
        self._histories: dict[tuple[str, ...], _History] = {}

    def __len__(self) -> int:
        return len(self._histories)

    def estimate(self, team: str, kind: str, size_ms: float) -> SizeEstimate:
        """Return the estimate of a task declared as ``size_ms``."""
        # Blended as plain numbers: this runs for each task that ends.
        mean = upper = size_ms / 1000
        log_mean = math.log(mean)
        belief = 0.0
        for key in _list_keys(team, kind, size_ms):
            history = self._histories.get(key)
            if history is None:
                continue
            fine = history.estimate()
            share = history.runs / (history.runs + BELIEF_RUNS)
            rest = 1 - share
            mean = rest * mean + share * fine.mean_seconds
            upper = rest * upper + share * fine.upper_seconds
            log_mean = rest * log_mean + share * fine.log_mean
            belief = rest * belief + share
        return SizeEstimate(mean, upper, log_mean, belief)

    def observe(
        self, team: str, kind: str, size_ms: float, log_seconds: float
    ) -> None:
        """Learn the run time at speed one of a finished task."""
        seconds = math.exp(log_seconds)
        position = _find_bin(log_seconds)
        for key in _list_keys(team, kind, size_ms):
            history = self._histories.get(key)
            if history is None:
                if len(self._histories) >= MAX_HISTORIES:
                    continue
                history = self._histories[key] = _History()
            history.add(log_seconds, seconds, position)


def _list_keys(
    team: str, kind: str, size_ms: float
) -> tuple[tuple[str, ...], ...]:
    bucket = str(round(math.log2(size_ms) * BUCKETS_PER_OCTAVE))
    return (bucket,), (bucket, kind), (bucket, kind, team)


def _find_bin(log_seconds: float) -> int:
    position = math.floor(log_seconds / math.log(2) * BINS_PER_OCTAVE)
    return max(SHORTEST_BIN, min(LONGEST_BIN, position)) - SHORTEST_BIN
