"""Entries and agents as processes behind the platform's protocols."""

from collections.abc import Iterator
import pathlib
import signal

import pytest

from cowslipgate_bench import _waits
from cowslipgate_bench import faultsoak

ENTRIES = 2
AGENTS = 3
TASK_MS = 300
"""Run time of a short task, in milliseconds."""

LONG_MS = 900
"""Run time of a task that still runs when a process is killed, in
milliseconds."""

ORPHAN_MS = 3_000
"""Run time longer than the 1.3 s before callers resubmit, in milliseconds."""


@pytest.fixture
def system(tmp_path: pathlib.Path) -> Iterator[faultsoak.Deployment]:
    created = faultsoak.Deployment(tmp_path, ENTRIES, AGENTS)
    try:
        created.start()
        yield created
        assert faultsoak.find_violations((), created.list_runs()) == []
    finally:
        created.close()


def _wait_started(system: faultsoak.Deployment, name: str, tasks: int) -> None:
    _waits.wait_until(
        lambda: len(system.list_runs(name)) >= tasks, "the started tasks"
    )


def test_jobs_are_answered_completely(system: faultsoak.Deployment) -> None:
    jobs = [system.make_job(4, TASK_MS) for _ in range(8)]
    replies = [
        system.submit(number % ENTRIES, job) for number, job in enumerate(jobs)
    ]
    for job, reply in zip(jobs, replies, strict=True):
        assert reply.result() == faultsoak.Reply(200, {"state": "completed"})
        # On a slow machine an agent stops an attempt that is not answered in
        # time and the task runs elsewhere; no task completes twice.
        ends = [run.outcome for run in system.list_runs(job.name)]
        assert ends.count("done") == 4
        assert set(ends) <= {"done", "stopped"}


def test_job_of_a_killed_entry_runs_at_no_two_targets_at_once(
    system: faultsoak.Deployment,
) -> None:
    # Tasks that were not stopped would overlap with the resubmitted job.
    replies = [
        system.submit_with_retries(0, system.make_job(4, ORPHAN_MS))
        for _ in range(3)
    ]
    _wait_started(system, "", 12)
    system.entries[0].kill()
    assert {reply.result().status for reply in replies} == {200}


def test_tasks_of_a_killed_agent_run_again(
    system: faultsoak.Deployment,
) -> None:
    job = system.make_job(12, LONG_MS)
    reply = system.submit(0, job)
    _wait_started(system, job.name, 12)
    system.agents[0].restart()
    assert reply.result().status == 200
    # Tasks that ended before the agent was back run again: count each once.
    runs = system.list_runs(job.name)
    assert len({run.task for run in runs if run.outcome == "done"}) == 12


def test_unavailable_store_fails_no_job(
    system: faultsoak.Deployment,
) -> None:
    system.store.fault = faultsoak.StoreFault.BUSY
    reply = system.submit(0, system.make_job(4, TASK_MS))
    assert reply.result().status == 200
    assert faultsoak.is_ready(system.entries[0].ip)
    system.configure(path_prefix="/other/")
    system.store.fault = faultsoak.StoreFault.NONE
    # The new configuration is in force once the old route is gone.
    _waits.wait_until(
        lambda: system.submit(0, system.make_job(1, 1)).result().status == 404,
        "the new configuration in force",
    )


def test_stopping_entry_answers_accepted_jobs(
    system: faultsoak.Deployment,
) -> None:
    job = system.make_job(4, LONG_MS)
    reply = system.submit(0, job)
    _wait_started(system, job.name, 4)
    node = system.entries[0]
    node.send_signal(signal.SIGTERM)
    assert reply.result().status == 200
    assert node.process.wait(faultsoak.STOP_SECONDS) == 0
