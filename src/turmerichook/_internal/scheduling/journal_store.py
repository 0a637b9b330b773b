"""Storage of a zone's placement journal.

The tail holds the entries since the last base. Each group of entries is
written by one compare-and-swap of the tail; a tail above ``MAX_TAIL_BYTES`` is
folded into a new base. The tail contains the epoch of its writer, and the
first write of a new owner makes every later write of a former owner fail.
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

MAX_TAIL_BYTES = 32 * 1024
# Entries in one write. A longer backlog takes several writes, so that the tail
# stays far below the store's value limit.
MAX_GROUP_ENTRIES = 4000
# Checkpoints in one message to the next owner; keeps the message below 200 kB.
MAX_PASSED_CHECKPOINTS = 2000


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Write:
    """A write of the tail, with the state of the journal if it takes effect.

    :param entries: number of pending entries, from the oldest, in the write.
    :param size: bytes of the encoded tail.
    """

    rows: list[list]
    base_key: str
    entries: int
    size: int


class Journal:
    """The journal of one zone, as read and written by one owner."""

    def __init__(
        self, *, zone: ids.ZoneId, epoch: ids.Epoch, store: stores.Store
    ):
        self.zone = zone
        self.epoch = epoch
        self.store = store
        self.state = journal.JournalState()
        self.pending: list[journal.Entry] = []
        self.tail_rows: list[list] = []
        self.tail_bytes = 0
        self.base_key = ""
        self.version = stores.ABSENT_VERSION
        # Writes of this owner whose outcome is unknown, by operation id. All
        # of them expect ``version``, so at most one of them takes effect,
        # which may happen long after the request timed out.
        self.unresolved_writes: dict[str, _Write] = {}
        # Keys of bases that the tail no longer refers to, or of which it is
        # unknown whether the tail ever referred to them.
        self.unused_bases: list[str] = []

    @property
    def tail_key(self) -> str:
        """Key of the tail in the store."""
        return f"journal/{self.zone}/tail"

    @property
    def base_prefix(self) -> str:
        """Prefix of the keys of all bases of the zone."""
        return f"journal/{self.zone}/base/"

    async def take_over(self) -> None:
        """Read base and tail, and fence the former owner.

        :raises StaleEpochError: if a later owner has written the tail.
        :raises StoreError: if the store does not answer.
        :raises JournalUnreadableError: if the journal cannot be decoded or
            its base is missing. Nothing is written in that case.
        """
        while True:
            self.unresolved_writes.clear()
            tail_entry = await self.store.get(self.tail_key)
            if not isinstance(tail_entry, outcomes.Absent):
                await self._load(tail_entry)
            try:
                await self._write(self.tail_rows, self.base_key, 0)
                return
            except exceptions.VersionConflictError:
                # The former owner has written the tail since it was read. That
                # write is valid, so the tail is read again.
                continue

    def append(self, entry: journal.Entry) -> None:
        """Add an entry to the pending ones, which ``commit`` writes."""
        self.pending.append(entry)

    def unwritten_checkpoints(self) -> dict[ids.TaskId, list]:
        """Return attempt and checkpoint of ended attempts not yet durable.

        At most ``MAX_PASSED_CHECKPOINTS`` are returned.
        """
        ends = (e for e in self.pending if isinstance(e, journal.Returned))
        return {
            end.task: [end.attempt, end.checkpoint]
            for end in itertools.islice(ends, MAX_PASSED_CHECKPOINTS)
            if end.checkpoint is not None
        }

    async def commit(self) -> None:
        """Make all pending entries durable.

        After an error, entries that are not known to be durable stay pending.

        :raises StaleEpochError: if a later owner has written the tail.
        :raises StoreError: if the store does not answer.
        """
        while self.pending:
            group = self.pending[:MAX_GROUP_ENTRIES]
            rows = self.tail_rows + [
                journal_format.pack_entry(e) for e in group
            ]
            await self._write(rows, self.base_key, len(group))
            if len(self.pending) and self.tail_bytes > MAX_TAIL_BYTES:
                await self.fold()

    async def fold(self) -> None:
        """Fold a tail above ``MAX_TAIL_BYTES`` into a new base.

        :raises StaleEpochError: if a later owner has written the tail.
        """
        if self.tail_bytes <= MAX_TAIL_BYTES or self.unresolved_writes:
            return
        former_base = self.base_key
        key = f"{self.base_prefix}{self.epoch}-{uuid.uuid4().hex[:12]}"
        self.unused_bases.append(key)
        try:
            await self.store.put(
                key,
                journal_format.pack_facts(self.state),
                expect=stores.ABSENT_VERSION,
            )
            await self._write([], key, 0)
        except exceptions.StoreError:
            # The tail stays valid; the next round tries to fold it again.
            return
        if former_base:
            self.unused_bases.append(former_base)

    async def discard_unused(self) -> None:
        """Delete bases that the tail no longer refers to."""
        if self.unresolved_writes:
            return
        keys = [key for key in self.unused_bases if key != self.base_key]
        self.unused_bases.clear()
        for key in keys:
            await self._delete_base(key)

    async def discard_orphans(self) -> None:
        """Mark bases that former owners did not delete as unused.

        Bases of later owners are kept, since this owner may have been
        superseded without having learned it.
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
            if (
                entry.key != self.base_key
                and entry.key not in self.unused_bases
            ):
                self.unused_bases.append(entry.key)

    async def _load(self, tail_entry: stores.Entry) -> None:
        tail = _unpack_tail(tail_entry.value)
        if tail["epoch"] > self.epoch:
            raise self._stale_epoch_error(tail["epoch"])
        facts = journal.JournalState()
        if tail["base"]:
            base = await self.store.get(tail["base"])
            if isinstance(base, outcomes.Absent):
                await self._check_unchanged(tail_entry)
            else:
                facts = journal_format.unpack_facts(base.value)
        for row in tail["rows"]:
            facts.apply(journal_format.unpack_entry(row))
        self.version = tail_entry.version
        self.base_key = tail["base"]
        self.tail_rows = tail["rows"]
        self.state = facts

    async def _check_unchanged(self, tail_entry: stores.Entry) -> None:
        """Raise the error for a missing base.

        The base was either deleted because the tail was folded since it was
        read, or it is lost.

        :raises StoreUnavailableError: if the tail has changed.
        :raises JournalUnreadableError: if the tail is unchanged or absent.
        """
        reread_tail = await self.store.get(self.tail_key)
        if (
            isinstance(reread_tail, outcomes.Absent)
            or reread_tail.version == tail_entry.version
        ):
            raise exceptions.JournalUnreadableError(
                message="the placement journal's base is missing",
                context=self.tail_key,
                hint="see docs/operators/zones.md, journal unreadable",
            )
        raise exceptions.StoreUnavailableError(
            message="the placement journal was folded during the read",
        )

    async def _delete_base(self, key: str) -> None:
        try:
            base = await self.store.get(key)
            if not isinstance(base, outcomes.Absent):
                await self.store.delete(key, expect=base.version)
        except exceptions.StoreError:
            # The next owner finds the base in ``discard_orphans``.
            pass

    async def _write(
        self, rows: list[list], base_key: str, entries: int
    ) -> None:
        """Write the tail.

        :param entries: number of pending entries, from the oldest, in rows.
        """
        operation = uuid.uuid4().hex
        value = msgpack.packb(
            {
                "epoch": self.epoch,
                "operation": operation,
                "base": base_key,
                "rows": rows,
            }
        )
        self.unresolved_writes[operation] = _Write(
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
            del self.unresolved_writes[operation]
            raise
        else:
            self._apply_write(operation, version)

    async def _resolve(self, error: exceptions.StoreError) -> None:
        """Find out which of the unresolved writes took effect.

        :raises StoreError: ``error`` if none has taken effect so far.
        :raises StaleEpochError: if a later owner has written the tail.
        """
        tail_entry = await self.store.get(self.tail_key)
        if isinstance(tail_entry, outcomes.Absent):
            raise error
        tail = _unpack_tail(tail_entry.value)
        if tail["operation"] in self.unresolved_writes:
            self._apply_write(tail["operation"], tail_entry.version)
        elif tail["epoch"] > self.epoch:
            raise self._stale_epoch_error(tail["epoch"])
        else:
            raise error

    def _apply_write(self, operation: str, version: ids.Version) -> None:
        write = self.unresolved_writes[operation]
        # The other writes expect a version that has been replaced.
        self.unresolved_writes.clear()
        self.version = version
        self.tail_rows = write.rows
        self.base_key = write.base_key
        self.tail_bytes = write.size
        for entry in self.pending[: write.entries]:
            self.state.apply(entry)
        del self.pending[: write.entries]

    def _stale_epoch_error(self, epoch: int) -> exceptions.StaleEpochError:
        return exceptions.StaleEpochError(
            message=f"the journal of zone {self.zone} is at epoch {epoch}",
            context=f"this owner has the earlier epoch {self.epoch}",
        )


def _unpack_tail(value: bytes) -> dict[str, typing.Any]:
    try:
        tail = msgpack.unpackb(value)
        if not {"epoch", "operation", "base", "rows"} <= tail.keys():
            raise ValueError("epoch, operation, base or rows is missing")
    except (
        AttributeError,
        TypeError,
        ValueError,
        msgpack.UnpackException,
    ) as error:
        raise exceptions.JournalUnreadableError(
            message=f"cannot decode the placement journal's tail: {error}",
        ) from error
    return tail
