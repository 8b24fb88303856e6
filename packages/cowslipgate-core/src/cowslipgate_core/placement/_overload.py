"""Forecast of the waiting jobs of a service whose targets have no room.

Work is measured in seconds of run time at speed one. The rate is the work
that the entry starts in a second, so that work divided by it is a time.
"""

import bisect
import collections
from collections.abc import Iterable
from collections.abc import Mapping
import datetime
import functools

import attrs

from cowslipgate_core.messages import _resources
from cowslipgate_core.placement import _backlog
from cowslipgate_core.placement import _job_order
from cowslipgate_core.placement import _late_binding
from cowslipgate_core.placement import _placement
from cowslipgate_core.placement import _room
from cowslipgate_core.placement import _targets

MARGIN = 0.25
"""Share of a forecast by which it must exceed the time allowed, because
forecasts are inexact."""

WINDOW = datetime.timedelta(seconds=1)
"""Time over which the rate is measured."""

LONG_WINDOW = datetime.timedelta(seconds=4)
"""Longest time over which it is measured as well; the higher rate counts.
Tasks that were started together end together, and between their ends nothing
starts for as long as they run."""

PAUSE_AFTER = datetime.timedelta(milliseconds=500)
"""Time between two observations, due every 0.1 s, from which on the entry
has paused and its rate is not known."""

LEAST_SHARE = 0.25
"""Part of the entry's share of the pool that the rate never falls below.
Nothing starts while links are down, and a forecast from that would refuse
every job."""

MAX_SHARERS = 8
"""Most entries that share one target, as agents link to no more."""

ITERATIONS = 2
"""Steps by which the work that shares let overtake a job is approximated from
below."""


@attrs.frozen
class QueuedJob:
    """A job in dispatch order, as forecasts see it."""

    job: str
    """Id of the job."""

    work: float
    """Work of its waiting tasks, in seconds at speed one."""

    longest: float
    """Run time of its longest waiting task, in seconds at speed one."""

    run_seconds: float
    """Run time of that task on the fastest target, in seconds."""

    allowed_seconds: float
    """Time until the deadline, in seconds."""

    refusable: bool = True
    """Whether nothing of it has started and no target has room for it."""

    priority: int = 0
    """Priority; zero is the most urgent."""

    remaining: float = 0.0
    """Work of its unfinished tasks, in seconds at speed one."""

    late: bool = False
    """Whether it goes after the jobs that can meet their objective."""

    aged: bool = False
    """Whether it goes before all younger jobs."""

    route: str = ""
    """Route of the job, or empty."""

    share: float = 0.0
    """Share of the rate that its route is due, from 0 to 1."""


@attrs.frozen
class Forecast:
    """When a job is expected to start and to end."""

    job: str
    """Id of the job."""

    start_seconds: float
    """Time until the work ahead of it has left, in seconds."""

    slack_seconds: float
    """Time by which it may start earlier, as tasks end at different times."""

    run_seconds: float
    """Run time of its longest task on the fastest target, in seconds."""

    rate: float
    """Work that leaves in a second, in seconds at speed one."""

    @property
    def end_seconds(self) -> float:
        """Time until the end of the job, in seconds."""
        return self.start_seconds + self.run_seconds

    @property
    def reason(self) -> str:
        """Why the job is refused, with the values that decide it."""
        return (
            f"the job would end in about {self.end_seconds:.1f} s "
            f"({self.rate:.2f} s of work start in a second); "
            "try later or allow more"
        )

    def exceeds(self, allowed_seconds: float) -> bool:
        """Return whether the end is too late, by the margin.

        :param allowed_seconds: time until the deadline, in seconds
        """
        return is_too_late(
            self.start_seconds,
            self.slack_seconds,
            self.run_seconds,
            allowed_seconds,
        )


def is_too_late(
    start: float, slack: float, run: float, allowed: float
) -> bool:
    """Return whether a forecast end is too late, by the margin.

    The parameters are times in seconds as in ``Forecast``.

    :param allowed: time until the deadline
    """
    end = max(0.0, start - slack) + run
    return end * (1.0 - MARGIN) > allowed


