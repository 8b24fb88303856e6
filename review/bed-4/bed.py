"""Stand-ins and process control for the cases of this review.

The store, the workers and the clients live in one asyncio loop; entries and
agents are separate processes that are started with the deploy file's commands.
"""

import asyncio
import base64
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "nony24.example"
SERVICE = "huvo11a"
HOLD_MAX_MS = 1000
STOP_MS = 50
T0 = time.monotonic()


def find_free_ports(count):
    """Return ports that nobody uses at any address now."""
    held = [socket.socket() for _ in range(count)]
    try:
        for each in held:
            each.bind(("0.0.0.0", 0))
        return [each.getsockname()[1] for each in held]
    finally:
        for each in held:
            each.close()


FRONT, READY, CONTROL, INTERNAL, STORE, WORKER = find_free_ports(6)
"""Ports, the same on each machine. That of the metrics is the product's."""


def now():
    """Return seconds since the start of the script."""
    return time.monotonic() - T0


class Record:
    """Lines of record.txt."""

    def __init__(self, path):
        self.lines = []
        self.path = path

    def add(self, what, **fields):
        """Record one event."""
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.lines.append(f"{now():8.3f} {what} {text}".rstrip())

    def save(self):
        """Write the lines, if there is a file for them."""
        if self.path is None:
            return
        self.path.write_text("\n".join(self.lines) + "\n")


async def read_message(reader):
    """Return first line, headers and body of one HTTP message, or None."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    try:
        size = int(headers.get("content-length", 0))
        body = await reader.readexactly(size) if size else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def encode(status, body):
    """Return an HTTP response with a JSON body."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    return (
        f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(data)}\r\n\r\n"
    ).encode() + data


class Server:
    """HTTP server; ``handle`` returns (status, body) or None for silence."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.server = None
        self.writers = set()

    async def open(self):
        """Listen."""
        self.server = await asyncio.start_server(
            self.serve, self.host, self.port, backlog=1024
        )

    async def close(self, reset=False):
        """Stop listening and close all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            if reset:
                writer.transport.abort()
            else:
                writer.close()
        self.writers.clear()

    async def serve(self, reader, writer):
        """Answer the requests of one connection."""
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                answer = await self.handle(method, target, headers, body)
                if answer is None:
                    continue
                writer.write(encode(*answer))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store(Server):
    """The platform's store: rows, transactions, feeds."""

    def __init__(self, host, port, record):
        super().__init__(host, port)
        self.record = record
        self.rows = {}
        self.ver = 0
        self.changed = asyncio.Event()
        self.fault = ""
        self.calls = 0
        self.writes = {}

    def put(self, table, key, value, part=""):
        """Write a row as its operator does; the value is bytes."""
        self.ver += 1
        text = base64.b64encode(value).decode()
        self.rows[table, part, key] = [self.ver, text, False]
        self._wake()

    def remove(self, table, key, part=""):
        """Remove a row."""
        self.ver += 1
        self.rows[table, part, key] = [self.ver, "", True]
        self._wake()

    def count_writes(self, table):
        """Return how many rows of a table were ever written."""
        return self.writes.get(table, 0)

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def configure(self, version, routes, services=(SERVICE,)):
        """Write op/config."""
        document = {
            "version": version,
            "routes": routes,
            "services": [{"name": n} for n in services],
            "limits": {},
        }
        self.put("op", "config", json.dumps(document).encode())
        self.record.add("config", version=version)

    def _list(self, table, after=-1, removed=False):
        found = [
            {"table": t, "part": p, "key": k, "ver": v, "value": value}
            | ({"removed": True} if gone else {})
            for (t, p, k), (v, value, gone) in self.rows.items()
            if t == table and v > after and (removed or not gone)
        ]
        return found

    def _page(self, rows):
        return {
            "rows": rows,
            "ver": self.ver,
            "now_ms": int(now() * 1000) + 1,
            "has_more": False,
        }

    async def handle(self, method, target, headers, body):
        """Answer one call."""
        self.calls += 1
        if self.fault == "busy":
            return 503, {}
        if self.fault == "silent":
            return None
        await asyncio.sleep(0.004)
        path, _, query = target.partition("?")
        args = dict(p.partition("=")[::2] for p in query.split("&") if p)
        if path == "/cowslipgate/rows-get":
            rows = sorted(self._list(args["table"]), key=lambda r: r["key"])
            return 200, self._page(
                [r for r in rows if r["key"] >= args.get("from", "")]
            )
        if path == "/cowslipgate/rows-feed":
            end = now() + int(args.get("wait_ms", 0)) / 1000
            after = int(args["after"])
            while True:
                rows = self._list(args["table"], after, True)
                left = end - now()
                if rows or left <= 0:
                    rows.sort(key=lambda r: r["ver"])
                    return 200, self._page(rows)
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    pass
        if path == "/cowslipgate/rows-tx":
            return self._transact(json.loads(body))
        return 404, {}

    def _transact(self, call):
        for row in call.get("put", []) + call.get("remove", []):
            if row["table"] in ("op", "servers"):
                return 403, {}
        for row in call.get("precondition", []):
            key = row["table"], row.get("part", ""), row["key"]
            ver, _, gone = self.rows.get(key, [0, "", True])
            if row["ver"] != (0 if gone else ver):
                return 412, {"rows": []}
        self.ver += 1
        for row in call.get("put", []):
            key = row["table"], row.get("part", ""), row["key"]
            self.rows[key] = [self.ver, row["value"], False]
            self.writes[row["table"]] = self.writes.get(row["table"], 0) + 1
            if row["table"] == "estimates":
                self.record.add("estimates-written", key=row["key"])
        for row in call.get("remove", []):
            key = row["table"], row.get("part", ""), row["key"]
            self.rows[key] = [self.ver, "", True]
        self._wake()
        return 200, self._page([])


