"""Tests of the queue length that callers get, with various faults."""

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
# A length may be 2 s out of date; jobs are counted against the reported length
# after 5 s.
SETTLING_S = 2.0
# Twice the processors of a fake worker.
LARGE_DEMAND = resources.Resources(millicores=32_000, memory_mib=1000)
QUARTER_DEMAND = resources.Resources(millicores=4000, memory_mib=1000)
LARGE_STEP = fakes.step(demand=LARGE_DEMAND)
LARGE_SECOND_STEP = fakes.step(demand=LARGE_DEMAND, after=(0,))


class Storage(memory.MemoryStorage):
    """Storage in memory in which calls can hang.

    :ivar hangs: tells whether a commit has no effect and gets no answer.
    :ivar stalled: prefixes whose watches get no answer.
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
    """Workers that can ignore starts.

    :ivar outcome: returned for each start instead of sending it, if set.
    """

    outcome: orders.Outcome | None = None

    async def start(self, entry, order):
        if self.outcome is not None:
            return self.outcome
        return await super().start(entry, order)


class Site(test_leader.Site):
    """A site with the interface of callers, and with faults."""

    def __init__(self, *names):
        super().__init__(*names)
        self.storage = Storage(clock=self.clock)
        for name in names:
            self.storage.put(f"workers/{name}", b"")
        self.workers = Workers(*names)
        self.jobs = job_store.JobStore(storage=self.storage, clock=self.clock)
        self.submitted = 0

    def deadline(self):
        """Return the deadline of a caller's request."""
        return self.clock.monotonic() + 300 * MS

    async def accept(self, count, *steps):
        """Accept jobs as submitted by callers."""
        for _ in range(count):
            self.submitted += 1
            spec = fakes.job(f"{self.submitted:016x}", *steps)
            assert await self.jobs.submit(spec, self.deadline())

    def ids(self):
        """Return the ids of all jobs accepted so far."""
        return [f"{n:016x}" for n in range(1, self.submitted + 1)]

    async def wait_until_begun(self, name, count):
        """Wait until a worker has begun this number of runs."""
        worker = self.workers.workers[name]
        await super().until(lambda: len(worker.starts) == count)

    async def reported_length(self):
        """Return the length that a caller gets."""
        return await self.jobs.waiting_jobs_count(QUEUE, self.deadline())

    async def reaches_length(self, length):
        """Tell whether callers get this length within ``SETTLING_S``."""
        try:
            async with asyncio.timeout(SETTLING_S):
                while await self.reported_length() != length:
                    await asyncio.sleep(0.02)
        except TimeoutError:
            return False
        return True


def is_of_commit_log(commit):
    """Tell whether a commit belongs to the leader's commit log."""
    return keys.SEQUENCE in commit.expect


def is_removal_only(commit):
    """Tell whether a commit only removes keys."""
    return bool(commit.removals) and not commit.writes


def run_scenario(scenario):
    """Run a scenario, end its leader, and return its result.

    A scenario returns a result, the leader's term and its task, or None twice.
    """

    async def run_and_stop():
        result, term, running = await scenario()
        if term is not None:
            term.end("test")
            await asyncio.wait_for(running, 5)
        return result

    return asyncio.run(run_and_stop())


class TestWithoutUpdates:
    """Lengths while no leader updates them."""

    def test_before_the_first_leader(self):
        """Guards against a length of zero before any leader has run."""

        async def scenario():
            site = Site()
            await site.accept(JOBS)
            return await site.reported_length(), None, None

        assert run_scenario(scenario) == JOBS

    def test_after_a_leader_has_ended(self):
        """Guards against an outdated length after a leader has ended.

        Jobs that are accepted later must count at once.
        """

        async def scenario():
            site = Site("w1")
            await site.accept(1)
            term, running = await site.lead()
            await site.wait_until_begun("w1", 1)
            await asyncio.sleep(0.9)
            term.end("killed")
            await running
            await site.accept(JOBS)
            return await site.reported_length(), None, None

        assert run_scenario(scenario) >= JOBS

    def test_commit_that_hangs(self):
        """Guards against an outdated length while the leader's commit hangs.

        Jobs that are accepted meanwhile must count at once.
        """

        async def scenario():
            site = Site("w1")
            await site.accept(1)
            term, running = await site.lead()
            await site.wait_until_begun("w1", 1)
            site.storage.hangs = is_of_commit_log
            await site.accept(JOBS)
            await asyncio.sleep(1)
            reported_length = await site.reported_length()
            running.cancel()
            return reported_length, None, None

        assert run_scenario(scenario) >= JOBS

    def test_feed_that_is_behind(self):
        """Guards against a length without the jobs the leader has not read.

        The leader does not read new jobs while its watch is not answered.
        """

        async def scenario():
            site = Site("w1")
            await site.accept(1)
            term, running = await site.lead()
            await site.wait_until_begun("w1", 1)
            site.storage.stalled.add(keys.INBOX_PREFIX)
            await site.accept(JOBS)
            await asyncio.sleep(1)
            return await site.reported_length(), term, running

        assert run_scenario(scenario) >= JOBS


