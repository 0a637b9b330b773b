"""The zone's placement journal in the store.

The tail holds the entries since the last base. Each group of entries is one
compare-and-swap of the tail; a tail that has grown is folded into a new base.
The tail carries the epoch of its writer, so that the first write of a new
owner makes every later write of a former owner fail.
"""

import dataclasses
import itertools
import typing
import uuid

import msgpack

from turmerichook._internal.models import ids
from turmerichook._internal import outcomes
from turmerichook._internal.providers import store as stores
from turmerichook._internal.scheduling import journal
from turmerichook._internal.scheduling import journal_format
from turmerichook import exceptions

TAIL_BYTES = 32 * 1024
# Entries of one write; a longer backlog takes several writes, so that a tail
# stays far below the store's value limit.
GROUP_ENTRIES = 4000
# Checkpoints in one message to the next owner, which then stays below 200 kB.
INHERITED_MAX = 2000


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Write:
    """A write of the tail: what holds if it takes effect."""

    rows: list[list]
    base_key: str
    entries: int
    size: int


class Journal:
    """Reads and writes the journal of one zone for one owner."""

    def __init__(
        self, *, zone: ids.ZoneId, epoch: ids.Epoch, store: stores.Store
    ):
        self.zone = zone
        self.epoch = epoch
        self.store = store
        self.facts = journal.Facts()
        self.pending: list[journal.Entry] = []
        self.rows: list[list] = []
        self.bytes = 0
        self.base_key = ""
        self.version = stores.ABSENT_VERSION
        # Writes of this owner whose outcome is not known, by operation id.
        # All of them expect ``version``, so at most one takes effect, and
        # it may do so long after its caller gave up.
        self.unresolved: dict[str, _Write] = {}
        # Bases that the tail no longer names, or may never have named.
        self.unused: list[str] = []

    @property
    def tail_key(self) -> str:
        """Key of the tail."""
        return f"journal/{self.zone}/tail"

    @property
    def base_prefix(self) -> str:
        """Prefix of the keys of all bases of the zone."""
        return f"journal/{self.zone}/base/"

    async def take_over(self) -> None:
        """Read base and tail, and fence the former owner.

        :raises StaleEpochError: if a later owner has written.
        :raises StoreError: if the store gives no answer.
        :raises JournalUnreadableError: if the journal is not understood.
            Nothing is written then.
        """
        while True:
            self.unresolved.clear()
            found = await self.store.get(self.tail_key)
            if not isinstance(found, outcomes.Absent):
                await self._load(found)
            try:
                await self._write(self.rows, self.base_key, 0)
                return
            except exceptions.VersionConflictError:
                # The former owner has written since; its write counts.
                continue

    def append(self, entry: journal.Entry) -> None:
        """Add an entry to the next group."""
        self.pending.append(entry)

    def unwritten_checkpoints(self) -> dict[ids.TaskId, list]:
        """Return attempt and checkpoint of ends that are not durable."""
        ends = (e for e in self.pending if isinstance(e, journal.Returned))
        return {
            end.task: [end.attempt, end.checkpoint]
            for end in itertools.islice(ends, INHERITED_MAX)
            if end.checkpoint is not None
        }

    async def commit(self) -> None:
        """Make all pending entries durable.

        On an error those that are not known to be durable stay pending.

        :raises StaleEpochError: if a later owner has written.
        :raises StoreError: if the store gives no answer.
        """
        while self.pending:
            group = self.pending[:GROUP_ENTRIES]
            rows = self.rows + [journal_format.pack_entry(e) for e in group]
            await self._write(rows, self.base_key, len(group))
            if len(self.pending) and self.bytes > TAIL_BYTES:
                await self.fold()

    async def fold(self) -> None:
        """Fold a long tail into a new base.

        :raises StaleEpochError: if a later owner has written.
        """
        if self.bytes <= TAIL_BYTES or self.unresolved:
            return
        former = self.base_key
        key = f"{self.base_prefix}{self.epoch}-{uuid.uuid4().hex[:12]}"
        self.unused.append(key)
        try:
            await self.store.put(
                key,
                journal_format.pack_facts(self.facts),
                expect=stores.ABSENT_VERSION,
            )
            await self._write([], key, 0)
        except exceptions.StoreError:
            # The long tail stays valid; the next round folds again.
            return
        if former:
            self.unused.append(former)

    async def discard_unused(self) -> None:
        """Delete bases that no tail names any more."""
        if self.unresolved:
            return
        keys = [key for key in self.unused if key != self.base_key]
        self.unused.clear()
        for key in keys:
            await self._discard(key)

    async def discard_orphans(self) -> None:
        """Delete what former owners left behind.

        Bases of later owners are left alone, since this owner may have
        been superseded without knowing it.
        """
        try:
            listing = await self.store.list(self.base_prefix)
        except exceptions.StoreError:
            # The next owner tries again.
            return
        for entry in listing.entries:
            writer = entry.key.removeprefix(self.base_prefix).split("-")[0]
            if not writer.isdecimal() or int(writer) >= self.epoch:
                continue
            if entry.key != self.base_key and entry.key not in self.unused:
                self.unused.append(entry.key)

    async def _load(self, found: stores.Entry) -> None:
        tail = _unpack_tail(found.value)
        if tail["epoch"] > self.epoch:
            raise self._stale(tail["epoch"])
        facts = journal.Facts()
        if tail["base"]:
            base = await self.store.get(tail["base"])
            if isinstance(base, outcomes.Absent):
                await self._check_unchanged(found)
            else:
                facts = journal_format.unpack_facts(base.value)
        for row in tail["rows"]:
            facts.fold(journal_format.unpack_entry(row))
        self.version = found.version
        self.base_key = tail["base"]
        self.rows = tail["rows"]
        self.facts = facts

    async def _check_unchanged(self, found: stores.Entry) -> None:
        """Tell a base that was folded away meanwhile from a lost one."""
        again = await self.store.get(self.tail_key)
        if (
            isinstance(again, outcomes.Absent)
            or again.version == found.version
        ):
            raise exceptions.JournalUnreadableError(
                message="the journal's base is missing",
                context=self.tail_key,
                hint="see docs/operators/zones.md, journal unreadable",
            )
        raise exceptions.StoreUnavailableError(
            message="the journal was folded while it was read",
        )

    async def _discard(self, key: str) -> None:
        try:
            found = await self.store.get(key)
            if not isinstance(found, outcomes.Absent):
                await self.store.delete(key, expect=found.version)
        except exceptions.StoreError:
            # The next owner finds it with the orphans.
            pass

    async def _write(
        self, rows: list[list], base_key: str, entries: int
    ) -> None:
        """Write the tail; the first ``entries`` pending ones are in it."""
        operation = uuid.uuid4().hex
        value = msgpack.packb(
            {
                "epoch": self.epoch,
                "operation": operation,
                "base": base_key,
                "rows": rows,
            }
        )
        self.unresolved[operation] = _Write(
            rows=rows, base_key=base_key, entries=entries, size=len(value)
        )
        try:
            version = await self.store.put(
                self.tail_key, value, expect=self.version
            )
        except (
            exceptions.VersionConflictError,
            exceptions.StoreOutcomeUnknownError,
        ) as error:
            await self._resolve(error)
        except exceptions.StoreError:
            # Nothing was written.
            del self.unresolved[operation]
            raise
        else:
            self._written(operation, version)

    async def _resolve(self, error: exceptions.StoreError) -> None:
        """Find out which of the unresolved writes took effect.

        :raises StoreError: ``error`` where none did so far.
        """
        found = await self.store.get(self.tail_key)
        if isinstance(found, outcomes.Absent):
            raise error
        tail = _unpack_tail(found.value)
        if tail["operation"] in self.unresolved:
            self._written(tail["operation"], found.version)
        elif tail["epoch"] > self.epoch:
            raise self._stale(tail["epoch"])
        else:
            raise error

    def _written(self, operation: str, version: ids.Version) -> None:
        write = self.unresolved[operation]
        # The others expect a version that is gone.
        self.unresolved.clear()
        self.version = version
        self.rows = write.rows
        self.base_key = write.base_key
        self.bytes = write.size
        for entry in self.pending[: write.entries]:
            self.facts.fold(entry)
        del self.pending[: write.entries]

    def _stale(self, epoch: int) -> exceptions.StaleEpochError:
        return exceptions.StaleEpochError(
            message=f"the journal of zone {self.zone} has epoch {epoch}",
            context=f"this owner has epoch {self.epoch}",
        )


def _unpack_tail(value: bytes) -> dict[str, typing.Any]:
    try:
        tail = msgpack.unpackb(value)
        if not {"epoch", "operation", "base", "rows"} <= tail.keys():
            raise ValueError("fields are missing")
    except (
        AttributeError,
        TypeError,
        ValueError,
        msgpack.UnpackException,
    ) as error:
        raise exceptions.JournalUnreadableError(
            message=f"the journal's tail is not understood: {error}",
        ) from error
    return tail
