"""Tasks that may start, and the order in which they are placed.

Tasks of one step are alike, so that a step whose task found no worker is
passed over for the rest of the round.
"""

import collections
import collections.abc
import dataclasses
import datetime
import typing

from turmerichook._internal.dispatch import events
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import interference as interferences
from turmerichook._internal.dispatch import jobs
from turmerichook._internal.dispatch import obstacles
from turmerichook._internal.dispatch import placement
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import ids
from turmerichook._internal import outcomes
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

# A step of fillers that no worker could take is not tried again before. A
# backlog tried against hundreds of workers each round would fill a processor.
BLOCKED_PAUSE = datetime.timedelta(milliseconds=150)

# Workers whose room is kept together at once; more would keep short tasks out.
RESERVED_MAX = 2

# Share of all processors beyond which long-running tasks that have never run
# no longer go before short ones; these would wait for each piece of room
# otherwise.
LONG_RUNNING_SHARE = 0.9

# Gives a task to a worker under a run number.
Assign = collections.abc.Callable[
    [
        jobs.Job,
        model.TaskKey,
        fleet.Worker,
        ids.Attempt,
        datetime.timedelta,
    ],
    None,
]


# Returns the workers that a step's policy allows; None if it allows all.
Approved = collections.abc.Callable[
    ["WaitingStep"], collections.abc.Container[ids.WorkerId] | None
]


