"""Tests of the deployment's helpers."""

import http.client

from cowslipgate_bench import _cluster


def test_waiting_outlasts_a_lost_connection() -> None:
    errors = [http.client.RemoteDisconnected(), ConnectionRefusedError()]

    def check() -> bool:
        if errors:
            raise errors.pop()
        return True

    _cluster.wait_until(check, "an answer")
    assert errors == []
