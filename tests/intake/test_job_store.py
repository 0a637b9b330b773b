"""Tests of submissions, cancellations and states with a faulty store."""

import asyncio
import datetime

import pytest

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


class Harness:
    """A job store with an in-memory store behind it."""

    def __init__(self):
        self.clock = clocks.SystemClock()
        self.storage = memory.MemoryStorage(clock=self.clock)
        self.jobs = job_store.JobStore(storage=self.storage, clock=self.clock)

    def deadline(self, milliseconds=300):
        """Return a deadline in monotonic time."""
        return self.clock.monotonic() + milliseconds * MS

    def store_completed(self, spec):
        """Write a completed job to the store as a leader does."""
        progress = progresses.Progress(spec=spec)
        for task in progress.open_occurrence():
            progress.finish(task)
        value = stored.encode_progress(progress)
        self.storage.put(keys.progress(spec.job), value)
        self.storage.remove(keys.job(spec.job))


class TestSubmission:
    """A job is accepted once, and only after it is durable."""

    def test_repeated_submission_stores_one_job(self):
        """Guards against a second job with the id of an earlier one.

        A caller may repeat a submission while the job is in the inbox or
        after the job is final and has been removed from the inbox.
        """

        async def scenario(harness):
            first = await harness.jobs.submit(SPEC, harness.deadline())
            second = await harness.jobs.submit(SPEC, harness.deadline())
            harness.store_completed(SPEC)
            third = await harness.jobs.submit(SPEC, harness.deadline())
            assert keys.job(SPEC.job) not in harness.storage.items
            return [first.repeated, second.repeated, third.repeated]

        assert asyncio.run(scenario(Harness())) == [False, True, True]

    def test_refused_job_is_not_stored(self):
        """Guards against a job that runs after its submission was refused.

        The store is down, so the submission is refused with "not stored";
        nothing may be in the store then.
        """

        async def scenario(harness):
            harness.storage.down = True
            outcome = await harness.jobs.submit(SPEC, harness.deadline())
            return outcome, dict(harness.storage.items)

        outcome, items = asyncio.run(scenario(Harness()))
        assert outcome is job_store.NoResultReason.NOT_STORED and not items

    def test_commit_is_repeated_after_a_lost_answer(self):
        """Guards against a refusal of a job that was stored.

        The store applies the commit but its first two answers are lost.
        """

        async def scenario(harness):
            losses = iter([True, True, False])
            harness.storage.lose_answer = lambda commit: next(losses)
            return await harness.jobs.submit(SPEC, harness.deadline())

        assert asyncio.run(scenario(Harness())) == job_store.Stored(
            repeated=True
        )

    def test_unknown_outcome_is_no_refusal(self):
        """Guards against "not run" where the write may have taken effect.

        The answer to the commit is lost, and then the store goes down, so
        that no later attempt can settle the outcome.
        """

        async def scenario(harness):
            def lose_answer_and_go_down(commit):
                harness.storage.down = True
                return True

            harness.storage.lose_answer = lose_answer_and_go_down
            return await harness.jobs.submit(SPEC, harness.deadline())

        outcome = asyncio.run(scenario(Harness()))
        assert outcome is job_store.NoResultReason.OUTCOME_UNKNOWN


class TestState:
    """States that callers get."""

    def test_state_from_submission_to_completion(self):
        """Guards against "no such job" for a job that was submitted.

        A queued job has no stored progress, and a final one has been removed
        from the inbox: each is found under one of the two keys only.
        """

        async def scenario(harness):
            states = [await harness.jobs.state(SPEC.job, harness.deadline())]
            await harness.jobs.submit(SPEC, harness.deadline())
            states.append(
                await harness.jobs.state(SPEC.job, harness.deadline())
            )
            harness.store_completed(SPEC)
            states.append(
                await harness.jobs.state(SPEC.job, harness.deadline())
            )
            return states

        assert asyncio.run(scenario(Harness())) == [
            job_store.NoSuchJob(),
            model.JobState.QUEUED,
            model.JobState.COMPLETED,
        ]

    def test_store_unreachable(self):
        """Guards against "no such job" where the store cannot be read."""

        async def scenario(harness):
            await harness.jobs.submit(SPEC, harness.deadline())
            harness.storage.down = True
            return await harness.jobs.state(SPEC.job, harness.deadline())

        outcome = asyncio.run(scenario(Harness()))
        assert outcome is job_store.NoResultReason.NOT_READ


class TestFailedJob:
    """The state of a job that has failed, and the reason."""

    @pytest.mark.parametrize("reason", list(progresses.FailureReason))
    def test_reason_is_kept(self, reason):
        """Guards against a failure whose reason callers do not learn.

        The second answer comes from the cache of final states.
        """

        async def scenario(harness):
            progress = progresses.Progress(spec=SPEC)
            progress.failed = reason
            value = stored.encode_progress(progress)
            harness.storage.put(keys.progress(SPEC.job), value)
            for _ in range(2):
                state = await harness.jobs.state(SPEC.job, harness.deadline())
                assert state is model.JobState.FAILED
                assert harness.jobs.failure_reason(SPEC.job) is reason

        asyncio.run(scenario(Harness()))

    def test_other_states_have_no_reason(self):
        """Guards against a reason beside the state of another job."""

        async def scenario(harness):
            harness.store_completed(SPEC)
            await harness.jobs.state(SPEC.job, harness.deadline())
            return harness.jobs.failure_reason(SPEC.job)

        assert asyncio.run(scenario(Harness())) is None


