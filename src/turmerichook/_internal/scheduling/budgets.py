"""Limits on the rate of evictions, for each zone and each job."""

import collections
import datetime

from turmerichook._internal.models import ids

ZONE_WINDOW = datetime.timedelta(seconds=60)
# A zone may evict this share of its running batch tasks within the window.
ZONE_EVICTION_SHARE = 0.02
# Lower bound of a zone's limit, since the share of a small zone is near zero.
ZONE_MIN_EVICTIONS = 3
JOB_WINDOW = datetime.timedelta(seconds=600)
JOB_MAX_EVICTIONS = 3


class EvictionBudget:
    """Counts granted evictions in sliding windows.

    Only granted evictions are stored, and those outside of their window are
    dropped, so the zone's limit also bounds the memory.
    """

    def __init__(self):
        self.zone_evictions: collections.deque[datetime.timedelta] = (
            collections.deque()
        )
        self.job_evictions: collections.OrderedDict[
            ids.JobId, collections.deque[datetime.timedelta]
        ] = collections.OrderedDict()

    def try_consume(
        self, job: ids.JobId, now: datetime.timedelta, running: int
    ) -> bool:
        """Count an eviction if the zone's and the job's limit allow it.

        :param running: number of running batch tasks in the zone.
        :returns: whether the eviction is granted.
        """
        self._expire(now)
        job_evictions = self.job_evictions.get(job, ())
        if (
            len(self.zone_evictions) >= zone_limit(running)
            or len(job_evictions) >= JOB_MAX_EVICTIONS
        ):
            return False
        self.zone_evictions.append(now)
        self.job_evictions.setdefault(job, collections.deque()).append(now)
        self.job_evictions.move_to_end(job)
        return True

    def _expire(self, now: datetime.timedelta) -> None:
        while (
            self.zone_evictions and now - self.zone_evictions[0] >= ZONE_WINDOW
        ):
            self.zone_evictions.popleft()
        for times in self.job_evictions.values():
            while times and now - times[0] >= JOB_WINDOW:
                times.popleft()
        # Jobs are ordered by their newest eviction, so jobs without any
        # eviction in the window come first.
        while self.job_evictions:
            job, times = next(iter(self.job_evictions.items()))
            if times:
                break
            del self.job_evictions[job]


def zone_limit(running: int) -> int:
    """Return how many evictions a zone may grant within ``ZONE_WINDOW``.

    :param running: number of running batch tasks in the zone.
    """
    return max(ZONE_MIN_EVICTIONS, int(running * ZONE_EVICTION_SHARE))
