"""State of a zone's tasks, and the transitions between their phases.

The module does no I/O. Events come in, journal entries and commands go out;
the owner makes the entries durable before it carries out the commands.
"""

import dataclasses
import datetime
import enum

from turmerichook._internal.models import ids
from turmerichook._internal.models import site
from turmerichook._internal import outcomes
from turmerichook._internal.platform import hosts
from turmerichook._internal.platform import workers
from turmerichook._internal.scheduling import journal
from turmerichook._internal.scheduling import ledger as ledgers
from turmerichook._internal.scheduling import placement
from turmerichook._internal.scheduling import plan


class Phase(enum.Enum):
    """Phase of a task in its zone."""

    WAITING = "waiting"
    # Assigned in the journal; whether it runs is not yet known.
    ASSIGNED = "assigned"
    RUNNING = "running"
    STOPPING = "stopping"
    FINISHED = "finished"
    FAILED = "failed"


@dataclasses.dataclass(kw_only=True, slots=True)
class Task:
    """A task that the zone should run or may be running.

    :param wanted: whether the plan still holds the task.
    :param since: monotonic time at which the task entered its phase.
    """

    spec: plan.TaskSpec
    phase: Phase
    since: datetime.timedelta
    attempt: ids.Attempt = ids.Attempt(0)
    host: ids.HostId | None = None
    checkpoint: ids.CheckpointId | None = None
    address: str = ""
    wanted: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StartCommand:
    """Send a start once its assignment is durable."""

    task: ids.TaskId
    host: ids.HostId
    attempt: ids.Attempt


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StopCommand:
    """Ask a worker to stop an attempt."""

    host: ids.HostId
    stop: workers.Stop


Command = StartCommand | StopCommand

URGENCY_RANK = {
    site.Urgency.URGENT: 0,
    site.Urgency.NORMAL: 1,
    site.Urgency.DEFERRABLE: 2,
}


