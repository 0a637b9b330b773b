"""Makes the dispatcher's changes durable, one commit after the other.

Waiting tasks are placed right before a commit is filled, as many as it can
carry. So the most urgent ones are chosen as late as possible, no room on a
worker is held by a task that waits for a later commit, and nothing is placed
while the store does not answer.
"""

import asyncio
import collections.abc

from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import commits
from turmerichook._internal.dispatch import decisions
from turmerichook._internal.dispatch import dispatcher as dispatchers
from turmerichook._internal.dispatch import jobs
from turmerichook._internal.dispatch import keys
from turmerichook._internal.dispatch import load
from turmerichook._internal.dispatch import save_order
from turmerichook._internal.models import ids
from turmerichook._internal.storage import interface

# Entries of a commit that saves leave to what rides along, so that a backlog
# does not keep it out.
EXTRA_ROOM = 2
SAVES_ROOM = commits.ROOM - EXTRA_ROOM
# Jobs that may get tasks before one commit. Each needs one entry, and the
# changes that have waited longest must find theirs too.
PLACED_JOBS = SAVES_ROOM - save_order.oldest_room(SAVES_ROOM)
# With this many changed jobs the next commit follows at once. Fewer ones are
# gathered until the next round, so that calm times need few calls.
FOLLOW_UP_JOBS = SAVES_ROOM // 2


class Committer:
    """Fills commits, and acts on them once they are durable.

    :param place: places waiting tasks of at most this many jobs.
    :param removals: returns keys to remove besides, at most as many as there
        is room for.
    :param send: sends a start that has been released.
    :param wake_session: called for each worker with an end that is durable.
    :param changed: set when changes are left that no round will notice.
    """

    def __init__(
        self,
        *,
        dispatcher: dispatchers.Dispatcher,
        commit_log: commits.CommitLog,
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
        self.place = place
        self.removals = removals
        self.send = send
        self.wake_session = wake_session
        self.changed = changed
        self.meter = meter
        self.clock = clock
        # Set when there may be something to place or to write.
        self.wake = asyncio.Event()

    async def run(self) -> None:
        """Commit until the term ends."""
        while True:
            await self.wake.wait()
            self.wake.clear()
            self.place(PLACED_JOBS)
            if not await self._commit():
                return
            if len(self.dispatcher.dirty) >= FOLLOW_UP_JOBS:
                self.wake.set()
            elif self.dispatcher.dirty:
                self.changed.set()

    async def _commit(self) -> bool:
        """Write what has changed; tell whether the term goes on."""
        saves = self.dispatcher.next_saves(SAVES_ROOM)
        writes, removals = _save_entries(saves)
        removals += self.removals(commits.ROOM - len(writes) - len(removals))
        if not writes and not removals:
            return True
        left = len(self.dispatcher.dirty)
        began = self.clock.monotonic()
        if not await self.commit_log.write(tuple(writes), tuple(removals)):
            return False
        self.meter.note_commit(
            saved=len(saves),
            entries=len(writes) + len(removals),
            left=left,
            elapsed=self.clock.monotonic() - began,
        )
        self._release(saves)
        return True

    def _release(self, saves: list[jobs.Save]) -> None:
        now = self.clock.uptime()
        for order in self.dispatcher.committed(saves, now):
            self.meter.note_release(now - order.run.moved)
            self.send(order)
        for save in saves:
            for end in save.ends:
                self.wake_session(end.worker)


def _save_entries(
    saves: list[jobs.Save],
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
