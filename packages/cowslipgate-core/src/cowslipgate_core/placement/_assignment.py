"""Assignment of waiting tasks to targets as jobs and attempts change."""

import collections
from collections.abc import Mapping
import datetime

import attrs

from cowslipgate_core.configuration import _configuration
from cowslipgate_core.jobs import _jobs
from cowslipgate_core.placement import _backlog
from cowslipgate_core.placement import _copies
from cowslipgate_core.placement import _estimates
from cowslipgate_core.placement import _interference
from cowslipgate_core.placement import _overload
from cowslipgate_core.placement import _placement
from cowslipgate_core.placement import _preemption
from cowslipgate_core.placement import _prospects
from cowslipgate_core.placement import _ready_jobs
from cowslipgate_core.placement import _roster
from cowslipgate_core.placement import _separation
from cowslipgate_core.placement import _shares
from cowslipgate_core.placement import _stalls
from cowslipgate_core.placement import _targets
from cowslipgate_core.placement import _weights


@attrs.define(eq=False)
class _JobState:
    """A job whose tasks are assigned here."""

    service: str
    """Service of the job."""

    waiting_job: _backlog.WaitingJob
    """Waiting tasks of the job, as policies see them."""

    tasks: tuple[_backlog.WaitingTask, ...]
    """All tasks of the job, by index."""

    runs: dict[int, _copies.Run] = attrs.Factory(dict)
    """Running attempts by sequence number; empty unless copies are allowed."""


