"""Detection of kinds of tasks that slow each other down on one target.

A kind is a route. An entry compares the run times of a kind while another
kind ran beside it with those while it did not. It knows the kinds of its own
runs only, and the number of all others. Run times are ratios to what the size
and the target's speed let expect, as natural logarithms, relative to the mean
of the target's last runs.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import datetime
import math

import attrs

MAX_KINDS = 64
"""Kinds that are observed; bounds the memory."""

MAX_PAIRS = 1_024
"""Ordered pairs of kinds that are compared; bounds the memory."""

MAX_TARGETS = 10_000
"""Targets whose mean is kept; bounds the memory."""

MAX_SIDE_TARGETS = 8
"""Targets that are remembered for one side of a comparison."""

MOST_NEIGHBOURS = 15
"""Number of neighbours from which on runs are compared with each other."""

PRESENT_SHARE = 0.5
"""Share of a run from which on a kind counts as present beside it."""

ABSENT_SHARE = 0.1
"""Share of a run up to which a kind counts as absent. Runs between both count
on neither side."""

MAX_LOG_RATIO = math.log(4)
"""Bound of one run's ratio, as a natural logarithm."""

TARGET_RUN_WEIGHT = 0.02
"""Least weight of a new run in its target's mean. With a higher weight, the
mean follows the neighbours of the moment and hides their effect."""

MIN_TARGET_RUNS = 5
"""Runs of a target before its mean is relied on."""

MIN_RUNS = 30
"""Least number of runs on each side."""

MIN_SIDE_TARGETS = 3
"""Least number of targets with runs on each side."""

MIN_LOG_SLOWDOWN = math.log(1.1)
"""Difference above which a pair interferes, as a natural logarithm."""

MIN_ERRORS = 3.0
"""Standard errors above which a pair interferes."""

KEPT_SHARE = 0.5
"""Share of the least difference and errors above which a pair that was found
is kept, so that one near the limits is not found and lost in turn."""

KEPT_RUNS = 4
"""Runs beside the other kind below which a pair is forgotten. Tasks that are
kept apart give few new ones."""

HALVING_INTERVAL = 30.0
"""Seconds after which all runs count half."""

FORGOTTEN_RUNS = 0.5
"""Runs below which nothing more is kept of a kind or pair."""

REVIEW_INTERVAL = 1.0
"""Seconds between two comparisons of all pairs."""


@attrs.frozen
class InterferingPair:
    """A kind of task that is slower beside another one."""

    kind: str
    """Kind that is slower."""

    beside: str
    """Kind beside which it is."""

    slowdown: float
    """Part by which its run time is longer; 0.3 is 30%."""

    runs: float
    """Runs beside the other kind that show it; older ones count less."""


@attrs.frozen
class Neighbours:
    """What ran beside a run."""

    agent: str
    """Agent of its target."""

    kind: str
    """Kind of the run."""

    shares: dict[str, float]
    """Share of the run during which the entry's runs of each kind were
    present."""

    count: int
    """Mean number of neighbours, rounded; those of other entries included."""


@attrs.define(eq=False)
class _RunStart:
    """Totals of a target when a run started."""

    kind: str
    at: float
    others: int
    total_time: float
    present_times: dict[str, float]


