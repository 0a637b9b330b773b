"""Tests of submissions, cancellations and states over a faulty store."""

import asyncio
import datetime

from tests.dispatch import fakes
from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import keys
from turmerichook._internal.intake import job_store
from turmerichook._internal.models import ids
from turmerichook._internal.storage import memory
from turmerichook._internal.workflow import model
from turmerichook._internal.workflow import progress as progresses
from turmerichook._internal.workflow import stored

MS = datetime.timedelta(milliseconds=1)
SPEC = fakes.job()


class Desk:
    """A job store over storage in memory."""

    def __init__(self):
        self.clock = clocks.SystemClock()
        self.storage = memory.MemoryStorage(clock=self.clock)
        self.jobs = job_store.JobStore(storage=self.storage, clock=self.clock)

    def until(self, milliseconds=300):
        """Return a time to give up."""
        return self.clock.monotonic() + milliseconds * MS

    def finish(self, spec):
        """Complete a job as a leader does."""
        progress = progresses.Progress(spec=spec)
        for task in progress.open_occurrence():
            progress.finish(task)
        value = stored.encode_progress(progress)
        self.storage.put(keys.progress(spec.job), value)
        self.storage.remove(keys.job(spec.job))


class TestSubmission:
    """A job is accepted once, and only when it is durable."""

    def test_repeated(self):
        """Guards against two jobs of one id, also after its end."""

        async def scenario(desk):
            first = await desk.jobs.submit(SPEC, desk.until())
            second = await desk.jobs.submit(SPEC, desk.until())
            desk.finish(SPEC)
            third = await desk.jobs.submit(SPEC, desk.until())
            assert keys.job(SPEC.job) not in desk.storage.items
            return [first.repeated, second.repeated, third.repeated]

        assert asyncio.run(scenario(Desk())) == [False, True, True]

    def test_refusal_is_true(self):
        """Guards against a job that runs although it was refused."""

        async def scenario(desk):
            desk.storage.down = True
            outcome = await desk.jobs.submit(SPEC, desk.until())
            return outcome, dict(desk.storage.items)

        outcome, items = asyncio.run(scenario(Desk()))
        assert outcome is job_store.Unsettled.NOT_STORED and not items

    def test_lost_answer_is_asked_for_again(self):
        """Guards against a refusal of a job that was stored."""

        async def scenario(desk):
            lost = iter([True, True, False])
            desk.storage.lose_answer = lambda commit: next(lost)
            return await desk.jobs.submit(SPEC, desk.until())

        assert asyncio.run(scenario(Desk())) == job_store.Stored(repeated=True)

    def test_doubt_is_no_refusal(self):
        """Guards against "not run" where the write may have taken effect."""

        async def scenario(desk):
            def lose(commit):
                desk.storage.down = True
                return True

            desk.storage.lose_answer = lose
            return await desk.jobs.submit(SPEC, desk.until())

        outcome = asyncio.run(scenario(Desk()))
        assert outcome is job_store.Unsettled.OUTCOME_UNKNOWN


class TestState:
    """What callers are told."""

    def test_life_of_a_job(self):
        """Guards against a known job that is said not to exist."""

        async def scenario(desk):
            states = [await desk.jobs.state(SPEC.job, desk.until())]
            await desk.jobs.submit(SPEC, desk.until())
            states.append(await desk.jobs.state(SPEC.job, desk.until()))
            desk.finish(SPEC)
            states.append(await desk.jobs.state(SPEC.job, desk.until()))
            return states

        assert asyncio.run(scenario(Desk())) == [
            job_store.NoSuchJob(),
            model.JobState.QUEUED,
            model.JobState.COMPLETED,
        ]

    def test_store_away(self):
        """Guards against "no such job" where the store cannot tell."""

        async def scenario(desk):
            await desk.jobs.submit(SPEC, desk.until())
            desk.storage.down = True
            return await desk.jobs.state(SPEC.job, desk.until())

        outcome = asyncio.run(scenario(Desk()))
        assert outcome is job_store.Unsettled.NOT_READ


class TestCancellation:
    """A cancellation is acknowledged once it is durable."""

    def test_known_and_unknown_jobs(self):
        """Guards against a cancellation of a job that does not exist."""

        async def scenario(desk):
            unknown = await desk.jobs.cancel(SPEC.job, desk.until())
            await desk.jobs.submit(SPEC, desk.until())
            known = await desk.jobs.cancel(SPEC.job, desk.until())
            assert keys.cancel(SPEC.job) in desk.storage.items
            desk.finish(SPEC)
            final = await desk.jobs.cancel(SPEC.job, desk.until())
            return unknown, known, final

        assert asyncio.run(scenario(Desk())) == (
            job_store.NoSuchJob(),
            job_store.Stored(repeated=False),
            job_store.Stored(repeated=True),
        )

    def test_job_that_ends_meanwhile(self):
        """Guards against a cancellation that nobody will remove."""

        async def scenario(desk):
            await desk.jobs.submit(SPEC, desk.until())
            read = desk.storage.get

            async def get(key):
                item = await read(key)
                if key == keys.job(ids.JobId(SPEC.job)) and item is not None:
                    desk.finish(SPEC)
                return item

            desk.storage.get = get
            outcome = await desk.jobs.cancel(SPEC.job, desk.until())
            assert keys.cancel(SPEC.job) not in desk.storage.items
            return outcome

        assert asyncio.run(scenario(Desk())) == job_store.Stored(repeated=True)