class TestAssignedIsNotBegun:
    """A job waits until a worker has certainly begun one of its tasks."""

    def lengths_with(self, outcome):
        """Return the lengths that callers get if all starts end like this."""

        async def scenario():
            site = Site("w1", "w2")
            site.workers.outcome = outcome
            await site.accept(JOBS)
            term, running = await site.lead()
            lengths = []
            for _ in range(10):
                await asyncio.sleep(0.15)
                lengths.append(await site.reported_length())
            return lengths, term, running

        return run_scenario(scenario)

    def test_refused_starts(self):
        """Guards against a job that counts as begun after a refused start."""
        refused = orders.Refused(reason=orders.RefusalReason.NO_ROOM)
        assert self.lengths_with(refused) == [JOBS] * 10

    def test_unanswered_starts(self):
        """Guards against a job that counts as begun after a lost start."""
        lost = orders.Unknown(detail="cut off")
        assert self.lengths_with(lost) == [JOBS] * 10

    def test_takeover_with_assignments(self):
        """Guards against jobs that count as begun by a stored assignment.

        The new leader reads assignments of the former one whose starts may
        never have reached a worker.
        """

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
            return await site.reported_length(), term, running

        assert run_scenario(scenario) == JOBS


class TestLengthsRecover:
    """Once faults have ended, the length equals the waiting jobs."""

    def test_jobs_that_run_and_jobs_that_wait(self):
        """Guards against jobs that count although they run or have ended."""

        async def scenario():
            site = Site("w1")
            await site.accept(JOBS)
            await site.accept(3, LARGE_STEP)
            term, running = await site.lead()
            await site.wait_until_begun("w1", JOBS)
            worker = site.workers.workers["w1"]
            for task in list(worker.running)[:5]:
                worker.end(task, model.EndKind.DONE)
            return await site.reaches_length(3), term, running

        assert run_scenario(scenario)

    def test_canceled_before_it_began(self):
        """Guards against a canceled job that counts for ever."""

        async def scenario():
            site = Site("w1")
            await site.accept(2, LARGE_STEP)
            term, running = await site.lead()
            assert await site.reaches_length(2)
            await site.jobs.cancel(site.ids()[0], site.deadline())
            return await site.reaches_length(1), term, running

        assert run_scenario(scenario)

    def test_job_that_a_former_leader_began(self):
        """Guards against a job that counts for ever after a takeover.

        The former leader has stored the end of the job's first step, but has
        not removed the job's item.
        """

        async def scenario():
            site = Site("w1")
            await site.accept(1, fakes.step(), LARGE_SECOND_STEP)
            site.storage.hangs = is_removal_only
            term, running = await site.lead()
            await site.wait_until_begun("w1", 1)
            worker = site.workers.workers["w1"]
            worker.end(next(iter(worker.running)), model.EndKind.DONE)
            await site.until(lambda: not worker.ends)
            assert await site.reported_length() == 1
            term.end("killed")
            await running
            site.storage.hangs = lambda commit: False
            term, running = await site.lead()
            return await site.reaches_length(0), term, running

        assert run_scenario(scenario)

    def test_job_without_an_item(self):
        """Guards against a job that never counts, as it has no item.

        Earlier versions of the software accepted jobs without an item.
        """

        async def scenario():
            site = Site("w1")
            for number in range(40):
                site.submit(fakes.job(f"{number:016x}", LARGE_STEP))
            term, running = await site.lead()
            settled = await site.reaches_length(40)
            return settled, term, running

        assert run_scenario(scenario)

    def test_item_is_not_added_again(self):
        """Guards against a job that counts again after it has begun.

        A sweep could add an item again if it took an outdated list of items,
        as jobs begin and others are accepted while it reads them.
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
            return (len(written), await site.reported_length()), term, running

        assert run_scenario(scenario) == (15, 0)

    def test_more_jobs_than_a_commit_holds(self):
        """Guards against jobs whose changes do not fit into one commit."""

        async def scenario():
            site = Site("w1", "w2", "w3", "w4", "w5")
            await site.accept(75)
            term, running = await site.lead()
            return await site.reaches_length(0), term, running

        assert run_scenario(scenario)


class Machine(stateful.RuleBasedStateMachine):
    """Random sequences of faults of the store, the leader and the workers.

    The length of the queue is compared with the jobs that the workers have
    actually begun.
    """

    def __init__(self):
        super().__init__()
        self.clock = clocks.ManualClock()
        self.storage = memory.MemoryStorage(clock=self.clock)
        self.jobs = job_store.JobStore(storage=self.storage, clock=self.clock)
        self.harness = test_dispatcher.DispatcherHarness("a", "b")
        self.accepted = {}
        # Jobs that the leader has not read yet.
        self.unread = []
        self.canceled = set()
        self.late = []
        self.former = []
        self.lead()

    def call(self, awaitable):
        """Run a coroutine and return its result."""
        return asyncio.run(awaitable)

    def lead(self):
        """Replace the queue lengths by those of a new term."""
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
            dispatcher=self.harness.dispatcher,
            metrics=registry.Registry(),
            clock=self.clock,
        )

    def begun(self):
        """Return the jobs with a task that a worker has begun."""
        return {
            task.job
            for worker in self.harness.workers.values()
            for task, _ in worker.starts
        }

    def truth(self):
        """Return the jobs that actually wait."""
        return set(self.accepted) - self.begun() - self.canceled

    def told(self):
        return self.call(
            self.jobs.waiting_jobs_count(QUEUE, self.clock.monotonic())
        )

    @stateful.rule(
        count=strategies.integers(1, 4), tasks=strategies.integers(1, 3)
    )
    def submit(self, count, tasks):
        for _ in range(count):
            spec = fakes.job(
                f"{len(self.accepted):016x}",
                fakes.step(tasks, demand=QUARTER_DEMAND),
                fakes.step(1, demand=QUARTER_DEMAND, after=(0,)),
            )
            found = self.call(self.jobs.submit(spec, self.clock.monotonic()))
            if isinstance(found, job_store.Stored):
                self.accepted[spec.job] = spec
                self.unread.append(spec)

    @stateful.rule(count=strategies.integers(1, 4))
    def read_inbox(self, count):
        for spec in self.unread[:count]:
            self.harness.submit(spec)
        del self.unread[:count]

    @stateful.rule(
        refuse=strategies.lists(strategies.booleans(), max_size=6),
        lose=strategies.lists(strategies.booleans(), max_size=6),
    )
    def place(self, refuse, lose):
        for number, start in enumerate(self.harness.place()):
            if number < len(refuse) and refuse[number]:
                self.harness.dispatcher.settlement.apply_start_outcome(
                    self.harness.dispatcher.workers[start.worker],
                    start.run,
                    orders.Refused(reason=orders.RefusalReason.NO_ROOM),
                    self.harness.now,
                )
            else:
                self.harness.send(start, number < len(lose) and lose[number])

    @stateful.rule()
    def place_and_send_nothing(self):
        self.harness.place()

    @stateful.rule(name=strategies.sampled_from("ab"))
    def look(self, name):
        self.harness.renew_leases(name)
        self.harness.send_stops()

    @stateful.rule(name=strategies.sampled_from("ab"))
    def end(self, name):
        worker = self.harness.workers[name]
        if worker.running:
            worker.end(next(iter(worker.running)), model.EndKind.DONE)

    @stateful.rule(
        name=strategies.sampled_from("ab"), cut=strategies.booleans()
    )
    def cut(self, name, cut):
        self.harness.workers[name].cut_off = cut

    @stateful.rule(number=strategies.integers(0, 9))
    def cancel(self, number):
        taken = list(self.harness.dispatcher.jobs)
        if number < len(taken):
            self.harness.dispatcher.cancel(taken[number], self.harness.now)
            self.canceled.add(taken[number])

    @stateful.rule()
    def take_over(self):
        self.former.append(self.lengths)
        self.read_inbox(len(self.unread))
        self.harness.take_over()
        for job in self.canceled:
            self.harness.dispatcher.cancel(job, self.harness.now)
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
        self.harness.advance(milliseconds * MS)
        self.clock.advance(milliseconds * MS)

    @stateful.invariant()
    def never_too_low(self):
        told = self.told()
        if not isinstance(told, job_store.NoResultReason):
            assert told >= len(self.truth())

    def teardown(self):
        """Once faults have ended, the length equals the waiting jobs."""
        self.storage.down = False
        self.late_commits()
        for worker in self.harness.workers.values():
            worker.cut_off = False
        self.read_inbox(len(self.unread))
        for _ in range(10):
            self.harness.advance(400 * MS)
            self.harness.step()
        self.call(self.lengths.sweep())
        assert self.told() == len(self.truth())


class HeldCommits:
    """Storage that holds commits back and does not answer them."""

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
