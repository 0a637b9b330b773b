"""Tests of unexpected errors: each costs its own unit of work only."""

import asyncio
import pathlib
import random

import pytest

from tests.dispatch import fakes
from tests.dispatch import test_leader
from tests.dispatch import test_session
from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import dispatcher as dispatchers
from turmerichook._internal.dispatch import leader as leaders
from turmerichook._internal.dispatch import leadership
from turmerichook._internal.dispatch import session as sessions
from turmerichook._internal.dispatch import watchdog
from turmerichook._internal.intake import daemon as daemons
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal.storage import follower
from turmerichook._internal.storage import memory
from turmerichook._internal.workflow import model

DONE = model.EndKind.DONE
OTHER = ids.JobId("00000000000000bb")


class DefectError(Exception):
    """An error that no part of the program expects."""


async def _complete_beside(site, job):
    """Lead until a job is completed; return whether the term still holds."""
    term, running = await site.lead()
    workers = site.workers.workers.values()

    def completed():
        for worker in workers:
            for task in list(worker.running):
                worker.end(task, DONE)
        return site.state(job) is model.JobState.COMPLETED

    await site.until(completed)
    holds = not term.ended.is_set()
    term.end("test")
    await running
    return holds


class TestSessionOfOneWorker:
    """An unexpected error in the calls to one worker."""

    @pytest.mark.parametrize("call", ("renew", "start"))
    def test_other_workers_go_on(self, call):
        """Guards against a term that ends for one worker.

        Each next leader called the same worker, so that nothing was started.
        """

        async def scenario():
            site = test_leader.Site("w1", "w2")
            answer = getattr(site.workers, call)

            async def fail_for_first(entry, order):
                if entry.worker == "w1":
                    raise DefectError("test")
                return await answer(entry, order)

            setattr(site.workers, call, fail_for_first)
            site.submit(fakes.job(OTHER, fakes.step(4)))
            return await _complete_beside(site, OTHER)

        assert asyncio.run(scenario())


class TestOneStoredItem:
    """An unexpected error over one item of the store."""

    def test_other_workers_are_used(self, monkeypatch):
        """Guards against a registry that nobody follows for one entry."""

        def decode(self, key, value):
            if key.endswith("w1"):
                raise DefectError("test")
            return fakes.entry(self.worker(key))

        monkeypatch.setattr(test_leader.Registry, "decode", decode)

        async def scenario():
            site = test_leader.Site("w1", "w2")
            site.submit(fakes.job(OTHER))
            return await _complete_beside(site, OTHER)

        assert asyncio.run(scenario())

    def test_other_jobs_are_taken(self, monkeypatch):
        """Guards against jobs that all wait for one that is odd."""
        add_job = dispatchers.Dispatcher.add_job

        def fail_for_one(self, progress, **times):
            if progress.spec.job != OTHER:
                raise DefectError("test")
            add_job(self, progress, **times)

        monkeypatch.setattr(dispatchers.Dispatcher, "add_job", fail_for_one)

        async def scenario():
            site = test_leader.Site("w1")
            site.submit(fakes.job())
            site.submit(fakes.job(OTHER))
            return await _complete_beside(site, OTHER)

        assert asyncio.run(scenario())

    def test_job_that_one_leader_cannot_take_is_not_lost(self, monkeypatch):
        """Guards against a job that is dropped for one leader's error.

        Its stored progress looked like that of a final job, its run like one
        that nobody wants, and its end was acknowledged.
        """
        add_job = dispatchers.Dispatcher.add_job
        failing = [False]

        def fail_once(self, progress, **times):
            if failing[0]:
                raise DefectError("test")
            add_job(self, progress, **times)

        monkeypatch.setattr(dispatchers.Dispatcher, "add_job", fail_once)

        async def scenario():
            site = test_leader.Site("w1")
            worker = site.workers.workers[ids.WorkerId("w1")]
            site.submit(fakes.job(OTHER))
            for failing[0] in (False, True):
                term, running = await site.lead()
                await site.until(lambda: worker.running)
                await asyncio.sleep(0.5)
                if failing[0]:
                    # Longer than a run of an unknown step may make no
                    # progress.
                    await asyncio.sleep(watchdog.STALL_LIMIT.total_seconds())
                    assert worker.running
                    worker.end(model.TaskKey(OTHER, 0, 0, 0), DONE)
                    await asyncio.sleep(0.5)
                term.end("test")
                await running
            failing[0] = False
            holds = await _complete_beside(site, OTHER)
            return holds, len(worker.starts)

        assert asyncio.run(scenario()) == (True, 1)

    def test_later_changes_are_followed(self):
        """Guards against a watch that ends with one of its changes."""
        seen = []

        def apply(change):
            if change.key == "x/odd":
                raise DefectError("test")
            seen.append(change.key)

        async def scenario():
            clock = clocks.SystemClock()
            storage = memory.MemoryStorage(clock=clock)
            watch = follower.Follower(
                storage=storage,
                prefix="x/",
                clock=clock,
                replace=lambda items: (),
                apply=apply,
            )
            running = asyncio.create_task(watch.run())
            await asyncio.sleep(0.05)
            storage.put("x/odd", b"")
            storage.put("x/good", b"")
            async with asyncio.timeout(5):
                while "x/good" not in seen and not running.done():
                    await asyncio.sleep(0.01)
            running.cancel()

        asyncio.run(scenario())
        assert seen == ["x/good"]


