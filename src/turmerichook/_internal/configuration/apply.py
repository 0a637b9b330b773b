"""Applying files to the store, and reading back what is in force.

An apply makes three writes in this order: the bundle under a key of its own,
the record of the generation that it replaces, and the head by
compare-and-swap. Only the last one changes what is in force.
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

# How long a write is repeated while the store does not confirm it.
CONFIRM_LIMIT = datetime.timedelta(seconds=10)
RETRY_DELAY = datetime.timedelta(milliseconds=250)
NOT_APPLIED = generations.NOT_APPLIED


@dataclasses.dataclass(frozen=True, kw_only=True)
class Applied:
    """Result of an apply.

    :param head: the head that this operation wrote, or the one in force
        where ``changed`` is False because the files are the same.
    :param overtaken: a later head that is in force already.
    """

    head: bundle.Head
    changed: bool
    overtaken: bundle.Head | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Change:
    """What one apply asks for.

    :param operation: unique id; a repetition with the same id and files is
        recognised and takes effect once.
    :param based_on: generation that the operator's files stem from; None
        for the one in force now.
    :param at_least: highest generation that any process is known to have.
        A restored store may hold an older head; the new generation must
        exceed what processes have, or they would ignore it.
    :param force: ignore ``based_on``, and make a new generation also of the
        same files.
    """

    files: folder.Files
    author: str
    operation: ids.OperationId
    based_on: ids.Generation | None = None
    at_least: ids.Generation = ids.Generation(0)
    force: bool = False


class Applier(generations.Generations):
    """Changes the configuration in the store."""

    def __init__(self, *, store: stores.Store, clock: clocks.Clock):
        super().__init__(store=store)
        self.clock = clock

    async def apply(self, change: Change) -> Applied:
        """Make files the configuration in force.

        :raises ConfigurationError: if the files are not valid.
        :raises ConfigurationConflictError: if another operator was first.
        :raises StoreUnavailableError: if certainly nothing was applied.
        :raises StoreOutcomeUnknownError: if the change may be in force, or
            may still come into force.
        """
        packed = bundle.pack_files(change.files)
        bundle.accept(ids.Generation(0), packed)
        found = await self.current()
        version = stores.ABSENT_VERSION
        former = None
        if not isinstance(found, outcomes.Absent):
            former, version = found
            done = await self._done_already(change, former, packed)
            if done is not None:
                return done
        await self._check_base(change, former)
        head = self._new_head(change, former, packed)
        await self._put_once(head.bundle_key, packed)
        if former is not None:
            await self._put_once(
                bundle.history_key(former.generation),
                bundle.pack_head(former),
            )
        overtaken = await self._swap_head(head, version, former)
        await self.prune()
        return Applied(head=head, changed=True, overtaken=overtaken)

    async def _done_already(
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
                    message="the operation id was used for other files",
                    context=f"generation {head.generation}",
                    hint="leave out --operation to apply these files",
                )
            return Applied(head=head, changed=True)
        if digest == head.digest and not change.force:
            if head.generation >= change.at_least:
                return Applied(head=head, changed=False)
        return None

    async def _check_base(
        self, change: Change, former: bundle.Head | None
    ) -> None:
        if change.based_on is None or change.force:
            return
        generation = former.generation if former else ids.Generation(0)
        if generation != change.based_on:
            raise await self.conflict(change.based_on, former)

    def _new_head(
        self, change: Change, former: bundle.Head | None, packed: bytes
    ) -> bundle.Head:
        generation = change.at_least
        previous: tuple[ids.OperationId, ...] = ()
        if former is not None:
            generation = max(generation, former.generation)
            previous = (former.operation, *former.previous)
        return bundle.make_head(
            generation=ids.Generation(generation + 1),
            packed=packed,
            operation=change.operation,
            author=change.author,
            now=self.clock.now(),
            previous=previous[: bundle.PREVIOUS_KEPT],
        )

    async def _put_once(self, key: str, value: bytes) -> None:
        """Write a key that nobody writes with another value."""
        deadline = self.clock.monotonic() + CONFIRM_LIMIT
        while True:
            try:
                await self.store.put(key, value, expect=stores.ABSENT_VERSION)
                return
            except exceptions.VersionConflictError:
                # It is there: the first answer was lost, another operator
                # recorded the same generation, or an id was used twice.
                await self._check_same(key, value)
                return
            except exceptions.StoreError as error:
                if self.clock.monotonic() >= deadline:
                    raise exceptions.StoreUnavailableError(
                        message=f"the store did not confirm {key}",
                        context=error.message,
                        note=NOT_APPLIED,
                    ) from error
            await self.clock.sleep(RETRY_DELAY)

    async def _check_same(self, key: str, value: bytes) -> None:
        entry = await self.store.get(key)
        if isinstance(entry, stores.Entry) and entry.value != value:
            raise exceptions.ConfigurationConflictError(
                message=f"{key} holds other data",
                note=NOT_APPLIED,
                hint="leave out --operation, or see 'config history'",
            )

    async def _swap_head(
        self,
        head: bundle.Head,
        version: ids.Version,
        former: bundle.Head | None,
    ) -> bundle.Head | None:
        """Swap the head, and return a later head if one is in force.

        A write without an answer is repeated with the same expected version
        and the same value. Whichever of the two arrives first takes effect,
        and the other gets a conflict, so a late arrival is harmless. Once a
        conflict shows that the version has passed, no copy of this write
        can take effect any more, and the head tells which one did.
        """
        deadline = self.clock.monotonic() + CONFIRM_LIMIT
        value = bundle.pack_head(head)
        unknown = False
        while True:
            try:
                await self.store.put(bundle.HEAD_KEY, value, expect=version)
                return None
            except exceptions.VersionConflictError:
                found = await self._read_head(head, deadline)
                return await self._settle(head, found, former)
            except exceptions.StoreUnavailableError as error:
                failure: exceptions.TurmerichookError = error
            except (
                exceptions.StoreOutcomeUnknownError,
                exceptions.MessageError,
            ) as error:
                failure = error
                unknown = True
            if self.clock.monotonic() >= deadline:
                raise _unconfirmed(head, failure, unknown) from failure
            await self.clock.sleep(RETRY_DELAY)

    async def _read_head(
        self, head: bundle.Head, deadline: datetime.timedelta
    ) -> bundle.Head | None:
        while True:
            try:
                found = await self.current()
            except exceptions.TurmerichookError as error:
                if self.clock.monotonic() >= deadline:
                    raise _unconfirmed(head, error, True) from error
                await self.clock.sleep(RETRY_DELAY)
                continue
            return None if isinstance(found, outcomes.Absent) else found[0]

    async def _settle(
        self,
        head: bundle.Head,
        found: bundle.Head | None,
        former: bundle.Head | None,
    ) -> bundle.Head | None:
        if found is not None and found.operation == head.operation:
            return None
        if found is not None and head.operation in found.previous:
            return found
        await self.remove(head.bundle_key)
        base = former.generation if former else ids.Generation(0)
        raise await self.conflict(base, found)


def _unconfirmed(
    head: bundle.Head, failure: exceptions.TurmerichookError, unknown: bool
) -> exceptions.StoreError:
    kind: typing.Any = exceptions.StoreUnavailableError
    note = NOT_APPLIED
    hint = "run the command again when the store answers"
    if unknown:
        kind = exceptions.StoreOutcomeUnknownError
        note = "the change may be in force or may still come into force"
        hint = (
            f"repeat with --operation {head.operation}; it takes effect once."
            " To rule it out, apply other files or use --force"
        )
    return kind(
        message="the store did not confirm the change",
        context=failure.message,
        note=note,
        hint=hint,
    )
