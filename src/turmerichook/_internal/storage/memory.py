"""In-memory storage with faults, for tests."""

import asyncio
import collections.abc
import datetime

from turmerichook._internal import clock as clocks
from turmerichook._internal.models import ids
from turmerichook._internal.storage import interface
from turmerichook import exceptions


class MemoryStorage:
    """An ``interface.Storage`` that keeps its history for ever."""

    def __init__(self, *, clock: clocks.Clock):
        self.clock = clock
        self.revision = 0
        self.items: dict[str, interface.Item] = {}
        self.leases: dict[ids.LeaseId, datetime.timedelta] = {}
        self.ttls: dict[ids.LeaseId, datetime.timedelta] = {}
        self.bound: dict[str, ids.LeaseId] = {}
        self.history: list[interface.Item | interface.Removed] = []
        self.dropped = 0
        self.down = False
        self.lose_answer: collections.abc.Callable[
            [interface.Commit], bool
        ] = lambda commit: False
        self.changed = asyncio.Event()
        self.commits = 0

    async def get(self, key: str) -> interface.Item | None:
        await self._enter()
        return self.items.get(key)

    async def page(self, prefix: str, *, after: str = "") -> interface.Page:
        await self._enter()
        items = tuple(
            self.items[key]
            for key in sorted(self.items)
            if key.startswith(prefix) and key > after
        )
        return interface.Page(
            items=items, revision=ids.Revision(self.revision), more=False
        )

    async def watch(
        self,
        prefix: str,
        *,
        after: ids.Revision,
        wait: datetime.timedelta,
    ) -> interface.Changes:
        end = self.clock.monotonic() + wait
        while True:
            await self._enter()
            if after < self.dropped:
                raise exceptions.HistoryLostError(message="history dropped")
            found = tuple(
                change
                for change in self.history
                if change.revision > after and change.key.startswith(prefix)
            )
            left = end - self.clock.monotonic()
            if found or left <= datetime.timedelta():
                return interface.Changes(
                    changes=found, revision=ids.Revision(self.revision)
                )
            await self.clock.wait_event(self.changed, left)

    async def commit(
        self, commit: interface.Commit
    ) -> interface.Committed | interface.Conflict:
        await self._enter()
        self.commits += 1
        if commit.entries > interface.COMMIT_ENTRIES:
            raise exceptions.StoreUnavailableError(message="too many entries")
        current = {
            key: self.items[key].revision if key in self.items else 0
            for key in commit.expect
        }
        if current != commit.expect:
            outcome: interface.Committed | interface.Conflict
            outcome = interface.Conflict(
                items={k: self.items[k] for k in current if k in self.items}
            )
        else:
            outcome = self._apply(commit)
        if self.lose_answer(commit):
            raise exceptions.StoreOutcomeUnknownError(message="answer lost")
        return outcome

    def _apply(self, commit: interface.Commit) -> interface.Committed:
        for write in commit.writes:
            if write.lease is not None and write.lease not in self.leases:
                raise exceptions.LeaseLapsedError(message="no such lease")
        self.revision += 1
        revision = ids.Revision(self.revision)
        for write in commit.writes:
            item = interface.Item(
                key=write.key, value=write.value, revision=revision
            )
            self.items[write.key] = item
            self.bound.pop(write.key, None)
            if write.lease is not None:
                self.bound[write.key] = write.lease
            self.history.append(item)
        for key in commit.removals:
            self._remove(key, revision)
        self._notify()
        return interface.Committed(revision=revision)

    def put(self, key: str, value: bytes) -> None:
        """Write as an operator or a worker."""
        self._apply(
            interface.Commit(
                expect={}, writes=(interface.Write(key=key, value=value),)
            )
        )

    def remove(self, key: str) -> None:
        """Remove a key as an operator or a worker."""
        self._apply(interface.Commit(expect={}, removals=(key,)))

    def drop_history(self) -> None:
        """Forget all changes so far."""
        self.dropped = self.revision
        self.history.clear()
        self._notify()

    async def grant_lease(self, ttl: datetime.timedelta) -> ids.LeaseId:
        await self._enter()
        self.revision += 1
        lease = ids.LeaseId(str(1000 + self.revision))
        self.ttls[lease] = ttl
        self.leases[lease] = self.clock.monotonic() + ttl
        return lease

    async def renew_lease(self, lease: ids.LeaseId) -> None:
        await self._enter()
        if lease not in self.leases:
            raise exceptions.LeaseLapsedError(message="no such lease")
        self.leases[lease] = self.clock.monotonic() + self.ttls[lease]

    async def end_lease(self, lease: ids.LeaseId) -> None:
        await self._enter()
        self._end(lease)

    async def _enter(self) -> None:
        await asyncio.sleep(0)
        if self.down:
            raise exceptions.StoreUnavailableError(message="down")
        now = self.clock.monotonic()
        for lease in [k for k, end in self.leases.items() if end <= now]:
            self._end(lease)

    def _end(self, lease: ids.LeaseId) -> None:
        if self.leases.pop(lease, None) is None:
            return
        self.revision += 1
        for key in [k for k, held in self.bound.items() if held == lease]:
            self._remove(key, ids.Revision(self.revision))
        self._notify()

    def _remove(self, key: str, revision: ids.Revision) -> None:
        self.bound.pop(key, None)
        if self.items.pop(key, None) is not None:
            self.history.append(interface.Removed(key=key, revision=revision))

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()
