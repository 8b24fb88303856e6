"""Figures of one run of one policy, computed from its records."""

from collections.abc import Iterable, Mapping, Sequence
import statistics
from typing import Any

import attrs

from cowslipgate_bench import _ideal
from cowslipgate_bench import _load
from cowslipgate_bench import _workload

MINUTE_SECONDS = 60
TAIL_QUANTILE = 0.99


@attrs.frozen
class Ratios:
    """Responses in a run divided by those of the same jobs in a schedule."""

    mean: float
    """Ratio of the mean responses."""

    median: float
    """Ratio of the median responses."""

    tail: float
    """Ratio of the 99th percentiles of the responses."""


@attrs.frozen
class MessageFigures:
    """Counts of messages between entries and agents, by purpose."""

    useful: int
    """Dispatches and results that carried work."""

    refusals: int
    """Dispatches of attempts that were refused, and their refusals."""

    withdrawals: int
    """Withdrawals and the replies to them."""

    inquiries: int
    """Inquiries about attempts without a recent report."""

    acknowledgements: int
    """Messages that only acknowledge others."""

    heartbeats: int
    """Heartbeats of agents and the replies to them."""

    @property
    def wasted(self) -> int:
        """Messages without useful work, excluding heartbeats."""
        parts = self.refusals, self.withdrawals, self.inquiries
        return sum(parts) + self.acknowledgements

    @property
    def wasted_share(self) -> float:
        """Wasted messages per useful message."""
        return self.wasted / max(1, self.useful)


@attrs.frozen
class MinuteFigures:
    """Busiest minute, as it is billed."""

    used: float
    """Slot-seconds that tasks occupied on targets in the minute."""

    needed: float
    """Part of these slot-seconds that complete jobs used."""

    @property
    def ratio(self) -> float:
        """Used divided by needed slot-seconds; 0 when none were needed."""
        return self.used / self.needed if self.needed else 0.0


@attrs.frozen
class Usage:
    """Time span in which a target ran a task."""

    job: str
    """Id of the job."""

    start: float
    """Start of the task, in seconds since the Unix epoch."""

    end: float
    """End or stop of the task, in seconds since the Unix epoch."""


@attrs.frozen
class RunFigures:
    """Reported figures of one run."""

    policy: str
    """Name of the placement policy of the entries."""

    load: float
    """Offered work divided by the capacity of the targets."""

    jobs: int
    """Number of measured jobs, without those of the warm-up."""

    failures: Mapping[str, int]
    """Measured jobs without a complete answer, by cause."""

    mean_seconds: float
    """Mean response in seconds."""

    tail_seconds: float
    """99th percentile of the responses in seconds."""

    over_schedule: Ratios
    """Responses relative to the best omniscient schedule."""

    over_bound: float
    """Mean response divided by the lower bound of the mean."""

    schedule: str
    """Name of the best omniscient schedule."""

    messages: MessageFigures
    """Messages by purpose."""

    minute: MinuteFigures
    """The busiest minute."""

    fairness: float
    """Largest divided by smallest slowdown of a team's mean response."""

    send_delay: float
    """Largest delay of the load generator in sending a job, in seconds."""

    processor_seconds: Mapping[str, float]
    """Processor time by role, in seconds."""

    host_load: float
    """Load average of the host when the run ended."""


def compare_responses(
    outcomes: Sequence[_load.JobOutcome],
    schedule: _ideal.Schedule,
    measured: Iterable[int],
) -> Ratios:
    """Return the responses of complete jobs relative to a schedule.

    All ratios are 0 when no job is complete.
    """
    kept = [index for index in measured if outcomes[index].complete]
    if not kept:
        return Ratios(0.0, 0.0, 0.0)
    actual = [outcomes[index].response for index in kept]
    ideal = [schedule.responses[index] for index in kept]
    return Ratios(
        statistics.fmean(actual) / statistics.fmean(ideal),
        statistics.median(actual) / statistics.median(ideal),
        compute_percentile_99(actual) / compute_percentile_99(ideal),
    )


def compute_percentile_99(values: Sequence[float]) -> float:
    """Return the 99th percentile, by nearest rank."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(TAIL_QUANTILE * len(ordered)))]


def measure_fairness(
    trace: _workload.Trace,
    outcomes: Sequence[_load.JobOutcome],
    schedule: _ideal.Schedule,
) -> float:
    """Return the largest slowdown of a team divided by the smallest."""
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
    """Return the number of jobs without a complete answer, by cause."""
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
    """Return the time span of each task in the journals of the targets.

    Tasks without an end or stop are left out.
    """
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
    """Return the 60 s that used the most slot-seconds.

    They may begin at any whole second after the first start.

    :param complete: ids of the jobs with a complete answer
    """
    if not usage:
        return MinuteFigures(0.0, 0.0)
    origin = min(item.start for item in usage)
    span = int(max(item.end for item in usage) - origin) + 1
    used = [0.0] * span
    needed = [0.0] * span
    for item in usage:
        _add_span(used, item.start - origin, item.end - origin)
        if item.job in complete:
            _add_span(needed, item.start - origin, item.end - origin)
    first = max(
        range(max(1, span - MINUTE_SECONDS + 1)),
        key=lambda second: sum(used[second : second + MINUTE_SECONDS]),
    )
    last = first + MINUTE_SECONDS
    return MinuteFigures(sum(used[first:last]), sum(needed[first:last]))


def _add_span(seconds: list[float], start: float, end: float) -> None:
    """Add the time from ``start`` to ``end`` to the seconds it covers."""
    for second in range(int(start), min(int(end) + 1, len(seconds))):
        seconds[second] += min(end, second + 1) - max(start, second)
