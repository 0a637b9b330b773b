"""Which tasks are on which host, now and when a late report was measured."""

import collections
import dataclasses
import datetime

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.providers import workers
from turmerichook._internal.scheduling import classes
from turmerichook._internal.scheduling import interference
from turmerichook._internal.scheduling import plan
from turmerichook._internal.scheduling import sharing_decisions as decisions
from turmerichook._internal.scheduling import sizing

# Changes of a host's batch tasks that are remembered. A report that is older
# than the oldest of them teaches nothing.
HISTORY = 16


@dataclasses.dataclass(kw_only=True, slots=True)
class Tracked:
    """An attempt on a host.

    :param amount: what the host has committed to it.
    :param since: monotonic time of its start.
    :param resumed: whether it started from a checkpoint.
    :param share: share of its processors that a throttle leaves it.
    :param throttled: when a throttle last held, or None.
    :param trial: whether its class was unknown next to a service here.
    :param stop_asked: when its stop was last asked for, or None.
    :param worked: whether it has run long enough to speak for its host.
    :param reported: whether its use was reported since its size was checked.
    :param latency: newest reported latency of a service, None before that.
    :param latency_measured: when ``latency`` was measured.
    :param load: use of a service relative to its declared size.
    """

    spec: plan.TaskSpec
    task_class: classes.TaskClass
    attempt: ids.Attempt
    host: ids.HostId
    amount: resources.Resources
    since: datetime.timedelta
    resumed: bool = False
    share: float = 1.0
    throttled: datetime.timedelta | None = None
    trial: bool = False
    stop_asked: datetime.timedelta | None = None
    stop_checkpoint: bool = True
    stop_reason: decisions.StopReason = decisions.StopReason.SLOW_SERVICE
    worked: bool = False
    reported: bool = False
    latency: datetime.timedelta | None = None
    latency_measured: datetime.timedelta = datetime.timedelta()
    load: float = 0.0
    usage: sizing.Usage = dataclasses.field(
        default_factory=sizing.attempt_usage
    )

    @property
    def batch(self) -> bool:
        """Whether it is a batch task."""
        return self.spec.kind is workers.TaskKind.BATCH


@dataclasses.dataclass(kw_only=True, slots=True)
class HostTasks:
    """The attempts on one host.

    :param history: batch classes with their share of the processors, with
        the monotonic time from which each state held.
    :param version: changes with everything that advice depends on.
    :param view: what the adviser derived from the tasks, with its version.
    """

    capacity: resources.Resources
    services: dict[ids.TaskId, Tracked] = dataclasses.field(
        default_factory=dict
    )
    batch: dict[ids.TaskId, Tracked] = dataclasses.field(default_factory=dict)
    version: int = 0
    view: object = None
    history: collections.deque[
        tuple[datetime.timedelta, interference.Neighbours]
    ] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=HISTORY)
    )

    def weight_of(self, amount: resources.Resources) -> float:
        """Return the share of the host's processors that an amount is."""
        return amount.millicores / max(1, self.capacity.millicores)

    def neighbours(self) -> interference.Neighbours:
        """Return the batch classes on the host now."""
        return self.history[-1][1] if self.history else {}

    def neighbours_at(
        self, measured: datetime.timedelta
    ) -> interference.Neighbours | None:
        """Return the batch classes at an earlier time, None if forgotten."""
        for since, neighbours in reversed(self.history):
            if since <= measured:
                return neighbours
        return None

    def note(self, now: datetime.timedelta) -> None:
        """Remember what runs from now on."""
        self.version += 1
        shares: dict[classes.TaskClass, float] = {}
        for tracked in self.batch.values():
            share = self.weight_of(tracked.amount) * tracked.share
            before = shares.get(tracked.task_class, 0.0)
            shares[tracked.task_class] = before + share
        if self.history and self.history[-1][0] == now:
            self.history.pop()
        self.history.append((now, shares))


class Tracker:
    """All attempts of a zone that are on a host."""

    def __init__(self):
        self.hosts: dict[ids.HostId, HostTasks] = {}
        self.tasks: dict[ids.TaskId, Tracked] = {}
        self.batch_tasks = 0

    def set_capacity(
        self, host: ids.HostId, capacity: resources.Resources
    ) -> None:
        """Add a host, or change its capacity."""
        known = self.hosts.get(host)
        if known is None:
            self.hosts[host] = HostTasks(capacity=capacity)
        else:
            known.capacity = capacity

    def forget_host(self, host: ids.HostId) -> None:
        """Drop a host that has no tasks any more."""
        known = self.hosts[host]
        if not known.batch and not known.services:
            del self.hosts[host]

    def current(
        self, task: ids.TaskId, attempt: ids.Attempt
    ) -> Tracked | None:
        """Return an attempt, unless it is not the current one."""
        tracked = self.tasks.get(task)
        if tracked is None or tracked.attempt != attempt:
            return None
        return tracked

    def add(self, tracked: Tracked, now: datetime.timedelta) -> None:
        """Note that an attempt is on its host."""
        self.remove(tracked.spec.task, now)
        name = tracked.spec.task
        self.tasks[name] = tracked
        host = self.hosts.setdefault(
            tracked.host, HostTasks(capacity=resources.NOTHING)
        )
        if tracked.batch:
            self.batch_tasks += 1
            host.batch[name] = tracked
            host.note(now)
        else:
            host.services[name] = tracked
            host.version += 1
            if not host.history:
                host.note(now)

    def remove(self, task: ids.TaskId, now: datetime.timedelta) -> None:
        """Note that a task has left its host."""
        tracked = self.tasks.pop(task, None)
        if tracked is None:
            return
        host = self.hosts[tracked.host]
        if tracked.batch:
            self.batch_tasks -= 1
            del host.batch[task]
            host.note(now)
        else:
            del host.services[task]
            host.version += 1

    def throttle(
        self, tracked: Tracked, share: float, now: datetime.timedelta
    ) -> None:
        """Note a change of a task's share."""
        if min(tracked.share, share) < 1.0:
            tracked.throttled = now
        tracked.share = share
        self.hosts[tracked.host].note(now)

    def resize(
        self,
        tracked: Tracked,
        amount: resources.Resources,
        now: datetime.timedelta,
    ) -> None:
        """Note a changed commitment."""
        tracked.amount = amount
        self.hosts[tracked.host].note(now)
