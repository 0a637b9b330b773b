"""A zone's task records, their queue, and the room that is kept for them."""

import collections.abc
import datetime
import random

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.models import site
from turmerichook._internal import outcomes
from turmerichook._internal.providers import hosts
from turmerichook._internal.providers import workers
from turmerichook._internal.scheduling import advisers
from turmerichook._internal.scheduling import ledger as ledgers
from turmerichook._internal.scheduling import placement
from turmerichook._internal.scheduling import plan
from turmerichook._internal.scheduling import queues
from turmerichook._internal.scheduling import quotas
from turmerichook._internal.scheduling import tasks as records

Phase = records.Phase

# A stop whose message may have been lost is sent again after this time.
STOP_INTERVAL = datetime.timedelta(seconds=2)
# A learned size changes with each report. Waiting work keeps an amount that is
# at most this much larger, since it would change its lane with each of them.
SPARE_SHARE = 1.125


def always_admits(task: ids.TaskId, begun: int) -> bool:
    """Admit every task, as a journal without bounds does."""
    return True


def _near(amount: resources.Resources, size: resources.Resources) -> bool:
    """Tell whether an amount covers a size with little to spare."""
    return (
        size.fits(amount)
        and amount.millicores <= size.millicores * SPARE_SHARE
        and amount.memory_mib <= size.memory_mib * SPARE_SHARE
    )


