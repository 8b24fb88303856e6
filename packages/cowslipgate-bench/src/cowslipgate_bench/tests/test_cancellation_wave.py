"""Cancellation of many jobs through one entry, with real processes."""

import concurrent.futures
import pathlib

from cowslipgate_bench import _waits
from cowslipgate_bench.tests import control_builders as builders

JOBS = 60
SLOTS = 4
TRUE_MS = 20_000
DECLARED_MS = 400


def test_no_task_starts_after_the_cancellation_reply(
    tmp_path: pathlib.Path,
) -> None:
    with builders.build_cluster(tmp_path, slots=SLOTS) as cluster:
        receiver, *owners = cluster.entries
        # Tasks outlast the submissions, so that no job ends early.
        job = builders.build_job(
            true_ms=TRUE_MS, size_ms=DECLARED_MS, label="hall-7"
        )
        with concurrent.futures.ThreadPoolExecutor(JOBS) as pool:
            answers = [
                pool.submit(
                    builders.submit, cluster, owners[number % 2].port, job
                )
                for number in range(JOBS)
            ]
            _waits.wait_until(
                lambda: sum(map(cluster.count_jobs, owners)) == JOBS,
                "every job in flight",
            )
            reply = cluster.call(
                "POST",
                f"/v1/services/{builders.SERVICE}/cancellations",
                {"label": "hall-7"},
                builders.TOKENS["hall"],
                receiver.port,
            )
            started = builders.count_starts(cluster)
            statuses = {answer.result().status for answer in answers}
        assert reply.body == {"cancelled": JOBS}
        assert statuses == {409}
        other = builders.build_job(tasks=SLOTS)
        assert builders.submit(cluster, receiver.port, other).status == 200
        assert builders.count_starts(cluster) == started + SLOTS
