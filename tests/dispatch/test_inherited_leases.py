"""Tests of the time for which a new leader expects leases of former ones."""

import asyncio
import contextlib
import dataclasses
import datetime
import random

import pytest

from tests.dispatch import fakes
from tests.dispatch import test_leader
from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import commits
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import inherited_leases
from turmerichook._internal.dispatch import keys
from turmerichook._internal.dispatch import leader as leaders
from turmerichook._internal.dispatch import leadership
from turmerichook._internal.dispatch import orders
from turmerichook._internal.dispatch import run_tracker as run_trackers
from turmerichook._internal.dispatch import sequence_value
from turmerichook._internal.dispatch import session as sessions
from turmerichook._internal.dispatch import silent_workers
from turmerichook._internal.metrics import registry
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal.storage import memory
from turmerichook import exceptions

MS = fakes.MS
SECOND = fakes.SECOND
TASK = test_leader.TASK
# Leases shorter than the time for which they may outlive a confirmation.
TIMING = dataclasses.replace(fakes.TIMING, lease_max=3 * SECOND)
CLOCK_ERROR = 1 - fleet.CLOCK_RATE_ERROR_MAX
LEASE = TIMING.lease_max / CLOCK_ERROR
# Time after a new leader's claim at which inherited leases have ended, without
# and with a former leader that may still grant some.
SHORT_BOUND = LEASE + inherited_leases.LEASE_MARGIN
FULL_BOUND = (
    sessions.UNCONFIRMED_LEASE_TIME / CLOCK_ERROR
    + inherited_leases.LEASE_MARGIN
)
# The same with a former leader of a version that keeps no records.
UNRECORDED_BOUND = SHORT_BOUND + inherited_leases.UNRECORDED_RENEWAL_TIME
STOP_TIMEOUT = TIMING.stop_timeout
# Time for which a test lets a leader act before it looks for an effect.
REACTION_S = 0.4


class MovableClock(clocks.SystemClock):
    """A clock that can be moved ahead; its sleeps are not shortened."""

    def __init__(self):
        self.moved = datetime.timedelta()

    def uptime(self):
        return super().uptime() + self.moved


class Storage(memory.MemoryStorage):
    """A store that counts calls on records of terms, and can refuse them.

    :ivar refused: number of calls on records that are still to be refused.
    :ivar leader_refused: number of readings of the leader's key that are still
        to be refused.
    :ivar removal_gate: a removal of a record waits until this is set.
    """

    def __init__(self, *, clock):
        super().__init__(clock=clock)
        self.refused = 0
        self.leader_refused = 0
        self.record_calls = 0
        self.removal_gate = asyncio.Event()
        self.removal_gate.set()
        self.removal_waits = asyncio.Event()

    def _note(self, key):
        if not key.startswith(keys.TERM_PREFIX):
            return
        self.record_calls += 1
        if self.refused:
            self.refused -= 1
            raise exceptions.StoreUnavailableError(message="refused")

    async def get(self, key):
        self._note(key)
        if key == keys.LEADER and self.leader_refused:
            self.leader_refused -= 1
            raise exceptions.StoreUnavailableError(message="refused")
        return await super().get(key)

    async def page(self, prefix, *, after=""):
        self._note(prefix)
        return await super().page(prefix, after=after)

    async def commit(self, commit):
        if any(key.startswith(keys.TERM_PREFIX) for key in commit.removals):
            self._note(keys.TERM_PREFIX)
            self.removal_waits.set()
            await self.removal_gate.wait()
        return await super().commit(commit)

    def records(self):
        """Return the keys of all records of terms."""
        return [key for key in self.items if key.startswith(keys.TERM_PREFIX)]


