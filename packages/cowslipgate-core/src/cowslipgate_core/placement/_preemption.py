"""Choice of running tasks to stop for jobs of a more urgent priority.

Only runs of this entry are considered. The freed room is not reserved: the
ordinary assignment uses it, so a job is made room for only if it comes before
every other job that would take the room.
"""

import bisect
from collections.abc import Iterable, Iterator, Sequence
import datetime
import sys

import attrs
import msgspec

from cowslipgate_core.messages import _resources
from cowslipgate_core.placement import _backlog
from cowslipgate_core.placement import _job_order
from cowslipgate_core.placement import _room
from cowslipgate_core.placement import _targets

STOP_TIME = datetime.timedelta(milliseconds=60)
"""Time until a stopped run has freed its room: up to 50 ms at the target, and
two messages of 5 ms, which few exceed within a region."""

OVERDUE_SHARE = 0.25
"""Least remaining time of a run, as a share of its time so far. Where declared
sizes are off by a log-normal factor of sigma 0.4, half of the runs that have
reached their expected time need 0.27 of it more."""

MAX_JOBS_TRIED = 16
"""Waiting jobs considered in one decision, which bounds its cost."""

_ZERO = datetime.timedelta()
_FOREVER = datetime.datetime.max.replace(tzinfo=datetime.UTC)


@attrs.frozen
class RunningTask:
    """A run of this entry."""

    attempt: int
    """Sequence number of its attempt."""

    job: str
    """Id of its job."""

    agent: str
    """Agent that it was sent to."""

    priority: int
    """Priority of its job; zero is the most urgent."""

    needs: _resources.Resources
    """Resources that it takes of its target."""

    sent_at: datetime.datetime
    """When it was sent."""

    seconds: float
    """Expected run time on a target of speed one, in seconds."""

    submitted_at: datetime.datetime
    """When its job was accepted."""

    due_at: datetime.datetime | None = None
    """When its job is due by the objective, or None without one."""

    resumes: bool = False
    """Whether its task would go on from a checkpoint."""

    preemptions: int = 0
    """Preemptions of its job since a task of the job last finished."""

    repeatable: bool = True
    """Whether its task may run again after a stop."""

    stopping: bool = False
    """Whether its agent was told to stop it."""


@attrs.frozen
class Preemption:
    """A run to stop so that a more urgent job gets its room."""

    attempt: int
    """Sequence number of the attempt to stop."""

    agent: str
    """Agent of the attempt."""

    for_job: str
    """Id of the job that it makes room for."""

    lost_core_seconds: float
    """Work that is done again, in core-seconds."""

    reason: str
    """What was weighed, for the log."""


def compute_lost_work(run: RunningTask, now: datetime.datetime) -> float:
    """Return the core-seconds of work that are lost if a run is stopped now.

    None are lost if the task goes on from a checkpoint.
    """
    if run.resumes:
        return 0.0
    elapsed = max(_ZERO, now - run.sent_at)
    return _count_cores(run.needs) * elapsed.total_seconds()


def find_claimants(
    jobs: Iterable[_backlog.WaitingJob],
    pool: _targets.Pool,
    now: datetime.datetime,
    least_urgent: int,
    ageing: datetime.timedelta = _job_order.AGEING,
) -> list[_backlog.WaitingJob]:
    """Return the waiting jobs, in their order, that may take freed room.

    Empty unless a run may be stopped for one of them; that is told without a
    look at the runs.

    :param least_urgent: priority of the least urgent run
    :param ageing: age after which a job goes before all younger ones
    """
    aged_before = now - ageing
    claimants = [
        job
        for job in jobs
        if job.terms.priority < least_urgent or job.submitted_at < aged_before
    ]
    if not claimants:
        return []
    _job_order.sort_jobs(claimants, pool, now, ageing)
    del claimants[MAX_JOBS_TRIED:]
    offers = _Offers(pool, now)
    for job in claimants:
        if _may_be_helped(job, pool, now) and not offers.have_room(job):
            return claimants
    return []


