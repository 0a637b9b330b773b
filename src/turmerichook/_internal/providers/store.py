"""Interface to the platform's key-value service."""

import dataclasses
import datetime
import typing

from turmerichook._internal.models import ids
from turmerichook._internal import outcomes

VALUE_BYTES = 1024 * 1024
ABSENT_VERSION = ids.Version(0)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Entry:
    """A key with its value and version."""

    key: str
    value: bytes
    version: ids.Version


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Removed:
    """A key that was deleted or whose lease lapsed."""

    key: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Listing:
    """All entries below a prefix at one revision."""

    revision: ids.Revision
    entries: tuple[Entry, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Changes:
    """What changed below a prefix up to ``revision``, oldest first.

    ``complete`` is False when the store no longer holds all changes after
    the requested revision; the reader must then list the prefix again.
    """

    revision: ids.Revision
    changes: tuple[Entry | Removed, ...]
    complete: bool = True


class Store(typing.Protocol):
    """Compare-and-swap, leases and watches.

    Every method raises ``StoreUnavailableError`` when the operation certainly
    had no effect, and ``StoreOutcomeUnknownError`` when it may have had one.
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
        """Set a key whose version is ``expect`` (0: absent).

        :raises VersionConflictError: if the version differs.
        :raises LeaseLapsedError: if the lease is not known.
        :raises ValueTooLargeError: if the value exceeds 1 MB.
        """

    async def delete(self, key: str, *, expect: ids.Version) -> None:
        """Delete a key whose version is ``expect``.

        :raises VersionConflictError: if the version differs.
        """

    async def list(
        self, prefix: str, *, start: str = "", limit: int = 0
    ) -> Listing:
        """Return the entries below a prefix in the order of their keys.

        :param start: key after which the listing begins.
        :param limit: most entries to return; 0 for all.
        """

    async def watch(
        self,
        prefix: str,
        *,
        after: ids.Revision,
        wait: datetime.timedelta,
    ) -> Changes:
        """Return the changes after a revision, waiting for the first."""

    async def grant_lease(self, ttl: datetime.timedelta) -> ids.LeaseId:
        """Return a new lease; keys bound to it vanish when it lapses."""

    async def renew_lease(self, lease: ids.LeaseId) -> None:
        """Extend a lease by its TTL.

        :raises LeaseLapsedError: if the store no longer knows it.
        """

    async def revoke_lease(self, lease: ids.LeaseId) -> None:
        """End a lease at once."""
