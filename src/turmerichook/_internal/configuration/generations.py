"""Access to the stored generations: the one in force and its history.

The store keeps the last fifty generations, including the one in force.
"""

from turmerichook._internal.configuration import bundle
from turmerichook._internal.configuration import difference
from turmerichook._internal.configuration import folder
from turmerichook._internal.models import ids
from turmerichook._internal import outcomes
from turmerichook._internal.providers import store as stores
from turmerichook import exceptions

MAX_GENERATIONS_KEPT = 50
NOT_APPLIED = "nothing was applied"

HeadAndVersion = tuple[bundle.Head, ids.Version]


class Generations:
    """Reads and prunes stored generations, and describes conflicts."""

    def __init__(self, *, store: stores.Store):
        self.store = store

    async def current(self) -> HeadAndVersion | outcomes.Absent:
        """Return the head in force and the version of its store key.

        :raises MessageError: if the head is damaged.
        """
        entry = await self.store.get(bundle.HEAD_KEY)
        if isinstance(entry, outcomes.Absent):
            return entry
        return bundle.unpack_head(entry.value), entry.version

    async def fetch(self, head: bundle.Head) -> bytes | outcomes.Absent:
        """Return the bundle that a head refers to.

        :raises ConfigurationDamagedError: if the bundle does not match the
            digest in the head.
        """
        entry = await self.store.get(head.bundle_key)
        if isinstance(entry, outcomes.Absent):
            return entry
        if bundle.digest_of(entry.value) != head.digest:
            raise exceptions.ConfigurationDamagedError(
                message=f"the bundle of generation {head.generation} does not"
                " match its digest",
                hint="apply the folder again with --force",
            )
        return entry.value

    async def history(self) -> list[bundle.Head]:
        """Return the heads of all generations kept, the newest first."""
        stored = await self.current()
        if isinstance(stored, outcomes.Absent):
            return []
        listing = await self.store.list(bundle.HISTORY_PREFIX)
        replaced_heads = [
            bundle.unpack_head(entry.value) for entry in listing.entries
        ]
        heads = {head.generation: head for head in replaced_heads}
        heads[stored[0].generation] = stored[0]
        return [heads[number] for number in sorted(heads, reverse=True)]

    async def conflict(
        self, base: ids.Generation, current_head: bundle.Head | None
    ) -> exceptions.ConfigurationConflictError:
        """Return the error for a change whose base is not in force.

        :param base: generation from which the operator's files were edited.
        :param current_head: head in force, or None if the store has none.
        """
        if current_head is None:
            return exceptions.ConfigurationConflictError(
                message="the store holds no configuration",
                context=f"your files are based on generation {base}",
                note=NOT_APPLIED,
                hint="repeat with --force to apply your files anyway",
            )
        return exceptions.ConfigurationConflictError(
            message=f"generation {current_head.generation} is in force, but"
            f" your files are based on generation {base}",
            context=f"applied by {current_head.author}"
            f" at {current_head.applied}",
            note=NOT_APPLIED,
            hint="merge the other change into your folder, run"
            f" 'turmerichook config diff', and apply with --based-on"
            f" {current_head.generation}",
            changes=tuple(await self._diff_to_current(base, current_head)),
        )

    async def _diff_to_current(
        self, base: ids.Generation, current_head: bundle.Head
    ) -> list[str]:
        try:
            current_files = await self._files(current_head)
            heads = await self.history()
            base_heads = [head for head in heads if head.generation == base]
            base_files = await self._files(base_heads[0]) if base_heads else {}
        except exceptions.TurmerichookError:
            # The conflict is reported in any case. The diff only helps the
            # operator, so a failure to read the files is ignored.
            return []
        return difference.unified(base_files, current_files)

    async def _files(self, head: bundle.Head) -> folder.Files:
        packed = await self.fetch(head)
        if isinstance(packed, outcomes.Absent):
            return {}
        return bundle.unpack_files(packed)

    async def prune(self) -> None:
        """Remove all but the last fifty generations from the store."""
        try:
            listing = await self.store.list(bundle.HISTORY_PREFIX)
            # The generation in force counts as one of those kept, but it
            # has no history record.
            excess = len(listing.entries) - (MAX_GENERATIONS_KEPT - 1)
            for entry in listing.entries[: max(0, excess)]:
                head = bundle.unpack_head(entry.value)
                prefix = bundle.bundle_prefix(head.generation)
                bundles = await self.store.list(prefix)
                for old in (*bundles.entries, entry):
                    await self.store.delete(old.key, expect=old.version)
        except exceptions.TurmerichookError:
            # The next apply removes what remains.
            pass

    async def remove(self, key: str) -> None:
        """Remove the bundle of a generation that never came into force."""
        try:
            entry = await self.store.get(key)
            if isinstance(entry, stores.Entry):
                await self.store.delete(key, expect=entry.version)
        except exceptions.TurmerichookError:
            # ``prune`` later removes this bundle with all others of the same
            # generation number.
            pass
