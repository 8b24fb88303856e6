"""Ideal response times of a trace, computed offline from the targets alone.

There are two figures. The lower bound holds for every schedule: a job takes
at least as long as its longest task on the fastest target, and the mean over
all jobs is at least that of one preemptive processor with the speed of all
slots together that serves the least remaining work first. The omniscient
schedule is the best of several list schedules that one scheduler makes with
true sizes and speeds and without latency; a dispatcher with complete
information can reach it.
"""

from collections.abc import Sequence
import datetime
import heapq
import itertools
import statistics

import attrs
import cowslipgate_core as core

from cowslipgate_bench import _workload

EPOCH = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
"""Time at which traces start; any fixed time does."""

HORIZON_FACTORS = (1.0, 1.25, 1.5, 2.0)
UNLIMITED_SLOTS = 1_000_000_000
"""Slots allowed to each team; quotas don't limit the schedule."""


@attrs.frozen
class TargetSpeed:
    """Slots and speed of a target."""

    slots: int
    """Tasks that may run at once."""

    speed: float
    """Factor by which run times are divided."""


@attrs.frozen
class Schedule:
    """Response times of one schedule."""

    name: str
    """Name of the policy that made the schedule."""

    responses: tuple[float, ...]
    """Seconds from arrival to the end of each job, in trace order."""


def bound_responses(
    trace: _workload.Trace, targets: Sequence[TargetSpeed]
) -> list[float]:
    """Return a lower bound of each job's response when it runs alone.

    In seconds, in trace order.
    """
    fastest = max(target.speed for target in targets)
    capacity = sum(target.slots * target.speed for target in targets)
    bounds = []
    for job in trace.jobs:
        longest = max(task.true_ms for task in job.tasks) / 1000
        bounds.append(max(longest / fastest, job.work_seconds / capacity))
    return bounds


def bound_mean(
    trace: _workload.Trace, targets: Sequence[TargetSpeed]
) -> float:
    """Return a lower bound of the mean response in seconds."""
    alone = statistics.fmean(bound_responses(trace, targets))
    capacity = sum(target.slots * target.speed for target in targets)
    return max(alone, statistics.fmean(_serve_fluid(trace, capacity)))


def _serve_fluid(trace: _workload.Trace, capacity: float) -> list[float]:
    """Return the responses of one preemptive processor in seconds.

    It serves the job with the least remaining work first.
    """
    responses = [0.0] * len(trace.jobs)
    waiting: list[tuple[float, int]] = []
    now = 0.0
    arrivals = [*(job.arrival for job in trace.jobs), float("inf")]
    for index, arrival in enumerate(arrivals):
        while waiting:
            left, number = waiting[0]
            end = now + left / capacity
            if end > arrival:
                rest = left - (arrival - now) * capacity
                heapq.heapreplace(waiting, (rest, number))
                break
            heapq.heappop(waiting)
            now = end
            responses[number] = end - trace.jobs[number].arrival
        now = arrival
        if index < len(trace.jobs):
            job = trace.jobs[index]
            heapq.heappush(waiting, (job.work_seconds, index))
    return responses


def find_best_schedule(
    trace: _workload.Trace, targets: Sequence[TargetSpeed]
) -> Schedule:
    """Return the list schedule with the lowest mean over measured jobs."""
    policies: dict[str, core.Policy] = {
        "fastest free slot, least remaining work": core.LateBinding()
    }
    for factor in HORIZON_FACTORS:
        # With known sizes, slow targets may also take long tasks.
        policies[f"matching, factor {factor}"] = core.Matching(
            horizon_factor=factor, slow_speed=0.0, probed_speed=0.0
        )
        policies[f"matching, factor {factor}, careful if slow"] = (
            core.Matching(horizon_factor=factor)
        )
    schedules = [
        make_schedule(name, policy, trace, targets)
        for name, policy in policies.items()
    ]
    measured = trace.list_measured()
    return min(
        schedules,
        key=lambda s: statistics.fmean(s.responses[i] for i in measured),
    )


