"""Both programs as processes, behind the platform's own protocols."""

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
"""Run time within which a process can be killed, in milliseconds."""

ORPHAN_MS = 3_000
"""Run time that outlasts the 1.3 s until callers come again."""


@pytest.fixture
def system(tmp_path: pathlib.Path) -> Iterator[faultsoak.Deployment]:
    made = faultsoak.Deployment(tmp_path, ENTRIES, AGENTS)
    try:
        made.start()
        yield made
        assert faultsoak.find_violations((), made.list_runs()) == []
    finally:
        made.close()


def _wait_begun(system: faultsoak.Deployment, name: str, tasks: int) -> None:
    _waits.wait_until(
        lambda: len(system.list_runs(name)) >= tasks, "the tasks' begin"
    )


def test_jobs_are_answered_whole(system: faultsoak.Deployment) -> None:
    jobs = [system.make_job(4, TASK_MS) for _ in range(8)]
    replies = [
        system.submit(number % ENTRIES, job) for number, job in enumerate(jobs)
    ]
    for job, reply in zip(jobs, replies, strict=True):
        assert reply.result() == faultsoak.Reply(200, {"state": "completed"})
        # A slow machine's agent stops an order that is not answered in time
        # and has the task run elsewhere; no task is done twice.
        ends = [run.how for run in system.list_runs(job.name)]
        assert ends.count("done") == 4
        assert set(ends) <= {"done", "stopped"}


def test_job_of_a_killed_entry_runs_at_no_two_targets_at_once(
    system: faultsoak.Deployment,
) -> None:
    # Were they not stopped, they would run on when the job comes again.
    replies = [
        system.submit_with_retries(0, system.make_job(4, ORPHAN_MS))
        for _ in range(3)
    ]
    _wait_begun(system, "", 12)
    system.entries[0].kill()
    assert {reply.result().status for reply in replies} == {200}


def test_tasks_of_a_killed_agent_run_again(
    system: faultsoak.Deployment,
) -> None:
    job = system.make_job(12, LONG_MS)
    reply = system.submit(0, job)
    _wait_begun(system, job.name, 12)
    system.agents[0].restart()
    assert reply.result().status == 200
    # What ended before the agent was back has run once more.
    runs = system.list_runs(job.name)
    assert len({run.task for run in runs if run.how == "done"}) == 12


def test_store_that_is_away_stops_nothing(
    system: faultsoak.Deployment,
) -> None:
    system.store.fault = faultsoak.StoreFault.BUSY
    reply = system.submit(0, system.make_job(4, TASK_MS))
    assert reply.result().status == 200
    assert faultsoak.is_ready(system.entries[0].ip)
    system.configure(path_prefix="/other/")
    system.store.fault = faultsoak.StoreFault.NONE
    # In force again; the old route is gone.
    _waits.wait_until(
        lambda: system.submit(0, system.make_job(1, 1)).result().status == 404,
        "the new configuration in force",
    )


def test_stopping_entry_answers_what_it_has_taken(
    system: faultsoak.Deployment,
) -> None:
    job = system.make_job(4, LONG_MS)
    reply = system.submit(0, job)
    _wait_begun(system, job.name, 4)
    node = system.entries[0]
    node.send_signal(signal.SIGTERM)
    assert reply.result().status == 200
    assert node.process.wait(faultsoak.STOP_SECONDS) == 0