class TestCancellation:
    """A cancellation is only acknowledged after it is durable."""

    def test_unknown_queued_and_final_jobs(self):
        """Guards against an acknowledged cancellation of an unknown job.

        A queued job is cancelled; for a final one, nothing is left to do.
        """

        async def scenario(harness):
            of_unknown = await harness.jobs.cancel(
                SPEC.job, harness.deadline()
            )
            await harness.jobs.submit(SPEC, harness.deadline())
            of_queued = await harness.jobs.cancel(SPEC.job, harness.deadline())
            assert keys.cancel(SPEC.job) in harness.storage.items
            harness.store_completed(SPEC)
            of_final = await harness.jobs.cancel(SPEC.job, harness.deadline())
            return of_unknown, of_queued, of_final

        assert asyncio.run(scenario(Harness())) == (
            job_store.NoSuchJob(),
            job_store.Stored(repeated=False),
            job_store.Stored(repeated=True),
        )

    def test_job_that_ends_during_the_cancellation(self):
        """Guards against a cancellation that stays in the store for ever.

        The job ends between the lookup and the commit. A leader does not
        look for the cancellation of a job that is already final.
        """

        async def scenario(harness):
            await harness.jobs.submit(SPEC, harness.deadline())
            get_item = harness.storage.get

            async def get_and_finish(key):
                item = await get_item(key)
                if key == keys.job(ids.JobId(SPEC.job)) and item is not None:
                    harness.store_completed(SPEC)
                return item

            harness.storage.get = get_and_finish
            outcome = await harness.jobs.cancel(SPEC.job, harness.deadline())
            assert keys.cancel(SPEC.job) not in harness.storage.items
            return outcome

        assert asyncio.run(scenario(Harness())) == job_store.Stored(
            repeated=True
        )


class TestCancel:
    """Cancellations, of jobs that do not exist as well."""

    def test_unknown_job(self):
        """Guards against an answer that leaves nothing in the store.

        A submission may be carried out later, and has to be cancelled then.
        """

        async def scenario(harness):
            outcome = await harness.jobs.cancel(SPEC.job, harness.deadline())
            return outcome, keys.cancel(SPEC.job) in harness.storage.items

        assert asyncio.run(scenario(Harness())) == (
            job_store.NoSuchJob(),
            True,
        )

    def test_job_that_is_stored_after_the_lookup(self):
        """Guards against "no such job" for a job that is accepted meanwhile.

        The job is stored between the lookup and the write.
        """

        async def scenario(harness):
            commit = harness.storage.commit

            async def commit_after_submission(change):
                harness.storage.commit = commit
                await harness.jobs.submit(SPEC, harness.deadline())
                return await commit(change)

            harness.storage.commit = commit_after_submission
            outcome = await harness.jobs.cancel(SPEC.job, harness.deadline())
            return outcome, keys.cancel(SPEC.job) in harness.storage.items

        assert asyncio.run(scenario(Harness())) == (
            job_store.Stored(repeated=False),
            True,
        )

    def test_write_of_unknown_outcome(self):
        """Guards against an answer to a cancel that may not be durable."""

        async def scenario(harness):
            def lose_answer_and_go_down(commit):
                harness.storage.down = True
                return True

            harness.storage.lose_answer = lose_answer_and_go_down
            return await harness.jobs.cancel(SPEC.job, harness.deadline())

        outcome = asyncio.run(scenario(Harness()))
        assert outcome is job_store.NoResultReason.OUTCOME_UNKNOWN

    def test_store_that_is_down(self):
        """Guards against "no such job" where the store cannot be read."""

        async def scenario(harness):
            harness.storage.down = True
            return await harness.jobs.cancel(SPEC.job, harness.deadline())

        outcome = asyncio.run(scenario(Harness()))
        assert outcome is job_store.NoResultReason.NOT_READ

    def test_final_job(self):
        """Guards against cancellations that stay for jobs that have ended."""

        async def scenario(harness):
            harness.store_completed(SPEC)
            outcome = await harness.jobs.cancel(SPEC.job, harness.deadline())
            return outcome, keys.cancel(SPEC.job) in harness.storage.items

        assert asyncio.run(scenario(Harness())) == (
            job_store.Stored(repeated=True),
            False,
        )

    def test_flood_of_unknown_jobs(self):
        """Guards against a store that is full of cancels of unknown jobs.

        The store allows a few hundred writes each second. Cancels beyond the
        limit are refused and not stored; those of jobs that exist are not
        limited.
        """

        async def scenario(harness):
            outcomes = [
                await harness.jobs.cancel(
                    ids.JobId(f"{number:016x}"), harness.deadline()
                )
                for number in range(200)
            ]
            refused = [
                outcome
                for outcome in outcomes
                if isinstance(outcome, job_store.TooManyUnknownJobs)
            ]
            assert len(refused) + len(harness.storage.items) == 200
            await harness.jobs.submit(SPEC, harness.deadline())
            known = await harness.jobs.cancel(SPEC.job, harness.deadline())
            return refused, known

        refused, known = asyncio.run(scenario(Harness()))
        assert len(refused) >= 200 - 2 * job_store.EARLY_CANCELS_BURST
        assert all(outcome.retry_after <= 200 * MS for outcome in refused)
        assert known == job_store.Stored(repeated=False)
