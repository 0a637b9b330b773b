"""Choice of the jobs to postpone when not all can end in time.

A job is late, or not; of jobs of one priority the fewest are to be late. The
jobs are taken in the order of their deadlines. Whenever their work cannot end
in time, the one with the most work among the lowest priority is postponed,
which gives the most time back to the others (Moore and Hodgson, 1968).
"""

import collections.abc
import datetime
import heapq
import typing

from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model

# A job is large if it has more than this multiple of the mean work.
LARGE_FACTOR = 2.0
# Weight of the latest job in the mean work of its queue.
NEW_JOB_WEIGHT = 0.02


class WaitingWork(typing.NamedTuple):
    """One occurrence of a job, with waiting tasks of one kind.

    :param deadline: Unix time by which its remaining work has to end.
    :param earliest: Unix time at which the work can end at the earliest.
    :param work: estimated processor time of the remaining work.
    :param large: whether the whole job has much more work than others.
    """

    key: model.Occurrence
    priority: int
    deadline: datetime.timedelta
    earliest: datetime.timedelta
    work: datetime.timedelta
    large: bool = False


def postponed(
    waiting: collections.abc.Sequence[WaitingWork],
    cores: float | None,
    wall: datetime.timedelta,
) -> frozenset[model.Occurrence]:
    """Return the occurrences that should go after the others.

    :param cores: processor seconds of work that end each second; None if that
        is not known.
    :param wall: Unix time now.
    """
    if not cores:
        return frozenset()
    late: set[model.Occurrence] = set()
    # What may still be postponed of what is taken, the first one first.
    taken: list[
        tuple[int, datetime.timedelta, model.Occurrence, WaitingWork]
    ] = []
    work = datetime.timedelta()
    for item in sorted(waiting, key=lambda item: (item.deadline, item.key)):
        if _protected(item):
            continue
        if item.earliest > item.deadline:
            late.add(item.key)
            continue
        heapq.heappush(taken, (-item.priority, -item.work, item.key, item))
        work += item.work
        while taken and wall + work / cores > item.deadline:
            victim = heapq.heappop(taken)[-1]
            late.add(victim.key)
            work -= victim.work
    return frozenset(late)


def _protected(item: WaitingWork) -> bool:
    """Return whether an occurrence is never postponed.

    Half of the large ones are protected, the same ones by each leader.
    Otherwise no large job would be served while there are enough small ones.
    """
    return item.large and ord(item.key.job[-1]) % 2 == 1


class MeanWork:
    """Mean work of the jobs of each queue, the later ones counting more."""

    def __init__(self):
        self.by_queue: dict[ids.QueueId, datetime.timedelta] = {}

    def note(self, queue: ids.QueueId, work: datetime.timedelta) -> None:
        """Count a job that has come."""
        mean = self.by_queue.setdefault(queue, work)
        self.by_queue[queue] = mean + (work - mean) * NEW_JOB_WEIGHT

    def is_large(self, queue: ids.QueueId, work: datetime.timedelta) -> bool:
        """Return whether a job has much more work than others of its queue."""
        mean = self.by_queue.get(queue)
        return mean is not None and work > LARGE_FACTOR * mean
