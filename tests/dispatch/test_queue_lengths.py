"""Tests of the length of a queue that callers are told, with trouble."""

import asyncio
import datetime

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from tests.dispatch import fakes
from tests.dispatch import test_dispatcher
from tests.dispatch import test_leader
from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import keys
from turmerichook._internal.dispatch import leadership
from turmerichook._internal.dispatch import orders
from turmerichook._internal.dispatch import queue_lengths
from turmerichook._internal.intake import job_store
from turmerichook._internal.metrics import registry
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.storage import interface
from turmerichook._internal.storage import memory
from turmerichook._internal.workflow import model
from turmerichook import exceptions

MS = datetime.timedelta(milliseconds=1)
QUEUE = fakes.QUEUE.queue
JOBS = 10
# A length may be 2 s old; jobs count against the told length after 5 s.
SETTLING_S = 2.0
# Twice as much as one of the fake workers has.
LARGE_DEMAND = resources.Resources(millicores=32_000, memory_mib=1000)
QUARTER = resources.Resources(millicores=4000, memory_mib=1000)
LARGE = fakes.step(demand=LARGE_DEMAND)
LARGE_SECOND = fakes.step(demand=LARGE_DEMAND, after=(0,))


class Storage(memory.MemoryStorage):
    """Storage in memory with calls that hang.

    :ivar hangs: tells whether a commit gets no answer and has no effect.
    :ivar stalled: prefixes of which no watch is answered.
    """

    def __init__(self, *, clock):
        super().__init__(clock=clock)
        self.hangs = lambda commit: False
        self.stalled = set()

    async def commit(self, commit):
        if self.hangs(commit):
            await asyncio.Event().wait()
        return await super().commit(commit)

    async def watch(self, prefix, *, after, wait):
        changes = await super().watch(prefix, after=after, wait=wait)
        if prefix in self.stalled:
            await asyncio.Event().wait()
        return changes


class Workers(fakes.FakeWorkers):
    """Workers that take no start while there is an outcome for all."""

    outcome: orders.Outcome | None = None

    async def start(self, entry, order):
        if self.outcome is not None:
            return self.outcome
        return await super().start(entry, order)


class Site(test_leader.Site):
    """A site with callers' side and faults."""

    def __init__(self, *names):
        super().__init__(*names)
        self.storage = Storage(clock=self.clock)
        for name in names:
            self.storage.put(f"workers/{name}", b"")
        self.workers = Workers(*names)
        self.jobs = job_store.JobStore(storage=self.storage, clock=self.clock)
        self.submitted = 0

    def limit(self):
        """Return the time at which a caller gives up."""
        return self.clock.monotonic() + 300 * MS

    async def accept(self, count, *steps):
        """Accept jobs as callers hand them in."""
        for _ in range(count):
            self.submitted += 1
            spec = fakes.job(f"{self.submitted:016x}", *steps)
            assert await self.jobs.submit(spec, self.limit())

    def ids(self):
        """Return the ids of all jobs accepted so far."""
        return [f"{n:016x}" for n in range(1, self.submitted + 1)]

    async def begun(self, name, count):
        """Wait until a worker has begun some runs."""
        worker = self.workers.workers[name]
        await super().until(lambda: len(worker.starts) == count)

    async def told(self):
        """Return the length that a caller is told."""
        return await self.jobs.pending(QUEUE, self.limit())

    async def settled(self, length):
        """Tell whether a length is told within the time it may be old."""
        try:
            async with asyncio.timeout(SETTLING_S):
                while await self.told() != length:
                    await asyncio.sleep(0.02)
        except TimeoutError:
            return False
        return True


def is_leaders(commit):
    """Tell whether a commit is one of the leader's log."""
    return keys.SEQUENCE in commit.expect


def is_removal_only(commit):
    """Tell whether a commit only takes something out."""
    return bool(commit.removals) and not commit.writes


def play(scenario):
    """Run a scenario and end the leader that it returns."""

    async def whole():
        result, term, running = await scenario()
        if term is not None:
            term.end("test")
            await asyncio.wait_for(running, 5)
        return result

    return asyncio.run(whole())


