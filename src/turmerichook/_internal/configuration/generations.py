"""Generations in the store: the one in force and the last fifty."""

from turmerichook._internal.configuration import bundle
from turmerichook._internal.configuration import difference
from turmerichook._internal.configuration import folder
from turmerichook._internal.models import ids
from turmerichook._internal import outcomes
from turmerichook._internal.providers import store as stores
from turmerichook import exceptions

BUNDLES_KEPT = 50
NOT_APPLIED = "nothing was applied"

Found = tuple[bundle.Head, ids.Version]


class Generations:
    """Reads generations, explains conflicts and removes old bundles."""

    def __init__(self, *, store: stores.Store):
        self.store = store

    async def current(self) -> Found | outcomes.Absent:
        """Return the head in force and its version.

        :raises MessageError: if the head is damaged.
        """
        entry = await self.store.get(bundle.HEAD_KEY)
        if isinstance(entry, outcomes.Absent):
            return entry
        return bundle.unpack_head(entry.value), entry.version

    async def fetch(self, head: bundle.Head) -> bytes | outcomes.Absent:
        """Return the bundle that a head refers to.

        :raises ConfigurationDamagedError: if its digest is another.
        """
        entry = await self.store.get(head.bundle_key)
        if isinstance(entry, outcomes.Absent):
            return entry
        if bundle.digest_of(entry.value) != head.digest:
            raise exceptions.ConfigurationDamagedError(
                message=f"the bundle of generation {head.generation} differs"
                " from its digest",
                hint="apply the folder again with --force",
            )
        return entry.value

    async def history(self) -> list[bundle.Head]:
        """Return the generations that are kept, the newest first."""
        found = await self.current()
        if isinstance(found, outcomes.Absent):
            return []
        listing = await self.store.list(bundle.HISTORY_PREFIX)
        older = [bundle.unpack_head(entry.value) for entry in listing.entries]
        heads = {head.generation: head for head in older}
        heads[found[0].generation] = found[0]
        return [heads[number] for number in sorted(heads, reverse=True)]

    async def conflict(
        self, base: ids.Generation, found: bundle.Head | None
    ) -> exceptions.ConfigurationConflictError:
        """Return the error for a change based on a generation not in force.

        :param found: head in force, None if there is none.
        """
        if found is None:
            return exceptions.ConfigurationConflictError(
                message="the store holds no configuration",
                context=f"your files stem from generation {base}",
                note=NOT_APPLIED,
                hint="repeat with --force to apply your files all the same",
            )
        return exceptions.ConfigurationConflictError(
            message=f"generation {found.generation} is in force, not {base}",
            context=f"applied by {found.author} at {found.applied}",
            note=NOT_APPLIED,
            hint="merge the other change into your folder, run"
            f" 'turmerichook config diff', and apply with --based-on"
            f" {found.generation}",
            changes=tuple(await self._changes(base, found)),
        )

    async def _changes(
        self, base: ids.Generation, found: bundle.Head
    ) -> list[str]:
        try:
            theirs = await self._files(found)
            heads = await self.history()
            mine = [head for head in heads if head.generation == base]
            before = await self._files(mine[0]) if mine else {}
        except exceptions.TurmerichookError:
            # The conflict is certain; its explanation is a convenience.
            return []
        return difference.unified(before, theirs)

    async def _files(self, head: bundle.Head) -> folder.Files:
        packed = await self.fetch(head)
        if isinstance(packed, outcomes.Absent):
            return {}
        return bundle.unpack_files(packed)

    async def prune(self) -> None:
        """Remove the bundles and records of all but fifty generations."""
        try:
            listing = await self.store.list(bundle.HISTORY_PREFIX)
            # The head's own bundle is one of those that are kept.
            excess = len(listing.entries) - (BUNDLES_KEPT - 1)
            for entry in listing.entries[: max(0, excess)]:
                head = bundle.unpack_head(entry.value)
                prefix = bundle.bundle_prefix(head.generation)
                bundles = await self.store.list(prefix)
                for old in (*bundles.entries, entry):
                    await self.store.delete(old.key, expect=old.version)
        except exceptions.TurmerichookError:
            # The next apply removes what this one left.
            pass

    async def remove(self, key: str) -> None:
        """Remove a bundle that never came into force."""
        try:
            entry = await self.store.get(key)
            if isinstance(entry, stores.Entry):
                await self.store.delete(key, expect=entry.version)
        except exceptions.TurmerichookError:
            # It is removed with its generation at the latest.
            pass
