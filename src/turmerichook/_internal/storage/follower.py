"""Keeps a reader up to date with the items below a prefix."""

import collections.abc
import datetime

from turmerichook._internal import clock as clocks
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import ids
from turmerichook._internal.storage import events
from turmerichook._internal.storage import interface
from turmerichook import exceptions

# Bounds how long a connection that has fallen silent hides changes.
WATCH_WAIT = datetime.timedelta(milliseconds=1500)
# Refused calls are charged too.
RETRY_PAUSE = datetime.timedelta(milliseconds=300)

Replace = collections.abc.Callable[[list[interface.Item]], None]
Apply = collections.abc.Callable[[interface.Item | interface.Removed], None]


class Follower:
    """Lists a prefix, then watches it.

    :param replace: gets all items, first and whenever changes were missed.
    :param apply: gets each later change. A change may be repeated.
    """

    def __init__(
        self,
        *,
        storage: interface.Storage,
        prefix: str,
        clock: clocks.Clock,
        replace: Replace,
        apply: Apply,
    ):
        self.storage = storage
        self.prefix = prefix
        self.clock = clock
        self.replace = replace
        self.apply = apply
        self.revision: ids.Revision | None = None
        self.failing = False

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                if self.revision is None:
                    await self.list()
                else:
                    await self._watch()
                self._note_success()
            except exceptions.HistoryLostError as error:
                logs.emit(
                    events.StorageEvent.HISTORY_LOST,
                    prefix=self.prefix,
                    error=str(error),
                )
                self.revision = None
            except exceptions.TurmerichookError as error:
                self._note_failure(error)
                await self.clock.sleep(RETRY_PAUSE)

    async def list(self) -> None:
        """Read all items and hand them over."""
        items, revision = await interface.read_all(self.storage, self.prefix)
        self.replace(items)
        self.revision = revision

    async def _watch(self) -> None:
        changes = await self.storage.watch(
            self.prefix, after=self.revision, wait=WATCH_WAIT
        )
        for change in changes.changes:
            self.apply(change)
        self.revision = changes.revision

    def _note_failure(self, error: exceptions.TurmerichookError) -> None:
        if not self.failing:
            self.failing = True
            logs.emit(
                events.StorageEvent.FEED_LOST,
                prefix=self.prefix,
                revision=self.revision,
                error=str(error),
            )

    def _note_success(self) -> None:
        if self.failing:
            self.failing = False
            logs.emit(
                events.StorageEvent.FEED_REGAINED,
                prefix=self.prefix,
                revision=self.revision,
            )
