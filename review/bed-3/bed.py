"""Small deployment of the project's programs, with stand-ins around them.

Entries and agents are started with the commands of the deploy file, each on
its own loopback address. The store, the workers and the clients are threads of
this process. Only the standard library is used.
"""

import base64
import http.client
import http.server
import json
import os
import pathlib
import random
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]

FRONT = 8161
APP = 8165
CONTROL = 8166
READY = 8167
STORE = 8169
METRICS = 9464
INTERNAL = (7720, 7735)
PORTS = (FRONT, APP, CONTROL, READY, STORE, METRICS, INTERNAL[0])

HOLD_MAX_MS = 1000
HEARTBEAT_S = 1.5
GRACE_S = 6
SERVICE = "print-desk"
HOST = "desk.example"
PREFIX = "/jobs1/"
ROUTE_TIMEOUT_MS = 1500
CPU = 32000
SPARE_ADDRESSES = 4


class CaseError(Exception):
    """The case could not be run."""


class Record:
    """Lines of ``record.txt``, with the time since its start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        with self._lock:
            self._file.write(f"{self.now():8.3f}  {text}\n")
            self._file.flush()


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, *arguments):
        pass

    def _serve(self):
        size = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(size)
        answer = self.server.owner.serve(
            self.command, self.path, self.headers, body
        )
        if answer is None:
            self.close_connection = True
            return
        status, value = answer
        data = json.dumps(value).encode()
        try:
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)
            self.wfile.flush()
        except OSError:
            self.close_connection = True

    do_GET = do_POST = do_PUT = do_DELETE = _serve

    def handle(self):
        try:
            super().handle()
        except OSError:
            pass


def _serve(owner, ip, port):
    server = _Server((ip, port), _Handler)
    server.owner = owner
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


class Store:
    """The platform's store: rows in tables, transactions and feeds."""

    def __init__(self, ip, record):
        self._record = record
        self._changed = threading.Condition()
        self._rows = {}
        self._ver = 0
        self.down = ""
        """"busy" answers 503, "silent" nothing, empty serves."""
        _serve(self, ip, STORE)

    def put(self, table, key, value):
        """Write a row as the operator does."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        with self._changed:
            self._put(table, key, data)
            self._changed.notify_all()

    def list_keys(self, table):
        """Return the keys of a table's rows."""
        with self._changed:
            return [
                key
                for (name, key), row in self._rows.items()
                if name == table and not row.get("removed")
            ]

    def _put(self, table, key, value, removed=False):
        self._ver += 1
        row = {
            "table": table,
            "part": "",
            "key": key,
            "value": value,
            "ver": self._ver,
        }
        if removed:
            row["removed"] = True
        self._rows[table, key] = row

    def serve(self, method, path, headers, body):
        if self.down == "busy":
            return 503, {}
        if self.down == "silent":
            while self.down == "silent":
                time.sleep(0.05)
            return None
        path, _, query = path.partition("?")
        fields = dict(
            pair.split("=", 1) for pair in query.split("&") if "=" in pair
        )
        time.sleep(0.004)
        if path == "/cowslipgate/rows-tx":
            return self._transact(json.loads(body))
        if path == "/cowslipgate/rows-get":
            return self._get(fields)
        if path == "/cowslipgate/rows-feed":
            return self._feed(fields)
        return 404, {}

    def _answer(self, rows):
        now_ms = int(time.monotonic() * 1000)
        return 200, {
            "rows": rows,
            "has_more": False,
            "ver": self._ver,
            "now_ms": now_ms,
        }

    def _transact(self, body):
        with self._changed:
            for row in body.get("precondition", ()):
                present = self._rows.get((row["table"], row["key"]), {})
                ver = 0 if present.get("removed") else present.get("ver", 0)
                if ver != row["ver"]:
                    return 412, {"rows": [present] if ver else []}
            for row in body.get("put", ()):
                self._put(row["table"], row["key"], row["value"])
            for row in body.get("remove", ()):
                self._put(row["table"], row["key"], "", removed=True)
            self._changed.notify_all()
            return self._answer([])

    def _get(self, fields):
        with self._changed:
            rows = [
                row
                for (table, key), row in sorted(self._rows.items())
                if table == fields["table"]
                and not row.get("removed")
                and key >= fields.get("from", "")
            ]
            return self._answer(rows)

    def _feed(self, fields):
        after = int(fields["after"])
        until = time.monotonic() + int(fields.get("wait_ms", 0)) / 1000
        with self._changed:
            while True:
                rows = [
                    row
                    for (table, _), row in self._rows.items()
                    if table == fields["table"] and row["ver"] > after
                ]
                left = until - time.monotonic()
                if rows or left <= 0 or self.down:
                    break
                self._changed.wait(min(left, 0.1))
            rows.sort(key=lambda row: row["ver"])
            return self._answer(rows)


