"""Builders for tests of the agent's calls of its target."""

from collections.abc import Callable
import contextlib
import datetime
import socket
import threading

import circuits
from circuits.core import events
from circuits.core import pollers

from cowslipgate_agent import _events
from cowslipgate_agent import _target_calls
import cowslipgate_core as core
import cowslipgate_transport as transport

ROUNDS = 2_000
ROUND_SECONDS = 0.005
READ_SIZE = 65_536
TASK_TIMEOUT = datetime.timedelta(seconds=60)


class Recorder(circuits.BaseComponent):
    """Recorder of the reports that the runner would receive."""

    channel = "runner"

    def __init__(self) -> None:
        super().__init__()
        self.reports: list[core.AttemptReport] = []

    @circuits.handler("task_ended")
    def _on_task_ended(
        self, key: core.AttemptKey, report: core.AttemptReport
    ) -> None:
        self.reports.append(report)


class FakeTarget:
    """A target that the test drives at the level of sockets."""

    def __init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.port = self.sock.getsockname()[1]
        self.connections: list[socket.socket] = []
        self.received: dict[socket.socket, bytes] = {}

    def poll(self) -> None:
        """Accept connections and read what has arrived."""
        # An OSError means that no connection waits or the socket is closed.
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.sock.accept()
                connection.setblocking(False)
                self.connections.append(connection)
                self.received[connection] = b""
        for connection in self.connections:
            with contextlib.suppress(BlockingIOError, OSError):
                self.received[connection] += connection.recv(READ_SIZE)

    def find(self, method: str) -> list[socket.socket]:
        """Return the connections with an unanswered request of ``method``."""
        return [
            connection
            for connection, data in self.received.items()
            if data.startswith(method.encode())
        ]

    def answer(
        self, connection: socket.socket, task: str, body: bytes = b"1"
    ) -> None:
        """Answer the request on a connection."""
        self.received[connection] = b""
        head = f"HTTP/1.1 200 OK\r\nTask-Id: {task}\r\n"
        size = f"Content-Length: {len(body)}\r\n\r\n"
        connection.sendall((head + size).encode() + body)

    def close(self) -> None:
        """Close every socket."""
        for connection in self.connections:
            connection.close()
        self.sock.close()


class CallsHarness:
    """The agent's calls of targets, run round by round without a thread."""

    def __init__(self) -> None:
        self.clock = core.ManualClock()
        self.root = circuits.BaseComponent(channel="root")
        poller = pollers.EPoll().register(self.root)
        channel = _target_calls.CHANNEL
        transport.HttpClient(channel, poller, self.clock).register(self.root)
        _target_calls.TargetCalls(self.clock, TASK_TIMEOUT).register(self.root)
        self.recorder = Recorder().register(self.root)
        self.targets: list[FakeTarget] = []

    @property
    def outcomes(self) -> list[tuple[core.Outcome, core.Reason]]:
        """Outcomes and reasons reported so far."""
        return [(r.outcome, r.reason) for r in self.recorder.reports]

    def add_target(self) -> FakeTarget:
        """Return a new target."""
        target = FakeTarget()
        self.targets.append(target)
        return target

    def start(
        self,
        attempt: int,
        port: int,
        connections: int = 64,
        kind: str = "tag",
    ) -> core.StartTask:
        """Ask for a task to be started at a port."""
        order = core.Order(attempt, f"job.0.{attempt}", kind, b"{}")
        start = core.StartTask(core.AttemptKey(7, attempt), order)
        announcement = core.Announcement(
            "print", f"http://127.0.0.1:{port}", 8, connections
        )
        event = _events.start_task(start, announcement)
        self.root.fire(event, _target_calls.CHANNEL)
        return start

    def stop(self, start: core.StartTask) -> None:
        """Ask for a task to be stopped."""
        stop = core.StopTask(start.key, start.order.task)
        self.root.fire(_events.stop_task(stop), _target_calls.CHANNEL)

    def run_round(self) -> None:
        """Run one round of components and targets."""
        if not len(self.root):
            event = events.generate_events(threading.RLock(), ROUND_SECONDS)
            self.root.fire(event, "*")
        self.root.tick()
        for target in self.targets:
            target.poll()

    def run_until(self, check: Callable[[], object], what: str) -> None:
        """Run rounds until ``check`` is true."""
        for _ in range(ROUNDS):
            if check():
                return
            self.run_round()
        raise AssertionError(f"not reached in {ROUNDS} rounds: {what}")

    def advance(self, seconds: float) -> None:
        """Advance the clock and check the timeouts of the calls."""
        self.clock.advance(datetime.timedelta(seconds=seconds))
        self.root.fire(transport.check_calls(), _target_calls.CHANNEL)
        for _ in range(10):
            self.run_round()

    def close(self) -> None:
        """Close every socket of the targets."""
        for target in self.targets:
            target.close()
