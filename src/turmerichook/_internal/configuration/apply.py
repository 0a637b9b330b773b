"""Apply the operators' files to the store as a new generation.

A generation is one numbered state of the whole configuration. Its files are
stored as one value, the bundle; the head is the store key that names the
generation in force. An apply makes three writes in this order: the bundle
under a key of its own, the history record of the generation that it
replaces, and the head by compare-and-swap. Only the write of the head
changes which generation is in force.
"""

import dataclasses
import datetime
import typing

from turmerichook._internal import clock as clocks
from turmerichook._internal.configuration import bundle
from turmerichook._internal.configuration import folder
from turmerichook._internal.configuration import generations
from turmerichook._internal.models import ids
from turmerichook._internal import outcomes
from turmerichook._internal.providers import store as stores
from turmerichook import exceptions

# How long a write is retried while the store does not confirm it.
CONFIRM_TIMEOUT = datetime.timedelta(seconds=10)
RETRY_DELAY = datetime.timedelta(milliseconds=250)
NOT_APPLIED = generations.NOT_APPLIED


@dataclasses.dataclass(frozen=True, kw_only=True)
class Applied:
    """Result of an apply.

    :param head: head that this operation wrote, or the head in force where
        ``changed`` is False.
    :param changed: False if nothing was written because the files equal
        those in force.
    :param overtaken: later head that already replaced ``head``, or None.
    """

    head: bundle.Head
    changed: bool
    overtaken: bundle.Head | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Change:
    """Request to apply files as a new generation.

    :param operation: unique id of the request; a retry with the same id and
        files is recognised and takes effect once.
    :param based_on: generation from which the operator's files were edited;
        None skips the check that it is still in force.
    :param at_least: highest generation that any process is known to have.
        A store restored from a backup may hold an older head. The new
        generation must exceed this number, because processes ignore a
        generation that is not newer than their own.
    :param force: ignore ``based_on``, and write a new generation even if
        the files equal those in force.
    """

    files: folder.Files
    author: str
    operation: ids.OperationId
    based_on: ids.Generation | None = None
    at_least: ids.Generation = ids.Generation(0)
    force: bool = False


