"""Stand-in for the users' platform: store, workers, operator and callers.

The simulated store and workers run in the event loop of the test that uses
this module. Each entry host is a separate process on loopback, and is
terminated by its process id. The message formats are those of the platform's
published documentation.
"""

import asyncio
import base64
import collections
import datetime
import json
import os
import pathlib
import signal
import subprocess
import sys
import urllib.parse

from standins import batch_worker
from standins import launcher
from standins import proxy
from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import orders
from turmerichook._internal.http import addresses
from turmerichook._internal.http import calls
from turmerichook._internal.http import server
from turmerichook._internal.models import ids
from turmerichook._internal.platform import worker_calls
from turmerichook._internal.storage import interface
from turmerichook._internal.storage import memory
from turmerichook._internal.workflow import model
from turmerichook import exceptions

MS = datetime.timedelta(milliseconds=1)
SECOND = datetime.timedelta(seconds=1)
HOST = "bells.example"
PREFIX = "/bells/"
ZONES = ("krakow", "tarnow")
REASON_NAMES = {reason: name for name, reason in worker_calls.REFUSALS.items()}
START_TIMEOUT_S = 10.0
TICK_INTERVAL_S = 0.02
# Time for which a silent worker keeps a call open; longer than any scenario.
SILENCE_S = 600.0
# Length of the leases on workers.
LEASE_MS = 10_000
MILLICORES = 16_000
# Time after which a capacity that has shrunk binds: the contact time of the
# settings below and one heartbeat of a worker.
CAPACITY_GRACE_S = 4.0
# Time for which a worker that has crashed is away.
DOWN_TIME_S = 1.5
# Time for which the registry lists a worker that is cut off: the longest
# lifetime of the lease under which a worker writes its entry.
ENTRY_TTL_S = 1.0

# Time after which no process may accept a key that was removed.
REVOCATION_MS = 3000
KEY_HEADER = b"turmerichook-key"

SETTINGS = """\
node-name = "{node}"
role = "entry"
zone = "{zone}"
[zones]
krakow = "malopolska"
tarnow = "malopolska"
[bind-addresses]
http = "{http}"
readiness = "{ready}"
admin = "{admin}"
[policy-params]
contact-ms = 3000
drain-timeout-ms = 2000
grace-s = 6
hold-max-ms = {lease_ms}
stop-timeout-ms = 400
gang-timeout-ms = 3000
status_s = 120
strict-revoke = true
revoke-timeout-ms = {revocation_ms}
[platform]
address = "127.0.0.1:{store}"
ttl-min-ms = 1000
"""


