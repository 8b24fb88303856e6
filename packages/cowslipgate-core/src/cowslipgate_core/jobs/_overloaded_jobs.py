"""Forecasts of an entry's jobs, and the jobs that are refused for them."""

from collections.abc import Mapping
import datetime

import attrs

from cowslipgate_core.jobs import _jobs
from cowslipgate_core.messages import _resources
from cowslipgate_core.placement import _assignment
from cowslipgate_core.placement import _backlog
from cowslipgate_core.placement import _estimates
from cowslipgate_core.placement import _overload
from cowslipgate_core.placement import _prospects
from cowslipgate_core.placement import _roster
from cowslipgate_core.placement import _targets

QUEUE_KEPT_FOR = datetime.timedelta(seconds=1)
"""Age up to which the queue of an earlier tick is used for submissions."""

INTERVAL_PER_JOB = datetime.timedelta(microseconds=500)
"""Least time between two walks for each waiting job. A walk takes about 16 us
for each, so that walks take about 3 % of the processor's time."""

SHRUNK_PART = 0.9
"""Part of the tasks of the last walk below which it is outdated, for instance
because many callers have disconnected."""

LONGEST_INTERVAL = datetime.timedelta(milliseconds=500)
"""Most time between two walks while no target has room."""


class OverloadedJobs:
    """Forecasts of the services that are admitted by them.

    The waiting jobs are walked at most once in a tick, and only while no
    target has room. Submissions are compared with the queue of the last walk.
    """

    def __init__(
        self,
        jobs: Mapping[str, _jobs.Job],
        assigner: _assignment.Assigner,
        roster: _roster.Roster,
        estimates: _estimates.Estimates,
    ) -> None:
        self._jobs = jobs
        self._assigner = assigner
        self._roster = roster
        self._estimates = estimates
        self._queues: dict[str, _overload.Queue] = {}
        # Tasks that were left waiting by the last walk.
        self._tasks: dict[str, int] = {}

    def list_overloaded(
        self, service: str, now: datetime.datetime
    ) -> list[tuple[_jobs.Job, _overload.Forecast]]:
        """Return the jobs to refuse now; called in each tick."""
        last = self._queues.pop(service, None)
        start_rate = self._assigner.find_start_rate(service)
        pool = self._roster.find_pool(service)
        if start_rate is None or pool is None:
            return []
        # Room that was freed since the last assignment is about to be filled.
        start_rate.observe(0.0, start_rate.is_full, now)
        if not start_rate.is_full or pool.capacity <= 0:
            return []
        if (
            last is not None
            and now - last.made_at < _choose_interval(last)
            and not self._has_shrunk(service)
        ):
            self._queues[service] = last
            return []
        rate = start_rate.measure(
            _overload.compute_share(pool, self._assigner.entries),
            self._sum_held(pool),
            now,
        )
        queue = self._make_queue(service, pool, rate, now)
        self._queues[service] = queue
        overloaded = [
            (self._jobs[forecast.job], forecast) for forecast in queue.refused
        ]
        overloaded = [
            (job, forecast)
            for job, forecast in overloaded
            if self._is_certain(job, forecast, now)
        ]
        refused = sum(len(job.waiting) for job, _ in overloaded)
        waiting = self._assigner.count_waiting(service)
        self._tasks[service] = waiting - refused
        return overloaded

    def find_forecast(
        self, job: _jobs.Job, now: datetime.datetime
    ) -> _overload.Forecast | None:
        """Return the forecast of a job that is not in the backlog.

        None if a target has room for it, or if nothing is known.
        """
        queue = self._queues.get(job.service)
        pool = self._roster.find_pool(job.service)
        if queue is None or pool is None:
            return None
        if now - queue.made_at > QUEUE_KEPT_FOR or self._has_shrunk(
            job.service
        ):
            return None
        waiting = self._assigner.build_waiting_job(job)
        offers = _overload.list_offers(pool, now)
        if _overload.has_room(offers, waiting.needs):
            return None
        queued = _queue_job(
            waiting, pool, (job.deadline - now).total_seconds()
        )
        return queue.forecast_new(queued)

    def is_overloaded(
        self,
        job: _jobs.Job,
        forecast: _overload.Forecast,
        now: datetime.datetime,
    ) -> bool:
        """Return whether a submitted job is refused for its forecast."""
        left = (job.deadline - now).total_seconds()
        return forecast.exceeds(left) and self._is_certain(job, forecast, now)

    def retain_services(self, services: set[str]) -> None:
        """Remove what is known of all other services."""
        for name in self._tasks.keys() - services:
            del self._tasks[name]
            self._queues.pop(name, None)

    def list_rates(self) -> dict[str, float]:
        """Return the rates of the services without room, by service."""
        return {name: queue.rate for name, queue in self._queues.items()}

    def list_waits(
        self, priorities: frozenset[int]
    ) -> dict[tuple[str, int], float]:
        """Return the forecast start of a new job, in seconds.

        By service without room and priority.

        :param priorities: priorities to include besides those that wait
        """
        return {
            (name, priority): queue.forecast_new(
                _overload.QueuedJob("", 0.0, 0.0, 0.0, 0.0, priority=priority)
            ).start_seconds
            for name, queue in self._queues.items()
            for priority in sorted(priorities | queue.priorities)
        }

    def _has_shrunk(self, service: str) -> bool:
        """Return whether much of the work of the last walk has left."""
        waiting = self._assigner.count_waiting(service)
        return waiting < SHRUNK_PART * self._tasks[service]

    def _make_queue(
        self,
        service: str,
        pool: _targets.Pool,
        rate: float,
        now: datetime.datetime,
    ) -> _overload.Queue:
        policy = self._assigner.policy
        waiting = self._assigner.list_ready(service)
        _overload.sort_queue(policy, waiting, pool, now)
        offers = _list_useful_offers(pool, waiting, now)
        queued = [
            _queue_job(
                each,
                pool,
                (self._jobs[each.job].deadline - now).total_seconds(),
                _is_unstarted(self._jobs[each.job])
                and not _overload.has_room(offers, each.needs),
                _overload.is_late(policy, each, pool, now),
                _overload.is_aged(policy, each, now),
            )
            for each in waiting
        ]
        speed = pool.capacity / max(1, pool.slots)
        return _overload.Queue(queued, rate, speed, now)

    def _sum_held(self, pool: _targets.Pool) -> float:
        return sum(
            len(self._roster.agents[view.agent].outstanding) * view.speed
            for view in pool.ranked
            if view.agent in self._roster.agents
        )

    def _is_certain(
        self,
        job: _jobs.Job,
        forecast: _overload.Forecast,
        now: datetime.datetime,
    ) -> bool:
        """Return whether a refusal does not rest on a declared size alone.

        It may be far off, and would never be corrected if the job were
        refused for it.
        """
        left = (job.deadline - now).total_seconds()
        if attrs.evolve(forecast, run_seconds=0.0).exceeds(left):
            return True
        sizes = self._estimates.estimate_tasks(job.team, job.request.tasks)
        return all(
            size.confidence >= _prospects.MIN_CONFIDENCE for size in sizes
        )


