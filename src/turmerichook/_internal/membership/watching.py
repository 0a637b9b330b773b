"""Watching the store's configuration for a whole zone."""

import asyncio
import datetime

from turmerichook._internal import clock as clocks
from turmerichook._internal.configuration import distribution
from turmerichook._internal.configuration import events as config_events
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.membership import events
from turmerichook._internal.membership import view as views
from turmerichook import exceptions

ELECTION_STEP = datetime.timedelta(seconds=1)
RETRY_DELAY = datetime.timedelta(seconds=1)
# In an outage of the store all processes try it. Those that are not first in
# their zone try less often, so that 120 processes make 30 calls a second.
LATER_RETRY_DELAY = datetime.timedelta(seconds=4)


class Watcher:
    """Follows the store's head while no peer of the zone does.

    :param changed: set when peers should hear at once whether this process
        reads the store.
    """

    def __init__(
        self,
        *,
        view: views.View,
        subscription: distribution.Subscription,
        clock: clocks.Clock,
        changed: asyncio.Event,
    ):
        self.view = view
        self.subscription = subscription
        self.clock = clock
        self.changed = changed
        self.was_watching = False

    async def run(self) -> None:
        """Watch while this process is the one to do so, for ever."""
        while True:
            if not self.view.watches(self.clock.monotonic()):
                self.was_watching = False
                self.subscription.revision = None
                self.subscription.reads = False
                await self.clock.sleep(ELECTION_STEP)
                continue
            if not self.was_watching:
                self.was_watching = True
                logs.emit(events.MembershipEvent.WATCHING)
            await self._follow()

    async def _follow(self) -> None:
        before = self.subscription.reads
        try:
            await self.subscription.follow()
        except exceptions.TurmerichookError as error:
            logs.emit(
                config_events.ConfigurationEvent.STORE_UNREADABLE,
                generation=self.subscription.generation,
                error=error,
            )
            if before:
                self.changed.set()
            first = self.view.is_first(self.clock.monotonic())
            await self.clock.sleep(RETRY_DELAY if first else LATER_RETRY_DELAY)
            return
        if not before:
            self.changed.set()