class Commitments:
    """Records of a zone's tasks and every change of their commitments.

    :param generator: source of the random numbers of all decisions.
    """

    def __init__(
        self,
        *,
        zone: ids.ZoneId = ids.ZoneId(""),
        generator: random.Random | None = None,
    ):
        self.zone = zone
        self.generator = generator or random.Random(0)
        self.tasks: dict[ids.TaskId, records.Task] = {}
        # The service tasks among them, so that a table of endpoints costs
        # nothing for batch tasks.
        self.services: dict[ids.TaskId, records.Task] = {}
        # Attempt and checkpoint of ends that a former owner did not write.
        self.unwritten: dict[
            ids.TaskId, tuple[ids.Attempt, ids.CheckpointId]
        ] = {}
        self.groups: dict[str, queues.Group] = {}
        self.queue = queues.Queue()
        self.ledger = ledgers.Ledger()
        self.teams = quotas.Teams()
        self.replicas = placement.Replicas()
        self.hosts: dict[ids.HostId, hosts.Host] = {}
        # Hosts that answer and are not leaving.
        self.usable = self.ledger.usable
        # Capacities of the live hosts; what exceeds all of them never fits.
        self.capacities: frozenset[resources.Resources] = frozenset()
        self.weights = site.Weights()
        self.open = False
        # Whether the journal has room for a task, besides a number of others
        # that begin before it.
        self.admits: collections.abc.Callable[[ids.TaskId, int], bool] = (
            always_admits
        )
        self.adviser: advisers.Adviser = advisers.NoAdvice()
        # When workloads that the adviser refused are looked at again.
        self.refused_until: datetime.timedelta | None = None
        # Amounts for which no host has room until something is released.
        self.blocked: set[resources.Resources] = set()
        # Amounts and classes for which stopping batch tasks makes no room,
        # until something is released or begins to run.
        self.unfreeable: set[queues.LaneKey] = set()
        self.releases = 0
        self.sequence = 0
        self.reserved: dict[ids.TaskId, None] = {}
        self.stopping: dict[ids.TaskId, datetime.timedelta] = {}
        self.delayed: list[tuple[datetime.timedelta, ids.TaskId]] = []
        self.deadlines: list[tuple[datetime.timedelta, str]] = []
        # Jobs whose tasks have all succeeded, and jobs that have failed for
        # good, until they are withdrawn.
        self.completed: dict[ids.JobId, None] = {}
        self.failed: dict[ids.JobId, outcomes.Absent] = {}

    def assign(
        self,
        group: queues.Group,
        number: int,
        host: ids.HostId,
        now: datetime.timedelta,
    ) -> records.StartCommand:
        """Commit the room for the next attempt of a task."""
        task = self.record(group, number, now)
        name = task.spec.task
        amount = group.amount
        if task.phase is Phase.RESERVED:
            if task.host != host:
                self.ledger.drop_hold(task.host, name)
            else:
                # The size of new attempts may have changed meanwhile.
                amount = task.amount
            self.teams.give_back(task.spec.team, task.amount)
            del self.reserved[name]
        self.ledger.commit(host, name, amount)
        self.teams.use(group.work.team, amount)
        if group.work.kind is workers.TaskKind.SERVICE:
            self.replicas.add(plan.service_of(name), host, 1)
        task.phase = Phase.ASSIGNED
        task.since = task.saved = now
        task.host = host
        task.amount = amount
        task.address = ""
        task.due = None
        task.attempt = ids.Attempt(task.attempt + 1)
        self.adviser.placed(
            task.spec,
            task.attempt,
            host,
            amount,
            resumed=task.checkpoint is not None,
            now=now,
        )
        return records.StartCommand(
            task=name, host=host, attempt=task.attempt, amount=task.amount
        )

    def reserve(
        self,
        group: queues.Group,
        number: int,
        host: ids.HostId,
        now: datetime.timedelta,
    ) -> None:
        """Keep room on a host for a task as it becomes free."""
        task = self.record(group, number, now)
        task.phase = Phase.RESERVED
        task.since = now
        task.host = host
        task.amount = group.amount
        self.ledger.hold(host, task.spec.task, group.amount)
        self.teams.use(group.work.team, group.amount)
        self.reserved[task.spec.task] = None

    def unreserve(self, task: records.Task, now: datetime.timedelta) -> None:
        """Give up the room that is kept for a task."""
        name = task.spec.task
        self.ledger.drop_hold(task.host, name)
        self.teams.give_back(task.spec.team, task.amount)
        del self.reserved[name]
        task.phase = Phase.WAITING
        task.since = now
        task.host = None

    def resize(self, task: records.Task, amount: resources.Resources) -> None:
        """Change what the current attempt commits."""
        self.ledger.resize(task.host, task.spec.task, amount)
        self.teams.give_back(task.spec.team, task.amount)
        self.teams.use(task.spec.team, amount)
        task.amount = amount

    def resize_waiting(self) -> None:
        """Take over the sizes that new attempts now need."""
        sizes: dict[tuple, resources.Resources] = {}
        for group in self.groups.values():
            if group.peek() is None:
                continue
            key = (group.kin, group.work.resources)
            if key not in sizes:
                sizes[key] = self.adviser.size(group.work.task(0))
            if not _near(group.amount, sizes[key]):
                group.amount = sizes[key]
                self.queue.put(group)

    def stop(
        self,
        task: records.Task,
        now: datetime.timedelta,
        *,
        checkpoint: bool = True,
    ) -> records.StopCommand:
        """Ask for the end of an attempt.

        :param checkpoint: whether a batch task is checkpointed first.
        """
        task.phase = Phase.STOPPING
        task.since = now
        self.stopping[task.spec.task] = now
        return self.stop_command(task, checkpoint=checkpoint)

    def stop_command(
        self, task: records.Task, *, checkpoint: bool = True
    ) -> records.StopCommand:
        """Return the message that stops a task's attempt."""
        batch = task.spec.kind is workers.TaskKind.BATCH
        stop = workers.Stop(
            task=task.spec.task,
            attempt=task.attempt,
            checkpoint=batch and checkpoint,
        )
        return records.StopCommand(host=task.host, stop=stop)

    def overdue_stops(
        self, now: datetime.timedelta
    ) -> list[records.StopCommand]:
        """Return the stops to send again."""
        commands = []
        for name, sent in self.stopping.items():
            if now - sent >= STOP_INTERVAL:
                self.stopping[name] = now
                commands.append(self.stop_command(self.tasks[name]))
        return commands

    def record(
        self, group: queues.Group, number: int, now: datetime.timedelta
    ) -> records.Task:
        """Return the record of a task; a new one if it never started."""
        name = group.work.name(number)
        task = self.tasks.get(name)
        if task is None:
            task = records.Task(
                spec=group.work.task(number),
                phase=Phase.WAITING,
                since=now,
                amount=group.amount,
            )
            self.tasks[name] = task
            group.active.add(number)
            if group.work.kind is workers.TaskKind.SERVICE:
                self.services[name] = task
        return task

    def drop(self, name: ids.TaskId) -> None:
        """Remove the record of a task that holds no room."""
        del self.tasks[name]
        self.unwritten.pop(name, None)
        self.services.pop(name, None)

    def leave_host(self, task: records.Task) -> None:
        """Release what an attempt has committed."""
        name = task.spec.task
        self.ledger.release(task.host, name)
        self.teams.give_back(task.spec.team, task.amount)
        self.stopping.pop(name, None)
        if task.spec.kind is workers.TaskKind.SERVICE:
            self.replicas.add(plan.service_of(name), task.host, -1)
        task.host = None
        task.address = ""

    def requeue(self, group: queues.Group, number: int) -> None:
        """Let a task wait before those of its group that never started."""
        group.again.append(number)
        self.queue.put(group)
