"""A store with the faults that the platform's store can have, for tests."""

import asyncio
import collections
import datetime
import random

from turmerichook._internal import clock as clocks
from turmerichook._internal.models import ids
from turmerichook._internal import outcomes
from turmerichook._internal.providers import store as stores
from turmerichook import exceptions

CALL_TIMEOUT = datetime.timedelta(seconds=2)


class FaultyStore:
    """One client's way to a store.

    :param store: the store behind the faults.
    """

    def __init__(self, *, store: stores.Store, clock: clocks.Clock):
        self.store = store
        self.clock = clock
        # The store refuses all calls.
        self.down = False
        # Range of the time that each call takes.
        self.delays = (datetime.timedelta(), datetime.timedelta())
        self.random = random.Random(1)
        # Number of writes that take effect but whose answer is lost.
        self.lose_answers = 0
        # Number of writes that arrive only after their caller gave up, and
        # how much later; only writes of one kind if that is given.
        self.late_writes = 0
        self.late_kind = ""
        self.late_by = datetime.timedelta(seconds=5)
        self.counts: collections.Counter[str] = collections.Counter()
        self.late: set[asyncio.Task] = set()

    async def get(self, key: str) -> stores.Entry | outcomes.Absent:
        await self._pass(f"get {_kind(key)}")
        return await self.store.get(key)

    async def list(
        self, prefix: str, *, start: str = "", limit: int = 0
    ) -> stores.Listing:
        await self._pass(f"list {_kind(prefix)}")
        return await self.store.list(prefix, start=start, limit=limit)

    async def watch(
        self,
        prefix: str,
        *,
        after: ids.Revision,
        wait: datetime.timedelta,
    ) -> stores.Changes:
        await self._pass(f"watch {_kind(prefix)}")
        changes = await self.store.watch(prefix, after=after, wait=wait)
        self._check_up()
        return changes

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expect: ids.Version,
        lease: ids.LeaseId | None = None,
    ) -> ids.Version:
        return await self._write(
            f"put {_kind(key)}",
            lambda: self.store.put(key, value, expect=expect, lease=lease),
        )

    async def delete(self, key: str, *, expect: ids.Version) -> None:
        await self._write(
            f"delete {_kind(key)}",
            lambda: self.store.delete(key, expect=expect),
        )

    async def grant_lease(self, ttl: datetime.timedelta) -> ids.LeaseId:
        return await self._write(
            "grant lease", lambda: self.store.grant_lease(ttl)
        )

    async def renew_lease(self, lease: ids.LeaseId) -> None:
        await self._write("renew lease", lambda: self.store.renew_lease(lease))

    async def revoke_lease(self, lease: ids.LeaseId) -> None:
        await self._write(
            "revoke lease", lambda: self.store.revoke_lease(lease)
        )

    async def _write(self, kind: str, call):
        await self._pass(kind)
        if self.late_writes and self.late_kind in ("", kind):
            self.late_writes -= 1
            task = asyncio.ensure_future(self._arrive_late(call))
            self.late.add(task)
            task.add_done_callback(self.late.discard)
            await self.clock.sleep(CALL_TIMEOUT)
            raise exceptions.StoreOutcomeUnknownError(message="no answer")
        result = await call()
        if self.lose_answers:
            self.lose_answers -= 1
            raise exceptions.StoreOutcomeUnknownError(message="answer lost")
        return result

    async def _arrive_late(self, call) -> None:
        await self.clock.sleep(self.late_by)
        try:
            await call()
        except exceptions.StoreError:
            # The caller is no longer there to be told.
            pass

    async def _pass(self, kind: str) -> None:
        self.counts[kind] += 1
        self._check_up()
        low, high = self.delays
        if high:
            share = self.random.random()
            await self.clock.sleep(low + (high - low) * share)
            self._check_up()

    def _check_up(self) -> None:
        if self.down:
            raise exceptions.StoreUnavailableError(message="the store is down")


def _kind(key: str) -> str:
    return key.split("/")[0] + ("/base" if "/base/" in key else "")
