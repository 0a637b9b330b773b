"""Budgets that bound evictions in a zone and of a job."""

import collections
import datetime

from turmerichook._internal.models import ids

ZONE_WINDOW = datetime.timedelta(seconds=60)
# Evictions in a zone within the window: a share of the running batch tasks,
# and a few in a small zone.
ZONE_SHARE = 0.02
ZONE_LEAST = 3
JOB_WINDOW = datetime.timedelta(seconds=600)
JOB_LIMIT = 3


class EvictionBudget:
    """Counts evictions in sliding windows.

    Entries outside their window are dropped, and an entry exists only for a
    granted eviction, so the zone's limit bounds the memory too.
    """

    def __init__(self):
        self.zone: collections.deque[datetime.timedelta] = collections.deque()
        self.jobs: collections.OrderedDict[
            ids.JobId, collections.deque[datetime.timedelta]
        ] = collections.OrderedDict()

    def take(
        self, job: ids.JobId, now: datetime.timedelta, running: int
    ) -> bool:
        """Count one eviction if both budgets allow it.

        :param running: batch tasks that run in the zone.
        :returns: whether the eviction is allowed.
        """
        self._expire(now)
        spent = self.jobs.get(job, ())
        if len(self.zone) >= zone_limit(running) or len(spent) >= JOB_LIMIT:
            return False
        self.zone.append(now)
        self.jobs.setdefault(job, collections.deque()).append(now)
        self.jobs.move_to_end(job)
        return True

    def _expire(self, now: datetime.timedelta) -> None:
        while self.zone and now - self.zone[0] >= ZONE_WINDOW:
            self.zone.popleft()
        for times in self.jobs.values():
            while times and now - times[0] >= JOB_WINDOW:
                times.popleft()
        # The order is that of the newest eviction, so empty ones come first.
        while self.jobs:
            job, times = next(iter(self.jobs.items()))
            if times:
                break
            del self.jobs[job]


def zone_limit(running: int) -> int:
    """Return the evictions allowed in a zone within its window."""
    return max(ZONE_LEAST, int(running * ZONE_SHARE))
