"""Stand-ins of the platform for the scripts of this review.

A store, workers, TCP proxies, HTTP calls and the start of the project's own
programs, as PROTOCOL.md and DEPLOY.md describe them. Only the standard library
is used. All times are of the steady clock, in seconds.
"""

import base64
import contextlib
import http.client
import http.server
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse
from collections.abc import Callable

ROOT = pathlib.Path(__file__).resolve().parents[2]
SERVICE = "print-desk"
HOST = "review.example"
PREFIX = "/queue/"
LEASE_MS = 1_000
STOP_SECONDS = 0.02
ENDS_PER_LIST = 500
SCRIPT_SECONDS = 112
now = time.monotonic


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request: object, client_address: object) -> None:
        pass


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, *arguments: object) -> None:
        pass

    def read_body(self) -> bytes:
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def reply(self, status: int, body: object) -> None:
        content = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        self.wfile.write(content)
        self.wfile.flush()


def serve(host: str, handler: type, port: int = 0) -> Server:
    server = Server((host, port), handler)
    threading.Thread(
        target=server.serve_forever,
        kwargs={"poll_interval": 0.05},
        daemon=True,
    ).start()
    return server


class Record:
    """What was sent, answered and run, written to ``record.txt``."""

    def __init__(self, path: pathlib.Path) -> None:
        self.started = now()
        self._lines: list[str] = []
        self._lock = threading.Lock()
        self._path = path

    def add(self, text: str) -> None:
        with self._lock:
            self._lines.append(f"{now() - self.started:9.3f} {text}")

    def write(self) -> None:
        with self._lock:
            self._path.write_text("\n".join(self._lines) + "\n")


class Store:
    """The platform's store: rows in tables, over HTTP."""

    def __init__(self, host: str) -> None:
        self.calls: list[tuple[float, str, str]] = []
        """When each reading call came, its path and its table."""
        self._rows: dict[tuple[str, str, str], dict] = {}
        self._version = 0
        self._changed = threading.Condition()
        store = self

        class Calls(Handler):
            def do_GET(self) -> None:
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query))
                store.calls.append((now(), url.path, query.get("table", "")))
                time.sleep(0.004)
                if url.path == "/cowslipgate/rows-get":
                    self.reply(200, store.read(query))
                elif url.path == "/cowslipgate/rows-feed":
                    self.reply(200, store.follow(query))
                else:
                    self.reply(404, {})

            def do_POST(self) -> None:
                body = json.loads(self.read_body())
                time.sleep(0.008)
                if self.path == "/cowslipgate/rows-tx":
                    self.reply(*store.write(body))
                else:
                    self.reply(404, {})

        self.server = serve(host, Calls)
        self.address = f"{host}:{self.server.server_port}"

    def put(self, table: str, key: str, value: object) -> None:
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        row = {"table": table, "part": "", "key": key, "value": encoded}
        with self._changed:
            self._put(row)

    def _put(self, row: dict, removed: bool = False) -> None:
        self._version += 1
        kept = {"value": ""} | row | {"ver": self._version}
        if removed:
            kept["removed"] = True
        self._rows[row["table"], row.get("part", ""), row["key"]] = kept
        self._changed.notify_all()

    def _envelope(self, rows: list[dict]) -> dict:
        return {
            "rows": rows,
            "ver": self._version,
            "now_ms": int(now() * 1000),
            "has_more": False,
        }

    def read(self, query: dict) -> dict:
        with self._changed:
            rows = [
                row
                for (table, part, key), row in sorted(self._rows.items())
                if table == query["table"]
                and part == query.get("part", "")
                and key >= query.get("from", "")
                and "removed" not in row
            ]
            return self._envelope(rows)

    def follow(self, query: dict) -> dict:
        after = int(query["after"])
        until = now() + min(30_000, int(query.get("wait_ms", 0))) / 1000
        with self._changed:
            while True:
                rows = sorted(
                    (
                        row
                        for (table, _, _), row in self._rows.items()
                        if table == query["table"] and row["ver"] > after
                    ),
                    key=lambda row: row["ver"],
                )
                left = until - now()
                if rows or left <= 0:
                    return self._envelope(rows)
                self._changed.wait(left)

    def write(self, body: dict) -> tuple[int, dict]:
        with self._changed:
            for row in body.get("precondition", []):
                key = row["table"], row.get("part", ""), row["key"]
                kept = self._rows.get(key, {})
                version = 0 if "removed" in kept else kept.get("ver", 0)
                if version != row["ver"]:
                    return 412, self._envelope([])
            entries = body.get("put", []) + body.get("remove", [])
            if any(row["table"] in ("op", "servers") for row in entries):
                return 403, {}
            for row in body.get("put", []):
                self._put(row)
            for row in body.get("remove", []):
                self._put(row, removed=True)
            return 200, self._envelope([])


