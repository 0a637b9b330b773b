"""Waiting tasks of one step, and how urgent they are."""

import collections
import dataclasses
import datetime
import typing

from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import jobs
from turmerichook._internal.dispatch import room as rooms
from turmerichook._internal.dispatch import task_needs
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model

# A job that has had nothing running for this long gets one task started
# without regard to what it slows down. The site's promise is 3 s.
PATIENCE = datetime.timedelta(seconds=2)

# Multiple of a job's objective up to which a late result is paid for.
LATE_FACTOR = 3.0

# A job counts as due later by the time for which the work that it still needs
# keeps so many processors busy: in the time of a large job several small ones
# end. Without this, a crowd of jobs makes each other late one after the other.
# Simulated with 3 to 50 processors, see tests/dispatch/test_order.py; less
# than 3 puts off large jobs that could be in time.
WORK_PROCESSORS = 10


class Order(typing.NamedTuple):
    """Sort key of a waiting step; the lowest is the most urgent."""

    postponable: bool
    useless: bool
    priority: int
    unclaimed: bool
    long_running: bool
    late: bool
    due: datetime.timedelta


@dataclasses.dataclass(kw_only=True, eq=False)
class WaitingStep:
    """Waiting tasks of a step, each with the worker of its last run.

    :param restarts: whether the tasks have run before and are to last.
    :param useful_until: when a result is worth nothing any more.
    :param chain: time from the step's start to the job's end.
    :param due: the objective's time, put off by the work of later steps.
    :param due_by_task: how much each waiting task puts it off.
    :param needs: what each task asks of a worker of the service.
    :param tried: position in the log of changed workers up to which none had
        room for a task.
    """

    job: jobs.Job
    key: model.StepKey
    restarts: bool
    deadline: datetime.timedelta
    useful_until: datetime.timedelta
    chain: datetime.timedelta
    due: datetime.timedelta
    due_by_task: datetime.timedelta
    since: datetime.timedelta
    needs: task_needs.Needs
    service: ids.ServiceId
    tried: int = rooms.UNTRIED
    blocked_until: datetime.timedelta = fleet.ZERO
    explain_at: datetime.timedelta = fleet.ZERO
    tasks: dict[model.TaskKey, ids.WorkerId] = dataclasses.field(
        default_factory=dict
    )

    @property
    def step(self) -> model.Step:
        """The step."""
        return self.job.spec.steps[self.key.step]

    def starving(self, now: datetime.timedelta) -> bool:
        """Tell whether a long-running task has been kept out for long."""
        return self.step.long_running and now - self.since > PATIENCE

    def order(
        self,
        now: datetime.timedelta,
        wall: datetime.timedelta,
        *,
        crowded: bool,
    ) -> Order:
        """Return the sort key.

        Jobs that are too late for any use come last, whatever their priority:
        they end once there is room that nobody else can use.

        Long-running tasks give their room back only when their job is
        cancelled, so that short ones of the same priority go first, until the
        long-running one starves and does not crowd them out. One that restarts
        may do so, as its service has lost a part, and then goes before all
        others: commits may have no room left behind more urgent queues.

        A job that cannot meet its objective any more earns little by coming
        early, and waits behind those of its priority that can.
        """
        lasting = self.step.long_running
        end = wall + self.chain
        return Order(
            postponable=not (self.restarts and self.starving(now)),
            useless=end > self.useful_until and not lasting,
            priority=self.job.queue.priority,
            unclaimed=not self.starving(now)
            or (crowded and not self.restarts),
            long_running=lasting,
            late=end > self.deadline,
            due=self.due + len(self.tasks) * self.due_by_task,
        )

    def overdue(self, now: datetime.timedelta) -> bool:
        """Tell whether a filler's job has had nothing running for long."""
        return (
            self.needs.filler
            and now - self.since > PATIENCE
            and not any(r.worker for r in self.job.progress.tasks.values())
        )

    def tasks_by_worker(self) -> collections.Counter[ids.WorkerId]:
        """Count the step's tasks on each worker, if there is a limit."""
        counts: collections.Counter[ids.WorkerId] = collections.Counter()
        if self.step.max_per_worker:
            key = self.key
            for task, record in self.job.progress.tasks.items():
                if task.occurrence == key.occurrence and task.step == key.step:
                    if record.worker:
                        counts[record.worker] += 1
        return counts


def create(
    job: jobs.Job,
    task: model.TaskKey,
    *,
    restarts: bool,
    now: datetime.timedelta,
) -> WaitingStep:
    """Return the step of a task, with no waiting tasks so far."""
    step = job.spec.steps[task.step]
    deadline = job.deadline(task.occurrence)
    later = job.progress.work_after(task.step)
    return WaitingStep(
        job=job,
        key=task.step_key,
        restarts=restarts,
        deadline=deadline,
        useful_until=job.deadline(task.occurrence, LATE_FACTOR),
        chain=job.progress.chain_from(task.step),
        due=deadline + later / WORK_PROCESSORS,
        due_by_task=step.work / WORK_PROCESSORS,
        since=now,
        needs=task_needs.needs_of(step),
        service=job.queue.service,
    )
