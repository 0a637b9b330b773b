"""How much of a zone's work waits and runs."""

import collections
import dataclasses
import datetime

from turmerichook._internal.models import site
from turmerichook._internal.scheduling import plan
from turmerichook._internal.scheduling import state as states


@dataclasses.dataclass(kw_only=True, slots=True)
class Length:
    """Tasks of one urgency.

    :param waiting: tasks that wait for a start.
    :param begun: tasks that run or may run.
    :param running: tasks that are known to run.
    :param oldest: longest time that one of them has waited.
    """

    waiting: int = 0
    begun: int = 0
    running: int = 0
    oldest: datetime.timedelta = datetime.timedelta()

    def wait(self, count: int, age: datetime.timedelta) -> None:
        """Count tasks that wait."""
        self.waiting += count
        self.oldest = max(self.oldest, age)


def by_urgency(
    zone: states.ZoneTasks, now: datetime.timedelta
) -> dict[site.Urgency, Length]:
    """Return the lengths of a zone's queues.

    Jobs that start nothing, such as failed ones, do not count as waiting.
    The cost is one pass over the workloads and the tasks that have begun.
    """
    found: dict[site.Urgency, Length] = collections.defaultdict(Length)
    halted = set()
    for key, group in zone.groups.items():
        if group.halted is not None:
            halted.add(key)
        elif group.unstarted:
            length = found[group.work.urgency]
            length.wait(group.unstarted, now - group.since)
    for name, task in zone.tasks.items():
        length = found[task.spec.urgency]
        if task.phase in states.ON_HOST:
            length.begun += 1
            length.running += task.phase is states.Phase.RUNNING
        elif task.wanted and plan.split(name)[0] not in halted:
            length.wait(1, now - task.since)
    return dict(found)


def total(zone: states.ZoneTasks, now: datetime.timedelta) -> Length:
    """Return the sum over all urgencies."""
    lengths = by_urgency(zone, now).values()
    return Length(
        waiting=sum(length.waiting for length in lengths),
        begun=sum(length.begun for length in lengths),
        running=sum(length.running for length in lengths),
        oldest=max(
            (length.oldest for length in lengths),
            default=datetime.timedelta(),
        ),
    )
