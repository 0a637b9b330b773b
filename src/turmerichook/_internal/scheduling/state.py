"""State of a zone's tasks, and the transitions between their phases.

The module does no I/O. Events come in, journal entries and commands go out;
the owner makes the entries durable before it carries out the commands.
Decisions about waiting tasks are in ``decision_round``.
"""

import datetime
import heapq

from turmerichook._internal.models import ids
from turmerichook._internal import outcomes
from turmerichook._internal.providers import workers
from turmerichook._internal.scheduling import journal
from turmerichook._internal.scheduling import plan
from turmerichook._internal.scheduling import queues
from turmerichook._internal.scheduling import retries
from turmerichook._internal.scheduling import tasks as records
from turmerichook._internal.scheduling import workloads

Phase = records.Phase
Task = records.Task
StartCommand = records.StartCommand
StopCommand = records.StopCommand

ON_HOST = (Phase.ASSIGNED, Phase.RUNNING, Phase.STOPPING)


class ZoneTasks(workloads.Workloads):
    """All tasks of a zone with the ledger of their commitments."""

    def running(
        self,
        name: ids.TaskId,
        attempt: ids.Attempt,
        address: str,
        now: datetime.timedelta | None = None,
    ) -> bool:
        """Note that an attempt runs; False if it is not the current one."""
        task = self.tasks.get(name)
        if task is None or task.attempt != attempt:
            return False
        if task.phase in (Phase.ASSIGNED, Phase.RUNNING):
            if task.phase is Phase.ASSIGNED:
                task.saved = now if now is not None else task.since
                if self.unfreeable:
                    # The task may now make room for an urgent one.
                    self.unfreeable.clear()
                    self.queue.changed = True
            task.phase = Phase.RUNNING
            task.address = address
            return True
        return task.phase is Phase.STOPPING

    def checkpointed(
        self,
        name: ids.TaskId,
        attempt: ids.Attempt,
        checkpoint: ids.CheckpointId,
        now: datetime.timedelta,
    ) -> None:
        """Note a checkpoint of an attempt that goes on."""
        task = self._current(name, attempt)
        if task is not None:
            task.checkpoint = checkpoint
            task.saved = now

    def ended(
        self,
        name: ids.TaskId,
        attempt: ids.Attempt,
        *,
        succeeded: bool,
        now: datetime.timedelta,
    ) -> list[journal.Entry]:
        """Note that an attempt gave its result.

        A worker may report a result after the attempt was given up; it
        counts unless the task has been started again.
        """
        task = self._current(name, attempt) or self._lapsed(name, attempt)
        if task is None:
            return []
        if task.spec.kind is workers.TaskKind.SERVICE:
            # A replica is meant to run until it is stopped.
            return self.returned(
                name, attempt, checkpoint=None, now=now, failed=True
            )
        key, number = plan.split(name)
        group = self.groups.get(key)
        if task.phase in ON_HOST:
            self.leave_host(task)
        elif group is not None:
            self._leave_queue(group, number, task, now)
        self.drop(name)
        if group is not None:
            group.active.discard(number)
            group.finished += 1
            group.succeeded = group.succeeded or succeeded
            self.note_completion(group)
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
        failed: bool = False,
    ) -> list[journal.Entry]:
        """Note that an attempt has certainly ended without a result.

        :param failed: whether the task itself failed; it is then tried again
            after a growing delay.
        """
        task = self._current(name, attempt)
        if task is None:
            return self._late_checkpoint(name, attempt, checkpoint)
        if failed or task.phase is Phase.ASSIGNED:
            task.avoid |= {task.host}
        host = task.host
        self.leave_host(task)
        known, unwritten = self.unwritten.pop(name, (None, None))
        if checkpoint is None and known == attempt:
            checkpoint = unwritten
        task.checkpoint = checkpoint or task.checkpoint
        task.since = now
        task.phase = Phase.WAITING
        key, number = plan.split(name)
        group = self.groups.get(key)
        if group is None:
            self.drop(name)
        elif task.wanted:
            if failed:
                self._note_failure(group, task, host, now)
            else:
                self.requeue(group, number)
        return [
            journal.Returned(
                task=name, attempt=attempt, checkpoint=task.checkpoint
            )
        ]

    def inherited(
        self,
        name: ids.TaskId,
        attempt: ids.Attempt,
        checkpoint: ids.CheckpointId,
    ) -> list[journal.Entry]:
        """Note the checkpoint of an end that a former owner did not write.

        The worker may be dead by now, so that nobody reports it again.
        """
        self.unwritten[name] = (attempt, checkpoint)
        return self._late_checkpoint(name, attempt, checkpoint)

    def on_host(self, host: ids.HostId) -> list[ids.TaskId]:
        """Return the tasks that run or may run on a host."""
        account = self.ledger.hosts.get(host)
        return list(account.tasks) if account else []

    def expire(self, now: datetime.timedelta) -> None:
        """Fail the jobs whose deadlines have passed."""
        while self.deadlines and self.deadlines[0][0] <= now:
            deadline, key = heapq.heappop(self.deadlines)
            group = self.groups.get(key)
            if group is None or group.work.deadline != deadline:
                continue
            left = group.work.count - group.finished
            if left > 0:
                fault = outcomes.Absent(
                    reason=outcomes.Reason.DEADLINE_PASSED,
                    detail=f"{left} of {group.work.count} tasks have not "
                    "finished",
                )
                self.fail(group, fault)

    def end_delays(self, now: datetime.timedelta) -> None:
        """Queue the failed tasks that may be tried again."""
        while self.delayed and self.delayed[0][0] <= now:
            due, name = heapq.heappop(self.delayed)
            task = self.tasks.get(name)
            if task is None or task.due != due or not task.wanted:
                continue
            task.due = None
            key, number = plan.split(name)
            self.requeue(self.groups[key], number)

    # Steps

    def _note_failure(
        self,
        group: queues.Group,
        task: Task,
        host: ids.HostId,
        now: datetime.timedelta,
    ) -> None:
        if task.spec.kind is workers.TaskKind.SERVICE:
            if now - task.saved > retries.LONGEST_DELAY:
                task.failures = retries.Failures()
        task.failures.add(host)
        group.failures.add(host)
        task.due = now + retries.delay(task.failures.count)
        heapq.heappush(self.delayed, (task.due, task.spec.task))
        if task.spec.kind is not workers.TaskKind.BATCH:
            return
        job_failures = group.failures
        if group.succeeded:
            job_failures = retries.Failures()
        fault = retries.fault(
            name=task.spec.task,
            task=task.failures,
            job=job_failures,
            hosts=len(self.usable),
        )
        if fault is not None:
            self.fail(group, fault)

    def fail(self, group: queues.Group, fault: outcomes.Absent) -> None:
        """Start no more tasks of a job; the owner records the reason."""
        if group.halted is None:
            group.halted = fault
            self.failed[plan.job_of(ids.TaskId(group.work.key))] = fault

    def _late_checkpoint(
        self,
        name: ids.TaskId,
        attempt: ids.Attempt,
        checkpoint: ids.CheckpointId | None,
    ) -> list[journal.Entry]:
        """Note a newer checkpoint of an attempt that was given up."""
        task = self._lapsed(name, attempt)
        if task is None or checkpoint in (None, task.checkpoint):
            return []
        task.checkpoint = checkpoint
        return [
            journal.Returned(task=name, attempt=attempt, checkpoint=checkpoint)
        ]

    def _leave_queue(
        self,
        group: queues.Group,
        number: int,
        task: Task,
        now: datetime.timedelta,
    ) -> None:
        if task.phase is Phase.RESERVED:
            self.unreserve(task, now)
        if number in group.again:
            group.again.remove(number)

    def _lapsed(self, name: ids.TaskId, attempt: ids.Attempt) -> Task | None:
        """Return a task whose last attempt was given up and not repeated.

        Its worker may still report a result or a newer checkpoint.
        """
        task = self.tasks.get(name)
        if task is None or task.attempt != attempt or not attempt:
            return None
        return None if task.phase in ON_HOST else task

    def _current(self, name: ids.TaskId, attempt: ids.Attempt) -> Task | None:
        task = self.tasks.get(name)
        if task is None or task.attempt != attempt:
            return None
        return task if task.phase in ON_HOST else None
