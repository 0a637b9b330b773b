"""Counts the crashes of workers under tasks, and gives tasks up."""

import collections
import collections.abc
import datetime

from turmerichook._internal.dispatch import crashes
from turmerichook._internal.dispatch import events
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import jobs
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model
from turmerichook._internal.workflow import progress as progresses

# A worker that was lost and has neither answered nor been listed for this time
# counts as crashed. Partitions are over by then as a rule; a job that failed
# for a worker that is alive could not be brought back.
GONE_AFTER = datetime.timedelta(minutes=3)
# Time between two searches for tasks whose workers are gone.
SEARCH_INTERVAL = datetime.timedelta(seconds=2)

# Marks a job as failed for one of its tasks.
FailJob = collections.abc.Callable[
    [jobs.Job, model.TaskKey, datetime.timedelta, progresses.FailureReason],
    None,
]


class CrashCounts:
    """Crashes of workers under the tasks of all jobs.

    A crash is unconfirmed while the worker may merely be out of reach. It is
    withdrawn once the same incarnation of the worker is heard of, and counts
    once another one is.

    :ivar lost_at: for each worker with unconfirmed crashes, the tasks that
        they are noted for, and our time at which this leader learned of each.
    :ivar counted: number of crashes that counted for a task since the last
        call of ``pop``, by whether the task's job was given up.
    """

    def __init__(
        self,
        *,
        all_jobs: collections.abc.Mapping[ids.JobId, jobs.Job],
        note_change: collections.abc.Callable[
            [ids.JobId, datetime.timedelta], None
        ],
        fail_job: FailJob,
    ):
        self.jobs = all_jobs
        self.note_change = note_change
        self.fail_job = fail_job
        self.lost_at: dict[
            ids.WorkerId, dict[model.TaskKey, datetime.timedelta]
        ] = {}
        self.counted: collections.Counter[bool] = collections.Counter()
        self.next_search = fleet.ZERO
        # Whether the registry is outdated, so that silence proves nothing.
        self.registry_outdated = False

    def pop(self) -> collections.Counter[bool]:
        """Return the crashes counted since the last call."""
        counted, self.counted = self.counted, collections.Counter()
        return counted

    def recover(self, job: jobs.Job, now: datetime.timedelta) -> None:
        """Take over the unconfirmed crashes that former leaders noted."""
        for task, record in job.progress.tasks.items():
            for lost in record.unconfirmed:
                self._watch(lost, task, now)

    def note(
        self,
        job: jobs.Job,
        worker: fleet.Worker,
        run: fleet.Run,
        crash: fleet.Crash,
        now: datetime.timedelta,
    ) -> None:
        """Note that a run was lost with its worker.

        :param run: a run whose task is waiting again.
        """
        lost = progresses.LostWorker(
            worker.worker, run.incarnation or worker.incarnation
        )
        if crash is not fleet.Crash.UNCONFIRMED:
            self._count(job, run.task, lost, crash, now, isolated=run.isolated)
            return
        record = job.progress.tasks[run.task]
        record.note_unconfirmed(lost)
        self._watch(lost, run.task, now)
        self.note_change(job.spec.job, now)
        _log(
            events.DispatchEvent.TASK_LOST_WORKER,
            run.task,
            record,
            lost,
            waits=crashes.must_wait(record),
        )

    def note_heard(
        self, worker: fleet.Worker, now: datetime.timedelta
    ) -> None:
        """Settle the unconfirmed crashes of a worker that is alive.

        Those of its present incarnation are withdrawn, others are counted.
        """
        self._settle(worker, now, alive=worker.incarnation)

    def note_ended(
        self, worker: fleet.Worker, now: datetime.timedelta
    ) -> None:
        """Count the unconfirmed crashes of a worker that has ended."""
        self._settle(worker, now, alive=None)

    def awaits(self, worker: ids.WorkerId) -> bool:
        """Return whether a task waits for news of a lost worker."""
        for task in self.lost_at.get(worker, ()):
            record = self._record(task)
            if record is not None and crashes.must_wait(record):
                return True
        return False

    def give_up_gone(self, now: datetime.timedelta) -> None:
        """Give up the tasks that wait for workers that are gone for good."""
        if now < self.next_search or self.registry_outdated:
            return
        self.next_search = now + SEARCH_INTERVAL
        gone: collections.Counter[model.TaskKey] = collections.Counter()
        for worker, tasks in list(self.lost_at.items()):
            for task, since in list(tasks.items()):
                record = self._record(task)
                if record is None or not record.has_lost(worker):
                    del tasks[task]
                elif now - since >= GONE_AFTER:
                    gone[task] += 1
            if not tasks:
                del self.lost_at[worker]
        for task, number in gone.items():
            record = self._record(task)
            if record is not None and (
                record.phase is progresses.Phase.WAITING
                and crashes.at_limit(record, gone=number)
            ):
                self.counted[True] += 1
                self._give_up(self.jobs[task.job], task, now)

    def note_registry(
        self, now: datetime.timedelta, *, outdated: bool
    ) -> None:
        """Note that the registry has become outdated or current.

        While it is outdated, workers that are alive may seem to be gone.
        """
        self.registry_outdated = outdated
        for tasks in self.lost_at.values():
            tasks.update(dict.fromkeys(tasks, now))

    def _settle(
        self,
        worker: fleet.Worker,
        now: datetime.timedelta,
        *,
        alive: int | None,
    ) -> None:
        for task in self.lost_at.pop(worker.worker, ()):
            record = self._record(task)
            if record is None:
                continue
            for lost in record.pop_unconfirmed(worker.worker):
                # An unknown incarnation does not prove a crash.
                if lost.incarnation == alive or 0 in (lost.incarnation, alive):
                    self.note_change(task.job, now)
                    _log(
                        events.DispatchEvent.TASK_CRASH_WITHDRAWN,
                        task,
                        record,
                        lost,
                    )
                else:
                    job = self.jobs[task.job]
                    self._count(job, task, lost, fleet.Crash.DOUBTFUL, now)

    def _count(
        self,
        job: jobs.Job,
        task: model.TaskKey,
        lost: progresses.LostWorker,
        crash: fleet.Crash,
        now: datetime.timedelta,
        *,
        isolated: bool = False,
    ) -> None:
        """Count a crash, and give the task up if it has had too many.

        A task that runs elsewhere meanwhile had not had too many.
        """
        record = job.progress.tasks[task]
        record.note_crash(certain=crash is not fleet.Crash.DOUBTFUL)
        self.note_change(task.job, now)
        given_up = (
            record.phase is progresses.Phase.WAITING
            and crashes.must_give_up(record, crash)
        )
        _log(
            events.DispatchEvent.TASK_CRASHED_WORKER,
            task,
            record,
            lost,
            isolated=isolated,
            doubtful=crash is fleet.Crash.DOUBTFUL,
            given_up=given_up,
        )
        self.counted[given_up] += 1
        if given_up:
            self._give_up(job, task, now)

    def _give_up(
        self, job: jobs.Job, task: model.TaskKey, now: datetime.timedelta
    ) -> None:
        self.note_change(task.job, now)
        self.fail_job(job, task, now, progresses.FailureReason.WORKERS_CRASHED)

    def _record(self, task: model.TaskKey) -> progresses.TaskRecord | None:
        job = self.jobs.get(task.job)
        if job is None or job.progress.state.final:
            return None
        return job.progress.tasks.get(task)

    def _watch(
        self,
        lost: progresses.LostWorker,
        task: model.TaskKey,
        now: datetime.timedelta,
    ) -> None:
        self.lost_at.setdefault(lost.worker, {}).setdefault(task, now)


def _log(
    event: events.DispatchEvent,
    task: model.TaskKey,
    record: progresses.TaskRecord,
    lost: progresses.LostWorker,
    **fields: bool,
) -> None:
    logs.emit(
        event,
        job=task.job,
        task=task.text(),
        run=record.run,
        worker=lost.worker,
        incarnation=lost.incarnation,
        crashes=record.crashes,
        certain=record.certain_crashes,
        unconfirmed=len(record.unconfirmed),
        **fields,
    )