def _choose_interval(queue: _overload.Queue) -> datetime.timedelta:
    return min(len(queue) * INTERVAL_PER_JOB, LONGEST_INTERVAL)


def _list_useful_offers(
    pool: _targets.Pool,
    waiting: list[_backlog.WaitingJob],
    now: datetime.datetime,
) -> list[_resources.Resources]:
    """Return the offers of open targets that some task may fit.

    Usually there are none, and most targets have some rest of room.
    """
    least = min(
        (needs.millicores for job in waiting for needs in job.needs),
        default=0,
    )
    return [
        offer
        for offer in _overload.list_offers(pool, now)
        if offer.millicores >= least
    ]


def _queue_job(
    waiting: _backlog.WaitingJob,
    pool: _targets.Pool,
    allowed: float,
    refusable: bool = True,
    late: bool = False,
    aged: bool = False,
) -> _overload.QueuedJob:
    longest = max(task.seconds for task in waiting.tasks)
    speed = max(pool.get_fastest(needs) for needs in waiting.needs)
    return _overload.QueuedJob(
        waiting.job,
        waiting.waiting_seconds,
        longest,
        # Without such a target, nothing is known about the run time.
        longest / speed if speed > 0 else 0.0,
        allowed,
        refusable,
        waiting.terms.priority,
        waiting.remaining_seconds,
        late,
        aged,
        waiting.terms.route,
        waiting.terms.share,
    )


def _is_unstarted(job: _jobs.Job) -> bool:
    # Without active attempts, these are what Job.derive_started looks at.
    return not (
        job.active
        or job.results
        or job.known_started
        or job.maybe_started
        or job.ends_early
        or job.failure
    )
