"""A runner, as PROTOCOL.md describes it.

The text of a task's specification is JSON that only this stand-in reads:
``ms`` is the time that the first task of a step works, and ``more-ms`` what
each further one works longer. ``gang`` is the number of members of a gang.
"""

import asyncio
import json
import time

from standin import http

HEARTBEAT_S = 1.1
MISSED_HEARTBEATS = 3
ENDS_LISTED_MAX = 500
HOLD_MAX_MS = 10_000
STOP_S = 0.1
TICK_S = 0.01
GANG_TIMEOUT_S = 3.0


class Run:
    """One run of a task."""

    def __init__(self, owner, task, number, spec, now):
        self.owner = owner
        self.task = task
        self.number = number
        self.spec = json.loads(spec)
        self.text = spec
        self.worked_ms = 0.0
        index = int(task.rpartition(".")[2])
        self.ms = self.spec["ms"] + index * self.spec.get("more-ms", 0)
        self.at = now
        self.began = now
        self.together = False
        self.stopping_at = None


class Runner:
    """One machine with a runner, through all of its lives.

    :param record: called with a word and fields for each thing to record.
    """

    def __init__(self, *, name, store, record, labels, zone, cpu=16000):
        self.name = name
        self.store = store
        self.record = record
        self.labels = labels
        self.zone = zone
        self.cpu = cpu
        self.server = http.Server(self._handle)
        self.port = 0
        self.up = False
        self.sequence = 0
        self.tasks = []
        self.removal = None
        self.peers = {}
        self._reset()

    def _reset(self):
        self.started_at = time.monotonic()
        self.born = int(time.time() * 1000)
        self.token = 0
        self.lease_until = 0
        self.running = {}
        self.closed = {}
        self.ends = []
        self.last_end = 0
        self.ended = asyncio.Event()
        self.lapses = 0

    def clock_ms(self):
        """Return this life's steady clock."""
        return int((time.monotonic() - self.started_at) * 1000) + 1000

    async def start(self):
        """Begin a life, at the same address as the one before."""
        self._reset()
        if self.removal is not None:
            self.removal.cancel()
        await self.server.start(self.port)
        self.port = self.server.port
        self.up = True
        self.record("runner-up", runner=self.name, born=self.born)
        self.tasks = [
            asyncio.create_task(self._heartbeat()),
            asyncio.create_task(self._tick()),
        ]

    def crash(self):
        """End this life: everything that runs is lost."""
        self.record(
            "runner-crash",
            runner=self.name,
            runs=[(r.task, r.number) for r in self.running.values()],
        )
        self.up = False
        for task in self.tasks:
            task.cancel()
        self.server.close()
        lost, self.running = self.running, {}
        for run in lost.values():
            self._break_gang(run)
        self.removal = asyncio.create_task(self._remove_entry())

    async def _remove_entry(self):
        await asyncio.sleep(HEARTBEAT_S * MISSED_HEARTBEATS)
        self.store.remove(f"servers/{self.name}")

    def close(self):
        """End without a record."""
        self.up = False
        for task in self.tasks:
            task.cancel()
        if self.removal is not None:
            self.removal.cancel()
        self.server.close()

    def publish(self):
        """Write the registry entry."""
        self.sequence += 1
        entry = {
            "service": "tolls",
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "capacity": 8,
            "state": "ready",
            "cold-remaining-ms": 0,
            "free-capacity": {"cpu": self.cpu, "mem-mb": 64000, "gpu": 0},
            "labels": self.labels,
            "clock-ms": self.clock_ms(),
            "born": self.born,
            "sequence": self.sequence,
        }
        self.store.put(f"servers/{self.name}", json.dumps(entry).encode())

    async def _heartbeat(self):
        while True:
            self.publish()
            await asyncio.sleep(HEARTBEAT_S)

    async def _tick(self):
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            if self.running and self.clock_ms() > self.lease_until:
                self.record("lapse", runner=self.name)
                for run in list(self.running.values()):
                    self._end(run, "lapsed")
            for run in list(self.running.values()):
                self._work(run, now)

    def _work(self, run, now):
        if run.stopping_at is not None:
            if now >= run.stopping_at:
                self._end(run, "stopped")
            return
        gang = run.spec.get("gang")
        if gang and not self._gang_together(run, gang):
            run.at = now
            if now - run.began > GANG_TIMEOUT_S:
                self._end(run, "alone")
            return
        run.worked_ms += (now - run.at) * 1000
        run.at = now
        if run.worked_ms >= run.ms:
            self._end(run, "done")
            if gang:
                for other in self._gang_members(run):
                    other.owner._end(other, "done")

    def _gang_members(self, run):
        """Return the other members of a gang's run that are present."""
        step = run.task.rpartition(".")[0]
        return [
            other
            for runner in self.peers.values()
            for other in runner.running.values()
            if other.task.rpartition(".")[0] == step
            and other is not run
            and other.number == run.number
        ]

    def _gang_together(self, run, gang):
        if run.together:
            return True
        members = self._gang_members(run)
        if len(members) + 1 < gang:
            return False
        for member in [run, *members]:
            member.together = True
        self.record("gang-together", task=run.task, run=run.number)
        return True

    def _end(self, run, how):
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        self.closed[run.task] = max(
            self.closed.get(run.task, 0), run.number
        )
        self.last_end += 1
        row = [self.last_end, run.task, run.number, how, ""]
        self.ends.append(row)
        self.record(
            "end", runner=self.name, born=self.born, n=self.last_end,
            task=run.task, run=run.number, how=how,
        )
        self.ended.set()
        if how in ("stopped", "lapsed"):
            self._break_gang(run)

    def _break_gang(self, run):
        if run.spec.get("gang") and run.together:
            for other in self._gang_members(run):
                other.owner._end(other, "broken")

    async def _handle(self, request):
        if not self.up:
            raise http.Broken
        if request.headers.get("turmerichook-target-instance") != self.name:
            return 421, {}
        document = request.json()
        if document.get("fencing-token", 0) < self.token:
            return 409, self._answer(reason="fence")
        self.token = document.get("fencing-token", 0)
        match request.path:
            case "/v1/run-start":
                return self._start(document)
            case "/v1/run-stop":
                return self._stop(document)
            case "/v1/pace":
                return 200, self._answer()
            case "/v1/hold":
                return await self._hold(document)
        return 404, {}

    def _answer(self, **fields):
        return {"clock-ms": self.clock_ms(), "born": self.born, **fields}

    def _extend(self, deadline):
        if deadline is not None:
            latest = min(deadline, self.clock_ms() + HOLD_MAX_MS)
            self.lease_until = max(self.lease_until, latest)

    def _start(self, document):
        task, number = document["task"], document["run"]
        present = self.running.get(task)
        if present is not None and present.number == number:
            self._extend(document["deadline-ms"])
            return 200, self._answer()
        if number <= self.closed.get(task, 0) or present is not None:
            self._extend(document["deadline-ms"])
            return 409, self._answer(reason="old")
        if document["deadline-ms"] <= self.clock_ms():
            return 409, self._answer(reason="late")
        self._extend(document["deadline-ms"])
        now = time.monotonic()
        run = Run(self, task, number, document["spec"], now)
        self.running[task] = run
        self.record(
            "start", runner=self.name, born=self.born, task=task, run=number,
            token=self.token,
        )
        return 200, self._answer()

    def _stop(self, document):
        task, number = document["task"], document["run"]
        run = self.running.get(task)
        if run is not None and run.number <= number:
            if run.stopping_at is None:
                self.record(
                    "stop", runner=self.name, task=task, run=number
                )
                run.stopping_at = time.monotonic() + STOP_S
        else:
            self.closed[task] = max(self.closed.get(task, 0), number)
        return 200, self._answer()

    async def _hold(self, document):
        self._extend(document.get("deadline-ms"))
        cursor = document.get("ack-cursor", 0)
        noted = [row for row in self.ends if row[0] <= cursor]
        if noted:
            self.ends = [row for row in self.ends if row[0] > cursor]
            self.record(
                "ack", runner=self.name, born=self.born, cursor=cursor,
                ends=len(noted),
            )
        wait = document.get("wait-ms", 0)
        if wait and not self.ends:
            self.ended.clear()
            try:
                async with asyncio.timeout(min(wait, 2000) / 1000):
                    await self.ended.wait()
            except TimeoutError:
                pass
            if not self.up:
                raise http.Broken
        return 200, self._answer(
            running=[self._row(run) for run in self.running.values()],
            finished=self.ends[:ENDS_LISTED_MAX],
        )

    def _row(self, run):
        percent = min(99, int(run.worked_ms * 100 / run.ms))
        return [run.task, run.number, "", percent, 10]
