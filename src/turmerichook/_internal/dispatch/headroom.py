"""Workers that are kept free of long-running tasks, as room for short ones.

Long-running tasks free their room only when their job is cancelled, and are
small against a worker. Without a limit they fill each part of each worker, and
no task that needs much of a worker fits anywhere, although the fleet as a
whole has room for it.
"""

import collections
import collections.abc
import copy
import dataclasses
import datetime
import itertools

from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import placement
from turmerichook._internal.dispatch import waiting_step
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources

# Least and largest share of a service's capacity that is kept free.
SHARE_MIN = 0.1
SHARE_MAX = 0.25
# Factor by which the room exceeds the demand of short tasks, as the last part
# of a worker is too small for most of them.
DEMAND_FACTOR = 1.3
# Time for which the highest demand of short tasks counts.
DEMAND_WINDOW = datetime.timedelta(seconds=10)
# Time without any short task after which no room is kept, and without any that
# needs accelerators after which none of these are kept. A new leader does not
# know of earlier tasks, and keeps room for as long.
IDLE_TIME = datetime.timedelta(seconds=60)
# Interval at which the demand is measured and the workers are chosen.
UPDATE_INTERVAL = datetime.timedelta(milliseconds=500)
# A worker that is kept is replaced only by one with a lower share of
# long-running tasks, by this difference.
REPLACEMENT_MARGIN = 0.1
# Largest share of the workers with the same labels that is kept.
GROUP_SHARE_MAX = 0.5
# Room is scarce when long-running tasks leave less than this multiple of what
# is to be kept. Otherwise a long-running task that fits on no other worker may
# use a kept one.
SCARCITY_FACTOR = 2

Demands = dict[ids.ServiceId, resources.Resources]