class Process:
    """One process of an entry host.

    :ivar leader: the leader of the latest term; None before the first one.
    """

    def __init__(self, site, node, address):
        self.site = site
        self.candidate = leadership.Candidate(
            node=ids.NodeId(node),
            address=address,
            storage=site.storage,
            clock=site.clock,
            random_source=random.Random(node),
        )
        self.leader = None
        self.term = None
        self.tasks = [asyncio.create_task(self.candidate.record.run())]

    async def claim(self):
        """Become the leader, without doing a leader's work."""
        self.term = await self.candidate.acquire()
        self.tasks.append(
            asyncio.create_task(self.candidate.renew_until_end(self.term))
        )

    async def lead(self):
        """Become the leader, and return once the records are read."""
        await self.claim()
        await self.act()

    async def act(self):
        """Do a leader's work, and return once the records are read."""
        self.leader = leaders.Leader(
            term=self.term,
            storage=self.site.storage,
            workers=self.site.workers,
            registry_format=test_leader.Registry(),
            configuration=fakes.CONFIGURATION,
            closed_zones=(),
            timing=TIMING,
            metrics=registry.Registry(),
            clock=self.site.clock,
        )
        self.running = asyncio.create_task(self.leader.run())
        self.tasks.append(self.running)
        await self.site.until(
            lambda: self.leader.inherited_leases.open_terms is not None
        )

    async def hand_over(self):
        """End the term as the entry process does."""
        self.term.end("test")
        await self.running
        await self.candidate.hand_over(self.term)

    async def kill(self):
        """End without any further call to the store."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.term is not None:
            await self.site.storage.end_lease(self.term.lease)


class Site:
    """A store, two workers and the processes of entry hosts."""

    def __init__(self):
        self.clock = MovableClock()
        self.storage = Storage(clock=self.clock)
        self.workers = fakes.FakeWorkers("w1", "w2")
        for name in self.workers.workers:
            self.storage.put(f"workers/{name}", b"")
        self.processes = []

    def start(self, node, address="10.0.0.1:80"):
        """Start the process of an entry host."""
        process = Process(self, node, address)
        self.processes.append(process)
        return process

    async def until(self, condition):
        """Wait for a condition, for at most five seconds."""
        async with asyncio.timeout(5):
            while not condition():
                await asyncio.sleep(0.01)

    async def move(self, process, span):
        """Move the clock ahead while the store confirms a leader's lease."""
        self.clock.moved += span
        process.term.confirmed_at = self.clock.uptime()
        await asyncio.sleep(REACTION_S)

    def starts(self):
        """Return the number of runs started on all workers."""
        return sum(len(w.starts) for w in self.workers.workers.values())

    async def run_task(self, process):
        """Let a leader start a long-running task; crash its worker."""
        spec = fakes.job(TASK.job, fakes.step(long_running=True))
        test_leader.Site.submit(self, spec)
        await self.until(lambda: self.starts() == 1)
        worker = next(w for w in self.workers.workers.values() if w.running)
        worker.cut_off = True


@contextlib.asynccontextmanager
async def new_site():
    """Provide a site, and end its processes."""
    site = Site()
    try:
        yield site
    finally:
        for process in site.processes:
            await process.kill()


def store_list(site, commit, writer, **fields):
    """Store a list that names a worker, and a later commit that refers to it.

    :param commit: id of the later commit.
    :param writer: id of the commit that wrote the list.
    """
    silent = silent_workers.SilentWorker(**fields)
    site.storage.put(
        keys.SILENT_WORKERS,
        silent_workers.encode(writer, {ids.WorkerId("w1"): silent}),
    )
    notes = sequence_value.LeaseNotes(
        earlier_terms_recorded=True, silent=writer
    )
    site.storage.put(keys.SEQUENCE, sequence_value.encode(commit, notes))


async def bound_of(site, process):
    """Return the time from now until a leader takes all leases for ended."""
    tracker = process.leader.dispatcher.run_tracker
    return tracker.inherited_leases_until - site.clock.uptime()


