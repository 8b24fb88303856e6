"""Test double of a target: answers a task after its true size has passed.

The payload is ``{"true_ms": 120, "text": "..."}``; other payloads take no
time. Each start is written to the journal before anything else happens.
"""

import datetime
import heapq
import itertools
import json
import pathlib

import attrs
import circuits
from circuits.core import pollers
import cowslipgate_core as core
import cowslipgate_transport as transport
import msgspec

CHANNEL = "target"
CLIENT_CHANNEL = "announcer"
ANNOUNCE_SECONDS = 2.0
HTTP_OK = 200
HTTP_FAILED = 500
HTTP_STOPPED = 410


@attrs.frozen
class TargetOptions:
    """Options of the target."""

    service: str
    """Service whose tasks the target runs."""

    agent_port: int
    """Loopback port of its agent."""

    slots: int = 8
    """Announced number of tasks that may run at once."""

    connections: int = 64
    """Announced number of connections that may be open."""

    speed: float = 1.0
    """Factor by which run times are divided."""

    failing: bool = False
    """Whether every task fails immediately with status 500."""

    memory_mb: int = 128_000
    """Announced memory in MB."""

    accelerators: int = 0
    """Announced number of accelerators."""

    advertised_port: int = 0
    """Announced port, or 0 for the port that the target serves on."""

    crossed: bool = False
    """Whether answers carry another task's id (a fault)."""

    journal: str = ""
    """File to which starts, ends and stops are appended, or empty."""


class Payload(msgspec.Struct):
    """Fields that the target reads from a task's payload."""

    true_ms: float = 0.0
    """Run time at speed 1 in milliseconds."""

    token: str = ""
    """Name of the task in the journal, in addition to its id."""


class announce(circuits.Event):
    """Fired to announce the target to its agent."""


class Target(circuits.BaseComponent):
    """Component that holds the running tasks and answers requests."""

    channel = CHANNEL

    def __init__(self, options: TargetOptions, clock: core.Clock) -> None:
        super().__init__()
        self._options = options
        self._clock = clock
        self._numbers = itertools.count(1)
        self._ends: list[tuple[datetime.datetime, int, str]] = []
        self._running: dict[str, transport.Exchange] = {}
        self._address = ""
        self._journal = None
        if options.journal:
            self._journal = pathlib.Path(options.journal).open("a")

    def set_address(self, port: int) -> None:
        """Set the announced address; the target serves on ``port``."""
        port = self._options.advertised_port or port
        self._address = f"http://127.0.0.1:{port}"

    @circuits.handler("http_requested")
    def _on_http_requested(self, exchange: transport.Exchange) -> None:
        if exchange.path == "/run" and exchange.method == "POST":
            self._start(exchange)
        elif exchange.method == "DELETE":
            task = exchange.path.removeprefix("/run/")
            running = self._running.pop(task, None)
            if running is not None:
                self._record_event("stop", task)
                self._answer(running, task, HTTP_STOPPED, b'"stopped"')
            self._answer(exchange, task, HTTP_OK, b"{}")
        else:
            self._answer(exchange, "", 404, b"{}")

    @circuits.handler("http_abandoned")
    def _on_http_abandoned(self, exchange: transport.Exchange) -> None:
        task = exchange.headers.get("task-id", "")
        if self._running.get(task) is exchange:
            del self._running[task]

    @circuits.handler("generate_events", channel="*")
    def _on_generate_events(self, event: circuits.Event) -> None:
        now = self._clock.now()
        if self._finish_due_tasks(now):
            # Send the answers just fired without waiting for another event.
            event.reduce_time_left(0)
        if self._ends:
            left = self._ends[0][0] - now
            event.reduce_time_left(left.total_seconds())

    def _finish_due_tasks(self, now: datetime.datetime) -> bool:
        finished = False
        while self._ends and self._ends[0][0] <= now:
            finished = True
            task = heapq.heappop(self._ends)[2]
            exchange = self._running.pop(task, None)
            if exchange is not None:
                self._record_event("end", task)
                payload = msgspec.json.decode(exchange.body)
                body = json.dumps({"task": task, "echo": payload}).encode()
                self._answer(exchange, task, HTTP_OK, body)
        return finished

    @circuits.handler("announce")
    def _on_announce(self) -> None:
        options = self._options
        announcement = core.Announcement(
            options.service,
            self._address,
            options.slots,
            options.connections,
            core.Resources(options.memory_mb, options.accelerators),
        )
        call = transport.Call(
            next(self._numbers),
            transport.Address("127.0.0.1", options.agent_port),
            "PUT",
            "/v1/target",
            body=msgspec.json.encode(announcement),
        )
        self.fire(transport.call_http(call), CLIENT_CHANNEL)

    def _start(self, exchange: transport.Exchange) -> None:
        task = exchange.headers.get("task-id", "")
        try:
            payload = msgspec.json.decode(exchange.body, type=Payload)
        except msgspec.MsgspecError:
            payload = Payload()
        self._record_event("start", task, payload.token)
        if self._options.failing:
            self._answer(exchange, task, HTTP_FAILED, b'"broken"')
            return
        self._running[task] = exchange
        duration = datetime.timedelta(
            milliseconds=payload.true_ms / self._options.speed
        )
        end = self._clock.now() + duration
        heapq.heappush(self._ends, (end, next(self._numbers), task))

    def _record_event(self, event: str, task: str, token: str = "") -> None:
        if self._journal is not None:
            now = self._clock.now().timestamp()
            line = {"event": event, "task": task, "token": token, "at": now}
            self._journal.write(json.dumps(line) + "\n")
            self._journal.flush()

    def _answer(
        self,
        exchange: transport.Exchange,
        task: str,
        status: int,
        body: bytes,
    ) -> None:
        if self._options.crossed:
            task = f"other-{task}"
        answer = transport.Answer(status, body, {"Task-Id": task})
        self.fire(transport.answer_http(exchange, answer))


def run_target(options: TargetOptions) -> None:
    """Serve the target on a port that the system assigns and print it."""
    process = circuits.Component()
    poller = pollers.EPoll().register(process)
    clock = core.SystemClock()
    server = transport.HttpServer(
        ("127.0.0.1", 0), CHANNEL, clock, transport.ServerLimits()
    )
    server.register(process)
    transport.HttpClient(CLIENT_CHANNEL, poller, clock).register(process)
    target = Target(options, clock).register(process)
    target.set_address(server.port)
    target.fire(announce())
    circuits.Timer(
        ANNOUNCE_SECONDS, announce(), CHANNEL, persist=True
    ).register(process)
    print(server.port, flush=True)
    process.run()
