"""Attempts on each host, now and at the time of a late usage report."""

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

# Number of past states of a host's batch tasks that are stored. The latency in
# a report from before the oldest state does not update the interference model.
NEIGHBOUR_HISTORY_SIZE = 16


@dataclasses.dataclass(kw_only=True, slots=True)
class TrackedAttempt:
    """An attempt on a host.

    :param amount: resources that the host has committed to the attempt.
    :param since: monotonic time at which the attempt was placed, or at which
        this owner took it over.
    :param resumed: whether the attempt started from a checkpoint, or was
        started by another owner.
    :param share: share of its processors that the attempt may use; below 1.0
        while it is throttled.
    :param last_throttled: when the attempt's throttle was last set or lifted;
        None if it was never throttled.
    :param trial: whether the class had an unknown effect on a service of the
        host when the attempt was placed.
    :param stop_requested: when the attempt's stop was last requested, or None.
    :param stop_checkpoint: whether the stop allows a checkpoint.
    :param success_recorded: whether the attempt has run for
        ``health.QUICK_FAILURE_TIME``, which counts as a success.
    :param usage_reported: whether a usage report has arrived since the
        commitment was last checked.
    :param latency: newest reported latency of a service, or None.
    :param latency_measured: monotonic time at which ``latency`` was measured.
    :param load: processor use of a service relative to its declared size.
    """

    spec: plan.TaskSpec
    task_class: classes.TaskClass
    attempt: ids.Attempt
    host: ids.HostId
    amount: resources.Resources
    since: datetime.timedelta
    resumed: bool = False
    share: float = 1.0
    last_throttled: datetime.timedelta | None = None
    trial: bool = False
    stop_requested: datetime.timedelta | None = None
    stop_checkpoint: bool = True
    stop_reason: decisions.StopReason = decisions.StopReason.SLOW_SERVICE
    success_recorded: bool = False
    usage_reported: bool = False
    latency: datetime.timedelta | None = None
    latency_measured: datetime.timedelta = datetime.timedelta()
    load: float = 0.0
    usage: sizing.Usage = dataclasses.field(
        default_factory=sizing.attempt_usage
    )

    @property
    def batch(self) -> bool:
        """Whether the attempt is of a batch task."""
        return self.spec.kind is workers.TaskKind.BATCH


@dataclasses.dataclass(kw_only=True, slots=True)
class HostTasks:
    """The attempts on one host.

    :param version: changes whenever a task or a latency changes that placement
        advice depends on.
    :param view: data that the adviser derived from one version of the tasks.
    :param history: past states of the batch tasks, oldest first. Each state
        has the monotonic time at which it began, and the share of the host's
        processors that each batch class could use.
    """

    capacity: resources.Resources
    services: dict[ids.TaskId, TrackedAttempt] = dataclasses.field(
        default_factory=dict
    )
    batch: dict[ids.TaskId, TrackedAttempt] = dataclasses.field(
        default_factory=dict
    )
    version: int = 0
    view: object = None
    history: collections.deque[
        tuple[datetime.timedelta, interference.Neighbours]
    ] = dataclasses.field(
        default_factory=lambda: collections.deque(
            maxlen=NEIGHBOUR_HISTORY_SIZE
        )
    )

    def processor_share(self, amount: resources.Resources) -> float:
        """Return an amount's processors as a share of the host's."""
        return amount.millicores / max(1, self.capacity.millicores)

    def neighbours(self) -> interference.Neighbours:
        """Return the processor share of each batch class on the host now."""
        return self.history[-1][1] if self.history else {}

    def neighbours_at(
        self, measured: datetime.timedelta
    ) -> interference.Neighbours | None:
        """Return the processor share of each batch class at an earlier time.

        :returns: None if the time is before the stored history.
        """
        for since, neighbours in reversed(self.history):
            if since <= measured:
                return neighbours
        return None

    def record_neighbours(self, now: datetime.timedelta) -> None:
        """Add the present batch tasks to the history."""
        self.version += 1
        shares: dict[classes.TaskClass, float] = {}
        for tracked in self.batch.values():
            share = self.processor_share(tracked.amount) * tracked.share
            before = shares.get(tracked.task_class, 0.0)
            shares[tracked.task_class] = before + share
        if self.history and self.history[-1][0] == now:
            self.history.pop()
        self.history.append((now, shares))


class Tracker:
    """All attempts of a zone that are on a host."""

    def __init__(self):
        self.hosts: dict[ids.HostId, HostTasks] = {}
        self.tasks: dict[ids.TaskId, TrackedAttempt] = {}
        self.batch_tasks = 0

    def set_capacity(
        self, host: ids.HostId, capacity: resources.Resources
    ) -> None:
        """Add a host, or change its capacity."""
        host_tasks = self.hosts.get(host)
        if host_tasks is None:
            self.hosts[host] = HostTasks(capacity=capacity)
        else:
            host_tasks.capacity = capacity

    def forget_host(self, host: ids.HostId) -> None:
        """Drop a host, unless tasks are still on it."""
        host_tasks = self.hosts[host]
        if not host_tasks.batch and not host_tasks.services:
            del self.hosts[host]

    def current(
        self, task: ids.TaskId, attempt: ids.Attempt
    ) -> TrackedAttempt | None:
        """Return an attempt; None if it is not its task's current one."""
        tracked = self.tasks.get(task)
        if tracked is None or tracked.attempt != attempt:
            return None
        return tracked

    def add(self, tracked: TrackedAttempt, now: datetime.timedelta) -> None:
        """Record that an attempt is on its host."""
        self.remove(tracked.spec.task, now)
        name = tracked.spec.task
        self.tasks[name] = tracked
        host = self.hosts.setdefault(
            tracked.host, HostTasks(capacity=resources.NOTHING)
        )
        if tracked.batch:
            self.batch_tasks += 1
            host.batch[name] = tracked
            host.record_neighbours(now)
        else:
            host.services[name] = tracked
            host.version += 1
            if not host.history:
                host.record_neighbours(now)

    def remove(self, task: ids.TaskId, now: datetime.timedelta) -> None:
        """Record that a task has left its host."""
        tracked = self.tasks.pop(task, None)
        if tracked is None:
            return
        host = self.hosts[tracked.host]
        if tracked.batch:
            self.batch_tasks -= 1
            del host.batch[task]
            host.record_neighbours(now)
        else:
            del host.services[task]
            host.version += 1

    def throttle(
        self, tracked: TrackedAttempt, share: float, now: datetime.timedelta
    ) -> None:
        """Record a change of the processor share that an attempt may use."""
        if min(tracked.share, share) < 1.0:
            tracked.last_throttled = now
        tracked.share = share
        self.hosts[tracked.host].record_neighbours(now)

    def resize(
        self,
        tracked: TrackedAttempt,
        amount: resources.Resources,
        now: datetime.timedelta,
    ) -> None:
        """Record a change of the resources committed to an attempt."""
        tracked.amount = amount
        self.hosts[tracked.host].record_neighbours(now)
