"""Tests of leases on workers that live, around changes of the leader."""

import asyncio
import contextlib
import dataclasses
import datetime

import pytest

from tests.dispatch import fakes
from tests.dispatch import test_inherited_leases
from tests.dispatch import test_leader
from tests.dispatch import test_session
from turmerichook._internal.dispatch import inherited_leases
from turmerichook._internal.dispatch import session as sessions
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model
from turmerichook import exceptions

MS = fakes.MS
SECOND = fakes.SECOND
TASK = test_leader.TASK
LEASE = test_inherited_leases.TIMING.lease_max
TICK_S = 0.02
# Time-out of a call beyond the time for which it may be delayed.
CALL_TIMEOUT = 800 * MS
# Time after which a lease that nobody renews has ended.
PAST_LEASE_S = (LEASE + SECOND).total_seconds()


class Site(test_inherited_leases.Site):
    """A site whose workers' clocks run, and whose runs lapse.

    :param rate: rate of the workers' clocks relative to the leaders'.
    """

    def __init__(self, rate=1.0):
        super().__init__()
        self.rate = rate
        self.ticking = asyncio.create_task(self._tick())

    async def _tick(self):
        last = self.clock.uptime()
        while True:
            await asyncio.sleep(TICK_S)
            now = self.clock.uptime()
            for worker in self.workers.workers.values():
                worker.clock += (now - last) * self.rate
                worker.lapse()
            last = now

    async def run_task(self, process):
        """Let a leader start a long-running task; return its worker's name."""
        # The progress of the run never changes.
        step = fakes.step(long_running=True, estimate=1000 * SECOND)
        spec = fakes.job(TASK.job, step)
        test_leader.Site.submit(self, spec)
        await self.until(lambda: self.starts() == 1)
        (name,) = [n for n, w in self.workers.workers.items() if w.running]
        view = process.leader.dispatcher.workers[name]
        await self.until(lambda: view.runs and view.runs[TASK].begun)
        return name

    async def unlist(self, process, name):
        """Remove a worker's entry, and wait until a leader has noted it."""
        self.storage.remove(f"workers/{name}")
        view = process.leader.dispatcher.workers[name]
        await self.until(lambda: not view.listed)
        await asyncio.sleep(test_inherited_leases.REACTION_S)

    def lapsed(self):
        """Return the number of runs that ended without a lease."""
        return sum(
            end.kind is model.EndKind.LEASE_EXPIRED
            for worker in self.workers.workers.values()
            for end in worker.ends
        )


@contextlib.asynccontextmanager
async def new_site(**fields):
    """Provide a site, and end its processes."""
    site = Site(**fields)
    try:
        yield site
    finally:
        for process in site.processes:
            await process.kill()
        site.ticking.cancel()