class Headroom:
    """Chooses the workers on which long-running tasks get no first run.

    :ivar kept: these workers.
    """

    def __init__(self):
        self.kept: frozenset[ids.WorkerId] = frozenset()
        self.update_at: datetime.timedelta | None = None
        # Demand of short tasks at the latest measurements, the oldest first.
        self.demands: collections.deque[tuple[datetime.timedelta, Demands]] = (
            collections.deque()
        )
        # When short tasks, and those that need accelerators, were last seen.
        self.short_seen_at: dict[ids.ServiceId, datetime.timedelta] = {}
        self.accelerators_seen_at: dict[ids.ServiceId, datetime.timedelta] = {}
        self.started_at: datetime.timedelta | None = None
        # Room that long-running tasks leave, and the room to keep.
        self.left: Demands = {}
        self.targets: Demands = {}

    def copy(self) -> "Headroom":
        """Return a copy in which tasks can be placed on trial."""
        copied = copy.copy(self)
        copied.left = dict(self.left)
        return copied

    def scarce(self, service: ids.ServiceId) -> bool:
        """Return whether long-running tasks leave little room to others."""
        target = self.targets.get(service)
        if target is None:
            return False
        left = self.left[service]
        return not target.times(SCARCITY_FACTOR).fits(left)

    def packing(self, service: ids.ServiceId) -> placement.Packing | None:
        """Return how to pack a service's tasks; None to spread them."""
        if not self.scarce(service):
            return None
        return placement.Packing(last=self.kept)

    def note_long_running(
        self, service: ids.ServiceId, amount: resources.Resources
    ) -> None:
        """Subtract the needs of a placed task from the room that is left."""
        if service in self.left:
            self.left[service] = self.left[service].minus(amount)

    def update(
        self,
        workers: collections.abc.Collection[fleet.Worker],
        steps: collections.abc.Iterable[waiting_step.WaitingStep],
        closed: collections.abc.Container[ids.ZoneId],
        now: datetime.timedelta,
    ) -> frozenset[ids.WorkerId]:
        """Choose the workers anew, if it is time.

        :param closed: zones in which no task may be placed.
        :returns: workers that are no longer kept.
        """
        if self.update_at is not None and now < self.update_at:
            return frozenset()
        self.update_at = now + UPDATE_INTERVAL
        if self.started_at is None:
            self.started_at = now
        by_service: dict[ids.ServiceId, list[fleet.Worker]] = {}
        for worker in workers:
            if _usable(worker, closed):
                by_service.setdefault(worker.entry.service, []).append(worker)
        self._measure(by_service, steps, now)
        scarce_before = {s for s in self.targets if self.scarce(s)}
        self.targets, self.left = {}, {}
        kept: set[ids.WorkerId] = set()
        for service, members in by_service.items():
            capacity = resources.total(
                worker.entry.capacity for worker in members
            )
            used = resources.total(
                worker.long_running_use for worker in members
            )
            target = self._target(service, capacity, now)
            if target == resources.NOTHING:
                continue
            self.targets[service] = target
            self.left[service] = capacity.minus(used)
            kept |= self._choose(members, target, capacity.times(SHARE_MAX))
        opened = self.kept - kept
        for service in scarce_before:
            if not self.scarce(service):
                opened |= {w.worker for w in by_service.get(service, ())}
        self.kept = frozenset(kept)
        return opened

    def _measure(
        self,
        by_service: dict[ids.ServiceId, list[fleet.Worker]],
        steps: collections.abc.Iterable[waiting_step.WaitingStep],
        now: datetime.timedelta,
    ) -> None:
        demands = {
            service: resources.total(worker.short_use for worker in members)
            for service, members in by_service.items()
        }
        for step in steps:
            if step.needs.long_running or not step.lacked_room:
                continue
            service = step.job.queue.service
            demands[service] = demands.get(service, resources.NOTHING).plus(
                step.step.committed.times(len(step.tasks))
            )
        for service, demand in demands.items():
            if demand != resources.NOTHING:
                self.short_seen_at[service] = now
            if demand.accelerators:
                self.accelerators_seen_at[service] = now
        self.demands.append((now, demands))
        while self.demands[0][0] < now - DEMAND_WINDOW:
            self.demands.popleft()

    def _target(
        self,
        service: ids.ServiceId,
        capacity: resources.Resources,
        now: datetime.timedelta,
    ) -> resources.Resources:
        """Return the room to be kept free on a service's workers."""
        seen_at = self.short_seen_at.get(service, self.started_at)
        if now - seen_at > IDLE_TIME:
            return resources.NOTHING
        peak = resources.NOTHING
        for _, demands in self.demands:
            peak = peak.greater(demands.get(service, resources.NOTHING))
        least = capacity.times(SHARE_MIN)
        seen_at = self.accelerators_seen_at.get(service, self.started_at)
        if now - seen_at > IDLE_TIME:
            least = dataclasses.replace(least, accelerators=0)
        return (
            peak.times(DEMAND_FACTOR)
            .greater(least)
            .lesser(capacity.times(SHARE_MAX))
        )

    def _choose(
        self,
        members: list[fleet.Worker],
        target: resources.Resources,
        most: resources.Resources,
    ) -> set[ids.WorkerId]:
        """Return the workers with the least long-running tasks.

        They are spread over the zones, as a zone may be lost or closed.

        :param most: limit for the room on the workers.
        """
        groups = collections.Counter(_group(worker) for worker in members)
        allowed = {
            group: int(count * GROUP_SHARE_MAX)
            for group, count in groups.items()
        }
        kept: set[ids.WorkerId] = set()
        room = resources.NOTHING
        for worker in _alternate_zones(sorted(members, key=self._rank)):
            if target.fits(room):
                break
            group = _group(worker)
            offered = worker.entry.capacity.minus(worker.long_running_use)
            lacking = target.minus(room)
            useful = offered.lesser(lacking).at_least_nothing()
            if useful == resources.NOTHING:
                continue
            with_worker = room.plus(offered)
            if not allowed[group] or not with_worker.fits(most):
                continue
            allowed[group] -= 1
            kept.add(worker.worker)
            room = with_worker
        return kept

    def _rank(self, worker: fleet.Worker) -> float:
        """Return a sort key by which workers are chosen, the lowest first."""
        share = placement.share_used(
            worker.long_running_use, worker.entry.capacity
        )
        if worker.worker in self.kept:
            share -= REPLACEMENT_MARGIN
        return share


def _alternate_zones(
    ranked: list[fleet.Worker],
) -> collections.abc.Iterator[fleet.Worker]:
    """Return the workers of each zone in order, one of each zone in turn."""
    by_zone: dict[ids.ZoneId, list[fleet.Worker]] = {}
    for worker in ranked:
        by_zone.setdefault(worker.entry.zone, []).append(worker)
    for in_turn in itertools.zip_longest(*by_zone.values()):
        yield from (worker for worker in in_turn if worker is not None)


def _usable(
    worker: fleet.Worker, closed: collections.abc.Container[ids.ZoneId]
) -> bool:
    entry = worker.entry
    return (
        entry is not None
        and worker.listed
        and entry.state is deployment.WorkerState.READY
        and entry.zone not in closed
        and worker.reachable
        and worker.report_received
    )


def _group(worker: fleet.Worker) -> collections.abc.Hashable:
    entry = worker.entry
    return entry.labels, bool(entry.capacity.accelerators)