class TestKilledLeader:
    """A leader's process is killed, and a worker has crashed for good."""

    def test_task_runs_elsewhere_after_one_lease(self):
        """Guards against a service that does not run for 16 s.

        The process of the former leader was back at once, and yet its
        successor expected it to go on granting leases for 8 s.
        """

        async def scenario():
            async with new_site() as site:
                first = site.start("a")
                await first.lead()
                await site.run_task(first)
                await first.kill()
                site.start("a")
                await site.until(lambda: not site.storage.records())
                second = site.start("b")
                await second.lead()
                await site.until(
                    lambda: second.leader.inherited_leases.settled
                )
                await site.move(second, SHORT_BOUND - SECOND)
                before = site.starts()
                await site.move(second, SECOND + STOP_TIMEOUT)
                return before, site.starts()

        assert asyncio.run(scenario()) == (1, 2)

    def test_second_change_adds_no_wait(self):
        """Guards against a wait that begins anew with each leader.

        A leader that has not reached the worker grants no lease on it, but its
        successor expects leases from it, too.
        """

        async def scenario():
            async with new_site() as site:
                first = site.start("a")
                await first.lead()
                await site.run_task(first)
                await first.kill()
                site.start("a")
                await site.until(lambda: not site.storage.records())
                second = site.start("b")
                await second.lead()
                await site.move(second, 3 * SECOND)
                await second.kill()
                site.start("b")
                await site.until(lambda: not site.storage.records())
                third = site.start("c")
                await third.lead()
                await site.move(third, SHORT_BOUND + STOP_TIMEOUT - 3 * SECOND)
                await site.move(third, STOP_TIMEOUT)
                return site.starts()

        assert asyncio.run(scenario()) == 2

    def test_worker_that_answers_late_gets_leases(self):
        """Guards against runs that end as a worker was silent for a while.

        A worker that commits name as silent gets no lease before the next
        commit.
        """

        async def scenario():
            async with new_site() as site:
                first = site.start("a")
                await first.lead()
                await site.run_task(first)
                await first.kill()
                site.start("a")
                await site.until(lambda: not site.storage.records())
                second = site.start("b")
                await second.lead()
                tracker = second.leader.dispatcher.run_tracker
                await site.move(second, 3 * SECOND)
                named = dict(tracker.lease_limits)
                worker = next(
                    w for w in site.workers.workers.values() if w.running
                )
                before = worker.lease_until
                worker.clock += 2 * SECOND
                worker.cut_off = False
                await site.until(lambda: not tracker.lease_limits)
                await site.until(lambda: worker.lease_until > before)
                return len(named), site.starts()

        assert asyncio.run(scenario()) == (1, 1)

    def test_no_lease_before_the_commit(self):
        """Guards against a lease that a successor does not expect.

        The store does not answer when the silent worker is back.
        """

        async def scenario():
            async with new_site() as site:
                first = site.start("a")
                await first.lead()
                await site.run_task(first)
                await first.kill()
                site.start("a")
                await site.until(lambda: not site.storage.records())
                second = site.start("b")
                await second.lead()
                await site.move(second, 3 * SECOND)
                worker = next(
                    w for w in site.workers.workers.values() if w.running
                )
                before = worker.lease_until
                site.storage.down = True
                worker.clock += 2 * SECOND
                worker.cut_off = False
                leader_worker = next(
                    w
                    for w in second.leader.dispatcher.workers.values()
                    if w.runs
                )
                await site.until(lambda: leader_worker.report_received)
                await asyncio.sleep(REACTION_S)
                granted = worker.lease_until - before
                site.storage.down = False
                return granted

        assert not asyncio.run(scenario())

    def test_named_workers_stay_without_leases_at_a_change(self):
        """Guards against leases of a leader that has committed nothing.

        The last commit of a former leader names the worker.
        """

        async def scenario():
            async with new_site() as site:
                store_list(site, "12:7", "12:5", remaining=2 * SECOND)
                process = site.start("a")
                await process.claim()
                log = commits.CommitLog(
                    storage=site.storage, term=process.term, clock=site.clock
                )
                await log.open()
                tracker = run_trackers.RunTracker()
                inherited = inherited_leases.InheritedLeases(
                    storage=site.storage,
                    term=process.term,
                    commit_log=log,
                    run_tracker=tracker,
                    lease_max=TIMING.lease_max,
                    clock=site.clock,
                )
                inherited.open()
                worker = fleet.Worker(worker=ids.WorkerId("w1"), entry=None)
                worker.may_hold_inherited_leases = True
                until = tracker.leases_until(worker) - site.clock.uptime()
                limit = tracker.lease_limits[worker.worker]
                return limit <= site.clock.uptime(), until

        withheld, until = asyncio.run(scenario())
        assert withheld
        assert until <= 2 * SECOND

    def test_same_host_leads_again(self):
        """Guards against a host that waits for its own former process.

        Its claim replaces the record that the former process left.
        """

        async def scenario():
            async with new_site() as site:
                first = site.start("a")
                await first.lead()
                await site.run_task(first)
                await first.kill()
                second = site.start("a")
                await second.lead()
                await site.until(
                    lambda: second.leader.inherited_leases.settled
                )
                return await bound_of(site, second)

        assert asyncio.run(scenario()) <= SHORT_BOUND

    def test_record_that_goes_during_the_term_shortens_the_wait(self):
        """Guards against the full wait if the process is back a bit later.

        The successor had read the record before it was removed.
        """

        async def scenario():
            async with new_site() as site:
                first = site.start("a")
                await first.lead()
                await site.run_task(first)
                await first.kill()
                second = site.start("b")
                await second.lead()
                before = await bound_of(site, second)
                site.start("a")
                await site.until(
                    lambda: second.leader.inherited_leases.settled
                )
                return before, await bound_of(site, second)

        before, after = asyncio.run(scenario())
        assert FULL_BOUND - SECOND < before <= FULL_BOUND
        assert SHORT_BOUND - SECOND < after <= SHORT_BOUND

    def test_wait_never_becomes_longer(self):
        """Guards against a late reading that prolongs the wait."""

        async def scenario():
            async with new_site() as site:
                first = site.start("a")
                await first.lead()
                await site.run_task(first)
                await first.kill()
                second = site.start("b")
                await second.lead()
                await site.move(second, FULL_BOUND - 2 * SECOND)
                site.start("a")
                await site.until(
                    lambda: second.leader.inherited_leases.settled
                )
                return await bound_of(site, second)

        assert asyncio.run(scenario()) <= 2 * SECOND


