"""Tests of what a leader removes from the store."""

import datetime

from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import commits
from turmerichook._internal.dispatch import housekeeping
from turmerichook._internal.dispatch import keys
from turmerichook._internal.models import ids

SECOND = datetime.timedelta(seconds=1)
RETENTION = 10 * SECOND * housekeeping.RETENTION_FACTOR


class Store:
    """Housekeeping of jobs that end one after the other."""

    def __init__(self):
        self.clock = clocks.ManualClock()
        self.clock.advance(RETENTION)
        self.final = {}
        self.stray = set()
        self.housekeeping = housekeeping.Housekeeping(
            final=self.final,
            orphaned_cancels=self.stray,
            state_retention=10 * SECOND,
            clock=self.clock,
        )

    def end(self, count):
        """Let jobs end."""
        for _ in range(count):
            job = ids.JobId(f"{len(self.final):016x}")
            self.final[job] = self.clock.uptime()


class TestFinalJobs:
    """Progress of jobs that have ended long ago."""

    def test_removals_keep_up_with_jobs(self):
        """Guards against a store that grows with each job.

        At the grown sites' rate of 18 jobs a second, and 20 commits a second
        that have two entries left.
        """
        store = Store()
        store.end(18 * 60)
        store.clock.advance(RETENTION)
        for _ in range(20 * 60):
            store.housekeeping.removals(2)
            store.clock.advance(SECOND / 20)
        assert not store.final

    def test_idle_leader_writes_seldom(self):
        """Guards against calls that are priced and could wait."""
        store = Store()
        for _ in range(60):
            store.end(1)
            store.clock.advance(SECOND)
        store.clock.advance(RETENTION - 60 * SECOND)
        calls = 0
        for _ in range(60):
            calls += bool(
                store.housekeeping.removals(commits.CHANGE_ENTRIES_MAX)
            )
            store.clock.advance(SECOND)
        assert calls <= 13

    def test_readable_for_long(self):
        """Guards against a late copy of a job that is run again."""
        store = Store()
        store.end(1)
        store.clock.advance(RETENTION - SECOND)
        assert not store.housekeeping.removals(2)
        store.clock.advance(SECOND)
        job = ids.JobId("0" * 16)
        assert store.housekeeping.removals(2) == [keys.progress(job)]


class TestStrayCancellations:
    """Cancellations of jobs that do not run."""

    def test_no_more_than_there_is_room(self):
        """Guards against a commit that the store refuses for its size."""
        store = Store()
        store.stray.update(f"inbox/cancels/{n}" for n in range(50))
        store.end(50)
        store.clock.advance(RETENTION)
        found = store.housekeeping.removals(commits.CHANGE_ENTRIES_MAX)
        assert len(found) == commits.CHANGE_ENTRIES_MAX
        assert store.housekeeping.removals(0) == []
