"""Storage wrapper that measures calls and tracks reachability."""

import asyncio
import collections.abc
import datetime
import typing

from turmerichook._internal import clock as clocks
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.metrics import registry
from turmerichook._internal.models import ids
from turmerichook._internal.storage import events
from turmerichook._internal.storage import interface
from turmerichook import exceptions

# The store is considered unreachable when calls have failed for this long
# without a success in between. A single failure is not enough, as single
# failures are common where answers are lost.
LOST_AFTER = datetime.timedelta(milliseconds=1200)

T = typing.TypeVar("T")


class ObservedStorage:
    """Wraps an ``interface.Storage``: counts and times its calls."""

    def __init__(
        self,
        *,
        storage: interface.Storage,
        metrics: registry.Registry,
        clock: clocks.Clock,
    ):
        self.storage = storage
        self.metrics = metrics
        self.clock = clock
        # Clock reading at the start of the first failed call since the last
        # success; None if the last call succeeded.
        self.failing_since: datetime.timedelta | None = None
        self.lost = False

    @property
    def reachable(self) -> bool:
        """Whether the store is not considered unreachable."""
        return not self.lost

    async def get(self, key: str) -> interface.Item | None:
        return await self._observe("get", self.storage.get(key))

    async def page(self, prefix: str, *, after: str = "") -> interface.Page:
        call = self.storage.page(prefix, after=after)
        return await self._observe("page", call)

    async def watch(
        self,
        prefix: str,
        *,
        after: ids.Revision,
        wait: datetime.timedelta,
    ) -> interface.Changes:
        call = self.storage.watch(prefix, after=after, wait=wait)
        return await self._observe("watch", call)

    async def commit(
        self, commit: interface.Commit
    ) -> interface.Committed | interface.Conflict:
        return await self._observe("commit", self.storage.commit(commit))

    async def grant_lease(self, ttl: datetime.timedelta) -> ids.LeaseId:
        return await self._observe(
            "grant-lease", self.storage.grant_lease(ttl)
        )

    async def renew_lease(self, lease: ids.LeaseId) -> None:
        await self._observe("renew-lease", self.storage.renew_lease(lease))

    async def end_lease(self, lease: ids.LeaseId) -> None:
        await self._observe("end-lease", self.storage.end_lease(lease))

    async def _observe(
        self, name: str, call: collections.abc.Awaitable[T]
    ) -> T:
        began = self.clock.monotonic()
        outcome = "answered"
        try:
            return await call
        except (
            exceptions.StoreUnavailableError,
            exceptions.StoreOutcomeUnknownError,
        ) as error:
            outcome = error.reference
            raise
        except asyncio.CancelledError:
            outcome = "cancelled"
            raise
        finally:
            elapsed = self.clock.monotonic() - began
            if outcome == "answered":
                self._record_success()
            elif outcome != "cancelled":
                self._note_failure(began)
            self.metrics.count("store_calls_total", call=name, result=outcome)
            if name != "watch":
                self.metrics.observe(
                    "store_call_seconds", elapsed.total_seconds()
                )

    def _record_success(self) -> None:
        self.failing_since = None
        if self.lost:
            self.lost = False
            logs.emit(events.StorageEvent.STORE_REGAINED)

    def _note_failure(self, began: datetime.timedelta) -> None:
        if self.failing_since is None:
            self.failing_since = began
        age = self.clock.monotonic() - self.failing_since
        if not self.lost and age >= LOST_AFTER:
            self.lost = True
            logs.emit(
                events.StorageEvent.STORE_LOST,
                seconds=round(age.total_seconds(), 3),
            )
