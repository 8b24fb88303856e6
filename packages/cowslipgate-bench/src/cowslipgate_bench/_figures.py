"""Figures of one run of one policy, worked out from what was recorded."""

from collections.abc import Iterable, Mapping, Sequence
import statistics
from typing import Any

import attrs

from cowslipgate_bench import _ideal
from cowslipgate_bench import _load
from cowslipgate_bench import _workload

MINUTE_SECONDS = 60
TAIL_SHARE = 0.99


@attrs.frozen
class Ratios:
    """A run's figure over the figure of the same jobs in a schedule."""

    mean: float
    """Of the mean responses."""

    median: float
    """Of the median responses."""

    tail: float
    """Of the 99th percentiles of the responses."""


@attrs.frozen
class MessageFigures:
    """Messages between entries and agents."""

    useful: int
    """Dispatches and results that carried work."""

    refusals: int
    """Attempts sent in vain, and their refusals."""

    withdrawals: int
    """Withdrawals, and the answers to them."""

    inquiries: int
    """Questions about attempts that were silent."""

    acknowledgements: int
    """Messages that did nothing but acknowledge."""

    heartbeats: int
    """Heartbeats of agents and the answers to them."""

    @property
    def wasted(self) -> int:
        """Sends without useful work, heartbeats not counted."""
        parts = self.refusals, self.withdrawals, self.inquiries
        return sum(parts) + self.acknowledgements

    @property
    def wasted_share(self) -> float:
        """Wasted messages for each useful one."""
        return self.wasted / max(1, self.useful)


@attrs.frozen
class MinuteFigures:
    """The busiest minute on the bill."""

    used: float
    """Slot-seconds that targets spent in it."""

    needed: float
    """Slot-seconds in it that went into complete jobs."""

    @property
    def ratio(self) -> float:
        """Used over needed."""
        return self.used / self.needed if self.needed else 0.0


@attrs.frozen
class Usage:
    """Time that a target spent on a task."""

    job: str
    """Id of the job."""

    start: float
    """When it started, in seconds."""

    end: float
    """When it ended or was stopped, in seconds."""


@attrs.frozen
class RunFigures:
    """Everything that is reported of one run."""

    policy: str
    """Policy of the entries."""

    load: float
    """Work offered over what the targets can do."""

    jobs: int
    """Measured jobs."""

    failures: Mapping[str, int]
    """Measured jobs that were not answered whole, by cause."""

    mean_seconds: float
    """Mean response."""

    tail_seconds: float
    """99th percentile of the responses."""

    over_schedule: Ratios
    """Responses over the best omniscient schedule."""

    over_bound: float
    """Mean response over the lower bound of the mean."""

    schedule: str
    """Name of that schedule."""

    messages: MessageFigures
    """Messages by cause."""

    minute: MinuteFigures
    """The busiest minute."""

    fairness: float
    """Largest over smallest slowdown of the teams' mean responses."""

    send_delay: float
    """Longest time by which the generator was late, in seconds."""

    processor_seconds: Mapping[str, float]
    """Processor time by role."""

    host_load: float
    """Load average of the host when the run ended."""


def compare_responses(
    outcomes: Sequence[_load.JobOutcome],
    schedule: _ideal.Schedule,
    measured: Iterable[int],
) -> Ratios:
    """Return the responses of complete jobs over those of a schedule."""
    kept = [index for index in measured if outcomes[index].complete]
    if not kept:
        return Ratios(0.0, 0.0, 0.0)
    seen = [outcomes[index].response for index in kept]
    ideal = [schedule.responses[index] for index in kept]
    return Ratios(
        statistics.fmean(seen) / statistics.fmean(ideal),
        statistics.median(seen) / statistics.median(ideal),
        find_tail(seen) / find_tail(ideal),
    )


def find_tail(values: Sequence[float]) -> float:
    """Return the 99th percentile, by nearest rank."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(TAIL_SHARE * len(ordered)))]


def measure_fairness(
    trace: _workload.Trace,
    outcomes: Sequence[_load.JobOutcome],
    schedule: _ideal.Schedule,
) -> float:
    """Return the largest over the smallest slowdown of a team."""
    by_team: dict[str, list[int]] = {}
    for index in trace.list_measured():
        if outcomes[index].complete:
            by_team.setdefault(trace.jobs[index].team, []).append(index)
    slowdowns = [
        sum(outcomes[i].response for i in indices)
        / sum(schedule.responses[i] for i in indices)
        for indices in by_team.values()
    ]
    return max(slowdowns) / min(slowdowns) if slowdowns else 0.0


def count_failures(
    outcomes: Sequence[_load.JobOutcome], measured: Iterable[int]
) -> dict[str, int]:
    """Return the jobs that were not answered whole, by cause."""
    causes: dict[str, int] = {}
    for index in measured:
        outcome = outcomes[index]
        if not outcome.complete:
            cause = outcome.error or "no answer"
            causes[cause] = causes.get(cause, 0) + 1
    return causes


def count_messages(
    before: Sequence[Mapping[str, int]], after: Sequence[Mapping[str, int]]
) -> MessageFigures:
    """Return the messages between two readings of the entries' counters."""

    def count(name: str) -> int:
        return sum(a[name] for a in after) - sum(b[name] for b in before)

    return MessageFigures(
        useful=count("dispatches") + count("results"),
        refusals=count("refused") + count("refusals"),
        withdrawals=count("withdrawals") + count("idle_results"),
        inquiries=count("inquiry_messages"),
        acknowledgements=count("acknowledgements"),
        heartbeats=count("heartbeats"),
    )


def read_usage(journal: Iterable[Mapping[str, Any]]) -> list[Usage]:
    """Return the time spent on each task that the targets wrote down."""
    starts: dict[str, float] = {}
    usage = []
    for line in journal:
        task = line["task"]
        if line["event"] == "start":
            starts[task] = line["at"]
        elif task in starts:
            job = task.partition(".")[0]
            usage.append(Usage(job, starts.pop(task), line["at"]))
    return usage


def find_busiest_minute(
    usage: Sequence[Usage], complete: set[str]
) -> MinuteFigures:
    """Return the minute, begun at any second, that used most.

    :param complete: ids of the jobs that were answered whole
    """
    if not usage:
        return MinuteFigures(0.0, 0.0)
    origin = min(item.start for item in usage)
    span = int(max(item.end for item in usage) - origin) + 1
    used = [0.0] * span
    needed = [0.0] * span
    for item in usage:
        _spread(used, item.start - origin, item.end - origin)
        if item.job in complete:
            _spread(needed, item.start - origin, item.end - origin)
    first = max(
        range(max(1, span - MINUTE_SECONDS + 1)),
        key=lambda second: sum(used[second : second + MINUTE_SECONDS]),
    )
    last = first + MINUTE_SECONDS
    return MinuteFigures(sum(used[first:last]), sum(needed[first:last]))


def _spread(seconds: list[float], start: float, end: float) -> None:
    """Add the time between two moments to the seconds that it falls in."""
    for second in range(int(start), min(int(end) + 1, len(seconds))):
        seconds[second] += min(end, second + 1) - max(start, second)
