"""Waiting tasks of one step, and their urgency."""

import collections
import dataclasses
import datetime
import typing

from turmerichook._internal.dispatch import crashes
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import jobs
from turmerichook._internal.dispatch import room as rooms
from turmerichook._internal.dispatch import task_needs
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model

# Time that a job of filler tasks may have no task running before one task is
# placed even where it slows serving tasks down, and that a long-running task
# may wait before it is starving. The site guarantees at most 3 s.
STARVATION_TIME = datetime.timedelta(seconds=2)

# Multiple of a job's latency objective after which its result has no value.
USEFUL_TIME_FACTOR = 3.0

# Processors by which a job's remaining work is divided to get an allowance
# that is added to the time at which the job is due. Small jobs thereby go
# before large ones, as several small jobs end in the time that a large one
# takes. Without the allowance, jobs that wait together miss their objectives
# one after the other. Simulated with 3 to 50 processors, see
# tests/dispatch/test_order.py: values below 3 delay large jobs that could meet
# their objectives.
WORK_PROCESSORS = 10


class Order(typing.NamedTuple):
    """Sort key of a waiting step; the lowest key is the most urgent."""

    postponable: bool
    useless: bool
    over_share: bool
    postponed: bool
    priority: int
    not_promoted: bool
    long_running: bool
    first_run: bool
    late: bool
    due: datetime.timedelta


class CheckedFor(typing.NamedTuple):
    """Properties of a queue on which a check of the workers depends.

    :param answer_count: how often the advisor's answers for the step have
        been stored; None if the queue has no advisor.
    """

    service: ids.ServiceId
    answer_count: int | None


@dataclasses.dataclass(kw_only=True, eq=False, slots=True)
class WaitingStep:
    """Waiting tasks of a step, each with the worker of its last run.

    :param customer: customer whose quota and share the tasks count for, or
        empty.
    :param restarts: whether the tasks are long-running ones that have run
        before.
    :param suspected: whether this is a single task that may crash the worker
        that starts it.
    :param deadline: when the job has to end to meet its latency objective.
    :param useful_until: when a result of the job loses its value.
    :param chain: estimated time from the step's start to the job's end, along
        the longest chain of steps.
    :param due: the deadline plus an allowance for the work of later steps.
    :param due_by_task: allowance that each waiting task adds to ``due``.
    :param needs: what each task requires of a worker of the service.
    :param checked_position: position in the log of changed workers up to
        which no worker had capacity for a task.
    :param checked_for: what that check depended on besides the workers.
    :param sweep: number of the last pass over all steps that has checked this
        step; see ``WaitingTasks.place``.
    :param lacked_room: whether a check has found too little room for the
        tasks, so that they do not merely wait for a commit.
    :param quota_reached: whether the customer's quota let fewer tasks start
        when the step was last checked.
    """

    job: jobs.Job
    key: model.StepKey
    customer: ids.CustomerId
    restarts: bool
    suspected: bool
    deadline: datetime.timedelta
    useful_until: datetime.timedelta
    chain: datetime.timedelta
    due: datetime.timedelta
    due_by_task: datetime.timedelta
    since: datetime.timedelta
    needs: task_needs.Needs
    checked_position: int = rooms.UNCHECKED
    checked_for: CheckedFor | None = None
    sweep: int = -1
    lacked_room: bool = False
    quota_reached: bool = False
    blocked_until: datetime.timedelta = fleet.ZERO
    explain_at: datetime.timedelta = fleet.ZERO
    tasks: dict[model.TaskKey, ids.WorkerId] = dataclasses.field(
        default_factory=dict
    )

    @property
    def step(self) -> model.Step:
        """Specification of the step."""
        return self.job.spec.steps[self.key.step]

    @property
    def crashes_unconfirmed(self) -> bool:
        """Whether the tasks wait until it is known which workers crashed.

        A gang waits for all of its members.
        """
        if not self.suspected and not self.step.gang:
            return False
        records = self.job.progress.tasks
        return any(
            crashes.must_wait(records[task])
            for task in self.tasks
            if task in records
        )

    def starving(self, now: datetime.timedelta) -> bool:
        """Return whether a long-running task has waited too long."""
        return self.step.long_running and now - self.since > STARVATION_TIME

    def order(
        self,
        now: datetime.timedelta,
        wall: datetime.timedelta,
        *,
        long_running_over_share: bool,
        over_share: bool = False,
        postponed: bool = False,
    ) -> Order:
        """Return the sort key.

        Jobs whose results would come too late to have any value are last,
        whatever their priority: they run on capacity that no other job uses.

        Long-running tasks free their capacity only when their job is
        cancelled, so that short tasks of the same priority go first. That
        changes when the long-running task starves, unless long-running tasks
        already use more than their maximum share of the processors. A
        restarting task need not starve for that, and goes before first runs
        of services: its service has lost one of its running tasks, and the
        room that this task left is soon taken. When starving, a restarting
        task goes before all others, whatever its priority and the share:
        tasks of more urgent queues may otherwise fill each commit.

        Where customers share the workers, the tasks of one that uses more
        than its share go after those of the others.

        A job that can no longer meet its latency objective gains little from
        ending earlier, and goes after jobs of the same priority that can.

        :param long_running_over_share: whether long-running tasks use more
            than their maximum share of the processors.
        :param over_share: whether the customer uses more than its share while
            others have waiting tasks.
        :param postponed: whether the job goes after others to save them from
            being late, see ``least_cost``.
        """
        long_running = self.step.long_running
        starving = self.starving(now)
        if self.restarts:
            promoted = starving or not long_running_over_share
        else:
            promoted = starving and not long_running_over_share
        end = wall + self.chain
        return Order(
            postponable=not (self.restarts and starving),
            useless=end > self.useful_until and not long_running,
            over_share=over_share,
            postponed=postponed and not long_running,
            priority=self.job.queue.priority,
            not_promoted=not promoted,
            long_running=long_running,
            first_run=not self.restarts,
            late=end > self.deadline,
            due=self.due + len(self.tasks) * self.due_by_task,
        )

    def overdue(self, now: datetime.timedelta) -> bool:
        """Return whether a filler job has had no task running for too long."""
        return (
            self.needs.filler
            and now - self.since > STARVATION_TIME
            and not self.job.progress.assigned_count
        )

    def tasks_by_worker(self) -> collections.Counter[ids.WorkerId]:
        """Count the step's tasks on each worker.

        The result is empty if the step has no limit for each worker.
        """
        counts: collections.Counter[ids.WorkerId] = collections.Counter()
        if self.step.max_per_worker:
            for record in self.job.progress.step_records(self.key):
                if record.worker:
                    counts[record.worker] += 1
        return counts


def create(
    job: jobs.Job,
    task: model.TaskKey,
    *,
    restarts: bool,
    suspected: bool,
    now: datetime.timedelta,
) -> WaitingStep:
    """Return a waiting step for a task, without any waiting tasks yet."""
    step = job.spec.steps[task.step]
    deadline = job.deadline(task.occurrence)
    later_work = job.progress.downstream_work(task.step)
    return WaitingStep(
        job=job,
        key=task.step_key,
        customer=job.spec.customer,
        restarts=restarts,
        suspected=suspected,
        deadline=deadline,
        useful_until=job.deadline(task.occurrence, USEFUL_TIME_FACTOR),
        chain=job.progress.critical_path_from(task.step),
        due=deadline + later_work / WORK_PROCESSORS,
        due_by_task=step.processor_time / WORK_PROCESSORS,
        since=now,
        needs=task_needs.needs_of(step),
    )
