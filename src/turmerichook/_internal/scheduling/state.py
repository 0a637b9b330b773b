"""State of a zone's tasks, and the transitions between their phases.

The module does no I/O. Its methods take events and return journal entries and
commands; the zone's owner writes the entries to the journal before it carries
out the commands. Decisions about waiting tasks are in ``decision_round``.
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
    """Task records of a zone, changed by reports about their attempts."""

    def running(
        self,
        name: ids.TaskId,
        attempt: ids.Attempt,
        address: str,
        now: datetime.timedelta | None = None,
    ) -> bool:
        """Record that an attempt runs; False if it is not the current one."""
        task = self.tasks.get(name)
        if task is None or task.attempt != attempt:
            return False
        if task.phase in (Phase.ASSIGNED, Phase.RUNNING):
            if task.phase is Phase.ASSIGNED:
                task.saved = now if now is not None else task.since
                if self.unpreemptible:
                    # The task may now be preempted for an urgent one.
                    self.unpreemptible.clear()
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
        """Record a checkpoint of an attempt that continues."""
        task = self._current_task(name, attempt)
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
        """Record the result of an attempt.

        A worker may report a result after the owner has given up the attempt,
        for example since the worker was unreachable. Such a result counts
        unless the task has been started again.
        """
        task = self._current_task(name, attempt) or self._given_up_task(
            name, attempt
        )
        if task is None:
            return []
        if task.spec.kind is workers.TaskKind.SERVICE:
            # A replica should run until it is stopped, so a result of its own
            # counts as a failure.
            return self.returned(
                name, attempt, checkpoint=None, now=now, failed=True
            )
        key, number = plan.split(name)
        group = self.groups.get(key)
        if task.phase in ON_HOST:
            self.leave_host(task)
        elif group is not None:
            self._leave_queue(group, number, task, now)
        self.remove_record(name)
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
        """Record that an attempt has certainly ended without a result.

        :param failed: whether the task itself failed; its next attempt then
            starts after a delay that grows with each failure.
        """
        task = self._current_task(name, attempt)
        if task is None:
            return self._late_checkpoint(name, attempt, checkpoint)
        if failed or task.phase is Phase.ASSIGNED:
            task.avoid |= {task.host}
        host = task.host
        self.leave_host(task)
        unwritten_attempt, unwritten_checkpoint = self.unwritten_ends.pop(
            name, (None, None)
        )
        if checkpoint is None and unwritten_attempt == attempt:
            checkpoint = unwritten_checkpoint
        task.checkpoint = checkpoint or task.checkpoint
        task.since = now
        task.phase = Phase.WAITING
        key, number = plan.split(name)
        group = self.groups.get(key)
        if group is None:
            self.remove_record(name)
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

    def record_inherited_checkpoint(
        self,
        name: ids.TaskId,
        attempt: ids.Attempt,
        checkpoint: ids.CheckpointId,
    ) -> list[journal.Entry]:
        """Record the checkpoint of an end that a former owner did not write.

        The journal lacks the end of the attempt and its checkpoint. The
        worker may have failed in the meantime, and would then not report
        them again.
        """
        self.unwritten_ends[name] = (attempt, checkpoint)
        return self._late_checkpoint(name, attempt, checkpoint)

    def on_host(self, host: ids.HostId) -> list[ids.TaskId]:
        """Return the tasks with commitments on a host, which may run there."""
        account = self.ledger.hosts.get(host)
        return list(account.tasks) if account else []

    def fail_overdue_jobs(self, now: datetime.timedelta) -> None:
        """Fail the jobs whose deadlines have passed."""
        while self.deadlines and self.deadlines[0][0] <= now:
            deadline, key = heapq.heappop(self.deadlines)
            group = self.groups.get(key)
            if group is None or group.work.deadline != deadline:
                continue
            unfinished = group.work.count - group.finished
            if unfinished > 0:
                failure = outcomes.Absent(
                    reason=outcomes.Reason.DEADLINE_PASSED,
                    detail=f"{unfinished} of {group.work.count} tasks have "
                    "not finished",
                )
                self.fail(group, failure)

    def requeue_delayed(self, now: datetime.timedelta) -> None:
        """Queue the failed tasks whose retry delays have ended."""
        while self.delayed and self.delayed[0][0] <= now:
            due, name = heapq.heappop(self.delayed)
            task = self.tasks.get(name)
            if task is None or task.due != due or not task.wanted:
                continue
            task.due = None
            key, number = plan.split(name)
            self.requeue(self.groups[key], number)

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
        failure = retries.final_failure(
            name=task.spec.task,
            task=task.failures,
            job=job_failures,
            hosts=len(self.usable),
        )
        if failure is not None:
            self.fail(group, failure)

    def fail(self, group: queues.Group, failure: outcomes.Absent) -> None:
        """Halt a job; the zone's owner writes the reason to its record."""
        if group.halted is None:
            group.halted = failure
            self.failed[plan.job_of(ids.TaskId(group.work.key))] = failure

    def _late_checkpoint(
        self,
        name: ids.TaskId,
        attempt: ids.Attempt,
        checkpoint: ids.CheckpointId | None,
    ) -> list[journal.Entry]:
        """Record a newer checkpoint of an attempt that was given up."""
        task = self._given_up_task(name, attempt)
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
        if number in group.requeued:
            group.requeued.remove(number)

    def _given_up_task(
        self, name: ids.TaskId, attempt: ids.Attempt
    ) -> Task | None:
        """Return a task if the attempt is its last one and was given up.

        The worker may still report a result or a newer checkpoint of it.
        """
        task = self.tasks.get(name)
        if task is None or task.attempt != attempt or not attempt:
            return None
        return None if task.phase in ON_HOST else task

    def _current_task(
        self, name: ids.TaskId, attempt: ids.Attempt
    ) -> Task | None:
        task = self.tasks.get(name)
        if task is None or task.attempt != attempt:
            return None
        return task if task.phase in ON_HOST else None
