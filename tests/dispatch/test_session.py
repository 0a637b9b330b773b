"""Tests of the leader's session with one worker."""

import asyncio
import dataclasses
import datetime

import pytest

from tests.dispatch import fakes
from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import decisions
from turmerichook._internal.dispatch import dispatcher as dispatchers
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import leadership
from turmerichook._internal.dispatch import orders
from turmerichook._internal.dispatch import session as sessions
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model
from turmerichook._internal.workflow import progress as progresses
from turmerichook import exceptions

# Time after which a renewal without an answer has failed.
RENEWAL_TIMEOUT = datetime.timedelta(milliseconds=1400)
MINUTE = datetime.timedelta(minutes=1)
TASK = model.TaskKey(ids.JobId("00000000000000aa"), 0, 0, 0)


class CountingClock(clocks.SystemClock):
    """A clock that records the durations of sleeps."""

    def __init__(self):
        self.sleeps: list[datetime.timedelta] = []

    async def sleep(self, delay):
        self.sleeps.append(delay)
        await super().sleep(delay)


class SkippingClock(CountingClock):
    """A clock that skips the time of each sleep instead of waiting."""

    def __init__(self):
        super().__init__()
        self.skipped = datetime.timedelta()

    def uptime(self):
        return super().uptime() + self.skipped

    async def sleep(self, delay):
        self.skipped += delay


class SessionFixture:
    """A session with a worker, and a job with two tasks."""

    def __init__(self, clock=None):
        self.clock = clock or CountingClock()
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
        """Receive a first report, and start the tasks."""
        await self.session._renew()
        now = self.clock.uptime()
        self.dispatcher.place(now, now, 10)
        saves = self.dispatcher.next_saves(10)
        for order in self.dispatcher.committed(saves, now):
            await self.session.start(order)
        self.clock.sleeps.clear()


class TestReports:
    """Time at which the next report is requested."""

    def test_no_pause_after_a_report_with_an_end(self):
        """Guards against a pause in addition to the wait for the commit.

        After an end, the next report is requested after the commit anyway.
        """

        async def scenario():
            fixture = SessionFixture()
            await fixture.start()
            fixture.worker.end(TASK, model.EndKind.DONE)
            await fixture.session._renew()
            unsaved = set(fixture.session.worker.unsaved)
            return unsaved, fixture.clock.sleeps

        assert asyncio.run(scenario()) == ({1}, [])

    def test_pause_after_a_report_without_an_end(self):
        """Guards against a loop of reports without a pause.

        A worker may answer at once, although the leader lets it wait.
        """

        async def scenario():
            fixture = SessionFixture()
            await fixture.start()
            await fixture.session._renew()
            return fixture.clock.sleeps

        assert asyncio.run(scenario()) == [sessions.REPORT_PAUSE]

    def test_one_report_for_the_ends_until_a_commit(self):
        """Guards against a report for each end before the next commit.

        Ends that are not durable are only listed again in each report.
        """

        async def scenario():
            fixture = SessionFixture()
            await fixture.start()
            reports = []
            renew = fixture.workers.renew

            async def counted(entry, order):
                reports.append(order.acknowledged)
                return await renew(entry, order)

            fixture.workers.renew = counted
            fixture.worker.end(TASK, model.EndKind.DONE)
            running = asyncio.create_task(fixture.session.run())
            await asyncio.sleep(0.02)
            fixture.worker.end(TASK._replace(index=1), model.EndKind.DONE)
            await asyncio.sleep(0.1)
            before = list(reports)
            now = fixture.clock.uptime()
            saves = fixture.dispatcher.next_saves(10)
            fixture.dispatcher.committed(saves, now)
            fixture.session.wake.set()
            await asyncio.sleep(0.05)
            running.cancel()
            return before, reports[1]

        assert asyncio.run(scenario()) == ([0], 1)

    def test_fewer_reports_while_commits_are_delayed(self):
        """Guards against four reports per second that list the same ends.

        This happens if the pause does not grow with the delay of commits.
        """

        async def scenario():
            fixture = SessionFixture()
            await fixture.start()
            reports = []
            renew = fixture.workers.renew

            async def counted(entry, order):
                reports.append(order.acknowledged)
                return await renew(entry, order)

            fixture.workers.renew = counted
            fixture.worker.end(TASK, model.EndKind.DONE)
            running = asyncio.create_task(fixture.session.run())
            await asyncio.sleep(0.05)
            fixture.dispatcher.run_tracker.unsaved_jobs[TASK.job] -= (
                2 * fakes.SECOND
            )
            reports.clear()
            await asyncio.sleep(0.55)
            running.cancel()
            return len(reports)

        assert asyncio.run(scenario()) == 1

    def test_uncertain_run_does_not_wait_for_late_commits(self):
        """Guards against an uncertain run that waits for delayed commits.

        Only a report shows whether a run exists whose start was not answered.
        """

        async def scenario():
            fixture = SessionFixture()
            await fixture.start()
            now = fixture.clock.uptime()
            fixture.dispatcher.run_tracker.note_change(
                TASK.job, now - 2 * fakes.SECOND
            )
            pause = fixture.session._unsaved_pause
            run = fixture.session.worker.runs[TASK]
            pauses = [pause(now)]
            run.phase = fleet.RunPhase.UNCERTAIN
            return [*pauses, pause(now)]

        assert asyncio.run(scenario()) == [
            sessions.REPORT_WAIT,
            sessions.RETRY_PAUSE,
        ]


