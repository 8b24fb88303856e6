"""Workload faults: stragglers, bursts, cancellations, failing targets."""

from collections.abc import Iterator
import pathlib
import time

import cowslipgate_core as core
import pytest

from cowslipgate_bench import _deployment
from cowslipgate_bench import _waits

WAVE_JOBS = 1_000
REST_JOBS = 20
SLOTS = 4
WAVE_SLOTS = 16
USUAL_ENTRY_FLAGS = (
    "--inquiry-interval=2s",
    "--agent-suspect-after=5s",
    "--agent-lost-after=20s",
)
USUAL_AGENT_FLAGS = ("--entry-lost-after=20s",)
"""Time limits of the programs, where nothing is lost. The short ones of other
tests take processes for lost that only wait for a processor."""

STOP_INTERVAL_SECONDS = core.Timing().stop_interval.total_seconds()
RESOLVE_SECONDS = core.Timing().resolve_timeout.total_seconds()
WAVE_TASK_MS = 45_000.0
"""Run time of the wave's tasks, in milliseconds: longer than the wait for all
its jobs to be submitted, so that none ends before it is cancelled."""


@pytest.fixture(scope="module")
def deployment(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[_deployment.Deployment]:
    folder: pathlib.Path = tmp_path_factory.mktemp("workload")
    with _deployment.deploy(folder, slots=SLOTS) as started:
        yield started


@pytest.mark.parametrize(
    "options",
    [
        {"true_ms": (1.0, 1.0, 1.0, 900.0), "size_ms": 20.0},
        {"true_ms": (10.0, 200.0), "size_ms": 2_000.0},
        {"true_ms": (10.0, 200.0), "size_ms": 1.0},
    ],
    ids=["stragglers", "declared ten times too long", "declared too short"],
)
def test_wrong_sizes_fail_no_job(
    deployment: _deployment.Deployment, options: dict[str, object]
) -> None:
    jobs = [deployment.submit(entry=n % 2, **options) for n in range(12)]
    assert all(job.answer.result().complete for job in jobs)
    assert deployment.check_submissions().find_violations() == {}


def test_burst_is_answered_completely(
    deployment: _deployment.Deployment,
) -> None:
    jobs = [
        deployment.submit(entry=n % 2, tasks=5, true_ms=(2.0,))
        for n in range(200)
    ]
    assert all(job.answer.result().complete for job in jobs)
    assert deployment.check_submissions().find_violations() == {}


def test_jobs_that_fit_no_target_delay_no_other_job(
    deployment: _deployment.Deployment,
) -> None:
    impossible = [
        deployment.submit(memory_mb=999_999, deadline_ms=600_000)
        for _ in range(20)
    ]
    possible = [deployment.submit() for _ in range(20)]
    assert all(job.answer.result().complete for job in possible)
    assert {job.answer.result().status for job in impossible} == {422}
    assert deployment.check_submissions().find_violations() == {}


def test_cancellation_wave_stops_everything_with_few_messages(
    tmp_path: pathlib.Path,
) -> None:
    # A proxy in this process would wait for its callers: 1,020 threads.
    with _deployment.deploy(
        tmp_path,
        slots=WAVE_SLOTS,
        entry_flags=USUAL_ENTRY_FLAGS,
        agent_flags=USUAL_AGENT_FLAGS,
        callers=WAVE_JOBS + REST_JOBS,
        proxied=False,
    ) as deployment:
        _run_wave(deployment)


def _run_wave(deployment: _deployment.Deployment) -> None:
    cluster = deployment.cluster
    wave = [
        deployment.submit(
            entry=n % 2,
            tasks=2,
            true_ms=(WAVE_TASK_MS,),
            deadline_ms=60_000,
            label="hall",
        )
        for n in range(WAVE_JOBS)
    ]
    _waits.wait_until(
        lambda: sum(map(cluster.count_jobs, cluster.entries)) == WAVE_JOBS,
        "all jobs of the wave",
    )
    rest = [deployment.submit(entry=n % 2) for n in range(REST_JOBS)]
    _waits.wait_until(
        lambda: (
            sum(map(cluster.count_jobs, cluster.entries))
            == WAVE_JOBS + REST_JOBS
        ),
        "all other jobs",
    )
    cancelling_at = time.time()
    assert deployment.cancel("hall") == WAVE_JOBS
    cancelled_at = time.time()
    assert {job.answer.result().status for job in wave} == {409}
    assert all(job.answer.result().complete for job in rest)
    assert deployment.recover_and_check().find_violations() == {}
    wave_tokens = {token for job in wave for token in job.tokens}
    journal = cluster.read_journal()
    starts = [line["at"] for line in journal if line["token"] in wave_tokens]
    before = [at for at in starts if at < cancelling_at]
    # Before the cancellation at most one task per slot started, and none
    # starts after its reply. In between, an agent may start what an entry
    # without the cancellation sent earlier: at most one more per slot.
    slots = len(cluster.agents) * WAVE_SLOTS
    assert len(before) <= slots
    assert len(starts) - len(before) <= slots
    assert max(starts) < cancelled_at
    pairs = len(cluster.agents) * len(cluster.entries)
    repeats = sum(map(cluster.count_repeats, cluster.entries))
    withdrawn = sum(map(cluster.count_withdrawals, cluster.entries))
    assert withdrawn - repeats <= pairs
    # A stop is repeated only while its agent has not answered it. A wave that
    # is settled sooner than its jobs give up on agents has had all answers.
    waited = cancelled_at - cancelling_at
    if waited >= RESOLVE_SECONDS:
        waited = time.time() - cancelling_at
    assert repeats <= pairs * (waited // STOP_INTERVAL_SECONDS)


def test_target_that_fails_every_task_fails_few_jobs(
    tmp_path: pathlib.Path,
) -> None:
    targets = ({}, {"failing": True})
    with _deployment.deploy(
        tmp_path, slots=SLOTS, targets=targets
    ) as deployment:
        jobs = [
            deployment.submit(entry=n % 2, tasks=4, true_ms=(30.0,))
            for n in range(60)
        ]
        incomplete = [job for job in jobs if not job.answer.result().complete]
        # Each failed task fails its job. Until an entry receives the
        # quarantine, it may have one more task per slot in flight.
        assert len(incomplete) <= SLOTS * (len(deployment.cluster.entries) + 1)
        verdict = deployment.check_submissions()
        assert verdict.find_violations() == {}
