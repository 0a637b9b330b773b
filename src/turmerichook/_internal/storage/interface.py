"""Interface to a transactional key-value service with leases and watches."""

import dataclasses
import datetime
import typing

from turmerichook._internal.models import ids

ABSENT = ids.Revision(0)
# Largest number of entries, conditions included, that one commit may have.
COMMIT_ENTRIES = 32


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Item:
    """A key with its value and the revision of its last change."""

    key: str
    value: bytes
    revision: ids.Revision


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Removed:
    """A key that was removed or whose lease lapsed."""

    key: str
    revision: ids.Revision


@dataclasses.dataclass(frozen=True, kw_only=True)
class Page:
    """Some items below a prefix, and the revision at which they were read."""

    items: tuple[Item, ...]
    revision: ids.Revision
    more: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Changes:
    """Changes below a prefix, oldest first.

    :param revision: where the next watch continues.
    """

    changes: tuple[Item | Removed, ...]
    revision: ids.Revision


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Write:
    """Set one key."""

    key: str
    value: bytes
    lease: ids.LeaseId | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Commit:
    """Changes that take effect together, or not at all.

    :param expect: revision that each of these keys must have; ``ABSENT`` for
        a key that must not exist.
    """

    expect: dict[str, ids.Revision]
    writes: tuple[Write, ...] = ()
    removals: tuple[str, ...] = ()

    @property
    def entries(self) -> int:
        """Number of entries that count against the limit."""
        return len(self.expect) + len(self.writes) + len(self.removals)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Committed:
    """A commit took effect."""

    revision: ids.Revision


@dataclasses.dataclass(frozen=True, kw_only=True)
class Conflict:
    """A condition did not hold, so that nothing was changed.

    :param items: the conditions' keys that exist, as they are now.
    """

    items: dict[str, Item]


class Storage(typing.Protocol):
    """The service as the product uses it.

    Each method raises ``StoreUnavailableError`` when the call certainly had
    no effect, and ``StoreOutcomeUnknownError`` when it may have had one or
    may still have one later.
    """

    async def get(self, key: str) -> Item | None:
        """Return an item, or None where the key does not exist."""

    async def page(self, prefix: str, *, after: str = "") -> Page:
        """Return items below a prefix, those behind the key ``after``."""

    async def watch(
        self,
        prefix: str,
        *,
        after: ids.Revision,
        wait: datetime.timedelta,
    ) -> Changes:
        """Return the changes after a revision, waiting for the first.

        :raises HistoryLostError: if the changes are no longer available.
        """

    async def commit(self, commit: Commit) -> Committed | Conflict:
        """Apply a commit.

        :raises LeaseLapsedError: if a write names a lease that has ended.
        """

    async def grant_lease(self, ttl: datetime.timedelta) -> ids.LeaseId:
        """Return a new lease."""

    async def renew_lease(self, lease: ids.LeaseId) -> None:
        """Extend a lease.

        :raises LeaseLapsedError: if it has ended.
        """

    async def end_lease(self, lease: ids.LeaseId) -> None:
        """End a lease; its keys are removed."""


async def read_all(
    storage: Storage, prefix: str
) -> tuple[list[Item], ids.Revision]:
    """Return all items below a prefix and where a watch continues.

    Pages are not a snapshot: the revision is that of the first page, so a
    watch from there repeats changes that later pages already showed.
    """
    page = await storage.page(prefix)
    revision = page.revision
    items = list(page.items)
    while page.more:
        page = await storage.page(prefix, after=items[-1].key)
        items += page.items
    return items, revision
