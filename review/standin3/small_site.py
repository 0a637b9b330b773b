"""Stand-ins for the platform of a small site, for the cases 11 to 15.

Store, runners, advisor and clients run in the event loop of the script. The
entry processes are separate processes, started with the command of the deploy
file. Formats and behaviour are those of PROTOCOL.md and DEPLOY.md; where the
pages are silent, a sound store, runner or client is played.
"""

import asyncio
import base64
import collections
import json
import os
import pathlib
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
# Figures of the small sites: answers of the store take 4 ms, its history
# reaches back 20 s, a page has at most 500 items or 1 MB.
STORE_DELAY_S = 0.004
RETENTION_S = 20.0
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
HEARTBEAT_S = 1.1
# A script runs for 120 s at most.
TIME_LIMIT_S = 110.0

SETTINGS = """\
node-name = "{node}"
role = "entry"
machine-class = "edge"
serves = ["edge", "control_plane"]
ip = "127.0.0.1"
zone = "{zone}"
region = "malopolska"
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat-ms = 1100
policies = ["base","drain","config","cost","recover","sched","places",\
"platform","advice","upkeep","sharing"]
commands = "call"
{advisor}
[zones]
krakow = "malopolska"
tarnow = "malopolska"
[bind-addresses]
http = "{http}"
readiness = "{ready}"
admin = "{admin}"
[limits]
memory-mb = 300
max-fds = 4100
[policy-params]
contact-ms = {contact}
ack-timeout-ms = {ack}
drain-timeout-ms = 2000
grace-s = 6
config-apply-ms = {apply}
evacuate-ms = 5000
hold-max-ms = 10000
stop-timeout-ms = 400
gang-timeout-ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
fencing-enforced = false
[platform]
address = "{store}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
retention-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
"""


class Record:
    """Lines of ``record.txt``: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def note(self, who, text):
        self.file.write(f"{self.now():8.3f} {who}: {text}\n")
        self.file.flush()


# HTTP


async def read_message(reader):
    """Return the first line, the headers and the body; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rows = head.decode("latin-1").split("\r\n")
    headers = {}
    for row in rows:
        if row:
            name, _, value = row.partition(":")
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return first, headers, body