class Link:
    """A path from one machine to the store that can be cut.

    While it is cut, nothing passes on open connections, and connections that
    are opened then never work, as a client gives up before its next SYN.
    """

    def __init__(self, host, port, store, record):
        self.host, self.port = host, port
        self.store, self.record = store, record
        self.whole = asyncio.Event()
        self.whole.set()
        self.server = None
        self.tasks = set()

    async def open(self):
        """Listen."""
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, backlog=1024
        )

    def cut(self):
        """Let nothing pass."""
        self.whole.clear()
        self.record.add("link-cut", link=self.host)

    def heal(self):
        """Let everything pass again."""
        self.whole.set()
        self.record.add("link-healed", link=self.host)

    async def close(self):
        """End all connections."""
        if self.server is not None:
            self.server.close()
        for task in self.tasks:
            task.cancel()

    async def _serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        others = []
        try:
            if not self.whole.is_set():
                await asyncio.sleep(3600)
            far = await asyncio.open_connection(
                self.store.host, self.store.port
            )
            others = [
                asyncio.create_task(self._pump(reader, far[1])),
                asyncio.create_task(self._pump(far[0], writer)),
            ]
            await asyncio.wait(others, return_when=asyncio.FIRST_COMPLETED)
            far[1].close()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for task in others:
                task.cancel()
            self.tasks.discard(asyncio.current_task())
            writer.close()

    async def _pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.whole.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass


class Run:
    """One run of a task at a worker."""

    def __init__(self, worker, life, task, number, spec, needs_ms):
        self.worker, self.life = worker, life
        self.task, self.number, self.spec = task, number, spec
        self.started = now()
        self.ends_at = self.started + needs_ms / 1000
        self.ended = None
        self.how = ""


