"""Waiting tasks in the order in which they may start.

Tasks of one workload are equal, so a workload waits as one group and a task
record is made only when a task is assigned. Groups of one tier and team
that need the same amount and are of one class share a lane: if the first one
finds no host, no other one of the lane would, so a round looks at each lane
once and not at each task.
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
    """Order of placement; inside a tier teams get their fair share."""

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
LaneKey = tuple[resources.Resources, classes.TaskClass]
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
    """One workload and what of it waits.

    :param sequence: order of arrival.
    :param amount: what the next attempt of a task commits.
    :param since: monotonic time at which it was submitted here.
    :param taken: numbers that are not to be started first: known from the
        journal when the group was made.
    :param fresh: lowest number that was never started or taken.
    :param again: numbers that wait after an attempt.
    :param active: numbers that have a task record.
    :param halted: why the group starts nothing, if it does not.
    :param told: reason that was logged last.
    """

    work: plan.Workload
    sequence: int
    amount: resources.Resources
    since: datetime.timedelta = datetime.timedelta()
    taken: set[int] = dataclasses.field(default_factory=set)
    fresh: int = 0
    again: collections.deque[int] = dataclasses.field(
        default_factory=collections.deque
    )
    active: set[int] = dataclasses.field(default_factory=set)
    finished: int = 0
    succeeded: bool = False
    failures: retries.Failures = dataclasses.field(
        default_factory=retries.Failures
    )
    halted: outcomes.Absent | None = None
    told: outcomes.Reason | None = None
    lane: "Lane | None" = None

    @property
    def kin(self) -> classes.TaskClass:
        """Class of its tasks, by which co-location judges them."""
        return classes.class_of(self.work.task(0))

    @property
    def order(self) -> tuple[float, int]:
        """Order inside a lane and a team."""
        start_by = self.work.start_by
        if start_by is None:
            return (NO_START_BY, self.sequence)
        return (start_by.total_seconds(), self.sequence)

    @property
    def waiting(self) -> int:
        """Number of tasks that may be started."""
        if self.halted is not None:
            return 0
        return self.unstarted + len(self.again)

    @property
    def unstarted(self) -> int:
        """Number of tasks that never started, here or before."""
        ahead = sum(1 for number in self.taken if number >= self.fresh)
        return max(0, self.work.count - self.fresh - ahead)

    def peek(self) -> int | None:
        """Return the number of the next task, None if none waits."""
        if self.halted is not None:
            return None
        if self.again:
            return self.again[0]
        while self.fresh in self.taken:
            self.taken.discard(self.fresh)
            self.fresh += 1
        return self.fresh if self.fresh < self.work.count else None

    def take(self) -> None:
        """Remove the next task from the waiting ones."""
        if self.again:
            self.again.popleft()
        else:
            self.fresh += 1


class Lane:
    """Groups of one tier, team and amount, in their order."""

    def __init__(self, amount: resources.Resources):
        self.amount = amount
        self.pushes = 0
        self.heap: list[tuple[tuple[float, int], int, Group]] = []

    def push(self, group: Group) -> None:
        """Add a group."""
        self.pushes += 1
        heapq.heappush(self.heap, (group.order, self.pushes, group))
        group.lane = self

    def head(self) -> Group | None:
        """Return the first group that has a waiting task."""
        while self.heap:
            group = self.heap[0][2]
            if group.lane is self and group.peek() is not None:
                return group
            heapq.heappop(self.heap)
            if group.lane is self:
                group.lane = None
        return None


class Queue:
    """All lanes of a zone."""

    def __init__(self):
        self.tiers: dict[Tier, dict[ids.TeamId, dict[LaneKey, Lane]]] = {
            tier: {} for tier in Tier
        }
        # Whether something was added since the last full round.
        self.changed = False

    def put(self, group: Group) -> None:
        """Queue a group that has waiting tasks, unless it is queued."""
        self.changed = True
        if group.peek() is None:
            return
        if group.lane is not None and group.lane.amount == group.amount:
            return
        lanes = self.tiers[tier_of(group.work)].setdefault(group.work.team, {})
        key = (group.amount, group.kin)
        lane = lanes.get(key)
        if lane is None:
            lane = lanes[key] = Lane(group.amount)
        lane.push(group)

    def lanes(
        self, tier: Tier, team: ids.TeamId
    ) -> list[tuple[tuple[float, int], Lane]]:
        """Return a heap of a team's lanes by their first groups."""
        lanes = self.tiers[tier].get(team, {})
        found = []
        for key, lane in list(lanes.items()):
            head = lane.head()
            if head is None:
                del lanes[key]
            else:
                found.append((head.order, lane))
        if not lanes:
            self.tiers[tier].pop(team, None)
        heapq.heapify(found)
        return found
