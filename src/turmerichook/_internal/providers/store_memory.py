"""In-memory store with the same behaviour as the platform's store.

Used in tests and by the stand-in server, which serves the store over HTTP.
"""

import asyncio
import collections
import dataclasses
import datetime
import itertools

from turmerichook._internal import clock as clocks
from turmerichook._internal.models import ids
from turmerichook._internal import outcomes
from turmerichook._internal.providers import store
from turmerichook import exceptions

# Changes that are kept for watches. A watch after an older revision gets an
# incomplete result and must list its prefix again.
MAX_LOGGED_CHANGES = 10_000


@dataclasses.dataclass(kw_only=True)
class _Lease:
    ttl: datetime.timedelta
    expires: datetime.timedelta
    keys: set[str]


class MemoryStore:
    """A ``store.Store`` in the memory of one process."""

    def __init__(self, *, clock: clocks.Clock):
        self.clock = clock
        self.entries: dict[str, store.Entry] = {}
        self.leases: dict[str, _Lease] = {}
        self.lease_of_key: dict[str, str] = {}
        self.revision = 0
        self.versions: dict[str, int] = {}
        self.lease_numbers = itertools.count(1)
        self.log: collections.deque = collections.deque(
            maxlen=MAX_LOGGED_CHANGES
        )
        self.watch_waiters: list[tuple[str, asyncio.Event]] = []

    async def get(self, key: str) -> store.Entry | outcomes.Absent:
        self._expire()
        entry = self.entries.get(key)
        if entry is None:
            return outcomes.Absent(
                reason=outcomes.Reason.NO_SUCH_KEY, detail=key
            )
        return entry

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expect: ids.Version,
        lease: ids.LeaseId | None = None,
    ) -> ids.Version:
        self._expire()
        if len(value) > store.VALUE_BYTES:
            raise exceptions.ValueTooLargeError(
                message=f"the value of {key} has {len(value)} bytes"
            )
        self._check_version(key, expect)
        if lease is not None and lease not in self.leases:
            raise exceptions.LeaseLapsedError(
                message=f"{lease} has expired or was never granted"
            )
        self._unbind_lease(key)
        if lease is not None:
            self.leases[lease].keys.add(key)
            self.lease_of_key[key] = lease
        version = self._next_version(key)
        entry = store.Entry(key=key, value=value, version=version)
        self.entries[key] = entry
        self._log_change(key, entry)
        return version

    async def delete(self, key: str, *, expect: ids.Version) -> None:
        self._expire()
        self._check_version(key, expect)
        if key in self.entries:
            self._remove(key)

    async def list(
        self, prefix: str, *, start: str = "", limit: int = 0
    ) -> store.Listing:
        self._expire()
        found = sorted(
            k for k in self.entries if k.startswith(prefix) and k > start
        )
        if limit:
            found = found[:limit]
        return store.Listing(
            revision=ids.Revision(self.revision),
            entries=tuple(self.entries[k] for k in found),
        )

    async def watch(
        self,
        prefix: str,
        *,
        after: ids.Revision,
        wait: datetime.timedelta,
    ) -> store.Changes:
        self._expire()
        if self._has_changes(prefix, after) or self._is_truncated(after):
            return self._changes(prefix, after)
        event = asyncio.Event()
        waiter = (prefix, event)
        self.watch_waiters.append(waiter)
        try:
            await self.clock.wait_event(event, wait)
        finally:
            self.watch_waiters.remove(waiter)
        self._expire()
        return self._changes(prefix, after)

    async def grant_lease(self, ttl: datetime.timedelta) -> ids.LeaseId:
        lease = ids.LeaseId(f"lease-{next(self.lease_numbers)}")
        expires = self.clock.monotonic() + ttl
        self.leases[lease] = _Lease(ttl=ttl, expires=expires, keys=set())
        return lease

    async def renew_lease(self, lease: ids.LeaseId) -> None:
        self._expire()
        lease_state = self.leases.get(lease)
        if lease_state is None:
            raise exceptions.LeaseLapsedError(
                message=f"{lease} has expired or was never granted"
            )
        lease_state.expires = self.clock.monotonic() + lease_state.ttl

    async def revoke_lease(self, lease: ids.LeaseId) -> None:
        lease_state = self.leases.pop(lease, None)
        if lease_state is not None:
            for key in sorted(lease_state.keys):
                self._remove(key)

    def expire(self) -> None:
        """Remove expired leases and their keys, and notify the watches.

        Each operation does this first; call it so that watches are notified
        also when no operation arrives.
        """
        self._expire()

    def _check_version(self, key: str, expect: ids.Version) -> None:
        entry = self.entries.get(key)
        current = store.ABSENT_VERSION if entry is None else entry.version
        if current != expect:
            raise exceptions.VersionConflictError(
                key=key, expected=expect, current=current
            )

    def _next_version(self, key: str) -> ids.Version:
        # The version keeps rising after a delete. A writer that expects a
        # version from before the delete thus gets a conflict, also when the
        # key has been created again since.
        self.versions[key] = self.versions.get(key, 0) + 1
        return ids.Version(self.versions[key])

    def _expire(self) -> None:
        now = self.clock.monotonic()
        expired = [
            n
            for n, lease_state in self.leases.items()
            if lease_state.expires <= now
        ]
        for name in expired:
            lease_state = self.leases.pop(name)
            for key in sorted(lease_state.keys):
                self._remove(key)

    def _unbind_lease(self, key: str) -> None:
        lease = self.lease_of_key.pop(key, None)
        if lease is not None and lease in self.leases:
            self.leases[lease].keys.discard(key)

    def _remove(self, key: str) -> None:
        self._unbind_lease(key)
        self.entries.pop(key, None)
        self._log_change(key, store.Removed(key=key))

    def _log_change(
        self, key: str, change: store.Entry | store.Removed
    ) -> None:
        self.revision += 1
        self.log.append((self.revision, key, change))
        for prefix, event in self.watch_waiters:
            if key.startswith(prefix):
                event.set()

    def _is_truncated(self, after: ids.Revision) -> bool:
        return bool(self.log) and after < self.log[0][0] - 1

    def _has_changes(self, prefix: str, after: ids.Revision) -> bool:
        for revision, key, _ in reversed(self.log):
            if revision <= after:
                return False
            if key.startswith(prefix):
                return True
        return False

    def _changes(self, prefix: str, after: ids.Revision) -> store.Changes:
        found = []
        for revision, key, change in reversed(self.log):
            if revision <= after:
                break
            if key.startswith(prefix):
                found.append(change)
        return store.Changes(
            revision=ids.Revision(self.revision),
            changes=tuple(reversed(found)),
            complete=not self._is_truncated(after),
        )
