"""Processor time of the leader for each start that it sends to a worker.

Real: the leader's process, its HTTP calls and the sockets. Workers, store and
callers are stand-ins in the process of the measurement; jobs are handed in at
another entry process, so that the leader's time is that of leading alone.
Each report, end and commit that belongs to a start is counted in. The leader
waits for most of the time here, so that few of its readings and writes share
a turn of the event loop; under full load a start costs less.
"""

import asyncio
import json
import pathlib
import tempfile

from bench import processes
from bench import results
from standins import batch_platform
from turmerichook._internal.dispatch import orders
from turmerichook._internal.workflow import model

WORKERS = 175
STARTS_PER_SECOND = 250
TASKS_PER_JOB = 15
# Times of the tasks of one job after the other: a worker runs one or two, and
# none of them counts as stalled although its progress stands still.
TASK_S = (0.6, 0.9, 1.2)
WARM_UP_S = 4.0
MEASURED_S = 10.0
# The code before the exchange was made cheaper (b86500d) by this measurement,
# mean of 2198 and 2049 while this code took 1864 and 1761 side by side with
# it, on eight cores that others kept busy.
EARLIER_US_PER_START = 2124.0
MICROSECONDS = 1_000_000
# As long as the texts that the users' callers hand in with a job.
PADDING = "x" * 300


class Host(batch_platform.WorkerHost):
    """A worker whose tasks end at their time and not at the next tick."""

    def __init__(self, *, name: str, zone: str):
        super().__init__(name=name, zone=zone)
        self.reports = 0

    def tick(self, span) -> None:
        """Let the worker's clock go on."""
        self.state.clock += span

    def _start(self, document: dict) -> orders.Outcome:
        before = len(self.state.starts)
        outcome = super()._start(document)
        if len(self.state.starts) > before:
            task = self.state.starts[-1][0]
            asyncio.get_running_loop().call_at(
                self.ends_at.pop(task), self._end, task
            )
        return outcome

    def _end(self, task: model.TaskKey) -> None:
        if task in self.state.running:
            self.state.end(task, model.EndKind.DONE)
            self.changed.set()

    async def _hold(self, exchange, document: dict) -> None:
        self.reports += 1
        await super()._hold(exchange, document)


class Load:
    """Callers that hand in jobs at a steady rate."""

    def __init__(self, platform: batch_platform.BatchPlatform):
        self.platform = platform
        self.handed_in = 0

    async def run(self, seconds: float) -> None:
        """Hand jobs in for some time."""
        loop = asyncio.get_running_loop()
        begin = loop.time()
        entry = next(e for e in self.platform.entries if not e.leading)
        rate = STARTS_PER_SECOND / TASKS_PER_JOB
        calls: set[asyncio.Task] = set()
        for number in range(int(seconds * rate)):
            await asyncio.sleep(begin + number / rate - loop.time())
            self.handed_in += 1
            call = loop.create_task(self._hand_in(entry, self.handed_in))
            calls.add(call)
            call.add_done_callback(calls.discard)

    async def _hand_in(self, entry: batch_platform.Entry, number: int) -> None:
        task = {"cpu": 1000, "mem-mb": 500, "estimate-ms": 600}
        await self.platform.call(
            entry,
            "POST",
            f"{number:016x}",
            {
                "spec": json.dumps(
                    {"s": TASK_S[number % len(TASK_S)], "text": PADDING}
                ),
                "steps": [{"count": TASKS_PER_JOB, **task}],
            },
        )


async def measure(folder: pathlib.Path) -> list[results.Result]:
    """Return the leader's figures under a steady load."""
    platform = batch_platform.BatchPlatform(
        folder=folder, workers=0, entries=2
    )
    hosts = [
        Host(name=f"i-{n}", zone=batch_platform.ZONES[n % 2])
        for n in range(WORKERS)
    ]
    platform.workers += hosts
    try:
        await platform.start()
        pid = platform.leader().process.pid
        running = asyncio.create_task(
            Load(platform).run(WARM_UP_S + MEASURED_S)
        )
        await asyncio.sleep(WARM_UP_S)
        before = _counts(hosts)
        used = processes.usage(pid).cpu_s
        await asyncio.sleep(MEASURED_S)
        starts, ends, reports = (
            after - earlier
            for after, earlier in zip(_counts(hosts), before, strict=True)
        )
        usage = processes.usage(pid)
        await running
    finally:
        await platform.stop()
    return [
        results.Result(
            name="leader.processor_per_start",
            value=(usage.cpu_s - used) * MICROSECONDS / starts,
            unit="us",
            baseline=EARLIER_US_PER_START,
        ),
        results.Result(
            name="leader.starts", value=starts / MEASURED_S, unit="1/s"
        ),
        results.Result(
            name="leader.reports_per_end", value=reports / ends, unit="1"
        ),
        results.Result(
            name="leader.rss", value=usage.resident_mib, unit="MiB"
        ),
    ]


def _counts(hosts: list[Host]) -> tuple[int, int, int]:
    """Return the starts, ends and reports of all workers so far."""
    return (
        sum(len(host.state.starts) for host in hosts),
        sum(len(host.state.done) for host in hosts),
        sum(host.reports for host in hosts),
    )


def run() -> list[results.Result]:
    """Return all rows."""
    with tempfile.TemporaryDirectory() as name:
        return asyncio.run(measure(pathlib.Path(name)))
