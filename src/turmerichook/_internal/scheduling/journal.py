"""Entries of a zone's placement journal, and the facts that they add up to.

The module does no I/O; ``journal_store`` reads and writes the journal, and
``journal_format`` holds its stored form.
"""

import collections.abc
import dataclasses

from turmerichook._internal.models import ids
from turmerichook._internal.scheduling import progress

# Bounds that keep a packed base below the store's value limit of 1 MiB: at
# most 4,500 rows of at most 180 bytes, and 192 KiB for finished tasks.
LIVE_TASKS = 4500
CHECKPOINT_BYTES = 128
FINISHED_BYTES = 192 * 1024


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Assigned:
    """An attempt may run on a worker from now on."""

    task: ids.TaskId
    attempt: ids.Attempt
    host: ids.HostId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Returned:
    """An attempt has certainly ended or never began; the task waits."""

    task: ids.TaskId
    attempt: ids.Attempt
    checkpoint: ids.CheckpointId | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Finished:
    """A task has its result."""

    task: ids.TaskId
    attempt: ids.Attempt
    succeeded: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Forgotten:
    """A task's entries are no longer needed."""

    task: ids.TaskId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobForgotten:
    """The entries of all tasks of a job are no longer needed."""

    job: ids.JobId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Moving:
    """A write may be under way that gives a job another home zone.

    Until the write is settled the job's tasks must not start here, not even
    under a later owner, since the write may still arrive.
    """

    job: ids.JobId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Settled:
    """The job stays in this zone, and no earlier write can change that."""

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


# Entries about one task.
TASK_ENTRIES = (Assigned, Returned, Finished, Forgotten)

TaskFacts = progress.TaskFacts


class Facts:
    """Sum of a journal's entries."""

    def __init__(self):
        self.jobs: dict[ids.JobId, progress.JobFacts] = {}
        self.others: dict[ids.TaskId, TaskFacts] = {}
        self.moving: set[ids.JobId] = set()
        # Highest attempt of any replica that was forgotten. Later replicas
        # go on from it, so that a late report about an attempt of an earlier
        # replica of the same name fits no present one.
        self.last_attempt = ids.Attempt(0)
        self.live = 0
        self.finished_bytes = 0

    def __len__(self):
        return self.live

    def get(self, task: ids.TaskId) -> TaskFacts | None:
        """Return what is known about a task, or None."""
        place = _place(task)
        if place is None:
            return self.others.get(task) or self._forgotten()
        found = self.jobs.get(place[0])
        return None if found is None else found.get(place[1])

    def rows(
        self,
    ) -> collections.abc.Iterator[tuple[ids.TaskId, TaskFacts]]:
        """Yield the tasks that have begun and have no result."""
        yield from self.others.items()
        for job, found in self.jobs.items():
            for number, fact in found.live.items():
                yield ids.TaskId(f"job/{job}/{number}"), fact

    def admits(self, task: ids.TaskId, begun: int = 0) -> bool:
        """Tell whether a task may begin within the bounds of the base.

        :param begun: tasks that begin before it and have no row yet.
        """
        place = _place(task)
        if task in self.others or (place and self.get(task) is not None):
            return True
        if self.live + begun >= LIVE_TASKS:
            return False
        known = place is not None and place[0] in self.jobs
        return known or self.finished_bytes < FINISHED_BYTES

    def adopt(self, job: ids.JobId, brought: progress.JobFacts) -> None:
        """Take over the progress that a job brought from another zone.

        Attempts rise with each start in any zone, so that of two facts the
        one with the higher attempt is newer.
        """
        for number in range(len(brought.succeeded.octets) * 8):
            if number in brought.succeeded:
                self._end(job, number, succeeded=True)
        for number in range(len(brought.failed.octets) * 8):
            if number in brought.failed:
                self._end(job, number, succeeded=False)
        for number, fact in brought.live.items():
            known = self.jobs[job].get(number) if job in self.jobs else None
            if known is None or (
                known.succeeded is None and known.attempt < fact.attempt
            ):
                self._job(job)
                self._set(job, number, dataclasses.replace(fact))

    def fold(self, entry: Entry) -> None:
        """Apply one entry."""
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
                fact = self._row(entry.task)
                fact.attempt = entry.attempt
                fact.host = entry.host
            case Returned():
                fact = self._row(entry.task)
                fact.attempt = entry.attempt
                fact.host = None
                fact.checkpoint = entry.checkpoint
            case Finished():
                self._finish(entry)

    def load(self, job: ids.JobId, found: progress.JobFacts) -> None:
        """Set the facts of a job that has none."""
        self.jobs[job] = found
        self.finished_bytes += found.bytes
        self.live += len(found.live)

    def _row(self, task: ids.TaskId) -> TaskFacts:
        place = _place(task)
        if place is None:
            if task not in self.others:
                self.others[task] = TaskFacts()
                self.live += 1
            return self.others[task]
        job, number = place
        live = self._job(job).live
        if number not in live:
            self._set(job, number, TaskFacts())
        return live[number]

    def _job(self, job: ids.JobId) -> progress.JobFacts:
        found = self.jobs.get(job)
        if found is None:
            found = self.jobs[job] = progress.JobFacts()
            self.finished_bytes += found.bytes
        return found

    def _set(self, job: ids.JobId, number: int, fact: TaskFacts) -> None:
        live = self.jobs[job].live
        self.live += number not in live
        live[number] = fact

    def _finish(self, entry: Finished) -> None:
        place = _place(entry.task)
        if place is not None:
            self._end(*place, succeeded=entry.succeeded)
            return
        fact = self._row(entry.task)
        fact.attempt = entry.attempt
        fact.host = None
        fact.succeeded = entry.succeeded

    def _end(self, job: ids.JobId, number: int, *, succeeded: bool) -> None:
        found = self._job(job)
        self.finished_bytes -= found.bytes
        (found.succeeded if succeeded else found.failed).add(number)
        self.finished_bytes += found.bytes
        if found.live.pop(number, None) is not None:
            self.live -= 1

    def _forgotten(self) -> TaskFacts | None:
        if not self.last_attempt:
            return None
        return TaskFacts(attempt=self.last_attempt)

    def _drop(self, task: ids.TaskId) -> None:
        place = _place(task)
        if place is None:
            fact = self.others.pop(task, None)
            if fact is not None:
                self.live -= 1
                self.last_attempt = max(self.last_attempt, fact.attempt)
        elif place[0] in self.jobs:
            live = self.jobs[place[0]].live
            self.live -= live.pop(place[1], None) is not None

    def _drop_job(self, job: ids.JobId) -> None:
        found = self.jobs.pop(job, None)
        if found is not None:
            self.live -= len(found.live)
            self.finished_bytes -= found.bytes


def _place(task: ids.TaskId) -> tuple[ids.JobId, int] | None:
    kind, _, rest = task.partition("/")
    job, _, number = rest.rpartition("/")
    if kind != "job" or not job or not number.isdecimal():
        return None
    return ids.JobId(job), int(number)
