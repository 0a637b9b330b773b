"""In-memory storage with fault injection, for tests."""

import asyncio
import collections.abc
import datetime

from turmerichook._internal import clock as clocks
from turmerichook._internal.models import ids
from turmerichook._internal.storage import interface
from turmerichook import exceptions


class MemoryStorage:
    """An ``interface.Storage`` in memory, with injected faults.

    All changes are retained until ``drop_history`` is called. While ``down``
    is set, every call fails. A commit for which ``lose_answer`` returns True
    is processed, but its caller gets ``StoreOutcomeUnknownError``. A commit
    for which ``delay`` returns a time is processed that much later, and its
    caller gets the same error at once.
    """

    def __init__(self, *, clock: clocks.Clock):
        self.clock = clock
        self.revision = 0
        self.items: dict[str, interface.Item] = {}
        self.leases: dict[ids.LeaseId, datetime.timedelta] = {}
        self.lease_ttls: dict[ids.LeaseId, datetime.timedelta] = {}
        self.lease_of_key: dict[str, ids.LeaseId] = {}
        self.history: list[interface.Item | interface.Removed] = []
        self.discarded_revision = 0
        self.down = False
        self.lose_answer: collections.abc.Callable[
            [interface.Commit], bool
        ] = lambda commit: False
        self.delay: collections.abc.Callable[
            [interface.Commit], datetime.timedelta
        ] = lambda commit: datetime.timedelta()
        self.late_commits: set[asyncio.Task] = set()
        self.changed = asyncio.Event()
        self.commits = 0

    async def get(self, key: str) -> interface.Item | None:
        await self._begin_call()
        return self.items.get(key)

    async def page(self, prefix: str, *, after: str = "") -> interface.Page:
        await self._begin_call()
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
            await self._begin_call()
            if after < self.discarded_revision:
                raise exceptions.HistoryLostError(
                    message="changes after the requested revision were lost"
                )
            changes = tuple(
                change
                for change in self.history
                if change.revision > after and change.key.startswith(prefix)
            )
            remaining = end - self.clock.monotonic()
            if changes or remaining <= datetime.timedelta():
                return interface.Changes(
                    changes=changes, revision=ids.Revision(self.revision)
                )
            await self.clock.wait_event(self.changed, remaining)

    async def commit(
        self, commit: interface.Commit
    ) -> interface.Committed | interface.Conflict:
        await self._begin_call()
        delay = self.delay(commit)
        if delay:
            late = asyncio.create_task(self._process_later(commit, delay))
            self.late_commits.add(late)
            late.add_done_callback(self.late_commits.discard)
            raise exceptions.StoreOutcomeUnknownError(message="no answer")
        return self._process(commit)

    async def _process_later(
        self, commit: interface.Commit, delay: datetime.timedelta
    ) -> None:
        await self.clock.sleep(delay)
        self._process(commit)

    def _process(
        self, commit: interface.Commit
    ) -> interface.Committed | interface.Conflict:
        self.commits += 1
        if commit.entries > interface.COMMIT_ENTRIES:
            raise exceptions.StoreUnavailableError(
                message="too many entries in the commit"
            )
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
                raise exceptions.LeaseLapsedError(
                    message="the lease does not exist or has ended"
                )
        self.revision += 1
        revision = ids.Revision(self.revision)
        for write in commit.writes:
            item = interface.Item(
                key=write.key, value=write.value, revision=revision
            )
            self.items[write.key] = item
            self.lease_of_key.pop(write.key, None)
            if write.lease is not None:
                self.lease_of_key[write.key] = write.lease
            self.history.append(item)
        for key in commit.removals:
            self._remove(key, revision)
        self._notify()
        return interface.Committed(revision=revision)

    def put(self, key: str, value: bytes) -> None:
        """Set a key as another client, such as a worker, would do."""
        self._apply(
            interface.Commit(
                expect={}, writes=(interface.Write(key=key, value=value),)
            )
        )

    def remove(self, key: str) -> None:
        """Remove a key as another client, such as a worker, would do."""
        self._apply(interface.Commit(expect={}, removals=(key,)))

    def drop_history(self) -> None:
        """Discard all changes so far; watches from before them fail."""
        self.discarded_revision = self.revision
        self.history.clear()
        self._notify()

    async def grant_lease(self, ttl: datetime.timedelta) -> ids.LeaseId:
        await self._begin_call()
        self.revision += 1
        lease = ids.LeaseId(str(1000 + self.revision))
        self.lease_ttls[lease] = ttl
        self.leases[lease] = self.clock.monotonic() + ttl
        return lease

    async def renew_lease(self, lease: ids.LeaseId) -> None:
        await self._begin_call()
        if lease not in self.leases:
            raise exceptions.LeaseLapsedError(
                message="the lease does not exist or has ended"
            )
        self.leases[lease] = self.clock.monotonic() + self.lease_ttls[lease]

    async def end_lease(self, lease: ids.LeaseId) -> None:
        await self._begin_call()
        self._end(lease)

    async def _begin_call(self) -> None:
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
        for key in [
            key
            for key, bound_lease in self.lease_of_key.items()
            if bound_lease == lease
        ]:
            self._remove(key, ids.Revision(self.revision))
        self._notify()

    def _remove(self, key: str, revision: ids.Revision) -> None:
        self.lease_of_key.pop(key, None)
        if self.items.pop(key, None) is not None:
            self.history.append(interface.Removed(key=key, revision=revision))

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()
