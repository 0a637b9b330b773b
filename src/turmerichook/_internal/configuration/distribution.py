"""Keep a process on the newest configuration generation it has received.

A generation may come from the store or from a peer process. The highest
generation number wins whichever of them sent it, and a lower one is ignored.
A starting process holds back every generation that it receives until its
peers have told it which generation it had before the restart. Otherwise a
restart could put an older generation in force again.
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

# Longest time that one watch call waits for a change. An unreachable store
# shows only when the call fails, so the wait must be well below the 10 s in
# which a change must be in force in every process.
WATCH_TIMEOUT = datetime.timedelta(seconds=4)

Listener = collections.abc.Callable[[bundle.Accepted], None]


class Subscription:
    """Keeps the configuration that is in force in one process.

    :param held: True to hold back all received generations until
        ``release`` is called.
    """

    def __init__(
        self, *, store: stores.Store, clock: clocks.Clock, held: bool = False
    ):
        self.applier = apply.Applier(store=store, clock=clock)
        self.store = store
        self.clock = clock
        self.held = held
        self.pending_bundle: messages.GenerationBundle | None = None
        self.min_generation = ids.Generation(0)
        self.generation = ids.Generation(0)
        self.digest = ""
        self.configuration: site.Configuration = site.EMPTY
        # Newest undamaged bundle, kept to send to peers that ask for it. It
        # is kept even if this process could not parse it, because a peer may
        # run a later software version that can.
        self.newest: messages.GenerationBundle | None = None
        # Called after a generation was put in force or rejected.
        self.on_news: collections.abc.Callable[[], None] = _no_op
        self.listeners: list[Listener] = []
        self.rejected = ids.Generation(0)
        self.revision: ids.Revision | None = None
        # Whether the last read of the head from the store succeeded.
        self.reads = False
        # Generation and digest of the last stored head that was logged as
        # older than or different from the configuration in force. It is
        # remembered so that the same head is logged only once.
        self.reported_mismatch: tuple[int, str] | None = None

    def offer(self, message: messages.GenerationBundle) -> bool:
        """Put a generation in force if it is newer, undamaged and valid.

        Return whether it was put in force. While generations are held back,
        the newest one is kept for ``release`` and the result is False.
        """
        generation = ids.Generation(message.generation)
        if not self.wants(generation):
            return False
        if bundle.digest_of(message.bundle) != message.digest:
            # The generation stays eligible, because another source may have
            # an undamaged copy of it.
            logs.emit(events.ConfigurationEvent.DAMAGED, generation=generation)
            return False
        if self.held:
            if (
                self.pending_bundle is None
                or generation > self.pending_bundle.generation
            ):
                self.pending_bundle = message
            return False
        return self._activate(generation, message)

    def wants(self, generation: int) -> bool:
        """Return whether ``offer`` would consider a generation.

        It must be newer than all generations received so far and not older
        than the one that this node had before a restart.
        """
        newest = max(self.generation, self.rejected)
        if self.pending_bundle is not None:
            newest = max(
                newest, ids.Generation(self.pending_bundle.generation)
            )
        return generation > newest and generation >= self.min_generation

    def raise_floor(self, generation: int) -> None:
        """Refuse generations below one that this node had before a restart."""
        self.min_generation = max(
            self.min_generation, ids.Generation(generation)
        )

    def release(self) -> None:
        """Stop holding generations back, and put the newest one in force."""
        if not self.held:
            return
        self.held = False
        message, self.pending_bundle = self.pending_bundle, None
        if message is None:
            return
        if message.generation < self.min_generation:
            logs.emit(
                events.ConfigurationEvent.OLDER_REFUSED,
                generation=message.generation,
                floor=self.min_generation,
            )
            return
        self._activate(ids.Generation(message.generation), message)

    async def follow(self) -> None:
        """Read the head, or wait up to 4 s for its next change.

        The first call, and each call after a failure, reads the head; the
        others wait for a change that follows the last one received.

        :raises TurmerichookError: if the store cannot be read.
        """
        try:
            if self.revision is None:
                await self._list_head()
            else:
                await self._watch_head(self.revision)
            self.reads = True
        except exceptions.TurmerichookError:
            self.reads = False
            self.revision = None
            raise

    async def read(self) -> None:
        """Read the head, and fetch its bundle if the generation is newer.

        :raises TurmerichookError: if the newest generation cannot be read,
            so that the caller does not treat it as received.
        """
        stored = await self.applier.current()
        if not isinstance(stored, outcomes.Absent):
            await self._process_head(stored[0])

    async def _list_head(self) -> None:
        listing = await self.store.list(bundle.HEAD_KEY)
        await self._process_heads(listing.entries)
        self.revision = listing.revision

    async def _watch_head(self, after: ids.Revision) -> None:
        changes = await self.store.watch(
            bundle.HEAD_KEY, after=after, wait=WATCH_TIMEOUT
        )
        if not changes.complete or changes.revision < after:
            # The store no longer has all changes since ``after``, or it was
            # restored from a backup and its revision counter is lower now.
            await self._list_head()
            return
        await self._process_heads(changes.changes[-1:])
        self.revision = changes.revision

    async def _process_heads(
        self, entries: tuple[stores.Entry | stores.Removed, ...]
    ) -> None:
        for entry in entries:
            if isinstance(entry, stores.Entry):
                await self._process_head(bundle.unpack_head(entry.value))

    async def _process_head(self, head: bundle.Head) -> None:
        self._report_mismatch(head)
        if not self.wants(head.generation):
            return
        packed = await self.applier.fetch(head)
        if isinstance(packed, outcomes.Absent):
            # A newer generation has replaced this head and its bundle was
            # removed. The next read returns the newer head.
            raise exceptions.ConfigurationDamagedError(
                message=f"the bundle of generation {head.generation}"
                " is missing in the store",
            )
        self.offer(
            messages.GenerationBundle(
                generation=head.generation, digest=head.digest, bundle=packed
            )
        )

    def _report_mismatch(self, head: bundle.Head) -> None:
        identity = (head.generation, head.digest)
        if (
            head.generation > self.generation
            or identity == self.reported_mismatch
        ):
            return
        if head.generation < max(self.generation, self.min_generation):
            self.reported_mismatch = identity
            logs.emit(
                events.ConfigurationEvent.STORE_BEHIND,
                generation=head.generation,
                in_force=self.generation,
            )
        elif head.digest != self.digest:
            self.reported_mismatch = identity
            logs.emit(
                events.ConfigurationEvent.DIGESTS_DIFFER,
                generation=head.generation,
                digest=self.digest[:12],
                stored=head.digest[:12],
            )

    def _activate(
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


def _no_op() -> None:
    """Do nothing; the default of ``Subscription.on_news``."""


def describe(error: exceptions.ConfigurationError) -> str:
    """Return the number of problems and the first three of them."""
    shown = [f"{p.code} {p.file}:{p.where}" for p in error.problems[:3]]
    return f"{len(error.problems)} problem(s): " + ", ".join(shown)