class TestNobodyCounts:
    """What is told while no leader keeps the lengths up to date."""

    def test_before_the_first_leader(self):
        """Guards against an empty queue where no length was ever stored."""

        async def scenario():
            site = Site()
            await site.accept(JOBS)
            return await site.told(), None, None

        assert play(scenario) == JOBS

    def test_after_a_leader_has_gone(self):
        """Guards against the last length of a leader that has ended."""

        async def scenario():
            site = Site("w1")
            await site.accept(1)
            term, running = await site.lead()
            await site.begun("w1", 1)
            await asyncio.sleep(0.9)
            term.end("killed")
            await running
            await site.accept(JOBS)
            return await site.told(), None, None

        assert play(scenario) >= JOBS

    def test_commit_that_hangs(self):
        """Guards against the length before a leader's commit hung."""

        async def scenario():
            site = Site("w1")
            await site.accept(1)
            term, running = await site.lead()
            await site.begun("w1", 1)
            site.storage.hangs = is_leaders
            await site.accept(JOBS)
            await asyncio.sleep(1)
            told = await site.told()
            running.cancel()
            return told, None, None

        assert play(scenario) >= JOBS

    def test_feed_that_is_behind(self):
        """Guards against a length without jobs that the leader has not read.

        The leader does not learn of them while its watch is not answered.
        """

        async def scenario():
            site = Site("w1")
            await site.accept(1)
            term, running = await site.lead()
            await site.begun("w1", 1)
            site.storage.stalled.add(keys.INBOX_PREFIX)
            await site.accept(JOBS)
            await asyncio.sleep(1)
            return await site.told(), term, running

        assert play(scenario) >= JOBS


class TestAssignedIsNotBegun:
    """A job waits until a worker is known to have begun a task of it."""

    def lengths_with(self, outcome):
        """Return what is told while each start has an outcome."""

        async def scenario():
            site = Site("w1", "w2")
            site.workers.outcome = outcome
            await site.accept(JOBS)
            term, running = await site.lead()
            found = []
            for _ in range(10):
                await asyncio.sleep(0.15)
                found.append(await site.told())
            return found, term, running

        return play(scenario)

    def test_refused_starts(self):
        """Guards against a job that counts as begun by a refused start."""
        refused = orders.Refused(reason=orders.RefusalReason.NO_ROOM)
        assert self.lengths_with(refused) == [JOBS] * 10

    def test_unanswered_starts(self):
        """Guards against a job that counts as begun by a lost start."""
        lost = orders.Unknown(detail="cut off")
        assert self.lengths_with(lost) == [JOBS] * 10

    def test_takeover_with_assignments(self):
        """Guards against assignments of a former leader that never ran."""

        async def scenario():
            site = Site("w1", "w2")
            site.workers.outcome = orders.Unknown(detail="lost")
            await site.accept(JOBS)
            term, running = await site.lead()
            await site.until(
                lambda: all(site.state(job) for job in site.ids())
            )
            term.end("killed")
            await running
            term, running = await site.lead()
            await asyncio.sleep(1)
            return await site.told(), term, running

        assert play(scenario) == JOBS


