"""Tests of the journal's bounds and of its writes."""

import asyncio

import pytest

from turmerichook._internal import clock as clocks
from turmerichook._internal.models import ids
from turmerichook._internal.providers import store as stores
from turmerichook._internal.providers import store_memory
from turmerichook._internal.scheduling import journal
from turmerichook._internal.scheduling import journal_format
from turmerichook._internal.scheduling import journal_store
from turmerichook import exceptions


def fill(facts: journal.Facts, jobs: int) -> None:
    """Begin as many tasks as the facts admit, with the longest names."""
    mark = "c" * journal.CHECKPOINT_BYTES
    number = 0
    while True:
        job = f"{number % jobs:0>63}"
        task = ids.TaskId(f"job/{job}/{90_000 + number}")
        if not facts.admits(task):
            return
        facts.fold(
            journal.Returned(task=task, attempt=70_000, checkpoint=mark)
        )
        facts.fold(
            journal.Assigned(
                task=task, attempt=70_000, host=f"{number % 186:0>63}"
            )
        )
        number += 1


class TestBounds:
    """A base stays below the store's value limit."""

    @pytest.mark.parametrize("jobs", [1, 100, 4500])
    def test_full_base(self, jobs):
        # Guards against a base that no longer fits, which stops the zone.
        facts = journal.Facts()
        fill(facts, jobs)
        assert len(facts) > 2230
        packed = journal_format.pack_facts(facts)
        assert len(packed) < stores.VALUE_BYTES
        again = journal_format.unpack_facts(packed)
        assert journal_format.pack_facts(again) == packed
        assert again.live == facts.live
        assert again.finished_bytes == facts.finished_bytes

    def test_large_job(self):
        # Guards against a row for each finished task.
        facts = journal.Facts()
        for number in range(100_000):
            task = ids.TaskId(f"job/j/{number}")
            facts.fold(journal.Finished(task=task, attempt=1, succeeded=True))
        assert facts.jobs["j"].ended == 100_000
        assert len(journal_format.pack_facts(facts)) < 13_000
        facts.fold(journal.JobForgotten(job="j"))
        assert (facts.live, facts.finished_bytes) == (0, 0)

    def test_begun_tasks_may_start_again(self):
        # Guards against a full journal in which nothing can finish.
        facts = journal.Facts()
        fill(facts, 10)
        assert not facts.admits("job/new/0")
        assert facts.admits(f"job/{0:0>63}/90000")


class TestWrites:
    """Group commit, fold and takeover."""

    async def begin(self, store, epoch):
        found = journal_store.Journal(
            zone=ids.ZoneId("a"), epoch=ids.Epoch(epoch), store=store
        )
        await found.take_over()
        return found

    async def load(self, found, first, count):
        for number in range(first, first + count):
            found.append(
                journal.Assigned(
                    task=f"job/j/{number}", attempt=1, host="h" * 40
                )
            )
        await found.commit()
        await found.fold()
        await found.discard_unused()

    def test_fold_and_orphans(self):
        # Guards against bases that are left in the store for ever, and
        # against the loss of the one that the tail names.
        async def main():
            store = store_memory.MemoryStore(clock=clocks.ManualClock())
            first = await self.begin(store, 1)
            await self.load(first, 0, 600)
            await self.load(first, 600, 600)
            orphan = "journal/a/base/1-orphan"
            await store.put(orphan, b"", expect=stores.ABSENT_VERSION)
            second = await self.begin(store, 2)
            assert len(second.facts) == 1200
            await second.discard_orphans()
            await second.discard_unused()
            bases = [k for k in store.entries if "/base/" in k]
            assert bases == [second.base_key]
            await first.discard_orphans()
            await first.discard_unused()
            assert second.base_key in store.entries
            first.append(journal.Forgotten(task="job/j/0"))
            with pytest.raises(exceptions.StaleEpochError):
                await first.commit()

        asyncio.run(main())

    def test_missing_base(self):
        # Guards against a takeover that takes a lost base for an empty one.
        async def main():
            store = store_memory.MemoryStore(clock=clocks.ManualClock())
            first = await self.begin(store, 1)
            await self.load(first, 0, 900)
            del store.entries[first.base_key]
            before = store.entries[first.tail_key]
            with pytest.raises(exceptions.JournalUnreadableError):
                await self.begin(store, 2)
            assert store.entries[first.tail_key] == before

        asyncio.run(main())
