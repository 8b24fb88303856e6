"""Jobs that fit no available target don't delay other jobs."""

import pathlib

from cowslipgate_bench import _cluster
from cowslipgate_bench import _deployment
from cowslipgate_bench import _waits

UNFIT_JOBS = 300
FIT_JOBS = 20
TARGETS = ({"memory_mb": 1_000}, {"memory_mb": 8_000})


def test_jobs_of_a_removed_target_delay_no_other_job(
    tmp_path: pathlib.Path,
) -> None:
    with _deployment.deploy(
        tmp_path, entries=1, targets=TARGETS, callers=UNFIT_JOBS + FIT_JOBS
    ) as deployment:
        cluster = deployment.cluster
        (entry,) = cluster.entries
        port = cluster.agents[1].port
        _cluster.call_http(port, "DELETE", "/v1/target", None)
        _waits.wait_until(
            lambda: cluster.is_ready(1), "removal of the larger target"
        )
        # The target may return, so these jobs wait until their deadline.
        unfit = [
            deployment.submit(
                memory_mb=8_000, deadline_ms=600_000, label="large"
            )
            for _ in range(UNFIT_JOBS)
        ]
        _waits.wait_until(
            lambda: cluster.count_jobs(entry) == UNFIT_JOBS,
            "the queued unfit jobs",
        )
        fit = [deployment.submit(memory_mb=1_000) for _ in range(FIT_JOBS)]
        assert all(job.answer.result().complete for job in fit)
        assert not any(job.answer.done() for job in unfit)
        assert deployment.cancel("large") == UNFIT_JOBS
        answers = [job.answer.result() for job in unfit]
        assert {answer.started for answer in answers} == {"none"}
        assert deployment.check_submissions().find_violations() == {}
