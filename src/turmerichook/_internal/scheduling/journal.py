"""The zone's placement journal in the store.

The tail holds the entries since the last base. Each group of entries is one
compare-and-swap of the tail; a tail that has grown is folded into a new base.
The tail carries the epoch of its writer, so that the first write of a new
owner makes every later write of a former owner fail.
"""

import dataclasses
import typing
import uuid

import msgpack

from turmerichook._internal.models import ids
from turmerichook._internal import outcomes
from turmerichook._internal.platform import store as stores
from turmerichook import exceptions

TAIL_BYTES = 32 * 1024


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Assigned:
    """An attempt may run on a worker from now on."""

    task: ids.TaskId
    attempt: ids.Attempt
    host: ids.HostId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Returned:
    """An attempt has certainly ended or never began; the task waits."""

    task: ids.TaskId
    attempt: ids.Attempt
    checkpoint: ids.CheckpointId | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Finished:
    """A task has its result."""

    task: ids.TaskId
    attempt: ids.Attempt
    succeeded: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Forgotten:
    """A task's entries are no longer needed."""

    task: ids.TaskId


Entry = Assigned | Returned | Finished | Forgotten


@dataclasses.dataclass(kw_only=True, slots=True)
class TaskFacts:
    """What the journal knows about a task."""

    attempt: ids.Attempt = ids.Attempt(0)
    host: ids.HostId | None = None
    checkpoint: ids.CheckpointId | None = None
    succeeded: bool | None = None


Facts = dict[ids.TaskId, TaskFacts]


def fold(facts: Facts, entry: Entry) -> None:
    """Apply one entry to the facts."""
    match entry:
        case Forgotten():
            facts.pop(entry.task, None)
        case Assigned():
            fact = facts.setdefault(entry.task, TaskFacts())
            fact.attempt = entry.attempt
            fact.host = entry.host
        case Returned():
            fact = facts.setdefault(entry.task, TaskFacts())
            fact.attempt = entry.attempt
            fact.host = None
            fact.checkpoint = entry.checkpoint
        case Finished():
            fact = facts.setdefault(entry.task, TaskFacts())
            fact.attempt = entry.attempt
            fact.host = None
            fact.succeeded = entry.succeeded