class Assigner:
    """Backlog of an entry, updated by the ledger on each change."""

    def __init__(
        self,
        policy: _placement.Policy,
        roster: _roster.Roster,
        estimates: _estimates.Estimates,
    ) -> None:
        self._policy = policy
        self._roster = roster
        self._estimates = estimates
        self._states: dict[str, _JobState] = {}
        self._copyable: dict[str, _JobState] = {}
        self._waiting: dict[str, dict[str, _backlog.WaitingJob]] = {}
        self._waiting_tasks: collections.Counter[str] = collections.Counter()
        self._suspended: set[str] = set()
        self._active_by_team: collections.Counter[str] = collections.Counter()
        self._active_by_priority: dict[str, collections.Counter[int]] = {}
        self._shares = _shares.Shares()
        self._start_rates: dict[str, _overload.StartRate] = {}
        self._allowances: dict[str, int] = {}
        self._entries = 1
        self.interference = _interference.Interference()

    @property
    def policy(self) -> _placement.Policy:
        """Policy without the weights of services."""
        return self._policy

    @property
    def entries(self) -> int:
        """Number of entries that shared the targets at the last choice."""
        return self._entries

    @property
    def has_assignable_tasks(self) -> bool:
        """Whether any task waits, or any job allows copies."""
        return bool(self._waiting or self._copyable)

    def count_waiting(self, service: str) -> int:
        """Return the number of waiting tasks of a service."""
        return self._waiting_tasks[service]

    def find_start_rate(self, service: str) -> _overload.StartRate | None:
        """Return the rate of a service that is admitted by forecasts.

        None if no task of it waits.
        """
        return self._start_rates.get(service)

    def list_ready(self, service: str) -> list[_backlog.WaitingJob]:
        """Return the waiting jobs that only lack room."""
        waiting = self._waiting.get(service, {}).values()
        return [
            job
            for job in _ready_jobs.list_ready(list(waiting), self._allowances)
            if job.job not in self._suspended
        ]

    def build_waiting_job(self, job: _jobs.Job) -> _backlog.WaitingJob:
        """Return a job as policies see it, all of whose tasks wait."""
        return _backlog.WaitingJob(
            job.id,
            job.team,
            job.submitted_at,
            list(self._build_tasks(job)),
            terms=job.terms,
        )

    @property
    def services(self) -> set[str]:
        """Services with waiting tasks."""
        return set(self._waiting)

    def add_job(self, job: _jobs.Job) -> None:
        """Add a job, all of whose tasks wait."""
        tasks = self._build_tasks(job)
        waiting_job = _backlog.WaitingJob(
            job.id, job.team, job.submitted_at, list(tasks), terms=job.terms
        )
        state = _JobState(job.service, waiting_job, tasks)
        self._states[job.id] = state
        if job.terms.copies:
            self._copyable[job.id] = state
        self._shares.add_job(job.service, waiting_job)
        for task in tasks:
            self._roster.record_needs(job.service, task.needs)
        self._waiting.setdefault(job.service, {})[job.id] = waiting_job
        self._waiting_tasks[job.service] += len(tasks)

    def suspend_job(self, job: _jobs.Job) -> None:
        """Send no task of a job until it is resumed."""
        self._suspended.add(job.id)

    def resume_job(self, job: _jobs.Job) -> None:
        """Send the tasks of a suspended job again."""
        self._suspended.discard(job.id)

    def drop_job(self, job: _jobs.Job) -> None:
        """Remove a job whose tasks are no longer sent."""
        self._suspended.discard(job.id)
        self._copyable.pop(job.id, None)
        state = self._states.pop(job.id, None)
        if state is not None:
            self._waiting_tasks[job.service] -= len(state.waiting_job.tasks)
        self._drop_waiting(job.service, job.id)

    def start_attempt(self, attempt: _jobs.Attempt) -> None:
        """Record that an attempt was sent."""
        self._active_by_team[attempt.job.team] += 1
        self._active_by_priority.setdefault(
            attempt.job.service, collections.Counter()
        )[attempt.job.terms.priority] += 1
        state = self._states[attempt.job.id]
        task = state.tasks[attempt.index]
        if state.waiting_job.terms.copies:
            state.runs[attempt.sequence] = _copies.Run(
                task, attempt.agent, attempt.sent_at
            )
        self._estimates.overdue.start(
            attempt.agent, attempt.sequence, task.seconds, attempt.sent_at
        )
        if self.interference.observes(attempt.job.service):
            self.interference.start(
                attempt.agent,
                attempt.sequence,
                attempt.job.terms.route,
                self._count_others(attempt.agent),
                attempt.sent_at,
            )

    def close_attempt(
        self, attempt: _jobs.Attempt, now: datetime.datetime
    ) -> None:
        """Record that an attempt is final."""
        if self.interference.observes(attempt.job.service):
            attempt.neighbours = self.interference.end(
                attempt.agent,
                attempt.sequence,
                self._count_others(attempt.agent),
                now,
            )
        state = self._states.get(attempt.job.id)
        if state is not None:
            state.runs.pop(attempt.sequence, None)
            if state.waiting_job.terms.limit_per_target:
                state.waiting_job.placed[attempt.agent] -= 1
        self._estimates.overdue.end(attempt.agent, attempt.sequence)
        team = attempt.job.team
        self._active_by_team[team] -= 1
        if not self._active_by_team[team]:
            del self._active_by_team[team]
        priority = attempt.job.terms.priority
        active = self._active_by_priority[attempt.job.service]
        active[priority] -= 1
        if not active[priority]:
            del active[priority]

    def requeue(self, attempt: _jobs.Attempt) -> None:
        """Queue the task of an ended attempt again."""
        job = attempt.job
        state = self._states.get(job.id)
        if state is not None:
            state.waiting_job.requeue(state.tasks[attempt.index])
            self._waiting_tasks[job.service] += 1
            self._waiting.setdefault(job.service, {})[job.id] = (
                state.waiting_job
            )

    def _count_others(self, agent: str) -> int:
        record = self._roster.agents.get(agent)
        return record.load.others if record is not None else 0

    def finish_task(self, attempt: _jobs.Attempt) -> None:
        """Record that a task has finished."""
        state = self._states.get(attempt.job.id)
        if state is not None:
            task = state.tasks[attempt.index]
            state.waiting_job.remaining_seconds -= task.seconds

    def can_end(self, job: _jobs.Job, now: datetime.datetime) -> bool:
        """Return whether a waiting job may end before its deadline.

        Without any target nothing is known.
        """
        pool = self._roster.find_pool(job.service)
        state = self._states.get(job.id)
        if pool is None or state is None:
            return True
        needs = state.waiting_job.needs
        speed = min(pool.get_fastest(need) for need in needs)
        left = job.deadline - now
        # With more time there is no need to estimate the sizes again.
        longest = state.waiting_job.longest_seconds
        if speed <= 0 or left.total_seconds() * speed > longest:
            return True
        sizes = self._estimates.estimate_tasks(job.team, job.request.tasks)
        return _prospects.can_end(sizes, speed, left)

    def is_stalled(
        self, attempt: _jobs.Attempt, now: datetime.datetime
    ) -> bool:
        """Return whether a run has stalled and another target has room."""
        state = self._states.get(attempt.job.id)
        if state is None:
            return False
        task = state.tasks[attempt.index]
        speed = self._estimates.get_speed(attempt.agent)
        if not _stalls.is_stalled(task, speed, now - attempt.sent_at):
            return False
        pool = self._roster.find_pool(state.service)
        return pool is not None and _stalls.fits_elsewhere(
            task, attempt.agent, pool, now
        )

    def find_claimants(
        self, service: str, now: datetime.datetime, quotas: Mapping[str, int]
    ) -> list[_backlog.WaitingJob]:
        """Return the waiting jobs that may take freed room, in their order.

        Empty unless a run may be stopped for one of them.

        :param quotas: slots that each team may use at this entry, by team
        """
        active = self._active_by_priority.get(service)
        pool = self._roster.find_pool(service)
        if not active or pool is None:
            return []
        waiting = self._waiting.get(service, {}).values()
        least_urgent = max(active)
        # Most passes end here, as nothing urgent waits.
        if not [j for j in waiting if j.terms.priority < least_urgent]:
            return []
        ready = (
            job
            for job in waiting
            if job.job not in self._suspended
            and self._active_by_team[job.team] < quotas.get(job.team, 0)
        )
        return _preemption.find_claimants(ready, pool, now, least_urgent)

    def describe_run(
        self, attempt: _jobs.Attempt, stopping: bool
    ) -> _preemption.RunningTask:
        """Return what the choice of preempted runs needs to know of a run.

        :param stopping: whether its agent was told to stop it
        """
        job = attempt.job
        state = self._states.get(job.id)
        # A job that has failed is no longer known here; its runs are stopped.
        task = state.tasks[attempt.index] if state is not None else None
        return _preemption.RunningTask(
            attempt.sequence,
            job.id,
            attempt.agent,
            job.terms.priority,
            job.request.tasks[attempt.index].needs,
            attempt.sent_at,
            task.seconds if task is not None else 0.0,
            job.submitted_at,
            state.waiting_job.due_at if state is not None else None,
            job.terms.checkpointed,
            job.preemptions,
            job.terms.rerun_lost and not job.terms.copies,
            stopping or state is None,
        )

    def choose_preemptions(
        self,
        service: str,
        claimants: list[_backlog.WaitingJob],
        runs: list[_preemption.RunningTask],
        now: datetime.datetime,
    ) -> list[_preemption.Preemption]:
        """Return the runs of a service to stop for waiting jobs.

        :param claimants: waiting jobs that may take freed room, in their order
        :param runs: runs of the service at this entry
        """
        pool = self._roster.find_pool(service)
        if pool is None:
            return []
        return _preemption.choose_preemptions(claimants, runs, pool, now)

    def choose(
        self,
        now: datetime.datetime,
        quotas: dict[str, int],
        entries: int,
        services: Mapping[str, _configuration.Service],
    ) -> list[_placement.Assignment]:
        """Return the tasks to send now.

        :param quotas: slots that each team may use at this entry, by team
        :param entries: number of entries that share the targets
        :param services: configuration of each service, by name
        """
        allowances = {
            team: quota - self._active_by_team.get(team, 0)
            for team, quota in quotas.items()
        }
        self._allowances = allowances
        self._entries = entries
        chosen: list[_placement.Assignment] = []
        for service, waiting in self._waiting.items():
            pool = self._roster.get_pool(service, now)
            definition = services.get(service)
            self.interference.observe_service(
                service, definition is not None and definition.separate_kinds
            )
            jobs = [
                each
                for each in waiting.values()
                if each.job not in self._suspended
            ]
            if pool is None or not jobs:
                continue
            pool.running = self._estimates.overdue
            assignments = self._shares.choose_assignments(
                service,
                self._weigh_policy(definition),
                jobs,
                pool,
                allowances,
                now,
                entries,
            )
            self._waiting_tasks[service] -= len(assignments)
            self._observe_starts(
                service, definition, assignments, jobs, pool, now
            )
            chosen.extend(assignments)
        self._drop_empty(chosen)
        return chosen + self._choose_copies(allowances, now)

    def _choose_copies(
        self, allowances: dict[str, int], now: datetime.datetime
    ) -> list[_placement.Assignment]:
        chosen: list[_placement.Assignment] = []
        for job_id, state in self._copyable.items():
            pool = self._roster.get_pool(state.service, now)
            if pool is None or state.service in self._waiting:
                continue
            if job_id in self._suspended:
                continue
            runs = state.runs.values()
            chosen.extend(
                _copies.choose_copies(
                    state.waiting_job, runs, pool, allowances, now
                )
            )
        return chosen

    def _observe_starts(
        self,
        service: str,
        definition: _configuration.Service | None,
        assignments: list[_placement.Assignment],
        jobs: list[_backlog.WaitingJob],
        pool: _targets.Pool,
        now: datetime.datetime,
    ) -> None:
        forecasts = _configuration.Admission.FORECAST
        if definition is None or definition.admission is not forecasts:
            self._start_rates.pop(service, None)
            return
        work = sum(
            self._states[each.job].tasks[each.index].seconds
            for each in assignments
        )
        ready = (job for job in jobs if self._allowances.get(job.team, 0) > 0)
        full = _overload.is_full(pool, ready, now)
        rate = self._start_rates.setdefault(service, _overload.StartRate())
        rate.observe(work, full, now)

    def _weigh_policy(
        self, service: _configuration.Service | None
    ) -> _placement.Policy:
        if service is None:
            return self._policy
        policy = self._policy
        if service.preemption:
            policy = _weights.order_late_by_age(policy)
        if service.separate_kinds and self.interference.pairs:
            separation = _separation.Separation(self.interference)
            policy = _weights.separate_kinds(policy, separation)
        return _weights.tune_policy(
            policy, service.response_weight, service.waste_weight
        )

    def _drop_empty(self, chosen: list[_placement.Assignment]) -> None:
        for job_id in {assignment.job for assignment in chosen}:
            state = self._states[job_id]
            if not state.waiting_job.tasks:
                self._drop_waiting(state.service, job_id)

    def _drop_waiting(self, service: str, job_id: str) -> None:
        waiting = self._waiting.get(service, {})
        waiting.pop(job_id, None)
        if not waiting:
            self._waiting.pop(service, None)
            self._start_rates.pop(service, None)
            del self._waiting_tasks[service]

    def _build_tasks(self, job: _jobs.Job) -> tuple[_backlog.WaitingTask, ...]:
        requests = job.request.tasks
        sizes = self._estimates.estimate_tasks(job.team, requests)
        return tuple(
            _backlog.WaitingTask(
                job.id,
                index,
                size.mean_seconds,
                request.needs,
                size.upper_seconds,
            )
            for index, (request, size) in enumerate(
                zip(requests, sizes, strict=True)
            )
        )
