"""Tests of how the HTTP client tells a refused connection from others."""

import socket

import pytest

import cowslipgate_transport as transport
from cowslipgate_transport.tests import connect_builders


def test_port_at_which_nothing_listens_refuses_the_connection() -> None:
    harness = connect_builders.ClientHarness()
    problem = harness.call(connect_builders.find_closed_port())
    assert problem is transport.CallProblem.REFUSED


# Guards against a server that counts as gone because this side has no free
# file or port.
@pytest.mark.parametrize(
    "replacement",
    [connect_builders.raise_no_free_file, connect_builders.FailingSocket],
)
def test_error_of_this_side_is_no_refused_connection(
    monkeypatch: pytest.MonkeyPatch, replacement: object
) -> None:
    harness = connect_builders.ClientHarness()
    port = connect_builders.find_closed_port()
    monkeypatch.setattr(socket, "socket", replacement)
    assert harness.call(port) is transport.CallProblem.UNREACHABLE
