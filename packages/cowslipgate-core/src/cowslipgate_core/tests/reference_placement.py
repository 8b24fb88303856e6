"""Reference implementations of the policies: scans that are easy to check."""

import datetime
import math

import cowslipgate_core as core

ENTRIES = 2


def choose_round_robin(
    jobs: list[core.WaitingJob],
    pool: core.Pool,
    allowances: dict[str, int],
    now: datetime.datetime,
) -> list[core.Assignment]:
    """Return the assignments of round robin."""
    ring = sorted(
        (t for t in pool.ranked if t.is_usable(now)), key=lambda t: t.agent
    )
    chosen = []
    turn = pool.turn
    for job in jobs:
        for task in sorted(job.tasks, key=lambda task: task.index):
            if allowances[job.team] <= 0:
                continue
            for step in range(len(ring)):
                target = ring[(turn + step) % len(ring)]
                if core.can_run(target, task):
                    turn += step + 1
                    allowances[job.team] -= 1
                    chosen.append(_assign(task, target))
                    break
            else:
                turn += len(ring)
    return chosen


def choose_least_completion(
    jobs: list[core.WaitingJob],
    pool: core.Pool,
    allowances: dict[str, int],
    now: datetime.datetime,
) -> list[core.Assignment]:
    """Return the assignments of least completion."""
    occupied = {target.agent: target.occupied for target in pool.ranked}
    chosen = []
    for job in jobs:
        for task in _sort_longest_first(job.tasks):
            best = None
            for target in pool.ranked:
                if not target.is_usable(now):
                    continue
                if not core.can_run(target, task):
                    continue
                ahead = max(0, occupied[target.agent] - target.slots + 1)
                seconds = task.seconds / target.speed
                seconds *= 1 + ahead / target.slots
                if best is None or seconds < best[0]:
                    best = (seconds, target)
            if best is not None and allowances[job.team] > 0:
                occupied[best[1].agent] += 1
                allowances[job.team] -= 1
                chosen.append(_assign(task, best[1]))
    return chosen


def choose_late_binding(
    policy: core.LateBinding,
    jobs: list[core.WaitingJob],
    pool: core.Pool,
    allowances: dict[str, int],
    now: datetime.datetime,
) -> list[core.Assignment]:
    """Return the assignments of late binding, with or without matching."""
    remaining = {job.job: list(job.tasks) for job in jobs}
    occupied = {target.agent: target.occupied for target in pool.ranked}
    ordered = sorted(jobs, key=lambda job: _rank(policy, job, now))
    chosen: list[core.Assignment] = []
    for target in pool.ranked:
        if not target.is_usable(now):
            continue
        if target.slots + policy.queue_allowance - occupied[target.agent] <= 0:
            continue
        if not target.on_probation or occupied[target.agent]:
            continue
        fitting = [
            task
            for job in ordered
            if allowances[job.team] > 0
            for task in reversed(_sort_longest_first(remaining[job.job]))
            if core.can_run(target, task)
        ]
        if fitting:
            _place_task(
                fitting[0],
                target,
                jobs,
                remaining,
                allowances,
                occupied,
                chosen,
            )
    for job in jobs:
        job.tasks[:] = remaining[job.job]
    horizons = {
        job.job: _compute_horizon(policy, job, pool, now)
        for job in jobs
        if job.tasks
    }
    for target in pool.ranked:
        if not target.is_usable(now):
            continue
        places = target.slots + policy.queue_allowance - occupied[target.agent]
        if policy.max_backlog_time and _can_spare(
            policy, target, pool, ordered, remaining, occupied, allowances, now
        ):
            break
        slow = _is_slow(policy, target, pool)
        for _ in range(places):
            faster_busy = any(
                occupied[t.agent] and t.slots and t.speed > target.speed
                for t in pool.ranked
            )
            if (
                occupied[target.agent]
                and faster_busy
                and _is_probed(policy, target, pool)
            ):
                break
            task = None
            for job in ordered:
                limit = horizons.get(job.job, 0.0) * target.speed
                task = task or _find_task(
                    remaining, job, target, allowances, limit, slow
                )
            for job in ordered if not faster_busy else []:
                task = task or _find_task(
                    remaining, job, target, allowances, math.inf
                )
            if task is None:
                break
            _place_task(
                task, target, jobs, remaining, allowances, occupied, chosen
            )
    return chosen


