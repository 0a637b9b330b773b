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
# The platform's limit on a key.
KEY_BYTES = 200


class PagedStorage(memory.MemoryStorage):
    """Storage with small pages.

    :ivar before_page: called with the number of each page.
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


class Desk:
    """A job store over storage with small pages."""

    def __init__(self):
        self.clock = clocks.SystemClock()
        self.storage = PagedStorage(clock=self.clock)
        self.jobs = job_store.JobStore(storage=self.storage, clock=self.clock)

    def until(self):
        return self.clock.monotonic() + 300 * MS

    async def accept(self, count, queue=QUEUE, first=0):
        """Accept jobs of a queue."""
        for number in range(first, first + count):
            spec = dataclasses.replace(
                fakes.job(f"{number:016x}"), queue=ids.QueueId(queue)
            )
            assert await self.jobs.submit(spec, self.until())

    def begin(self, number):
        """Note that a job has begun, as a leader does."""
        job = ids.JobId(f"{number:016x}")
        self.storage.remove(keys.waiting(QUEUE, job))

    async def told(self, queue=QUEUE):
        return await self.jobs.pending(ids.QueueId(queue), self.until())


def play(scenario):
    """Run a scenario at a new desk."""
    return asyncio.run(scenario(Desk()))


class TestLength:
    """The length is the number of accepted jobs that have not begun."""

    def test_all_pages_count(self):
        """Guards against a length that ends with the first page."""

        async def scenario(desk):
            await desk.accept(8)
            return await desk.told(), desk.storage.pages

        assert play(scenario) == (8, 3)

    def test_jobs_that_begin_during_the_reading(self):
        """Guards against a waiting job that is missed between two pages."""

        async def scenario(desk):
            await desk.accept(8)

            def begin(number):
                # Those read already, and the last one of the next page.
                if number == 2:
                    for done in (0, 1, 2, 5):
                        desk.begin(done)

            desk.storage.before_page = begin
            return await desk.told()

        assert play(scenario) >= 4

    @pytest.mark.parametrize(
        "name", ["a/b", "a", "a%2Fb", "žluť", "x" * 400, "=" + "0" * 32]
    )
    def test_queue_with_an_unusual_name(self, name):
        """Guards against jobs of one queue that count in another one."""

        async def scenario(desk):
            others = ["a/b", "a", "a%2Fb", "žluť", "x" * 400, "x" * 401, "="]
            others = [other for other in others if other != name]
            for number, other in enumerate(others):
                await desk.accept(1, other, first=100 + number)
            await desk.accept(2, name)
            longest = max(len(key.encode()) for key in desk.storage.items)
            assert longest <= KEY_BYTES
            return await desk.told(name)

        assert play(scenario) == 2

    def test_repeated_submission(self):
        """Guards against a job that waits again, as it is handed in again."""

        async def scenario(desk):
            await desk.accept(2)
            desk.begin(0)
            await desk.accept(2)
            return await desk.told()

        assert play(scenario) == 1

    def test_refused_submission(self):
        """Guards against a refused job that counts."""

        async def scenario(desk):
            desk.storage.down = True
            await desk.accept(1)
            desk.storage.down = False
            return await desk.told()

        assert play(scenario) == 0


class TestStoreAway:
    """A length that cannot be read is not made up."""

    def test_refusal(self):
        """Guards against a length of 0, or a part, without the store."""

        async def scenario(desk):
            await desk.accept(8)

            def cut(number):
                desk.storage.down = number >= 2

            desk.storage.before_page = cut
            return await desk.told()

        assert play(scenario) is job_store.Unsettled.NOT_READ

    def test_failed_reading_is_repeated(self):
        """Guards against a refusal where one call to the store fails."""

        async def scenario(desk):
            await desk.accept(8)

            def fail(number):
                if number == 2:
                    raise exceptions.StoreUnavailableError(message="slow")

            desk.storage.before_page = fail
            return await desk.told()

        assert play(scenario) == 8
