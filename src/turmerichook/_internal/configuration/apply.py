"""Applying a folder to the store, and reading back what is in force."""

import uuid

from turmerichook._internal import clock as clocks
from turmerichook._internal.configuration import bundle
from turmerichook._internal.configuration import folder
from turmerichook._internal.models import ids
from turmerichook._internal import outcomes
from turmerichook._internal.platform import store as stores
from turmerichook import exceptions


class Applier:
    """Changes the configuration head by compare-and-swap."""

    def __init__(self, *, store: stores.Store, clock: clocks.Clock):
        self.store = store
        self.clock = clock

    async def current(
        self,
    ) -> tuple[bundle.Head, ids.Version] | outcomes.Absent:
        """Return the head in force and its version."""
        entry = await self.store.get(bundle.HEAD_KEY)
        match entry:
            case outcomes.Absent():
                return entry
            case stores.Entry():
                return bundle.unpack_head(entry.value), entry.version

    async def fetch(self, head: bundle.Head) -> bytes | outcomes.Absent:
        """Return the bundle that a head refers to."""
        entry = await self.store.get(head.bundle_key)
        match entry:
            case outcomes.Absent():
                return entry
            case stores.Entry():
                return entry.value

    async def apply(
        self,
        *,
        files: folder.Files,
        author: str,
        based_on: ids.Generation | None = None,
    ) -> bundle.Head:
        """Make ``files`` the configuration in force.

        :param based_on: generation that the operator looked at; None takes
            the one in force now.
        :raises ConfigurationError: if the files are not valid.
        :raises ConfigurationConflictError: if another operator was first.
        :raises StoreError: if the store gives no answer.
        """
        packed = bundle.pack_files(files)
        bundle.accept(ids.Generation(0), packed)
        version, generation = await self._base(based_on)
        head = bundle.make_head(
            generation=ids.Generation(generation + 1),
            packed=packed,
            operation=ids.OperationId(uuid.uuid4().hex),
            author=author,
            now=self.clock.now(),
        )
        await self._put_bundle(head, packed)
        await self._swap_head(head, version)
        return head

    async def _base(
        self, based_on: ids.Generation | None
    ) -> tuple[ids.Version, ids.Generation]:
        found = await self.current()
        if isinstance(found, outcomes.Absent):
            return stores.ABSENT_VERSION, ids.Generation(0)
        head, version = found
        if based_on is not None and head.generation != based_on:
            raise _conflict(head)
        return version, head.generation

    async def _put_bundle(self, head: bundle.Head, packed: bytes) -> None:
        # The key holds the operation id, so a version conflict can only be
        # this write, whose first answer was lost.
        for _ in range(2):
            try:
                await self.store.put(
                    head.bundle_key, packed, expect=stores.ABSENT_VERSION
                )
                return
            except exceptions.StoreOutcomeUnknownError:
                continue
            except exceptions.VersionConflictError:
                return
        raise exceptions.StoreUnavailableError(
            message="the store did not confirm the bundle",
            note="nothing was applied",
        )

    async def _swap_head(
        self, head: bundle.Head, version: ids.Version
    ) -> None:
        try:
            await self.store.put(
                bundle.HEAD_KEY, bundle.pack_head(head), expect=version
            )
        except (
            exceptions.StoreOutcomeUnknownError,
            exceptions.VersionConflictError,
        ):
            found = await self.current()
            if isinstance(found, outcomes.Absent):
                raise
            if found[0].operation != head.operation:
                raise _conflict(found[0]) from None


def _conflict(head: bundle.Head) -> exceptions.ConfigurationConflictError:
    return exceptions.ConfigurationConflictError(
        message=f"generation {head.generation} is in force",
        context=f"applied by {head.author} at {head.applied}",
        hint="run 'turmerichook config diff', merge, and apply again",
    )
