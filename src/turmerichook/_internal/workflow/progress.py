"""Progress of one job: a state machine over its tasks, without I/O.

A task gets a record when it is assigned to a worker for the first time; a
task without a record has never run. The code that uses this module stores the
progress after each change, and starts no task before the change is durable.
"""

import collections
import collections.abc
import dataclasses
import datetime
import enum
import typing

from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model
from turmerichook._internal.workflow import step_graph


class Phase(enum.Enum):
    """Phase of a task."""

    # Not on a worker. The task may start once all steps that its step depends
    # on are done.
    WAITING = "waiting"
    # Assigned to a worker. The worker may not have started the task yet, or
    # may have refused to start it.
    ASSIGNED = "assigned"
    DONE = "done"


class FailureReason(enum.Enum):
    """Reason why a job has failed, as it is shown to callers."""

    ATTEMPTS_EXHAUSTED = "attempts-exhausted"
    WORKERS_CRASHED = "workers-crashed"


class LostWorker(typing.NamedTuple):
    """Worker of which nothing is heard any more.

    :param incarnation: incarnation of the worker at the loss; 0 if unknown.
    """

    worker: ids.WorkerId
    incarnation: int


@dataclasses.dataclass(kw_only=True, slots=True)
class TaskRecord:
    """Stored state of one task.

    :param run: number of the latest run, 0 before the first.
    :param worker: worker that the task is assigned to, or empty.
    :param failures: number of runs that a fault of the task or of its worker
        ended.
    :param checkpoint: latest checkpoint that a run reported, or empty.
    :param incarnation: incarnation of the worker at the assignment; 0 if
        unknown.
    :param proven: whether the latest run has gone on for long enough not to
        be suspected if its worker is lost.
    :param crashes: number of workers that crashed, possibly because of the
        task, since it last proved to run on.
    :param certain_crashes: number of those on which the task had certainly
        begun.
    :param unconfirmed: workers that were lost in the same way, and of which
        nothing has been heard since.
    """

    phase: Phase = Phase.WAITING
    run: ids.Attempt = ids.Attempt(0)
    worker: ids.WorkerId = ids.WorkerId("")
    failures: int = 0
    checkpoint: ids.CheckpointId = ids.CheckpointId("")
    incarnation: int = 0
    proven: bool = False
    crashes: int = 0
    certain_crashes: int = 0
    unconfirmed: tuple[LostWorker, ...] = ()

    @property
    def suspected(self) -> bool:
        """Whether the task may crash the worker that starts it."""
        return self.crashes > 0 or bool(self.unconfirmed)

    def note_crash(self, *, certain: bool) -> None:
        """Count the crash of a worker.

        :param certain: whether the task had certainly begun there.
        """
        self.crashes += 1
        self.certain_crashes += certain

    def note_unconfirmed(self, lost: LostWorker) -> None:
        """Note a lost worker that may not have crashed."""
        if lost not in self.unconfirmed:
            self.unconfirmed += (lost,)

    def has_lost(self, worker: ids.WorkerId) -> bool:
        """Return whether the loss of a worker is unconfirmed."""
        return any(lost.worker == worker for lost in self.unconfirmed)

    def pop_unconfirmed(self, worker: ids.WorkerId) -> tuple[LostWorker, ...]:
        """Remove and return the lost incarnations of a worker."""
        found = tuple(c for c in self.unconfirmed if c.worker == worker)
        self.unconfirmed = tuple(
            c for c in self.unconfirmed if c.worker != worker
        )
        return found

    def forget_crashes(self) -> None:
        """Count crashes of workers anew."""
        self.crashes = self.certain_crashes = 0
        self.unconfirmed = ()