@attrs.define(eq=False)
class _Presence:
    """Runs of the entry at one target, and for how long kinds were there."""

    at: float
    """Time of the last change, in seconds."""

    running: int = 0
    """Number of runs."""

    total_time: float = 0.0
    """Sum of the seconds of all runs so far."""

    counts: dict[str, int] = attrs.Factory(dict)
    """Runs by kind."""

    any_times: dict[str, float] = attrs.Factory(dict)
    """Seconds with at least one run of each kind."""

    two_times: dict[str, float] = attrs.Factory(dict)
    """Seconds with at least two runs of each kind."""

    starts: dict[int, _RunStart] = attrs.Factory(dict)
    """Runs by sequence number."""

    def advance(self, at: float) -> None:
        """Add the time since the last change to the totals."""
        elapsed = at - self.at
        if elapsed <= 0:
            return
        self.at = at
        self.total_time += self.running * elapsed
        for kind, count in self.counts.items():
            self.any_times[kind] += elapsed
            if count > 1:
                self.two_times[kind] += elapsed

    def get_present_times(self, kind: str) -> dict[str, float]:
        """Return for how long each kind was beside a run of a kind."""
        times = dict(self.any_times)
        if kind in times:
            times[kind] = self.two_times[kind]
        return times

    def start(self, sequence: int, kind: str, others: int) -> None:
        """Add a run."""
        self.starts[sequence] = _RunStart(
            kind,
            self.at,
            others,
            self.total_time,
            self.get_present_times(kind),
        )
        self.running += 1
        if kind:
            self.counts[kind] = self.counts.get(kind, 0) + 1
            self.any_times.setdefault(kind, 0.0)
            self.two_times.setdefault(kind, 0.0)

    def end(self, start: _RunStart) -> None:
        """Remove a run."""
        self.running -= 1
        if start.kind:
            self.counts[start.kind] -= 1
            if not self.counts[start.kind]:
                del self.counts[start.kind]


@attrs.define(eq=False)
class _Side:
    """Runs of a kind while another one was present, or was absent."""

    cells: dict[int, list[float]] = attrs.Factory(dict)
    """Number, sum and sum of squares of the ratios, by neighbours."""

    targets: dict[str, float] = attrs.Factory(dict)
    """Runs by agent, for the first agents."""

    runs: float = 0.0
    """Number of runs."""

    def add(self, agent: str, neighbours: int, ratio: float) -> None:
        """Add a run."""
        cell = self.cells.get(neighbours)
        if cell is None:
            cell = self.cells[neighbours] = [0.0, 0.0, 0.0]
        cell[0] += 1
        cell[1] += ratio
        cell[2] += ratio * ratio
        self.runs += 1
        if agent in self.targets:
            self.targets[agent] += 1
        elif len(self.targets) < MAX_SIDE_TARGETS:
            self.targets[agent] = 1.0

    def halve(self) -> None:
        """Let all runs count half."""
        self.runs /= 2
        self.cells = {
            neighbours: [value / 2 for value in cell]
            for neighbours, cell in self.cells.items()
            if cell[0] / 2 >= FORGOTTEN_RUNS
        }
        self.targets = {
            agent: runs / 2
            for agent, runs in self.targets.items()
            if runs / 2 >= FORGOTTEN_RUNS
        }


@attrs.frozen
class _Comparison:
    """Difference of the two sides of a pair."""

    difference: float
    error: float
    present: float
    absent: float


@attrs.define(eq=False)
class _Pair:
    """Runs of a kind with another one beside them, and without."""

    present: _Side = attrs.Factory(_Side)
    absent: _Side = attrs.Factory(_Side)

    def compare(self) -> _Comparison | None:
        """Return the difference, or None without runs on both sides.

        Only numbers of neighbours with runs on both sides count. The weights
        give the mean of their differences the least error.
        """
        weights = difference = squares = present = absent = 0.0
        cells = 0
        for neighbours, (runs, total, square) in self.present.cells.items():
            other = self.absent.cells.get(neighbours)
            if other is None:
                continue
            other_runs, other_total, other_square = other
            weight = runs * other_runs / (runs + other_runs)
            weights += weight
            difference += weight * (total / runs - other_total / other_runs)
            squares += square - total * total / runs
            squares += other_square - other_total * other_total / other_runs
            present += runs
            absent += other_runs
            cells += 2
        if not weights:
            return None
        freedom = max(1.0, present + absent - cells)
        variance = max(0.0, squares) / freedom
        return _Comparison(
            difference / weights,
            math.sqrt(variance / weights),
            present,
            absent,
        )

    def is_found(self, result: _Comparison) -> bool:
        """Return whether the runs show that the pair interferes."""
        return (
            min(result.present, result.absent) >= MIN_RUNS
            and len(self.present.targets) >= MIN_SIDE_TARGETS
            and len(self.absent.targets) >= MIN_SIDE_TARGETS
            and result.difference > MIN_LOG_SLOWDOWN
            and result.difference > MIN_ERRORS * result.error
        )

    def is_kept(self, result: _Comparison) -> bool:
        """Return whether the runs still support a pair that was found."""
        return (
            result.present >= KEPT_RUNS
            and result.difference > KEPT_SHARE * MIN_LOG_SLOWDOWN
            and result.difference > KEPT_SHARE * MIN_ERRORS * result.error
        )


