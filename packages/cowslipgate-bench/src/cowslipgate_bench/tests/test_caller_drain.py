"""Planned stop of an entry under load."""

import http.client
import json
import pathlib
import signal
import threading

import cowslipgate_core as core

from cowslipgate_bench import _cluster
from cowslipgate_bench import _target
from cowslipgate_bench import _waits

TEAM_TOKEN = "hall-token"
CALLERS = 8
JOB = json.dumps({"tasks": [{"payload": {"true_ms": 20}}]}).encode()
DOCUMENT = {
    "services": {"print": {}},
    "teams": {"hall": {"token_digests": [core.digest_token(TEAM_TOKEN)]}},
}


class _Caller:
    """Caller that submits one job after another until ``stop`` is set."""

    def __init__(self, port: int, stop: threading.Event) -> None:
        self._port = port
        self._stop = stop
        self._connection: http.client.HTTPConnection | None = None
        self.complete = 0
        self.refused = 0
        self.failures: list[str] = []

    def run(self) -> None:
        """Submit until ``stop`` is set or a request fails."""
        while not (self.failures or self._stop.is_set()):
            try:
                self._submit()
            except (OSError, http.client.HTTPException) as error:
                self.failures.append(repr(error))

    def _submit(self) -> None:
        if self._connection is None:
            self._connection = http.client.HTTPConnection(
                _cluster.HOST, self._port, timeout=60
            )
        headers = {"Authorization": f"Bearer {TEAM_TOKEN}"}
        path = "/v1/services/print/jobs"
        self._connection.request("POST", path, JOB, headers)
        response = self._connection.getresponse()
        answer = json.loads(response.read())
        if response.will_close:
            self._connection.close()
            self._connection = None
        if response.status == 200:
            self.complete += 1
        elif answer["error"]["type"] == "stopping":
            self.refused += 1
        else:
            self.failures.append(str(answer))


def test_planned_stop_interrupts_no_request(tmp_path: pathlib.Path) -> None:
    with _cluster.Cluster(tmp_path) as cluster:
        cluster.start_table()
        cluster.start_entries(["kaai-zuid", "dokken-noord"])
        cluster.start_agent("kaai-zuid", _target.TargetOptions("print", 0))
        _waits.wait_until(
            lambda: cluster.patch(0, DOCUMENT).status in (200, 412),
            "the configuration",
        )
        cluster.wait_ready(1)
        stop = threading.Event()
        callers = [
            _Caller(cluster.balancer_port, stop) for _ in range(CALLERS)
        ]
        threads = [threading.Thread(target=c.run) for c in callers]
        for thread in threads:
            thread.start()
        _waits.wait_until(
            lambda: all(caller.complete for caller in callers),
            "a complete job of each caller",
        )
        stopped, remaining = cluster.entries
        _waits.wait_until(
            lambda: cluster.count_jobs(stopped), "a job in flight"
        )
        stopped.process.send_signal(signal.SIGTERM)
        status = stopped.process.wait(_cluster.STOP_SECONDS)
        _waits.wait_until(
            lambda: cluster.count_jobs(remaining), "a job at the other entry"
        )
        stop.set()
        for thread in threads:
            thread.join()
        assert status == 0
        assert [one for caller in callers for one in caller.failures] == []