@attrs.define(eq=False)
class _Line:
    """Cumulated work in dispatch order, of all jobs or of one route."""

    keys: list[tuple[int, float]] = attrs.Factory(list)
    """Priority and remaining work of each job that is neither late nor aged,
    in ascending order."""

    ahead: list[tuple[float, float]] = attrs.Factory(list)
    """Work ahead of each of these jobs, and the longest task of it."""

    timely: tuple[float, float] = (0.0, 0.0)
    """The same for a job behind all that are not late."""

    work: float = 0.0
    """Work of all jobs, in seconds at speed one."""

    longest: float = 0.0
    """Longest task of all jobs, in seconds at speed one."""

    def add(self, job: QueuedJob) -> None:
        """Add the next job in dispatch order."""
        if not (job.late or job.aged):
            self.keys.append((job.priority, job.remaining))
            self.ahead.append((self.work, self.longest))
        self.work += job.work
        self.longest = max(self.longest, job.longest)
        if not job.late:
            self.timely = (self.work, self.longest)

    def find_ahead(self, key: tuple[int, float]) -> tuple[float, float]:
        """Return the work ahead of a new job, and the longest task of it."""
        position = bisect.bisect_right(self.keys, key)
        if position < len(self.ahead):
            return self.ahead[position]
        return self.timely


class Queue:
    """The waiting jobs of one service in dispatch order, with forecasts.

    :param jobs: the jobs in dispatch order
    :param rate: work that leaves in a second, in seconds at speed one; above
        zero
    :param speed: mean speed of the targets' slots; above zero
    :param made_at: the current instant
    """

    def __init__(
        self,
        jobs: Iterable[QueuedJob],
        rate: float,
        speed: float,
        made_at: datetime.datetime,
    ) -> None:
        self.rate = rate
        self.made_at = made_at
        self.refused: list[Forecast] = []
        self._speed = speed
        self._line = _Line()
        self._lines: dict[str, _Line] = {}
        self._shares: dict[str, float] = {}
        self._totals: collections.Counter[str] = collections.Counter()
        queued = list(jobs)
        for job in queued:
            if job.share:
                self._shares[job.route] = job.share
                self._totals[job.route] += job.work
                self._lines.setdefault(job.route, _Line())
        for job in queued:
            self._add(job)
        self._jobs = len(queued) - len(self.refused)

    def __len__(self) -> int:
        return self._jobs

    @property
    def priorities(self) -> set[int]:
        """Priorities of the jobs that are neither late nor aged."""
        return {priority for priority, _ in self._line.keys}

    def forecast_new(self, job: QueuedJob) -> Forecast:
        """Return the forecast of a job that is not in the queue yet."""
        key = (job.priority, job.remaining)
        ahead, longest = self._line.find_ahead(key)
        return Forecast(
            job.job,
            self._compute_start(job, ahead, key),
            longest / self._speed,
            job.run_seconds,
            self.rate,
        )

    def _add(self, job: QueuedJob) -> None:
        line = self._line
        start = self._compute_start(job, line.work, None)
        slack = line.longest / self._speed
        if job.refusable and is_too_late(
            start, slack, job.run_seconds, job.allowed_seconds
        ):
            self.refused.append(
                Forecast(job.job, start, slack, job.run_seconds, self.rate)
            )
            if job.share:
                self._totals[job.route] -= job.work
            return
        line.add(job)
        if job.share:
            self._lines[job.route].add(job)

    def _compute_start(
        self,
        job: QueuedJob,
        ahead: float,
        key: tuple[int, float] | None,
    ) -> float:
        """Return the time until a job starts, in seconds.

        :param ahead: work ahead of it
        :param key: its place, or None for one behind all jobs added so far
        """
        start = ahead / self.rate
        if not self._shares:
            return start
        by_route = {
            route: line.work if key is None else line.find_ahead(key)[0]
            for route, line in self._lines.items()
        }
        for _ in range(ITERATIONS):
            start = (ahead + self._overtake(job, start, by_route)) / self.rate
        if job.share:
            due = by_route.get(job.route, 0.0) / (self.rate * job.share)
            start = min(start, due)
        return start

    def _overtake(
        self, job: QueuedJob, seconds: float, by_route: Mapping[str, float]
    ) -> float:
        """Return the work behind a job that shares let start before it.

        :param seconds: time until the job starts
        :param by_route: work ahead of the job, by route with a share
        """
        work = 0.0
        for route, share in self._shares.items():
            if route == job.route:
                continue
            due = min(share * self.rate * seconds, self._totals[route])
            work += max(0.0, due - by_route.get(route, 0.0))
        return work


