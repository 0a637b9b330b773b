"""Tests of the leader's exchange with one worker."""

import asyncio
import datetime

from tests.dispatch import fakes
from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import dispatcher as dispatchers
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import leadership
from turmerichook._internal.dispatch import session as sessions
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model
from turmerichook._internal.workflow import progress as progresses

TASK = model.TaskKey(ids.JobId("00000000000000aa"), 0, 0, 0)


class CountingClock(clocks.SystemClock):
    """Notes how long was slept."""

    def __init__(self):
        self.sleeps: list[datetime.timedelta] = []

    async def sleep(self, delay):
        self.sleeps.append(delay)
        await super().sleep(delay)


class Exchange:
    """A session with a worker that runs one task and has ended it."""

    def __init__(self):
        self.clock = CountingClock()
        self.workers = fakes.FakeWorkers("w1")
        self.worker = self.workers.workers[ids.WorkerId("w1")]
        self.dispatcher = dispatchers.Dispatcher(
            timing=fakes.TIMING, configuration=fakes.CONFIGURATION
        )
        now = self.clock.uptime()
        self.dispatcher.set_entry(fakes.entry("w1"), now)
        progress = progresses.Progress(spec=fakes.job(TASK.job, fakes.step(2)))
        self.dispatcher.add_job(progress, now=now, wall=now)
        term = leadership.Term(
            lease=ids.LeaseId("1"),
            token=ids.FencingToken(1),
            confirmed_at=now,
            clock=self.clock,
        )
        self.session = sessions.Session(
            worker=self.dispatcher.workers[ids.WorkerId("w1")],
            dispatcher=self.dispatcher,
            workers=self.workers,
            term=term,
            timing=fakes.TIMING,
            clock=self.clock,
            changed=asyncio.Event(),
        )

    async def start(self):
        """Start what waits once the worker's clock is known."""
        await self.session._renew()
        now = self.clock.uptime()
        self.dispatcher.place(now, now, 10)
        saves = self.dispatcher.next_saves(10)
        for order in self.dispatcher.committed(saves, now):
            await self.session.start(order)
        self.clock.sleeps.clear()


class TestReports:
    """When the next report is asked for."""

    def test_no_pause_before_the_end_is_durable(self):
        """Guards against a timer for each end beside the wait for its commit.

        The next report is asked for after the commit anyway.
        """

        async def scenario():
            exchange = Exchange()
            await exchange.start()
            exchange.worker.end(TASK, model.EndKind.DONE)
            await exchange.session._renew()
            unsaved = set(exchange.session.worker.unsaved)
            return unsaved, exchange.clock.sleeps

        assert asyncio.run(scenario()) == ({1}, [])

    def test_pause_after_a_report_without_an_end(self):
        """Guards against a loop of reports from a worker that never waits."""

        async def scenario():
            exchange = Exchange()
            await exchange.start()
            await exchange.session._renew()
            return exchange.clock.sleeps

        assert asyncio.run(scenario()) == [sessions.REPORT_PAUSE]

    def test_one_report_for_the_ends_until_a_commit(self):
        """Guards against a report for each end while none can be saved."""

        async def scenario():
            exchange = Exchange()
            await exchange.start()
            reports = []
            renew = exchange.workers.renew

            async def counted(entry, order):
                reports.append(order.acknowledged)
                return await renew(entry, order)

            exchange.workers.renew = counted
            exchange.worker.end(TASK, model.EndKind.DONE)
            running = asyncio.create_task(exchange.session.run())
            await asyncio.sleep(0.02)
            exchange.worker.end(TASK._replace(index=1), model.EndKind.DONE)
            await asyncio.sleep(0.1)
            before = list(reports)
            now = exchange.clock.uptime()
            saves = exchange.dispatcher.next_saves(10)
            exchange.dispatcher.committed(saves, now)
            exchange.session.wake.set()
            await asyncio.sleep(0.05)
            running.cancel()
            return before, reports[1]

        assert asyncio.run(scenario()) == ([0], 1)

    def test_fewer_reports_while_commits_are_far_behind(self):
        """Guards against four reports a second that name the same ends."""

        async def scenario():
            exchange = Exchange()
            await exchange.start()
            reports = []
            renew = exchange.workers.renew

            async def counted(entry, order):
                reports.append(order.acknowledged)
                return await renew(entry, order)

            exchange.workers.renew = counted
            exchange.worker.end(TASK, model.EndKind.DONE)
            running = asyncio.create_task(exchange.session.run())
            await asyncio.sleep(0.05)
            exchange.dispatcher.book.dirty[TASK.job] -= 2 * fakes.SECOND
            reports.clear()
            await asyncio.sleep(0.55)
            running.cancel()
            return len(reports)

        assert asyncio.run(scenario()) == 1

    def test_lost_answer_is_settled_as_soon_as_before(self):
        """Guards against a task that waits longer because commits are late."""

        async def scenario():
            exchange = Exchange()
            await exchange.start()
            now = exchange.clock.uptime()
            exchange.dispatcher.book.note_change(
                TASK.job, now - 2 * fakes.SECOND
            )
            pause = exchange.session._unsaved_pause
            run = exchange.session.worker.runs[TASK]
            pauses = [pause(now)]
            run.phase = fleet.RunPhase.UNCERTAIN
            return [*pauses, pause(now)]

        assert asyncio.run(scenario()) == [
            sessions.REPORT_WAIT,
            sessions.RETRY_PAUSE,
        ]