class Applier(generations.Generations):
    """Writes new configuration generations to the store."""

    def __init__(self, *, store: stores.Store, clock: clocks.Clock):
        super().__init__(store=store)
        self.clock = clock

    async def apply(self, change: Change) -> Applied:
        """Make files the configuration in force.

        :raises ConfigurationError: if the files are not valid.
        :raises ConfigurationConflictError: if another operator's change came
            into force first, or if the operation id was already used for
            other files.
        :raises StoreUnavailableError: if nothing was applied and no pending
            write can still apply the change.
        :raises StoreOutcomeUnknownError: if the change may be in force, or
            may still come into force.
        """
        packed = bundle.pack_files(change.files)
        bundle.accept(ids.Generation(0), packed)
        stored = await self.current()
        version = stores.ABSENT_VERSION
        replaced_head = None
        if not isinstance(stored, outcomes.Absent):
            replaced_head, version = stored
            earlier_result = await self._result_if_applied(
                change, replaced_head, packed
            )
            if earlier_result is not None:
                return earlier_result
        await self._check_base(change, replaced_head)
        head = self._new_head(change, replaced_head, packed)
        await self._put_immutable(head.bundle_key, packed)
        if replaced_head is not None:
            await self._put_immutable(
                bundle.history_key(replaced_head.generation),
                bundle.pack_head(replaced_head),
            )
        overtaken = await self._swap_head(head, version, replaced_head)
        await self.prune()
        return Applied(head=head, changed=True, overtaken=overtaken)

    async def _result_if_applied(
        self, change: Change, head: bundle.Head, packed: bytes
    ) -> Applied | None:
        digest = bundle.digest_of(packed)
        if change.operation in head.previous:
            for earlier in await self.history():
                if earlier.operation == change.operation:
                    return Applied(head=earlier, changed=True, overtaken=head)
            return Applied(head=head, changed=True, overtaken=head)
        if change.operation == head.operation:
            if digest != head.digest:
                raise exceptions.ConfigurationConflictError(
                    message=f"operation id {change.operation} was already used"
                    " for other files",
                    context=f"generation {head.generation}",
                    hint="leave out --operation to apply these files",
                )
            return Applied(head=head, changed=True)
        if digest == head.digest and not change.force:
            if head.generation >= change.at_least:
                return Applied(head=head, changed=False)
        return None

    async def _check_base(
        self, change: Change, replaced_head: bundle.Head | None
    ) -> None:
        if change.based_on is None or change.force:
            return
        generation = (
            replaced_head.generation if replaced_head else ids.Generation(0)
        )
        if generation != change.based_on:
            raise await self.conflict(change.based_on, replaced_head)

    def _new_head(
        self, change: Change, replaced_head: bundle.Head | None, packed: bytes
    ) -> bundle.Head:
        generation = change.at_least
        previous: tuple[ids.OperationId, ...] = ()
        if replaced_head is not None:
            generation = max(generation, replaced_head.generation)
            previous = (replaced_head.operation, *replaced_head.previous)
        return bundle.make_head(
            generation=ids.Generation(generation + 1),
            packed=packed,
            operation=change.operation,
            author=change.author,
            now=self.clock.now(),
            previous=previous[: bundle.MAX_PREVIOUS_OPERATIONS],
        )

    async def _put_immutable(self, key: str, value: bytes) -> None:
        """Write a key whose value never changes once it is written."""
        deadline = self.clock.monotonic() + CONFIRM_TIMEOUT
        while True:
            try:
                await self.store.put(key, value, expect=stores.ABSENT_VERSION)
                return
            except exceptions.VersionConflictError:
                # The key exists: the answer to an earlier attempt was lost,
                # another operator recorded the same replaced generation, or
                # the operation id was used twice.
                await self._check_stored_value(key, value)
                return
            except exceptions.StoreError as error:
                if self.clock.monotonic() >= deadline:
                    raise exceptions.StoreUnavailableError(
                        message=f"the store did not confirm the write of {key}"
                        f" within {CONFIRM_TIMEOUT.total_seconds():g} s",
                        context=error.message,
                        note=NOT_APPLIED,
                    ) from error
            await self.clock.sleep(RETRY_DELAY)

    async def _check_stored_value(self, key: str, value: bytes) -> None:
        entry = await self.store.get(key)
        if isinstance(entry, stores.Entry) and entry.value != value:
            raise exceptions.ConfigurationConflictError(
                message=f"the store holds a different value under {key}",
                note=NOT_APPLIED,
                hint="leave out --operation, or see 'config history'",
            )

    async def _swap_head(
        self,
        head: bundle.Head,
        version: ids.Version,
        replaced_head: bundle.Head | None,
    ) -> bundle.Head | None:
        """Replace the head, and return a later head if one is in force.

        A write whose answer was lost is retried with the same expected
        version and the same value. The copy that reaches the store first
        takes effect and any other copy gets a version conflict, so a copy
        that arrives late changes nothing. A conflict shows that the key no
        longer has the expected version. From then on no copy of this write
        can take effect, and the stored head shows whether one did.
        """
        deadline = self.clock.monotonic() + CONFIRM_TIMEOUT
        value = bundle.pack_head(head)
        outcome_unknown = False
        while True:
            try:
                await self.store.put(bundle.HEAD_KEY, value, expect=version)
                return None
            except exceptions.VersionConflictError:
                current_head = await self._read_head(head, deadline)
                return await self._resolve_conflict(
                    head, current_head, replaced_head
                )
            except exceptions.StoreUnavailableError as error:
                failure: exceptions.TurmerichookError = error
            except (
                exceptions.StoreOutcomeUnknownError,
                exceptions.MessageError,
            ) as error:
                failure = error
                outcome_unknown = True
            if self.clock.monotonic() >= deadline:
                raise _unconfirmed(head, failure, outcome_unknown) from failure
            await self.clock.sleep(RETRY_DELAY)

    async def _read_head(
        self, head: bundle.Head, deadline: datetime.timedelta
    ) -> bundle.Head | None:
        while True:
            try:
                stored = await self.current()
            except exceptions.TurmerichookError as error:
                if self.clock.monotonic() >= deadline:
                    raise _unconfirmed(head, error, True) from error
                await self.clock.sleep(RETRY_DELAY)
                continue
            return None if isinstance(stored, outcomes.Absent) else stored[0]

    async def _resolve_conflict(
        self,
        head: bundle.Head,
        current_head: bundle.Head | None,
        replaced_head: bundle.Head | None,
    ) -> bundle.Head | None:
        if (
            current_head is not None
            and current_head.operation == head.operation
        ):
            return None
        if (
            current_head is not None
            and head.operation in current_head.previous
        ):
            return current_head
        await self.remove(head.bundle_key)
        base = replaced_head.generation if replaced_head else ids.Generation(0)
        raise await self.conflict(base, current_head)


def _unconfirmed(
    head: bundle.Head,
    failure: exceptions.TurmerichookError,
    outcome_unknown: bool,
) -> exceptions.StoreError:
    error_type: typing.Any = exceptions.StoreUnavailableError
    note = NOT_APPLIED
    hint = "run the command again when the store is reachable"
    if outcome_unknown:
        error_type = exceptions.StoreOutcomeUnknownError
        note = "the change may be in force or may still come into force"
        hint = (
            f"repeat the command with --operation {head.operation}; the change"
            " takes effect only once. To make sure that it never takes"
            " effect, apply other files or use --force"
        )
    return error_type(
        message=f"the store did not confirm generation {head.generation}"
        f" within {CONFIRM_TIMEOUT.total_seconds():g} s",
        context=failure.message,
        note=note,
        hint=hint,
    )
