"""Writes of job records, separate from the owner's rounds.

A slow record write within a round would delay the starts of other tasks.
Rounds therefore queue their writes here, and the results are put into the
owner's inbox.
"""

import asyncio
import datetime

from turmerichook._internal import clock as clocks
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import ids
from turmerichook._internal import outcomes
from turmerichook._internal.providers import store as stores
from turmerichook._internal.scheduling import events
from turmerichook._internal.scheduling import jobs
from turmerichook._internal.scheduling import records
from turmerichook import exceptions

RETRY_DELAY = datetime.timedelta(seconds=1)
# Limit of concurrent record writes for one zone.
CONCURRENT_WRITES = 2


class RecordWriter:
    """Repeats each record write until its result is certain."""

    def __init__(
        self,
        *,
        store: stores.Store,
        clock: clocks.Clock,
        inbox: asyncio.Queue,
    ):
        self.store = store
        self.clock = clock
        self.inbox = inbox
        self.writes: asyncio.Queue[records.RecordWrite] = asyncio.Queue()

    def put(self, write: records.RecordWrite) -> None:
        """Queue a record write."""
        self.writes.put_nowait(write)

    async def run(self) -> None:
        """Process queued writes until cancelled."""
        async with asyncio.TaskGroup() as group:
            for _ in range(CONCURRENT_WRITES):
                group.create_task(self._write_queued())

    async def _write_queued(self) -> None:
        while True:
            await self._write_until_resolved(await self.writes.get())

    async def _write_until_resolved(self, write: records.RecordWrite) -> None:
        """Repeat a write until it has taken effect or no longer can.

        All repetitions expect the same version of the record, so at most one
        takes effect, no matter how late it reaches the store.
        """
        while True:
            try:
                await self.inbox.put(await self._try_write(write))
                return
            except exceptions.TurmerichookError as error:
                logs.emit(
                    events.SchedulingEvent.RECORD_UNWRITTEN,
                    job=write.job,
                    error=error,
                )
                await self.clock.sleep(RETRY_DELAY)

    async def _try_write(
        self, write: records.RecordWrite
    ) -> records.Written | records.Superseded:
        key = jobs.key_of(write.job)
        try:
            if write.record is None:
                await self.store.delete(key, expect=write.expect)
                version = stores.ABSENT_VERSION
            else:
                version = await self.store.put(
                    key, jobs.pack(write.record), expect=write.expect
                )
        except exceptions.VersionConflictError:
            return await self._resolve_conflict(write)
        return records.Written(write=write, version=version)

    async def _resolve_conflict(
        self, write: records.RecordWrite
    ) -> records.Written | records.Superseded:
        stored = await self.store.get(jobs.key_of(write.job))
        if isinstance(stored, outcomes.Absent):
            if write.record is None:
                return records.Written(
                    write=write, version=stores.ABSENT_VERSION
                )
            return records.Superseded(write=write, found=None)
        record = jobs.unpack(stored.value)
        if (
            write.record is not None
            and record.operation == write.record.operation
        ):
            return records.Written(
                write=write, version=ids.Version(stored.version)
            )
        return records.Superseded(write=write, found=(record, stored.version))
