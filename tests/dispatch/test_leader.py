"""Tests of a leader's term with storage and workers in memory."""

import asyncio
import datetime

from tests.dispatch import fakes
from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import keys
from turmerichook._internal.dispatch import leader as leaders
from turmerichook._internal.dispatch import leadership
from turmerichook._internal.metrics import registry
from turmerichook._internal.models import ids
from turmerichook._internal.storage import memory
from turmerichook._internal.workflow import model
from turmerichook._internal.workflow import stored

MS = datetime.timedelta(milliseconds=1)
TASK = model.TaskKey(ids.JobId("00000000000000aa"), 0, 0, 0)


class Registry:
    """A registry format with names of workers as keys; ignores values."""

    prefix = "workers/"

    def decode(self, key, value):
        return fakes.entry(self.worker(key))

    def worker(self, key):
        return ids.WorkerId(key.removeprefix(self.prefix))


class Site:
    """A store, workers and the leaders of successive terms."""

    def __init__(self, *names, storage=memory.MemoryStorage):
        self.clock = clocks.SystemClock()
        self.storage = storage(clock=self.clock)
        self.leader = None
        self.workers = fakes.FakeWorkers(*names)
        self.configuration = fakes.CONFIGURATION
        self.advisor = None
        for name in names:
            self.storage.put(f"workers/{name}", b"")

    async def lead(self):
        """Begin a new term; return it and the asyncio task of its leader."""
        lease = await self.storage.grant_lease(60 * fakes.SECOND)
        self.storage.remove(keys.LEADER)
        self.storage.put(keys.LEADER, b"node")
        term = leadership.Term(
            lease=lease,
            token=ids.FencingToken(self.storage.revision),
            confirmed_at=self.clock.uptime(),
            clock=self.clock,
        )
        leader = leaders.Leader(
            term=term,
            storage=self.storage,
            workers=self.workers,
            registry_format=Registry(),
            configuration=self.configuration,
            advisor=self.advisor,
            closed_zones=(),
            timing=fakes.TIMING,
            metrics=registry.Registry(),
            clock=self.clock,
        )
        self.leader = leader
        return term, asyncio.create_task(leader.run())

    def submit(self, spec):
        """Store a job as the process that accepts jobs does."""
        self.storage.put(keys.job(spec.job), stored.encode_spec(spec))

    def state(self, job):
        """Return the stored state of a job."""
        item = self.storage.items.get(keys.progress(job))
        return stored.decode_state(job, item.value) if item else None

    async def until(self, condition):
        """Wait for a condition, for at most five seconds."""
        async with asyncio.timeout(5):
            while not condition():
                await asyncio.sleep(0.01)


class TestTakeover:
    """A new leader takes over without losing or repeating runs."""

    def test_unacknowledged_end_is_not_lost(self):
        """Guards against a lost end after a takeover.

        This happens if the new leader acknowledges a worker's report before it
        has read the jobs from the store.
        """

        async def scenario():
            site = Site("w1", "w2")
            site.submit(fakes.job())
            first, running = await site.lead()
            workers = site.workers.workers
            await site.until(lambda: any(w.starts for w in workers.values()))
            first.end("killed")
            await running
            busy_worker = next(w for w in workers.values() if w.running)
            busy_worker.end(TASK, model.EndKind.DONE)
            second, running = await site.lead()
            await site.until(
                lambda: site.state(TASK.job) is model.JobState.COMPLETED
            )
            second.end("test")
            await running
            return [start for w in workers.values() for start in w.starts]

        assert asyncio.run(scenario()) == [(TASK, 1)]

    def test_running_task_continues(self):
        """Guards against a second run while the first one continues.

        This happens if a new leader starts a task that is running already.
        """

        async def scenario():
            site = Site("w1", "w2")
            site.submit(fakes.job())
            workers = site.workers.workers
            for _ in range(3):
                term, running = await site.lead()
                await site.until(
                    lambda: any(w.running for w in workers.values())
                )
                await asyncio.sleep(0.2)
                term.end("killed")
                await running
            return [start for w in workers.values() for start in w.starts]

        assert asyncio.run(scenario()) == [(TASK, 1)]


class TestWholeJob:
    """A job is run to its completion."""

    def test_steps_follow_each_other(self):
        """Guards against a step that starts before the step it depends on."""

        async def scenario():
            site = Site("w1")
            site.submit(
                fakes.job(TASK.job, fakes.step(2), fakes.step(1, after=(0,)))
            )
            term, running = await site.lead()
            worker = site.workers.workers["w1"]
            await site.until(lambda: len(worker.running) == 2)
            for task in list(worker.running):
                worker.end(task, model.EndKind.DONE)
            await site.until(lambda: len(worker.starts) == 3)
            last = worker.starts[-1][0]
            worker.end(last, model.EndKind.DONE)
            await site.until(
                lambda: site.state(TASK.job) is model.JobState.COMPLETED
            )
            await site.until(lambda: not worker.ends)
            term.end("test")
            await running
            assert keys.job(TASK.job) not in site.storage.items
            return last.step

        assert asyncio.run(scenario()) == 1

    def test_answers_of_the_store_are_lost(self):
        """Guards against a commit that counts as failed, or is applied twice.

        A commit whose answer is lost may have taken effect or not.
        """

        async def scenario():
            site = Site("w1")
            lost = iter([True, False] * 200)
            site.storage.lose_answer = lambda commit: next(lost)
            for number in range(10):
                site.submit(fakes.job(f"{number:016x}", fakes.step(3)))
            term, running = await site.lead()
            worker = site.workers.workers["w1"]
            for _ in range(100):
                for task in list(worker.running):
                    worker.end(task, model.EndKind.DONE)
                await asyncio.sleep(0.02)
                if len(worker.starts) == 30 and not worker.running:
                    break
            await site.until(
                lambda: all(
                    site.state(f"{n:016x}") is model.JobState.COMPLETED
                    for n in range(10)
                )
            )
            term.end("test")
            await running
            return len(worker.starts), len(set(worker.starts))

        assert asyncio.run(scenario()) == (30, 30)