def choose_preemptions(
    jobs: Sequence[_backlog.WaitingJob],
    running: Sequence[RunningTask],
    pool: _targets.Pool,
    now: datetime.datetime,
    ageing: datetime.timedelta = _job_order.AGEING,
) -> list[Preemption]:
    """Return the runs to stop now; those with the least work lost.

    :param jobs: waiting jobs in the order in which they get room
    :param running: runs of this entry
    :param ageing: age after which a job goes before all younger ones
    """
    victims = _list_victims(jobs, running, pool, now, ageing)
    if not victims:
        return []
    least_urgent = max(victim.run.priority for victim in victims)
    offers = _Offers(pool, now)
    forecast = _Forecast(running, victims, pool, now)
    chosen: list[Preemption] = []
    for job in jobs[:MAX_JOBS_TRIED]:
        aged = now - job.submitted_at > ageing
        if not aged and job.terms.priority >= least_urgent:
            break
        if offers.have_room(job):
            # It waits for a better target, and not for room.
            continue
        if not forecast.claim_coming_room(job, aged):
            preemptions = [] if aged else forecast.preempt_for(job)
            if not preemptions and _takes_freed_room(job, aged, pool, now):
                break
            chosen.extend(preemptions)
    return chosen


def _count_cores(needs: _resources.Resources) -> float:
    """Return the cores that a task uses; one if only slots are counted."""
    return needs.millicores / 1_000 or 1.0


def _may_be_helped(
    job: _backlog.WaitingJob, pool: _targets.Pool, now: datetime.datetime
) -> bool:
    """Return whether a job meets its objective if it starts after a stop."""
    if job.due_at is None:
        return False
    return not _job_order.is_late(job, pool, now + STOP_TIME)


def _takes_freed_room(
    job: _backlog.WaitingJob,
    aged: bool,
    pool: _targets.Pool,
    now: datetime.datetime,
) -> bool:
    """Return whether a job that got no room comes before later ones.

    A job that is late by the time the room is free comes after them.
    """
    if not any(pool.get_fastest(needs) for needs in job.needs):
        return False
    return aged or job.due_at is None or _may_be_helped(job, pool, now)


class _Offers:
    """What the open targets offer now."""

    def __init__(self, pool: _targets.Pool, now: datetime.datetime) -> None:
        self._offers = [(view, view.offer) for view in pool.iterate_open(now)]
        self._fitting: dict[
            _resources.Resources, list[_targets.TargetView]
        ] = {}

    def have_room(self, job: _backlog.WaitingJob) -> bool:
        """Return whether a target has room for a task of the job now."""
        for needs in {task.needs for task in job.tasks}:
            fitting = self._fitting.get(needs)
            if fitting is None:
                fitting = self._fitting[needs] = [
                    view
                    for view, offer in self._offers
                    if _room.covers_needs(offer, needs)
                ]
            if any(job.may_use(view) for view in fitting):
                return True
        return False


@attrs.frozen
class _Victim:
    """A run that may be stopped."""

    lost: float
    """Work lost in core-seconds."""

    run: RunningTask
    """The run."""

    @property
    def attempt(self) -> int:
        """Sequence number of its attempt."""
        return self.run.attempt


def _get_lost(victim: _Victim) -> tuple[float, int]:
    return victim.lost, victim.run.attempt


def _list_victims(
    jobs: Sequence[_backlog.WaitingJob],
    running: Sequence[RunningTask],
    pool: _targets.Pool,
    now: datetime.datetime,
    ageing: datetime.timedelta,
) -> list[_Victim]:
    """Return the runs that may be stopped, those with least lost first."""
    urgent = min((job.terms.priority for job in jobs), default=0)
    victims = []
    for run in running:
        if run.priority <= urgent or run.stopping or not run.repeatable:
            continue
        # A job that has waited for so long would get the room back.
        if run.preemptions or now - run.submitted_at > ageing:
            continue
        view = pool.get(run.agent)
        if view is None or view.on_probation or not view.is_usable(now):
            continue
        end_at = _expect_end(run, view.speed, now)
        if end_at > now + STOP_TIME and _may_start_later(
            run, end_at, pool, now
        ):
            lost = compute_lost_work(run, now)
            victims.append(_Victim(lost, run))
    victims.sort(key=_get_lost)
    return victims


