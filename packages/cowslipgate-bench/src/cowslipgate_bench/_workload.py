"""Traces of jobs: seeded arrivals, true sizes and declared sizes."""

import enum
import math
import random

import attrs

SHORTEST_MS = 50.0
SHORT_LIMIT_MS = 1_000.0
LONG_SHARE = 0.03
LONG_MS = (2_000.0, 6_000.0)
DECLARATION_SIGMA = 0.8
PRINT_RUN_TASKS = (15, 45)
DRAW_TASKS = (1, 6)
BURST_SECONDS = 1.0
BURST_SHARE = 0.15
SPIKE_SECONDS = 2.0
SPIKES = 3
SPIKE_SHARE = 0.1
WAVE_LABEL = "hall-7"
WAVE_SHARE = 0.4


class Profile(enum.StrEnum):
    """Shape of the arrivals."""

    STEADY = "steady"
    SCHELDE = "schelde"
    HADDAD = "haddad"


@attrs.frozen
class TaskSize:
    """How long a task takes and what its caller says."""

    kind: str
    """Kind of the task."""

    true_ms: float
    """Run time at speed one in milliseconds."""

    declared_ms: float
    """What the caller declares, in milliseconds."""


@attrs.frozen
class TraceJob:
    """A job of a trace."""

    arrival: float
    """Seconds from the start of the trace to its intended arrival."""

    team: str
    """Team of the caller."""

    label: str
    """Label by which a wave cancels it, or empty."""

    tasks: tuple[TaskSize, ...]
    """Its tasks."""

    @property
    def work_seconds(self) -> float:
        """Run time of all tasks at speed one in seconds."""
        return sum(task.true_ms for task in self.tasks) / 1000


@attrs.frozen
class Trace:
    """Jobs in the order of their arrival."""

    jobs: tuple[TraceJob, ...]
    """The jobs."""

    measured_from: float
    """Jobs that arrive earlier, in seconds, only warm the system up."""

    duration: float
    """Seconds until the last arrival."""

    def list_measured(self) -> list[int]:
        """Return the indices of the jobs that are measured."""
        return [
            index
            for index, job in enumerate(self.jobs)
            if job.arrival >= self.measured_from
        ]


@attrs.frozen
class TraceOptions:
    """What a trace looks like."""

    seed: int
    """Seed of every random choice."""

    load: float
    """Work that arrives over what the targets can do, 0 to 1."""

    capacity: float
    """Slots times their speeds, summed over the targets."""

    duration: float = 30.0
    """Seconds of measured arrivals."""

    warm_up: float = 8.0
    """Seconds of arrivals before those."""

    profile: Profile = Profile.STEADY
    """Shape of the arrivals."""


_KINDS = {
    Profile.STEADY: ("tag", "promo", "allergen"),
    Profile.SCHELDE: ("tag", "promo", "allergen"),
    Profile.HADDAD: ("draw", "exclusion", "registry"),
}
_TEAMS = ("team-a", "team-b", "team-c", "team-d")
_TEAM_WEIGHTS = (4, 2, 1, 1)


def make_trace(options: TraceOptions) -> Trace:
    """Return the trace that ``options`` describe.

    The arrivals are stretched so that the work offers exactly the load.
    """
    source = random.Random(options.seed)
    span = options.warm_up + options.duration
    wanted = options.load * options.capacity * span
    jobs: list[TraceJob] = []
    work = 0.0
    while work < wanted:
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
    draw_chance = 0.7 if profile is Profile.HADDAD else 0.3
    is_draw = source.random() < draw_chance
    count = source.randint(*(DRAW_TASKS if is_draw else PRINT_RUN_TASKS))
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
    moments = []
    passed = 0.0
    for gap in gaps:
        moments.append(passed / total * span)
        passed += gap
    match options.profile:
        case Profile.SCHELDE:
            start = options.warm_up + options.duration / 3
            moments = _crowd(
                source, moments, start, BURST_SECONDS, BURST_SHARE
            )
        case Profile.HADDAD:
            for number in range(SPIKES):
                part = (number + 1) / (SPIKES + 1)
                start = options.warm_up + options.duration * part
                moments = _crowd(
                    source, moments, start, SPIKE_SECONDS, SPIKE_SHARE
                )
    return sorted(moments)


def _crowd(
    source: random.Random,
    moments: list[float],
    start: float,
    seconds: float,
    share: float,
) -> list[float]:
    """Move a share of the arrivals into a window."""
    return [
        start + source.random() * seconds
        if source.random() < share
        else moment
        for moment in moments
    ]