class TestWorkerLostBeforeTheChange:
    """A worker is lost and noticed to be silent; then the leader changes.

    The host of the former leader does not return, so that its record stays.
    """

    async def _lose_worker(self, site, *, listed=False):
        """Lose the worker of a task; return it and the first leader."""
        first = site.start("a")
        await first.lead()
        await site.run_task(first)
        (name,) = [n for n, w in site.workers.workers.items() if w.running]
        if not listed:
            site.storage.remove(f"workers/{name}")
            await site.until(
                lambda: not first.leader.dispatcher.workers[name].listed
            )
        await site.until(lambda: first.leader.inherited_leases.named)
        return first, first.leader.dispatcher.workers[name]

    async def _take_over(self, site, first):
        """Kill the leader while another process waits; return that one."""
        second = site.start("b")
        leading = asyncio.create_task(second.lead())
        await asyncio.sleep(REACTION_S)
        await first.kill()
        await leading
        return second

    def test_task_runs_elsewhere_once_its_own_leases_have_ended(self):
        """Guards against a service that does not run for 14 s.

        The leader knew when its leases on the lost worker would end, and its
        successor waited for all that a leader may have granted until then.
        """

        async def scenario():
            async with new_site() as site:
                first, lost = await self._lose_worker(site)
                lapsed_at = lost.lapsed_at
                second = await self._take_over(site, first)
                tracker = second.leader.dispatcher.run_tracker
                until = tracker.leases_until(tracker.workers[lost.worker])
                waits = until - site.clock.uptime()
                await site.move(second, waits)
                before = site.starts()
                await site.move(second, STOP_TIMEOUT)
                return until - lapsed_at, before, site.starts()

        late, before, after = asyncio.run(scenario())
        assert -MS <= late <= REACTION_S * SECOND
        assert (before, after) == (1, 2)

    def test_another_incarnation_answers_at_the_address(self):
        """Guards against a wait for a worker that has certainly ended.

        The registry no longer lists it, so that the new leader had no address
        to call.
        """

        async def scenario():
            async with new_site() as site:
                first, lost = await self._lose_worker(site)
                answer = site.workers.renew

                async def renew(entry, order):
                    if entry.worker == lost.worker:
                        raise exceptions.IncarnationEndedError(message="421")
                    return await answer(entry, order)

                site.workers.renew = renew
                second = await self._take_over(site, first)
                await site.until(lambda: site.starts() == 2)
                tracker = second.leader.dispatcher.run_tracker
                return tracker.inherited_leases_until - site.clock.uptime()

        assert asyncio.run(scenario()) > SHORT_BOUND

    def test_worker_that_leaves_as_planned(self):
        """Guards against a service that does not run for 10 s.

        The worker announces its shutdown, stops the task and leaves; its last
        report does not arrive, as the leader is killed. The next leader took
        it for one that may have crashed.
        """

        async def scenario():
            async with new_site() as site:
                first = site.start("a")
                await first.lead()
                await site.run_task(first)
                (name,) = [
                    n for n, w in site.workers.workers.items() if w.running
                ]
                site.workers.workers[name].cut_off = False
                leaving = first.leader.dispatcher.workers[name]
                leaving.entry = dataclasses.replace(
                    leaving.entry, state=deployment.WorkerState.DRAINING
                )
                # The stop of the task is not carried out.
                site.workers.stop = lambda *_: asyncio.sleep(
                    9, orders.Unknown(detail="lost")
                )
                inherited = first.leader.inherited_leases
                await site.until(lambda: inherited.named)
                await asyncio.sleep(REACTION_S)
                assert leaving.reachable
                assert leaving.lapsed_at <= inherited.named[name] + MS
                site.workers.workers[name].cut_off = True
                site.storage.remove(f"workers/{name}")
                second = await self._take_over(site, first)
                tracker = second.leader.dispatcher.run_tracker
                worker = tracker.workers[name]
                late = tracker.leases_until(worker) - leaving.lapsed_at
                return late, worker.entry.state

        late, state = asyncio.run(scenario())
        assert late <= inherited_leases.SILENT_EXTENSION + REACTION_S * SECOND
        assert state is deployment.WorkerState.DRAINING

    def test_slow_worker_keeps_its_runs(self):
        """Guards against work given up because a worker is slow to report.

        Leases beyond the stored end need a further commit.
        """

        async def scenario():
            async with new_site() as site:
                first, slow = await self._lose_worker(site, listed=True)
                remaining = []
                for _ in range(8):
                    await site.move(first, SECOND)
                    now = site.clock.uptime()
                    remaining.append(slow.lapsed_at - now)
                    named = first.leader.inherited_leases.named[slow.worker]
                    assert slow.lapsed_at <= named + MS
                return len(slow.runs), min(remaining), site.starts()

        runs, remaining, starts = asyncio.run(scenario())
        assert (runs, starts) == (1, 1)
        assert remaining > datetime.timedelta()

    def test_no_lease_beyond_the_stored_end(self):
        """Guards against a lease that the next leader does not expect.

        The leader cannot store a later end, as the store does not answer.
        """

        async def scenario():
            async with new_site() as site:
                first, slow = await self._lose_worker(site, listed=True)
                site.storage.down = True
                named = first.leader.inherited_leases.named[slow.worker]
                for _ in range(6):
                    await site.move(first, SECOND)
                site.storage.down = False
                return slow.lapsed_at - named

        assert asyncio.run(scenario()) <= MS