class Order(typing.NamedTuple):
    """Sort key of a waiting step; the lowest is the most urgent."""

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
    blocked_until: datetime.timedelta = fleet.ZERO
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
        may do so, as its service has lost a part.

        A job that cannot meet its objective any more earns little by coming
        early, and waits behind those of its priority that can.
        """
        lasting = self.step.long_running
        end = wall + self.chain
        return Order(
            useless=end > self.useful_until and not lasting,
            priority=self.job.queue.priority,
            unclaimed=not self.starving(now)
            or (crowded and not self.restarts),
            long_running=lasting,
            late=end > self.deadline,
            due=self.due + len(self.tasks) * self.due_by_task,
        )


class WaitingTasks:
    """All tasks that wait for a worker."""

    def __init__(self):
        # By step, and apart whether the tasks restart.
        self.steps: dict[tuple[model.StepKey, bool], WaitingStep] = {}

    def __len__(self) -> int:
        return sum(len(step.tasks) for step in self.steps.values())

    def add(
        self,
        job: jobs.Job,
        task: model.TaskKey,
        last: ids.WorkerId,
        now: datetime.timedelta,
    ) -> None:
        """Let a task wait."""
        restarts = _restarts(job, task)
        key = task.step_key
        found = self.steps.get((key, restarts))
        if found is None:
            deadline = job.deadline(task.occurrence)
            later = job.progress.work_after(task.step)
            work = job.spec.steps[task.step].work
            found = self.steps[key, restarts] = WaitingStep(
                job=job,
                key=key,
                restarts=restarts,
                deadline=deadline,
                useful_until=job.deadline(task.occurrence, LATE_FACTOR),
                chain=job.progress.chain_from(task.step),
                due=deadline + later / WORK_PROCESSORS,
                due_by_task=work / WORK_PROCESSORS,
                since=now,
            )
        found.tasks[task] = last

    def remove(self, task: model.TaskKey) -> None:
        """Let a task wait no longer."""
        for restarts in (False, True):
            key = (task.step_key, restarts)
            found = self.steps.get(key)
            if found is not None:
                found.tasks.pop(task, None)
                if not found.tasks:
                    del self.steps[key]

    def drop(self, job: ids.JobId) -> None:
        """Remove all tasks of a job."""
        for key in [key for key in self.steps if key[0].job == job]:
            del self.steps[key]

    def by_urgency(
        self,
        *,
        workers: collections.abc.Iterable[fleet.Worker],
        now: datetime.timedelta,
        wall: datetime.timedelta,
    ) -> list[WaitingStep]:
        """Return the steps with waiting tasks, the most urgent first."""
        steps = self.steps.values()
        crowded = any(s.starving(now) for s in steps) and _crowded(workers)
        return sorted(
            steps, key=lambda step: step.order(now, wall, crowded=crowded)
        )

    def place(
        self,
        *,
        workers: collections.abc.Collection[fleet.Worker],
        closed: collections.abc.Container[ids.ZoneId],
        approved: Approved,
        assign: Assign,
        interference: interferences.Interference,
        now: datetime.timedelta,
        wall: datetime.timedelta,
        limit: int,
    ) -> int:
        """Give tasks to workers, the most urgent first; return how many."""
        round_ = _Round(
            workers=workers,
            closed=closed,
            approved=approved,
            interference=interference,
            now=now,
        )
        placed = 0
        for waiting in self.by_urgency(workers=workers, now=now, wall=wall):
            if placed >= limit:
                break
            if waiting.step.filler and now < waiting.blocked_until:
                continue
            if waiting.step.gang:
                chosen = round_.choose_gang(waiting)
            else:
                chosen = round_.choose(waiting, limit - placed)
            for task, worker, run in chosen:
                self.remove(task)
                assign(waiting.job, task, worker, run, now)
            placed += len(chosen)
        return placed


class Choice(typing.NamedTuple):
    """A task, its worker, and the number of its run."""

    task: model.TaskKey
    worker: fleet.Worker
    run: ids.Attempt


@dataclasses.dataclass(kw_only=True)
class _Round:
    """Placement of the waiting tasks at one moment."""

    workers: collections.abc.Collection[fleet.Worker]
    closed: collections.abc.Container[ids.ZoneId]
    approved: Approved
    interference: interferences.Interference
    now: datetime.timedelta
    # Workers whose room is being kept together for a starving task.
    reserved: set[ids.WorkerId] = dataclasses.field(default_factory=set)

    def choose(self, waiting: WaitingStep, limit: int) -> list[Choice]:
        """Choose workers for as many of a step's tasks as fit.

        Each choice counts as if the task took its room at once.
        """
        step = waiting.step
        counts = _tasks_by_worker(waiting)
        conditions = obstacles.Conditions(
            step=step,
            service=waiting.job.queue.service,
            closed=self.closed,
            approved=self.approved(waiting),
            on_worker=counts,
            now=self.now,
        )
        records = waiting.job.progress.tasks
        overdue = self.now - waiting.since > PATIENCE and not any(
            record.worker for record in records.values()
        )
        starving = waiting.starving(self.now)
        chosen: list[Choice] = []
        ranking: placement.Ranking | None = None
        for task, last in waiting.tasks.items():
            if len(chosen) == limit:
                break
            if ranking is None:
                ranking = placement.Ranking(
                    conditions=conditions,
                    workers=self.workers,
                    # What a starving task waits for may be room for another.
                    reserved=() if starving else self.reserved,
                    interference=self.interference,
                    overdue=overdue,
                )
            worker = ranking.take(last)
            if isinstance(worker, outcomes.Absent):
                _log_wait(waiting, worker)
                waiting.blocked_until = self.now + BLOCKED_PAUSE
                if starving and len(self.reserved) < RESERVED_MAX:
                    self._keep_room(conditions)
                break
            counts[worker.worker] += 1
            worker.reserve(step)
            record = records.get(task)
            run = ids.Attempt(record.run + 1 if record else 1)
            chosen.append(Choice(task, worker, run))
            if overdue:
                # Only one task of an overdue job goes wherever there is room.
                overdue, ranking = False, None
            elif not worker.suspected:
                ranking.put_back(worker)
        for choice in chosen:
            choice.worker.release(step)
        return chosen

    def choose_gang(self, waiting: WaitingStep) -> list[Choice]:
        """Choose workers for all members, under one run number, or none."""
        count = waiting.step.count
        if len(waiting.tasks) < count:
            # Members of the former run have not all ended yet.
            return []
        chosen = self.choose(waiting, count)
        if len(chosen) < count:
            return []
        run = max(choice.run for choice in chosen)
        return [choice._replace(run=run) for choice in chosen]

    def _keep_room(self, conditions: obstacles.Conditions) -> None:
        """Keep others off the worker that will have room first.

        Short tasks would take each piece of room as it becomes free.
        """
        worker = placement.roomiest(
            conditions=conditions,
            workers=self.workers,
            reserved=self.reserved,
        )
        if worker is not None:
            self.reserved.add(worker.worker)


def _restarts(job: jobs.Job, task: model.TaskKey) -> bool:
    """Tell whether a task is to last and has run before."""
    step = job.spec.steps[task.step]
    record = job.progress.tasks.get(task)
    # The members of a gang only start together.
    return (
        step.long_running
        and not step.gang
        and record is not None
        and record.run > 0
    )


def _crowded(workers: collections.abc.Iterable[fleet.Worker]) -> bool:
    """Tell whether long-running tasks leave too little to short ones."""
    capacity = held = 0
    for worker in workers:
        if worker.entry is None or not worker.listed:
            continue
        capacity += worker.entry.capacity.millicores
        held += sum(
            run.step.committed.millicores
            for run in worker.runs.values()
            if run.step.long_running
        )
    return held > capacity * LONG_RUNNING_SHARE


def _tasks_by_worker(waiting: WaitingStep) -> collections.Counter:
    """Count the step's tasks on each worker."""
    counts: collections.Counter = collections.Counter()
    if waiting.step.max_per_worker:
        key = waiting.key
        for task, record in waiting.job.progress.tasks.items():
            if task.occurrence == key.occurrence and task.step == key.step:
                if record.worker:
                    counts[record.worker] += 1
    return counts


def _log_wait(waiting: WaitingStep, absent: outcomes.Absent) -> None:
    logs.emit(
        events.DispatchEvent.TASK_WAITS,
        job=waiting.key.job,
        step=waiting.key.step,
        tasks=len(waiting.tasks),
        reason=absent.reason.value,
        obstacles=absent.detail,
        priority=waiting.job.queue.priority,
    )
