"""Writes the dispatcher's changes to the store, one commit at a time.

Waiting tasks are placed immediately before a commit, and no more of them than
the commit can hold. So the most urgent tasks are chosen as late as possible,
no task reserves room on a worker while it waits for a later commit, and
nothing is placed while the store does not answer.
"""

import asyncio
import collections.abc

from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import commits
from turmerichook._internal.dispatch import decisions
from turmerichook._internal.dispatch import dispatcher as dispatchers
from turmerichook._internal.dispatch import inherited_leases
from turmerichook._internal.dispatch import jobs
from turmerichook._internal.dispatch import keys
from turmerichook._internal.dispatch import load
from turmerichook._internal.dispatch import save_order
from turmerichook._internal.dispatch import sequence_value
from turmerichook._internal.models import ids
from turmerichook._internal.storage import interface

# Entries of each commit that are reserved for the removals by housekeeping, so
# that a backlog of changed jobs does not delay them without limit. A new list
# of silent workers takes their place.
CLEANUP_ENTRIES = 2
# Entries of each commit for snapshots of changed jobs.
SAVE_ENTRIES_MAX = commits.CHANGE_ENTRIES_MAX - CLEANUP_ENTRIES
# Number of jobs of which tasks may be placed before one commit. Each job needs
# one entry, and the entries for the oldest changes remain free.
PLACED_JOBS_MAX = SAVE_ENTRIES_MAX - save_order.oldest_entries(
    SAVE_ENTRIES_MAX
)
# Number of changed jobs from which on the next commit follows at once. Fewer
# changes are collected until the next round, so that few calls are needed at
# low load.
FOLLOW_UP_JOBS = SAVE_ENTRIES_MAX // 2


class Committer:
    """Fills and writes commits, and sends the starts that they release.

    :param inherited_leases: notes for the next leader that each commit has.
    :param place: places waiting tasks; the argument is the largest number of
        jobs they may belong to.
    :param removals: returns other keys to remove with a commit; the argument
        is the largest number of keys.
    :param send: sends a start whose assignment is durable.
    :param wake_session: called for each worker with an end that has become
        durable.
    :param changed: set to trigger a round of the leader, so that changes left
        over from a commit are written.
    """

    def __init__(
        self,
        *,
        dispatcher: dispatchers.Dispatcher,
        commit_log: commits.CommitLog,
        inherited_leases: inherited_leases.InheritedLeases | None = None,
        place: collections.abc.Callable[[int], None],
        removals: collections.abc.Callable[[int], list[str]],
        send: collections.abc.Callable[[decisions.StartOrder], None],
        wake_session: collections.abc.Callable[[ids.WorkerId], None],
        changed: asyncio.Event,
        meter: load.LoadMeter,
        clock: clocks.Clock,
    ):
        self.dispatcher = dispatcher
        self.commit_log = commit_log
        self.inherited_leases = inherited_leases
        self.place = place
        self.removals = removals
        self.send = send
        self.wake_session = wake_session
        self.changed = changed
        self.meter = meter
        self.clock = clock
        # Set when there may be tasks to place or changes to write.
        self.wake = asyncio.Event()

    async def run(self) -> None:
        """Commit until the term ends."""
        while True:
            await self.wake.wait()
            self.wake.clear()
            self.place(PLACED_JOBS_MAX)
            if not await self._commit():
                return
            if len(self.dispatcher.unsaved_jobs) >= FOLLOW_UP_JOBS:
                self.wake.set()
            elif self.dispatcher.unsaved_jobs:
                self.changed.set()

    async def _commit(self) -> bool:
        """Write one commit; return False if there is a later leader."""
        began = self.clock.monotonic()
        saves = self.dispatcher.next_saves(SAVE_ENTRIES_MAX)
        self.meter.note_hold("snapshots", self.clock.monotonic() - began)
        writes, removals = _save_entries(saves)
        notes = inherited_leases.Notes(lease_notes=sequence_value.LeaseNotes())
        if self.inherited_leases is not None:
            notes = self.inherited_leases.next_notes()
        writes += notes.writes
        removals += self.removals(
            commits.CHANGE_ENTRIES_MAX - len(writes) - len(removals)
        )
        if not writes and not removals and not notes.changed:
            return True
        remaining = len(self.dispatcher.unsaved_jobs)
        began = self.clock.monotonic()
        if not await self.commit_log.write(
            tuple(writes), tuple(removals), notes.lease_notes
        ):
            return False
        if self.inherited_leases is not None:
            self.inherited_leases.noted(notes)
        self.meter.note_commit(
            saved=len(saves),
            entries=len(writes) + len(removals),
            left=remaining,
            elapsed=self.clock.monotonic() - began,
        )
        self._send_starts(saves)
        return True

    def _send_starts(self, saves: list[jobs.JobSnapshot]) -> None:
        now = self.clock.uptime()
        for order in self.dispatcher.committed(saves, now):
            self.meter.note_release(now - order.run.progress_changed_at)
            self.send(order)
        for save in saves:
            for end in save.ends:
                self.wake_session(end.worker)


def _save_entries(
    saves: list[jobs.JobSnapshot],
) -> tuple[list[interface.Write], list[str]]:
    writes: list[interface.Write] = []
    removals: list[str] = []
    for save in saves:
        job_id = save.job.spec.job
        writes.append(
            interface.Write(key=keys.progress(job_id), value=save.value)
        )
        if save.state.final:
            removals += [keys.job(job_id), keys.cancel(job_id)]
    return writes, removals
