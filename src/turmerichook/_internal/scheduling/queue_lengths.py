"""Numbers of waiting and running tasks of a zone."""

import collections
import dataclasses
import datetime

from turmerichook._internal.models import site
from turmerichook._internal.scheduling import plan
from turmerichook._internal.scheduling import state as states


@dataclasses.dataclass(kw_only=True, slots=True)
class Length:
    """Numbers of tasks of one urgency.

    :param waiting: tasks that wait for a start.
    :param on_host: tasks that are assigned, running or stopping on a host.
    :param running: tasks that a worker has reported as running.
    :param oldest: longest wait of any waiting task so far.
    """

    waiting: int = 0
    on_host: int = 0
    running: int = 0
    oldest: datetime.timedelta = datetime.timedelta()

    def add_waiting(self, count: int, age: datetime.timedelta) -> None:
        """Add waiting tasks, the oldest of which has waited for ``age``."""
        self.waiting += count
        self.oldest = max(self.oldest, age)


def by_urgency(
    zone: states.ZoneTasks, now: datetime.timedelta
) -> dict[site.Urgency, Length]:
    """Return the queue lengths of a zone by urgency.

    Tasks of halted workloads, such as failed jobs, do not count as waiting.
    The cost is one pass over the workloads and the task records.
    """
    lengths: dict[site.Urgency, Length] = collections.defaultdict(Length)
    halted = set()
    for key, group in zone.groups.items():
        if group.halted is not None:
            halted.add(key)
        elif group.unstarted:
            length = lengths[group.work.urgency]
            length.add_waiting(group.unstarted, now - group.since)
    for name, task in zone.tasks.items():
        length = lengths[task.spec.urgency]
        if task.phase in states.ON_HOST:
            length.on_host += 1
            length.running += task.phase is states.Phase.RUNNING
        elif task.wanted and plan.split(name)[0] not in halted:
            length.add_waiting(1, now - task.since)
    return dict(lengths)


def total(zone: states.ZoneTasks, now: datetime.timedelta) -> Length:
    """Return the queue lengths of a zone, summed over all urgencies."""
    lengths = by_urgency(zone, now).values()
    return Length(
        waiting=sum(length.waiting for length in lengths),
        on_host=sum(length.on_host for length in lengths),
        running=sum(length.running for length in lengths),
        oldest=max(
            (length.oldest for length in lengths),
            default=datetime.timedelta(),
        ),
    )