class StoreView:
    """The store as the agents read it, with a proxy in place of an entry.

    An entry's row names the address that it listens on, so that nothing else
    can stand between it and the agents.
    """

    def __init__(self, store: Store, host: str) -> None:
        self.proxies: dict[str, str] = {}
        """Address of the proxy by that of the entry, ``host:port``."""
        view = self

        class Calls(Handler):
            def do_GET(self) -> None:
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query))
                time.sleep(0.004)
                answer = store.read(query)
                rows = [view.translate(row) for row in answer["rows"]]
                self.reply(200, answer | {"rows": rows})

        self.server = serve(host, Calls)
        self.address = f"{host}:{self.server.server_port}"

    def translate(self, row: dict) -> dict:
        proxy = self.proxies.get(row["key"])
        if row["table"] != "entries" or proxy is None:
            return row
        text = base64.b64decode(row["value"]).decode()
        value = text.replace(f"//{row['key']}", f"//{proxy}").encode()
        return row | {
            "key": proxy,
            "value": base64.b64encode(value).decode(),
        }


class Proxy:
    """Relays connections to an address.

    Open ones can go silent for good, and a cut holds up what is sent.
    """

    def __init__(self, host: str, target: str) -> None:
        self._target = target
        self.passing = threading.Event()
        """Whether there is no cut."""
        self.passing.set()
        self.answered_at = 0.0
        """When something came back last."""
        self._pairs: list[Pair] = []
        self._lock = threading.Lock()
        self._listener = socket.create_server((host, 0), backlog=256)
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            near, _ = self._listener.accept()
            host, _, port = self._target.rpartition(":")
            try:
                far = socket.create_connection((host, int(port)))
            except OSError:
                near.close()
                continue
            pair = Pair(self, near, far)
            with self._lock:
                self._pairs = [p for p in self._pairs if not p.ended]
                self._pairs.append(pair)
            pair.start()

    def silence(self) -> int:
        """Relay nothing more on open connections; return their number."""
        with self._lock:
            kept = [pair for pair in self._pairs if not pair.ended]
            for pair in kept:
                pair.silent = True
        return len(kept)


class Pair:
    """The two sockets of a relayed connection."""

    def __init__(
        self, proxy: Proxy, near: socket.socket, far: socket.socket
    ) -> None:
        self._proxy = proxy
        self._near = near
        self._far = far
        self.silent = False
        self.ended = False

    def start(self) -> None:
        for ends in ((self._near, self._far), (self._far, self._near)):
            for end in ends:
                end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._relay, args=ends, daemon=True
            ).start()

    def _relay(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(65_536):
                self._proxy.passing.wait()
                if source is self._far:
                    self._proxy.answered_at = now()
                if not self.silent:
                    sink.sendall(data)
        self._proxy.passing.wait()
        if self.silent and source is self._far:
            return
        self.ended = True
        for end in (self._near, self._far):
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)


class Run:
    def __init__(
        self, worker: str, task: str, number: int, spec: str, speed: float
    ) -> None:
        self.worker = worker
        self.task = task
        self.number = number
        self.spec = spec
        self.started_at = now()
        self.ends_at = self.started_at + float(spec) / 1000 / speed
        self.stop_at: float | None = None
        self.ended_at: float | None = None
        self.how = ""
        self.life = 0


