"""Writes job records outside the owner's rounds.

A record write that took long would delay the starts of other tasks, so the
rounds hand it over and learn the result from the inbox.
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
# Writes of one zone under way at once.
WRITERS = 2


class RecordWriter:
    """Carries out record writes until each has a certain result."""

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
        """Queue a write."""
        self.writes.put_nowait(write)

    async def run(self) -> None:
        """Write until cancelled."""
        async with asyncio.TaskGroup() as group:
            for _ in range(WRITERS):
                group.create_task(self._run())

    async def _run(self) -> None:
        while True:
            await self._settle(await self.writes.get())

    async def _settle(self, write: records.RecordWrite) -> None:
        """Repeat a write until it took effect or cannot do so any more.

        All attempts expect the same version, so at most one takes effect,
        however late it arrives.
        """
        while True:
            try:
                await self.inbox.put(await self._attempt(write))
                return
            except exceptions.TurmerichookError as error:
                logs.emit(
                    events.SchedulingEvent.RECORD_UNWRITTEN,
                    job=write.job,
                    error=error,
                )
                await self.clock.sleep(RETRY_DELAY)

    async def _attempt(
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
            return await self._conflict(write)
        return records.Written(write=write, version=version)

    async def _conflict(
        self, write: records.RecordWrite
    ) -> records.Written | records.Superseded:
        found = await self.store.get(jobs.key_of(write.job))
        if isinstance(found, outcomes.Absent):
            if write.record is None:
                return records.Written(
                    write=write, version=stores.ABSENT_VERSION
                )
            return records.Superseded(write=write, found=None)
        record = jobs.unpack(found.value)
        if (
            write.record is not None
            and record.operation == write.record.operation
        ):
            return records.Written(
                write=write, version=ids.Version(found.version)
            )
        return records.Superseded(write=write, found=(record, found.version))