class Worker(Server):
    """An application worker beside one agent.

    A task's ``spec`` begins with its run time in milliseconds.
    """

    def __init__(
        self,
        name,
        host,
        port,
        control,
        record,
        cpu=32000,
        labels=("a", "r1"),
        service=SERVICE,
        zone="kaai-zuid",
        beat_s=0.5,
    ):
        super().__init__(host, port)
        self.name, self.control, self.record = name, control, record
        self.cpu, self.labels = cpu, list(labels)
        self.service, self.zone, self.beat_s = service, zone, beat_s
        self.runs = []
        self.life = 0
        self.up = False
        self.state = "ready"
        self.acked_draining = None
        self.hook = None
        self.tasks = []
        self.beats = True

    async def start(self, name=None, first_beat=True):
        """Begin a life."""
        self.name = name or self.name
        self.life += 1
        self.born = int(time.time() * 1000)
        self.begun = now()
        self.seq = 0
        self.fence = 0
        self.until = 0
        self.running = {}
        self.finished = []
        self.number = 0
        self.highest = {}
        self.up = True
        self.ended = asyncio.Event()
        await self.open()
        self.record.add("worker-up", worker=self.name, life=self.life)
        self.tasks = [asyncio.create_task(self._tick())]
        self.tasks.append(asyncio.create_task(self._beat(first_beat)))

    async def crash(self):
        """End at once; everything that runs ends."""
        self.up = False
        for task in self.tasks:
            task.cancel()
        for run in list(self.running.values()):
            run.ended, run.how = now(), "crashed"
        self.running = {}
        self.record.add("worker-crash", worker=self.name, life=self.life)
        await self.close(reset=True)

    def clock(self):
        """Return its steady clock in whole milliseconds."""
        return int((now() - self.begun) * 1000) + 1000

    async def _tick(self):
        while True:
            await asyncio.sleep(0.005)
            self._lapse()
            for run in list(self.running.values()):
                if now() >= run.ends_at:
                    self._end(run, "done")

    def _lapse(self):
        if self.running and self.clock() > self.until:
            for run in list(self.running.values()):
                self._end(run, "lapsed")

    def _end(self, run, how):
        if (run.task, run.number) not in self.running:
            return
        run.ended, run.how = now(), how
        del self.running[run.task, run.number]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.number += 1
        self.finished.append([self.number, run.task, run.number, how, ""])
        self.record.add(
            "end",
            worker=self.name,
            life=self.life,
            task=run.task,
            run=run.number,
            how=how,
        )
        self.ended.set()
        self.ended = asyncio.Event()

    async def _beat(self, first):
        if not first:
            await asyncio.sleep(self.beat_s)
        while True:
            if self.beats:
                asyncio.create_task(self.send_beat())
            await asyncio.sleep(self.beat_s)

    def beat_body(self):
        """Return the present heartbeat."""
        self.seq += 1
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_left_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 131072, "gpu": 0},
            "labels": self.labels,
            "clock_ms": self.clock(),
            "seq": self.seq,
            "born": self.born,
        }

    async def send_beat(self, body=None):
        """Send a heartbeat; return the status or 0."""
        body = body or self.beat_body()
        state = body["state"]
        status, _ = await call(
            *self.control,
            "PUT",
            f"/cowslipgate/instances/{self.name}",
            {},
            body,
            1.0,
        )
        if (
            status == 200
            and state == "draining"
            and self.acked_draining is None
        ):
            self.acked_draining = now()
            self.record.add("draining-acked", worker=self.name)
        return status

    async def handle(self, method, target, headers, body):
        """Answer one order."""
        if self.hook is not None:
            verdict = await self.hook(self, target, headers, body)
            if verdict == "silent":
                return None
        return await self.apply(target, headers, body)

    async def apply(self, target, headers, body):
        """Carry out one order."""
        self._lapse()
        call_ = json.loads(body)
        clock = {"clock_ms": self.clock()}
        if headers.get("x-expect-instance", self.name) != self.name:
            return 421, clock
        token = call_.get("fencing_token", 0)
        if token < self.fence:
            return 409, clock | {"reason": "fence"}
        self.fence = token
        if target == "/cowslipgate/run-start":
            return self._start_run(call_, clock)
        if target == "/cowslipgate/run-stop":
            return await self._stop_run(call_, clock)
        if target == "/cowslipgate/hold":
            return await self._hold(call_)
        return 404, clock

    def _extend(self, until):
        longest = self.clock() + HOLD_MAX_MS
        self.until = max(self.until, min(until, longest))

    def _start_run(self, call_, clock):
        task, number = call_["task"], call_["run"]
        if (task, number) in self.running:
            return 200, clock
        if call_["until_ms"] < self.clock():
            return 409, clock | {"reason": "late"}
        if number <= self.highest.get(task, 0):
            return 409, clock | {"reason": "old"}
        self._extend(call_["until_ms"])
        ms = float(call_["spec"].split()[0])
        run = Run(self, self.life, task, number, call_["spec"], ms)
        run.labels, run.cap, run.begun = (
            tuple(self.labels),
            self.cpu,
            self.begun,
        )
        run.draining = self.acked_draining
        self.running[task, number] = run
        self.runs.append(run)
        self.record.add(
            "start",
            worker=self.name,
            life=self.life,
            task=task,
            run=number,
            fence=call_["fencing_token"],
        )
        return 200, clock

    async def _stop_run(self, call_, clock):
        task, number = call_["task"], call_["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get((task, number))
        if run is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_MS / 2000, self._end, run, "stopped")
        return 200, clock

    async def _hold(self, call_):
        cursor = call_["ack_cursor"]
        self.finished = [e for e in self.finished if e[0] > cursor]
        if "until_ms" in call_:
            self._extend(call_["until_ms"])
        end = now() + call_.get("wait_ms", 0) / 1000
        while not self.finished and now() < end:
            try:
                await asyncio.wait_for(self.ended.wait(), end - now())
            except TimeoutError:
                pass
        return 200, {
            "clock_ms": self.clock(),
            "born": self.born,
            "running": [
                [r.task, r.number, "", 0, 0] for r in self.running.values()
            ],
            "finished": self.finished[:500],
        }


