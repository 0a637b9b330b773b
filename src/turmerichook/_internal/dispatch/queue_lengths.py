"""Takes jobs that have begun, or never will, out of their queue's length.

The commit that accepts a job also creates an empty item below its queue's
waiting prefix, and the number of these items is the queue's length. So each
accepted job counts at once, whoever leads and however late the leader is. The
leader removes items: a length may be too high for a moment, never too low.
"""

import collections
import collections.abc
import datetime

from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import dispatcher as dispatchers
from turmerichook._internal.dispatch import events
from turmerichook._internal.dispatch import keys
from turmerichook._internal.dispatch import leadership
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.metrics import registry
from turmerichook._internal.models import ids
from turmerichook._internal.storage import interface
from turmerichook import exceptions

# A length may be 2 s old; this leaves time for a slow or lost answer.
SWEEP_INTERVAL = datetime.timedelta(milliseconds=500)
# Entries of a commit besides the condition.
CHANGES_MAX = interface.COMMIT_ENTRIES - 1


class QueueLengths:
    """Keeps the waiting items of one term up to date."""

    def __init__(
        self,
        *,
        storage: interface.Storage,
        term: leadership.Term,
        dispatcher: dispatchers.Dispatcher,
        metrics: registry.Registry,
        clock: clocks.Clock,
    ):
        self.storage = storage
        self.term = term
        self.dispatcher = dispatcher
        self.metrics = metrics
        self.clock = clock
        # When the last complete sweep began.
        self.swept = clock.uptime()

    async def run(self) -> None:
        """Sweep until the term ends."""
        while not self.term.ended.is_set():
            try:
                await self.sweep()
            except exceptions.TurmerichookError as error:
                logs.emit(
                    events.DispatchEvent.QUEUE_LENGTHS_NOT_SWEPT,
                    since_ms=self._since_ms(),
                    error=str(error),
                )
            await self.clock.wait_event(self.term.ended, SWEEP_INTERVAL)

    async def sweep(self) -> None:
        """Remove the items of all jobs that do not wait any more."""
        began = self.clock.uptime()
        unstarted = self._unstarted()
        items, _ = await interface.read_all(self.storage, keys.WAITING_PREFIX)
        listed = {keys.job_id(item.key): item.key for item in items}
        left = {job: key for job, key in listed.items() if self._waits(job)}
        gone = [key for job, key in listed.items() if job not in left]
        missing = [
            keys.waiting(queue, job)
            for job, queue in unstarted.items()
            if job not in listed
        ]
        for batch in _batches(gone):
            if not await self._commit(removals=batch):
                return
        for batch in _batches(missing):
            writes = tuple(interface.Write(key=k, value=b"") for k in batch)
            if not await self._commit(writes=writes):
                return
        self._report(left, removed=len(gone), added=len(missing))
        self.swept = began

    def _unstarted(self) -> dict[ids.JobId, ids.QueueId]:
        """Return the jobs that have certainly not begun, and their queues.

        One that has no item was accepted by an earlier version.
        """
        return {
            job_id: job.spec.queue
            for job_id, job in self.dispatcher.jobs.items()
            if not (job.progress.started or job.progress.state.final)
        }

    def _waits(self, job_id: ids.JobId) -> bool:
        """Tell whether a job may not have begun, as far as is known.

        A job that this process does not know was accepted a moment ago, or
        cannot be read.
        """
        if job_id in self.dispatcher.final:
            return False
        job = self.dispatcher.jobs.get(job_id)
        return job is None or not (job.begun or job.progress.state.final)

    async def _commit(
        self,
        *,
        writes: tuple[interface.Write, ...] = (),
        removals: tuple[str, ...] = (),
    ) -> bool:
        """Apply changes; tell whether this process still leads.

        A change without an answer may come late. That does no harm: a job
        that has begun does not wait again, and if an item comes back, the
        next sweep finds it.
        """
        outcome = await self.storage.commit(
            interface.Commit(
                expect={keys.LEADER: ids.Revision(self.term.token)},
                writes=writes,
                removals=removals,
            )
        )
        return isinstance(outcome, interface.Committed)

    def _report(
        self, left: dict[ids.JobId, str], *, removed: int, added: int
    ) -> None:
        not_taken = sum(job not in self.dispatcher.jobs for job in left)
        self.metrics.set("jobs_not_begun", len(left) + added)
        self.metrics.set("jobs_not_taken", not_taken)
        if removed or added:
            names = map(keys.waiting_name, left.values())
            logs.emit(
                events.DispatchEvent.QUEUE_LENGTHS_SWEPT,
                removed=removed,
                added=added,
                left=dict(collections.Counter(names)),
                not_taken=not_taken,
                since_ms=self._since_ms(),
            )

    def _since_ms(self) -> int:
        return (self.clock.uptime() - self.swept) // clocks.MILLISECOND


def _batches(
    changes: list[str],
) -> collections.abc.Iterator[tuple[str, ...]]:
    for first in range(0, len(changes), CHANGES_MAX):
        yield tuple(changes[first : first + CHANGES_MAX])