class StoreLink:
    """Path of one machine to the store, which can be cut.

    A cut is silent: calls get no answer and connections stay open.
    """

    def __init__(self, ip, store):
        self._store = store
        self.cut = False
        self.list_read_at = 0.0
        """When the machine last read the list of entries."""
        _serve(self, ip, STORE)

    def serve(self, method, path, headers, body):
        while self.cut:
            time.sleep(0.02)
        answer = self._store.serve(method, path, headers, body)
        while self.cut:
            time.sleep(0.02)
        if path.startswith("/cowslipgate/rows-get") and "entries" in path:
            self.list_read_at = time.monotonic()
        return answer


class Run:
    """One run of a task, as the worker saw it."""

    def __init__(self, worker, task, number, lasts, cpu=0):
        self.worker = worker
        self.task = task
        self.number = number
        self.lasts = lasts
        self.started = time.monotonic()
        self.woken = 0.0
        """When its machine woke from a suspension."""
        self.ended = None
        self.how = ""

    @property
    def job(self):
        return self.task.split(".")[0]


class Worker:
    """A worker on a side machine, under one id for its whole life.

    The spec of a task is its run time in milliseconds.
    """

    def __init__(self, number, ip, zone, record, runs):
        self.id = f"i-{number:04x}{random.randrange(16**8):08x}"
        self._ip = ip
        self._zone = zone
        self._number = number
        self._record = record
        self._born = int(time.time() * 1000)
        self._clock = time.monotonic() - 1.0
        self._changed = threading.Condition()
        self._runs = runs
        self._running = {}
        self._ended = []
        self._highest = {}
        self._next_end = 1
        self._fence = 0
        self._lease_end = 0.0
        self._seq = 0
        self.state = "ready"
        self.stopped = False
        self._suspended_at = 0.0
        _serve(self, ip, APP)
        threading.Thread(target=self._tick, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def _clock_ms(self):
        return int((time.monotonic() - self._clock) * 1000)

    def _beat(self):
        while not self.stopped:
            self._wait_awake()
            self.beat()
            time.sleep(HEARTBEAT_S)

    def suspend(self):
        """Stand still, with the clock and all runs, as the machine does."""
        with self._changed:
            self._suspended_at = time.monotonic()

    def resume(self):
        """Go on; neither the clock nor a run has seen the suspension."""
        with self._changed:
            now = time.monotonic()
            self._clock += now - self._suspended_at
            for run in self._running.values():
                run.lasts += now - self._suspended_at
                run.woken = now
            self._suspended_at = 0.0

    def _wait_awake(self):
        while self._suspended_at:
            time.sleep(0.001)

    def beat(self):
        """Send a heartbeat; return the status, or 0 without an answer."""
        self._seq += 1
        body = {
            "service": SERVICE,
            "address": f"{self._ip}:{APP}",
            "zone": self._zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_left_ms": 0,
            "capacity": {"cpu": CPU, "mem_mb": 131072, "gpu": 0},
            "labels": ["a", f"r1-{self._number // 3}"],
            "clock_ms": self._clock_ms(),
            "seq": self._seq,
            "born": self._born,
        }
        reply = call(
            (self._ip, CONTROL),
            "PUT",
            f"/cowslipgate/instances/{self.id}",
            body,
            timeout=1.0,
        )
        return reply.status

    def _tick(self):
        while not self.stopped:
            time.sleep(0.005)
            now = time.monotonic()
            with self._changed:
                if self._suspended_at:
                    continue
                if self._running and self._clock_ms() > self._lease_end:
                    for run in list(self._running.values()):
                        self._end(run, "lapsed")
                for run in list(self._running.values()):
                    if now >= run.started + run.lasts:
                        self._end(run, "done")

    def _end(self, run, how):
        run.ended = time.monotonic()
        run.how = how
        del self._running[run.task, run.number]
        self._highest[run.task] = max(
            self._highest.get(run.task, 0), run.number
        )
        self._ended.append([self._next_end, run.task, run.number, how, ""])
        self._next_end += 1
        self._record(f"{self.id} ends {run.task} run {run.number}: {how}")
        self._changed.notify_all()

    def serve(self, method, path, headers, body):
        expected = headers.get("X-Expect-Instance")
        self._wait_awake()
        if method != "POST":
            return 404, {}
        if expected and expected != self.id:
            return 421, {}
        body = json.loads(body)
        with self._changed:
            if body.get("fencing_token", 0) < self._fence:
                return self._answer(409, reason="fence")
            self._fence = body.get("fencing_token", 0)
            if path == "/cowslipgate/run-start":
                return self._start(body)
            if path == "/cowslipgate/run-stop":
                return self._stop(body)
            if path == "/cowslipgate/hold":
                return self._hold(body)
        return 404, {}

    def _answer(self, status, **fields):
        return status, {"clock_ms": self._clock_ms(), "born": self._born} | (
            fields
        )

    def _extend(self, until_ms):
        longest = self._clock_ms() + HOLD_MAX_MS
        self._lease_end = max(self._lease_end, min(until_ms, longest))

    def _start(self, body):
        task, number = body["task"], body["run"]
        if (task, number) in self._running:
            return self._answer(200)
        if body["until_ms"] < self._clock_ms():
            return self._answer(409, reason="late")
        self._extend(body["until_ms"])
        if number <= self._highest.get(task, 0):
            return self._answer(409, reason="old")
        run = Run(self, task, number, int(body["spec"]) / 1000)
        self._running[task, number] = run
        self._runs.append(run)
        self._record(f"{self.id} starts {task} run {number}")
        return self._answer(200)

    def _stop(self, body):
        task, number = body["task"], body["run"]
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self._running.get((task, number))
        if run is not None:
            self._end(run, "stopped")
        return self._answer(200)

    def _hold(self, body):
        cursor = body.get("ack_cursor", 0)
        self._ended = [end for end in self._ended if end[0] > cursor]
        if body.get("until_ms"):
            self._extend(body["until_ms"])
        until = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        while not self._ended and time.monotonic() < until:
            self._changed.wait(until - time.monotonic())
        while self._suspended_at:
            self._changed.wait(0.001)
        running = [
            [run.task, run.number, "", 0, 0] for run in self._running.values()
        ]
        return self._answer(200, running=running, finished=self._ended[:500])


class Reply:
    """The answer to a call; status 0 without one."""

    def __init__(self, status, body):
        self.status = status
        self.body = body
        self.at = time.monotonic()

    def __str__(self):
        return f"{self.status} {self.body.decode(errors='replace')}"


def call(address, method, path, body=None, timeout=20.0, headers=None):
    """Make an HTTP call on a connection of its own."""
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        data = None if body is None else json.dumps(body).encode()
        sent = {"Content-Type": "application/json"} | (headers or {})
        connection.request(method, path, data, sent)
        response = connection.getresponse()
        return Reply(response.status, response.read())
    except (OSError, http.client.HTTPException):
        return Reply(0, b"")
    finally:
        connection.close()


class Node:
    """An entry or an agent as a process, with its settings file."""

    def __init__(self, bed, name, role, ip, zone):
        self.bed = bed
        self.name = name
        self.role = role
        self.ip = ip
        self.zone = zone
        self.process = None
        self.store_ip = bed.store_ip
        self._settings = bed.folder / f"{name}.toml"
        self._log = bed.folder / f"{name}.log"

    @property
    def front(self):
        return (self.ip, FRONT)

    def write_settings(self):
        """Write the file that the platform fills in."""
        self._settings.write_text(self.bed.make_settings(self))

    def start(self):
        """Start the process with the command of the deploy file."""
        self.write_settings()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["COWSLIPGATE_CONFIG"] = str(self._settings)
        with open(self._log, "ab") as log:
            self.process = subprocess.Popen(
                self.bed.commands[self.role],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.bed.record(f"{self.name} is started, process {self.process.pid}")

    def signal(self, number):
        """Send a signal to the process."""
        self.bed.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def wait(self, seconds):
        """Wait for the end of the process; return its status."""
        status = self.process.wait(seconds)
        self.bed.record(f"{self.name} has ended with {status}")
        return status

    def wait_ready(self, seconds=15.0):
        """Wait until an entry says that it is ready."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CaseError(f"{self.name} has ended: {self.read_log()}")
            path = "/cowslipgate/readyz"
            if call((self.ip, READY), "GET", path, timeout=1.0).status == 200:
                self.bed.record(f"{self.name} is ready")
                return
            time.sleep(0.02)
        raise CaseError(f"{self.name} was not ready: {self.read_log()}")

    def count_agents(self):
        """Return the number of agents that an entry knows."""
        reply = call((self.ip, METRICS), "GET", "/metrics", timeout=2.0)
        lines = reply.body.decode(errors="replace").splitlines()
        return sum(
            round(float(line.split()[-1]))
            for line in lines
            if line.startswith("cowslipgate_agents{")
        )

    def wait_agents(self, count, seconds=15.0):
        """Wait until an entry knows so many agents."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.count_agents() >= count:
                return
            time.sleep(0.05)
        raise CaseError(f"{self.name} knows {self.count_agents()} agents")

    def read_log(self):
        """Return the last lines that the process wrote."""
        return self._log.read_text(errors="replace")[-2000:]


class Bed:
    """Entries, agents, workers and the store."""

    def __init__(self, folder, entries, agents):
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-3-"))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.commands = {
            name: role["run"].split() for name, role in deploy["roles"].items()
        }
        if not (ROOT / "target/deps/cowslipgate_platform").is_dir():
            raise CaseError("build the system first")
        ips = _find_addresses(1 + entries + agents + SPARE_ADDRESSES)
        self._spare_ips = [ips.pop() for _ in range(SPARE_ADDRESSES)]
        self.store_ip = ips.pop(0)
        self.store = Store(self.store_ip, self.record)
        self.runs = []
        self.entries = [
            Node(self, f"edge-{number + 1}", "entry", ips.pop(0), "north")
            for number in range(entries)
        ]
        self.agents = [
            Node(self, f"side-{number + 1}", "agent", ips.pop(0), "north")
            for number in range(agents)
        ]
        self.workers = []
        self.version = 0

    def configure(self, **changes):
        """Write the next version of the configuration."""
        self.version += 1
        route = {
            "name": "r-1",
            "host": HOST,
            "path_prefix": PREFIX,
            "kind": "unsafe",
            "timeout_ms": ROUTE_TIMEOUT_MS,
            "target_latency_ms": 60,
            "priority": 0,
            "service": SERVICE,
            "max_attempts": 4,
            "slowdown_factor": 1.6,
        } | changes
        service = {
            "name": SERVICE,
            "health_path": "/healthz",
            "max_conns": 64,
            "protocol": "h1",
            "tls": False,
            "rejects_overload": False,
            "standby": False,
        }
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        value = {
            "version": self.version,
            "routes": [route],
            "services": [service],
            "limits": limits,
        }
        self.store.put("op", "config", value)

    def start(self):
        """Start everything and wait until each entry knows each agent."""
        self.configure()
        for node in (*self.entries, *self.agents):
            node.start()
        for number, agent in enumerate(self.agents):
            worker = Worker(
                number, agent.ip, agent.zone, self.record, self.runs
            )
            self.workers.append(worker)
        for entry in self.entries:
            entry.wait_ready()
            entry.wait_agents(len(self.agents))
        self.record("every entry knows every agent")

    def make_settings(self, node):
        """Return the settings of a process, as DEPLOY.md shows them."""
        seeds = [f"{entry.ip}:{CONTROL}" for entry in self.entries[:3]]
        if node.role == "entry":
            kind, serves = "edge", ["edge", "control"]
            listen = {"front": FRONT, "ready": READY, "control": CONTROL}
            extra = ""
        else:
            kind, serves = "side", ["side"]
            listen = {"control": CONTROL}
            extra = f'app = "{node.ip}:{APP}"\nservice = "{SERVICE}"\n'
        addresses = "\n".join(
            f'{name} = "{node.ip}:{port}"' for name, port in listen.items()
        )
        return f"""
node_name = "{node.name}"
role = "{node.role}"
machine_class = "{kind}"
serves = {json.dumps(serves)}
ip = "{node.ip}"
zone = "{node.zone}"
region = "coast"
internal_ports = {json.dumps(INTERNAL)}
seeds = {json.dumps(seeds)}
bootstrap = true
discovery = "local"
entry = "vip"
heartbeat_ms = 1500
orders = "invocation"
{extra}
[zones]
north = "coast"
[listen]
{addresses}
[limits]
cpu_share = 0.645
cores = 1
memory_mb = 168
max_fds = 4096
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = {GRACE_S}
loss_slack_ms = 200
config_apply_ms = 2000
recovery_s = 12
hold_max_ms = {HOLD_MAX_MS}
stop_ms = 50
cancel_ms = 3000
visible_ms = 3000
remote_factor = 1.5
resend_ms = 1300
[platform]
address = "{node.store_ip}:{STORE}"
form = "table"
writes_per_s = 800
reads_per_s = 2000
row_bytes = 65536
history_s = 20
"""

    def add_store_link(self, node):
        """Put a link that can be cut between a machine and the store."""
        node.store_ip = self._spare_ips.pop(0)
        return StoreLink(node.store_ip, self.store)

    def add_entry(self):
        """Add a machine with an entry; its process is not started yet."""
        name = f"edge-{len(self.entries) + 1}"
        node = Node(self, name, "entry", self._spare_ips.pop(0), "north")
        self.entries.append(node)
        return node

    def submit(self, entry, job, tasks, task_ms, cpu, deadline_ms):
        """Submit a job as a client does, and wait for its answer."""
        self.record(
            f"client sends POST {job} to {entry.name}: {tasks} tasks of "
            f"{task_ms} ms, deadline {deadline_ms} ms"
        )
        step = {
            "count": tasks,
            "cpu": cpu,
            "mem_mb": 64,
            "estimated_ms": task_ms,
        }
        body = {"spec": str(task_ms), "steps": [step], "best_effort": True}
        reply = call(
            entry.front,
            "POST",
            PREFIX + job,
            body,
            deadline_ms / 1000 + 2.0,
            {"Host": HOST, "X-Deadline-Ms": str(deadline_ms)},
        )
        self.record(f"POST {job} at {entry.name} is answered {reply}")
        return reply

    def submit_aside(self, *arguments):
        """Submit a job in a thread; the list gets its answer."""
        replies = []
        thread = threading.Thread(
            target=lambda: replies.append(self.submit(*arguments)),
            daemon=True,
        )
        thread.start()
        return thread, replies

    def ask(self, method, entry, job, timeout=4.0):
        """Send GET or DELETE for a job."""
        self.record(f"client sends {method} {job} to {entry.name}")
        reply = call(
            entry.front, method, PREFIX + job, None, timeout, {"Host": HOST}
        )
        self.record(f"{method} {job} at {entry.name} is answered {reply}")
        return reply

    def wait_run(self, job, count=1, seconds=5.0):
        """Wait until so many runs of a job have started."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if len(self.list_runs(job)) >= count:
                return
            time.sleep(0.005)
        raise CaseError(f"job {job} has not started {count} tasks")

    def list_runs(self, job):
        """Return the runs of a job."""
        return [run for run in list(self.runs) if run.job == job]

    def close(self):
        """End all processes that were started, by their own handles."""
        for worker in self.workers:
            worker.stopped = True
        for node in (*self.entries, *self.agents):
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def fill_queue(ip, port=FRONT, limit=8192):
    """Fill the queue of new connections of a stopped process.

    Further connections to it hang, as to a machine that stands still. Return
    the sockets that fill it; it can be served again once they are closed.
    """
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    sockets = []
    while len(sockets) < limit:
        caller = socket.socket()
        caller.settimeout(0.25)
        sockets.append(caller)
        try:
            caller.connect((ip, port))
        except TimeoutError:
            return sockets
    raise CaseError(f"the queue of {ip} was not full")


def keep_silent(ip, ports=(FRONT, READY, CONTROL, INTERNAL[0])):
    """Let connections to an address hang, as to a machine without power.

    Return the sockets that do so while they are open.
    """
    sockets = []
    for port in ports:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((ip, port))
        listener.listen(0)
        sockets.append(listener)
        # With a full queue the kernel drops the opening packets.
        for _ in range(4):
            caller = socket.socket()
            caller.setblocking(False)
            caller.connect_ex((ip, port))
            sockets.append(caller)
    return sockets


def name_job():
    """Return an id for a job: 16 hexadecimal digits."""
    return f"{random.randrange(16**16):016x}"


def _find_addresses(count):
    """Return loopback addresses on which all ports are free."""
    for _ in range(50):
        block = f"127.{random.randrange(16, 250)}.{random.randrange(250)}"
        ips = [f"{block}.{number}" for number in range(1, count + 1)]
        if all(_is_free(ip, port) for ip in ips for port in PORTS):
            return ips
    raise CaseError("no free loopback addresses")


def _is_free(ip, port):
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True


def run_case(folder, entries, agents, play):
    """Run a case and exit with 1 (broken), 0 (kept) or 2 (not run).

    :param play: gets the bed and whether there is a disruption; returns the
        lines that describe how the rule was broken
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    bed = None
    status = 2
    try:
        bed = globals()["Bed"](folder, entries, agents)
        bed.record(f"disruption: {'yes' if trouble else 'no'}")
        bed.start()
        broken = play(bed, trouble)
        for line in broken:
            bed.record(f"BROKEN {line}")
            print(line)
        status = 1 if broken else 0
        bed.record("the rule was broken" if broken else "the rule held")
    except Exception as error:
        print(f"could not run: {error!r}", file=sys.stderr)
        if bed is not None:
            bed.record(f"could not run: {error!r}")
    finally:
        if bed is not None:
            bed.close()
    sys.exit(status)