class TestUnlistedWorker:
    """The registry has dropped a worker that lives and answers."""

    @pytest.mark.parametrize("planned", (True, False))
    @pytest.mark.parametrize("rate", (0.98, 1.0))
    def test_run_outlives_a_change_of_the_leader(self, planned, rate):
        """Guards against a run that lapses as no leader calls its worker.

        The new leader has read no entry of the worker, and so had no address.
        """

        async def scenario():
            async with new_site(rate=rate) as site:
                first = site.start("a")
                await first.lead()
                name = await site.run_task(first)
                await site.unlist(first, name)
                second = site.start("b")
                if planned:
                    await first.hand_over()
                else:
                    await first.kill()
                await second.lead()
                await asyncio.sleep(PAST_LEASE_S)
                return site.lapsed(), site.starts()

        assert asyncio.run(scenario()) == (0, 1)

    def test_run_outlives_a_second_change_at_once(self):
        """Guards against an address that the second leader does not keep.

        Its own first commit comes before the worker has answered it.
        """

        async def scenario():
            async with new_site() as site:
                first = site.start("a")
                await first.lead()
                name = await site.run_task(first)
                await site.unlist(first, name)
                worker = site.workers.workers[name]
                worker.cut_off = True
                second = site.start("b")
                await first.hand_over()
                await second.lead()
                test_leader.Site.submit(site, fakes.job("00000000000000bb"))
                await site.until(lambda: site.starts() == 2)
                third = site.start("c")
                await second.hand_over()
                worker.cut_off = False
                await third.lead()
                await asyncio.sleep(PAST_LEASE_S)
                return site.lapsed()

        assert asyncio.run(scenario()) == 0

    def test_lost_worker_is_not_given_up_early(self):
        """Guards against two runs of a task at the same time.

        The list has no end of the leases on a worker that answers, and the
        former leader may still renew them.
        """

        async def scenario():
            async with new_site() as site:
                first = site.start("a")
                await first.lead()
                name = await site.run_task(first)
                await site.unlist(first, name)
                second = site.start("b")
                await first.kill()
                site.workers.workers[name].cut_off = True
                claimed_at = site.clock.uptime()
                await second.lead()
                await asyncio.sleep(test_inherited_leases.REACTION_S)
                tracker = second.leader.dispatcher.run_tracker
                until = tracker.leases_until(tracker.workers[name])
                return until - claimed_at

        bound = asyncio.run(scenario())
        assert bound >= test_inherited_leases.FULL_BOUND

    def test_run_goes_on_under_one_leader(self):
        """Guards against a run that is given up with the worker's entry."""

        async def scenario():
            async with new_site() as site:
                first = site.start("a")
                await first.lead()
                name = await site.run_task(first)
                await site.unlist(first, name)
                await asyncio.sleep(PAST_LEASE_S)
                return site.lapsed(), site.starts()

        assert asyncio.run(scenario()) == (0, 1)


class TestListedWorker:
    """A worker that lives and that the registry lists."""

    @pytest.mark.parametrize("planned", (True, False))
    @pytest.mark.parametrize("rate", (0.98, 1.0, 1.02))
    def test_run_outlives_changes_of_the_leader(self, planned, rate):
        """Guards against a lease that ends before a new leader's renewal."""

        async def scenario():
            async with new_site(rate=rate) as site:
                process = site.start("a")
                await process.lead()
                name = await site.run_task(process)
                worker = site.workers.workers[name]
                remaining = []
                for node in ("b", "c", "d"):
                    former, process = process, site.start(node)
                    if planned:
                        await former.hand_over()
                    else:
                        await former.kill()
                    remaining.append(worker.lease_until - worker.clock)
                    await process.lead()
                    # Wait for the time of a lease that was not renewed.
                    await asyncio.sleep(1)
                return site.lapsed(), site.starts(), min(remaining)

        lapsed, starts, remaining = asyncio.run(scenario())
        assert (lapsed, starts) == (0, 1)
        assert remaining > LEASE / 2


class TestReturnedWorker:
    """A worker is listed again after the leader has forgotten it."""

    def test_former_session_stops_no_run(self):
        """Guards against two sessions with one worker.

        The one from before the worker was forgotten still had an end to
        acknowledge. It knew none of the new runs, and stopped them.
        """

        async def scenario():
            async with new_site() as site:
                process = site.start("a")
                await process.lead()
                worker = site.workers.workers["w1"]
                site.workers.workers["w2"].cut_off = True
                site.storage.remove("workers/w2")
                test_leader.Site.submit(site, fakes.job(TASK.job))
                await site.until(lambda: worker.running)
                renew = site.workers.renew

                async def renew_until_acknowledged(entry, order):
                    worker.cut_off = worker.cut_off or order.acknowledged > 0
                    return await renew(entry, order)

                site.workers.renew = renew_until_acknowledged
                worker.end(TASK, model.EndKind.DONE)
                await site.until(lambda: worker.cut_off)
                site.workers.renew = renew
                site.storage.remove("workers/w1")
                known = process.leader.dispatcher.workers
                await site.until(lambda: "w1" not in known)
                step = fakes.step(long_running=True, estimate=1000 * SECOND)
                spec = fakes.job("00000000000000bb", step)
                test_leader.Site.submit(site, spec)
                worker.cut_off = False
                site.storage.put("workers/w1", b"")
                await site.until(lambda: worker.running)
                await asyncio.sleep(1)
                return [end.kind for end in worker.ends], site.starts()

        assert asyncio.run(scenario()) == ([], 2)


