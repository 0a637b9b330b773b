"""Entries of a zone's placement journal, and the state they result in.

The module does no I/O: ``journal_store`` reads and writes the journal, and
``journal_format`` encodes and decodes it. A stored journal consists of a base,
which is a snapshot of the state, and a tail, which holds the later entries.
"""

import collections.abc
import dataclasses

from turmerichook._internal.models import ids
from turmerichook._internal.scheduling import progress

# Bounds that keep an encoded base below the store's value limit of 1 MiB: at
# most 4,500 rows of at most 180 bytes each, and 192 KiB for finished tasks.
MAX_LIVE_TASKS = 4500
MAX_CHECKPOINT_BYTES = 128
MAX_FINISHED_BYTES = 192 * 1024


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Assigned:
    """An attempt was assigned to a host and may run there from now on."""

    task: ids.TaskId
    attempt: ids.Attempt
    host: ids.HostId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Returned:
    """An attempt has certainly ended or never started; the task waits.

    :param checkpoint: checkpoint from which the next attempt resumes.
    """

    task: ids.TaskId
    attempt: ids.Attempt
    checkpoint: ids.CheckpointId | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Finished:
    """A task has finished.

    :param succeeded: the task's result.
    """

    task: ids.TaskId
    attempt: ids.Attempt
    succeeded: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Forgotten:
    """The state of a task is no longer needed."""

    task: ids.TaskId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobForgotten:
    """The state of all tasks of a job is no longer needed."""

    job: ids.JobId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Moving:
    """A record write may be under way that moves a job to another zone.

    The job's tasks must not start in this zone until ``Settled``, not even
    under a later owner, since the write may still take effect.
    """

    job: ids.JobId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Settled:
    """A job stays in this zone: no earlier write can still move it."""

    job: ids.JobId


Entry = (
    Assigned
    | Returned
    | Finished
    | Forgotten
    | JobForgotten
    | Moving
    | Settled
)


# Entries that refer to a single task.
TASK_ENTRIES = (Assigned, Returned, Finished, Forgotten)

TaskProgress = progress.TaskProgress