class ZoneTasks:
    """All tasks of a zone with the ledger of their commitments."""

    def __init__(self):
        self.tasks: dict[ids.TaskId, Task] = {}
        self.waiting: dict[ids.TaskId, None] = {}
        self.ledger = ledgers.Ledger()
        self.hosts: dict[ids.HostId, hosts.Host] = {}
        # Hosts that answer and are not leaving.
        self.usable: set[ids.HostId] = set()
        self.weights = site.Weights()
        self.open = False

    def set_hosts(self, listing: tuple[hosts.Host, ...]) -> None:
        """Take over the host list."""
        self.hosts = {host.host: host for host in listing}
        for host in listing:
            self.ledger.set_capacity(host.host, host.capacity)

    def want(
        self,
        specs: list[plan.TaskSpec],
        facts: journal.Facts,
        now: datetime.timedelta,
    ) -> list[Command]:
        """Make the plan's tasks the wanted ones.

        :param facts: what the journal knows, for tasks seen first.
        :returns: stops of tasks that are no longer wanted.
        """
        names = {spec.task for spec in specs}
        for spec in specs:
            task = self.tasks.get(spec.task)
            if task is None:
                self._adopt(spec, facts.get(spec.task), now)
            else:
                task.wanted = True
        commands: list[Command] = []
        for name, task in list(self.tasks.items()):
            if name not in names:
                commands += self._unwant(name, task, now)
        return commands

    def decide(
        self, now: datetime.timedelta, limit: int
    ) -> tuple[list[journal.Entry], list[Command], list[outcomes.Absent]]:
        """Place waiting tasks, urgent ones first.

        :param limit: most placements in one round.
        """
        entries: list[journal.Entry] = []
        commands: list[Command] = []
        refused: list[outcomes.Absent] = []
        if not self.open:
            return entries, commands, refused
        usable = sorted(self.usable & self.hosts.keys())
        for name in sorted(self.waiting, key=self._rank)[:limit]:
            choice = placement.choose(
                amount=self.tasks[name].spec.resources,
                ledger=self.ledger,
                usable=usable,
                weights=self.weights,
            )
            match choice:
                case outcomes.Absent():
                    refused.append(
                        dataclasses.replace(choice, detail=str(name))
                    )
                case placement.Placed():
                    command = self._assign(name, choice.host, now)
                    commands.append(command)
                    entries.append(
                        journal.Assigned(
                            task=name,
                            attempt=command.attempt,
                            host=command.host,
                        )
                    )
        return entries, commands, refused

    def running(
        self, name: ids.TaskId, attempt: ids.Attempt, address: str
    ) -> bool:
        """Note that an attempt runs; False if it is not the current one."""
        task = self.tasks.get(name)
        if task is None or task.attempt != attempt:
            return False
        if task.phase in (Phase.ASSIGNED, Phase.RUNNING):
            task.phase = Phase.RUNNING
            task.address = address
            return True
        return task.phase is Phase.STOPPING

    def ended(
        self,
        name: ids.TaskId,
        attempt: ids.Attempt,
        *,
        succeeded: bool,
        now: datetime.timedelta,
    ) -> list[journal.Entry]:
        """Note that an attempt gave its result."""
        task = self._current(name, attempt) or self._lapsed(name, attempt)
        if task is None:
            return []
        self.waiting.pop(name, None)
        self._leave_host(task)
        task.phase = Phase.FINISHED if succeeded else Phase.FAILED
        task.since = now
        return [
            journal.Finished(task=name, attempt=attempt, succeeded=succeeded)
        ]

    def returned(
        self,
        name: ids.TaskId,
        attempt: ids.Attempt,
        *,
        checkpoint: ids.CheckpointId | None,
        now: datetime.timedelta,
    ) -> list[journal.Entry]:
        """Note that an attempt has certainly ended without a result."""
        task = self._current(name, attempt) or self._lapsed(name, attempt)
        if task is None:
            return []
        if task.host is None and checkpoint in (None, task.checkpoint):
            return []
        self._leave_host(task)
        task.checkpoint = checkpoint or task.checkpoint
        task.since = now
        if task.wanted:
            task.phase = Phase.WAITING
            self.waiting[name] = None
        else:
            del self.tasks[name]
        return [
            journal.Returned(
                task=name, attempt=attempt, checkpoint=task.checkpoint
            )
        ]

    def stop(self, name: ids.TaskId, now: datetime.timedelta) -> StopCommand:
        """Begin to stop a task that has a host; batch is checkpointed."""
        task = self.tasks[name]
        task.phase = Phase.STOPPING
        task.since = now
        batch = task.spec.kind is workers.TaskKind.BATCH
        stop = workers.Stop(task=name, attempt=task.attempt, checkpoint=batch)
        return StopCommand(host=task.host, stop=stop)

    def on_host(self, host: ids.HostId) -> list[ids.TaskId]:
        """Return the tasks that run or may run on a host."""
        account = self.ledger.hosts.get(host)
        return list(account.tasks) if account else []

    def _rank(self, name: ids.TaskId) -> tuple[int, int]:
        spec = self.tasks[name].spec
        batch = spec.kind is workers.TaskKind.BATCH
        return (URGENCY_RANK[spec.urgency], int(batch))

    def _adopt(
        self,
        spec: plan.TaskSpec,
        fact: journal.TaskFacts | None,
        now: datetime.timedelta,
    ) -> None:
        task = Task(spec=spec, phase=Phase.WAITING, since=now)
        self.tasks[spec.task] = task
        if fact is not None:
            task.attempt = fact.attempt
            task.checkpoint = fact.checkpoint
        if fact is not None and fact.succeeded is not None:
            task.phase = Phase.FINISHED if fact.succeeded else Phase.FAILED
        elif fact is not None and fact.host is not None:
            task.phase = Phase.ASSIGNED
            task.host = fact.host
            self.ledger.record(fact.host, spec.task, spec.resources)
        else:
            self.waiting[spec.task] = None

    def _unwant(
        self, name: ids.TaskId, task: Task, now: datetime.timedelta
    ) -> list[Command]:
        task.wanted = False
        if task.phase in (Phase.WAITING, Phase.FINISHED, Phase.FAILED):
            self.waiting.pop(name, None)
            del self.tasks[name]
            return []
        if task.phase is Phase.STOPPING or task.host is None:
            return []
        return [self.stop(name, now)]

    def _assign(
        self, name: ids.TaskId, host: ids.HostId, now: datetime.timedelta
    ) -> StartCommand:
        task = self.tasks[name]
        self.ledger.commit(host, name, task.spec.resources)
        del self.waiting[name]
        task.phase = Phase.ASSIGNED
        task.since = now
        task.host = host
        task.address = ""
        task.attempt = ids.Attempt(task.attempt + 1)
        return StartCommand(task=name, host=host, attempt=task.attempt)

    def _current(self, name: ids.TaskId, attempt: ids.Attempt) -> Task | None:
        task = self.tasks.get(name)
        if task is None or task.attempt != attempt or task.host is None:
            return None
        return task

    def _lapsed(self, name: ids.TaskId, attempt: ids.Attempt) -> Task | None:
        """Return a task whose last attempt was given up and not repeated.

        Its worker may still report a result or a newer checkpoint.
        """
        task = self.tasks.get(name)
        if task is None or task.attempt != attempt or not attempt:
            return None
        return task if task.phase is Phase.WAITING else None

    def _leave_host(self, task: Task) -> None:
        if task.host is not None:
            self.ledger.release(task.host, task.spec.task)
        task.host = None
        task.address = ""
