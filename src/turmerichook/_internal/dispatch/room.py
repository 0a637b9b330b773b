"""Free capacity of the workers, and the changes that may have added some.

A step for which no worker had capacity is checked again only against the
workers that have changed since. With a backlog that fits on no worker, the
cost of a placement round thus grows with the number of changes instead of the
number of workers.

The workers returned are only candidates: ``obstacles.Conditions`` decides
whether a worker may run a task.
"""

import collections.abc
import datetime
import operator

from turmerichook._internal.dispatch import candidates
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import task_needs
from turmerichook._internal.models import ids

# Position of a step that has not been checked against any worker yet.
UNCHECKED = -1
# Length of the change log per worker. A step that was last checked before the
# oldest change in the log is checked against all workers.
CHANGES_KEPT_PER_WORKER = 4


class Room:
    """Free capacity of all workers, with a log of its changes.

    :ivar position: number of changes logged so far. Each step stores the
        position at which it was last checked.
    """

    def __init__(self):
        self.by_worker: dict[ids.WorkerId, candidates.Candidate] = {}
        self.zones: dict[ids.ZoneId, bool] = {}
        self.last_number = 0
        # The latest changes; ``dropped`` earlier ones are no longer in the
        # log.
        self.changes: list[candidates.Candidate] = []
        self.dropped = 0
        # Position at which the changes of this round begin.
        self.round_start = 0
        # Workers reserved for starving tasks in this round.
        self.reserved: set[ids.WorkerId] = set()
        # Number of reserved workers, and the maximum free millicores, memory
        # and accelerators on any other worker changed in this round. None
        # until computed.
        self.max_free: tuple[int, int, int, int] | None = None
        # Maximum idle millicores for fillers on any worker in this round; None
        # until computed.
        self.max_idle: float | None = None
        self.closed: collections.abc.Container[ids.ZoneId] = ()
        self.now = datetime.timedelta()

    @property
    def position(self) -> int:
        """Number of changes logged so far."""
        return self.dropped + len(self.changes)

    def update(
        self,
        workers: collections.abc.Collection[fleet.Worker],
        closed: collections.abc.Container[ids.ZoneId],
        now: datetime.timedelta,
    ) -> None:
        """Begin a round: read changed workers, and log those with capacity."""
        self.closed, self.now = closed, now
        self._trim_changes(CHANGES_KEPT_PER_WORKER * len(workers))
        self.round_start = self.position
        # Workers reserved in the last round may be open to all tasks again.
        self.changes += [
            self.by_worker[w] for w in self.reserved if w in self.by_worker
        ]
        self.reserved = set()
        self.max_free = self.max_idle = None
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

    def reopen(self, workers: collections.abc.Iterable[ids.WorkerId]) -> None:
        """Log workers as changed that more tasks may use than before."""
        self.changes += [
            self.by_worker[w] for w in workers if w in self.by_worker
        ]
        self.max_free = None

    def refresh(self, worker: fleet.Worker) -> None:
        """Read a worker again that was assigned a task in this round."""
        self._read(self.by_worker[worker.worker])
        self.max_free = None

    def may_fit(self, needs: task_needs.Needs, checked_position: int) -> bool:
        """Check quickly whether a step may fit on a changed worker.

        :param checked_position: position up to which no worker had capacity
            for the step.
        """
        if checked_position < self.round_start:
            return True
        if self.max_free is None or self.max_free[0] != len(self.reserved):
            self.max_free = (len(self.reserved), *self._max_free_of_changed())
        _, millicores, memory_mib, accelerators = self.max_free
        return (
            needs.millicores <= millicores
            and needs.memory_mib <= memory_mib
            and needs.accelerators <= accelerators
        )

    def may_fill(self, needs: task_needs.Needs) -> bool:
        """Return whether some worker may have enough idle processors."""
        if self.max_idle is None:
            all_candidates = self.by_worker.values()
            self.max_idle = max(
                (candidate.idle for candidate in all_candidates), default=0.0
            )
        return needs.idle <= self.max_idle

    def candidates_for(
        self,
        needs: task_needs.Needs,
        service: ids.ServiceId,
        checked_position: int,
    ) -> list[candidates.Candidate]:
        """Return the changed workers with capacity, in order of their numbers.

        Idle processors, which only fillers need, are not compared.

        :param checked_position: workers that have not changed since this
            position are left out, if the log still tells which ones.
        """
        changed: collections.abc.Iterable[candidates.Candidate] = (
            self.by_worker.values()
        )
        if checked_position >= self.dropped:
            changed = sorted(
                set(self.changes[checked_position - self.dropped :]),
                key=operator.attrgetter("number"),
            )
        millicores, memory_mib = needs.millicores, needs.memory_mib
        label = needs.label
        fitting: list[candidates.Candidate] = []
        for candidate in changed:
            # The cheapest comparison comes first: most workers of a busy site
            # fail it.
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
                fitting.append(candidate)
        return fitting

    def filler_candidates(
        self, needs: task_needs.Needs, service: ids.ServiceId, *, overdue: bool
    ) -> list[candidates.Candidate]:
        """Return the workers that a filler fits, whatever its interference.

        :param overdue: whether the filler may be placed on a worker without
            enough idle processors.
        """
        return [
            candidate
            for candidate in self.candidates_for(needs, service, UNCHECKED)
            if not candidate.over_target
            and (overdue or needs.idle <= candidate.idle)
        ]

    def _add(self, worker: fleet.Worker) -> candidates.Candidate:
        former = self.by_worker.pop(worker.worker, None)
        if former is not None:
            former.set_unavailable()
        self.last_number += 1
        candidate = candidates.Candidate(
            worker=worker, number=self.last_number
        )
        self.by_worker[worker.worker] = candidate
        return candidate

    def _remove(
        self, remaining: collections.abc.Container[ids.WorkerId]
    ) -> None:
        for worker_id in [w for w in self.by_worker if w not in remaining]:
            self.by_worker.pop(worker_id).set_unavailable()

    def _read(self, candidate: candidates.Candidate) -> None:
        candidate.read(self.closed, self.now)
        entry = candidate.worker.entry
        if entry is not None and entry.zone not in self.zones:
            self.zones[entry.zone] = entry.zone in self.closed

    def _trim_changes(self, length_max: int) -> None:
        surplus = len(self.changes) - length_max
        if surplus > length_max:
            del self.changes[:surplus]
            self.dropped += surplus

    def _max_free_of_changed(self) -> tuple[int, int, int]:
        """Return the maximum of each free resource on workers that changed.

        Reserved workers are left out. Without any such worker, each value is
        -1, which is less than any need.
        """
        changed_candidates = [
            candidate
            for candidate in self.changes[self.round_start - self.dropped :]
            if candidate.worker.worker not in self.reserved
        ]
        return (
            max(
                (candidate.millicores for candidate in changed_candidates),
                default=-1,
            ),
            max(
                (candidate.memory_mib for candidate in changed_candidates),
                default=-1,
            ),
            max(
                (candidate.accelerators for candidate in changed_candidates),
                default=-1,
            ),
        )