class TestUnneededService:
    """The registry lists a worker of a service that no queue uses."""

    def test_is_not_called(self, monkeypatch):
        """Guards against calls to whatever another writer names."""

        def decode(self, key, value):
            entry = fakes.entry(self.worker(key))
            if key.endswith("w1"):
                entry = fakes.with_service(entry, ids.ServiceId("other"))
            return entry

        monkeypatch.setattr(test_leader.Registry, "decode", decode)
        called = set()

        async def scenario():
            site = test_leader.Site("w1", "w2")
            answer = site.workers.renew

            async def renew(entry, order):
                called.add(entry.worker)
                return await answer(entry, order)

            site.workers.renew = renew
            site.submit(fakes.job(OTHER))
            await _complete_beside(site, OTHER)

        asyncio.run(scenario())
        assert called == {"w2"}


class TestManyFailures:
    """Something fails again and again, for longer than pauses grow."""

    FAILURES = 1000

    def test_pauses_between_terms(self):
        """Guards against a process that ends after 45 failed terms."""
        pauses = leadership.FailurePauses()
        for _ in range(self.FAILURES):
            pause = pauses.after(failed=True)
        assert pause == leadership.FAILURE_PAUSE_MAX

    def test_pauses_between_claims(self):
        """Guards against processes that end while the store is away.

        The pause overflowed after 48 claims, about a minute.
        """
        candidate = leadership.Candidate(
            node=ids.NodeId("a"),
            storage=None,
            clock=clocks.SystemClock(),
            random_source=random.Random(1),
        )
        longest = leadership.RETRY_PAUSE_MAX
        pause = candidate._retry_pause(self.FAILURES)
        assert longest / 2 <= pause <= longest

    def test_pauses_between_renewals(self):
        """Guards against a term that ends after 45 failures of a session."""
        pauses = []

        class Clock(clocks.SystemClock):
            async def sleep(self, delay):
                pauses.append(delay)
                if len(pauses) == TestManyFailures.FAILURES:
                    raise asyncio.CancelledError

        async def fail(entry, order):
            raise DefectError("test")

        async def scenario():
            fixture = test_session.SessionFixture(Clock())
            fixture.workers.renew = fail
            with pytest.raises(asyncio.CancelledError):
                await fixture.session.run()

        asyncio.run(scenario())
        assert len(pauses) == self.FAILURES
        assert pauses[-1] == sessions.DEFECT_PAUSE_MAX


class FailingLeader:
    """A leader whose term ends at once with an error."""

    runs = 0

    def __init__(self, *, term, **_):
        self.term = term

    async def run(self):
        type(self).runs += 1
        raise DefectError("test")


class TestProcess:
    """The leader ends with an unexpected error."""

    def _daemon(self):
        clock = clocks.SystemClock()
        settings = deployment.EntrySettings(
            node=ids.NodeId("a-1"),
            zone=fakes.ZONE,
            zones=(fakes.ZONE,),
            store="",
            host_service="",
            advisor="",
            listen="",
            health_listen="",
            admin_listen="",
            lease_ttl_min=fakes.SECOND,
            timing=fakes.TIMING,
        )
        storage = memory.MemoryStorage(clock=clock)
        adapter = daemons.PlatformAdapter(
            load_settings=lambda path: settings,
            open_storage=lambda address: storage,
            open_workers=lambda: fakes.FakeWorkers(),
            open_advisor=lambda address: None,
            call_format=None,
            registry_format=test_leader.Registry(),
            operator_format=None,
            ready_path="",
            metrics_path="",
        )
        daemon = daemons.EntryDaemon(
            path=pathlib.Path(), adapter=adapter, clock=clock
        )
        daemon.operators.configuration = fakes.CONFIGURATION
        daemon.operators.configured.set()
        return daemon

    def test_serves_on_and_claims_less_often(self, monkeypatch):
        """Guards against a process that ends, or leads again at once.

        Terms that ended for the same reason followed each other without a
        pause, 400 in 40 s.
        """
        monkeypatch.setattr(FailingLeader, "runs", 0)
        monkeypatch.setattr(leaders, "Leader", FailingLeader)

        async def scenario():
            leading = asyncio.create_task(self._daemon()._run_leadership())
            await asyncio.wait((leading,), timeout=5)
            ended = leading.done()
            leading.cancel()
            return ended

        assert not asyncio.run(scenario())
        assert 2 <= FailingLeader.runs <= 4

    def test_pauses_grow_and_end_with_a_term_that_works(self):
        """Guards against a host that hardly ever leads after one failure."""
        pauses = leadership.FailurePauses()
        failed = [pauses.after(failed=True) / fakes.SECOND for _ in range(8)]
        assert failed == sorted(failed)
        assert failed[0] <= 1
        assert failed[-1] >= 10
        assert pauses.after(failed=False) < fakes.SECOND
        assert pauses.after(failed=True) / fakes.SECOND == failed[0]
