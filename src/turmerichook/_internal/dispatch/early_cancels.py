"""Cancellations of jobs that the store does not have, at least not yet.

The store may carry a submission out seconds after the process that sent it
has given up, and so after a cancellation of the job was answered.
"""

import collections.abc
import datetime

from turmerichook._internal.models import ids


class EarlyCancels:
    """Cancellations that wait for the jobs that they cancel.

    :param retention: how long a cancellation is kept. It is as long as
        callers may rely on the state of a job that was cancelled.
    :ivar noted: our time at which each cancellation was last read, the
        earliest first.
    """

    def __init__(self, *, retention: datetime.timedelta):
        self.retention = retention
        self.noted: dict[ids.JobId, datetime.timedelta] = {}

    def note(self, job: ids.JobId, now: datetime.timedelta) -> None:
        """Keep the cancellation of a job from now on."""
        self.noted.pop(job, None)
        self.noted[job] = now

    def apply(self, job: ids.JobId) -> bool:
        """Return whether a job that is there now was cancelled before.

        The cancellation then belongs to the job, and is removed from the
        store together with it.
        """
        return self.noted.pop(job, None) is not None

    def expired(
        self, now: datetime.timedelta, limit: int
    ) -> collections.abc.Iterator[ids.JobId]:
        """Drop and return cancellations that have been kept long enough.

        :param limit: largest number of them.
        """
        while limit > 0 and self.noted:
            job, since = next(iter(self.noted.items()))
            if now - since < self.retention:
                return
            del self.noted[job]
            limit -= 1
            yield job
