"""Harness for tests of callers that hang up, with real HTTP connections."""

import contextlib
import socket
import struct
import threading

import circuits
from circuits.core import events
from circuits.core import pollers
import cowslipgate_core as core
import cowslipgate_transport as transport

from cowslipgate_entry import _events
from cowslipgate_entry.agents import _dispatcher
from cowslipgate_entry.callers import _job_responder
from cowslipgate_entry.callers import _requests
from cowslipgate_entry.tests import builders

REQUEST = b"POST /job HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER after which a closed connection is reset."""

MAX_POLLS = 200
READ_SIZE = 65_536


class _Front(circuits.BaseComponent):
    """Submits a job of one task for each request."""

    channel = _events.GATEWAY

    @circuits.handler("http_requested")
    def _on_http_requested(self, exchange: transport.Exchange) -> None:
        request = core.JobRequest((core.TaskRequest(),))
        submission = _requests.Submission(
            exchange, "hall", "print", request, "", ""
        )
        self.fire(_events.submit_job(submission), _dispatcher.CHANNEL)


class CallerHarness:
    """An HTTP server, a dispatcher and recorded sends to agents.

    The event loop runs step by step, so that tests choose what is read when.
    """

    def __init__(self) -> None:
        self.clock = core.ManualClock()
        self.root = circuits.BaseComponent(channel="root")
        pollers.EPoll().register(self.root)
        self.outbox = builders.Outbox().register(self.root)
        self.ledger = core.Ledger(core.LateBinding())
        _dispatcher.Dispatcher(
            self.ledger, builders.MEMBER, self.clock
        ).register(self.root)
        codec = _job_responder.ApiAnswerCodec()
        _job_responder.JobResponder(codec).register(self.root)
        _Front().register(self.root)
        self.server = transport.HttpServer(
            ("127.0.0.1", 0),
            _events.GATEWAY,
            self.clock,
            transport.ServerLimits(),
        ).register(self.root)
        self._stack = contextlib.ExitStack()
        configuration = core.parse_configuration(1, builders.DOCUMENT)
        event = _events.configuration_adopted(configuration)
        self.root.fire(event, _dispatcher.CHANNEL)
        self.flush_all()

    def poll(self) -> None:
        """Ask for readable sockets, without waiting."""
        event = events.generate_events(threading.RLock(), 0.0)
        self.root.fire(event, "*")
        # A tick also goes on with the accepting of connections.
        self.root.tick()

    def flush_all(self) -> None:
        """Process every event that is queued and all that follow."""
        while len(self.root):
            self.root.flush()

    def run(self, polls: int = 10) -> None:
        """Poll and process all events, several times."""
        for _ in range(polls):
            self.poll()
            self.flush_all()

    def connect(self) -> socket.socket:
        """Return a caller's connection that the server has accepted."""
        address = ("127.0.0.1", self.server.port)
        before = self.server.connections
        sock = self._stack.enter_context(socket.create_connection(address))
        for _ in range(MAX_POLLS):
            if self.server.connections > before:
                return sock
            self.run(1)
        raise AssertionError("timed out: connected")

    def start_agent(self) -> None:
        """Deliver a report of an agent, before any socket is read."""
        self.deliver(builders.build_report())

    def finish_task(self, attempt: int) -> None:
        """Deliver the result of an attempt."""
        report = core.AttemptReport(attempt, core.Outcome.FINISHED)
        self.deliver(build_results(report))

    def deliver(self, *messages: object) -> None:
        """Deliver messages of an agent, before any socket is read."""
        for message in messages:
            event = transport.message_received(b"", message)
            self.root.fire(event, _dispatcher.AGENTS_CHANNEL)
        self.flush_all()

    def read_status(self, sock: socket.socket) -> int:
        """Read one answer and return its status."""
        self.run()
        sock.setblocking(False)
        return int(sock.recv(READ_SIZE).split()[1])

    def close(self) -> None:
        """Close every socket."""
        self._stack.close()
        self.root.fire(events.stopped(self.root), "*")
        self.run()


def build_results(report: core.AttemptReport) -> core.Results:
    """Return the message of an agent with one outcome."""
    return core.Results("agent-1", 1, core.Load(8, 0, 0), (report,))


def hang_up(sock: socket.socket, reset: bool) -> None:
    """Close or reset a caller's connection."""
    if reset:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    sock.close()
