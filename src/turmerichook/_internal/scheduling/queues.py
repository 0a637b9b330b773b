"""Waiting tasks in the order in which they may start.

Tasks of one workload are identical, so a workload is queued as one group, and
a task record is created only when a task is assigned. Groups of the same tier
and team that need the same amount and have the same task class share a
subqueue. If the first group of a subqueue fits on no host, no other group of
the subqueue does, so a round looks at each subqueue once instead of at each
task.
"""

import collections
import dataclasses
import datetime
import enum
import heapq

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.models import site
from turmerichook._internal import outcomes
from turmerichook._internal.providers import workers
from turmerichook._internal.scheduling import classes
from turmerichook._internal.scheduling import plan
from turmerichook._internal.scheduling import retries


class Tier(enum.IntEnum):
    """Order of placement; within a tier, teams get weighted fair shares."""

    URGENT_SERVICE = 0
    SERVICE = 1
    URGENT_BATCH = 2
    BATCH = 3
    DEFERRABLE_BATCH = 4


BATCH_TIERS = {
    site.Urgency.URGENT: Tier.URGENT_BATCH,
    site.Urgency.NORMAL: Tier.BATCH,
    site.Urgency.DEFERRABLE: Tier.DEFERRABLE_BATCH,
}
SubqueueKey = tuple[resources.Resources, classes.TaskClass]
NO_START_BY = float("inf")


def tier_of(work: plan.Workload) -> Tier:
    """Return the tier of a workload."""
    if work.kind is workers.TaskKind.BATCH:
        return BATCH_TIERS[work.urgency]
    if work.urgency is site.Urgency.URGENT:
        return Tier.URGENT_SERVICE
    return Tier.SERVICE


@dataclasses.dataclass(kw_only=True, eq=False)
class Group:
    """A workload and its waiting tasks; a task is given by its number.

    :param sequence: order in which workloads were submitted to this owner.
    :param amount: amount that the next attempt of a task commits.
    :param since: monotonic time at which the workload was submitted to this
        owner.
    :param adopted: numbers of tasks that the journal or a task record had
        already when the workload was submitted or changed; they do not start
        as new tasks.
    :param next_unstarted: lowest number that was neither started nor skipped
        as adopted.
    :param requeued: numbers of tasks that wait for another attempt.
    :param active: numbers of tasks that have a task record.
    :param finished: number of tasks that have a result.
    :param succeeded: whether any task has succeeded.
    :param failures: failed attempts of all tasks of the group.
    :param halted: reason why the group starts no tasks, None if it may.
    :param logged_reason: reason for waiting that was logged last.
    """

    work: plan.Workload
    sequence: int
    amount: resources.Resources
    since: datetime.timedelta = datetime.timedelta()
    adopted: set[int] = dataclasses.field(default_factory=set)
    next_unstarted: int = 0
    requeued: collections.deque[int] = dataclasses.field(
        default_factory=collections.deque
    )
    active: set[int] = dataclasses.field(default_factory=set)
    finished: int = 0
    succeeded: bool = False
    failures: retries.Failures = dataclasses.field(
        default_factory=retries.Failures
    )
    halted: outcomes.Absent | None = None
    logged_reason: outcomes.Reason | None = None
    subqueue: "Subqueue | None" = None

    @property
    def task_class(self) -> classes.TaskClass:
        """Class of the tasks, the unit for which interference is learned."""
        return classes.class_of(self.work.task(0))

    @property
    def order(self) -> tuple[float, int]:
        """Order within a subqueue and among the subqueues of a team."""
        start_by = self.work.start_by
        if start_by is None:
            return (NO_START_BY, self.sequence)
        return (start_by.total_seconds(), self.sequence)

    @property
    def waiting(self) -> int:
        """Number of tasks that wait for a start; 0 if the group is halted."""
        if self.halted is not None:
            return 0
        return self.unstarted + len(self.requeued)

    @property
    def unstarted(self) -> int:
        """Number of tasks that no owner of the zone has started."""
        adopted_ahead = sum(
            1 for number in self.adopted if number >= self.next_unstarted
        )
        return max(0, self.work.count - self.next_unstarted - adopted_ahead)

    def peek(self) -> int | None:
        """Return the number of the next task to start, None if none waits."""
        if self.halted is not None:
            return None
        if self.requeued:
            return self.requeued[0]
        while self.next_unstarted in self.adopted:
            self.adopted.discard(self.next_unstarted)
            self.next_unstarted += 1
        return (
            self.next_unstarted
            if self.next_unstarted < self.work.count
            else None
        )

    def take(self) -> None:
        """Remove the task that ``peek`` returned from the waiting tasks."""
        if self.requeued:
            self.requeued.popleft()
        else:
            self.next_unstarted += 1


class Subqueue:
    """Groups of one tier, team, amount and task class, in start order."""

    def __init__(self, amount: resources.Resources):
        self.amount = amount
        self.pushes = 0
        self.heap: list[tuple[tuple[float, int], int, Group]] = []

    def push(self, group: Group) -> None:
        """Add a group."""
        self.pushes += 1
        heapq.heappush(self.heap, (group.order, self.pushes, group))
        group.subqueue = self

    def head(self) -> Group | None:
        """Return the first group that has a waiting task, None if none has.

        Groups before it that have none, or moved to another subqueue, are
        removed.
        """
        while self.heap:
            group = self.heap[0][2]
            if group.subqueue is self and group.peek() is not None:
                return group
            heapq.heappop(self.heap)
            if group.subqueue is self:
                group.subqueue = None
        return None


class Queue:
    """All subqueues of a zone."""

    def __init__(self):
        self.tiers: dict[
            Tier, dict[ids.TeamId, dict[SubqueueKey, Subqueue]]
        ] = {tier: {} for tier in Tier}
        # Whether the next round has to look at the subqueues, for example
        # since a group was added or a round ended at its limit.
        self.changed = False

    def put(self, group: Group) -> None:
        """Queue a group with waiting tasks in the subqueue of its amount.

        Nothing is done if the group is in that subqueue already.
        """
        self.changed = True
        if group.peek() is None:
            return
        if (
            group.subqueue is not None
            and group.subqueue.amount == group.amount
        ):
            return
        subqueues = self.tiers[tier_of(group.work)].setdefault(
            group.work.team, {}
        )
        key = (group.amount, group.task_class)
        subqueue = subqueues.get(key)
        if subqueue is None:
            subqueue = subqueues[key] = Subqueue(group.amount)
        subqueue.push(group)

    def subqueues(
        self, tier: Tier, team: ids.TeamId
    ) -> list[tuple[tuple[float, int], Subqueue]]:
        """Return a heap of a team's subqueues, ordered by first group."""
        subqueues = self.tiers[tier].get(team, {})
        by_head = []
        for key, subqueue in list(subqueues.items()):
            head = subqueue.head()
            if head is None:
                del subqueues[key]
            else:
                by_head.append((head.order, subqueue))
        if not subqueues:
            self.tiers[tier].pop(team, None)
        heapq.heapify(by_head)
        return by_head
