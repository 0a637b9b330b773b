"""Tests of the bounds and writes of the placement journal."""

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


def fill(facts: journal.JournalState, jobs: int) -> None:
    """Add as many tasks as the journal admits, with names of full length."""
    checkpoint = "c" * journal.MAX_CHECKPOINT_BYTES
    number = 0
    while True:
        job = f"{number % jobs:0>63}"
        task = ids.TaskId(f"job/{job}/{90_000 + number}")
        if not facts.admits(task):
            return
        facts.apply(
            journal.Returned(task=task, attempt=70_000, checkpoint=checkpoint)
        )
        facts.apply(
            journal.Assigned(
                task=task, attempt=70_000, host=f"{number % 186:0>63}"
            )
        )
        number += 1


class TestBounds:
    """The encoded base stays below the store's value limit."""

    @pytest.mark.parametrize("jobs", [1, 100, 4500])
    def test_full_base_fits_the_store(self, jobs):
        # Guards against a base above the store's value limit: it could not be
        # written, which would stop the zone.
        facts = journal.JournalState()
        fill(facts, jobs)
        assert len(facts) > 2230
        packed = journal_format.pack_facts(facts)
        assert len(packed) < stores.VALUE_BYTES
        decoded = journal_format.unpack_facts(packed)
        assert journal_format.pack_facts(decoded) == packed
        assert decoded.live_rows == facts.live_rows
        assert decoded.finished_bytes == facts.finished_bytes

    def test_finished_tasks_take_no_rows(self):
        # Guards against one row for each finished task, with which the base
        # of a job with many tasks would exceed the value limit.
        facts = journal.JournalState()
        for number in range(100_000):
            task = ids.TaskId(f"job/j/{number}")
            facts.apply(journal.Finished(task=task, attempt=1, succeeded=True))
        assert facts.jobs["j"].ended == 100_000
        assert len(journal_format.pack_facts(facts)) < 13_000
        facts.apply(journal.JobForgotten(job="j"))
        assert (facts.live_rows, facts.finished_bytes) == (0, 0)

    def test_full_journal_admits_tasks_with_a_row(self):
        # Guards against a deadlock in which the tasks in a full journal cannot
        # start again, so that none of them ever finishes.
        facts = journal.JournalState()
        fill(facts, 10)
        assert not facts.admits("job/new/0")
        assert facts.admits(f"job/{0:0>63}/90000")


class TestWrites:
    """Group commits, folds and takeovers."""

    async def take_over(self, store, epoch):
        zone_journal = journal_store.Journal(
            zone=ids.ZoneId("a"), epoch=ids.Epoch(epoch), store=store
        )
        await zone_journal.take_over()
        return zone_journal

    async def write_entries(self, zone_journal, first, count):
        for number in range(first, first + count):
            zone_journal.append(
                journal.Assigned(
                    task=f"job/j/{number}", attempt=1, host="h" * 40
                )
            )
        await zone_journal.commit()
        await zone_journal.fold()
        await zone_journal.discard_unused()

    def test_only_unused_bases_are_deleted(self):
        # Guards against unused bases that stay in the store for ever, and
        # against the deletion of the base that the tail refers to, also by a
        # former owner.
        async def main():
            store = store_memory.MemoryStore(clock=clocks.ManualClock())
            first = await self.take_over(store, 1)
            await self.write_entries(first, 0, 600)
            await self.write_entries(first, 600, 600)
            orphan = "journal/a/base/1-orphan"
            await store.put(orphan, b"", expect=stores.ABSENT_VERSION)
            second = await self.take_over(store, 2)
            assert len(second.state) == 1200
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

    def test_takeover_fails_without_the_base(self):
        # Guards against a takeover that treats a missing base as an empty
        # one and so loses the state of all tasks in it.
        async def main():
            store = store_memory.MemoryStore(clock=clocks.ManualClock())
            first = await self.take_over(store, 1)
            await self.write_entries(first, 0, 900)
            del store.entries[first.base_key]
            before = store.entries[first.tail_key]
            with pytest.raises(exceptions.JournalUnreadableError):
                await self.take_over(store, 2)
            assert store.entries[first.tail_key] == before

        asyncio.run(main())
