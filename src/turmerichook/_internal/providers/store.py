"""Interface to the platform's key-value service."""

import dataclasses
import datetime
import typing

from turmerichook._internal.models import ids
from turmerichook._internal import outcomes

# Largest value that the platform's store accepts.
VALUE_BYTES = 1024 * 1024
# Version that a writer expects of a key that must not exist.
ABSENT_VERSION = ids.Version(0)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Entry:
    """A key with its value and version."""

    key: str
    value: bytes
    version: ids.Version


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Removed:
    """A change that records the removal of a key.

    A key is removed by a delete, or when its lease expires or is revoked.
    """

    key: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Listing:
    """Entries whose keys start with a prefix, all read at one revision."""

    revision: ids.Revision
    entries: tuple[Entry, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Changes:
    """Changes to keys with a prefix up to ``revision``, oldest first.

    ``complete`` is False when the store no longer holds all changes after
    the requested revision; the caller must then list the prefix again.
    """

    revision: ids.Revision
    changes: tuple[Entry | Removed, ...]
    complete: bool = True


class Store(typing.Protocol):
    """Key-value store with compare-and-swap writes, leases and watches.

    Every method raises ``StoreUnavailableError`` when the operation certainly
    had no effect, and ``StoreOutcomeUnknownError`` when it may have taken
    effect.
    """

    async def get(self, key: str) -> Entry | outcomes.Absent:
        """Return the entry of a key."""

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expect: ids.Version,
        lease: ids.LeaseId | None = None,
    ) -> ids.Version:
        """Set a key if its current version is ``expect``.

        :param expect: expected version; 0 if the key must not exist.
        :param lease: lease whose end removes the key; None for no lease.
        :returns: the new version.
        :raises VersionConflictError: if the current version differs.
        :raises LeaseLapsedError: if the lease has expired or was never
            granted.
        :raises ValueTooLargeError: if the value exceeds 1 MiB.
        """

    async def delete(self, key: str, *, expect: ids.Version) -> None:
        """Delete a key if its current version is ``expect``.

        :raises VersionConflictError: if the current version differs.
        """

    async def list(
        self, prefix: str, *, start: str = "", limit: int = 0
    ) -> Listing:
        """Return the entries whose keys start with a prefix, sorted by key.

        :param start: return only keys that sort after this one.
        :param limit: maximum number of entries; 0 for no limit.
        """

    async def watch(
        self,
        prefix: str,
        *,
        after: ids.Revision,
        wait: datetime.timedelta,
    ) -> Changes:
        """Return the changes to keys with a prefix after a revision.

        If there are none yet, wait up to ``wait`` for the first one.
        """

    async def grant_lease(self, ttl: datetime.timedelta) -> ids.LeaseId:
        """Create a lease that expires unless it is renewed within ``ttl``.

        The store removes the keys bound to a lease when the lease ends.
        """

    async def renew_lease(self, lease: ids.LeaseId) -> None:
        """Restart the TTL of a lease from now.

        :raises LeaseLapsedError: if the lease has expired.
        """

    async def revoke_lease(self, lease: ids.LeaseId) -> None:
        """End a lease at once and remove its keys."""