class Progress:
    """Progress of one job.

    :ivar graph: dependencies between the steps.
    :ivar tasks: records of the tasks that were ever assigned to a worker.
    :ivar assigned_count: number of tasks that are assigned to a worker.
    :ivar canceled: whether a caller has cancelled the job.
    :ivar failed: why the job has failed; None if it has not.
    :ivar unfinished_tasks: number of tasks that are not done, by occurrence
        and index of the step.
    :ivar unfinished_dependencies: number of steps that are not done and that
        a step depends on, by occurrence and index of the step.
    :ivar opened_occurrences: number of occurrences that have been opened,
        which happens when they are due; only tasks of opened occurrences may
        start.
    :ivar completed_steps: number of steps whose tasks are all done, over all
        occurrences.
    """

    def __init__(self, *, spec: model.JobSpec):
        self.spec = spec
        self.graph = step_graph.StepGraph(spec.steps)
        self.tasks: dict[model.TaskKey, TaskRecord] = {}
        self.assigned_count = 0
        self.canceled = False
        self.failed: FailureReason | None = None
        self.unfinished_tasks: dict[tuple[int, int], int] = {}
        self.unfinished_dependencies: dict[tuple[int, int], int] = {}
        self.opened_occurrences = 0
        self.completed_steps = 0

    @property
    def any_assigned(self) -> bool:
        """Whether any task was ever assigned to a worker."""
        return bool(self.tasks)

    @property
    def proven_begun(self) -> bool:
        """Whether the records prove that a worker has begun a task.

        An assignment alone proves nothing: the worker may have refused the
        start, or the start request may have been lost.
        """
        return any(
            record.phase is Phase.DONE or record.failures or record.checkpoint
            for record in self.tasks.values()
        )

    @property
    def state(self) -> model.JobState:
        """State of the job as reported to callers."""
        if self.canceled:
            return model.JobState.CANCELED
        if self.failed:
            return model.JobState.FAILED
        total = self.spec.occurrences * len(self.spec.steps)
        if self.completed_steps == total:
            return model.JobState.COMPLETED
        if self.any_assigned:
            return model.JobState.RUNNING
        return model.JobState.QUEUED

    def open_occurrence(self) -> list[model.TaskKey]:
        """Open the next occurrence and return the tasks that may start.

        These are the tasks of all steps that depend on no other step, or only
        on steps without tasks.
        """
        occurrence = self.opened_occurrences
        self.opened_occurrences += 1
        for number, step in enumerate(self.spec.steps):
            self.unfinished_tasks[occurrence, number] = step.count
            self.unfinished_dependencies[occurrence, number] = (
                self.graph.dependency_counts[number]
            )
        return self._ready_tasks(
            occurrence,
            [n for n, step in enumerate(self.spec.steps) if not step.after],
        )

    def assign(
        self,
        task: model.TaskKey,
        worker: ids.WorkerId,
        run: ids.Attempt,
        *,
        incarnation: int = 0,
    ) -> TaskRecord:
        """Assign a waiting task to a worker and return the task's record.

        :param incarnation: the worker's incarnation; 0 if unknown.
        """
        record = self.tasks.setdefault(task, TaskRecord())
        self._set_phase(record, Phase.ASSIGNED)
        record.worker = worker
        record.incarnation = incarnation
        record.proven = False
        record.run = run
        return record

    def finish(self, task: model.TaskKey) -> list[model.TaskKey]:
        """Mark a task as done and return the tasks that may start now.

        Tasks become ready only with the last task of a step. Nothing changes
        if the task is done already.
        """
        record = self.tasks.setdefault(task, TaskRecord())
        if record.phase is Phase.DONE:
            return []
        self._set_phase(record, Phase.DONE)
        record.worker = ids.WorkerId("")
        record.incarnation = 0
        record.forget_crashes()
        step_key = (task.occurrence, task.step)
        self.unfinished_tasks[step_key] -= 1
        if self.unfinished_tasks[step_key]:
            return []
        return self.complete_step(task.occurrence, task.step)

    def complete_step(
        self, occurrence: int, number: int
    ) -> list[model.TaskKey]:
        """Count a step whose tasks are all done.

        :returns: the tasks that may start now.
        """
        return self._ready_tasks(
            occurrence, self._count_completed(occurrence, number)
        )

    def _ready_tasks(
        self, occurrence: int, numbers: collections.abc.Iterable[int]
    ) -> list[model.TaskKey]:
        """Return the tasks of steps whose dependencies are all done.

        A step without tasks is done at once, and others may follow it.
        """
        ready: list[model.TaskKey] = []
        pending = collections.deque(numbers)
        while pending:
            number = pending.popleft()
            if self.spec.steps[number].count:
                ready += self._step_tasks(occurrence, number)
            else:
                pending += self._count_completed(occurrence, number)
        return ready

    def _count_completed(self, occurrence: int, number: int) -> list[int]:
        """Count a completed step; return those that only waited for it."""
        self.completed_steps += 1
        followers: list[int] = []
        for later in self.graph.successors[number]:
            self.unfinished_dependencies[occurrence, later] -= 1
            if not self.unfinished_dependencies[occurrence, later]:
                followers.append(later)
        return followers

    def return_to_queue(
        self,
        task: model.TaskKey,
        *,
        checkpoint: str,
        failed: bool,
    ) -> TaskRecord:
        """Return a task whose run has ended to the waiting phase.

        :param checkpoint: checkpoint that the run reported, or empty to keep
            the earlier one.
        :param failed: whether a fault of the task or of its worker ended the
            run.
        """
        record = self.tasks[task]
        self._set_phase(record, Phase.WAITING)
        record.worker = ids.WorkerId("")
        record.incarnation = 0
        if checkpoint:
            record.checkpoint = ids.CheckpointId(checkpoint)
        if failed:
            record.failures += 1
        return record

    def common_checkpoint(self, key: model.StepKey) -> ids.CheckpointId:
        """Return the checkpoint that most tasks of a step have.

        It is empty if no task has any.
        """
        counts = collections.Counter(
            record.checkpoint
            for record in self.step_records(key)
            if record.checkpoint
        )
        for checkpoint, _ in counts.most_common(1):
            return checkpoint
        return ids.CheckpointId("")

    def step_records(
        self, key: model.StepKey
    ) -> collections.abc.Iterator[TaskRecord]:
        """Return the records of a step's tasks."""
        for task in self._step_tasks(key.occurrence, key.step):
            record = self.tasks.get(task)
            if record is not None:
                yield record

    def assigned(self) -> list[model.TaskKey]:
        """Return the tasks that are assigned to a worker."""
        return [
            task
            for task, record in self.tasks.items()
            if record.phase is Phase.ASSIGNED
        ]

    def waiting(self) -> list[model.TaskKey]:
        """Return the tasks of all opened occurrences that may start."""
        ready: list[model.TaskKey] = []
        for occurrence in range(self.opened_occurrences):
            for number in range(len(self.spec.steps)):
                if self.dependencies_done(occurrence, number):
                    ready += [
                        task
                        for task in self._step_tasks(occurrence, number)
                        if self._is_waiting(task)
                    ]
        return ready

    def dependencies_done(self, occurrence: int, number: int) -> bool:
        """Return whether all steps that a step depends on are done."""
        return not self.unfinished_dependencies[occurrence, number]

    def critical_path_from(self, number: int) -> datetime.timedelta:
        """Return the estimated run time of the critical path from a step.

        The critical path is the chain of dependent steps whose estimates sum
        up to the most; the step itself is the first of the chain.
        """
        return self.graph.critical_paths[number]

    def critical_path(self) -> datetime.timedelta:
        """Return the estimated run time of the critical path of the job."""
        return self.graph.critical_path

    def downstream_work(self, number: int) -> datetime.timedelta:
        """Return the estimated processor time of all steps after a step.

        These are the steps that depend on the given one, directly or through
        other steps.
        """
        return self.graph.downstream_work[number]

    def _set_phase(self, record: TaskRecord, phase: Phase) -> None:
        self.assigned_count += (phase is Phase.ASSIGNED) - (
            record.phase is Phase.ASSIGNED
        )
        record.phase = phase

    def _is_waiting(self, task: model.TaskKey) -> bool:
        record = self.tasks.get(task)
        return record is None or record.phase is Phase.WAITING

    def _step_tasks(
        self, occurrence: int, number: int
    ) -> collections.abc.Iterator[model.TaskKey]:
        for index in range(self.spec.steps[number].count):
            yield model.TaskKey(self.spec.job, occurrence, number, index)


def restore(
    spec: model.JobSpec,
    tasks: dict[model.TaskKey, TaskRecord],
    *,
    opened_occurrences: int,
    canceled: bool,
    failed: FailureReason | None,
) -> Progress:
    """Return a job's progress from its stored fields.

    :param tasks: records of the tasks that were ever assigned to a worker.
    :param opened_occurrences: number of occurrences that have been opened.
    """
    progress = Progress(spec=spec)
    for _ in range(opened_occurrences):
        progress.open_occurrence()
    progress.tasks = tasks
    progress.assigned_count = len(progress.assigned())
    progress.canceled = canceled
    progress.failed = failed
    for task, record in tasks.items():
        if record.phase is Phase.DONE:
            progress.unfinished_tasks[task.occurrence, task.step] -= 1
    for (occurrence, number), count in progress.unfinished_tasks.items():
        # Steps without tasks are completed with the steps before them.
        if not count and spec.steps[number].count:
            progress.complete_step(occurrence, number)
    return progress
