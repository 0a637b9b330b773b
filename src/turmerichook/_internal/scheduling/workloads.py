"""Submission, change and withdrawal of the workloads of a zone."""

import datetime
import heapq

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.models import site
from turmerichook._internal import outcomes
from turmerichook._internal.providers import hosts
from turmerichook._internal.providers import workers
from turmerichook._internal.scheduling import commitments
from turmerichook._internal.scheduling import journal
from turmerichook._internal.scheduling import plan
from turmerichook._internal.scheduling import queues
from turmerichook._internal.scheduling import tasks as records

Phase = records.Phase
Task = records.Task
StopCommand = records.StopCommand


class Workloads(commitments.Commitments):
    """Operations that change the wanted workloads or the host list."""

    def configure(self, configuration: site.Configuration) -> None:
        """Apply the weights, teams and quotas of a configuration."""
        self.weights = configuration.weights
        self.teams.configure(self.zone, configuration)
        self.queue.changed = True

    def set_hosts(self, listing: tuple[hosts.Host, ...]) -> None:
        """Apply a new host list."""
        former = self.hosts
        self.hosts = {host.host: host for host in listing}
        for name in former.keys() - self.hosts.keys():
            self.ledger.unlist(name)
        total = resources.NOTHING
        for host in listing:
            self.ledger.set_capacity(host.host, host.capacity)
            self.replicas.set_rack(host.host, host.rack)
            total = total.plus(host.capacity)
        self.teams.total = total
        live = hosts.HostState.LIVE
        self.capacities = frozenset(
            host.capacity for host in listing if host.state is live
        )

    def submit(
        self,
        work: plan.Workload,
        facts: journal.JournalState,
        now: datetime.timedelta,
    ) -> list[StopCommand]:
        """Add a workload, or change one that was submitted before.

        :param facts: the journal's facts, from which tasks that a former
            owner started are taken over.
        :returns: stops of tasks that are no longer wanted.
        """
        group = self.groups.get(work.key)
        if group is not None:
            return self._change_workload(group, work, facts, now)
        self.sequence += 1
        group = queues.Group(
            work=work,
            sequence=self.sequence,
            amount=self.adviser.size(work.task(0)),
            since=now,
        )
        self.groups[work.key] = group
        if work.zones and self.zone not in work.zones:
            group.halted = outcomes.Absent(
                reason=outcomes.Reason.NO_ZONE_OPEN,
                detail="allowed zones: " + ", ".join(work.zones),
            )
        if work.deadline is not None:
            heapq.heappush(self.deadlines, (work.deadline, work.key))
        for number in range(work.count):
            self._adopt_if_recorded(group, number, facts, now)
        self.note_completion(group)
        self.queue.put(group)
        return []

    def withdraw(self, key: str, now: datetime.timedelta) -> list[StopCommand]:
        """Remove a workload; return the stops of its attempts.

        The cost grows with the number of its tasks that have records, not
        with the number of those that never started.
        """
        group = self.groups.pop(key, None)
        if group is None:
            return []
        group.halted = outcomes.Absent(reason=outcomes.Reason.NO_SUCH_KEY)
        job = plan.job_of(ids.TaskId(key))
        self.completed.pop(job, None)
        self.failed.pop(job, None)
        commands = []
        for number in sorted(group.active):
            commands += self._stop_wanting(group, number, now)
        return commands

    def note_completion(self, group: queues.Group) -> None:
        """Record a job as completed if all of its tasks have finished."""
        if group.work.kind is workers.TaskKind.BATCH:
            if group.finished >= group.work.count:
                job = plan.job_of(ids.TaskId(group.work.key))
                self.completed[job] = None

    def _change_workload(
        self,
        group: queues.Group,
        work: plan.Workload,
        facts: journal.JournalState,
        now: datetime.timedelta,
    ) -> list[StopCommand]:
        former = group.work
        if work == former:
            return []
        group.work = work
        if work.resources != former.resources:
            # Running attempts keep the amounts that they have committed.
            group.amount = self.adviser.size(work.task(0))
        commands: list[StopCommand] = []
        for number in sorted(group.active):
            if number >= work.count:
                commands += self._stop_wanting(group, number, now)
            else:
                self._want_task_again(group, number)
        for number in range(former.count, work.count):
            if number not in group.active:
                # Attempt numbers continue those of earlier tasks of that name.
                self._adopt_if_recorded(group, number, facts, now)
        group.next_unstarted = min(group.next_unstarted, work.count)
        group.requeued = type(group.requeued)(
            number for number in group.requeued if number < work.count
        )
        self.note_completion(group)
        self.queue.put(group)
        return commands

    def _want_task_again(self, group: queues.Group, number: int) -> None:
        task = self.tasks[group.work.name(number)]
        if task.wanted:
            return
        task.wanted = True
        group.adopted.add(number)
        if task.phase is Phase.WAITING:
            self.requeue(group, number)

    def _adopt_if_recorded(
        self,
        group: queues.Group,
        number: int,
        facts: journal.JournalState,
        now: datetime.timedelta,
    ) -> None:
        name = group.work.name(number)
        fact = facts.get(name)
        if fact is not None or name in self.tasks:
            self._adopt(group, number, fact, now)

    def _adopt(
        self,
        group: queues.Group,
        number: int,
        fact: journal.TaskProgress | None,
        now: datetime.timedelta,
    ) -> None:
        """Take over a task from its journal facts or its existing record."""
        group.adopted.add(number)
        if fact is not None and fact.succeeded is not None:
            group.finished += 1
            group.succeeded = group.succeeded or fact.succeeded
            return
        name = group.work.name(number)
        withdrawn_task = self.tasks.get(name)
        if withdrawn_task is not None:
            # The task was withdrawn and its last attempt has not yet ended.
            withdrawn_task.wanted = True
            group.active.add(number)
            return
        task = self.record(group, number, now)
        task.attempt = fact.attempt
        task.checkpoint = fact.checkpoint
        if fact.host is None:
            group.requeued.append(number)
            return
        task.phase = Phase.ASSIGNED
        task.host = fact.host
        task.saved = now
        self.ledger.record(fact.host, name, task.amount)
        self.teams.charge(group.work.team, task.amount)
        if group.work.kind is workers.TaskKind.SERVICE:
            self.replicas.add(plan.service_of(name), fact.host, 1)

    def _stop_wanting(
        self, group: queues.Group, number: int, now: datetime.timedelta
    ) -> list[StopCommand]:
        name = group.work.name(number)
        task = self.tasks[name]
        task.wanted = False
        task.due = None
        if task.phase is Phase.RESERVED:
            self.unreserve(task, now)
        match task.phase:
            case Phase.WAITING:
                if group.work.key not in self.groups:
                    self.remove_record(name)
                return []
            case Phase.STOPPING:
                return []
            case _:
                return [self.stop(task, now)]