class HttpServer:
    """Answers requests by ``handle(method, path, query, headers, body)``.

    The handler returns a status and a document, or None to close the channel.
    """

    def __init__(self):
        self.address = ""
        self.server = None
        self.writers = set()

    async def listen(self, port=0):
        self.server = await asyncio.start_server(
            self._serve, HOST, port, limit=2**25, reuse_address=True
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{port}"

    async def close(self):
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                path, _, query = target.partition("?")
                answer = await self.handle(
                    method,
                    path,
                    dict(urllib.parse.parse_qsl(query)),
                    headers,
                    body,
                )
                if answer is None:
                    writer.transport.abort()
                    return
                status, document = answer
                data = json.dumps(document).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json"
                    f"\r\ncontent-length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def request(address, method, target, host, document=None, timeout=3.0):
    """Send one request; return the status (0: no answer) and the body."""
    ip, _, port = address.partition(":")
    body = b"" if document is None else json.dumps(document).encode()
    head = (
        f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        f"Turmerichook-Request-Timeout-Ms: {int(timeout * 1000)}\r\n"
        "Connection: close\r\n\r\n"
    )
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(head.encode() + body)
            message = await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, {}
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return 0, {}
    try:
        answer = json.loads(message[2] or b"{}")
    except ValueError:
        answer = {}
    return int(message[0].split(" ")[1]), answer


# Store


class Store(HttpServer):
    """The platform's metadata store."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.items = {}
        self.revision = 100
        self.history = collections.deque()
        self.dropped = 100
        self.leases = {}
        self.changed = asyncio.Event()
        self.ticker = None

    async def listen(self, port=0):
        await super().listen(port)
        self.ticker = asyncio.create_task(self._tick())

    async def close(self):
        self.ticker.cancel()
        await super().close()

    async def _tick(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [k for k, v in self.leases.items() if v[1] < now]:
                self.end_lease(lease)
            while self.history and self.history[0][0] < now - RETENTION_S:
                self.dropped = self.history.popleft()[1]["revision"]

    def end_lease(self, lease):
        del self.leases[lease]
        keys = [k for k, v in self.items.items() if v["lease"] == lease]
        if keys:
            self.apply({}, keys)

    def put(self, key, value):
        """Write a key as the operator or a runner does."""
        return self.apply({key: (value, 0)}, [])

    def remove(self, key):
        if key in self.items:
            self.apply({}, [key])

    def apply(self, writes, removals):
        self.revision += 1
        now = time.monotonic()
        for key, (value, lease) in writes.items():
            before = self.items.get(key)
            item = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "created": before["created"] if before else self.revision,
                "lease": lease,
            }
            self.items[key] = item
            self.history.append((now, item))
        for key in removals:
            if self.items.pop(key, None) is not None:
                row = {"key": key, "revision": self.revision, "removed": True}
                self.history.append((now, row))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(STORE_DELAY_S)
        document = json.loads(body) if body else {}
        match path:
            case "/v1/kv-key":
                item = self.items.get(query["key"])
                if item is None:
                    return 404, {}
                return 200, {**item, "current-rev": self.revision}
            case "/v1/kv-range":
                return self._range(query)
            case "/v1/kv-watch":
                return await self._watch(query)
            case "/v1/kv-txn":
                return self._transaction(document)
            case "/v1/kv-lease":
                lease = self.revision * 1000 + len(self.leases) + 1
                while lease in self.leases:
                    lease += 1
                ttl = document["ttl-ms"]
                self.leases[lease] = [ttl, time.monotonic() + ttl / 1000]
                return 200, {"lease": lease, "ttl-ms": ttl}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self.end_lease(lease)
        else:
            row = self.leases[lease]
            row[1] = time.monotonic() + row[0] / 1000
        return 200, {}

    def _range(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        items, size, more = [], 0, False
        for key in sorted(self.items):
            if key.startswith(prefix) and key > after:
                item = self.items[key]
                size += len(item["value"])
                if items and (len(items) >= PAGE_ITEMS or size > PAGE_BYTES):
                    more = True
                    break
                items.append(item)
        return 200, {
            "items": items,
            "has-more": more,
            "current-rev": self.revision,
        }

    async def _watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        end = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            if after < self.dropped:
                return 410, {}
            events = [
                row
                for _, row in self.history
                if row["revision"] > after and row["key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current-rev": self.revision}
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                pass

    def _transaction(self, document):
        rows = document["precondition"]
        entries = len(rows) + len(document["set-keys"])
        if entries + len(document["remove"]) > 32:
            return 400, {"error": "too many entries"}
        for row in document["set-keys"]:
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
        for row in rows:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {
                    "items": [
                        self.items.get(r["key"])
                        or {"key": r["key"], "revision": 0}
                        for r in rows
                    ]
                }
        writes = {
            row["key"]: (base64.b64decode(row["value"]), row.get("lease", 0))
            for row in document["set-keys"]
        }
        return 200, {"revision": self.apply(writes, document["remove"])}


# Runners


class Runner(HttpServer):
    """One runner. Its tasks do what their job's ``spec`` says (JSON).

    ``spec`` holds for each step a row: ``s`` (seconds of work), ``cpu``, and
    ``advised`` (whether a ticket is needed).
    """

    def __init__(self, site, name, zone, *, cores=16, label="a", rack="r1-1"):
        super().__init__()
        self.site = site
        self.name = name
        self.zone = zone
        self.cores = cores
        self.labels = [label, rack]
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.token = 0
        self.lease_until = 0
        self.running = {}
        self.closed = {}
        self.ends = []
        self.last_end = 0
        self.acknowledged = 0
        self.state = "ready"
        self.changed = asyncio.Event()
        self.service = "desk"
        self.sequence = 0
        self.tasks = []
        self.up = True

    async def crash(self, down_s):
        """End at once, and start again under the same id later.

        The new life runs nothing and knows nothing of before.
        """
        self.site.record.note(
            self.name, f"crashes with {list(self.running)}"
        )
        self.up = False
        port = int(self.address.rpartition(":")[2])
        self.running.clear()
        await HttpServer.close(self)
        await asyncio.sleep(down_s)
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.token = self.lease_until = self.last_end = self.sequence = 0
        self.acknowledged = 0
        self.closed = {}
        self.ends = []
        await self.listen(port)
        self.up = True
        self.beat()
        self.site.record.note(self.name, "is back as a new life")

    def clock(self):
        return int((time.monotonic() - self.began) * 1000) + 1000

    async def open(self):
        await self.listen()
        self.beat()
        self.tasks = [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._work()),
        ]

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await super().close()

    def beat(self):
        """Write the entry in the registry."""
        self.sequence += 1
        self.site.store.put(
            f"servers/{self.name}", json.dumps(self.entry()).encode()
        )

    def entry(self):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "capacity": 8,
            "state": self.state,
            "cold-remaining-ms": 0,
            "sequence": self.sequence,
            "born": self.born,
            "machine": f"m-{self.name}",
            "free-capacity": {
                "cpu": self.cores * 1000,
                "mem-mb": 64000,
                "gpu": 0,
            },
            "labels": self.labels,
            "clock-ms": self.clock(),
        }

    async def _beat(self):
        silent = 0
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            silent = 0 if self.up else silent + 1
            if self.up:
                self.beat()
            elif silent == 3:
                self.site.store.remove(f"servers/{self.name}")

    async def _work(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            if self.running and self.clock() > self.lease_until:
                for task in list(self.running):
                    self.end(task, "lapsed")
            for task, run in list(self.running.items()):
                if run["seconds"] and now - run["began"] >= run["seconds"]:
                    self.end(task, run.get("how", "done"))

    def end(self, task, how):
        run = self.running.pop(task)
        self.closed[task] = max(self.closed.get(task, 0), run["run"])
        self.last_end += 1
        self.ends.append([self.last_end, task, run["run"], how, ""])
        self.site.note_end(self, task, run["run"], how)
        self.changed.set()
        self.changed = asyncio.Event()

    def used(self):
        return sum(run["cpu"] for run in self.running.values())

    async def handle(self, method, path, query, headers, body):
        if not self.up:
            return None
        target = headers.get("turmerichook-target-instance", self.name)
        if target != self.name:
            return 421, {"clock-ms": self.clock(), "born": self.born}
        document = json.loads(body) if body else {}
        told = {"clock-ms": self.clock(), "born": self.born}
        if document.get("fencing-token", 0) < self.token:
            return 409, {**told, "reason": "fence"}
        self.token = document.get("fencing-token", 0)
        match path:
            case "/v1/run-start":
                reason = self._start(document)
                if reason:
                    self.site.note_refusal(self, document, reason)
                    return 409, {**told, "reason": reason}
                return 200, told
            case "/v1/run-stop":
                task, run = document["task"], document["run"]
                self.closed[task] = max(self.closed.get(task, 0), run)
                if task in self.running and self.running[task]["run"] <= run:
                    self.end(task, "stopped")
                return 200, told
            case "/v1/pace":
                return 200, told
            case "/v1/hold":
                return await self._hold(document)
        return 404, {}

    def _extend(self, until):
        until = min(until, self.clock() + 10_000)
        self.lease_until = max(self.lease_until, until)

    def _start(self, document):
        task, run = document["task"], document["run"]
        if task in self.running and self.running[task]["run"] == run:
            return ""
        if run <= self.closed.get(task, 0):
            self._extend(document["deadline-ms"])
            return "old"
        if document["deadline-ms"] <= self.clock():
            return "late"
        step = int(task.split(".")[2])
        row = json.loads(document["spec"])[step]
        cpu = row.get("cpu", 1000)
        if self.used() + cpu > self.cores * 1000:
            self._extend(document["deadline-ms"])
            return "room"
        if row.get("advised"):
            name = ".".join(task.split(".")[:3])
            if not self.site.advisor.valid(
                document.get("ticket", ""), name, self.name
            ):
                return "ticket"
        self._extend(document["deadline-ms"])
        self.running[task] = {
            "run": run,
            "began": time.monotonic(),
            "seconds": row.get("s", 0),
            "cpu": cpu,
            "how": row.get("how", "done"),
        }
        self.site.note_start(self, task, run, document)
        return ""

    async def _hold(self, document):
        if "deadline-ms" in document:
            self._extend(document["deadline-ms"])
        cursor = document["ack-cursor"]
        if cursor > self.acknowledged:
            self.acknowledged = cursor
        self.ends = [row for row in self.ends if row[0] > cursor]
        if document.get("wait-ms") and not self.ends:
            try:
                async with asyncio.timeout(document["wait-ms"] / 1000):
                    await self.changed.wait()
            except TimeoutError:
                pass
        if not self.up:
            return None
        now = time.monotonic()
        running = []
        for task, run in self.running.items():
            share = (now - run["began"]) / (run["seconds"] or 1.0)
            percent = min(100 if not run["seconds"] else 99, int(share * 100))
            running.append([task, run["run"], "", percent, run["cpu"]])
        return 200, {
            "clock-ms": self.clock(),
            "born": self.born,
            "running": running,
            "finished": self.ends[:500],
        }


class Advisor(HttpServer):
    """Allows all runners, and gives a ticket for each step and runner."""

    decision_s = 0.05
    each_s = 0.002
    validity_s = 4.0

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.tickets = {}
        self.lock = asyncio.Lock()

    def valid(self, ticket, step, runner):
        row = self.tickets.get(ticket)
        return (
            row is not None
            and row[:2] == (step, runner)
            and time.monotonic() < row[2]
        )

    async def handle(self, method, path, query, headers, body):
        document = json.loads(body)
        async with self.lock:
            workers = document["workers"]
            await asyncio.sleep(self.decision_s + self.each_s * len(workers))
            good = []
            for worker in workers:
                ticket = f"t{len(self.tickets) + 1}"
                self.tickets[ticket] = (
                    document["step"],
                    worker,
                    time.monotonic() + self.validity_s,
                )
                good.append([worker, ticket])
        self.record.note(
            "advisor", f"step {document['step']}: {len(good)} runners allowed"
        )
        return 200, {"good": good}


# Links and processes


class Link:
    """A proxy between an entry process and the store that can be cut."""

    def __init__(self, target):
        self.target = target
        self.passing = asyncio.Event()
        self.passing.set()
        self.server = None
        self.address = ""
        self.tasks = set()
        self.writers = set()

    async def open(self):
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{port}"

    async def close(self):
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        other = None
        try:
            await self.passing.wait()
            ip, _, port = self.target.partition(":")
            far, other = await asyncio.open_connection(ip, int(port))
            self.writers.add(other)
            await asyncio.gather(
                self._copy(reader, other), self._copy(far, writer)
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            for end in (writer, other):
                if end is not None:
                    self.writers.discard(end)
                    end.transport.abort()

    async def _copy(self, reader, writer):
        while data := await reader.read(65536):
            await self.passing.wait()
            writer.write(data)
            await writer.drain()
        writer.close()


def free_ports(count):
    """Return loopback addresses that outgoing connections do not take."""
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.2", 0))
        sockets.append(sock)
    addresses = [f"127.0.0.2:{s.getsockname()[1]}" for s in sockets]
    for sock in sockets:
        sock.close()
    return addresses


class Entry:
    """One entry process."""

    def __init__(self, site, node, zone):
        self.site = site
        self.node = node
        self.zone = zone
        self.http, self.ready, self.admin = free_ports(3)
        self.link = None
        self.process = None
        self.log = site.folder / f"{node}.log"

    def start(self):
        advisor = self.site.advisor
        path = self.site.folder / f"{self.node}.toml"
        path.write_text(
            SETTINGS.format(
                node=self.node,
                zone=self.zone,
                http=self.http,
                ready=self.ready,
                admin=self.admin,
                store=self.link.address,
                contact=4000 if self.site.grown else 3000,
                apply=3000 if self.site.grown else 2000,
                ack=6000 if self.site.grown else 4000,
                advisor=f'advisor = "{advisor.address}"' if advisor else "",
            )
        )
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        command[0] = sys.executable
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": str(self.site.folder),
                    "LANG": "C.UTF-8",
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "TURMERICHOOK_NODE_FILE": str(path),
                },
                stdout=log,
                stderr=log,
            )

    def send(self, number):
        self.site.record.note(
            "platform", f"{signal.Signals(number).name} to {self.node}"
        )
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def events(self, name):
        rows = []
        for line in self.log.read_text().splitlines():
            if line[:1] == "{":
                row = json.loads(line)
                if row.get("event") == name:
                    rows.append(row)
        return rows

    @property
    def leading(self):
        return len(self.events("leadership-gained")) > len(
            self.events("leadership-lost")
        )


class Site:
    """Store, runners, advisor, entry processes and what was seen."""

    host = "nony.example"

    def __init__(
        self, record, *, runners=3, entries=2, advised=False, grown=False
    ):
        # Whether the bounds are those of the grown sites.
        self.grown = grown
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.record = record
        self.store = Store(record)
        self.advisor = Advisor(record) if advised else None
        zones = ("krakow", "tarnow")
        self.runners = [
            Runner(self, f"run-{n}", zones[n % 2]) for n in range(runners)
        ]
        self.entries = [
            Entry(self, f"edge-{n}", zones[n % 2]) for n in range(entries)
        ]
        # Rows of time, runner, task and run, and for ends also how.
        self.starts = []
        self.ended = []
        self.refused = collections.Counter()

    def note_start(self, runner, task, run, document):
        self.starts.append((self.record.now(), runner.name, task, run))
        self.record.note(runner.name, f"start {task} run {run}")

    def note_end(self, runner, task, run, how):
        self.ended.append((self.record.now(), runner.name, task, run, how))
        self.record.note(runner.name, f"end {task} run {run} {how}")

    def note_refusal(self, runner, document, reason):
        key = (runner.name, document["task"], reason)
        self.refused[key] += 1
        if self.refused[key] <= 3:
            self.record.note(
                runner.name, f"refuses {document['task']}: {reason}"
            )

    def configure(self, version, routes, **fields):
        document = {
            "version": version,
            "routes": routes,
            "services": [{"name": "desk", "enforce-limits": True}],
            "limits": {"max-body-bytes": 262144},
            **fields,
        }
        value = json.dumps(document).encode()
        self.store.put("op/config", value)
        self.record.note(
            "operator",
            f"configuration {version} with {len(routes)} routes,"
            f" {len(value)} bytes, is acknowledged",
        )

    def route(self, name, prefix="", **fields):
        return {
            "name": name,
            "host": self.host,
            "prefix": prefix or f"/{name}/",
            "type": "non_idempotent",
            "timeout-ms": 3000,
            "slo-ms": 300,
            "service": "desk",
            "max-attempts": 3,
            "slack-factor": 1.5,
            **fields,
        }

    async def open(self, routes):
        await self.store.listen()
        if self.advisor:
            await self.advisor.listen()
        self.configure(1, routes)
        for runner in self.runners:
            await runner.open()
        for entry in self.entries:
            entry.link = Link(self.store.address)
            await entry.link.open()
            entry.start()
        await self.until(
            lambda: any(e.events("recovered") for e in self.entries)
            and all(e.events("configuration-in-force") for e in self.entries),
            40.0,
        )

    async def close(self):
        for entry in self.entries:
            entry.kill()
        for runner in self.runners:
            await runner.close()
        if self.advisor:
            await self.advisor.close()
        for entry in self.entries:
            if entry.link is not None:
                await entry.link.close()
        await self.store.close()

    async def until(self, condition, timeout):
        async with asyncio.timeout(timeout):
            while not condition():
                await asyncio.sleep(0.05)

    async def call(self, entry, method, target, document=None, quiet=False):
        answer = await request(
            entry.http, method, target, self.host, document
        )
        if not quiet:
            self.record.note(
                "client",
                f"{method} {target} at {entry.node}: {answer[0]}"
                f" {json.dumps(answer[1])[:80]}",
            )
        return answer

    async def submit(self, target, spec, steps, entry=None):
        """Submit a job, again after each answer that allows it."""
        for attempt in range(5):
            at = entry or self.entries[attempt % len(self.entries)]
            document = {"spec": json.dumps(spec), "steps": steps}
            status, _ = await self.call(at, "POST", target, document)
            if status == 200:
                return
            await asyncio.sleep(1.0)
        raise RuntimeError(f"{target} was not accepted")

    @property
    def leader(self):
        return next((e for e in self.entries if e.leading), None)


def main(play):
    """Run ``play(record, trouble)``; exit with 0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def limited():
        async with asyncio.timeout(TIME_LIMIT_S):
            return await play(record, trouble)

    try:
        record = Record(pathlib.Path(sys.argv[1]) / "record.txt")
        record.note("script", f"trouble: {trouble}")
        try:
            broken = asyncio.run(limited())
        except BaseException as error:
            record.note("script", f"the case could not run: {error!r}")
            raise
    except BaseException:
        traceback.print_exc()
        sys.exit(2)
    record.note("script", "the rule was broken" if broken else "held")
    sys.exit(1 if broken else 0)