class Journal:
    """Reads and writes the journal of one zone for one owner."""

    def __init__(
        self, *, zone: ids.ZoneId, epoch: ids.Epoch, store: stores.Store
    ):
        self.zone = zone
        self.epoch = epoch
        self.store = store
        self.facts: Facts = {}
        self.pending: list[Entry] = []
        self.rows: list[list] = []
        self.bytes = 0
        self.base_key = ""
        self.version = stores.ABSENT_VERSION

    @property
    def tail_key(self) -> str:
        """Key of the tail."""
        return f"journal/{self.zone}/tail"

    async def take_over(self) -> None:
        """Read base and tail, and fence the former owner.

        :raises StaleEpochError: if a later owner has written.
        :raises StoreError: if the store gives no answer.
        """
        found = await self.store.get(self.tail_key)
        if not isinstance(found, outcomes.Absent):
            await self._load(found)
        await self._write(self.rows, self.base_key)

    def append(self, entry: Entry) -> None:
        """Add an entry to the next group."""
        self.pending.append(entry)

    async def commit(self) -> None:
        """Make all pending entries durable.

        On an error they stay pending.

        :raises StaleEpochError: if a later owner has written.
        :raises StoreError: if the store gives no answer.
        """
        group = list(self.pending)
        if not group:
            return
        rows = self.rows + [_pack_entry(entry) for entry in group]
        await self._write(rows, self.base_key)
        del self.pending[: len(group)]
        for entry in group:
            fold(self.facts, entry)
        if self.bytes > TAIL_BYTES:
            await self._fold_tail()

    async def _load(self, found: stores.Entry) -> None:
        tail = msgpack.unpackb(found.value)
        if tail["epoch"] > self.epoch:
            raise self._stale(tail["epoch"])
        self.version = found.version
        self.base_key = tail["base"]
        self.rows = tail["rows"]
        self.facts = {}
        if self.base_key:
            base = await self.store.get(self.base_key)
            if isinstance(base, outcomes.Absent):
                raise exceptions.StoreUnavailableError(
                    message="the journal's base is missing",
                    context=self.base_key,
                )
            self.facts = _unpack_facts(base.value)
        for row in self.rows:
            fold(self.facts, _unpack_entry(row))

    async def _fold_tail(self) -> None:
        former = self.base_key
        key = f"journal/{self.zone}/base/{self.epoch}-{uuid.uuid4().hex[:12]}"
        value = _pack_facts(self.facts)
        try:
            await self.store.put(key, value, expect=stores.ABSENT_VERSION)
            await self._write([], key)
        except exceptions.StaleEpochError:
            raise
        except exceptions.StoreError:
            # The long tail stays valid; the next commit folds again.
            return
        if former:
            await self._discard(former)

    async def _discard(self, key: str) -> None:
        try:
            found = await self.store.get(key)
            if not isinstance(found, outcomes.Absent):
                await self.store.delete(key, expect=found.version)
        except exceptions.StoreError:
            # An orphaned base wastes room but is never read.
            pass

    async def _write(self, rows: list[list], base_key: str) -> None:
        operation = uuid.uuid4().hex
        value = msgpack.packb(
            {
                "epoch": self.epoch,
                "operation": operation,
                "base": base_key,
                "rows": rows,
            }
        )
        try:
            version = await self.store.put(
                self.tail_key, value, expect=self.version
            )
        except (
            exceptions.VersionConflictError,
            exceptions.StoreOutcomeUnknownError,
        ):
            version = await self._verify(operation)
        self.version = version
        self.rows = rows
        self.base_key = base_key
        self.bytes = len(value)

    async def _verify(self, operation: str) -> ids.Version:
        """Return the version that the write made, if it took effect."""
        found = await self.store.get(self.tail_key)
        if not isinstance(found, outcomes.Absent):
            tail = msgpack.unpackb(found.value)
            if tail["operation"] == operation:
                return found.version
            if found.version != self.version:
                raise self._stale(tail["epoch"])
        raise exceptions.StoreUnavailableError(
            message="the journal write took no effect so far",
            context=self.tail_key,
        )

    def _stale(self, epoch: int) -> exceptions.StaleEpochError:
        return exceptions.StaleEpochError(
            message=f"the journal of zone {self.zone} has epoch {epoch}",
            context=f"this owner has epoch {self.epoch}",
        )


def _pack_entry(entry: Entry) -> list:
    match entry:
        case Assigned():
            return ["a", entry.task, entry.attempt, entry.host]
        case Returned():
            return ["r", entry.task, entry.attempt, entry.checkpoint]
        case Finished():
            return ["f", entry.task, entry.attempt, entry.succeeded]
        case Forgotten():
            return ["x", entry.task]


def _unpack_entry(row: list) -> Entry:
    match row:
        case ["a", task, attempt, host]:
            return Assigned(task=task, attempt=attempt, host=host)
        case ["r", task, attempt, checkpoint]:
            return Returned(task=task, attempt=attempt, checkpoint=checkpoint)
        case ["f", task, attempt, succeeded]:
            return Finished(task=task, attempt=attempt, succeeded=succeeded)
        case ["x", task]:
            return Forgotten(task=task)
        case _:
            raise exceptions.MessageError(
                message="malformed journal entry",
                context=repr(row)[:80],
            )


def _pack_facts(facts: Facts) -> bytes:
    rows: dict[str, typing.Any] = {
        task: [f.attempt, f.host, f.checkpoint, f.succeeded]
        for task, f in facts.items()
    }
    return msgpack.packb(rows)


def _unpack_facts(value: bytes) -> Facts:
    return {
        ids.TaskId(task): TaskFacts(
            attempt=attempt,
            host=host,
            checkpoint=checkpoint,
            succeeded=succeeded,
        )
        for task, (
            attempt,
            host,
            checkpoint,
            succeeded,
        ) in msgpack.unpackb(value).items()
    }