class TestLivingLeader:
    """A former leader may be alive without the store."""

    def test_task_does_not_run_twice(self):
        """Guards against two runs of a task at the same time.

        The former leader grants leases on the worker that its successor cannot
        reach, up to the end of the time without confirmation.
        """

        async def scenario():
            async with new_site() as site:
                first = site.start("a")
                await first.lead()
                await site.run_task(first)
                await first.kill()
                second = site.start("b")
                await second.lead()
                await site.move(second, SHORT_BOUND + STOP_TIMEOUT)
                at_short_bound = site.starts()
                span = FULL_BOUND - SHORT_BOUND - 2 * SECOND
                await site.move(second, span)
                before = site.starts()
                await site.move(second, 2 * SECOND + 2 * STOP_TIMEOUT)
                after = site.starts()
                await site.until(
                    lambda: second.leader.inherited_leases.settled
                )
                own = keys.term(ids.NodeId("b"), "10.0.0.1:80")
                assert site.storage.records() == [own]
                return at_short_bound, before, after

        assert asyncio.run(scenario()) == (1, 1, 2)

    def test_record_stays_until_the_term_has_ended(self):
        """Guards against a record that is removed during the term.

        A process that cannot read its record at its start reads it again when
        it leads.
        """

        async def scenario():
            async with new_site() as site:
                site.storage.refused = 1
                first = site.start("a")
                await first.lead()
                await site.until(lambda: site.storage.record_calls >= 3)
                await asyncio.sleep(REACTION_S)
                during = site.storage.records()
                await first.hand_over()
                await site.until(lambda: not site.storage.records())
                return len(during)

        assert asyncio.run(scenario()) == 1

    def test_successor_of_a_successor_waits_too(self):
        """Guards against a record that is lost with a second short term."""

        async def scenario():
            async with new_site() as site:
                first = site.start("a")
                await first.lead()
                await site.run_task(first)
                await first.kill()
                second = site.start("b")
                await second.lead()
                await second.hand_over()
                third = site.start("c")
                await third.lead()
                inherited = third.leader.inherited_leases
                return inherited.open_terms, await bound_of(site, third)

        records, bound = asyncio.run(scenario())
        assert records == 1
        assert bound > FULL_BOUND - SECOND

    def test_another_machine_under_the_same_name(self):
        """Guards against the removal of a record of another machine.

        A machine that replaces another one may have its name, but not its
        address.
        """

        async def scenario():
            async with new_site() as site:
                first = site.start("a", "10.0.0.1:80")
                await first.lead()
                await site.run_task(first)
                await first.kill()
                second = site.start("a", "10.0.0.2:80")
                await second.lead()
                return await bound_of(site, second)

        assert asyncio.run(scenario()) > FULL_BOUND - SECOND