class JournalState:
    """State of a zone's tasks that results from the journal's entries.

    ``live_rows`` is the number of rows: tasks that have started at least once
    and have no result. ``finished_bytes`` is the size that all jobs take in a
    base besides these rows.
    """

    def __init__(self):
        self.jobs: dict[ids.JobId, progress.JobProgress] = {}
        self.other_tasks: dict[ids.TaskId, TaskProgress] = {}
        self.moving: set[ids.JobId] = set()
        # Highest attempt number of all replicas that were forgotten. New
        # replicas continue from this number, so that a late report about an
        # attempt of an earlier replica of the same name matches no attempt
        # of the present one.
        self.last_attempt = ids.Attempt(0)
        self.live_rows = 0
        self.finished_bytes = 0

    def __len__(self):
        return self.live_rows

    def get(self, task: ids.TaskId) -> TaskProgress | None:
        """Return the state of a task; None if the journal has none.

        A replica without a state gets the highest attempt that was forgotten.
        """
        job_and_number = _split_task(task)
        if job_and_number is None:
            return self.other_tasks.get(task) or self._initial_facts()
        job_facts = self.jobs.get(job_and_number[0])
        return None if job_facts is None else job_facts.get(job_and_number[1])

    def rows(
        self,
    ) -> collections.abc.Iterator[tuple[ids.TaskId, TaskProgress]]:
        """Yield the tasks that have started before and have no result."""
        yield from self.other_tasks.items()
        for job, job_facts in self.jobs.items():
            for number, task_facts in job_facts.live.items():
                yield ids.TaskId(f"job/{job}/{number}"), task_facts

    def admits(self, task: ids.TaskId, newly_started: int = 0) -> bool:
        """Tell whether the base has space for a task that is to start.

        A task that has a row already is always admitted.

        :param newly_started: number of tasks that start earlier and have no
            row yet.
        """
        job_and_number = _split_task(task)
        if task in self.other_tasks or (
            job_and_number and self.get(task) is not None
        ):
            return True
        if self.live_rows + newly_started >= MAX_LIVE_TASKS:
            return False
        has_job = job_and_number is not None and job_and_number[0] in self.jobs
        return has_job or self.finished_bytes < MAX_FINISHED_BYTES

    def merge(self, job: ids.JobId, moved_facts: progress.JobProgress) -> None:
        """Merge the progress of a job that was moved here from another zone.

        The attempt number rises with each start in any zone, so of two rows
        for one task the row with the higher attempt is newer.
        """
        for number in range(len(moved_facts.succeeded.octets) * 8):
            if number in moved_facts.succeeded:
                self._set_result(job, number, succeeded=True)
        for number in range(len(moved_facts.failed.octets) * 8):
            if number in moved_facts.failed:
                self._set_result(job, number, succeeded=False)
        for number, task_facts in moved_facts.live.items():
            present = self.jobs[job].get(number) if job in self.jobs else None
            if present is None or (
                present.succeeded is None
                and present.attempt < task_facts.attempt
            ):
                self._job_facts(job)
                self._set_row(job, number, dataclasses.replace(task_facts))

    def apply(self, entry: Entry) -> None:
        """Apply one entry to the state."""
        match entry:
            case JobForgotten():
                self._drop_job(entry.job)
                self.moving.discard(entry.job)
            case Moving():
                self.moving.add(entry.job)
            case Settled():
                self.moving.discard(entry.job)
            case Forgotten():
                self._drop(entry.task)
            case Assigned():
                task_facts = self._task_row(entry.task)
                task_facts.attempt = entry.attempt
                task_facts.host = entry.host
            case Returned():
                task_facts = self._task_row(entry.task)
                task_facts.attempt = entry.attempt
                task_facts.host = None
                task_facts.checkpoint = entry.checkpoint
            case Finished():
                self._apply_finished(entry)

    def load(self, job: ids.JobId, job_facts: progress.JobProgress) -> None:
        """Set the state of a job for which there is none yet."""
        self.jobs[job] = job_facts
        self.finished_bytes += job_facts.bytes
        self.live_rows += len(job_facts.live)

    def _task_row(self, task: ids.TaskId) -> TaskProgress:
        job_and_number = _split_task(task)
        if job_and_number is None:
            if task not in self.other_tasks:
                self.other_tasks[task] = TaskProgress()
                self.live_rows += 1
            return self.other_tasks[task]
        job, number = job_and_number
        live = self._job_facts(job).live
        if number not in live:
            self._set_row(job, number, TaskProgress())
        return live[number]

    def _job_facts(self, job: ids.JobId) -> progress.JobProgress:
        job_facts = self.jobs.get(job)
        if job_facts is None:
            job_facts = self.jobs[job] = progress.JobProgress()
            self.finished_bytes += job_facts.bytes
        return job_facts

    def _set_row(
        self, job: ids.JobId, number: int, task_facts: TaskProgress
    ) -> None:
        live = self.jobs[job].live
        self.live_rows += number not in live
        live[number] = task_facts

    def _apply_finished(self, entry: Finished) -> None:
        job_and_number = _split_task(entry.task)
        if job_and_number is not None:
            self._set_result(*job_and_number, succeeded=entry.succeeded)
            return
        task_facts = self._task_row(entry.task)
        task_facts.attempt = entry.attempt
        task_facts.host = None
        task_facts.succeeded = entry.succeeded

    def _set_result(
        self, job: ids.JobId, number: int, *, succeeded: bool
    ) -> None:
        job_facts = self._job_facts(job)
        self.finished_bytes -= job_facts.bytes
        (job_facts.succeeded if succeeded else job_facts.failed).add(number)
        self.finished_bytes += job_facts.bytes
        if job_facts.live.pop(number, None) is not None:
            self.live_rows -= 1

    def _initial_facts(self) -> TaskProgress | None:
        if not self.last_attempt:
            return None
        return TaskProgress(attempt=self.last_attempt)

    def _drop(self, task: ids.TaskId) -> None:
        job_and_number = _split_task(task)
        if job_and_number is None:
            task_facts = self.other_tasks.pop(task, None)
            if task_facts is not None:
                self.live_rows -= 1
                self.last_attempt = max(self.last_attempt, task_facts.attempt)
        elif job_and_number[0] in self.jobs:
            live = self.jobs[job_and_number[0]].live
            self.live_rows -= live.pop(job_and_number[1], None) is not None

    def _drop_job(self, job: ids.JobId) -> None:
        job_facts = self.jobs.pop(job, None)
        if job_facts is not None:
            self.live_rows -= len(job_facts.live)
            self.finished_bytes -= job_facts.bytes


def _split_task(task: ids.TaskId) -> tuple[ids.JobId, int] | None:
    kind, _, rest = task.partition("/")
    job, _, number = rest.rpartition("/")
    if kind != "job" or not job or not number.isdecimal():
        return None
    return ids.JobId(job), int(number)
