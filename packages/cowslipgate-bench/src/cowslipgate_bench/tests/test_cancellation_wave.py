"""A wave of cancellations through one entry, with real processes."""

import concurrent.futures
import pathlib

from cowslipgate_bench import _waits
from cowslipgate_bench.tests import control_builders as builders

JOBS = 60
SLOTS = 4
LASTING_MS = 20_000
DECLARED_MS = 400


def test_nothing_starts_after_the_answer(tmp_path: pathlib.Path) -> None:
    with builders.build_cluster(tmp_path, slots=SLOTS) as cluster:
        asked, *owners = cluster.entries
        # None may end before the last is submitted, however slowly.
        job = builders.build_job(
            true_ms=LASTING_MS, size_ms=DECLARED_MS, label="hall-7"
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
                asked.port,
            )
            started = builders.count_starts(cluster)
            statuses = {answer.result().status for answer in answers}
        assert reply.body == {"cancelled": JOBS}
        assert statuses == {409}
        other = builders.build_job(tasks=SLOTS)
        assert builders.submit(cluster, asked.port, other).status == 200
        assert builders.count_starts(cluster) == started + SLOTS
