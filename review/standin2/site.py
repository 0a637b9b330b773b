"""A small deployment on loopback for the scripts of the second review.

The store and the runners are the project's own stand-ins, in the event loop
of the script. Each entry host is a separate process, which is started with
the command of the deploy file and with the settings of a small site.
"""

import asyncio
import collections.abc
import json
import os
import pathlib
import signal
import subprocess
import time
import traceback
import typing

from standin2 import link as links
from standins import batch_platform
from turmerichook._internal.http import addresses
from turmerichook._internal.http import calls

ROOT = pathlib.Path.cwd()
SETTINGS = """\
node-name = "{node}"
role = "entry"
machine-class = "edge"
serves = ["edge", "control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "malopolska"
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat-ms = 1100
policies = ["base", "drain", "config", "recover", "sched", "platform"]
commands = "call"
[zones]
krakow = "malopolska"
tarnow = "malopolska"
[bind-addresses]
http = "{http}"
readiness = "{ready}"
admin = "{admin}"
[limits]
cpu-quota = 0.537
cpu-cores = 2
memory-mb = 300
max-fds = 4100
[policy-params]
contact-ms = 3000
ack-timeout-ms = 4000
drain-timeout-ms = 2000
grace-s = 6
config-apply-ms = 2000
evacuate-ms = 5000
hold-max-ms = 10000
stop-timeout-ms = 400
gang-timeout-ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
checkpoint-interval-s = 2
restore-ms = 100
[platform]
address = "127.0.0.1:{store}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
retention-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
"""


class Entry(batch_platform.Entry):
    """An entry host, started as the deploy file says."""

    def start(self, store_port: int) -> None:
        """Start the process."""
        path = self.folder / f"{self.node}.toml"
        path.write_text(
            SETTINGS.format(
                node=self.node,
                ip=self.http.partition(":")[0],
                zone=self.zone,
                http=self.http,
                ready=self.ready,
                admin=self.admin,
                store=store_port,
            )
        )
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = "target/deps"
        env["TURMERICHOOK_NODE_FILE"] = str(path)
        with self.log.open("ab") as log:
            self.log_bytes = log.tell()
            self.process = subprocess.Popen(
                ["python3", "-m", "turmerichook._internal.cli.entry"],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )


