"""Keeps a process at the newest configuration it has seen.

The newest generation wins whatever its source; an older one is ignored.
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
from turmerichook._internal.platform import store as stores
from turmerichook import exceptions

WATCH_WAIT = datetime.timedelta(seconds=30)
RETRY_DELAY = datetime.timedelta(seconds=1)

Listener = collections.abc.Callable[[bundle.Accepted], None]


class Subscription:
    """The configuration of one process."""

    def __init__(self, *, store: stores.Store, clock: clocks.Clock):
        self.applier = apply.Applier(store=store, clock=clock)
        self.store = store
        self.clock = clock
        self.generation = ids.Generation(0)
        self.configuration: site.Configuration = site.EMPTY
        self.packed: messages.GenerationBundle | None = None
        self.listeners: list[Listener] = []
        self.rejected = ids.Generation(0)

    def offer(self, message: messages.GenerationBundle) -> bool:
        """Take a generation if it is newer, understood and undamaged."""
        generation = ids.Generation(message.generation)
        if generation <= max(self.generation, self.rejected):
            return False
        if bundle.digest_of(message.bundle) != message.digest:
            self._reject(generation, "digest differs")
            return False
        try:
            accepted = bundle.accept(generation, message.bundle)
        except exceptions.TurmerichookError as error:
            self._reject(generation, str(error))
            return False
        self.generation = generation
        self.configuration = accepted.configuration
        self.packed = message
        logs.emit(
            events.ConfigurationEvent.IN_FORCE,
            generation=generation,
            digest=message.digest[:12],
        )
        for listener in self.listeners:
            listener(accepted)
        return True

    async def run(self) -> None:
        """Watch the store's head for ever."""
        after = ids.Revision(0)
        while True:
            try:
                await self.read()
                changes = await self.store.watch(
                    bundle.HEAD_KEY, after=after, wait=WATCH_WAIT
                )
                after = changes.revision
            except exceptions.TurmerichookError as error:
                logs.emit(
                    events.ConfigurationEvent.STORE_UNREADABLE,
                    generation=self.generation,
                    error=error,
                )
                await self.clock.sleep(RETRY_DELAY)

    async def read(self) -> None:
        """Read the head, and its bundle where it is newer."""
        found = await self.applier.current()
        if isinstance(found, outcomes.Absent):
            return
        head, _ = found
        if head.generation <= max(self.generation, self.rejected):
            return
        packed = await self.applier.fetch(head)
        if isinstance(packed, bytes):
            self.offer(
                messages.GenerationBundle(
                    generation=head.generation,
                    digest=head.digest,
                    bundle=packed,
                )
            )

    def _reject(self, generation: ids.Generation, why: str) -> None:
        self.rejected = generation
        logs.emit(
            events.ConfigurationEvent.REJECTED,
            generation=generation,
            in_force=self.generation,
            why=why,
        )
