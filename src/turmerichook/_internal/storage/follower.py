"""Reports the items below a prefix, and their changes, to a reader."""

import collections.abc
import datetime

from turmerichook._internal import clock as clocks
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import ids
from turmerichook._internal import pauses
from turmerichook._internal.storage import events
from turmerichook._internal.storage import interface
from turmerichook import exceptions

# Longest time for which a watch waits for a change. It bounds how long changes
# go unnoticed on a connection that is open but delivers no data.
WATCH_TIMEOUT = datetime.timedelta(milliseconds=1500)
# Delay before a failed call is repeated, because the store charges refused
# calls to the client as well.
RETRY_DELAY = datetime.timedelta(milliseconds=300)

ReplaceCallback = collections.abc.Callable[
    [list[interface.Item]], collections.abc.Iterable[interface.Item]
]
HeldCallback = collections.abc.Callable[[str, datetime.timedelta], None]
ConfirmCallback = collections.abc.Callable[[datetime.timedelta], None]
ApplyCallback = collections.abc.Callable[
    [interface.Item | interface.Removed], None
]


class Follower:
    """Lists the items below a prefix, then watches for changes.

    Other tasks run between two changes if many are applied.

    :param replace: called with all items, at the start and whenever changes
        were missed. Returns them in the order in which they are applied.
    :param apply: called with each of these items and each later change. A
        change may be reported more than once. One that causes an unexpected
        error is left out.
    :param watch_timeout: longest time for which a watch waits for a change.
    :param confirm: called after each successful call with our time at which
        the call was sent. All changes made before have been reported.
    :param held: called with the key of each change and the time that its
        application took.
    """

    def __init__(
        self,
        *,
        storage: interface.Storage,
        prefix: str,
        clock: clocks.Clock,
        replace: ReplaceCallback,
        apply: ApplyCallback,
        watch_timeout: datetime.timedelta = WATCH_TIMEOUT,
        confirm: ConfirmCallback = lambda sent_at: None,
        held: HeldCallback = lambda key, elapsed: None,
    ):
        self.storage = storage
        self.prefix = prefix
        self.clock = clock
        self.replace = replace
        self.apply = apply
        self.watch_timeout = watch_timeout
        self.confirm = confirm
        self.held = held
        self.revision: ids.Revision | None = None
        self.failing = False

    async def run(self) -> None:
        """Report items and changes until cancelled."""
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
                await self.clock.sleep(RETRY_DELAY)

    async def list(self) -> None:
        """Read all items and pass them to ``replace``."""
        sent_at = self.clock.uptime()
        items, revision = await interface.read_all(self.storage, self.prefix)
        await self._apply_each(self.replace(items))
        self.revision = revision
        self.confirm(sent_at)

    async def _watch(self) -> None:
        sent_at = self.clock.uptime()
        changes = await self.storage.watch(
            self.prefix, after=self.revision, wait=self.watch_timeout
        )
        await self._apply_each(changes.changes)
        self.revision = changes.revision
        self.confirm(sent_at)

    async def _apply_each(
        self,
        changes: collections.abc.Iterable[interface.Item | interface.Removed],
    ) -> None:
        between = pauses.Pauses(self.clock)
        began = between.since
        for change in changes:
            try:
                self.apply(change)
            except Exception as error:
                logs.emit(
                    events.StorageEvent.ITEM_FAILED,
                    key=change.key,
                    revision=change.revision,
                    error=repr(error),
                )
            ended = self.clock.monotonic()
            self.held(change.key, ended - began)
            began = await between.pause(ended)

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