class TestOlderVersions:
    """Leaders of an older version keep no records of their terms."""

    @pytest.mark.parametrize("by_older", [True, False])
    def test_last_commit_decides(self, by_older):
        """Guards against two runs during an upgrade.

        A leader of the older version may still grant leases without the store.
        """

        async def scenario():
            async with new_site() as site:
                first = site.start("a")
                await first.lead()
                await site.run_task(first)
                await first.hand_over()
                if by_older:
                    site.storage.put(keys.SEQUENCE, b"12:7")
                second = site.start("b")
                await second.lead()
                await asyncio.sleep(REACTION_S)
                return await bound_of(site, second)

        bound = asyncio.run(scenario())
        if by_older:
            assert bound > UNRECORDED_BOUND - SECOND
        else:
            assert bound <= SHORT_BOUND

    def test_doubt_ends_with_the_full_wait(self):
        """Guards against the full wait at each change after an upgrade.

        It must not end earlier either: a leader that has committed, but has
        not led for so long, does not know how former terms have ended.
        """

        async def scenario():
            async with new_site() as site:
                site.storage.put(keys.SEQUENCE, b"12:7")
                first = site.start("a")
                await first.lead()
                await site.run_task(first)
                before = site.storage.items[keys.SEQUENCE].value
                await site.move(first, UNRECORDED_BOUND)
                await site.until(lambda: first.leader.inherited_leases.settled)
                starts = site.starts()
                spec = fakes.job("00000000000000bb")
                test_leader.Site.submit(site, spec)
                await site.until(lambda: site.starts() > starts)
                return before, site.storage.items[keys.SEQUENCE].value

        before, after = asyncio.run(scenario())
        assert not before.endswith(sequence_value.RECORDED)
        assert sequence_value.decode(after).earlier_terms_recorded