class Worker:
    """A worker that runs tasks under a lease; ``spec`` is their length in ms.

    It registers at its side machine and accepts calls at ``address``.
    """

    def __init__(
        self,
        host: str,
        name: str,
        record: Record,
        cpu: int = 8_000,
        zone: str = "z1",
    ) -> None:
        self.host = host
        self.name = name
        self.record = record
        self.zone = zone
        self.capacity = {"cpu": cpu, "mem_mb": 32_768, "gpu": 0}
        self.control = ""
        self.runs: list[Run] = []
        self.late_starts = 0.0
        self.labels = ["a", "r1-1"]
        self.calls = 0
        """Calls that it has carried out."""
        self.speed = 1.0
        self.lost_holds = 0
        """Next calls of its lists whose answers are lost."""
        self.life = 0
        self.registered = 0
        """Last life whose heartbeat was acknowledged."""
        self._changed = threading.Condition()
        self._alive = False
        self._open: set[socket.socket] = set()
        worker = self

        class Calls(Handler):
            def setup(self) -> None:
                super().setup()
                worker._open.add(self.connection)

            def finish(self) -> None:
                worker._open.discard(self.connection)
                super().finish()

            def do_POST(self) -> None:
                body = json.loads(self.read_body())
                worker.handle(self, body)

            def do_GET(self) -> None:
                self.reply(200, {})

        self._handler = Calls
        self._start_life()
        self.server = serve(host, Calls)
        self.address = f"{host}:{self.server.server_port}"
        threading.Thread(target=self._tick, daemon=True).start()

    def _start_life(self) -> None:
        self.life += 1
        self._born = int(time.time() * 1000)
        self._began = now()
        self._fence = 0
        self._lease_end_ms = 0
        self._running: dict[tuple[str, int], Run] = {}
        self._ends: list[tuple[int, Run]] = []
        self._next_end = 1
        self._highest: dict[str, int] = {}
        self._seq = 0
        self._alive = True

    def clock_ms(self) -> int:
        return 1_000 + int((now() - self._began) * 1000)

    def join(self, control: str) -> None:
        """Register at the side machine, and go on sending heartbeats."""
        self.control = control
        threading.Thread(target=self._beat, daemon=True).start()

    def _beat(self) -> None:
        while True:
            if self._alive:
                self._seq += 1
                body = {
                    "service": SERVICE,
                    "address": self.address,
                    "zone": self.zone,
                    "version": "v1",
                    "slots": 8,
                    "state": "ready",
                    "cold_left_ms": 0,
                    "capacity": self.capacity,
                    "labels": self.labels,
                    "clock_ms": self.clock_ms(),
                    "seq": self._seq,
                    "born": self._born,
                }
                path = f"/cowslipgate/instances/{self.name}"
                life = self.life
                answer = call(self.control, "PUT", path, body, timeout=1.0)
                if answer.status == 200:
                    self.registered = life
                until = now() + (1.5 if answer.status == 200 else 0.2)
                # The next life registers at once.
                while now() < until and (life == self.life or not self._alive):
                    time.sleep(0.002)
            else:
                time.sleep(0.002)

    def handle(self, call_: Handler, body: dict) -> None:
        meant = call_.headers.get("X-Expect-Instance", "")
        path = call_.path
        with self._changed:
            if meant not in ("", self.name):
                status, reply = 421, {}
            elif body.get("fencing_token", 0) < self._fence:
                status, reply = 409, {"reason": "fence"}
            elif path == "/cowslipgate/run-start":
                self._fence = body.get("fencing_token", 0)
                status, reply = self._start(body)
            elif path == "/cowslipgate/run-stop":
                self._fence = body.get("fencing_token", 0)
                status, reply = self._stop(body)
            elif path == "/cowslipgate/hold":
                self._fence = body.get("fencing_token", 0)
                status, reply = self._hold(body)
            else:
                status, reply = 404, {}
            reply["clock_ms"] = self.clock_ms()
            self.calls += 1
            lost = path == "/cowslipgate/hold" and self.lost_holds > 0
            if lost:
                self.lost_holds -= 1
                self.record.add(f"{self.name}: the answer to a hold is lost")
        if lost:
            # The caller hears nothing more on this connection.
            call_.connection.recv(1)
            call_.close_connection = True
            return
        call_.reply(status, reply)

    def crash(self, down: float, labels: list[str]) -> None:
        """Lose all runs, be down for a time, and start again by the id."""
        with self._changed:
            self._alive = False
            for run in list(self._running.values()):
                self._end(run, "crashed")
        self.record.add(f"{self.name} crashes")
        self.server.shutdown()
        self.server.server_close()
        for sock in list(self._open):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        time.sleep(down)
        host, _, port = self.address.rpartition(":")
        with self._changed:
            self.labels = labels
            self._start_life()
        self.server = serve(host, self._handler, int(port))
        self.record.add(f"{self.name} is back, with the labels {labels}")

    def _start(self, body: dict) -> tuple[int, dict]:
        task, number = body["task"], body["run"]
        if body["until_ms"] < self.clock_ms():
            return 409, {"reason": "late"}
        if (task, number) in self._running:
            return 200, {}
        self._extend(body["until_ms"])
        if number <= self._highest.get(task, 0):
            return 409, {"reason": "old"}
        run = Run(self.name, task, number, body["spec"], self.speed)
        run.life = self.life
        self._running[task, number] = run
        self.runs.append(run)
        self.record.add(f"{self.name} starts {task} run {number}")
        return 200, {}

    def _stop(self, body: dict) -> tuple[int, dict]:
        task, number = body["task"], body["run"]
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self._running.get((task, number))
        if run is not None and run.stop_at is None:
            run.stop_at = now() + STOP_SECONDS
        return 200, {}

    def _hold(self, body: dict) -> tuple[int, dict]:
        cursor = body.get("ack_cursor", 0)
        self._ends = [end for end in self._ends if end[0] > cursor]
        self._extend(body.get("until_ms", 0))
        until = now() + min(2_000, body.get("wait_ms", 0)) / 1000
        while not self._ends and now() < until:
            self._changed.wait(until - now())
        return 200, {
            "born": self._born,
            "running": [
                [run.task, run.number, "", 100, 0]
                for run in self._running.values()
            ],
            "finished": [
                [number, run.task, run.number, run.how, ""]
                for number, run in self._ends[:ENDS_PER_LIST]
            ],
        }

    def _extend(self, until_ms: int) -> None:
        longest = self.clock_ms() + LEASE_MS
        self._lease_end_ms = max(self._lease_end_ms, min(until_ms, longest))

    def _end(self, run: Run, how: str) -> None:
        run.ended_at = now()
        run.how = how
        del self._running[run.task, run.number]
        self._highest[run.task] = max(
            self._highest.get(run.task, 0), run.number
        )
        self._ends.append((self._next_end, run))
        self._next_end += 1
        self.record.add(f"{self.name} ends {run.task} run {run.number} {how}")

    def _tick(self) -> None:
        while True:
            time.sleep(0.005)
            with self._changed:
                before = self._next_end
                lapsed = self.clock_ms() > self._lease_end_ms
                for run in list(self._running.values()):
                    if run.stop_at is not None and run.stop_at <= now():
                        self._end(run, "stopped")
                    elif run.ends_at <= now():
                        self._end(run, "done")
                    elif lapsed:
                        self._end(run, "lapsed")
                if self._next_end != before:
                    self._changed.notify_all()