class TestSilentWorker:
    """Leases and runs of a worker that does not answer."""

    @staticmethod
    async def _runs_lost_after(fixture, limit, *, executes=False):
        """Renew without answers; return when all runs are lost, or None.

        :param executes: whether the worker executes renewals although their
            answers are lost.
        """
        renew = fixture.workers.renew

        async def unanswered(entry, order):
            await fixture.clock.sleep(RENEWAL_TIMEOUT)
            if executes:
                await renew(entry, order)
            raise exceptions.WorkerUnreachableError(message="no answer")

        fixture.workers.renew = unanswered
        silent_since = fixture.clock.uptime()
        while fixture.clock.uptime() - silent_since < limit:
            fixture.session.term.confirmed_at = fixture.clock.uptime()
            await fixture.session._renew()
            fixture.dispatcher.watchdog.tick(fixture.clock.uptime())
            if not fixture.session.worker.runs:
                return fixture.clock.uptime() - silent_since
        return None

    def test_tasks_of_a_crashed_worker_are_placed_again(self):
        """Guards against tasks that stay with a crashed worker for good.

        Each renewal that was sent to it counted as a lease, so that its leases
        never ended and its tasks did not run until the next leader.
        """

        async def scenario():
            fixture = SessionFixture(SkippingClock())
            await fixture.start()
            fixture.dispatcher.remove_entry(ids.WorkerId("w1"))
            lost = await self._runs_lost_after(fixture, MINUTE)
            return lost, len(fixture.dispatcher.waiting)

        lost, waiting = asyncio.run(scenario())
        lease = fakes.TIMING.lease_max / (1 - fleet.CLOCK_RATE_ERROR_MAX)
        assert lost is not None
        # A renewal that is under way may delay the check.
        assert lease < lost < lease + 3 * RENEWAL_TIMEOUT
        assert waiting == 2

    def test_slow_worker_keeps_its_runs(self):
        """Guards against work given up because a worker is slow to report.

        The registry still lists the worker, and it executes the renewals.
        """

        async def scenario():
            fixture = SessionFixture(SkippingClock())
            await fixture.start()
            lost = await self._runs_lost_after(
                fixture, sessions.SILENT_RENEWAL_TIME, executes=True
            )
            worker = fixture.session.worker
            return lost, worker.lapsed_at - fixture.clock.uptime()

        lost, remaining = asyncio.run(scenario())
        assert lost is None
        assert remaining > datetime.timedelta()

    def test_worker_that_never_answers_loses_its_runs(self):
        """Guards against tasks bound for good to a worker that is cut off.

        Its heartbeats reach the store, but no answer reaches the leader.
        """

        async def scenario():
            fixture = SessionFixture(SkippingClock())
            await fixture.start()
            return await self._runs_lost_after(fixture, MINUTE)

        lost = asyncio.run(scenario())
        assert lost is not None
        assert sessions.SILENT_RENEWAL_TIME < lost
        assert lost < sessions.SILENT_RENEWAL_TIME + 8 * fakes.SECOND


