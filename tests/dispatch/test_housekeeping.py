"""Tests of the removal of items that are no longer needed."""

import datetime

from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import commits
from turmerichook._internal.dispatch import early_cancels
from turmerichook._internal.dispatch import housekeeping
from turmerichook._internal.dispatch import keys
from turmerichook._internal.models import ids

SECOND = datetime.timedelta(seconds=1)
RETENTION = 10 * SECOND * housekeeping.RETENTION_FACTOR


class HousekeepingFixture:
    """Housekeeping with a manual clock, and jobs that end."""

    def __init__(self):
        self.clock = clocks.ManualClock()
        self.clock.advance(RETENTION)
        self.final = {}
        self.orphaned_cancels = set()
        self.early_cancels = early_cancels.EarlyCancels(retention=10 * SECOND)
        self.housekeeping = housekeeping.Housekeeping(
            final=self.final,
            orphaned_cancels=self.orphaned_cancels,
            early_cancels=self.early_cancels,
            state_retention=10 * SECOND,
            clock=self.clock,
        )

    def end(self, count):
        """Add jobs that end now."""
        for _ in range(count):
            job = ids.JobId(f"{len(self.final):016x}")
            self.final[job] = self.clock.uptime()


class TestFinalJobs:
    """Removal of the progress of final jobs."""

    def test_removals_keep_up_with_jobs(self):
        """Guards against a store that grows because removals are too slow.

        The rates are those of large sites: 18 jobs per second, and 20 commits
        per second with two entries left in each.
        """
        fixture = HousekeepingFixture()
        fixture.end(18 * 60)
        fixture.clock.advance(RETENTION)
        for _ in range(20 * 60):
            fixture.housekeeping.removals(2)
            fixture.clock.advance(SECOND / 20)
        assert not fixture.final

    def test_idle_leader_writes_rarely(self):
        """Guards against frequent commits for removals alone.

        The store charges for each call, and the removals can wait.
        """
        fixture = HousekeepingFixture()
        for _ in range(60):
            fixture.end(1)
            fixture.clock.advance(SECOND)
        fixture.clock.advance(RETENTION - 60 * SECOND)
        calls = 0
        for _ in range(60):
            calls += bool(
                fixture.housekeeping.removals(commits.CHANGE_ENTRIES_MAX)
            )
            fixture.clock.advance(SECOND)
        assert calls <= 13

    def test_progress_is_readable_until_the_end_of_retention(self):
        """Guards against a job that runs again after a late copy arrives.

        A copy is recognised by the stored progress of the job.
        """
        fixture = HousekeepingFixture()
        fixture.end(1)
        fixture.clock.advance(RETENTION - SECOND)
        assert not fixture.housekeeping.removals(2)
        fixture.clock.advance(SECOND)
        job = ids.JobId("0" * 16)
        assert fixture.housekeeping.removals(2) == [keys.progress(job)]


class TestOrphanedCancellations:
    """Cancellations of jobs that the dispatcher does not hold."""

    def test_no_more_than_the_entries_of_a_commit(self):
        """Guards against a commit that the store refuses for its size."""
        fixture = HousekeepingFixture()
        fixture.orphaned_cancels.update(
            f"inbox/cancels/{n}" for n in range(50)
        )
        fixture.end(50)
        fixture.clock.advance(RETENTION)
        removed = fixture.housekeeping.removals(commits.CHANGE_ENTRIES_MAX)
        assert len(removed) == commits.CHANGE_ENTRIES_MAX
        assert fixture.housekeeping.removals(0) == []


class TestEarlyCancellations:
    """Cancellations of jobs that are not in the store."""

    def test_removed_after_their_retention(self):
        """Guards against a store that grows with each such cancellation."""
        fixture = HousekeepingFixture()
        for number in range(50):
            fixture.early_cancels.note(
                ids.JobId(f"{number:016x}"), fixture.clock.uptime()
            )
        removed = []
        for _ in range(60):
            removed += fixture.housekeeping.removals(
                commits.CHANGE_ENTRIES_MAX
            )
            fixture.clock.advance(SECOND)
            if fixture.clock.uptime() < RETENTION + 10 * SECOND:
                assert not removed
        assert len(removed) == len(set(removed)) == 50
