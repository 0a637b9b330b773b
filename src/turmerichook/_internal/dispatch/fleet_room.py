"""Use of the workers' processors, and waiting tasks that fit on no worker.

The difference between the free processors in all and the largest free part on
one worker shows whether tasks wait because the fleet is full, or because what
is free is scattered.
"""

import collections.abc
import dataclasses
import datetime

from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import obstacles
from turmerichook._internal.dispatch import waiting_step
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetRoom:
    """Use of all workers that may get tasks; amounts are in millicores.

    :param short: used by tasks that end and count against the capacity.
    :param fillers: requested by fillers, which use idle processors only.
    :param free: not committed to any task, over all workers.
    :param largest_free: the most of each resource that is free on a worker.
    :param waiting_short: requested by the waiting tasks that end and count
        against the capacity.
    :param blocked_steps: number of steps with such tasks that need more of
        some resource than is free on any worker.
    :param blocked: requested by the tasks of these steps.
    :param waiting_long_running: requested by waiting long-running tasks.
    """

    workers: int
    capacity: int
    long_running: int
    short: int
    fillers: int
    free: int
    largest_free: resources.Resources
    waiting_short: int
    blocked_steps: int
    blocked: int
    waiting_long_running: int


def measure(
    workers: collections.abc.Iterable[fleet.Worker],
    steps: collections.abc.Iterable[waiting_step.WaitingStep],
    closed: collections.abc.Container[ids.ZoneId],
    now: datetime.timedelta,
) -> FleetRoom:
    """Return the use of the workers and what the waiting steps lack.

    :param closed: zones in which no task may be placed.
    """
    count = capacity = long_running = short = fillers = free = 0
    largest_free = resources.NOTHING
    for worker in workers:
        if obstacles.worker_obstacle(worker, closed, now) is not None:
            continue
        count += 1
        capacity += worker.entry.capacity.millicores
        long_running += worker.long_running_use.millicores
        short += worker.short_use.millicores
        fillers += worker.filler_millicores
        free_on_worker = worker.entry.capacity.minus(worker.used)
        free += free_on_worker.millicores
        largest_free = largest_free.greater(free_on_worker)
    waiting_short = blocked_steps = blocked = waiting_long_running = 0
    for step in steps:
        committed = step.step.committed
        requested = len(step.tasks) * committed.millicores
        if step.needs.long_running:
            waiting_long_running += requested
        elif not step.needs.filler:
            waiting_short += requested
            if not committed.fits(largest_free):
                blocked_steps += 1
                blocked += requested
    return FleetRoom(
        workers=count,
        capacity=capacity,
        long_running=long_running,
        short=short,
        fillers=fillers,
        free=free,
        largest_free=largest_free,
        waiting_short=waiting_short,
        blocked_steps=blocked_steps,
        blocked=blocked,
        waiting_long_running=waiting_long_running,
    )