class TestPausedLeader:
    """The leader's process is suspended for some seconds."""

    def test_no_start_is_sent_once_the_authority_has_lapsed(self):
        """Guards against a start that a successor does not expect.

        The commit was made before the pause, and the lease has ended since.
        """

        async def scenario():
            fixture = SessionFixture(SkippingClock())
            await fixture.session._renew()
            now = fixture.clock.uptime()
            fixture.dispatcher.place(now, now, 10)
            saves = fixture.dispatcher.next_saves(10)
            releases = fixture.dispatcher.committed(saves, now)
            await fixture.clock.sleep(leadership.LEASE_TTL)
            for order in releases:
                await fixture.session.start(order)
            return len(releases), fixture.worker.starts

        assert asyncio.run(scenario()) == (2, [])

    def test_no_start_is_sent_by_entries_that_are_too_old(self):
        """Guards against a capacity that has shrunk during the pause.

        The lease may last longer than the entries are relied on.
        """

        async def scenario():
            fixture = SessionFixture(SkippingClock())
            service = dataclasses.replace(
                fakes.CONFIGURATION.services[0], guarded=False
            )
            fixture.dispatcher.configure(
                dataclasses.replace(fakes.CONFIGURATION, services=(service,))
            )
            await fixture.session._renew()
            now = fixture.clock.uptime()
            fixture.dispatcher.confirm_registry(now - fakes.SECOND)
            fixture.dispatcher.place(now, now, 10)
            saves = fixture.dispatcher.next_saves(10)
            releases = fixture.dispatcher.committed(saves, now)
            await fixture.clock.sleep(1.5 * fakes.SECOND)
            assert fixture.session.term.has_authority()
            for order in releases:
                await fixture.session.start(order)
            return len(releases), fixture.worker.starts

        assert asyncio.run(scenario()) == (2, [])

    def test_no_lease_is_granted_long_after_the_last_confirmation(self):
        """Guards against leases that a successor takes for ended.

        A successor waits for this time, and then places the tasks of workers
        that it cannot reach on others.
        """

        async def scenario():
            fixture = SessionFixture(SkippingClock())
            await fixture.start()
            granted = fixture.worker.lease_until
            await fixture.clock.sleep(
                sessions.unconfirmed_lease_time(fakes.TIMING.lease_max)
            )
            await fixture.session._renew()
            return granted, fixture.worker.lease_until

        before, after = asyncio.run(scenario())
        assert before == after

    def test_lease_ends_with_the_time_without_confirmation(self):
        """Guards against a task that waits 16 s after the leader is lost.

        The last lease of a leader without the store had its full length, so
        that a successor waited for that, too.
        """

        async def scenario():
            fixture = SessionFixture(SkippingClock())
            session = fixture.session
            session.timing = dataclasses.replace(
                fakes.TIMING, lease_max=6 * fakes.SECOND
            )
            await fixture.start()
            await fixture.clock.sleep(8 * fakes.SECOND)
            await session._renew()
            confirmed_at = session.term.confirmed_at
            worker = session.worker
            return worker.lapsed_at - confirmed_at

        outlived = asyncio.run(scenario())
        longest = sessions.unconfirmed_lease_time(6 * fakes.SECOND)
        assert outlived <= longest / (1 - fleet.CLOCK_RATE_ERROR_MAX)

    def test_no_lease_is_granted_after_the_end_of_the_term(self):
        """Guards against leases that a successor takes for ended.

        Sessions still renew for a moment after the end of the term, until the
        outstanding orders are complete.
        """

        async def scenario():
            fixture = SessionFixture(SkippingClock())
            await fixture.start()
            granted = fixture.worker.lease_until
            fixture.session.term.end("test")
            await fixture.clock.sleep(fakes.SECOND)
            await fixture.session._renew()
            return granted, fixture.worker.lease_until

        before, after = asyncio.run(scenario())
        assert before == after


class TestPaceWithoutAnswer:
    """The order that slows a filler down, or speeds it up, may be lost."""

    @pytest.mark.parametrize(
        ("outcome", "known"),
        [
            (orders.Accepted(), True),
            (orders.Unknown(detail="lost"), False),
        ],
    )
    def test_pace_is_told_again(self, outcome, known, monkeypatch):
        """Guards against a filler at a pace that the leader has changed."""
        fixture = SessionFixture()
        run = fleet.Run(
            task=TASK,
            run=ids.Attempt(1),
            step=fakes.step(filler=True),
            phase=fleet.RunPhase.RUNNING,
        )

        async def throttle(*_):
            return outcome

        monkeypatch.setattr(fixture.workers, "throttle", throttle)
        order = decisions.PaceOrder(
            worker=ids.WorkerId("w1"), run=run, percent=50
        )
        asyncio.run(fixture.session.throttle(order))
        assert run.pace_known is known