async def call(host, port, method, path, headers, body, timeout):
    """Make one HTTP call; return (status, body) or (0, why)."""
    data = (
        b""
        if body is None
        else (body if isinstance(body, bytes) else json.dumps(body).encode())
    )
    head = {
        "Host": HOST,
        "Content-Length": str(len(data)),
        "Content-Type": "application/json",
    } | headers
    text = (
        f"{method} {path} HTTP/1.1\r\n"
        + "".join(f"{k}: {v}\r\n" for k, v in head.items())
        + "\r\n"
    )
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(text.encode() + data)
            while True:
                message = await read_message(reader)
                if message is None:
                    return 0, "closed"
                status = int(message[0].split()[1])
                if status >= 200:
                    return status, message[2]
    except TimeoutError:
        return 0, "timeout"
    except OSError as error:
        return 0, type(error).__name__
    finally:
        if writer is not None:
            writer.close()


class Machine:
    """One process of the system on its own loopback address."""

    def __init__(self, bed, role, name, ip, **fields):
        self.bed, self.role, self.name, self.ip = bed, role, name, ip
        self.fields = fields
        self.process = None
        self.log = None
        self.exits = []

    def settings(self):
        """Return the text of its settings file."""
        bed = self.bed
        edge = self.role == "entry"
        listen = {"control": f"{self.ip}:{CONTROL}"}
        if edge:
            listen |= {
                "front": f"{self.ip}:{FRONT}",
                "ready": f"{self.ip}:{READY}",
            }
        lines = {
            "node_name": self.name,
            "role": self.role,
            "machine_class": "edge" if edge else "side",
            "serves": ["edge", "control"] if edge else ["side"],
            "ip": self.ip,
            "zone": "kaai-zuid",
            "region": "regio-antw",
            "internal_ports": [INTERNAL, min(INTERNAL + 15, 65535)],
            "seeds": [
                f"{m.ip}:{CONTROL}" for m in bed.machines if m.role == "entry"
            ][:3],
            "bootstrap": True,
            "fault_counted": False,
            "discovery": "local",
            "entry": "vip",
            "heartbeat_ms": 1500,
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "recover",
                "sched",
                "platform",
                "advice",
                "upkeep",
                "sharing",
            ],
            "orders": "invocation",
        } | {k: v for k, v in self.fields.items() if k != "store_address"}
        text = "".join(f"{k} = {json.dumps(v)}\n" for k, v in lines.items())
        tables = {
            "zones": {"kaai-zuid": "regio-antw", "dokken-noord": "regio-antw"},
            "listen": listen,
            "limits": {
                "cpu_share": 0.6,
                "cores": 2,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": {
                "seed_lag_s": 3,
                "reuse_after_s": 2,
                "contact_ms": 3000,
                "ack_ms": 4000,
                "catch_up_s": 4,
                "drain_ms": 2000,
                "grace_s": 6,
                "loss_slack_ms": 200,
                "config_apply_ms": 2000,
                "rollback_slack_ms": 250,
                "max_extension_ms": 5000,
                "recovery_s": 12,
                "hold_max_ms": HOLD_MAX_MS,
                "stop_ms": STOP_MS,
                "gang_timeout_ms": 3000,
                "cancel_ms": 3000,
                "visible_ms": 3000,
                "early_ms": 250,
                "finish_s": 14,
                "status_s": 120,
                "remote_factor": 1.5,
                "checkpoint_s": 1,
                "restore_ms": 100,
                "notice_ms": 4500,
                "migrate_s": 1.5,
                "maintenance_s": 2,
                "fencing_required": False,
                "lease_ms": 3000,
                "thaw_slack_ms": 300,
                "pace_ms": 100,
                "interference_ms": 4000,
                "resend_ms": 1300,
            },
            "platform": {
                "address": self.fields.get(
                    "store_address", f"{bed.store.host}:{bed.store.port}"
                ),
                "form": "table",
                "writes_per_s": 800,
                "reads_per_s": 2000,
                "txn_latency_ms": 8.0,
                "partition_writes_s": 150,
                "row_bytes": 65536,
                "cross_shard": False,
                "history_s": 20,
                "blob_bytes": 8388608,
                "blob_ms": 25.0,
                "blob_mb_s": 80.0,
            },
        }
        for name, table in tables.items():
            text += f"[{name}]\n" + "".join(
                f"{k} = {json.dumps(v)}\n" for k, v in table.items()
            )
        return text

    @property
    def path(self):
        """Its settings file."""
        return self.bed.folder / f"{self.name}.toml"

    def start(self):
        """Start the process with the command of the deploy file."""
        self.path.write_text(self.settings())
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"][self.role]["run"].split()
        env = {
            k: os.environ[k]
            for k in ("PATH", "HOME", "LANG")
            if k in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["COWSLIPGATE_CONFIG"] = str(self.path)
        self.log = open(self.bed.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            command,
            cwd=ROOT,
            env=env,
            stdout=self.log,
            stderr=self.log,
            stdin=subprocess.DEVNULL,
        )
        self.bed.record.add("started", node=self.name, pid=self.process.pid)

    def send(self, number):
        """Send a signal to the process."""
        self.bed.record.add(
            "signal", node=self.name, signal=signal.Signals(number).name
        )
        self.process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Bed:
    """A small deployment."""

    def __init__(self, record_path=None, net=None):
        self.record = Record(record_path)
        self.temp = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temp.name)
        self.net = (
            net or f"127.{os.getpid() % 200 + 20}.{os.getpid() // 200 % 200}"
        )
        self.machines = []
        self.workers = []
        self.links = []
        self.store = Store(f"{self.net}.7", STORE, self.record)
        self.clients = []

    def add_entry(self, name, **fields):
        """Add an edge machine."""
        machine = Machine(
            self,
            "entry",
            name,
            f"{self.net}.{10 + len(self.machines)}",
            **fields,
        )
        self.machines.append(machine)
        return machine

    def add_worker(self, name, **fields):
        """Add a side machine with its worker."""
        ip = f"{self.net}.{10 + len(self.machines)}"
        worker = Worker(
            f"i-{name}", ip, WORKER, (ip, CONTROL), self.record, **fields
        )
        machine = Machine(
            self, "agent", name, ip, app=f"{ip}:{WORKER}", service=SERVICE
        )
        worker.machine = machine
        self.machines.append(machine)
        self.workers.append(worker)
        return worker

    def add_link(self):
        """Add a path to the store; its address goes into settings."""
        host = f"{self.net}.{100 + len(self.links)}"
        link = Link(host, STORE, self.store, self.record)
        self.links.append(link)
        return link

    async def start(self):
        """Start the store, all processes and all workers."""
        await self.store.open()
        for link in self.links:
            await link.open()
        for machine in self.machines:
            machine.start()
        for worker in self.workers:
            await worker.start()

    async def ready(self, entries, timeout=15):
        """Wait until entries serve a small job each."""
        end = now() + timeout
        for number, entry in enumerate(entries):
            while True:
                name = f"{0xF000000000000000 + int(now() * 1e6) % 10**9:016x}"
                status, _ = await self.post(
                    entry, name, "20 probe", quiet=True
                )
                if status == 200:
                    break
                if now() > end:
                    return False
                await asyncio.sleep(0.2)
        return True

    async def post(
        self,
        entry,
        name,
        spec,
        count=1,
        cpu=1000,
        deadline=1500,
        timeout=None,
        quiet=False,
        **step,
    ):
        """Submit a job; return the answer."""
        body = {
            "spec": spec,
            "best_effort": True,
            "steps": [
                {
                    "count": count,
                    "cpu": cpu,
                    "mem_mb": 64,
                    "estimated_ms": float(spec.split()[0]),
                }
                | step
            ],
        }
        if not quiet:
            self.record.add("post", entry=entry.name, job=name, count=count)
        answer = await call(
            entry.ip,
            FRONT,
            "POST",
            f"/lohu930/{name}",
            {"X-Deadline-Ms": str(deadline)},
            body,
            timeout or deadline / 1000,
        )
        if not quiet:
            self.record.add(
                "post-answer",
                entry=entry.name,
                job=name,
                status=answer[0],
                body=answer[1],
            )
        return answer

    async def delete(self, entry, name, timeout=4):
        """Cancel a job."""
        self.record.add("delete", entry=entry.name, job=name)
        answer = await call(
            entry.ip, FRONT, "DELETE", f"/lohu930/{name}", {}, None, timeout
        )
        self.record.add(
            "delete-answer",
            entry=entry.name,
            job=name,
            status=answer[0],
            body=answer[1],
        )
        return answer

    def overlaps(self):
        """Return pairs of runs of one task that went on at the same time."""
        by_task = {}
        for worker in self.workers:
            for run in worker.runs:
                by_task.setdefault(run.task, []).append(run)
        found = []
        for runs in by_task.values():
            for i, a in enumerate(runs):
                for b in runs[i + 1 :]:
                    end_a = a.ended if a.ended is not None else now()
                    end_b = b.ended if b.ended is not None else now()
                    left = min(end_a, end_b) - max(a.started, b.started)
                    if left > 0:
                        found.append((a, b, left))
        return found

    async def close(self):
        """End everything."""
        for machine in self.machines:
            machine.kill()
        for worker in self.workers:
            if worker.up:
                await worker.crash()
        for link in self.links:
            await link.close()
        await self.store.close(reset=True)
        self.record.save()
        self.temp.cleanup()


ROUTES = [
    {
        "name": "q1",
        "host": HOST,
        "path_prefix": "/lohu930/",
        "service": SERVICE,
        "timeout_ms": 1500,
        "target_latency_ms": 60,
        "slowdown_factor": 2.0,
        "priority": 1,
        "max_attempts": 3,
    }
]


def play(main):
    """Run a case; return its status, or 2 if it is told to end before."""

    async def guarded():
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, task.cancel
        )
        return await main()

    try:
        return asyncio.run(guarded())
    except asyncio.CancelledError:
        return 2
