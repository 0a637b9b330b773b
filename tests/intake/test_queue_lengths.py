"""Tests of reading a queue's length from the store."""

import asyncio
import dataclasses
import datetime

import pytest

from tests.dispatch import fakes
from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import keys
from turmerichook._internal.intake import job_store
from turmerichook._internal.models import ids
from turmerichook._internal.storage import memory
from turmerichook import exceptions

MS = datetime.timedelta(milliseconds=1)
QUEUE = fakes.QUEUE.queue
PAGE_ITEMS = 3
# Largest length of a key that the platform's store accepts.
KEY_BYTES = 200


class PagedStorage(memory.MemoryStorage):
    """In-memory storage that returns pages of at most ``PAGE_ITEMS`` items.

    :ivar pages: number of pages that have been requested.
    :ivar before_page: called before each page is read, with its number from 1.
    """

    def __init__(self, *, clock):
        super().__init__(clock=clock)
        self.pages = 0
        self.before_page = lambda number: None

    async def page(self, prefix, *, after=""):
        self.pages += 1
        self.before_page(self.pages)
        page = await super().page(prefix, after=after)
        return dataclasses.replace(
            page,
            items=page.items[:PAGE_ITEMS],
            more=len(page.items) > PAGE_ITEMS,
        )


class Harness:
    """A job store whose storage has small pages."""

    def __init__(self):
        self.clock = clocks.SystemClock()
        self.storage = PagedStorage(clock=self.clock)
        self.jobs = job_store.JobStore(storage=self.storage, clock=self.clock)

    def deadline(self):
        return self.clock.monotonic() + 300 * MS

    async def submit_jobs(self, count, queue=QUEUE, first=0):
        """Submit jobs with consecutive ids to a queue."""
        for number in range(first, first + count):
            spec = dataclasses.replace(
                fakes.job(f"{number:016x}"), queue=ids.QueueId(queue)
            )
            assert await self.jobs.submit(spec, self.deadline())

    def begin(self, number):
        """Remove a job's waiting item as a leader does when a job begins."""
        job = ids.JobId(f"{number:016x}")
        self.storage.remove(keys.waiting(QUEUE, job))

    async def queue_length(self, queue=QUEUE):
        return await self.jobs.waiting_jobs_count(
            ids.QueueId(queue), self.deadline()
        )


def run_scenario(scenario):
    """Run a scenario with a new harness."""
    return asyncio.run(scenario(Harness()))


class TestLength:
    """The length is the number of accepted jobs that have not begun."""

    def test_jobs_on_all_pages_count(self):
        """Guards against a length that only counts the first page."""

        async def scenario(harness):
            await harness.submit_jobs(8)
            return await harness.queue_length(), harness.storage.pages

        assert run_scenario(scenario) == (8, 3)

    def test_jobs_that_begin_between_two_pages(self):
        """Guards against a waiting job that is missed between two pages.

        Jobs begin after the first page was read, so their items are removed.
        The next page must continue behind the last key that was read, also
        if that key no longer exists.
        """

        async def scenario(harness):
            await harness.submit_jobs(8)

            def begin_before_second_page(number):
                # The jobs of the first page and the last job of the second.
                if number == 2:
                    for job_number in (0, 1, 2, 5):
                        harness.begin(job_number)

            harness.storage.before_page = begin_before_second_page
            return await harness.queue_length()

        assert run_scenario(scenario) >= 4

    @pytest.mark.parametrize(
        "name", ["a/b", "a", "a%2Fb", "žluť", "x" * 400, "=" + "0" * 32]
    )
    def test_queue_with_an_unusual_name(self, name):
        """Guards against jobs that count in the length of another queue.

        Names with separators, non-ASCII letters or more characters than a
        key may have must not lead to the same key prefix as another name.
        """

        async def scenario(harness):
            others = ["a/b", "a", "a%2Fb", "žluť", "x" * 400, "x" * 401, "="]
            others = [other for other in others if other != name]
            for number, other in enumerate(others):
                await harness.submit_jobs(1, other, first=100 + number)
            await harness.submit_jobs(2, name)
            longest = max(len(key.encode()) for key in harness.storage.items)
            assert longest <= KEY_BYTES
            return await harness.queue_length(name)

        assert run_scenario(scenario) == 2

    def test_repeated_submission_of_a_begun_job(self):
        """Guards against a begun job that counts as waiting again.

        A repeated submission of a job that has begun must not restore the
        job's waiting item.
        """

        async def scenario(harness):
            await harness.submit_jobs(2)
            harness.begin(0)
            await harness.submit_jobs(2)
            return await harness.queue_length()

        assert run_scenario(scenario) == 1

    def test_refused_submission_does_not_count(self):
        """Guards against a refused job that counts in the queue's length."""

        async def scenario(harness):
            harness.storage.down = True
            await harness.submit_jobs(1)
            harness.storage.down = False
            return await harness.queue_length()

        assert run_scenario(scenario) == 0


class TestStoreUnreachable:
    """Without a complete count there is an error, never a wrong length."""

    def test_no_partial_length(self):
        """Guards against a length of 0 or a partial one.

        The store goes down after the first page was read.
        """

        async def scenario(harness):
            await harness.submit_jobs(8)

            def go_down_after_first_page(number):
                harness.storage.down = number >= 2

            harness.storage.before_page = go_down_after_first_page
            return await harness.queue_length()

        assert run_scenario(scenario) is job_store.NoResultReason.NOT_READ

    def test_failed_page_is_read_again(self):
        """Guards against an error after a single failed call to the store."""

        async def scenario(harness):
            await harness.submit_jobs(8)

            def fail_second_call(number):
                if number == 2:
                    raise exceptions.StoreUnavailableError(message="slow")

            harness.storage.before_page = fail_second_call
            return await harness.queue_length()

        assert run_scenario(scenario) == 8