class TestTruthReturns:
    """Once things are calm, the length is what waits."""

    def test_jobs_that_run_and_jobs_that_wait(self):
        """Guards against jobs that count although they run, or have ended."""

        async def scenario():
            site = Site("w1")
            await site.accept(JOBS)
            await site.accept(3, LARGE)
            term, running = await site.lead()
            await site.begun("w1", JOBS)
            worker = site.workers.workers["w1"]
            for task in list(worker.running)[:5]:
                worker.end(task, model.EndKind.DONE)
            return await site.settled(3), term, running

        assert play(scenario)

    def test_canceled_before_it_began(self):
        """Guards against a canceled job that waits for ever."""

        async def scenario():
            site = Site("w1")
            await site.accept(2, LARGE)
            term, running = await site.lead()
            assert await site.settled(2)
            await site.jobs.cancel(site.ids()[0], site.limit())
            return await site.settled(1), term, running

        assert play(scenario)

    def test_job_that_a_former_leader_began(self):
        """Guards against a job that counts for ever after a takeover.

        The former leader has noted the end of its first step, but has not
        taken the job out of the queue's length.
        """

        async def scenario():
            site = Site("w1")
            await site.accept(1, fakes.step(), LARGE_SECOND)
            site.storage.hangs = is_removal_only
            term, running = await site.lead()
            await site.begun("w1", 1)
            worker = site.workers.workers["w1"]
            worker.end(next(iter(worker.running)), model.EndKind.DONE)
            await site.until(lambda: not worker.ends)
            assert await site.told() == 1
            term.end("killed")
            await running
            site.storage.hangs = lambda commit: False
            term, running = await site.lead()
            return await site.settled(0), term, running

        assert play(scenario)

    def test_job_without_an_item(self):
        """Guards against a job of an earlier version that never counts."""

        async def scenario():
            site = Site("w1")
            for number in range(40):
                site.submit(fakes.job(f"{number:016x}", LARGE))
            term, running = await site.lead()
            found = await site.settled(40)
            return found, term, running

        assert play(scenario)

    def test_no_item_returns(self):
        """Guards against a job that counts again after it has begun.

        Each sweep reads the items while jobs begin and others are accepted.
        """

        async def scenario():
            site = Site("w1")
            term, running = await site.lead()
            for _ in range(15):
                await site.accept(1)
                await asyncio.sleep(0.07)
            await asyncio.sleep(SETTLING_S)
            written = [
                change.key
                for change in site.storage.history
                if isinstance(change, interface.Item)
                and change.key.startswith(keys.WAITING_PREFIX)
            ]
            return (len(written), await site.told()), term, running

        assert play(scenario) == (15, 0)

    def test_more_jobs_than_a_commit_holds(self):
        """Guards against jobs that are left over by a full commit."""

        async def scenario():
            site = Site("w1", "w2", "w3", "w4", "w5")
            await site.accept(75)
            term, running = await site.lead()
            return await site.settled(0), term, running

        assert play(scenario)