def _expect_end(
    run: RunningTask, speed: float, now: datetime.datetime
) -> datetime.datetime:
    """Return when a run is expected to end, or its stop to take effect."""
    if run.stopping:
        return now + STOP_TIME
    elapsed = (now - run.sent_at).total_seconds()
    left = max(run.seconds / speed - elapsed, OVERDUE_SHARE * elapsed)
    return now + datetime.timedelta(seconds=left)


def _may_start_later(
    run: RunningTask,
    end_at: datetime.datetime,
    pool: _targets.Pool,
    now: datetime.datetime,
) -> bool:
    """Return whether a stop makes no difference to the run's own objective.

    Either its job misses it anyway, or there is time for the stop and for the
    whole run on the fastest target.
    """
    if run.due_at is None or end_at > run.due_at:
        return True
    fastest = pool.get_fastest(run.needs)
    if fastest <= 0:
        return False
    whole = datetime.timedelta(seconds=run.seconds / fastest)
    return now + 2 * STOP_TIME + whole <= run.due_at


@attrs.define
class _Amounts:
    """Room that is left, below zero if more is taken than there is."""

    slots: int
    millicores: int
    memory_mb: int
    accelerators: int

    def add(self, needs: _resources.Resources, tasks: int = 1) -> None:
        """Add the room of a number of tasks; take it if that is negative."""
        self.slots += tasks
        self.millicores += tasks * needs.millicores
        self.memory_mb += tasks * needs.memory_mb
        self.accelerators += tasks * needs.accelerators

    def count_fitting(self, needs: _resources.Resources) -> int:
        """Return how many tasks fit."""
        fitting = self.slots
        if needs.millicores:
            fitting = min(fitting, self.millicores // needs.millicores)
        if needs.memory_mb:
            fitting = min(fitting, self.memory_mb // needs.memory_mb)
        if needs.accelerators:
            fitting = min(fitting, self.accelerators // needs.accelerators)
        return max(0, fitting)


@attrs.define(eq=False)
class _Target:
    """Forecast of the room of a target with runs of this entry."""

    view: _targets.TargetView
    """The target."""

    ends: dict[int, tuple[datetime.datetime, RunningTask]] = attrs.Factory(
        dict
    )
    """Runs with their expected ends, by attempt."""

    first_end_at: datetime.datetime = _FOREVER
    """Expected end of the run that ends first."""

    victims: list[_Victim] = attrs.Factory(list)
    """Runs that may be stopped, those with the least work lost first."""

    claims: list[tuple[int, _resources.Resources]] = attrs.Factory(list)
    """Numbers of tasks that take room to come, and their needs."""

    def covers(self, needs: _resources.Resources) -> bool:
        """Return whether a task may run here once there is room."""
        offer = self.view.room
        if offer is msgspec.UNSET:
            return _room.covers_needs(self.view.resources, needs)
        return _room.covers_needs(offer, needs)

    def measure(self, until: datetime.datetime) -> _Amounts:
        """Return the room that is left of what is free until a time."""
        view = self.view
        amounts = _Amounts(view.free, 0, 0, 0)
        for end_at, run in self.ends.values():
            if end_at <= until:
                amounts.add(run.needs)
        for count, needs in self.claims:
            amounts.add(needs, -count)
        room = view.room
        if room is msgspec.UNSET:
            # Only slots limit what runs at once.
            amounts.millicores = amounts.memory_mb = sys.maxsize
            amounts.accelerators = sys.maxsize
            return amounts
        amounts.millicores += room.millicores - view.used.millicores
        amounts.memory_mb += room.memory_mb - view.used.memory_mb
        amounts.accelerators += room.accelerators - view.used.accelerators
        return amounts


@attrs.frozen
class _Choice:
    """Runs of one target that make room for tasks of a job."""

    lost: float
    """Work lost in core-seconds."""

    target: _Target
    """The target."""

    victims: tuple[_Victim, ...]
    """The runs."""

    gained: int
    """Number of tasks that they make room for."""


class _Forecast:
    """Room to come at the targets of the runs."""

    def __init__(
        self,
        running: Sequence[RunningTask],
        victims: Sequence[_Victim],
        pool: _targets.Pool,
        now: datetime.datetime,
    ) -> None:
        self._now = now
        self._targets: dict[str, _Target] = {}
        self._shortfall = 0
        for run in running:
            view = pool.get(run.agent)
            if view is None or not view.is_usable(now):
                continue
            target = self._targets.get(run.agent)
            if target is None:
                target = self._targets[run.agent] = _Target(view)
            end_at = _expect_end(run, view.speed, now)
            target.ends[run.attempt] = end_at, run
            target.first_end_at = min(target.first_end_at, end_at)
        for victim in victims:
            self._targets[victim.run.agent].victims.append(victim)

    def claim_coming_room(self, job: _backlog.WaitingJob, aged: bool) -> bool:
        """Let a job take room that comes in time; return whether it suffices.

        Without an objective, or if it is aged, any time will do.
        """
        left = len(job.tasks)
        needs = job.tasks[-1].needs
        for target in self._targets.values():
            if left <= 0:
                break
            latest = self._find_latest_start(job, target, aged)
            # No target has room for the job before a run ends there.
            if latest is None or latest < target.first_end_at:
                continue
            count = min(left, target.measure(latest).count_fitting(needs))
            if count:
                target.claims.append((count, needs))
                left -= count
        self._shortfall = left
        return left <= 0

    def preempt_for(self, job: _backlog.WaitingJob) -> list[Preemption]:
        """Return runs whose room lets the job meet its objective.

        Empty if no choice lets all of its tasks start in time. To be called
        after ``claim_coming_room`` for the same job.
        """
        left = self._shortfall
        chosen: list[_Choice] = []
        jobs: set[str] = set()
        while left > 0:
            best = self._choose_target(job, left, jobs)
            if best is None:
                self._undo(chosen, job)
                return []
            self._take(best, job)
            chosen.append(best)
            left -= best.gained
            jobs.update(victim.run.job for victim in best.victims)
        self._drop_jobs(jobs)
        return [
            Preemption(
                victim.attempt,
                victim.run.agent,
                job.job,
                victim.lost,
                f"{choice.gained} tasks of priority {job.terms.priority} "
                f"would be late and get the room of {len(choice.victims)} "
                "runs",
            )
            for choice in chosen
            for victim in choice.victims
        ]

    def _choose_target(
        self, job: _backlog.WaitingJob, left: int, stopped_jobs: set[str]
    ) -> _Choice | None:
        """Return the runs of one target that make room with the least lost."""
        best: _Choice | None = None
        targets = [each for each in self._targets.values() if each.victims]
        targets.sort(key=_get_least_lost)
        for target in targets:
            if best is not None and target.victims[0].lost >= best.lost:
                break
            choice = self._choose_runs(job, target, left, stopped_jobs)
            if choice and (best is None or choice.lost < best.lost):
                best = choice
        return best

    def _find_latest_start(
        self, job: _backlog.WaitingJob, target: _Target, aged: bool = False
    ) -> datetime.datetime | None:
        """Return until when a task may start there by the objective.

        None if it is too late, or the job may not use the target.
        """
        view = target.view
        if not job.may_use(view) or not target.covers(job.tasks[-1].needs):
            return None
        if aged or job.due_at is None:
            return _FOREVER
        seconds = job.longest_seconds / view.speed
        if not job.is_near(view):
            seconds *= job.terms.away_factor
        latest = job.due_at - datetime.timedelta(seconds=seconds)
        return latest if latest >= self._now else None

    def _choose_runs(
        self,
        job: _backlog.WaitingJob,
        target: _Target,
        left: int,
        stopped_jobs: set[str],
    ) -> _Choice | None:
        """Return the runs of a target that make room with the least lost.

        :param left: number of tasks that lack room
        :param stopped_jobs: jobs of which a run is stopped already
        """
        latest = self._find_latest_start(job, target)
        if latest is None or latest < self._now + STOP_TIME:
            return None
        needs = job.tasks[-1].needs
        work = _count_cores(needs) * job.mean_seconds / target.view.speed
        victims: list[_Victim] = []
        jobs = set(stopped_jobs)
        for victim in target.victims:
            run = victim.run
            if victim.lost >= left * work:
                break
            # A job is stopped once, and runs that end in time help anyway.
            if run.job in jobs or run.priority <= job.terms.priority:
                continue
            if target.ends[run.attempt][0] <= latest:
                continue
            jobs.add(run.job)
            victims.append(victim)
        if not victims:
            return None
        room = target.measure(latest)
        before = room.count_fitting(needs)
        best: _Choice | None = None
        for group in _list_groups(victims, room, needs, before):
            gained = min(left, _count_with(room, group, needs) - before)
            lost = sum(victim.lost for victim in group)
            if lost >= gained * work:
                continue
            if best is None or lost < best.lost:
                best = _Choice(lost, target, tuple(group), gained)
        return best

    def _take(self, choice: _Choice, job: _backlog.WaitingJob) -> None:
        target = choice.target
        end_at = self._now + STOP_TIME
        for victim in choice.victims:
            target.victims.remove(victim)
            target.ends[victim.attempt] = end_at, victim.run
        target.first_end_at = min(target.first_end_at, end_at)
        target.claims.append((choice.gained, job.tasks[-1].needs))

    def _drop_jobs(self, jobs: set[str]) -> None:
        """Stop no other run of these jobs."""
        for target in self._targets.values():
            target.victims[:] = [
                victim
                for victim in target.victims
                if victim.run.job not in jobs
            ]

    def _undo(self, choices: list[_Choice], job: _backlog.WaitingJob) -> None:
        for choice in choices:
            target = choice.target
            target.claims.remove((choice.gained, job.tasks[-1].needs))
            for victim in choice.victims:
                run = victim.run
                end_at = _expect_end(run, target.view.speed, self._now)
                target.ends[victim.attempt] = end_at, run
                bisect.insort(target.victims, victim, key=_get_lost)


def _get_least_lost(target: _Target) -> tuple[float, int]:
    return _get_lost(target.victims[0])


def _count_with(
    room: _Amounts,
    group: list[_Victim],
    needs: _resources.Resources,
) -> int:
    """Return how many tasks fit if the runs of a group are stopped."""
    amounts = attrs.evolve(room)
    for victim in group:
        amounts.add(victim.run.needs)
    return amounts.count_fitting(needs)


def _list_groups(
    victims: list[_Victim],
    room: _Amounts,
    needs: _resources.Resources,
    before: int,
) -> Iterator[list[_Victim]]:
    """Yield groups of runs that make room for one task more.

    These are the first run that does so by itself, and the least group of
    those with the least work lost.

    :param victims: candidates, those with the least work lost first
    :param before: number of tasks that fit without them
    """
    for victim in victims:
        if _count_with(room, [victim], needs) > before:
            yield [victim]
            break
    for size in range(2, len(victims) + 1):
        together = victims[:size]
        if _count_with(room, together, needs) <= before:
            continue
        for victim in victims[size - 2 :: -1]:
            others = [other for other in together if other is not victim]
            if _count_with(room, others, needs) > before:
                together = others
        yield together
        return
