"""Applies job cancellations from the store to the jobs of one zone."""

import datetime

from turmerichook._internal import clock as clocks
from turmerichook._internal.models import ids
from turmerichook._internal.models import site
from turmerichook._internal.providers import store as stores
from turmerichook._internal.scheduling import feeds
from turmerichook._internal.scheduling import job_board
from turmerichook._internal.scheduling import jobs
from turmerichook import exceptions

# How often expired cancellations are deleted from the store.
DISCARD_INTERVAL = datetime.timedelta(seconds=60)


class CancellationTracker:
    """Keeps the cancellations in the store by their keys.

    Each cancellation names one or more jobs. ``loaded`` is set once all
    cancellations in the store have been read.
    """

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
        self.cancellations: dict[
            str, tuple[jobs.Cancellation, ids.Version]
        ] = {}
        self.loaded = False

    def apply(self, message: feeds.CancelsChanged) -> None:
        """Apply cancellations that were added to or removed from the store."""
        for key, (cancellation, version) in message.cancellations.items():
            self.cancellations[key] = (cancellation, version)
            self.board.cancel(cancellation.jobs)
        removed = set(message.removed)
        if message.all_cancels:
            removed |= self.cancellations.keys() - message.cancellations.keys()
            self.loaded = True
        for key in removed:
            entry = self.cancellations.pop(key, None)
            if entry is not None:
                self.board.forget_cancellations(entry[0].jobs)

    async def discard_expired(self, configuration: site.Configuration) -> None:
        """Delete cancellations older than 24 h from the store.

        All zones share the cancellations, so only the owner of the zone whose
        name sorts first deletes them.
        """
        if self.zone != min(configuration.zones, default=None):
            return
        now = self.clock.now()
        for key, (cancellation, version) in list(self.cancellations.items()):
            if not jobs.older_than(cancellation.created, jobs.RETENTION, now):
                continue
            try:
                await self.store.delete(key, expect=version)
            except exceptions.StoreError:
                # The next call, one DISCARD_INTERVAL later, tries again.
                return