class Site(batch_platform.BatchPlatform):
    """The stand-ins, the entry hosts, and a record of what was seen."""

    def __init__(self, *, folder: pathlib.Path, **options):
        super().__init__(folder=folder, **options)
        self.entries = [
            _as_started_by_the_platform(entry) for entry in self.entries
        ]
        self.began = time.monotonic()
        self.record: list[str] = []
        # The links between the entry hosts and the store, if there are any.
        self.links: dict[str, links.Link] = {}

    async def link_store(self) -> None:
        """Let the channels of each entry host to the store pass a link.

        Must be called before ``start``.
        """
        self.store_port = await self.store.server.start(
            host="127.0.0.1", port=0
        )
        for entry in self.entries:
            self.links[entry.node] = links.Link(("127.0.0.1", self.store_port))
            await self.links[entry.node].start()

    async def start(self) -> None:
        """Start everything and wait for the first leader."""
        if not self.links:
            await super().start()
            return
        for worker in self.workers:
            await worker.start()
            self.store.storage.put(f"servers/{worker.name}", worker.entry())
        self.configure(version=1)
        self.ticker = asyncio.create_task(self._tick())
        for entry in self.entries:
            self.start_entry(entry)
        await self.until(
            lambda: (
                any(e.events("recovered") for e in self.entries)
                and all(
                    e.events("configuration-in-force") for e in self.entries
                )
            )
        )

    def start_entry(self, entry: batch_platform.Entry) -> None:
        """Start an entry host's process."""
        link = self.links.get(entry.node)
        entry.start(self.store_port if link is None else link.port)

    async def stop(self) -> None:
        """Stop everything."""
        await super().stop()
        for link in self.links.values():
            await link.stop()

    def note(self, text: str) -> None:
        """Add a line to the record."""
        line = f"{time.monotonic() - self.began:8.3f} {text}"
        self.record.append(line)
        print(line, flush=True)

    async def ask(
        self,
        entry: batch_platform.Entry,
        method: str,
        job: str,
        document: dict | None = None,
        *,
        host: str = batch_platform.HOST,
        prefix: str = batch_platform.PREFIX,
        timeout: float = 3.0,
    ) -> tuple[int, dict]:
        """Make a client's request; status 0 stands for no answer in time."""
        address, port = addresses.split(entry.http)
        pool = calls.CallPool(
            host=address, port=port, connections=1, authority=host
        )
        body = b"" if document is None else json.dumps(document).encode()
        try:
            answer = await pool.call(
                method=method,
                target=prefix + job,
                body=body,
                headers=[
                    (b"content-type", b"application/json"),
                    (
                        b"turmerichook-request-timeout-ms",
                        str(int(timeout * 1000)).encode(),
                    ),
                ],
                timeout=timeout,
            )
        except Exception as error:
            self.note(
                f"{method} {prefix}{job} to {entry.node}: no answer"
                f" ({type(error).__name__})"
            )
            return 0, {}
        finally:
            pool.close()
        try:
            content = json.loads(answer.body)
        except ValueError:
            content = {}
        self.note(
            f"{method} {prefix}{job} to {entry.node}:"
            f" {answer.status} {content}"
        )
        return answer.status, content

    async def hand_in(self, job: str, document: dict, **options) -> bool:
        """Hand a job in as a client with four retries does."""
        for attempt in range(5):
            entry = self.entries[attempt % len(self.entries)]
            status, _ = await self.ask(entry, "POST", job, document, **options)
            if 200 <= status < 300:
                return True
            await asyncio.sleep(0.3)
        return False

    async def look(self, job: str, **options) -> str:
        """Return a job's state, asking each entry host; empty if unknown."""
        for entry in self.entries:
            status, content = await self.ask(entry, "GET", job, **options)
            if status == 200:
                return content.get("state", "")
            if status == 410:
                return "410"
        return ""

    def note_runs(self) -> None:
        """Add the runs of all runners to the record."""
        for worker in self.workers:
            self.note(
                f"runner {worker.name}: started "
                + ", ".join(
                    f"{worker_task.text()} run {run}"
                    for worker_task, run in worker.state.starts
                )
            )
            self.note(
                f"runner {worker.name}: ended "
                + ", ".join(
                    f"{end.task.text()} run {end.run} {end.kind.value}"
                    for end in worker.ended
                )
            )

    def note_leaders(self) -> None:
        """Add what the entry hosts logged of the leadership."""
        rows = []
        for entry in self.entries:
            for name in (
                "leadership-gained",
                "leadership-lost",
                "leader-failed",
            ):
                rows += [
                    (row["time"], entry.node, name, row.get("reason", ""))
                    for row in entry.events(name)
                ]
        for row in sorted(rows):
            self.note("log " + " ".join(row))

    def note_orders(self) -> None:
        """Add what the leader logged of orders without an answer."""
        rows = []
        for entry in self.entries:
            for name in ("start-unknown", "run-stopped", "run-lost"):
                rows += [
                    (
                        row["time"],
                        entry.node,
                        name,
                        f"{row['job']}.{row['task']} run {row['run']}"
                        f" on {row['worker']}",
                        row.get("reason", ""),
                        row.get("detail", ""),
                    )
                    for row in entry.events(name)
                ]
        for row in sorted(rows):
            self.note("log " + " ".join(row))

    def note_failures(self) -> None:
        """Add what the leader logged of crashes and of failed jobs."""
        rows = []
        for entry in self.entries:
            for name in ("task-crashed-worker", "job-failed"):
                rows += [
                    (
                        row["time"],
                        entry.node,
                        name,
                        f"{row['job']} {row['task']} run {row['run']}",
                        row.get("worker", ""),
                        row.get("reason", ""),
                        f"crashes={row['crashes']}",
                    )
                    for row in entry.events(name)
                ]
        for row in sorted(rows):
            self.note("log " + " ".join(row))


def run(
    main: collections.abc.Callable[
        [], collections.abc.Coroutine[typing.Any, typing.Any, int]
    ],
) -> int:
    """Run a case and return its exit status.

    The case ends with status 2 on SIGTERM, after its own cleaning up, and
    after an error of its own.
    """

    async def cancelled_by_signal() -> int:
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, task.cancel
        )
        try:
            return await main()
        except asyncio.CancelledError:
            return 2
        except Exception:
            traceback.print_exc()
            return 2

    return asyncio.run(cancelled_by_signal())


def _as_started_by_the_platform(entry: batch_platform.Entry) -> Entry:
    started = Entry.__new__(Entry)
    started.__dict__.update(entry.__dict__)
    return started