class TestRecordOfAHost:
    """Removal of the record that a former process has left."""

    def test_late_removal_spares_a_newer_record(self):
        """Guards against a living leader without a record.

        The removal for a former process reaches the store after a claim.
        """

        async def scenario():
            async with new_site() as site:
                first = site.start("a")
                await first.claim()
                await first.kill()
                site.storage.removal_gate.clear()
                second = site.start("a")
                await site.until(site.storage.removal_waits.is_set)
                await second.claim()
                site.storage.removal_gate.set()
                await asyncio.sleep(REACTION_S)
                items = site.storage.items
                return [items[key].revision for key in site.storage.records()]

        revisions = asyncio.run(scenario())
        assert len(revisions) == 1

    def test_host_that_never_led_writes_nothing(self):
        """Guards against writes by each process of a site that starts."""

        async def scenario():
            async with new_site() as site:
                await site.start("a").kill()
                site.start("a")
                await site.until(lambda: site.storage.record_calls)
                await asyncio.sleep(REACTION_S)
                return site.storage.record_calls, site.storage.commits

        assert asyncio.run(scenario()) == (1, 0)

    def test_store_is_away_during_the_removal(self, monkeypatch):
        """Guards against a record that stays, and against a late claim.

        Both the record's reading and its removal are refused.
        """
        monkeypatch.setattr(
            "turmerichook._internal.dispatch.term_record.RETRY_PAUSE", 50 * MS
        )

        async def scenario():
            async with new_site() as site:
                first = site.start("a")
                await first.claim()
                await first.kill()
                site.storage.refused = 3
                site.start("a")
                other = site.start("b", "10.0.0.2:80")
                async with asyncio.timeout(0.3):
                    await other.claim()
                await site.until(lambda: len(site.storage.records()) == 1)
                return site.storage.records()

        own = keys.term(ids.NodeId("b"), "10.0.0.2:80")
        assert asyncio.run(scenario()) == [own]

    def test_lost_answer_to_a_claim(self):
        """Guards against a term without a record after a lost answer."""

        async def scenario():
            async with new_site() as site:
                process = site.start("a")
                lost = iter([True])
                site.storage.lose_answer = lambda commit: next(lost, False)
                await process.claim()
                await asyncio.sleep(REACTION_S)
                items = site.storage.items
                revisions = [
                    items[key].revision for key in site.storage.records()
                ]
                return revisions == [process.term.token]

        assert asyncio.run(scenario())

    def test_claim_that_is_given_up_leaves_no_record(self):
        """Guards against the full wait after a claim without a term.

        The claim took effect, but its answer and the next reading were lost.
        """

        async def scenario():
            async with new_site() as site:
                process = site.start("a")
                lost = iter([True])
                site.storage.lose_answer = lambda commit: next(lost, False)
                site.storage.leader_refused = 1
                claiming = asyncio.create_task(process.claim())
                record = process.candidate.record.key
                # The record may exist for less than one poll.
                await site.until(
                    lambda: record in [c.key for c in site.storage.history]
                )
                first = site.storage.items[keys.LEADER]
                await site.until(lambda: not site.storage.records())
                assert site.storage.items[keys.LEADER] == first
                await claiming
                return len(site.storage.records())

        assert asyncio.run(scenario()) == 1