class LossyLink:
    """A link to a worker that loses all calls for a time.

    The worker's clock follows the leader's, and its runs lapse. It delays a
    report for as long as it is asked to.
    """

    def __init__(self, fixture):
        self.fixture = fixture
        self.clock = fixture.clock
        self.worker = fixture.worker
        self.lost_until = datetime.timedelta()
        self.last = self.clock.uptime()
        self.renewal = fixture.workers.renew
        fixture.workers.renew = self.renew

    def _advance(self):
        now = self.clock.uptime()
        self.worker.clock += now - self.last
        self.last = now
        self.worker.lapse()

    async def renew(self, entry, order):
        self._advance()
        if self.clock.uptime() < self.lost_until:
            await self.clock.sleep(order.wait + CALL_TIMEOUT)
            raise exceptions.WorkerUnreachableError(message="no answer")
        self.worker.renew(order)
        await self.clock.sleep(order.wait)
        self._advance()
        return await self.renewal(
            entry, dataclasses.replace(order, wait=datetime.timedelta())
        )


class TestLostCalls:
    """Calls to a worker that lives are lost for less than a lease."""

    @pytest.mark.parametrize("listed", (True, False))
    @pytest.mark.parametrize("lost_s", (0.5, 1, 2, 3, 4, 4.5))
    def test_run_outlives_lost_calls(self, lost_s, listed):
        """Guards against a lease that ends while a report is delayed.

        The worker was reached in time, but was asked to delay its report.
        """

        async def scenario():
            fixture = test_session.SessionFixture(test_session.SkippingClock())
            session = fixture.session
            session.timing = dataclasses.replace(
                fakes.TIMING, lease_max=6 * SECOND
            )
            link = LossyLink(fixture)
            await fixture.start()
            for _ in range(3):
                await session._renew()
            if not listed:
                fixture.dispatcher.remove_entry(ids.WorkerId("w1"))
            link.lost_until = fixture.clock.uptime() + lost_s * SECOND
            end = fixture.clock.uptime() + 10 * SECOND
            while fixture.clock.uptime() < end:
                session.term.confirmed_at = fixture.clock.uptime()
                await session._renew()
            return len(fixture.worker.running), len(session.worker.runs)

        assert asyncio.run(scenario()) == (2, 2)

    @pytest.mark.parametrize("commit_ms", (50, 150, 240))
    def test_run_outlives_the_wait_for_a_commit(self, commit_ms):
        """Guards against a lease that ends while a report is delayed.

        The worker was in the stored list of silent workers. The commit that
        allows a new lease was made in time.
        """

        async def scenario():
            fixture = test_session.SessionFixture(test_session.SkippingClock())
            session = fixture.session
            LossyLink(fixture)
            await fixture.start()
            await session._renew()
            now = fixture.clock.uptime()
            fixture.worker.lease_until = fixture.worker.clock + 400 * MS
            limits = fixture.dispatcher.run_tracker.lease_limits
            limits[ids.WorkerId("w1")] = now
            while fixture.clock.uptime() < now + SECOND:
                if fixture.clock.uptime() >= now + commit_ms * MS:
                    limits.clear()
                await session._renew()
            return len(fixture.worker.running)

        assert asyncio.run(scenario()) == 2


class TestPausedLeader:
    """The leader's process is suspended, and the workers are not."""

    @pytest.mark.parametrize("pause_s", (0.5, 1, 2, 5))
    def test_no_conclusion_from_a_pause(self, pause_s, monkeypatch):
        """Guards against leases that a leader takes for ended by itself.

        After a longer pause its own lease is gone, and it leads again.
        """
        monkeypatch.setattr(
            test_inherited_leases,
            "TIMING",
            dataclasses.replace(fakes.TIMING, lease_max=6 * SECOND),
        )

        async def scenario():
            async with new_site() as site:
                first = site.start("a")
                await first.lead()
                name = await site.run_task(first)
                view = first.leader.dispatcher.workers[name]
                site.clock.moved += pause_s * SECOND
                await asyncio.sleep(test_inherited_leases.REACTION_S)
                seen = view.reachable, len(view.runs)
                if first.term.ended.is_set():
                    await first.kill()
                    second = site.start("b")
                    await second.lead()
                await asyncio.sleep(PAST_LEASE_S)
                return seen, site.lapsed(), site.starts()

        assert asyncio.run(scenario()) == ((True, 1), 0, 1)


