"""Tasks that may start, and the order in which they are placed.

Tasks of one step are alike, so that a step whose task found no worker is
passed over for the rest of the round, and after it until a worker that may
have room for it has changed.
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
from turmerichook._internal.dispatch import refusals
from turmerichook._internal.dispatch import room as rooms
from turmerichook._internal.dispatch import urgency
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

# A step of fillers that no worker could take is not tried again before, nor
# are those of the same image that ask for as much: the harm that fillers do
# changes with each reading. A backlog tried against hundreds of workers each
# round would fill a processor.
BLOCKED_PAUSE = datetime.timedelta(milliseconds=150)

# Why a step waits is found out and logged for one step at a time this often,
# and for the same one not before the second time has passed: a look at all
# workers for each step in each round would fill a processor.
EXPLAIN_INTERVAL = datetime.timedelta(milliseconds=100)
EXPLAIN_AGAIN = datetime.timedelta(seconds=30)

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
    needs: rooms.Needs
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


class WaitingTasks:
    """All tasks that wait for a worker."""

    def __init__(self):
        # By step, and apart whether the tasks restart.
        self.steps: dict[tuple[model.StepKey, bool], WaitingStep] = {}
        self.urgency: urgency.Urgency[WaitingStep] = urgency.Urgency()
        # Whether long-running tasks leave too little to short ones.
        self.crowded = False
        self.room = rooms.Room()
        self.refusals = refusals.Refusals()
        self.explain_at = fleet.ZERO

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
                needs=rooms.needs_of(job.spec.steps[task.step]),
                service=job.queue.service,
            )
            self.urgency.add(found)
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
            self.steps.pop(key).tasks.clear()

    def by_urgency(
        self,
        *,
        workers: collections.abc.Iterable[fleet.Worker],
        now: datetime.timedelta,
        wall: datetime.timedelta,
    ) -> list[WaitingStep]:
        """Return the steps with waiting tasks, the most urgent first."""
        steps = self.steps.values()
        if self.urgency.expired(now):
            starving = any(step.starving(now) for step in steps)
            self.crowded = starving and _crowded(workers)
        return self.urgency.read(
            items=steps,
            key=lambda step: step.order(now, wall, crowded=self.crowded),
            live=lambda step: step.tasks,
            now=now,
        )

    def place(
        self,
        *,
        workers: collections.abc.Collection[fleet.Worker],
        closed: collections.abc.Container[ids.ZoneId],
        approved: Approved,
        assign: Assign,
        full: collections.abc.Callable[[], bool],
        interference: interferences.Interference,
        now: datetime.timedelta,
        wall: datetime.timedelta,
        limit: int,
    ) -> int:
        """Give tasks to workers, the most urgent first; return how many.

        :param full: whether tasks of no further step may be assigned.
        """
        self.room.update(workers, closed, now)
        self.refusals.clean(now)
        round_ = _Round(
            workers=workers,
            closed=closed,
            approved=approved,
            interference=interference,
            now=now,
            room=self.room,
            refusals=self.refusals,
            reserved=self.room.kept,
        )
        placed = 0
        for waiting in self.by_urgency(workers=workers, now=now, wall=wall):
            if placed >= limit or full():
                break
            chosen: list[Choice] = []
            if not round_.hopeless(waiting):
                if waiting.step.gang:
                    chosen = round_.choose_gang(waiting)
                else:
                    chosen = round_.choose(waiting, limit - placed)
            for task, worker, run in chosen:
                self.remove(task)
                assign(waiting.job, task, worker, run, now)
                self.room.refresh(worker)
            placed += len(chosen)
            if self.explain_at <= now >= waiting.explain_at and waiting.tasks:
                self.explain_at = now + EXPLAIN_INTERVAL
                waiting.explain_at = now + EXPLAIN_AGAIN
                round_.explain(waiting)
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
    room: rooms.Room
    refusals: refusals.Refusals
    # Workers whose room is being kept together for a starving task.
    reserved: set[ids.WorkerId]

    def hopeless(self, waiting: WaitingStep) -> bool:
        """Tell quickly that no worker can take a step's tasks now."""
        if waiting.service != waiting.job.queue.service:
            waiting.service = waiting.job.queue.service
            waiting.tried = rooms.UNTRIED
        needs = waiting.needs
        if needs.filler:
            return self._paused(waiting)
        if needs.long_running and waiting.starving(self.now):
            # What is kept for others may do, or room is to be kept for it.
            return len(self.reserved) >= RESERVED_MAX and not self._seats(
                waiting
            )
        if self.room.may_fit(needs, waiting.tried):
            return False
        waiting.tried = self.room.position
        return True

    def _paused(self, waiting: WaitingStep) -> bool:
        """Tell quickly that no worker takes a step's fillers now."""
        if self.now < waiting.blocked_until:
            return True
        overdue = self._overdue(waiting)
        if not overdue and not self.room.may_fill(waiting.needs):
            return True
        kind = _kind(waiting, overdue)
        until = self.refusals.until(kind, waiting.needs, self.now)
        if until is None:
            return False
        waiting.blocked_until = until
        return True

    def choose(self, waiting: WaitingStep, limit: int) -> list[Choice]:
        """Choose workers for as many of a step's tasks as fit.

        Each choice counts as if the task took its room at once.
        """
        step = waiting.step
        records = waiting.job.progress.tasks
        seats = [] if waiting.needs.filler else self._seats(waiting)
        counts = _tasks_by_worker(waiting)
        conditions = self._conditions(waiting, counts)
        overdue = self._overdue(waiting)
        chosen: list[Choice] = []
        ranking: placement.Ranking | None = None
        for task, last in waiting.tasks.items():
            if len(chosen) == limit:
                break
            if ranking is None:
                ranking = self._rank(
                    waiting,
                    conditions,
                    seats,
                    count=min(limit, len(waiting.tasks)),
                    overdue=overdue,
                    chosen=[choice.worker for choice in chosen],
                )
            worker = ranking.take(last)
            if isinstance(worker, outcomes.Absent):
                if waiting.needs.filler:
                    self._pause(waiting, conditions, overdue=overdue)
                elif conditions.approved is None or not seats:
                    waiting.tried = self.room.position
                starving = waiting.starving(self.now)
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

    def explain(self, waiting: WaitingStep) -> None:
        """Log why no worker takes the step's tasks, if none does."""
        ranking = placement.Ranking(
            conditions=self._conditions(waiting, _tasks_by_worker(waiting)),
            workers=self.workers,
            reserved=self._reserved_from(waiting),
            interference=self.interference,
            overdue=self._overdue(waiting),
        )
        found = ranking.take(ids.WorkerId(""))
        if isinstance(found, outcomes.Absent):
            _log_wait(waiting, found.detail)
        elif waiting.step.gang:
            _log_wait(waiting, ranking.detail())

    def _seats(self, waiting: WaitingStep) -> list[rooms.Seat]:
        """Return the workers that may have room for a step's tasks."""
        tried = rooms.UNTRIED if waiting.step.gang else waiting.tried
        return self.room.seats_for(waiting.needs, waiting.service, tried)

    def _conditions(
        self, waiting: WaitingStep, counts: collections.Counter
    ) -> obstacles.Conditions:
        return obstacles.Conditions(
            step=waiting.step,
            service=waiting.job.queue.service,
            closed=self.closed,
            approved=self.approved(waiting),
            on_worker=counts,
            now=self.now,
        )

    def _reserved_from(
        self, waiting: WaitingStep
    ) -> collections.abc.Container[ids.WorkerId]:
        """Return the workers whose room is kept for other tasks."""
        # What a starving task waits for may be room for another.
        return () if waiting.starving(self.now) else self.reserved

    def _overdue(self, waiting: WaitingStep) -> bool:
        """Tell whether a filler's job has had nothing running for long."""
        return (
            waiting.needs.filler
            and self.now - waiting.since > PATIENCE
            and not any(r.worker for r in waiting.job.progress.tasks.values())
        )

    def _rank(
        self,
        waiting: WaitingStep,
        conditions: obstacles.Conditions,
        seats: list[rooms.Seat],
        *,
        count: int,
        overdue: bool,
        chosen: collections.abc.Collection[fleet.Worker],
    ) -> placement.Ranking:
        reserved = self._reserved_from(waiting)
        needs = waiting.needs
        if needs.filler:
            seats = self.room.seats_for_filler(
                needs, waiting.service, overdue=overdue
            )
        elif reserved:
            seats = [s for s in seats if s.worker.worker not in reserved]
        if conditions.approved is not None or waiting.step.max_per_worker:
            seats = [s for s in seats if conditions.obstacle(s.worker) is None]
        return placement.Ranking(
            conditions=conditions,
            workers=[
                s.worker
                for s in rooms.best(seats, needs, count)
                # A suspected worker gets one task at a time.
                if not (s.worker.suspected and s.worker in chosen)
            ],
            reserved=reserved,
            interference=self.interference,
            overdue=overdue,
        )

    def _pause(
        self,
        waiting: WaitingStep,
        conditions: obstacles.Conditions,
        *,
        overdue: bool,
    ) -> None:
        """Let a step of fillers that no worker takes rest for a while."""
        waiting.blocked_until = self.now + BLOCKED_PAUSE
        restricted = waiting.step.max_per_worker or waiting.step.gang
        if conditions.approved is None and not restricted:
            self.refusals.note(
                _kind(waiting, overdue),
                waiting.needs,
                now=self.now,
                until=waiting.blocked_until,
            )

    def choose_gang(self, waiting: WaitingStep) -> list[Choice]:
        """Choose workers for all members, under one run number, or none."""
        count = waiting.step.count
        if len(waiting.tasks) < count:
            # Members of the former run have not all ended yet.
            return []
        if waiting.tried >= 0 and not waiting.starving(self.now):
            if not self.room.seats_for(
                waiting.needs, waiting.service, waiting.tried
            ):
                waiting.tried = self.room.position
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


def _kind(waiting: WaitingStep, overdue: bool) -> collections.abc.Hashable:
    """Return what fillers have in common whose refusals can be compared."""
    needs = waiting.needs
    return waiting.service, needs.label, waiting.step.image, overdue


def _log_wait(waiting: WaitingStep, detail: str) -> None:
    logs.emit(
        events.DispatchEvent.TASK_WAITS,
        job=waiting.key.job,
        step=waiting.key.step,
        tasks=len(waiting.tasks),
        reason=outcomes.Reason.NO_FIT.value,
        obstacles=detail,
        priority=waiting.job.queue.priority,
    )
