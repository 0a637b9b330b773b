"""Task records of a zone, with their queue, commitments and reservations."""

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

# A stop is sent again after this time, since its message may have been lost.
STOP_INTERVAL = datetime.timedelta(seconds=2)
# The learned size of a task class changes with each usage report. A waiting
# group keeps an amount that is larger than the size by at most this factor,
# since the group would otherwise change its subqueue with each report.
MAX_SIZE_RATIO = 1.125


def always_admits(task: ids.TaskId, started: int) -> bool:
    """Admit every task, as a journal without a size limit would."""
    return True


def _covers_closely(
    amount: resources.Resources, size: resources.Resources
) -> bool:
    """Tell whether an amount covers a size and exceeds it only slightly."""
    return (
        size.fits(amount)
        and amount.millicores <= size.millicores * MAX_SIZE_RATIO
        and amount.memory_mib <= size.memory_mib * MAX_SIZE_RATIO
    )


class Commitments:
    """Task records of a zone, and the operations that change commitments.

    :param generator: source of the random numbers for all decisions.
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
        # The service tasks among ``tasks``, so that building the table of
        # endpoints does not iterate over batch tasks.
        self.services: dict[ids.TaskId, records.Task] = {}
        # Attempt and checkpoint of attempts that have ended without an entry
        # of a former owner in the journal.
        self.unwritten_ends: dict[
            ids.TaskId, tuple[ids.Attempt, ids.CheckpointId]
        ] = {}
        self.groups: dict[str, queues.Group] = {}
        self.queue = queues.Queue()
        self.ledger = ledgers.Ledger()
        self.teams = quotas.Teams()
        self.replicas = placement.Replicas()
        self.hosts: dict[ids.HostId, hosts.Host] = {}
        # Hosts that are reachable and not leaving.
        self.usable = self.ledger.usable
        # Capacities of the live hosts; an amount that exceeds each of them
        # cannot be placed at all.
        self.capacities: frozenset[resources.Resources] = frozenset()
        self.weights = site.Weights()
        self.open = False
        # Called with a task and the number of tasks that start before it.
        # Returns whether the journal has space for all of them.
        self.admits: collections.abc.Callable[[ids.TaskId, int], bool] = (
            always_admits
        )
        self.adviser: advisers.Adviser = advisers.NoAdvice()
        # Time at which workloads that the adviser refused are tried again.
        self.refused_until: datetime.timedelta | None = None
        # Amounts that fit on no host until capacity is released.
        self.unfit_amounts: set[resources.Resources] = set()
        # Amounts and task classes for which preemption cannot free enough,
        # until capacity is released or another task begins to run.
        self.unpreemptible: set[queues.SubqueueKey] = set()
        self.releases = 0
        self.sequence = 0
        self.reserved: dict[ids.TaskId, None] = {}
        self.stopping: dict[ids.TaskId, datetime.timedelta] = {}
        self.delayed: list[tuple[datetime.timedelta, ids.TaskId]] = []
        self.deadlines: list[tuple[datetime.timedelta, str]] = []
        # Jobs whose tasks all have a result, and jobs that have failed for
        # good. Both stay until the job is withdrawn.
        self.completed: dict[ids.JobId, None] = {}
        self.failed: dict[ids.JobId, outcomes.Absent] = {}

    def assign(
        self,
        group: queues.Group,
        number: int,
        host: ids.HostId,
        now: datetime.timedelta,
    ) -> records.StartCommand:
        """Commit resources on a host to the next attempt of a task."""
        task = self.record(group, number, now)
        name = task.spec.task
        amount = group.amount
        if task.phase is Phase.RESERVED:
            if task.host != host:
                self.ledger.cancel_reservation(task.host, name)
            else:
                # The size of new attempts may have changed since the
                # reservation, which is for the former size.
                amount = task.amount
            self.teams.refund(task.spec.team, task.amount)
            del self.reserved[name]
        self.ledger.commit(host, name, amount)
        self.teams.charge(group.work.team, amount)
        if group.work.kind is workers.TaskKind.SERVICE:
            self.replicas.add(plan.service_of(name), host, 1)
        task.phase = Phase.ASSIGNED
        task.since = task.saved = now
        task.host = host
        task.amount = amount
        task.address = ""
        task.due = None
        task.attempt = ids.Attempt(task.attempt + 1)
        self.adviser.record_placement(
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
        """Reserve capacity on a host for a task as other tasks release it."""
        task = self.record(group, number, now)
        task.phase = Phase.RESERVED
        task.since = now
        task.host = host
        task.amount = group.amount
        self.ledger.reserve(host, task.spec.task, group.amount)
        self.teams.charge(group.work.team, group.amount)
        self.reserved[task.spec.task] = None

    def unreserve(self, task: records.Task, now: datetime.timedelta) -> None:
        """Cancel the reservation of a task, which then waits again."""
        name = task.spec.task
        self.ledger.cancel_reservation(task.host, name)
        self.teams.refund(task.spec.team, task.amount)
        del self.reserved[name]
        task.phase = Phase.WAITING
        task.since = now
        task.host = None

    def resize(self, task: records.Task, amount: resources.Resources) -> None:
        """Change the amount that the current attempt commits."""
        self.ledger.resize(task.host, task.spec.task, amount)
        self.teams.refund(task.spec.team, task.amount)
        self.teams.charge(task.spec.team, amount)
        task.amount = amount

    def resize_waiting(self) -> None:
        """Set the amounts of waiting groups to the sizes learned by now."""
        sizes: dict[tuple, resources.Resources] = {}
        for group in self.groups.values():
            if group.peek() is None:
                continue
            key = (group.task_class, group.work.resources)
            if key not in sizes:
                sizes[key] = self.adviser.size(group.work.task(0))
            if not _covers_closely(group.amount, sizes[key]):
                group.amount = sizes[key]
                self.queue.put(group)

    def stop(
        self,
        task: records.Task,
        now: datetime.timedelta,
        *,
        checkpoint: bool = True,
    ) -> records.StopCommand:
        """Mark an attempt as stopping and return the command to stop it.

        :param checkpoint: whether a batch task writes a checkpoint first.
        """
        task.phase = Phase.STOPPING
        task.since = now
        self.stopping[task.spec.task] = now
        return self.stop_command(task, checkpoint=checkpoint)

    def stop_command(
        self, task: records.Task, *, checkpoint: bool = True
    ) -> records.StopCommand:
        """Return the command that stops a task's current attempt."""
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
        """Return the stops that are due to be sent again."""
        commands = []
        for name, sent in self.stopping.items():
            if now - sent >= STOP_INTERVAL:
                self.stopping[name] = now
                commands.append(self.stop_command(self.tasks[name]))
        return commands

    def record(
        self, group: queues.Group, number: int, now: datetime.timedelta
    ) -> records.Task:
        """Return the record of a task; create it if there is none."""
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

    def remove_record(self, name: ids.TaskId) -> None:
        """Remove the record of a task without commitment or reservation."""
        del self.tasks[name]
        self.unwritten_ends.pop(name, None)
        self.services.pop(name, None)

    def leave_host(self, task: records.Task) -> None:
        """Release the commitment of an attempt that has ended."""
        name = task.spec.task
        self.ledger.release(task.host, name)
        self.teams.refund(task.spec.team, task.amount)
        self.stopping.pop(name, None)
        if task.spec.kind is workers.TaskKind.SERVICE:
            self.replicas.add(plan.service_of(name), task.host, -1)
        task.host = None
        task.address = ""

    def requeue(self, group: queues.Group, number: int) -> None:
        """Queue a task ahead of the tasks of its group that never started."""
        group.requeued.append(number)
        self.queue.put(group)
