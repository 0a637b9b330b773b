"""Store wrapper for tests that injects faults of the platform's store."""

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
    """Access of one client to a store, with injected faults.

    :param store: the store that carries out the operations.
    """

    def __init__(self, *, store: stores.Store, clock: clocks.Clock):
        self.store = store
        self.clock = clock
        # Fail every call with StoreUnavailableError.
        self.down = False
        # Shortest and longest delay added to each call.
        self.delays = (datetime.timedelta(), datetime.timedelta())
        self.random = random.Random(1)
        # Number of coming writes that take effect but whose response is lost.
        self.lose_answers = 0
        # Number of coming writes that the store applies only ``late_by`` after
        # the call began, while the caller gets a time-out after CALL_TIMEOUT.
        # If ``late_kind`` is not empty, only writes of that kind are delayed.
        self.late_writes = 0
        self.late_kind = ""
        self.late_by = datetime.timedelta(seconds=5)
        self.counts: collections.Counter[str] = collections.Counter()
        # Tasks of the delayed writes that the store has not applied yet.
        self.late: set[asyncio.Task] = set()

    async def get(self, key: str) -> stores.Entry | outcomes.Absent:
        await self._simulate_call(f"get {_kind(key)}")
        return await self.store.get(key)

    async def list(
        self, prefix: str, *, start: str = "", limit: int = 0
    ) -> stores.Listing:
        await self._simulate_call(f"list {_kind(prefix)}")
        return await self.store.list(prefix, start=start, limit=limit)

    async def watch(
        self,
        prefix: str,
        *,
        after: ids.Revision,
        wait: datetime.timedelta,
    ) -> stores.Changes:
        await self._simulate_call(f"watch {_kind(prefix)}")
        changes = await self.store.watch(prefix, after=after, wait=wait)
        self._check_available()
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
        await self._simulate_call(kind)
        if self.late_writes and self.late_kind in ("", kind):
            self.late_writes -= 1
            task = asyncio.ensure_future(self._apply_late(call))
            self.late.add(task)
            task.add_done_callback(self.late.discard)
            await self.clock.sleep(CALL_TIMEOUT)
            raise exceptions.StoreOutcomeUnknownError(
                message=(
                    f"no response within {CALL_TIMEOUT.total_seconds():g} s"
                )
            )
        result = await call()
        if self.lose_answers:
            self.lose_answers -= 1
            raise exceptions.StoreOutcomeUnknownError(
                message="the response was lost"
            )
        return result

    async def _apply_late(self, call) -> None:
        await self.clock.sleep(self.late_by)
        try:
            await call()
        except exceptions.StoreError:
            # The caller has already timed out, so nobody can handle this.
            pass

    async def _simulate_call(self, kind: str) -> None:
        self.counts[kind] += 1
        self._check_available()
        low, high = self.delays
        if high:
            fraction = self.random.random()
            await self.clock.sleep(low + (high - low) * fraction)
            self._check_available()

    def _check_available(self) -> None:
        if self.down:
            raise exceptions.StoreUnavailableError(
                message="the simulated store is down"
            )


def _kind(key: str) -> str:
    return key.split("/")[0] + ("/base" if "/base/" in key else "")
