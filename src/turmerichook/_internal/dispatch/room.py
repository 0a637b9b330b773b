"""Room on the workers, and where it has grown.

A step that found no worker need not be held against all of them again, only
against those that have changed since. In a backlog that no worker has room
for, a round of placement so costs as much as there were changes.

What is returned are candidates: whether a worker may run a task is decided by
the conditions of ``obstacles``.
"""

import collections.abc
import datetime
import operator

from turmerichook._internal.dispatch import candidates
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import task_needs
from turmerichook._internal.models import ids

# A step that has not been held against any worker yet.
UNTRIED = -1
# Changes that are kept, in units of the number of workers. A step that has
# not been tried since earlier ones is held against all workers.
CHANGES_KEPT = 4


class Room:
    """The workers' room, with a log of the changes that may have added some.

    :ivar position: the log's length, by which a step knows what it has seen.
    """

    def __init__(self):
        self.by_worker: dict[ids.WorkerId, candidates.Candidate] = {}
        self.zones: dict[ids.ZoneId, bool] = {}
        self.numbers = 0
        # The last changes; ``dropped`` earlier ones are not kept.
        self.changes: list[candidates.Candidate] = []
        self.dropped = 0
        # Where the changes of this round begin.
        self.begin = 0
        # Workers that are reserved for starving tasks in this round.
        self.reserved: set[ids.WorkerId] = set()
        # How many of them there were, and the most of each resource on any
        # other worker that has changed; None if not known.
        self.most: tuple[int, int, int, int] | None = None
        # No worker has more idle processors in this round; None if not known.
        self.most_idle: float | None = None
        self.closed: collections.abc.Container[ids.ZoneId] = ()
        self.now = datetime.timedelta()

    @property
    def position(self) -> int:
        """The number of changes so far."""
        return self.dropped + len(self.changes)

    def update(
        self,
        workers: collections.abc.Collection[fleet.Worker],
        closed: collections.abc.Container[ids.ZoneId],
        now: datetime.timedelta,
    ) -> None:
        """Begin a round: read the workers that have changed."""
        self.closed, self.now = closed, now
        self._trim(CHANGES_KEPT * len(workers))
        self.begin = self.position
        # Their room may be open to other tasks again.
        self.changes += [
            self.by_worker[w] for w in self.reserved if w in self.by_worker
        ]
        self.reserved = set()
        self.most = self.most_idle = None
        zones = {zone: zone in closed for zone in self.zones}
        read_all, self.zones = zones != self.zones, zones
        for worker in workers:
            candidate = self.by_worker.get(worker.worker)
            if candidate is None or candidate.worker is not worker:
                candidate = self._add(worker)
            elif (
                candidate.version == worker.version
                and now < candidate.recheck
                and not read_all
            ):
                continue
            self._read(candidate)
            if candidate.millicores >= 0:
                self.changes.append(candidate)
        if len(self.by_worker) > len(workers):
            self._remove({worker.worker for worker in workers})

    def refresh(self, worker: fleet.Worker) -> None:
        """Read a worker again that has got a task in this round."""
        self._read(self.by_worker[worker.worker])
        self.most = None

    def may_fit(self, needs: task_needs.Needs, tried: int) -> bool:
        """Tell quickly whether a step may fit on a changed worker.

        :param tried: position up to which no worker had room.
        """
        if tried < self.begin:
            return True
        if self.most is None or self.most[0] != len(self.reserved):
            self.most = (len(self.reserved), *self._measure())
        _, millicores, memory_mib, accelerators = self.most
        return (
            needs.millicores <= millicores
            and needs.memory_mib <= memory_mib
            and needs.accelerators <= accelerators
        )

    def may_fill(self, needs: task_needs.Needs) -> bool:
        """Tell quickly whether some worker has idle processors enough."""
        if self.most_idle is None:
            found = self.by_worker.values()
            self.most_idle = max(
                (candidate.idle for candidate in found), default=0.0
            )
        return needs.idle <= self.most_idle

    def candidates_for(
        self, needs: task_needs.Needs, service: ids.ServiceId, tried: int
    ) -> list[candidates.Candidate]:
        """Return workers with room that have changed, in a steady order.

        Idle processors, which only fillers ask for, are not looked at.
        """
        changed: collections.abc.Iterable[candidates.Candidate] = (
            self.by_worker.values()
        )
        if tried >= self.dropped:
            changed = sorted(
                set(self.changes[tried - self.dropped :]),
                key=operator.attrgetter("number"),
            )
        millicores, memory_mib = needs.millicores, needs.memory_mib
        label = needs.label
        found: list[candidates.Candidate] = []
        for candidate in changed:
            # Most workers of a busy fleet fail the first comparison.
            if (
                millicores > candidate.millicores
                or memory_mib > candidate.memory_mib
            ):
                continue
            entry = candidate.worker.entry
            if needs.accelerators > candidate.accelerators:
                continue
            if entry.service == service and (
                not label or label in entry.labels
            ):
                found.append(candidate)
        return found

    def filler_candidates(
        self, needs: task_needs.Needs, service: ids.ServiceId, *, overdue: bool
    ) -> list[candidates.Candidate]:
        """Return all workers that a filler may go to, its harm apart.

        :param overdue: whether it may go where nothing is idle.
        """
        return [
            candidate
            for candidate in self.candidates_for(needs, service, UNTRIED)
            if not candidate.hot and (overdue or needs.idle <= candidate.idle)
        ]

    def _add(self, worker: fleet.Worker) -> candidates.Candidate:
        former = self.by_worker.pop(worker.worker, None)
        if former is not None:
            former.close()
        self.numbers += 1
        candidate = candidates.Candidate(worker=worker, number=self.numbers)
        self.by_worker[worker.worker] = candidate
        return candidate

    def _remove(self, left: collections.abc.Container[ids.WorkerId]) -> None:
        for worker_id in [w for w in self.by_worker if w not in left]:
            self.by_worker.pop(worker_id).close()

    def _read(self, candidate: candidates.Candidate) -> None:
        candidate.read(self.closed, self.now)
        entry = candidate.worker.entry
        if entry is not None and entry.zone not in self.zones:
            self.zones[entry.zone] = entry.zone in self.closed

    def _trim(self, kept: int) -> None:
        surplus = len(self.changes) - kept
        if surplus > kept:
            del self.changes[:surplus]
            self.dropped += surplus

    def _measure(self) -> tuple[int, int, int]:
        """Return the most of each resource on a worker that has changed."""
        found = [
            candidate
            for candidate in self.changes[self.begin - self.dropped :]
            if candidate.worker.worker not in self.reserved
        ]
        return (
            max((candidate.millicores for candidate in found), default=-1),
            max((candidate.memory_mib for candidate in found), default=-1),
            max((candidate.accelerators for candidate in found), default=-1),
        )
