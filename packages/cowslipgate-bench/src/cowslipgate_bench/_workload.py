"""Traces of jobs: seeded arrivals, true sizes and declared sizes."""

import enum
import math
import random

import attrs

SHORTEST_MS = 50.0
SHORT_LIMIT_MS = 1_000.0
LONG_SHARE = 0.03
LONG_MS = (2_000.0, 6_000.0)
DECLARATION_SIGMA = 0.8  # Of the logarithm of declared over true size.
LARGE_JOB_TASKS = (15, 45)
SMALL_JOB_TASKS = (1, 6)
BURST_SECONDS = 1.0
BURST_SHARE = 0.15
SPIKE_SECONDS = 2.0
SPIKES = 3
SPIKE_SHARE = 0.1
WAVE_LABEL = "hall-7"
WAVE_SHARE = 0.4


class Profile(enum.StrEnum):
    """Arrivals and job mix: no bursts, one burst or three spikes."""

    STEADY = "steady"
    SCHELDE = "schelde"
    HADDAD = "haddad"


@attrs.frozen
class TaskSize:
    """True and declared size of a task."""

    kind: str
    """Kind of the task."""

    true_ms: float
    """Run time at speed 1 in milliseconds."""

    declared_ms: float
    """Run time that the caller declares, in milliseconds."""


@attrs.frozen
class TraceJob:
    """A job of a trace."""

    arrival: float
    """Seconds from the start of the trace to its intended arrival."""

    team: str
    """Team of the caller."""

    label: str
    """Label by which a cancellation wave selects the job, or empty."""

    tasks: tuple[TaskSize, ...]
    """Tasks of the job."""

    @property
    def work_seconds(self) -> float:
        """Sum of the tasks' run times at speed 1 in seconds."""
        return sum(task.true_ms for task in self.tasks) / 1000


@attrs.frozen
class Trace:
    """Jobs with their intended arrivals."""

    jobs: tuple[TraceJob, ...]
    """Jobs in order of arrival."""

    measured_from: float
    """End of the warm-up in seconds; jobs before it are not measured."""

    duration: float
    """Length of the trace in seconds, with the warm-up."""

    def list_measured(self) -> list[int]:
        """Return the indices of the jobs that are measured."""
        return [
            index
            for index, job in enumerate(self.jobs)
            if job.arrival >= self.measured_from
        ]


@attrs.frozen
class TraceOptions:
    """Options of a trace."""

    seed: int
    """Seed of every random choice."""

    load: float
    """Offered work divided by the capacity of the targets, 0 to 1."""

    capacity: float
    """Sum over the targets of slots times speed."""

    duration: float = 30.0
    """Length of the measured arrivals in seconds."""

    warm_up: float = 8.0
    """Length of the arrivals before them in seconds."""

    profile: Profile = Profile.STEADY
    """Shape of the arrivals and mix of the jobs."""


_KINDS = {
    Profile.STEADY: ("tag", "promo", "allergen"),
    Profile.SCHELDE: ("tag", "promo", "allergen"),
    Profile.HADDAD: ("draw", "exclusion", "registry"),
}
_TEAMS = ("team-a", "team-b", "team-c", "team-d")
_TEAM_WEIGHTS = (4, 2, 1, 1)


def make_trace(options: TraceOptions) -> Trace:
    """Return the trace that ``options`` describe.

    Jobs are added until their work reaches the load, then their arrivals are
    scaled to the length of the trace.
    """
    source = random.Random(options.seed)
    span = options.warm_up + options.duration
    offered_work = options.load * options.capacity * span
    jobs: list[TraceJob] = []
    work = 0.0
    while work < offered_work:
        job = _make_job(source, options.profile)
        jobs.append(job)
        work += job.work_seconds
    arrivals = _make_arrivals(source, len(jobs), options)
    placed = tuple(
        attrs.evolve(job, arrival=arrival)
        for job, arrival in zip(jobs, arrivals, strict=True)
    )
    return Trace(placed, options.warm_up, span)


def _make_job(source: random.Random, profile: Profile) -> TraceJob:
    small_share = 0.7 if profile is Profile.HADDAD else 0.3
    is_small = source.random() < small_share
    count = source.randint(*(SMALL_JOB_TASKS if is_small else LARGE_JOB_TASKS))
    (team,) = source.choices(_TEAMS, _TEAM_WEIGHTS)
    label = WAVE_LABEL if source.random() < WAVE_SHARE else ""
    tasks = tuple(_make_task(source, profile) for _ in range(count))
    return TraceJob(0.0, team, label, tasks)


def _make_task(source: random.Random, profile: Profile) -> TaskSize:
    if source.random() < LONG_SHARE:
        true_ms = source.uniform(*LONG_MS)
    else:
        low, high = math.log(SHORTEST_MS), math.log(SHORT_LIMIT_MS)
        true_ms = math.exp(source.uniform(low, high))
    error = math.exp(source.gauss(0.0, DECLARATION_SIGMA))
    kind = source.choice(_KINDS[profile])
    return TaskSize(kind, round(true_ms, 1), round(true_ms * error, 1))


def _make_arrivals(
    source: random.Random, count: int, options: TraceOptions
) -> list[float]:
    span = options.warm_up + options.duration
    gaps = [source.expovariate(1.0) for _ in range(count)]
    total = sum(gaps)
    arrivals = []
    elapsed = 0.0
    for gap in gaps:
        arrivals.append(elapsed / total * span)
        elapsed += gap
    match options.profile:
        case Profile.SCHELDE:
            start = options.warm_up + options.duration / 3
            arrivals = _concentrate(
                source, arrivals, start, BURST_SECONDS, BURST_SHARE
            )
        case Profile.HADDAD:
            for number in range(SPIKES):
                fraction = (number + 1) / (SPIKES + 1)
                start = options.warm_up + options.duration * fraction
                arrivals = _concentrate(
                    source, arrivals, start, SPIKE_SECONDS, SPIKE_SHARE
                )
    return sorted(arrivals)


def _concentrate(
    source: random.Random,
    arrivals: list[float],
    start: float,
    seconds: float,
    share: float,
) -> list[float]:
    """Move a random share of the arrivals into a window of ``seconds``."""
    return [
        start + source.random() * seconds
        if source.random() < share
        else arrival
        for arrival in arrivals
    ]