def make_schedule(
    name: str,
    policy: core.Policy,
    trace: _workload.Trace,
    targets: Sequence[TargetSpeed],
) -> Schedule:
    """Return a policy's schedule of the trace with true sizes and speeds."""
    return _ListScheduler(policy, trace, targets).run(name)


class _ListScheduler:
    """A scheduler with complete and immediate information."""

    def __init__(
        self,
        policy: core.Policy,
        trace: _workload.Trace,
        targets: Sequence[TargetSpeed],
    ) -> None:
        self._policy = policy
        self._trace = trace
        views = [
            core.TargetView(
                f"target-{n:04}", core.Resources(), t.slots, 0, t.speed
            )
            for n, t in enumerate(targets)
        ]
        self._pool = core.Pool(views, policy.queue_allowance)
        self._jobs: dict[str, core.WaitingJob] = {}
        self._unfinished_tasks = [len(job.tasks) for job in trace.jobs]
        self._ends = [0.0] * len(trace.jobs)
        self._running: list[tuple[float, int, int, int, str]] = []
        self._numbers = itertools.count()

    def run(self, name: str) -> Schedule:
        """Schedule every job and return the schedule under ``name``."""
        arrivals = iter(enumerate(self._trace.jobs))
        upcoming = next(arrivals, None)
        while upcoming is not None or self._running:
            now = self._find_next_time(upcoming)
            while self._running and self._running[0][0] <= now:
                self._finish_task(heapq.heappop(self._running))
            while upcoming is not None and upcoming[1].arrival <= now:
                self._add_job(*upcoming)
                upcoming = next(arrivals, None)
            self._assign(now)
        responses = tuple(
            end - job.arrival
            for end, job in zip(self._ends, self._trace.jobs, strict=True)
        )
        return Schedule(name, responses)

    def _find_next_time(
        self, upcoming: tuple[int, _workload.TraceJob] | None
    ) -> float:
        times = []
        if upcoming is not None:
            times.append(upcoming[1].arrival)
        if self._running:
            times.append(self._running[0][0])
        return min(times)

    def _add_job(self, number: int, job: _workload.TraceJob) -> None:
        tasks = [
            core.WaitingTask(
                str(number),
                index,
                task.true_ms / 1000,
                upper_seconds=task.true_ms / 1000,
            )
            for index, task in enumerate(job.tasks)
        ]
        submitted_at = EPOCH + datetime.timedelta(seconds=job.arrival)
        self._jobs[str(number)] = core.WaitingJob(
            str(number), job.team, submitted_at, tasks
        )

    def _finish_task(self, running: tuple[float, int, int, int, str]) -> None:
        end, _, number, index, agent = running
        view = self._pool.get(agent)
        view.occupied -= 1
        self._pool.update(view)
        seconds = self._trace.jobs[number].tasks[index].true_ms / 1000
        self._jobs[str(number)].remaining_seconds -= seconds
        self._unfinished_tasks[number] -= 1
        if not self._unfinished_tasks[number]:
            self._ends[number] = end
            del self._jobs[str(number)]

    def _assign(self, now: float) -> None:
        allowances = {job.team: UNLIMITED_SLOTS for job in self._trace.jobs}
        chosen = core.choose_assignments(
            self._policy,
            [job for job in self._jobs.values() if job.tasks],
            self._pool,
            allowances,
            EPOCH + datetime.timedelta(seconds=now),
        )
        for assignment in chosen:
            number = int(assignment.job)
            task = self._trace.jobs[number].tasks[assignment.index]
            view = self._pool.get(assignment.agent)
            end = now + task.true_ms / 1000 / view.speed
            item = (
                end,
                next(self._numbers),
                number,
                assignment.index,
                assignment.agent,
            )
            heapq.heappush(self._running, item)
