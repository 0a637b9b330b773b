"""Reasons why a task is not placed on a worker."""

import collections.abc
import dataclasses
import datetime
import enum
import functools

from turmerichook._internal.dispatch import fleet
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.workflow import model


class Obstacle(enum.Enum):
    """Reason why a task is not placed on a worker, as it is logged."""

    NOT_LISTED = "not-listed"
    NOT_APPROVED = "not-approved"
    OTHER_KIND = "other-kind"
    ENTRY_OUTDATED = "entry-outdated"
    ZONE_CLOSED = "zone-closed"
    LEAVING = "leaving"
    OUT_OF_REACH = "out-of-reach"
    UNKNOWN_DEMAND = "unknown-demand"
    HAS_REFUSED = "has-refused"
    SUSPECTED = "suspected"
    ON_PROBATION = "on-probation"
    ENOUGH_OF_STEP = "enough-of-step"
    RESERVED = "reserved"
    KEPT_FOR_SHORT = "kept-for-short-tasks"
    NO_PROCESSORS = "no-processors"
    NO_MEMORY = "no-memory"
    NO_ACCELERATORS = "no-accelerators"
    NO_IDLE_PROCESSORS = "no-idle-processors"
    SLOWS_SERVICES = "slows-services"


SHORTAGES = frozenset(
    (
        Obstacle.NO_PROCESSORS,
        Obstacle.NO_MEMORY,
        Obstacle.NO_ACCELERATORS,
    )
)


def worker_obstacle(
    worker: fleet.Worker,
    closed: collections.abc.Container[ids.ZoneId],
    now: datetime.timedelta,
) -> Obstacle | None:
    """Return why a worker must not get any task, or None if it may.

    :param closed: zones in which no task may be placed.
    """
    entry = worker.entry
    if entry is None or not worker.listed:
        return Obstacle.NOT_LISTED
    if worker.entry_outdated:
        return Obstacle.ENTRY_OUTDATED
    if entry.zone in closed:
        return Obstacle.ZONE_CLOSED
    if entry.state is not deployment.WorkerState.READY:
        return Obstacle.LEAVING
    if not worker.report_received or not worker.reachable:
        return Obstacle.OUT_OF_REACH
    if worker.unknown_demands:
        return Obstacle.UNKNOWN_DEMAND
    if now < worker.no_room_until:
        return Obstacle.HAS_REFUSED
    if worker.suspected and now < worker.suspended_until:
        return Obstacle.SUSPECTED
    if worker.probation is not None:
        return Obstacle.ON_PROBATION
    return None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Conditions:
    """Conditions that a worker must meet to get a task of one step.

    :param service: service that the worker must belong to.
    :param closed: zones in which no task may be placed.
    :param approved: workers that the policy of the step's queue allows, or
        None if the policy allows all workers.
    :param on_worker: number of tasks of the step and occurrence already on
        each worker.
    """

    step: model.Step
    service: ids.ServiceId
    closed: collections.abc.Container[ids.ZoneId]
    approved: collections.abc.Container[ids.WorkerId] | None
    on_worker: collections.abc.Mapping[ids.WorkerId, int]
    now: datetime.timedelta

    def obstacle(self, worker: fleet.Worker) -> Obstacle | None:
        """Return why a worker must not get a task of the step, or None."""
        entry, step = worker.entry, self.step
        if self.approved is not None and worker.worker not in self.approved:
            return Obstacle.NOT_APPROVED
        if entry is None or not worker.listed:
            return Obstacle.NOT_LISTED
        if not entry.is_of_kind(self.service, step.label):
            return Obstacle.OTHER_KIND
        general_obstacle = worker_obstacle(worker, self.closed, self.now)
        if general_obstacle is not None:
            return general_obstacle
        limit = step.max_per_worker
        if limit and self.on_worker.get(worker.worker, 0) >= limit:
            return Obstacle.ENOUGH_OF_STEP
        return self._shortage(worker)

    def lacks_only_room(self, worker: fleet.Worker) -> bool:
        """Return whether a worker only lacks free capacity for a task.

        False if the task would not fit on the worker even once all but the
        long-running tasks have ended: these end only with their job.
        """
        return (
            self.obstacle(worker) in SHORTAGES
            and self._fits(worker)
            and self.committed.plus(worker.long_running_use).fits(
                worker.entry.capacity
            )
        )

    def allow(self, worker: fleet.Worker) -> bool:
        """Return whether a worker fits a task now or once it is less full."""
        obstacle = self.obstacle(worker)
        return (obstacle is None or obstacle in SHORTAGES) and self._fits(
            worker
        )

    @functools.cached_property
    def committed(self) -> resources.Resources:
        """Resources that a task takes of a worker's capacity."""
        return self.step.committed

    def _fits(self, worker: fleet.Worker) -> bool:
        return self.committed.fits(worker.entry.capacity)

    def _shortage(self, worker: fleet.Worker) -> Obstacle | None:
        used, needed = worker.used, self.committed
        capacity = worker.entry.capacity
        if used.millicores + needed.millicores > capacity.millicores:
            return Obstacle.NO_PROCESSORS
        if used.memory_mib + needed.memory_mib > capacity.memory_mib:
            return Obstacle.NO_MEMORY
        if used.accelerators + needed.accelerators > capacity.accelerators:
            return Obstacle.NO_ACCELERATORS
        return None