class TestUnreadableRecords:
    """Records with unexpected content, and a store that refuses calls."""

    @pytest.mark.parametrize("name", ["", "/", "=\u00e9/%zz", "a" * 190])
    def test_malformed_record_ends_no_term(self, name):
        """Guards against a term that ends because of a foreign record."""

        async def scenario():
            async with new_site() as site:
                site.storage.put(keys.TERM_PREFIX + name, b"\xff\x00")
                process = site.start("b")
                await process.lead()
                bound = await bound_of(site, process)
                await site.move(process, FULL_BOUND)
                await site.until(
                    lambda: process.leader.inherited_leases.settled
                )
                assert not process.term.ended.is_set()
                return bound, len(site.storage.records())

        bound, records = asyncio.run(scenario())
        assert bound > FULL_BOUND - SECOND
        assert records == 1

    def test_refused_reading_is_repeated(self, monkeypatch):
        """Guards against a term that ends, or that expects no leases."""
        monkeypatch.setattr(inherited_leases, "CHECK_INTERVAL", 100 * MS)

        async def scenario():
            async with new_site() as site:
                process = site.start("b")
                await site.until(lambda: site.storage.record_calls)
                await process.claim()
                site.storage.refused = 3
                leading = asyncio.create_task(process.act())
                await asyncio.sleep(0.2)
                before = await bound_of(site, process)
                await leading
                await site.until(
                    lambda: process.leader.inherited_leases.settled
                )
                assert not process.term.ended.is_set()
                return before, await bound_of(site, process)

        before, after = asyncio.run(scenario())
        assert before > FULL_BOUND - SECOND
        assert after <= SHORT_BOUND

    def test_record_of_a_later_leader_stays(self):
        """Guards against a former leader that removes its successor's record.

        It was suspended until after its own term, and reads the records then.
        """

        async def scenario():
            async with new_site() as site:
                site.storage.put(keys.TERM_PREFIX + "former", b"")
                process = site.start("a")
                await process.claim()
                log = commits.CommitLog(
                    storage=site.storage, term=process.term, clock=site.clock
                )
                inherited = inherited_leases.InheritedLeases(
                    storage=site.storage,
                    term=process.term,
                    commit_log=log,
                    run_tracker=run_trackers.RunTracker(),
                    lease_max=TIMING.lease_max,
                    clock=site.clock,
                )
                site.storage.put(keys.TERM_PREFIX + "later", b"")
                site.clock.moved += FULL_BOUND
                inherited.open()
                await inherited.run()
                return site.storage.records()

        own = keys.term(ids.NodeId("a"), "10.0.0.1:80")
        assert sorted(asyncio.run(scenario())) == sorted(
            [own, keys.TERM_PREFIX + "later"]
        )


class TestWorkersLeases:
    """Leases of this leader beside those of former leaders."""

    def tracker(self, *, recovered):
        """Return a run tracker with a worker, and the worker."""
        tracker = run_trackers.RunTracker()
        tracker.inherited_leases_until = 100 * SECOND
        worker = fleet.Worker(worker=ids.WorkerId("a"), entry=fakes.entry("a"))
        tracker.workers[worker.worker] = worker
        if recovered:
            tracker.recover_run(
                TASK, worker.worker, ids.Attempt(1), fakes.step(), SECOND
            )
        return tracker, worker

    @pytest.mark.parametrize("own", [None, 90, 110])
    def test_later_end_counts(self, own):
        """Guards against a run that is given up while a lease lasts.

        A worker that has answered this leader may have got leases from both.
        """
        tracker, worker = self.tracker(recovered=True)
        if own is not None:
            worker.lapsed_at = own * SECOND
        assert tracker.leases_until(worker) == max(100, own or 0) * SECOND

    def test_shorter_time_counts_at_once(self):
        """Guards against a worker that keeps the time of its recovery."""
        tracker, worker = self.tracker(recovered=True)
        tracker.inherited_leases_until = 95 * SECOND
        assert tracker.leases_until(worker) == 95 * SECOND

    def test_worker_without_runs_inherits_nothing(self):
        """Guards against a wait for leases that nobody granted."""
        tracker, worker = self.tracker(recovered=False)
        assert tracker.leases_until(worker) is None
        worker.lapsed_at = 90 * SECOND
        assert tracker.leases_until(worker) == 90 * SECOND