class WorkerHost:
    """Serves a simulated worker over HTTP.

    Each task runs for the number of seconds given as ``s`` in its
    specification, and uses ``cpu`` millicores, or none. The worker starts what
    it is told. A task with ``crash`` in its specification crashes the worker
    when it starts. The worker is back after ``DOWN_TIME_S`` as a new
    incarnation; until then it breaks off each call.

    :ivar silent: whether no call is executed or answered any more.
    :ivar back_at: when a crashed worker is back; None if it is up.
    :ivar capacities: each millicores of the worker, and its time in seconds.
    :ivar uses: time of each start, and the millicores in use after it.
    :ivar excesses: starts beyond the capacity: the task, the millicores in use
        and the largest capacity that may count.
    :ivar ended: the ends of all runs so far.
    :ivar last_end: number of the last one of them.
    :ivar link: the proxy that all calls pass; None if they arrive directly.
    """

    def __init__(self, *, name: str, zone: str):
        self.name = name
        self.zone = zone
        self.state = batch_worker.BatchWorker()
        self.ends_at: dict[model.TaskKey, float] = {}
        self.started_at: list[tuple[model.TaskKey, float]] = []
        self.demands: dict[model.TaskKey, int] = {}
        self.capacities = [(0.0, MILLICORES)]
        self.uses: list[tuple[float, int]] = []
        self.excesses: list[tuple[model.TaskKey, int, int]] = []
        self.server = server.Server(handler=self.handle)
        self.changed = asyncio.Event()
        self.port = 0
        self.silent = False
        self.back_at: float | None = None
        self.ended: list[orders.EndRow] = []
        self.last_end = 0
        self.link: proxy.Proxy | None = None

    async def start(self, *, linked: bool = False) -> None:
        """Start listening on a free loopback port.

        :param linked: whether calls pass a proxy that can be cut.
        """
        self.port = await self.server.start(host="127.0.0.1", port=0)
        if linked:
            self.link = proxy.Proxy(
                target=("127.0.0.1", self.port), plan=lambda: proxy.NO_FAULT
            )
            self.port = await self.link.start()

    @property
    def cut_off(self) -> bool:
        """Whether the worker's link is cut."""
        return self.link is not None and not self.link.passing.is_set()

    async def stop(self) -> None:
        """Stop listening."""
        if self.link is not None:
            await self.link.stop()
        await self.server.stop(grace=0.0)

    def entry(self) -> bytes:
        """Return the worker's own registry entry."""
        return json.dumps(
            {
                "service": "bells",
                "address": f"127.0.0.1:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "capacity": 8,
                "state": "ready",
                "cold-remaining-ms": 0,
                "born": self.state.incarnation,
                "free-capacity": {
                    "cpu": self.capacities[-1][1],
                    "mem-mb": 64000,
                    "gpu": 0,
                },
                "labels": ["a", "r1-1"],
                "clock-ms": self.state.clock // MS,
                "sequence": 1,
            }
        ).encode()

    def crash(self) -> None:
        """Lose all runs, and answer no call for ``DOWN_TIME_S``."""
        self._note_ends()
        self.state.restart()
        self.last_end = 0
        self.ends_at.clear()
        self.back_at = asyncio.get_running_loop().time() + DOWN_TIME_S

    def has_returned(self) -> bool:
        """Return whether a crashed worker has just become available again."""
        if self.back_at is None:
            return False
        if asyncio.get_running_loop().time() < self.back_at:
            return False
        self.back_at = None
        return True

    def tick(self, span: datetime.timedelta) -> None:
        """Advance the worker's clock, then expire leases and end due tasks."""
        self.state.clock += span
        self.state.lapse()
        now = asyncio.get_running_loop().time()
        for task in list(self.state.running):
            if now >= self.ends_at.get(task, now):
                self.state.end(task, model.EndKind.DONE)
        self._note_ends()
        if self.state.ends:
            self.changed.set()

    def _note_ends(self) -> None:
        self.ended += [e for e in self.state.ends if e.number > self.last_end]
        self.last_end = self.state.last_end

    async def handle(self, exchange: server.Exchange) -> None:
        """Handle one HTTP request."""
        document = json.loads(await exchange.read_all() or b"{}")
        self._note_ends()
        if self.silent:
            await asyncio.sleep(SILENCE_S)
            return
        if self.back_at is not None:
            exchange.connection.wire.abort()
            return
        match exchange.head.path:
            case "/v1/run-start":
                outcome = self._start(document)
                if self.back_at is None:
                    await self._answer(exchange, outcome)
                else:
                    exchange.connection.wire.abort()
            case "/v1/run-stop":
                await self._answer(
                    exchange,
                    self.state.stop(
                        orders.Stop(
                            task=worker_calls.parse_task_name(
                                document["task"]
                            ),
                            run=document["run"],
                            token=document["fencing-token"],
                        )
                    ),
                )
            case "/v1/pace":
                await self._answer(exchange, orders.Accepted())
            case _:
                await self._hold(exchange, document)

    def _start(self, document: dict) -> orders.Outcome:
        task = worker_calls.parse_task_name(document["task"])
        outcome = self.state.start(
            orders.Start(
                task=task,
                run=document["run"],
                payload=document["spec"],
                token=document["fencing-token"],
                valid_until=document["deadline-ms"] * MS,
            )
        )
        now = asyncio.get_running_loop().time()
        if isinstance(outcome, orders.Accepted) and task not in self.ends_at:
            self.started_at.append((task, now))
            spec = json.loads(document["spec"])
            self.ends_at[task] = now + spec["s"]
            self.demands[task] = spec.get("cpu", 0)
            self._check_use(task, now)
            if spec.get("crash"):
                self.crash()
        return outcome

    def _check_use(self, task: model.TaskKey, now: float) -> None:
        used = sum(self.demands[running] for running in self.state.running)
        self.uses.append((now, used))
        ends = [since for since, _ in self.capacities[1:]] + [now]
        allowed = max(
            millicores
            for (_, millicores), end in zip(self.capacities, ends, strict=True)
            if end >= now - CAPACITY_GRACE_S
        )
        if used > allowed:
            self.excesses.append((task, used, allowed))

    async def _hold(self, exchange: server.Exchange, document: dict) -> None:
        until = document.get("deadline-ms")
        order = orders.Renewal(
            token=document["fencing-token"],
            acknowledged=document["ack-cursor"],
            lease_until=None if until is None else until * MS,
        )
        try:
            report = self.state.renew(order)
            if not report.ends and document.get("wait-ms"):
                self.changed.clear()
                await clocks.SystemClock().wait_event(
                    self.changed, document["wait-ms"] * MS
                )
                if self.back_at is not None:
                    exchange.connection.wire.abort()
                    return
                self._note_ends()
                report = self.state.renew(order)
        except exceptions.StaleTokenError:
            await exchange.respond_json(
                document={"reason": "fence"}, status=409
            )
            return
        name = worker_calls.task_name
        await exchange.respond_json(
            document={
                "clock-ms": report.clock // MS,
                "born": report.incarnation,
                "running": [
                    [name(row.task), row.run, "", row.percent, 0]
                    for row in report.running
                ],
                "finished": [
                    [e.number, name(e.task), e.run, e.kind.value, ""]
                    for e in report.ends
                ],
            }
        )

    async def _answer(
        self, exchange: server.Exchange, outcome: orders.Outcome
    ) -> None:
        document = {"clock-ms": self.state.clock // MS}
        match outcome:
            case orders.Refused(reason=reason):
                document["reason"] = REASON_NAMES[reason]
                await exchange.respond_json(document=document, status=409)
            case _:
                await exchange.respond_json(document=document)


class StoreHost:
    """Serves an in-memory store over HTTP."""

    def __init__(self):
        self.storage = memory.MemoryStorage(clock=clocks.SystemClock())
        self.server = server.Server(handler=self.handle)

    async def handle(self, exchange: server.Exchange) -> None:
        """Handle one HTTP request."""
        body = await exchange.read_all()
        document = json.loads(body) if body else {}
        try:
            status, answer = await self._call(exchange, document)
        except exceptions.StoreUnavailableError:
            status, answer = 503, {"error": "try later"}
        except exceptions.HistoryLostError:
            status, answer = 410, {}
        except exceptions.LeaseLapsedError:
            status, answer = 404, {}
        except exceptions.StoreOutcomeUnknownError:
            exchange.connection.wire.abort()
            return
        await exchange.respond_json(document=answer, status=status)

    async def _call(
        self, exchange: server.Exchange, document: dict
    ) -> tuple[int, dict]:
        query = dict(urllib.parse.parse_qsl(exchange.head.query))
        path = exchange.head.path
        match path:
            case "/v1/kv-key":
                item = await self.storage.get(query["key"])
                return (404, {}) if item is None else (200, _row(item))
            case "/v1/kv-range":
                page = await self.storage.page(
                    query["prefix"], after=query.get("after", "")
                )
                return 200, {
                    "items": [_row(item) for item in page.items],
                    "has-more": page.more,
                    "current-rev": page.revision,
                }
            case "/v1/kv-watch":
                changes = await self.storage.watch(
                    query["prefix"],
                    after=ids.Revision(int(query["after"])),
                    wait=int(query["wait-ms"]) * MS,
                )
                return 200, {
                    "events": [_row(change) for change in changes.changes],
                    "current-rev": changes.revision,
                }
            case "/v1/kv-txn":
                return await self._transaction(document)
            case "/v1/kv-lease":
                ttl = document["ttl-ms"]
                lease = await self.storage.grant_lease(ttl * MS)
                return 200, {"lease": int(lease), "ttl-ms": ttl}
        lease = ids.LeaseId(path.rpartition("/")[2])
        if exchange.head.method == "DELETE":
            await self.storage.end_lease(lease)
        else:
            await self.storage.renew_lease(lease)
        return 200, {}

    async def _transaction(self, document: dict) -> tuple[int, dict]:
        outcome = await self.storage.commit(
            interface.Commit(
                expect={
                    row["key"]: row["revision"]
                    for row in document["precondition"]
                },
                writes=tuple(
                    interface.Write(
                        key=row["key"],
                        value=base64.b64decode(row["value"]),
                        lease=str(row["lease"]) if "lease" in row else None,
                    )
                    for row in document["set-keys"]
                ),
                removals=tuple(document["remove"]),
            )
        )
        match outcome:
            case interface.Committed(revision=revision):
                return 200, {"revision": revision}
            case interface.Conflict(items=items):
                return 412, {"items": [_row(i) for i in items.values()]}


def _row(change: interface.Item | interface.Removed) -> dict:
    row = {"key": change.key, "revision": change.revision}
    if isinstance(change, interface.Removed):
        return {**row, "removed": True}
    value = base64.b64encode(change.value).decode()
    return {**row, "value": value, "created": change.revision, "lease": 0}


class Entry:
    """One process of an entry host."""

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        node: str,
        zone: str,
        lease_ms: int,
        unused: launcher.Addresses,
    ):
        self.folder = folder
        self.lease_ms = lease_ms
        self.node = node
        self.zone = zone
        # Outgoing connections have other addresses, so that they do not take
        # the ports while the process restarts.
        self.http, self.ready, self.admin = (unused.free() for _ in range(3))
        self.log = folder / f"{node}.log"
        self.process: subprocess.Popen | None = None
        self.log_bytes = 0

    def start(self, store_port: int) -> None:
        """Start the process."""
        path = self.folder / f"{self.node}.toml"
        path.write_text(
            SETTINGS.format(
                node=self.node,
                zone=self.zone,
                http=self.http,
                ready=self.ready,
                admin=self.admin,
                store=store_port,
                lease_ms=self.lease_ms,
                revocation_ms=REVOCATION_MS,
            )
        )
        with self.log.open("ab") as log:
            # Lines of earlier processes of the host end here.
            self.log_bytes = log.tell()
            self.process = subprocess.Popen(
                [sys.executable, "-m", "turmerichook._internal.cli.entry"],
                env={**os.environ, "TURMERICHOOK_NODE_FILE": str(path)},
                stdout=log,
                stderr=log,
            )

    def events(self, name: str) -> list[dict]:
        """Return the log lines of one event."""
        return self._events(name, after=0)

    def events_since_start(self, name: str) -> list[dict]:
        """Return the log lines of one event of the present process."""
        return self._events(name, after=self.log_bytes)

    def _events(self, name: str, *, after: int) -> list[dict]:
        text = self.log.read_bytes()[after:] if self.log.exists() else b""
        lines = text.decode().splitlines()
        rows = [json.loads(line) for line in lines if line[:1] == "{"]
        return [row for row in rows if row.get("event") == name]

    @property
    def leading(self) -> bool:
        """Whether the process is the leader according to its log events."""
        if self.process is None or self.process.poll() is not None:
            return False
        gained = len(self.events_since_start("leadership-gained"))
        lost = len(self.events_since_start("leadership-lost"))
        return gained > lost

    def stop(self) -> None:
        """Kill the process if it is still running."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class BatchPlatform:
    """The simulated store and workers, and several entry host processes.

    :param lease_ms: length of the leases on workers in milliseconds.
    :param linked: whether calls of workers, and those of each entry host to
        the store, pass proxies that can be cut.
    :param customers: customers of the configuration in the platform's format;
        None if requests need no key.
    :ivar key: key that callers send, if it is not empty.
    :ivar most_running: the most runs at the same time on all workers.
    :ivar overlaps: tasks that had two runs at the same time.
    :ivar store_links: the proxies between entry hosts and the store, by node.
    """

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        workers: int,
        entries: int,
        lease_ms: int = LEASE_MS,
        enforce_limits: bool = True,
        linked: bool = False,
        customers: list[dict] | None = None,
    ):
        self.enforce_limits = enforce_limits
        self.customers = customers
        self.key = b""
        self.most_running = 0
        self.linked = linked
        self.overlaps: set[model.TaskKey] = set()
        self.store_links: dict[str, proxy.Proxy] = {}
        self.store = StoreHost()
        self.workers = [
            WorkerHost(name=f"i-{n}", zone=ZONES[n % len(ZONES)])
            for n in range(workers)
        ]
        unused = launcher.Addresses()
        self.entries = [
            Entry(
                folder=folder,
                node=f"edge-{n}",
                zone=ZONES[n % len(ZONES)],
                lease_ms=lease_ms,
                unused=unused,
            )
            for n in range(entries)
        ]
        self.store_port = 0
        self.ticker: asyncio.Task | None = None

    async def start(self) -> None:
        """Start everything and wait for the first leader and configuration.

        Returns once every entry host has its configuration in force and one
        of them has recovered the leader's state.
        """
        self.store_port = await self.store.server.start(
            host="127.0.0.1", port=0
        )
        for worker in self.workers:
            await worker.start(linked=self.linked)
            self.store.storage.put(f"servers/{worker.name}", worker.entry())
        self.configure(version=1)
        self.ticker = asyncio.create_task(self._tick())
        for entry in self.entries:
            if self.linked:
                self.store_links[entry.node] = proxy.Proxy(
                    target=("127.0.0.1", self.store_port),
                    plan=lambda: proxy.NO_FAULT,
                )
                await self.store_links[entry.node].start()
            self.start_entry(entry)
        await self.until(
            lambda: (
                any(e.events("recovered") for e in self.entries)
                and all(
                    e.events("configuration-in-force") for e in self.entries
                )
            )
        )

    async def stop(self) -> None:
        """Stop the entry hosts, the workers and the store."""
        for entry in self.entries:
            entry.stop()
        if self.ticker is not None:
            self.ticker.cancel()
        for worker in self.workers:
            await worker.stop()
        for link in self.store_links.values():
            await link.stop()
        await self.store.server.stop(grace=0.0)

    def start_entry(self, entry: Entry) -> None:
        """Start an entry host's process, for the first time or again."""
        link = self.store_links.get(entry.node)
        entry.start(self.store_port if link is None else link.port)

    def configure(self, *, version: int) -> None:
        """Store the operators' configuration under ``op/config``."""
        document = {
            "version": version,
            "routes": [
                {
                    "name": "bells",
                    "host": HOST,
                    "prefix": PREFIX,
                    "type": "non_idempotent",
                    "timeout-ms": 3000,
                    "slo-ms": 300,
                    "priority": 0,
                    "service": "bells",
                    "max-attempts": 3,
                    "slack-factor": 1.5,
                }
            ],
            "services": [
                {"name": "bells", "enforce-limits": self.enforce_limits}
            ],
            "limits": {"max-body-bytes": 262144},
        }
        if self.customers is not None:
            document["tenants"] = self.customers
        self.store.storage.put("op/config", json.dumps(document).encode())

    def resize(self, worker: WorkerHost, millicores: int) -> None:
        """Change a worker's capacity, and write its registry entry."""
        now = asyncio.get_running_loop().time()
        worker.capacities.append((now, millicores))
        self.store.storage.put(f"servers/{worker.name}", worker.entry())

    async def cut(self, worker: WorkerHost) -> None:
        """Cut a worker off from the entry hosts and from the store.

        The worker goes on, and the registry lists it for ``ENTRY_TTL_S`` more.
        Returns once it is no longer listed.
        """
        worker.link.passing.clear()
        await asyncio.sleep(ENTRY_TTL_S)
        self.store.storage.remove(f"servers/{worker.name}")

    def reconnect(self, worker: WorkerHost) -> None:
        """End a worker's cut; it writes its registry entry again."""
        worker.link.passing.set()
        self.store.storage.put(f"servers/{worker.name}", worker.entry())

    def _note_overlaps(self) -> None:
        runs = collections.Counter(
            task for worker in self.workers for task in worker.state.running
        )
        self.overlaps.update(task for task in runs if runs[task] > 1)
        self.most_running = max(self.most_running, runs.total())

    async def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        last = loop.time()
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            # Clocks of workers follow the real time even if this loop is late,
            # as leaders rely on their rate to know when leases end.
            now = loop.time()
            span, last = (now - last) * SECOND, now
            for worker in self.workers:
                worker.tick(span)
                if worker.has_returned():
                    self.store.storage.put(
                        f"servers/{worker.name}", worker.entry()
                    )
            self._note_overlaps()

    async def until(self, condition, timeout: float = START_TIMEOUT_S) -> None:
        """Poll a condition until it holds.

        :raises TimeoutError: if the condition does not hold in time.
        """
        async with asyncio.timeout(timeout):
            while not condition():
                await asyncio.sleep(0.03)

    async def call(
        self, entry: Entry, method: str, job: str, document: dict | None = None
    ) -> calls.Answer:
        """Send a caller's request to an entry host."""
        host, port = addresses.split(entry.http)
        pool = calls.CallPool(
            host=host,
            port=port,
            connections=1,
            authority=HOST,
        )
        body = b"" if document is None else json.dumps(document).encode()
        try:
            return await pool.call(
                method=method,
                target=PREFIX + job,
                body=body,
                headers=[(KEY_HEADER, self.key)] if self.key else None,
                timeout=4.0,
            )
        finally:
            pool.close()

    async def submit(
        self,
        entry: Entry,
        job: str,
        *,
        tasks: int = 3,
        seconds: float = 0.3,
        crash: bool = False,
    ) -> calls.Answer:
        """Submit a job whose second step waits for its first step.

        :param crash: whether its tasks crash the workers that start them.
        """
        millicores = 1000
        task = {"cpu": millicores, "mem-mb": 500, "estimate-ms": 300}
        return await self.call(
            entry,
            "POST",
            job,
            {
                "spec": json.dumps(
                    {"s": seconds, "cpu": millicores, "crash": crash}
                ),
                "steps": [
                    {"count": tasks, **task},
                    {"count": 1, "after": [0], **task},
                ],
            },
        )

    async def submit_long_running(
        self, entry: Entry, job: str, *, tasks: int
    ) -> calls.Answer:
        """Submit a job whose tasks run until the job is cancelled."""
        step = {
            "count": tasks,
            "cpu": 1000,
            "mem-mb": 500,
            "estimate-ms": 600_000,
            "long-running": True,
        }
        document = {"spec": json.dumps({"s": 600}), "steps": [step]}
        return await self.call(entry, "POST", job, document)

    async def state(self, entry: Entry, job: str) -> str:
        """Return a job's state, or the HTTP status as text if not 200."""
        answer = await self.call(entry, "GET", job)
        if answer.status != 200:
            return str(answer.status)
        return answer.json()["state"]

    async def wait_for(self, entry: Entry, job: str, state: str) -> None:
        """Wait until a job reaches a state."""
        async with asyncio.timeout(30):
            while await self.state(entry, job) != state:
                await asyncio.sleep(0.1)

    def leader(self) -> Entry | None:
        """Return the entry host that became the leader last, or None.

        A host that is paused does not know of a later leader.
        """
        return max(
            (entry for entry in self.entries if entry.leading),
            key=lambda entry: entry.events("leadership-gained")[-1]["time"],
            default=None,
        )

    def kill(self, entry: Entry) -> None:
        """Kill an entry host's process with SIGKILL."""
        entry.process.send_signal(signal.SIGKILL)
        entry.process.wait()

    def starts(self) -> list[tuple[model.TaskKey, int]]:
        """Return the task and run number of every started run."""
        return [s for worker in self.workers for s in worker.state.starts]

    def done(self) -> list[model.TaskKey]:
        """Return the tasks that workers completed, once for each run."""
        return [task for worker in self.workers for task in worker.state.done]