def _place_task(
    task: core.WaitingTask,
    target: core.TargetView,
    jobs: list[core.WaitingJob],
    remaining: dict[str, list[core.WaitingTask]],
    allowances: dict[str, int],
    occupied: dict[str, int],
    chosen: list[core.Assignment],
) -> None:
    team = next(job.team for job in jobs if job.job == task.job)
    allowances[team] -= 1
    remaining[task.job].remove(task)
    occupied[target.agent] += 1
    chosen.append(_assign(task, target))


def expect_others(others: int, age_seconds: float, speed: float) -> float:
    """Return the expected tasks of other entries: half stay, half decay."""
    lasting = others / 2
    return lasting + (others - lasting) / math.e ** (age_seconds * speed)


def _can_spare(
    policy: core.LateBinding,
    target: core.TargetView,
    pool: core.Pool,
    jobs: list[core.WaitingJob],
    remaining: dict[str, list[core.WaitingTask]],
    occupied: dict[str, int],
    allowances: dict[str, int],
    now: datetime.datetime,
) -> bool:
    faster = [t for t in pool.ranked if t.speed > target.speed and t.slots]
    if not any(occupied[t.agent] for t in faster):
        return False
    waiting = 0.0
    for job in jobs:
        if not remaining[job.job] or allowances[job.team] <= 0:
            continue
        if now - job.submitted_at > policy.ageing:
            return False
        for need in {task.needs for task in job.tasks}:
            if not any(core.covers_needs(t.resources, need) for t in faster):
                return False
        waiting += sum(task.seconds for task in remaining[job.job])
    before = pool.ranked[: pool.ranked.index(target)]
    capacity = sum(t.slots * t.speed for t in before) / ENTRIES
    return waiting <= capacity * policy.max_backlog_time.total_seconds()


def _find_task(
    remaining: dict[str, list[core.WaitingTask]],
    job: core.WaitingJob,
    target: core.TargetView,
    allowances: dict[str, int],
    limit: float,
    shortest: bool = False,
) -> core.WaitingTask | None:
    if allowances[job.team] <= 0:
        return None
    tasks = _sort_longest_first(remaining[job.job])
    for task in reversed(tasks) if shortest else tasks:
        if task.upper_seconds <= limit and core.can_run(target, task):
            return task
    return None


def _is_slow(
    policy: core.LateBinding, target: core.TargetView, pool: core.Pool
) -> bool:
    if not isinstance(policy, core.Matching):
        return False
    capacity = sum(t.slots * t.speed for t in pool.ranked)
    slots = sum(t.slots for t in pool.ranked)
    return target.speed * slots < policy.slow_speed * capacity


def _is_probed(
    policy: core.LateBinding, target: core.TargetView, pool: core.Pool
) -> bool:
    if not isinstance(policy, core.Matching):
        return False
    capacity = sum(t.slots * t.speed for t in pool.ranked)
    slots = sum(t.slots for t in pool.ranked)
    if target.speed * slots >= policy.probed_speed * capacity:
        return False
    slower = pool.ranked[pool.ranked.index(target) :]
    slow_capacity = sum(t.slots * t.speed for t in slower)
    return slow_capacity <= policy.probed_capacity * capacity


def _compute_horizon(
    policy: core.LateBinding,
    job: core.WaitingJob,
    pool: core.Pool,
    now: datetime.datetime,
) -> float:
    if not isinstance(policy, core.Matching):
        return math.inf
    if now - job.submitted_at > policy.ageing:
        return math.inf
    fastest = min(
        max(
            [
                t.speed
                for t in pool.ranked
                if t.slots and core.covers_needs(t.resources, need)
            ],
            default=0.0,
        )
        for need in job.needs
    )
    capacity = sum(t.slots * t.speed for t in pool.ranked)
    slots = sum(t.slots for t in pool.ranked)
    if not fastest or not capacity:
        return math.inf
    longest = max(task.upper_seconds for task in job.tasks)
    mean = sum(task.seconds for task in job.tasks) / len(job.tasks)
    alone = longest / fastest + mean / (fastest * slots)
    shared = job.remaining_seconds / (capacity / ENTRIES)
    return policy.horizon_factor * max(alone, shared)


def _rank(
    policy: core.LateBinding, job: core.WaitingJob, now: datetime.datetime
) -> tuple[bool, float]:
    waited = now - job.submitted_at
    if waited > policy.ageing:
        return (False, -waited.total_seconds())
    return (True, job.remaining_seconds)


def _sort_longest_first(
    tasks: list[core.WaitingTask],
) -> list[core.WaitingTask]:
    return sorted(tasks, key=lambda task: (-task.upper_seconds, task.index))


def _assign(
    task: core.WaitingTask, target: core.TargetView
) -> core.Assignment:
    return core.Assignment(task.job, task.index, target.agent)