@attrs.define(eq=False)
class _Kind:
    """What is kept of a kind."""

    running: int = 0
    """Its runs in progress."""

    runs: float = 0.0
    """Its runs that were observed."""

    pairs: dict[str, _Pair] = attrs.Factory(dict)
    """Pairs by the kind beside it."""


@attrs.define(eq=False)
class _TargetMean:
    """Mean ratio of a target's last runs."""

    runs: int = 0
    log_ratio: float = 0.0

    def learn(self, ratio: float) -> float | None:
        """Add a run; return its ratio relative to the mean before it.

        None while the mean rests on too few runs.
        """
        relative = ratio - self.log_ratio
        relative = max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, relative))
        self.runs += 1
        self.log_ratio += relative * max(TARGET_RUN_WEIGHT, 1 / self.runs)
        return relative if self.runs > MIN_TARGET_RUNS else None


class Interference:
    """Kinds that slow each other down, learned from an entry's runs."""

    def __init__(self) -> None:
        self._services: set[str] = set()
        self.separated = 0
        """Tasks sent to another target because of a pair."""
        self._clear()

    def _clear(self) -> None:
        self._kinds: dict[str, _Kind] = {}
        self._presences: dict[str, _Presence] = {}
        self._means: dict[str, _TargetMean] = {}
        self._found: dict[tuple[str, str], InterferingPair] = {}
        self._costs: dict[str, dict[str, float]] = {}
        self._pair_count = 0
        self._halved_at: float | None = None
        self._reviewed_at = -math.inf

    @property
    def pairs(self) -> Mapping[tuple[str, str], InterferingPair]:
        """Pairs that interfere, by kind and the kind beside it."""
        return self._found

    @property
    def kinds(self) -> int:
        """Number of kinds that are kept."""
        return len(self._kinds)

    @property
    def compared(self) -> int:
        """Number of pairs that are compared."""
        return self._pair_count

    def observe_service(self, service: str, enabled: bool) -> None:
        """Set whether the runs of a service are observed.

        All is forgotten once no service is.
        """
        if enabled == (service in self._services):
            return
        if enabled:
            self._services.add(service)
            return
        self._services.discard(service)
        if not self._services:
            self._clear()

    def observes(self, service: str) -> bool:
        """Return whether the runs of a service are observed."""
        return service in self._services

    def start(
        self,
        agent: str,
        sequence: int,
        kind: str,
        others: int,
        now: datetime.datetime,
    ) -> None:
        """Record the start of a run.

        :param kind: kind of the task; empty if it has none
        :param others: number of the target's runs of other entries
        """
        at = now.timestamp()
        presence = self._presences.get(agent)
        if presence is None:
            presence = self._presences[agent] = _Presence(at)
        presence.advance(at)
        if kind and kind not in self._kinds:
            if len(self._kinds) < MAX_KINDS:
                self._kinds[kind] = _Kind()
            else:
                kind = ""
        if kind:
            self._kinds[kind].running += 1
        presence.start(sequence, kind, others)

    def end(
        self, agent: str, sequence: int, others: int, now: datetime.datetime
    ) -> Neighbours | None:
        """Record the end of a run and return what ran beside it.

        None if its start was not recorded or its kind is not kept.

        :param others: number of the target's runs of other entries
        """
        presence = self._presences.get(agent)
        start = presence.starts.pop(sequence, None) if presence else None
        if start is None:
            return None
        presence.advance(now.timestamp())
        presence.end(start)
        if not presence.starts:
            del self._presences[agent]
        if not start.kind:
            return None
        self._kinds[start.kind].running -= 1
        duration = presence.at - start.at
        if duration <= 0:
            return None
        times = presence.get_present_times(start.kind)
        shares = {
            kind: (time - start.present_times.get(kind, 0.0)) / duration
            for kind, time in times.items()
        }
        own = (presence.total_time - start.total_time) / duration - 1
        count = round(own + (start.others + others) / 2)
        return Neighbours(
            agent, start.kind, shares, max(0, min(MOST_NEIGHBOURS, count))
        )

    def observe(
        self, neighbours: Neighbours, ratio: float, now: datetime.datetime
    ) -> None:
        """Learn from a finished run.

        :param ratio: natural logarithm of its run time over the expected one
        """
        self._halve(now.timestamp())
        mean = self._means.get(neighbours.agent)
        if mean is None:
            if len(self._means) >= MAX_TARGETS:
                return
            mean = self._means[neighbours.agent] = _TargetMean()
        relative = mean.learn(ratio)
        kind = self._kinds.get(neighbours.kind)
        if relative is None or kind is None:
            return
        kind.runs += 1
        shares = neighbours.shares
        for beside, share in shares.items():
            if (
                share >= PRESENT_SHARE
                and beside not in kind.pairs
                and self._pair_count < MAX_PAIRS
            ):
                kind.pairs[beside] = _Pair()
                self._pair_count += 1
        agent, count = neighbours.agent, neighbours.count
        for beside, pair in kind.pairs.items():
            share = shares.get(beside, 0.0)
            if share >= PRESENT_SHARE:
                pair.present.add(agent, count, relative)
            elif share <= ABSENT_SHARE:
                pair.absent.add(agent, count, relative)

    def review(self, now: datetime.datetime) -> None:
        """Compare all pairs, at most once in ``REVIEW_INTERVAL``."""
        at = now.timestamp()
        if not self._kinds or 0 <= at - self._reviewed_at < REVIEW_INTERVAL:
            return
        self._reviewed_at = at
        self._halve(at)
        found = {(pair.kind, pair.beside): pair for pair in self._find_pairs()}
        if found or self._found:
            self._found = found
            self._costs = _sum_costs(found)

    def get_costs(self, kind: str) -> Mapping[str, float]:
        """Return what a task of a kind costs beside one of each other kind.

        The cost is the sum of the slowdowns of both; kinds without one are
        left out.
        """
        return self._costs.get(kind, {})

    def get_counts(self, agent: str) -> Mapping[str, int]:
        """Return the number of the entry's runs at a target by kind."""
        presence = self._presences.get(agent)
        return presence.counts if presence is not None else {}

    def _find_pairs(self) -> Iterator[InterferingPair]:
        for name, kind in self._kinds.items():
            for beside, pair in kind.pairs.items():
                known = self._found.get((name, beside))
                if known is None and pair.present.runs < MIN_RUNS:
                    continue
                result = pair.compare()
                if result is None:
                    continue
                if pair.is_found(result) or (known and pair.is_kept(result)):
                    slowdown = math.exp(result.difference) - 1
                    yield InterferingPair(
                        name, beside, slowdown, result.present
                    )

    def _halve(self, at: float) -> None:
        if self._halved_at is None:
            self._halved_at = at
        # After a long pause nothing is left to halve.
        halvings = min(64, int((at - self._halved_at) // HALVING_INTERVAL))
        if halvings <= 0:
            return
        self._halved_at = at
        for _ in range(halvings):
            for kind in self._kinds.values():
                _halve_kind(kind)
        self._kinds = {
            name: kind
            for name, kind in self._kinds.items()
            if kind.running or kind.runs >= FORGOTTEN_RUNS
        }
        self._pair_count = sum(len(k.pairs) for k in self._kinds.values())


def _halve_kind(kind: _Kind) -> None:
    kind.runs /= 2
    for pair in kind.pairs.values():
        pair.present.halve()
        pair.absent.halve()
    kind.pairs = {
        beside: pair
        for beside, pair in kind.pairs.items()
        if pair.present.runs >= FORGOTTEN_RUNS
    }


def _sum_costs(
    found: Mapping[tuple[str, str], InterferingPair],
) -> dict[str, dict[str, float]]:
    costs: dict[str, dict[str, float]] = {}
    for pair in found.values():
        # The task is slowed by its neighbour, or slows it.
        for kind, other in (
            (pair.kind, pair.beside),
            (pair.beside, pair.kind),
        ):
            beside = costs.setdefault(kind, {})
            beside[other] = beside.get(other, 0.0) + pair.slowdown
    return costs
