"""Watches the configuration in the store on behalf of a zone."""

import asyncio
import datetime

from turmerichook._internal import clock as clocks
from turmerichook._internal.configuration import distribution
from turmerichook._internal.configuration import events as config_events
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.membership import events
from turmerichook._internal.membership import view as views
from turmerichook import exceptions

ELECTION_INTERVAL = datetime.timedelta(seconds=1)
RETRY_DELAY = datetime.timedelta(seconds=1)
# While the store is down, every process becomes a watcher and retries its
# read. All but the process with the lowest node name in each zone retry at
# this longer interval, so that 120 processes make 30 calls a second.
STANDBY_RETRY_DELAY = datetime.timedelta(seconds=4)


class Watcher:
    """Follows the configuration head in the store for the zone.

    It does so only while this process is the zone's watcher.

    :param status_changed: set when this process becomes able or unable to
        read the store, so that its peers are informed at once.
    """

    def __init__(
        self,
        *,
        view: views.View,
        subscription: distribution.Subscription,
        clock: clocks.Clock,
        status_changed: asyncio.Event,
    ):
        self.view = view
        self.subscription = subscription
        self.clock = clock
        self.status_changed = status_changed
        self.was_watching = False

    async def run(self) -> None:
        """Watch the store whenever this process is the watcher, for ever."""
        while True:
            if not self.view.is_watcher(self.clock.monotonic()):
                self.was_watching = False
                self.subscription.revision = None
                self.subscription.reads = False
                await self.clock.sleep(ELECTION_INTERVAL)
                continue
            if not self.was_watching:
                self.was_watching = True
                logs.emit(events.MembershipEvent.WATCHING)
            await self._follow()

    async def _follow(self) -> None:
        was_reading = self.subscription.reads
        try:
            await self.subscription.follow()
        except exceptions.TurmerichookError as error:
            logs.emit(
                config_events.ConfigurationEvent.STORE_UNREADABLE,
                generation=self.subscription.generation,
                error=error,
            )
            if was_reading:
                self.status_changed.set()
            has_lowest = self.view.has_lowest_name(self.clock.monotonic())
            await self.clock.sleep(
                RETRY_DELAY if has_lowest else STANDBY_RETRY_DELAY
            )
            return
        if not was_reading:
            self.status_changed.set()
