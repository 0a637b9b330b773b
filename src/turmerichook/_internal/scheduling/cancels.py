"""Cancellations in the store, as the owner of one zone follows them."""

import datetime

from turmerichook._internal import clock as clocks
from turmerichook._internal.models import ids
from turmerichook._internal.models import site
from turmerichook._internal.providers import store as stores
from turmerichook._internal.scheduling import feeds
from turmerichook._internal.scheduling import job_board
from turmerichook._internal.scheduling import jobs
from turmerichook import exceptions

DISCARD_INTERVAL = datetime.timedelta(seconds=60)


class CancelBook:
    """Batches of cancelled jobs by their store keys."""

    def __init__(
        self,
        *,
        zone: ids.ZoneId,
        board: job_board.JobBoard,
        store: stores.Store,
        clock: clocks.Clock,
    ):
        self.zone = zone
        self.board = board
        self.store = store
        self.clock = clock
        self.batches: dict[str, tuple[jobs.Cancellation, ids.Version]] = {}
        self.known = False

    def apply(self, message: feeds.CancelsChanged) -> None:
        """Take over what the store holds."""
        for key, (cancellation, version) in message.found.items():
            self.batches[key] = (cancellation, version)
            self.board.cancel(cancellation.jobs)
        gone = set(message.removed)
        if message.all_cancels:
            gone |= self.batches.keys() - message.found.keys()
            self.known = True
        for key in gone:
            batch = self.batches.pop(key, None)
            if batch is not None:
                self.board.forget_cancellations(batch[0].jobs)

    async def discard_expired(self, configuration: site.Configuration) -> None:
        """Delete batches older than 24 h; one zone's owner does so."""
        if self.zone != min(configuration.zones, default=None):
            return
        now = self.clock.now()
        for key, (batch, version) in list(self.batches.items()):
            if not jobs.older_than(batch.created, jobs.RETENTION, now):
                continue
            try:
                await self.store.delete(key, expect=version)
            except exceptions.StoreError:
                # It is tried again at the next interval.
                return