class TestShortestLeaseOfAStart:
    """A start is sent while the store does not confirm the term."""

    def test_start_has_the_time_for_a_renewal(self):
        """Guards against a start whose lease ends before the next renewal."""

        async def scenario():
            fixture = test_session.SessionFixture(test_session.SkippingClock())
            await fixture.session._renew()
            now = fixture.clock.uptime()
            fixture.dispatcher.place(now, now, 10)
            saves = fixture.dispatcher.next_saves(10)
            orders = fixture.dispatcher.committed(saves, now)
            term = fixture.session.term
            while term.has_authority():
                last = fixture.clock.uptime() - now
                await fixture.clock.sleep(10 * MS)
            fixture.clock.skipped -= 20 * MS
            assert term.has_authority()
            for order in orders:
                await fixture.session.start(order)
            assert last > SECOND
            return fixture.worker.lease_until - fixture.worker.clock

        remaining = asyncio.run(scenario())
        # A failed renewal, and the next one.
        needed = 2 * (CALL_TIMEOUT + sessions.REPORT_WAIT)
        assert remaining > needed + sessions.RETRY_PAUSE


class TestUnsentStarts:
    """A commit is made, and the starts that it releases are not sent."""

    @pytest.mark.parametrize("planned", (True, False))
    def test_tasks_start_at_once_under_the_next_leader(self, planned):
        """Guards against tasks that wait for leases that nobody granted."""
        count = 12

        async def scenario():
            async with new_site() as site:
                first = site.start("a")
                await first.lead()
                views = first.leader.dispatcher.workers.values()
                await site.until(lambda: all(v.clock for v in views))
                release = first.leader.committer._send_starts

                def end_term(saves):
                    if any(save.runs for save in saves):
                        first.term.end("test")
                    release(saves)

                first.leader.committer._send_starts = end_term
                step = fakes.step(count, estimate=1000 * SECOND)
                test_leader.Site.submit(site, fakes.job(TASK.job, step))
                await site.until(first.term.ended.is_set)
                await asyncio.sleep(0.1)
                before = site.starts()
                if planned:
                    await first.hand_over()
                else:
                    await first.kill()
                began = site.clock.uptime()
                second = site.start("b")
                await second.lead()
                await site.until(lambda: site.starts() == count)
                return before, site.clock.uptime() - began

        before, waited = asyncio.run(scenario())
        assert before == 0
        assert waited < LEASE

    def test_start_on_a_worker_that_answers_again(self, monkeypatch):
        """Guards against starts that are committed and then not sent.

        The worker gets no lease before a commit takes it off the list of
        silent workers. The commits that placed tasks on it left it there.
        """

        async def scenario():
            async with new_site() as site:
                process = site.start("a")
                await process.lead()
                name = await site.run_task(process)
                worker = site.workers.workers[name]
                for other in site.workers.workers:
                    if other != name:
                        await site.unlist(process, other)
                worker.cut_off = True
                inherited = process.leader.inherited_leases
                await site.until(lambda: inherited.named)
                # The next search for silent workers is far ahead.
                monkeypatch.setattr(
                    inherited_leases, "SEARCH_INTERVAL", 60 * SECOND
                )
                await site.until(
                    lambda: (
                        inherited.next_search - site.clock.uptime()
                        > 30 * SECOND
                    )
                )
                step = fakes.step(estimate=1000 * SECOND)
                spec = fakes.job("00000000000000bb", step)
                test_leader.Site.submit(site, spec)
                await asyncio.sleep(test_inherited_leases.REACTION_S)
                worker.cut_off = False
                await site.until(lambda: site.starts() == 2)
                return worker.starts[-1][1], site.lapsed()

        assert asyncio.run(scenario()) == (1, 0)
