"""Removes jobs that no longer wait from the length of their queue.

The commit that accepts a job also creates an empty item under its queue's
waiting prefix, and the number of these items is the length of the queue. So an
accepted job counts at once, even if there is no leader or the leader has not
read the job yet. The leader removes an item only once its job has begun or is
final. A length may therefore be too high for a moment, but never too low.
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

# A length may be 2 s out of date, so that a sweep may be slow or fail and
# still be repeated in time.
SWEEP_INTERVAL = datetime.timedelta(milliseconds=500)
# Entries of each commit for changes, besides the condition.
CHANGES_MAX = interface.COMMIT_ENTRIES - 1


class QueueLengths:
    """Updates the items of waiting jobs during one term."""

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
        # Our time at which the last complete sweep began.
        self.last_sweep_at = clock.uptime()

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
        """Remove the items of jobs that no longer wait; add missing items."""
        began = self.clock.uptime()
        unstarted = self._unstarted()
        items, _ = await interface.read_all(self.storage, keys.WAITING_PREFIX)
        stored_keys = {keys.job_id(item.key): item.key for item in items}
        still_waiting = {
            job: key for job, key in stored_keys.items() if self._may_wait(job)
        }
        no_longer_waiting = [
            key for job, key in stored_keys.items() if job not in still_waiting
        ]
        missing = [
            keys.waiting(queue, job)
            for job, queue in unstarted.items()
            if job not in stored_keys
        ]
        for batch in _batches(no_longer_waiting):
            if not await self._commit(removals=batch):
                return
        for batch in _batches(missing):
            writes = tuple(interface.Write(key=k, value=b"") for k in batch)
            if not await self._commit(writes=writes):
                return
        self._report(
            still_waiting, removed=len(no_longer_waiting), added=len(missing)
        )
        self.last_sweep_at = began

    def _unstarted(self) -> dict[ids.JobId, ids.QueueId]:
        """Return the jobs that have certainly not begun, and their queues.

        Such a job without an item was accepted by an earlier version of this
        software, which did not create items.
        """
        return {
            job_id: job.spec.queue
            for job_id, job in self.dispatcher.jobs.items()
            if not (job.progress.any_assigned or job.progress.state.final)
        }

    def _may_wait(self, job_id: ids.JobId) -> bool:
        """Tell whether a job may still wait.

        A job that the dispatcher does not hold was accepted a moment ago, or
        cannot be decoded; its item is kept.
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
        """Commit changes; tell whether this process is still the leader.

        A commit whose answer was lost may take effect later. That does no
        harm: a job that has begun does not wait again, and an item that is
        created too late is removed by the next sweep.
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
        self, still_waiting: dict[ids.JobId, str], *, removed: int, added: int
    ) -> None:
        not_taken = sum(
            job not in self.dispatcher.jobs for job in still_waiting
        )
        self.metrics.set("jobs_not_begun", len(still_waiting) + added)
        self.metrics.set("jobs_not_taken", not_taken)
        if removed or added:
            names = map(keys.waiting_name, still_waiting.values())
            logs.emit(
                events.DispatchEvent.QUEUE_LENGTHS_SWEPT,
                removed=removed,
                added=added,
                left=dict(collections.Counter(names)),
                not_taken=not_taken,
                since_ms=self._since_ms(),
            )

    def _since_ms(self) -> int:
        return (self.clock.uptime() - self.last_sweep_at) // clocks.MILLISECOND


def _batches(
    changes: list[str],
) -> collections.abc.Iterator[tuple[str, ...]]:
    for first in range(0, len(changes), CHANGES_MAX):
        yield tuple(changes[first : first + CHANGES_MAX])
