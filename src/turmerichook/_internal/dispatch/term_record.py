"""The record in the store of a host's open term.

A claim of the leadership writes the record together with the leader's key, but
without a lease. While the record exists, a process of the host may still grant
leases on workers, even if the leader's key is gone.
"""

import asyncio
import datetime

from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import events
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.storage import interface
from turmerichook import exceptions

# Pause after a failed attempt to remove a record.
RETRY_PAUSE = datetime.timedelta(seconds=1)


class TermRecord:
    """Removes the record of this host once it is outdated.

    A record is outdated unless the current process wrote it for its current
    term or for a claim that is being made.

    :ivar current: value of the record that is not outdated; None if there is
        neither a term nor a claim.
    """

    def __init__(
        self, *, key: str, storage: interface.Storage, clock: clocks.Clock
    ):
        self.key = key
        self.storage = storage
        self.clock = clock
        self.current: bytes | None = None
        # Set while the store may have an outdated record; a former process of
        # this host may have left one.
        self.check_needed = asyncio.Event()
        self.check_needed.set()

    def open(self, value: bytes) -> None:
        """Keep a record with this value, which is about to be written."""
        self.current = value

    def close(self) -> None:
        """Have the record removed, as this process grants no more leases."""
        self.current = None
        self.check_needed.set()

    async def run(self) -> None:
        """Remove outdated records until cancelled."""
        while True:
            await self.check_needed.wait()
            self.check_needed.clear()
            try:
                await self._remove_outdated()
            except exceptions.TurmerichookError as error:
                self.check_needed.set()
                logs.emit(
                    events.DispatchEvent.TERM_RECORD_KEPT,
                    key=self.key,
                    error=str(error),
                )
                await self.clock.sleep(RETRY_PAUSE)

    async def _remove_outdated(self) -> None:
        item = await self.storage.get(self.key)
        if item is not None and item.value != self.current:
            await remove(self.storage, item)


async def remove(storage: interface.Storage, record: interface.Item) -> None:
    """Remove a record, unless a newer one has replaced it.

    :raises StoreError: if it is not certain that the record was removed.
    """
    outcome = await storage.commit(
        interface.Commit(
            expect={record.key: record.revision}, removals=(record.key,)
        )
    )
    if isinstance(outcome, interface.Committed):
        logs.emit(
            events.DispatchEvent.TERM_RECORD_REMOVED,
            key=record.key,
            epoch=record.revision,
        )
