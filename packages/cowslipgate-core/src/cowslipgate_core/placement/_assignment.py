"""Which waiting tasks go where, kept up to date as things happen."""

import collections
from collections.abc import Mapping
import datetime

import attrs

from cowslipgate_core.configuration import _configuration
from cowslipgate_core.jobs import _jobs
from cowslipgate_core.placement import _backlog
from cowslipgate_core.placement import _copies
from cowslipgate_core.placement import _estimates
from cowslipgate_core.placement import _placement
from cowslipgate_core.placement import _roster
from cowslipgate_core.placement import _stalls
from cowslipgate_core.placement import _weights


@attrs.define(eq=False)
class _Plan:
    """A job as the policy sees it."""

    service: str
    """Service of the job."""

    view: _backlog.WaitingJob
    """The part of it that waits."""

    tasks: tuple[_backlog.WaitingTask, ...]
    """Every task by index."""

    runs: dict[int, _copies.Run] = attrs.Factory(dict)
    """Attempts under way by number, where copies are allowed."""


class Assigner:
    """Owns the view of the backlog; the ledger tells it what happened."""

    def __init__(
        self,
        policy: _placement.Policy,
        roster: _roster.Roster,
        estimates: _estimates.Estimates,
    ) -> None:
        self._policy = policy
        self._roster = roster
        self._estimates = estimates
        self._plans: dict[str, _Plan] = {}
        self._copied: dict[str, _Plan] = {}
        self._waiting: dict[str, dict[str, _backlog.WaitingJob]] = {}
        self._waiting_tasks: collections.Counter[str] = collections.Counter()
        self._active: collections.Counter[str] = collections.Counter()

    @property
    def has_choice(self) -> bool:
        """Whether a task of any service waits, or may be copied."""
        return bool(self._waiting or self._copied)

    def count_waiting(self, service: str) -> int:
        """Return the number of tasks of a service that wait."""
        return self._waiting_tasks[service]

    @property
    def services(self) -> set[str]:
        """Services with tasks that wait."""
        return set(self._waiting)

    def add_job(self, job: _jobs.Job) -> None:
        """Take in a job all of whose tasks wait."""
        tasks = self._view_tasks(job)
        view = _backlog.WaitingJob(
            job.id, job.team, job.submitted_at, list(tasks), terms=job.terms
        )
        plan = _Plan(job.service, view, tasks)
        self._plans[job.id] = plan
        if job.terms.copies:
            self._copied[job.id] = plan
        for task in tasks:
            self._roster.note_needs(job.service, task.needs)
        self._waiting.setdefault(job.service, {})[job.id] = view
        self._waiting_tasks[job.service] += len(tasks)

    def drop_job(self, job: _jobs.Job) -> None:
        """Forget a job whose tasks are no longer sent."""
        self._copied.pop(job.id, None)
        plan = self._plans.pop(job.id, None)
        if plan is not None:
            self._waiting_tasks[job.service] -= len(plan.view.tasks)
        self._drop_waiting(job.service, job.id)

    def start_attempt(self, attempt: _jobs.Attempt) -> None:
        """Take in that an attempt was sent."""
        self._active[attempt.job.team] += 1
        plan = self._plans[attempt.job.id]
        task = plan.tasks[attempt.index]
        if plan.view.terms.copies:
            plan.runs[attempt.sequence] = _copies.Run(
                task, attempt.agent, attempt.sent_at
            )
        self._estimates.overdue.start(
            attempt.agent, attempt.sequence, task.seconds, attempt.sent_at
        )

    def close_attempt(self, attempt: _jobs.Attempt) -> None:
        """Take in that an attempt is final."""
        plan = self._plans.get(attempt.job.id)
        if plan is not None:
            plan.runs.pop(attempt.sequence, None)
            if plan.view.terms.limit_per_target:
                plan.view.placed[attempt.agent] -= 1
        self._estimates.overdue.end(attempt.agent, attempt.sequence)
        team = attempt.job.team
        self._active[team] -= 1
        if not self._active[team]:
            del self._active[team]

    def put_back(self, attempt: _jobs.Attempt) -> None:
        """Take in that an attempt did not start: its task waits again."""
        job = attempt.job
        plan = self._plans.get(job.id)
        if plan is not None:
            plan.view.put_back(plan.tasks[attempt.index])
            self._waiting_tasks[job.service] += 1
            self._waiting.setdefault(job.service, {})[job.id] = plan.view

    def finish_task(self, attempt: _jobs.Attempt) -> None:
        """Take in that a task has finished."""
        plan = self._plans.get(attempt.job.id)
        if plan is not None:
            task = plan.tasks[attempt.index]
            plan.view.remaining_seconds -= task.seconds

    def is_stalled(
        self, attempt: _jobs.Attempt, now: datetime.datetime
    ) -> bool:
        """Tell whether a run is better stopped and sent elsewhere."""
        plan = self._plans.get(attempt.job.id)
        if plan is None:
            return False
        task = plan.tasks[attempt.index]
        speed = self._estimates.get_speed(attempt.agent)
        if not _stalls.is_stalled(task, speed, now - attempt.sent_at):
            return False
        pool = self._roster.find_pool(plan.service)
        return pool is not None and _stalls.has_other_place(
            task, attempt.agent, pool, now
        )

    def choose(
        self,
        now: datetime.datetime,
        quotas: dict[str, int],
        entries: int,
        services: Mapping[str, _configuration.Service],
    ) -> list[_placement.Assignment]:
        """Return the tasks to send now.

        :param quotas: slots that each team may use at this entry
        :param entries: number of entries that share the targets
        :param services: services with the weights that operators gave them
        """
        allowances = {
            team: quota - self._active.get(team, 0)
            for team, quota in quotas.items()
        }
        chosen: list[_placement.Assignment] = []
        for service, waiting in self._waiting.items():
            pool = self._roster.get_pool(service, now)
            if pool is None:
                continue
            assignments = _placement.choose_assignments(
                self._tune(services.get(service)),
                list(waiting.values()),
                pool,
                allowances,
                now,
                entries,
            )
            self._waiting_tasks[service] -= len(assignments)
            chosen.extend(assignments)
        self._drop_empty(chosen)
        return chosen + self._choose_copies(allowances, now)

    def _choose_copies(
        self, allowances: dict[str, int], now: datetime.datetime
    ) -> list[_placement.Assignment]:
        chosen: list[_placement.Assignment] = []
        for plan in self._copied.values():
            pool = self._roster.get_pool(plan.service, now)
            if pool is None or plan.service in self._waiting:
                continue
            runs = plan.runs.values()
            chosen.extend(
                _copies.choose_copies(plan.view, runs, pool, allowances, now)
            )
        return chosen

    def _tune(
        self, service: _configuration.Service | None
    ) -> _placement.Policy:
        if service is None:
            return self._policy
        return _weights.tune_policy(
            self._policy, service.response_weight, service.waste_weight
        )

    def _drop_empty(self, chosen: list[_placement.Assignment]) -> None:
        for job_id in {assignment.job for assignment in chosen}:
            plan = self._plans[job_id]
            if not plan.view.tasks:
                self._drop_waiting(plan.service, job_id)

    def _drop_waiting(self, service: str, job_id: str) -> None:
        waiting = self._waiting.get(service, {})
        waiting.pop(job_id, None)
        if not waiting:
            self._waiting.pop(service, None)
            del self._waiting_tasks[service]

    def _view_tasks(self, job: _jobs.Job) -> tuple[_backlog.WaitingTask, ...]:
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
