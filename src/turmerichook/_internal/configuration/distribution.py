"""Keeps a process at the newest configuration it has seen.

The newest generation wins whatever its source; an older one is ignored. A
process that starts holds back what it is offered until it has asked its
peers which generation it had before, so that a restart does not bring back
an older one.
"""

import collections.abc
import datetime

from turmerichook._internal import clock as clocks
from turmerichook._internal.configuration import apply
from turmerichook._internal.configuration import bundle
from turmerichook._internal.configuration import events
from turmerichook._internal.configuration import messages
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import ids
from turmerichook._internal.models import site
from turmerichook._internal import outcomes
from turmerichook._internal.providers import store as stores
from turmerichook import exceptions

# Length of one waiting call. Its failure tells that the store is out of
# reach, so it must be well below the 10 s that a change may take.
WATCH_WAIT = datetime.timedelta(seconds=4)

Listener = collections.abc.Callable[[bundle.Accepted], None]


class Subscription:
    """The configuration of one process.

    :param held: True holds back all generations until ``release``.
    """

    def __init__(
        self, *, store: stores.Store, clock: clocks.Clock, held: bool = False
    ):
        self.applier = apply.Applier(store=store, clock=clock)
        self.store = store
        self.clock = clock
        self.held = held
        self.waiting: messages.GenerationBundle | None = None
        self.floor = ids.Generation(0)
        self.generation = ids.Generation(0)
        self.digest = ""
        self.configuration: site.Configuration = site.EMPTY
        # Newest undamaged generation for peers, understood here or not: one
        # of them may be of a later version.
        self.newest: messages.GenerationBundle | None = None
        # Called when a generation was put in force or rejected.
        self.on_news: collections.abc.Callable[[], None] = _nothing
        self.listeners: list[Listener] = []
        self.rejected = ids.Generation(0)
        self.revision: ids.Revision | None = None
        # Whether the last read of the head had an answer.
        self.reads = False
        self.oddity: tuple[int, str] | None = None

    def offer(self, message: messages.GenerationBundle) -> bool:
        """Take a generation if it is newer, understood and undamaged."""
        generation = ids.Generation(message.generation)
        if not self.wants(generation):
            return False
        if bundle.digest_of(message.bundle) != message.digest:
            # Another source may hold an undamaged copy.
            logs.emit(events.ConfigurationEvent.DAMAGED, generation=generation)
            return False
        if self.held:
            if self.waiting is None or generation > self.waiting.generation:
                self.waiting = message
            return False
        return self._take(generation, message)

    def wants(self, generation: int) -> bool:
        """Tell whether a generation would be taken if it is offered."""
        newest = max(self.generation, self.rejected)
        if self.waiting is not None:
            newest = max(newest, ids.Generation(self.waiting.generation))
        return generation > newest and generation >= self.floor

    def raise_floor(self, generation: int) -> None:
        """Refuse generations below one that this node had before."""
        self.floor = max(self.floor, ids.Generation(generation))

    def release(self) -> None:
        """Put in force the newest generation that was held back."""
        if not self.held:
            return
        self.held = False
        message, self.waiting = self.waiting, None
        if message is None:
            return
        if message.generation < self.floor:
            logs.emit(
                events.ConfigurationEvent.OLDER_REFUSED,
                generation=message.generation,
                floor=self.floor,
            )
            return
        self._take(ids.Generation(message.generation), message)

    async def follow(self) -> None:
        """Read the head, or wait up to 4 s for its next change.

        :raises TurmerichookError: if the store cannot be read.
        """
        try:
            if self.revision is None:
                await self._list()
            else:
                await self._watch(self.revision)
            self.reads = True
        except exceptions.TurmerichookError:
            self.reads = False
            self.revision = None
            raise

    async def read(self) -> None:
        """Read the head, and its bundle where it is newer.

        :raises TurmerichookError: if the newest generation cannot be read,
            so that the caller does not count it as seen.
        """
        found = await self.applier.current()
        if not isinstance(found, outcomes.Absent):
            await self._see(found[0])

    async def _list(self) -> None:
        listing = await self.store.list(bundle.HEAD_KEY)
        await self._see_entries(listing.entries)
        self.revision = listing.revision

    async def _watch(self, after: ids.Revision) -> None:
        changes = await self.store.watch(
            bundle.HEAD_KEY, after=after, wait=WATCH_WAIT
        )
        if not changes.complete or changes.revision < after:
            # The store dropped changes, or was restored from a copy and
            # counts from a lower revision.
            await self._list()
            return
        await self._see_entries(changes.changes[-1:])
        self.revision = changes.revision

    async def _see_entries(
        self, entries: tuple[stores.Entry | stores.Removed, ...]
    ) -> None:
        for entry in entries:
            if isinstance(entry, stores.Entry):
                await self._see(bundle.unpack_head(entry.value))

    async def _see(self, head: bundle.Head) -> None:
        self._compare(head)
        if not self.wants(head.generation):
            return
        packed = await self.applier.fetch(head)
        if isinstance(packed, outcomes.Absent):
            # A newer head has replaced this one, and its bundle with it; the
            # next read sees it.
            raise exceptions.ConfigurationDamagedError(
                message=f"the bundle of generation {head.generation}"
                " is missing",
            )
        self.offer(
            messages.GenerationBundle(
                generation=head.generation, digest=head.digest, bundle=packed
            )
        )

    def _compare(self, head: bundle.Head) -> None:
        seen = (head.generation, head.digest)
        if head.generation > self.generation or seen == self.oddity:
            return
        if head.generation < max(self.generation, self.floor):
            self.oddity = seen
            logs.emit(
                events.ConfigurationEvent.STORE_BEHIND,
                generation=head.generation,
                in_force=self.generation,
            )
        elif head.digest != self.digest:
            self.oddity = seen
            logs.emit(
                events.ConfigurationEvent.DIGESTS_DIFFER,
                generation=head.generation,
                digest=self.digest[:12],
                stored=head.digest[:12],
            )

    def _take(
        self, generation: ids.Generation, message: messages.GenerationBundle
    ) -> bool:
        self.newest = message
        try:
            accepted = bundle.accept(generation, message.bundle)
        except exceptions.ConfigurationError as error:
            self._reject(generation, describe(error))
            return False
        except exceptions.TurmerichookError as error:
            self._reject(generation, str(error))
            return False
        self.generation = generation
        self.digest = message.digest
        self.configuration = accepted.configuration
        logs.emit(
            events.ConfigurationEvent.IN_FORCE,
            generation=generation,
            digest=message.digest[:12],
        )
        for listener in self.listeners:
            listener(accepted)
        self.on_news()
        return True

    def _reject(self, generation: ids.Generation, why: str) -> None:
        self.rejected = generation
        logs.emit(
            events.ConfigurationEvent.REJECTED,
            generation=generation,
            in_force=self.generation,
            why=why,
        )
        self.on_news()


def _nothing() -> None:
    """Tell nobody."""


def describe(error: exceptions.ConfigurationError) -> str:
    """Return the first problems of an error in one line."""
    shown = [f"{p.code} {p.file}:{p.where}" for p in error.problems[:3]]
    return f"{len(error.problems)} problem(s): " + ", ".join(shown)
