"""How far one job is: a pure state machine over its tasks.

Only tasks that have been started are kept one by one; a task without a record
has never run. The caller persists the job after each change and starts
nothing before that.
"""

import collections.abc
import dataclasses
import datetime
import enum

from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model


class Phase(enum.Enum):
    """Where a task is."""

    # May start once its step is open.
    WAITING = "waiting"
    # Given to a worker, which may or may not run it.
    ASSIGNED = "assigned"
    DONE = "done"


@dataclasses.dataclass(kw_only=True, slots=True)
class TaskRecord:
    """What is known of one task.

    :param run: number of the last run, 0 before the first.
    :param failures: runs that ended by a fault of task or worker.
    """

    phase: Phase = Phase.WAITING
    run: ids.Attempt = ids.Attempt(0)
    worker: ids.WorkerId = ids.WorkerId("")
    failures: int = 0
    checkpoint: ids.CheckpointId = ids.CheckpointId("")


class Progress:
    """State of one job."""

    def __init__(self, *, spec: model.JobSpec):
        self.spec = spec
        self.tasks: dict[model.TaskKey, TaskRecord] = {}
        self.canceled = False
        self.failed = False
        # Tasks that are not done, by occurrence and step.
        self.left: dict[tuple[int, int], int] = {}
        self.opened = 0
        self.completed_steps = 0

    @property
    def started(self) -> bool:
        """Whether any task was ever given to a worker."""
        return bool(self.tasks)

    @property
    def begun(self) -> bool:
        """Whether the records show that a worker has begun a task.

        An assignment does not: its start may have been refused or lost.
        """
        return any(
            record.phase is Phase.DONE or record.failures or record.checkpoint
            for record in self.tasks.values()
        )

    @property
    def state(self) -> model.JobState:
        """What callers are told."""
        if self.canceled:
            return model.JobState.CANCELED
        if self.failed:
            return model.JobState.FAILED
        total = self.spec.occurrences * len(self.spec.steps)
        if self.completed_steps == total:
            return model.JobState.COMPLETED
        if self.started:
            return model.JobState.RUNNING
        return model.JobState.QUEUED

    def open_occurrence(self) -> list[model.TaskKey]:
        """Open the next occurrence and return its tasks that may start."""
        occurrence = self.opened
        self.opened += 1
        for number, step in enumerate(self.spec.steps):
            self.left[occurrence, number] = step.count
        ready: list[model.TaskKey] = []
        for number, step in enumerate(self.spec.steps):
            if not step.after:
                ready += self._tasks(occurrence, number)
        return ready

    def assign(
        self, task: model.TaskKey, worker: ids.WorkerId, run: ids.Attempt
    ) -> TaskRecord:
        """Give a waiting task to a worker."""
        record = self.tasks.setdefault(task, TaskRecord())
        record.phase = Phase.ASSIGNED
        record.worker = worker
        record.run = run
        return record

    def finish(self, task: model.TaskKey) -> list[model.TaskKey]:
        """Mark a task as done; return the tasks that may start now."""
        record = self.tasks.setdefault(task, TaskRecord())
        if record.phase is Phase.DONE:
            return []
        record.phase = Phase.DONE
        record.worker = ids.WorkerId("")
        slot = (task.occurrence, task.step)
        self.left[slot] -= 1
        if self.left[slot]:
            return []
        self.completed_steps += 1
        return self._unlocked(task.occurrence, task.step)

    def return_to_queue(
        self, task: model.TaskKey, *, checkpoint: str, failed: bool
    ) -> TaskRecord:
        """Let a task whose run ended start again."""
        record = self.tasks[task]
        record.phase = Phase.WAITING
        record.worker = ids.WorkerId("")
        if checkpoint:
            record.checkpoint = ids.CheckpointId(checkpoint)
        if failed:
            record.failures += 1
        return record

    def assigned(self) -> list[model.TaskKey]:
        """Return the tasks that are on a worker."""
        return [
            task
            for task, record in self.tasks.items()
            if record.phase is Phase.ASSIGNED
        ]

    def waiting(self) -> list[model.TaskKey]:
        """Return the tasks that may start, of all opened occurrences."""
        found: list[model.TaskKey] = []
        for occurrence in range(self.opened):
            for number in range(len(self.spec.steps)):
                if self.step_open(occurrence, number):
                    found += [
                        task
                        for task in self._tasks(occurrence, number)
                        if self._is_waiting(task)
                    ]
        return found

    def step_open(self, occurrence: int, number: int) -> bool:
        """Tell whether all steps that must come first are done."""
        return all(
            not self.left[occurrence, earlier]
            for earlier in self.spec.steps[number].after
        )

    def chain_from(self, number: int) -> datetime.timedelta:
        """Return the estimated run time of the longest chain from a step."""
        return self._chains()[number]

    def chain(self) -> datetime.timedelta:
        """Return the estimated run time of the longest chain of steps."""
        return max(self._chains(), default=datetime.timedelta())

    def work_after(self, number: int) -> datetime.timedelta:
        """Return the estimated processor time of all steps after a step."""
        later = {number}
        work = datetime.timedelta()
        for other, step in enumerate(self.spec.steps):
            if later.intersection(step.after):
                later.add(other)
                work += step.count * step.work
        return work

    def _chains(self) -> list[datetime.timedelta]:
        steps = self.spec.steps
        lengths = [datetime.timedelta()] * len(steps)
        for first in reversed(range(len(steps))):
            later = (
                lengths[other]
                for other in range(first + 1, len(steps))
                if first in steps[other].after
            )
            lengths[first] = steps[first].estimate + max(
                later, default=datetime.timedelta()
            )
        return lengths

    def _is_waiting(self, task: model.TaskKey) -> bool:
        record = self.tasks.get(task)
        return record is None or record.phase is Phase.WAITING

    def _unlocked(self, occurrence: int, done: int) -> list[model.TaskKey]:
        ready: list[model.TaskKey] = []
        for number, step in enumerate(self.spec.steps):
            if done in step.after and self.step_open(occurrence, number):
                ready += self._tasks(occurrence, number)
        return ready

    def _tasks(
        self, occurrence: int, number: int
    ) -> collections.abc.Iterator[model.TaskKey]:
        for index in range(self.spec.steps[number].count):
            yield model.TaskKey(self.spec.job, occurrence, number, index)


def restore(
    spec: model.JobSpec,
    tasks: dict[model.TaskKey, TaskRecord],
    *,
    opened: int,
    canceled: bool,
    failed: bool,
) -> Progress:
    """Return the progress of a job as it was persisted."""
    progress = Progress(spec=spec)
    for _ in range(opened):
        progress.open_occurrence()
    progress.tasks = tasks
    progress.canceled = canceled
    progress.failed = failed
    for task, record in tasks.items():
        if record.phase is Phase.DONE:
            progress.left[task.occurrence, task.step] -= 1
    progress.completed_steps = sum(not left for left in progress.left.values())
    return progress
