"""How much the leader does, and how far it is behind.

One log line a second tells a leader that lacks processor time from one that
waits for the store, and both from a site that is full.
"""

import datetime

from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import events
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.metrics import registry

REPORT_INTERVAL = datetime.timedelta(seconds=1)
ZERO = datetime.timedelta()


class LoadMeter:
    """Counts a leader's work between two reports."""

    def __init__(self, *, metrics: registry.Registry, clock: clocks.Clock):
        self.metrics = metrics
        self.clock = clock
        self.since = clock.monotonic()
        self.processor_since = clock.processor_time()
        self._clear()

    def _clear(self) -> None:
        self.rounds = 0
        self.placements = 0
        self.placed = 0
        self.limited = 0
        self.placing = ZERO
        self.commits = 0
        self.saved = 0
        self.entries = 0
        self.full_commits = 0
        self.committing = ZERO
        self.longest_commit = ZERO
        self.released = 0
        self.waited = ZERO
        self.longest_wait = ZERO

    def note_round(self) -> None:
        """Count one round."""
        self.rounds += 1

    def note_placement(
        self, placed: int, limited: bool, elapsed: datetime.timedelta
    ) -> None:
        """Count one placement.

        :param limited: whether it stopped at the limit of tasks or of jobs.
        """
        self.placements += 1
        self.placed += placed
        self.limited += limited
        self.placing += elapsed
        self.metrics.observe("placement_seconds", elapsed.total_seconds())

    def note_commit(
        self,
        *,
        saved: int,
        entries: int,
        left: int,
        elapsed: datetime.timedelta,
    ) -> None:
        """Count one commit.

        :param left: changed jobs that it did not carry.
        """
        self.commits += 1
        self.saved += saved
        self.entries += entries
        self.full_commits += left > 0
        self.committing += elapsed
        self.longest_commit = max(self.longest_commit, elapsed)
        self.metrics.observe("commit_seconds", elapsed.total_seconds())

    def note_release(self, waited: datetime.timedelta) -> None:
        """Count one start, which waited for so long since its placement."""
        self.released += 1
        self.waited += waited
        self.longest_wait = max(self.longest_wait, waited)
        self.metrics.observe("release_seconds", waited.total_seconds())

    def report(
        self,
        *,
        jobs: int,
        waiting: int,
        unsaved: int,
        unsaved_for: datetime.timedelta,
        orders: int,
    ) -> None:
        """Write the log line when it is due.

        :param unsaved: jobs whose progress waits for a commit.
        :param unsaved_for: how long the first of them has waited.
        :param orders: orders for workers that are under way.
        """
        elapsed = self.clock.monotonic() - self.since
        self.metrics.set("waiting_tasks", waiting)
        self.metrics.set("jobs_live", jobs)
        self.metrics.set("unsaved_jobs", unsaved)
        self.metrics.set("unsaved_seconds", unsaved_for.total_seconds())
        if elapsed < REPORT_INTERVAL:
            return
        processor = self.clock.processor_time() - self.processor_since
        logs.emit(
            events.DispatchEvent.LEADER_LOAD,
            period_ms=elapsed // clocks.MILLISECOND,
            processor_ms=processor // clocks.MILLISECOND,
            rounds=self.rounds,
            placements=self.placements,
            placed=self.placed,
            limited=self.limited,
            placing_ms=self.placing // clocks.MILLISECOND,
            commits=self.commits,
            saved=self.saved,
            entries=self.entries,
            full_commits=self.full_commits,
            committing_ms=self.committing // clocks.MILLISECOND,
            longest_commit_ms=self.longest_commit // clocks.MILLISECOND,
            released=self.released,
            release_ms=self.waited
            // max(self.released, 1)
            // clocks.MILLISECOND,
            longest_release_ms=self.longest_wait // clocks.MILLISECOND,
            jobs=jobs,
            waiting=waiting,
            unsaved=unsaved,
            unsaved_ms=unsaved_for // clocks.MILLISECOND,
            orders=orders,
        )
        self._reset()

    def _reset(self) -> None:
        self.since = self.clock.monotonic()
        self.processor_since = self.clock.processor_time()
        self._clear()
