"""Store wrapper that records metrics of each call."""

import datetime
import time

from turmerichook._internal.metrics import registry as registries
from turmerichook._internal.models import ids
from turmerichook._internal import outcomes
from turmerichook._internal.providers import store as stores


class TimedStore:
    """Forwards calls to a store and records their durations and failures.

    A watch is counted only: its duration is mostly the wait for a change, and
    says nothing about the store's speed.
    """

    def __init__(self, *, store: stores.Store, registry: registries.Registry):
        self.store = store
        self.registry = registry

    async def get(self, key: str) -> stores.Entry | outcomes.Absent:
        return await self._measure("get", self.store.get(key))

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expect: ids.Version,
        lease: ids.LeaseId | None = None,
    ) -> ids.Version:
        call = self.store.put(key, value, expect=expect, lease=lease)
        return await self._measure("put", call)

    async def delete(self, key: str, *, expect: ids.Version) -> None:
        await self._measure("delete", self.store.delete(key, expect=expect))

    async def list(
        self, prefix: str, *, start: str = "", limit: int = 0
    ) -> stores.Listing:
        listing = self.store.list(prefix, start=start, limit=limit)
        return await self._measure("list", listing)

    async def watch(
        self,
        prefix: str,
        *,
        after: ids.Revision,
        wait: datetime.timedelta,
    ) -> stores.Changes:
        self.registry.count("store_watches_total")
        return await self.store.watch(prefix, after=after, wait=wait)

    async def grant_lease(self, ttl: datetime.timedelta) -> ids.LeaseId:
        return await self._measure("grant", self.store.grant_lease(ttl))

    async def renew_lease(self, lease: ids.LeaseId) -> None:
        await self._measure("renew", self.store.renew_lease(lease))

    async def revoke_lease(self, lease: ids.LeaseId) -> None:
        await self._measure("revoke", self.store.revoke_lease(lease))

    async def _measure(self, operation, call):
        started = time.monotonic()
        try:
            return await call
        except Exception as error:
            reference = getattr(error, "reference", "internal-error")
            self.registry.count(
                "store_failures_total", call=operation, error=reference
            )
            raise
        finally:
            elapsed = time.monotonic() - started
            self.registry.observe(
                "store_call_seconds", elapsed, call=operation
            )
