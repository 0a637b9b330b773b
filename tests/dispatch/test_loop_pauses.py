"""Tests of pauses in work that would hold the leader's event loop."""

import asyncio
import time

import pytest

from tests.dispatch import fakes
from tests.dispatch import test_leader
from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import dispatcher as dispatchers
from turmerichook._internal.dispatch import events
from turmerichook._internal.dispatch import feeds
from turmerichook._internal.dispatch import keys
from turmerichook._internal.dispatch import leadership
from turmerichook._internal.dispatch import placement_round
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import ids
from turmerichook._internal.storage import memory
from turmerichook._internal.workflow import progress as progresses
from turmerichook._internal.workflow import stored

JOBS = 40
STEPS = 250
# Time for which one job holds the event loop, in seconds.
PIECE_S = 0.03
# Longest time between two turns of another task. All jobs one after the other
# take more than twice as long.
GAP_MAX_S = leadership.RENEW_INTERVAL.total_seconds()


class Turns:
    """A task that is ready to run all the time.

    :ivar longest: longest time between two of its turns, in seconds.
    """

    def __init__(self):
        self.longest = 0.0

    async def run(self):
        """Take turns until cancelled."""
        while True:
            began = time.monotonic()
            await asyncio.sleep(0.001)
            self.longest = max(self.longest, time.monotonic() - began)


@pytest.fixture
def slow_jobs(monkeypatch):
    """Let each job hold the event loop when a leader takes it."""
    add_job = dispatchers.Dispatcher.add_job

    def add_slowly(self, progress, **times):
        time.sleep(PIECE_S)
        add_job(self, progress, **times)

    monkeypatch.setattr(dispatchers.Dispatcher, "add_job", add_slowly)


async def longest_gap(work):
    """Return the longest time for which nothing else runs beside a task."""
    turns = Turns()
    task = asyncio.create_task(turns.run())
    await asyncio.sleep(0)
    await work
    task.cancel()
    return turns.longest


def submit_jobs(site):
    """Store many jobs."""
    for number in range(JOBS):
        site.submit(fakes.job(f"{number:016x}"))


async def until_taken(site):
    """Wait until the leader has taken all jobs."""
    await site.until(lambda: len(site.leader.dispatcher.jobs) == JOBS)


class TestManyJobs:
    """A leader takes many jobs, each of which needs some time."""

    @pytest.mark.parametrize("moment", ("take-over", "watch", "lost-history"))
    def test_renewals_go_on(self, slow_jobs, moment):
        """Guards against a lease that ends while jobs are taken.

        All jobs of a take-over, and all changes of an answer, were applied
        without a pause, so that several large jobs added up.
        """

        async def scenario():
            site = test_leader.Site()
            if moment == "take-over":
                submit_jobs(site)
            term, running = await site.lead()
            if moment != "take-over":
                follower = site.leader.feeds.inbox
                await site.until(lambda: follower.revision is not None)
                submit_jobs(site)
            if moment == "lost-history":
                site.storage.drop_history()
            gap = await longest_gap(until_taken(site))
            term.end("test")
            await running
            return gap

        assert asyncio.run(scenario()) < GAP_MAX_S

    def test_ended_jobs(self, monkeypatch):
        """Guards against a lease that ends while ended jobs are read."""
        decode = stored.decode_unfinished_runs

        def decode_slowly(job, value):
            time.sleep(PIECE_S)
            return decode(job, value)

        monkeypatch.setattr(stored, "decode_unfinished_runs", decode_slowly)
        progress = progresses.Progress(spec=fakes.job())
        progress.open_occurrence()
        progress.canceled = True
        value = stored.encode_progress(progress)

        async def scenario():
            site = test_leader.Site()
            for number in range(JOBS):
                site.storage.put(
                    keys.progress(ids.JobId(f"{number:016x}")), value
                )
            term, running = await site.lead()
            final = site.leader.dispatcher.final
            gap = await longest_gap(site.until(lambda: len(final) == JOBS))
            term.end("test")
            await running
            return gap

        assert asyncio.run(scenario()) < GAP_MAX_S


class TestManySteps:
    """More steps wait than a round can check in time."""

    def test_renewals_go_on(self, monkeypatch):
        """Guards against a lease that ends during one placement round.

        Each round checked all waiting steps: 24,000 of them that no worker
        may run took up to half a second, and more on a slow host.
        """
        checked = set()

        def check_slowly(self, step, limit):
            time.sleep(0.003)
            checked.add(step.key)
            return []

        monkeypatch.setattr(placement_round.Round, "choose", check_slowly)

        async def scenario():
            site = test_leader.Site("w1")
            site.submit(fakes.job("0" * 16, *[fakes.step()] * STEPS))
            term, running = await site.lead()
            gap = await longest_gap(site.until(lambda: len(checked) == STEPS))
            term.end("test")
            await running
            return gap

        assert asyncio.run(scenario()) < GAP_MAX_S


@pytest.fixture
def emitted(monkeypatch):
    """Return the log events and their fields, as they are written."""
    written = []

    def emit(event, **fields):
        written.append((event, fields))

    monkeypatch.setattr(logs, "emit", emit)
    return written


class TestHeldLoop:
    """Operators learn what holds the event loop, and for how long."""

    def test_job(self, emitted, monkeypatch):
        """Guards against a leader that hangs without a word about the job."""
        monkeypatch.setattr(
            feeds.Feeds, "_add_job", lambda self, item: time.sleep(0.25)
        )

        async def scenario():
            site = test_leader.Site()
            site.submit(fakes.job())
            term, running = await site.lead()
            await site.until(
                lambda: any(
                    event is events.DispatchEvent.RECOVERED
                    for event, _ in emitted
                )
            )
            term.end("test")
            await running
            return site.leader.meter.metrics.render()

        metrics = asyncio.run(scenario())
        (held,) = [
            fields
            for event, fields in emitted
            if event is events.DispatchEvent.LOOP_HELD
        ]
        assert held["work"] == keys.job(fakes.job().job)
        assert held["held_ms"] >= 250
        assert "turmerichook_loop_held_seconds_count 1" in metrics

    def test_late_renewal(self, emitted):
        """Guards against a lost lease whose cause no log line tells."""

        async def scenario():
            clock = clocks.SystemClock()
            storage = memory.MemoryStorage(clock=clock)
            candidate = leadership.Candidate(
                node=ids.NodeId("node"),
                storage=storage,
                clock=clock,
                random_source=None,
            )
            term = leadership.Term(
                lease=await storage.grant_lease(60 * fakes.SECOND),
                token=ids.FencingToken(1),
                confirmed_at=clock.uptime(),
                clock=clock,
            )
            renewing = asyncio.create_task(candidate.renew_until_end(term))
            await asyncio.sleep(0.1)
            time.sleep(1.1)
            await asyncio.sleep(0.1)
            term.end("test")
            await renewing

        asyncio.run(scenario())
        (late,) = [
            fields
            for event, fields in emitted
            if event is events.DispatchEvent.RENEWAL_LATE
        ]
        assert late["interval_ms"] >= 1100
