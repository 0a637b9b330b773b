"""Removes what nobody needs any more from the store, beside other changes."""

import datetime

from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import commits
from turmerichook._internal.dispatch import keys
from turmerichook._internal.models import ids

# Progress of final jobs is removed after this multiple of the time for which
# it must be readable, in which late copies of a submission are recognised.
RETENTION_FACTOR = 5
# Removals wait for a commit with room, and get one of their own this often.
CLEANUP_INTERVAL = datetime.timedelta(seconds=5)


class Housekeeping:
    """Removals that ride along with commits.

    :param final: final jobs and our time at which each became durable, the
        earliest first.
    :param stray_cancels: keys of cancellations of jobs that do not run.
    """

    def __init__(
        self,
        *,
        final: dict[ids.JobId, datetime.timedelta],
        stray_cancels: set[str],
        state_retention: datetime.timedelta,
        clock: clocks.Clock,
    ):
        self.final = final
        self.stray_cancels = stray_cancels
        self.retention = state_retention * RETENTION_FACTOR
        self.clock = clock
        self.cleaned = datetime.timedelta()

    def removals(self, room: int) -> list[str]:
        """Return keys to remove with a commit.

        :param room: entries that the commit has left.
        """
        now = self.clock.uptime()
        found: list[str] = []
        while self.stray_cancels and len(found) < room:
            found.append(self.stray_cancels.pop())
        rides_along = bool(found) or room < commits.ROOM
        if not rides_along and now - self.cleaned < CLEANUP_INTERVAL:
            return found
        self.cleaned = now
        while len(found) < room and self.final:
            job_id, since = next(iter(self.final.items()))
            if now - since < self.retention:
                break
            del self.final[job_id]
            found.append(keys.progress(job_id))
        return found
