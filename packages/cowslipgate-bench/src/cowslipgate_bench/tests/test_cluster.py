"""Tests of the deployment's waits and ports."""

import http.client
import socket

from cowslipgate_bench import _cluster
from cowslipgate_bench import _waits
import pytest


def test_wait_goes_on_after_a_lost_connection() -> None:
    errors = [http.client.RemoteDisconnected(), ConnectionRefusedError()]

    def check() -> bool:
        if errors:
            raise errors.pop()
        return True

    _waits.wait_until(check, "an answer")
    assert errors == []


def test_chosen_port_is_reserved_and_can_be_served() -> None:
    (port,) = _cluster.choose_ports(1)
    with socket.socket() as other:
        with pytest.raises(OSError, match="in use"):
            other.bind((_cluster.HOST, port))
    with socket.create_server((_cluster.HOST, port)):
        socket.create_connection((_cluster.HOST, port)).close()