class StartRate:
    """Rate at which the waiting work of one service is started.

    Starts show what the targets take only while work waits and no target has
    room. Before they have been counted for ``WINDOW``, and after a pause of
    the entry, its share of the pool counts in their place. The rate is never
    lower than the capacity of the entry's own runs, whose ends make room:
    tasks longer than ``LONG_WINDOW`` start less often.
    """

    def __init__(self) -> None:
        self._starts: collections.deque[tuple[datetime.datetime, float]] = (
            collections.deque()
        )
        self._full_since: datetime.datetime | None = None
        self._observed_at: datetime.datetime | None = None

    @property
    def is_full(self) -> bool:
        """Whether work waited and no target had room when last observed."""
        return self._full_since is not None

    def observe(self, work: float, full: bool, now: datetime.datetime) -> None:
        """Record the work started now, in seconds at speed one.

        :param full: whether work is left waiting and no target has room
        """
        paused = (
            self._observed_at is not None
            and now - self._observed_at > PAUSE_AFTER
        )
        self._observed_at = now
        if not full:
            self._full_since = None
            self._starts.clear()
            return
        if self._full_since is None or paused:
            # What filled the targets says nothing about what they take now.
            self._full_since = now
            self._starts.clear()
            return
        if work:
            self._starts.append((now, work))
        while self._starts and now - self._starts[0][0] >= LONG_WINDOW:
            self._starts.popleft()

    def measure(
        self, share: float, held: float, now: datetime.datetime
    ) -> float:
        """Return the rate in seconds at speed one per second.

        :param share: the entry's share of the pool's capacity
        :param held: capacity that the entry's own runs take
        """
        if self._full_since is None or now - self._full_since < WINDOW:
            return max(share, held)
        long_window = min(now - self._full_since, LONG_WINDOW)
        return max(
            held,
            self._sum_since(now - WINDOW) / WINDOW.total_seconds(),
            self._sum_since(now - long_window) / long_window.total_seconds(),
            LEAST_SHARE * share,
        )

    def _sum_since(self, since: datetime.datetime) -> float:
        return sum(work for at, work in self._starts if at > since)


def compute_share(pool: _targets.Pool, entries: int) -> float:
    """Return an entry's share of a pool's capacity.

    :param entries: number of entries that share the targets
    """
    return pool.capacity / max(1, min(entries, MAX_SHARERS))


def is_full(
    pool: _targets.Pool,
    jobs: Iterable[_backlog.WaitingJob],
    now: datetime.datetime,
) -> bool:
    """Return whether jobs wait and none of them fits a target now.

    Only the least needs are compared, which bounds the cost.
    """
    needs = (job.tasks[0].needs for job in jobs if job.tasks)
    offers = list_offers(pool, now)
    if not offers:
        return next(needs, None) is not None
    least = min(needs, key=_get_size, default=None)
    return least is not None and not has_room(offers, (least,))


def list_offers(
    pool: _targets.Pool, now: datetime.datetime
) -> set[_resources.Resources]:
    """Return what the open targets offer to the next task."""
    return {target.offer for target in pool.iterate_open(now)}


def has_room(
    offers: Iterable[_resources.Resources],
    needs: Iterable[_resources.Resources],
) -> bool:
    """Return whether an offer covers any of the needs."""
    return any(
        _room.covers_needs(offer, each) for each in needs for offer in offers
    )


def _get_size(needs: _resources.Resources) -> tuple[int, int, int]:
    return (needs.millicores, needs.memory_mb, needs.accelerators)


@functools.singledispatch
def sort_queue(
    policy: _placement.Policy,
    jobs: list[_backlog.WaitingJob],
    pool: _targets.Pool,
    now: datetime.datetime,
) -> None:
    """Sort jobs in place by the order in which a policy dispatches them."""


@sort_queue.register
def _sort_late_binding(
    policy: _late_binding.LateBinding,
    jobs: list[_backlog.WaitingJob],
    pool: _targets.Pool,
    now: datetime.datetime,
) -> None:
    _job_order.sort_jobs(jobs, pool, now, policy.ageing, policy.late_by_age)


@functools.singledispatch
def is_late(
    policy: _placement.Policy,
    job: _backlog.WaitingJob,
    pool: _targets.Pool,
    now: datetime.datetime,
) -> bool:
    """Return whether a job goes after those that can meet their objective."""
    return False


@is_late.register
def _is_late_late_binding(
    policy: _late_binding.LateBinding,
    job: _backlog.WaitingJob,
    pool: _targets.Pool,
    now: datetime.datetime,
) -> bool:
    return _job_order.is_late(job, pool, now)


@functools.singledispatch
def is_aged(
    policy: _placement.Policy,
    job: _backlog.WaitingJob,
    now: datetime.datetime,
) -> bool:
    """Return whether a job goes before all younger ones."""
    return True


@is_aged.register
def _is_aged_late_binding(
    policy: _late_binding.LateBinding,
    job: _backlog.WaitingJob,
    now: datetime.datetime,
) -> bool:
    return now - job.submitted_at > policy.ageing
