"""Tasks that may start, and the order in which they are placed.

Tasks of one step are alike, so that a step whose task found no worker is
passed over for the rest of the round, and after it until a worker that may
have room for it has changed.
"""

import collections.abc
import datetime

from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import interference as interferences
from turmerichook._internal.dispatch import jobs
from turmerichook._internal.dispatch import placement_round
from turmerichook._internal.dispatch import refusals
from turmerichook._internal.dispatch import room as rooms
from turmerichook._internal.dispatch import urgency
from turmerichook._internal.dispatch import waiting_step
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model

# Why a step waits is found out and logged for one step at a time this often,
# and for the same one not before the second time has passed: a look at all
# workers for each step in each round would fill a processor.
EXPLAIN_INTERVAL = datetime.timedelta(milliseconds=100)
EXPLAIN_AGAIN = datetime.timedelta(seconds=30)

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


class WaitingTasks:
    """All tasks that wait for a worker."""

    def __init__(self):
        # By step, and apart whether the tasks restart.
        self.steps: dict[
            tuple[model.StepKey, bool], waiting_step.WaitingStep
        ] = {}
        self.urgency: urgency.Urgency[waiting_step.WaitingStep] = (
            urgency.Urgency()
        )
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
            found = waiting_step.create(job, task, restarts=restarts, now=now)
            self.steps[key, restarts] = found
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
    ) -> list[waiting_step.WaitingStep]:
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
        approved: placement_round.Approved,
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
        round_ = placement_round.Round(
            workers=workers,
            closed=closed,
            approved=approved,
            interference=interference,
            now=now,
            room=self.room,
            refusals=self.refusals,
            reserved=self.room.reserved,
        )
        placed = 0
        for waiting in self.by_urgency(workers=workers, now=now, wall=wall):
            if placed >= limit or full():
                break
            chosen = round_.choose(waiting, limit - placed)
            for task, worker, run in chosen:
                self.remove(task)
                assign(waiting.job, task, worker, run, now)
                self.room.refresh(worker)
            placed += len(chosen)
            self._explain(round_, waiting)
        return placed

    def _explain(
        self,
        round_: placement_round.Round,
        waiting: waiting_step.WaitingStep,
    ) -> None:
        """Log why a step waits, if that is due."""
        now = round_.now
        if self.explain_at <= now >= waiting.explain_at and waiting.tasks:
            self.explain_at = now + EXPLAIN_INTERVAL
            waiting.explain_at = now + EXPLAIN_AGAIN
            round_.explain(waiting)


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
