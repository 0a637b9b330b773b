"""Interface to a transactional key-value service with leases and watches."""

import dataclasses
import datetime
import typing

from turmerichook._internal.models import ids
from turmerichook import exceptions

ABSENT = ids.Revision(0)
# Largest number of conditions, writes and removals in one commit.
COMMIT_ENTRIES = 32


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Item:
    """A key with its value and the revision of its last change."""

    key: str
    value: bytes
    revision: ids.Revision


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Removed:
    """A key that was removed, or whose lease ended."""

    key: str
    revision: ids.Revision


@dataclasses.dataclass(frozen=True, kw_only=True)
class Page:
    """A part of the items below a prefix.

    :param revision: revision of the store at which the items were read.
    :param more: whether there are items after the last one of this page.
    """

    items: tuple[Item, ...]
    revision: ids.Revision
    more: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Changes:
    """Changes below a prefix, oldest first.

    :param revision: revision after which the next watch continues.
    """

    changes: tuple[Item | Removed, ...]
    revision: ids.Revision


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Write:
    """Set the value of one key.

    :param lease: lease with whose end the key is removed; None for a key that
        stays.
    """

    key: str
    value: bytes
    lease: ids.LeaseId | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Commit:
    """Changes that take effect together, or not at all.

    :param expect: conditions of the commit: for each key the revision that it
        must have, or ``ABSENT`` if the key must not exist.
    :param writes: keys to set.
    :param removals: keys to remove.
    """

    expect: dict[str, ids.Revision]
    writes: tuple[Write, ...] = ()
    removals: tuple[str, ...] = ()

    @property
    def entries(self) -> int:
        """Number of entries that count towards ``COMMIT_ENTRIES``."""
        return len(self.expect) + len(self.writes) + len(self.removals)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Committed:
    """Result of a commit that took effect."""

    revision: ids.Revision


@dataclasses.dataclass(frozen=True, kw_only=True)
class Conflict:
    """Result of a commit that changed nothing, as a condition was not met.

    :param items: current items of those keys in ``Commit.expect`` that exist.
    """

    items: dict[str, Item]


class Storage(typing.Protocol):
    """Operations of the key-value service that turmerichook uses.

    Each method raises ``StoreUnavailableError`` if the call certainly had no
    effect, and ``StoreOutcomeUnknownError`` if the call may have had an
    effect or may still have one later.
    """

    async def get(self, key: str) -> Item | None:
        """Return an item, or None where the key does not exist."""

    async def page(self, prefix: str, *, after: str = "") -> Page:
        """Return items below a prefix whose keys sort after ``after``."""

    async def watch(
        self,
        prefix: str,
        *,
        after: ids.Revision,
        wait: datetime.timedelta,
    ) -> Changes:
        """Return the changes after a revision.

        Where there is none yet, the call waits for the first one.

        :param wait: longest time to wait; no changes are returned after it.
        :raises HistoryLostError: if the store no longer has the changes.
        """

    async def commit(self, commit: Commit) -> Committed | Conflict:
        """Apply a commit if all its conditions are met.

        :raises LeaseLapsedError: if a write names a lease that has ended.
        """

    async def grant_lease(self, ttl: datetime.timedelta) -> ids.LeaseId:
        """Create a lease that ends unless renewed within ``ttl``."""

    async def renew_lease(self, lease: ids.LeaseId) -> None:
        """Extend a lease by its time to live.

        :raises LeaseLapsedError: if the lease has ended.
        """

    async def end_lease(self, lease: ids.LeaseId) -> None:
        """End a lease, which removes the keys bound to it."""


async def read_all(
    storage: Storage, prefix: str
) -> tuple[list[Item], ids.Revision]:
    """Return all items below a prefix, and the revision for a watch.

    The pages are not read from one snapshot. The returned revision is that of
    the first page, so a watch after it misses no change, but repeats those
    that the later pages already included.

    :raises StoreError: if a page cannot be read.
    """
    page = await storage.page(prefix)
    revision = page.revision
    items = list(page.items)
    while page.more:
        if not page.items:
            raise exceptions.StoreUnavailableError(
                message="a page of the store has no key to go on from",
                context=prefix,
            )
        page = await storage.page(prefix, after=items[-1].key)
        items += page.items
    return items, revision
