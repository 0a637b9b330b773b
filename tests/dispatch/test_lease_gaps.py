"""Tests of leases on workers that live, around changes of the leader."""

import asyncio
import contextlib

import pytest

from tests.dispatch import fakes
from tests.dispatch import test_inherited_leases
from tests.dispatch import test_leader
from turmerichook._internal.workflow import model

MS = fakes.MS
SECOND = fakes.SECOND
TASK = test_leader.TASK
LEASE = test_inherited_leases.TIMING.lease_max
TICK_S = 0.02
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
