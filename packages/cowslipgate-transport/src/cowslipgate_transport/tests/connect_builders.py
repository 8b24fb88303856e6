"""Harness for tests of the HTTP client with real sockets."""

import contextlib
import errno
import os
import socket
import threading
import time

import circuits
from circuits.core import events
from circuits.core import pollers

import cowslipgate_core as core
import cowslipgate_transport as transport

CHANNEL = "called"
LIMIT_SECONDS = 10.0
ROUND_SECONDS = 0.005


class FailingSocket(socket.socket):
    """A socket that has no port of its own left to connect from."""

    def connect_ex(self, address: object) -> int:
        """Return the error of a machine without free ports."""
        return errno.EADDRNOTAVAIL


class ClientHarness:
    """An HTTP client and the failures of its calls."""

    def __init__(self) -> None:
        self.clock = core.ManualClock()
        self.root = circuits.BaseComponent(channel="root")
        poller = pollers.EPoll().register(self.root)
        transport.HttpClient(CHANNEL, poller, self.clock).register(self.root)
        self.recorder = _FailureRecorder().register(self.root)

    def call(self, port: int) -> transport.CallProblem:
        """Call a port of this machine, and return why it failed."""
        address = transport.Address("127.0.0.1", port)
        call = transport.Call(1, address, "GET", "/")
        self.root.fire(transport.call_http(call), CHANNEL)
        deadline = time.monotonic() + LIMIT_SECONDS
        while time.monotonic() < deadline:
            if self.recorder.failures:
                return self.recorder.failures.pop().problem
            if not len(self.root):
                event = events.generate_events(
                    threading.RLock(), ROUND_SECONDS
                )
                self.root.fire(event, "*")
            self.root.tick()
        raise AssertionError(f"no failure in {LIMIT_SECONDS} s")


class _FailureRecorder(circuits.BaseComponent):
    channel = "recorder"

    def __init__(self) -> None:
        super().__init__()
        self.failures: list[transport.CallFailure] = []

    @circuits.handler("http_failed", channel=CHANNEL)
    def _on_http_failed(self, failure: transport.CallFailure) -> None:
        self.failures.append(failure)


def raise_no_free_file(*arguments: object) -> None:
    """Take the place of ``socket`` in a process with too many open files."""
    raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))


def find_closed_port() -> int:
    """Return a port of this machine at which nothing listens."""
    with contextlib.closing(socket.create_server(("127.0.0.1", 0))) as sock:
        return sock.getsockname()[1]
