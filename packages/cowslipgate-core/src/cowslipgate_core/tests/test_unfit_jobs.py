"""Tests that jobs which fit no open target do not block other jobs."""

import cowslipgate_core as core
from cowslipgate_core.tests import builders
import pytest

SMALL = core.Resources(memory_mb=100)
LARGE = core.Resources(memory_mb=999_999)
UNFIT_JOBS = 2 * core.MAX_JOBS_TRIED
POLICIES = [core.LateBinding(), core.Matching()]


def _build_job(name: str, needs: core.Resources) -> core.WaitingJob:
    task = core.WaitingTask(name, 0, 1.0, needs, 1.0)
    return core.WaitingJob(name, "hall", builders.NOW, [task])


def _build_target(
    agent: str, resources: core.Resources, occupied: int
) -> core.TargetView:
    return core.TargetView(agent, resources, 1, occupied, 1.0)


def _choose(policy: core.Policy, pool: core.Pool) -> list[core.Assignment]:
    jobs = [_build_job(f"unfit-{n}", LARGE) for n in range(UNFIT_JOBS)]
    jobs.append(_build_job("fit", SMALL))
    allowances = {"hall": len(jobs)}
    return core.choose_assignments(
        policy, jobs, pool, allowances, builders.NOW
    )


@pytest.mark.parametrize("policy", POLICIES)
def test_jobs_that_fit_no_target_do_not_block_others(
    policy: core.Policy,
) -> None:
    pool = core.Pool([_build_target("agent-1", SMALL, occupied=0)])
    chosen = _choose(policy, pool)
    assert [(c.job, c.agent) for c in chosen] == [("fit", "agent-1")]


@pytest.mark.parametrize("policy", POLICIES)
def test_jobs_that_need_a_busy_target_do_not_block_others(
    policy: core.Policy,
) -> None:
    pool = core.Pool(
        [
            _build_target("agent-1", SMALL, occupied=0),
            _build_target("agent-2", LARGE, occupied=1),
        ]
    )
    chosen = _choose(policy, pool)
    assert [(c.job, c.agent) for c in chosen] == [("fit", "agent-1")]


@pytest.mark.parametrize("policy", POLICIES)
def test_jobs_with_only_unfit_tasks_left_do_not_block_others(
    policy: core.Policy,
) -> None:
    jobs = []
    for number in range(UNFIT_JOBS):
        name = f"rest-{number}"
        tasks = [
            core.WaitingTask(name, 0, 0.1, SMALL, 0.1),
            core.WaitingTask(name, 1, 0.1, LARGE, 0.1),
        ]
        job = core.WaitingJob(name, "hall", builders.NOW, tasks)
        job.take([task.needs for task in tasks].index(SMALL))
        jobs.append(job)
    jobs.append(_build_job("fit", SMALL))
    pool = core.Pool([_build_target("agent-1", SMALL, occupied=0)])
    chosen = core.choose_assignments(
        policy, jobs, pool, {"hall": len(jobs)}, builders.NOW
    )
    assert [(c.job, c.agent) for c in chosen] == [("fit", "agent-1")]