class Answer:
    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        self.body = body

    def __str__(self) -> str:
        if not self.status:
            return f"no answer ({self.body.decode()})"
        return f"{self.status} {self.body.decode(errors='replace')}"


def call(
    address: str,
    method: str,
    path: str,
    body: object = None,
    headers: dict[str, str] | None = None,
    timeout: float = 5.0,
) -> Answer:
    """Make one HTTP call on a connection of its own; status 0 is none."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    content = b"" if body is None else json.dumps(body).encode()
    sent = {"Content-Type": "application/json"} | (headers or {})
    try:
        connection.request(method, path, content, sent)
        answer = connection.getresponse()
        return Answer(answer.status, answer.read())
    except (OSError, http.client.HTTPException) as error:
        return Answer(0, type(error).__name__.encode())
    finally:
        connection.close()


def build_route(name: str, prefix: str, priority: int) -> dict:
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": "unsafe",
        "timeout_ms": 30_000,
        "target_latency_ms": 60,
        "slowdown_factor": 1.6,
        "priority": priority,
        "max_attempts": 4,
        "service": SERVICE,
    }


def build_configuration(version: int = 1, *more: dict) -> dict:
    return {
        "version": version,
        "routes": [build_route("queue", PREFIX, 1), *more],
        "services": [{"name": SERVICE, "health_path": "/healthz"}],
        "limits": {"max_body_bytes": 262_144},
    }


def pick_port(host: str) -> int:
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Program:
    """One program of the deploy file, as a process."""

    def __init__(
        self, role: str, settings: pathlib.Path, log: pathlib.Path
    ) -> None:
        self.role = role
        self._settings = settings
        self._log = log
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["COWSLIPGATE_CONFIG"] = str(self._settings)
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                [
                    "python3",
                    "-S",
                    "-P",
                    "-m",
                    "cowslipgate_platform",
                    self.role,
                ],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        self.process.send_signal(number)

    def end(self) -> None:
        if self.process is None or self.process.poll() is not None:
            return
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        self.process.wait()


class Deployment:
    """Entries, agents with a worker each, and the store, on loopback."""

    def __init__(
        self,
        record: Record,
        entries: int,
        agents: int,
        cpu: int = 8_000,
        routes: tuple[dict, ...] = (),
        cut_entry: bool = False,
    ) -> None:
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        # The port of the metrics is fixed, so each program has an address.
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.store = Store(f"{net}.250")
        # All programs reach the store by this proxy.
        self.store_link = Proxy(f"{net}.250", self.store.address)
        self.store.put("op", "config", build_configuration(1, *routes))
        # Between the first entry and the agents, if that path is to be cut.
        self.entry_link: Proxy | None = None
        self._view: StoreView | None = None
        if cut_entry:
            self._view = StoreView(self.store, f"{net}.251")
        self._net = net
        self._controls: list[str] = []
        self.entries: list[Program] = []
        self.agents: list[Program] = []
        self.workers: list[Worker] = []
        self.fronts: list[str] = []
        self._ready: list[str] = []
        hosts = [f"{net}.{number}" for number in range(1, entries + 1)]
        listens = [
            {
                "front": f"{host}:{pick_port(host)}",
                "ready": f"{host}:{pick_port(host)}",
                "control": f"{host}:{pick_port(host)}",
            }
            for host in hosts
        ]
        seeds = [listen["control"] for listen in listens]
        self._controls = list(seeds)
        for number, (host, listen) in enumerate(zip(hosts, listens), 1):
            self.fronts.append(listen["front"])
            self._ready.append(listen["ready"])
            self.entries.append(
                self._prepare(
                    "entry", f"edge-{number}", "edge", host, listen, seeds
                )
            )
        if cut_entry:
            # Seeds that are down: they would name the entry itself.
            seeds = [f"{net}.252:9"]
        for number in range(1, agents + 1):
            host = f"{net}.{100 + number}"
            worker = Worker(host, f"i-{number:08x}", record, cpu)
            control = f"{host}:{pick_port(host)}"
            self.workers.append(worker)
            self.agents.append(
                self._prepare(
                    "agent",
                    f"side-{number}",
                    "side",
                    host,
                    {"control": control},
                    seeds,
                    {"app": worker.address, "service": SERVICE},
                )
            )
            worker.control = control

    def _prepare(
        self,
        role: str,
        name: str,
        kind: str,
        host: str,
        listen: dict[str, str],
        seeds: list[str],
        more: dict[str, str] | None = None,
    ) -> Program:
        port = pick_port(host)
        serves = ["edge", "control"] if role == "entry" else ["side"]
        store = self.store_link.address
        if role == "agent" and self._view is not None:
            store = self._view.address
        top = {
            "node_name": name,
            "role": role,
            "machine_class": kind,
            "serves": serves,
            "ip": host,
            "zone": "z1",
            "region": "r1",
            "internal_ports": [port, min(65_535, port + 15)],
            "seeds": seeds,
            "bootstrap": True,
            "heartbeat_ms": 1_500,
            "orders": "invocation",
        } | (more or {})
        tables = {
            "listen": listen,
            "bounds": {
                "contact_ms": 3_000,
                "ack_ms": 4_000,
                "grace_s": 6,
                "config_apply_ms": 2_000,
                "hold_max_ms": LEASE_MS,
                "stop_ms": 50,
                "cancel_ms": 3_000,
                "visible_ms": 3_000,
                "resend_ms": 1_300,
                "remote_factor": 1.5,
            },
            "platform": {"address": store, "form": "table"},
        }
        lines = [f"{key} = {json.dumps(value)}" for key, value in top.items()]
        for table, fields in tables.items():
            lines.append(f"[{table}]")
            lines += [f"{k} = {json.dumps(v)}" for k, v in fields.items()]
        path = self.folder / f"{name}.toml"
        path.write_text("\n".join(lines) + "\n")
        return Program(role, path, self.folder / f"{name}.log")

    def start(self, timeout: float = 20.0) -> bool:
        """Start all programs; return whether they are ready to work."""
        until = now() + timeout
        for program in self.entries:
            program.start()
        if self._view is not None and not self._link_entry(until):
            return False
        for program in self.agents:
            program.start()
        for worker in self.workers:
            worker.join(worker.control)
        for address in self._ready:
            while now() < until:
                if call(address, "GET", "/cowslipgate/readyz").status == 200:
                    break
                time.sleep(0.1)
        while now() < until:
            # Each entry knows the agents once it has served a small job.
            if all(self._serves(front) for front in self.fronts):
                time.sleep(2.0)
                return True
        return False

    def _link_entry(self, until: float) -> bool:
        """Put a proxy before the first entry, once all know each other."""
        while now() < until:
            lists = [
                call(control, "GET", "/v1/members", timeout=1.0)
                for control in self._controls
            ]
            if all(
                answer.status == 200
                and len(json.loads(answer.body)) == len(self.entries)
                for answer in lists
            ):
                break
            time.sleep(0.1)
        host = f"{self._net}.1:"
        for row in self.store.read({"table": "entries"})["rows"]:
            if row["key"].startswith(host):
                self.entry_link = Proxy(f"{self._net}.240", row["key"])
                self._view.proxies[row["key"]] = self.entry_link.address
        return self.entry_link is not None

    def _serves(self, front: str) -> bool:
        answer = submit(front, make_id(), [step(1, 10)], 2_000)
        return answer.status == 200

    def close(self) -> None:
        for program in (*self.entries, *self.agents):
            with contextlib.suppress(OSError):
                program.end()
        for path in sorted(self.folder.glob("*.log")):
            if os.environ.get("REVIEW_LOGS"):
                print(f"== {path.name}\n{path.read_text()}", file=sys.stderr)
            path.unlink()
        for path in self.folder.iterdir():
            path.unlink()
        self.folder.rmdir()


class OutOfTime(Exception):
    """The script was stopped, by its limit of time or from outside."""


def stop_script(*arguments: object) -> None:
    raise OutOfTime


def run_check(
    folder: pathlib.Path,
    judge: Callable[[Deployment, Record], int],
    entries: int,
    agents: int,
    cpu: int = 8_000,
    routes: tuple[dict, ...] = (),
    kinds: tuple[str, ...] = (),
) -> int:
    """Start a deployment and judge it; return the script's exit status.

    :param judge: returns 1 if the rule was broken, 0 if it held
    :param kinds: kinds of the first workers; the others are of kind ``a``
    """
    signal.signal(signal.SIGALRM, stop_script)
    signal.signal(signal.SIGTERM, stop_script)
    signal.alarm(SCRIPT_SECONDS)
    record = Record(folder / "record.txt")
    deployment = Deployment(record, entries, agents, cpu, routes)
    for worker, kind in zip(deployment.workers, kinds):
        worker.labels = [kind, "r1-1"]
    try:
        if deployment.start():
            return judge(deployment, record)
        record.add("the deployment was not ready in time")
    except OutOfTime:
        record.add("stopped before the end")
    finally:
        signal.alarm(0)
        deployment.close()
        record.write()
    return 2


def make_id() -> str:
    return f"{random.getrandbits(64):016x}"


def step(count: int, estimated_ms: int, cpu: int = 1_000) -> dict:
    return {
        "count": count,
        "cpu": cpu,
        "mem_mb": 64,
        "estimated_ms": estimated_ms,
    }


def build_job(steps: list[dict], length_ms: int) -> dict:
    return {"spec": str(length_ms), "best_effort": True, "steps": steps}


def submit(
    front: str,
    name: str,
    steps: list[dict],
    deadline_ms: int,
    length_ms: int = 10,
    prefix: str = PREFIX,
) -> Answer:
    """Submit a job as a client does and wait for its answer."""
    return call(
        front,
        "POST",
        f"{prefix}{name}",
        build_job(steps, length_ms),
        {"Host": HOST, "X-Deadline-Ms": str(deadline_ms)},
        deadline_ms / 1000,
    )
