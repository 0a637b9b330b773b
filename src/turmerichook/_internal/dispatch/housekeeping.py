"""Removal of items from the store that are no longer needed."""

import datetime

from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import commits
from turmerichook._internal.dispatch import early_cancels
from turmerichook._internal.dispatch import keys
from turmerichook._internal.models import ids

# The progress of a final job is removed after this multiple of the time for
# which it must remain readable. Until then, a late copy of the job's
# submission is recognised and not run again.
RETENTION_FACTOR = 5
# Removals of progress wait for a commit with other changes. If there is none,
# a commit for the removals alone is written at most this often.
CLEANUP_INTERVAL = datetime.timedelta(seconds=5)


class Housekeeping:
    """Selects keys to remove in commits that have entries left.

    :param final: final jobs and our time at which each final state became
        durable, the earliest first.
    :param orphaned_cancels: keys of cancellations of final jobs.
    :param early_cancels: cancellations that wait for their jobs; they are
        removed at the end of their retention.
    """

    def __init__(
        self,
        *,
        final: dict[ids.JobId, datetime.timedelta],
        orphaned_cancels: set[str],
        early_cancels: early_cancels.EarlyCancels,
        state_retention: datetime.timedelta,
        clock: clocks.Clock,
    ):
        self.final = final
        self.orphaned_cancels = orphaned_cancels
        self.early_cancels = early_cancels
        self.retention = state_retention * RETENTION_FACTOR
        self.clock = clock
        self.last_cleanup_at = datetime.timedelta()

    def removals(self, entry_limit: int) -> list[str]:
        """Return keys to remove with a commit.

        :param entry_limit: number of entries that are left in the commit.
        """
        now = self.clock.uptime()
        selected: list[str] = []
        while self.orphaned_cancels and len(selected) < entry_limit:
            selected.append(self.orphaned_cancels.pop())
        shares_commit = (
            bool(selected) or entry_limit < commits.CHANGE_ENTRIES_MAX
        )
        if not shares_commit and now - self.last_cleanup_at < CLEANUP_INTERVAL:
            return selected
        self.last_cleanup_at = now
        while len(selected) < entry_limit and self.final:
            job_id, since = next(iter(self.final.items()))
            if now - since < self.retention:
                break
            del self.final[job_id]
            selected.append(keys.progress(job_id))
        remaining = entry_limit - len(selected)
        selected += map(
            keys.cancel, self.early_cancels.expired(now, remaining)
        )
        return selected