class Machine(stateful.RuleBasedStateMachine):
    """Random series of faults of the store, the leader and the workers.

    Each job's length is compared with what the workers have really begun.
    """

    def __init__(self):
        super().__init__()
        self.clock = clocks.ManualClock()
        self.storage = memory.MemoryStorage(clock=self.clock)
        self.jobs = job_store.JobStore(storage=self.storage, clock=self.clock)
        self.rig = test_dispatcher.Rig("a", "b")
        self.accepted = {}
        # Jobs that the leader's feed has not brought yet.
        self.unread = []
        self.canceled = set()
        self.late = []
        self.former = []
        self.lead()

    def call(self, awaitable):
        """Run a call to its end."""
        return asyncio.run(awaitable)

    def lead(self):
        """Let a new leader's sweeps begin."""
        self.storage.put(keys.LEADER, b"node")
        term = leadership.Term(
            lease=ids.LeaseId("1"),
            token=ids.FencingToken(self.storage.revision),
            confirmed_at=self.clock.uptime(),
            clock=self.clock,
        )
        self.lengths = queue_lengths.QueueLengths(
            storage=self.storage,
            term=term,
            dispatcher=self.rig.dispatcher,
            metrics=registry.Registry(),
            clock=self.clock,
        )

    def begun(self):
        """Return the jobs of which a worker has begun a task."""
        return {
            task.job
            for worker in self.rig.workers.values()
            for task, _ in worker.starts
        }

    def truth(self):
        """Return the jobs that wait."""
        return set(self.accepted) - self.begun() - self.canceled

    def told(self):
        return self.call(self.jobs.pending(QUEUE, self.clock.monotonic()))

    @stateful.rule(
        count=strategies.integers(1, 4), tasks=strategies.integers(1, 3)
    )
    def submit(self, count, tasks):
        for _ in range(count):
            spec = fakes.job(
                f"{len(self.accepted):016x}",
                fakes.step(tasks, demand=QUARTER),
                fakes.step(1, demand=QUARTER, after=(0,)),
            )
            found = self.call(self.jobs.submit(spec, self.clock.monotonic()))
            if isinstance(found, job_store.Stored):
                self.accepted[spec.job] = spec
                self.unread.append(spec)

    @stateful.rule(count=strategies.integers(1, 4))
    def read_inbox(self, count):
        for spec in self.unread[:count]:
            self.rig.submit(spec)
        del self.unread[:count]

    @stateful.rule(
        refuse=strategies.lists(strategies.booleans(), max_size=6),
        lose=strategies.lists(strategies.booleans(), max_size=6),
    )
    def place(self, refuse, lose):
        for number, start in enumerate(self.rig.place()):
            if number < len(refuse) and refuse[number]:
                self.rig.dispatcher.settlement.take_start_outcome(
                    self.rig.dispatcher.workers[start.worker],
                    start.run,
                    orders.Refused(reason=orders.RefusalReason.NO_ROOM),
                    self.rig.now,
                )
            else:
                self.rig.send(start, number < len(lose) and lose[number])

    @stateful.rule()
    def place_and_send_nothing(self):
        self.rig.place()

    @stateful.rule(name=strategies.sampled_from("ab"))
    def look(self, name):
        self.rig.look(name)
        self.rig.send_stops()

    @stateful.rule(name=strategies.sampled_from("ab"))
    def end(self, name):
        worker = self.rig.workers[name]
        if worker.running:
            worker.end(next(iter(worker.running)), model.EndKind.DONE)

    @stateful.rule(
        name=strategies.sampled_from("ab"), cut=strategies.booleans()
    )
    def cut(self, name, cut):
        self.rig.workers[name].cut_off = cut

    @stateful.rule(number=strategies.integers(0, 9))
    def cancel(self, number):
        taken = list(self.rig.dispatcher.jobs)
        if number < len(taken):
            self.rig.dispatcher.cancel(taken[number], self.rig.now)
            self.canceled.add(taken[number])

    @stateful.rule()
    def take_over(self):
        self.former.append(self.lengths)
        self.read_inbox(len(self.unread))
        self.rig.take_over()
        for job in self.canceled:
            self.rig.dispatcher.cancel(job, self.rig.now)
        self.lead()

    @stateful.rule(former=strategies.booleans(), lose=strategies.booleans())
    def sweep(self, former, lose):
        lengths = self.lengths
        if former and self.former:
            lengths = self.former[0]
        self.storage.lose_answer = lambda commit: lose
        try:
            self.call(lengths.sweep())
        except exceptions.StoreError:
            pass
        self.storage.lose_answer = lambda commit: False

    @stateful.rule()
    def sweep_whose_commit_comes_late(self):
        held = HeldCommits(self.storage)
        self.lengths.storage = held
        try:
            self.call(self.lengths.sweep())
        except exceptions.StoreError:
            pass
        self.lengths.storage = self.storage
        self.late += held.commits

    @stateful.rule()
    def late_commits(self):
        if not self.storage.down:
            for commit in self.late:
                self.call(self.storage.commit(commit))
            self.late = []

    @stateful.rule(down=strategies.booleans())
    def store(self, down):
        self.storage.down = down

    @stateful.rule(milliseconds=strategies.integers(50, 4000))
    def advance(self, milliseconds):
        self.rig.advance(milliseconds * MS)
        self.clock.advance(milliseconds * MS)

    @stateful.invariant()
    def never_too_low(self):
        told = self.told()
        if not isinstance(told, job_store.Unsettled):
            assert told >= len(self.truth())

    def teardown(self):
        """Once things are calm, the length is what waits."""
        self.storage.down = False
        self.late_commits()
        for worker in self.rig.workers.values():
            worker.cut_off = False
        self.read_inbox(len(self.unread))
        for _ in range(10):
            self.rig.advance(400 * MS)
            self.rig.step()
        self.call(self.lengths.sweep())
        assert self.told() == len(self.truth())


class HeldCommits:
    """Storage whose commits get no answer and come later."""

    def __init__(self, storage):
        self.storage = storage
        self.commits = []

    async def page(self, prefix, *, after=""):
        return await self.storage.page(prefix, after=after)

    async def commit(self, commit):
        self.commits.append(commit)
        raise exceptions.StoreOutcomeUnknownError(message="no answer")


TestMachine = Machine.TestCase
TestMachine.settings = hypothesis.settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
