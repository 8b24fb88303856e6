"""What the targets alone would need for a trace, worked out offline.

Two figures stand for the ideal. The lower bound can't be beaten by any
schedule: a job takes at least as long as its longest task on the fastest
target, and the mean of all jobs is at least that of one preemptive machine
with the speed of all slots together that serves the least remaining work
first. The omniscient schedule is the best of several list schedules made with
true sizes and speeds, by one scheduler, without any latency; it can be
reached by a dispatcher that knows everything.
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
HORIZON_FACTORS = (1.0, 1.25, 1.5, 2.0)
UNLIMITED = 1_000_000_000


@attrs.frozen
class TargetSpeed:
    """A target as the ideal knows it."""

    slots: int
    """Tasks that may run at once."""

    speed: float
    """A speed of two halves the run time."""


@attrs.frozen
class Schedule:
    """Response times of one schedule."""

    name: str
    """How it was made."""

    responses: tuple[float, ...]
    """Seconds from arrival to the end of each job, in trace order."""


def bound_responses(
    trace: _workload.Trace, targets: Sequence[TargetSpeed]
) -> list[float]:
    """Return for each job the least time that it takes when alone."""
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
    """Return a mean response in seconds that no schedule can beat."""
    alone = statistics.fmean(bound_responses(trace, targets))
    capacity = sum(target.slots * target.speed for target in targets)
    return max(alone, statistics.fmean(_serve_fluid(trace, capacity)))


def _serve_fluid(trace: _workload.Trace, capacity: float) -> list[float]:
    """Return the responses of one machine, least remaining work first."""
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
    """Return the list schedule with the least mean over measured jobs."""
    policies: dict[str, core.Policy] = {
        "fastest free slot, least remaining work": core.LateBinding()
    }
    for factor in HORIZON_FACTORS:
        # Where sizes are known slow targets may take long tasks as well.
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
    """Run a policy over the trace with true sizes and speeds."""
    return _ListScheduler(policy, trace, targets).run(name)


class _ListScheduler:
    """One scheduler that knows everything at once."""

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
        self._left = [len(job.tasks) for job in trace.jobs]
        self._ends = [0.0] * len(trace.jobs)
        self._running: list[tuple[float, int, int, int, str]] = []
        self._numbers = itertools.count()

    def run(self, name: str) -> Schedule:
        """Return the schedule."""
        arrivals = iter(enumerate(self._trace.jobs))
        upcoming = next(arrivals, None)
        while upcoming is not None or self._running:
            now = self._find_next(upcoming)
            while self._running and self._running[0][0] <= now:
                self._finish(heapq.heappop(self._running))
            while upcoming is not None and upcoming[1].arrival <= now:
                self._arrive(*upcoming)
                upcoming = next(arrivals, None)
            self._assign(now)
        responses = tuple(
            end - job.arrival
            for end, job in zip(self._ends, self._trace.jobs, strict=True)
        )
        return Schedule(name, responses)

    def _find_next(
        self, upcoming: tuple[int, _workload.TraceJob] | None
    ) -> float:
        moments = []
        if upcoming is not None:
            moments.append(upcoming[1].arrival)
        if self._running:
            moments.append(self._running[0][0])
        return min(moments)

    def _arrive(self, number: int, job: _workload.TraceJob) -> None:
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

    def _finish(self, running: tuple[float, int, int, int, str]) -> None:
        end, _, number, index, agent = running
        view = self._pool.get(agent)
        view.occupied -= 1
        self._pool.update(view)
        seconds = self._trace.jobs[number].tasks[index].true_ms / 1000
        self._jobs[str(number)].remaining_seconds -= seconds
        self._left[number] -= 1
        if not self._left[number]:
            self._ends[number] = end
            del self._jobs[str(number)]

    def _assign(self, now: float) -> None:
        allowances = {job.team: UNLIMITED for job in self._trace.jobs}
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
