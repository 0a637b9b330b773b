"""Snapshots of changed jobs for commits, and what follows a commit."""

import collections.abc
import datetime

from turmerichook._internal.dispatch import decisions
from turmerichook._internal.dispatch import events
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import jobs
from turmerichook._internal.dispatch import run_tracker as run_trackers
from turmerichook._internal.dispatch import save_order
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model
from turmerichook._internal.workflow import stored


class JobSnapshots:
    """Takes snapshots of changed jobs, and releases starts after the commit.

    A start is sent only once the assignment of its task is durable, so that a
    successor of the leader finds every run that may exist.
    """

    def __init__(self, *, run_tracker: run_trackers.RunTracker):
        self.run_tracker = run_tracker

    def take_next(self, entry_limit: int) -> list[jobs.JobSnapshot]:
        """Return snapshots of changed jobs for one commit.

        :param entry_limit: number of entries for snapshots in the commit.
        """
        changed = [
            self.run_tracker.jobs[job_id]
            for job_id in self.run_tracker.unsaved_jobs
        ]
        return [
            self._save(job)
            for job in save_order.choose(
                changed, self.run_tracker.unreleased, entry_limit
            )
        ]

    def _save(self, job: jobs.Job) -> jobs.JobSnapshot:
        del self.run_tracker.unsaved_jobs[job.spec.job]
        self.run_tracker.unsaved_proofs.pop(job.spec.job, None)
        self.run_tracker.unreleased.discard(job.spec.job)
        ends, job.unsaved_ends = tuple(job.unsaved_ends), []
        return jobs.JobSnapshot(
            job=job,
            runs=tuple(self._assigned_runs(job)),
            ends=ends,
            state=job.progress.state,
            value=stored.encode_progress(job.progress),
        )

    def _assigned_runs(
        self, job: jobs.Job
    ) -> collections.abc.Iterator[tuple[ids.WorkerId, fleet.Run]]:
        for task in job.progress.assigned():
            worker_id = job.progress.tasks[task].worker
            worker = self.run_tracker.workers.get(worker_id)
            run = worker.runs.get(task) if worker else None
            if run is not None and run.phase is fleet.RunPhase.ASSIGNED:
                yield worker_id, run

    def apply_committed(
        self,
        saves: list[jobs.JobSnapshot],
        closed: collections.abc.Container[ids.ZoneId],
        now: datetime.timedelta,
    ) -> list[decisions.StartOrder]:
        """Process snapshots that are durable; return the starts to send.

        :param closed: zones that are taken out; nothing is started there.
        """
        starts: list[decisions.StartOrder] = []
        for save in saves:
            self._mark_ends_saved(save.ends)
            starts += self._release_starts(save, closed, now)
            if save.state.final:
                self._finish_job(save, now)
        return starts

    def _release_starts(
        self,
        save: jobs.JobSnapshot,
        closed: collections.abc.Container[ids.ZoneId],
        now: datetime.timedelta,
    ) -> list[decisions.StartOrder]:
        """Return the starts of a durable snapshot that may still be sent.

        A gang is started as a whole or not at all: its members would wait for
        those that are missing.
        """
        starts: list[decisions.StartOrder] = []
        unsent: list[tuple[fleet.Worker, fleet.Run]] = []
        checkpoints = _gang_checkpoints(save)
        for worker_id, run in save.runs:
            worker = self.run_tracker.workers.get(worker_id)
            if worker is None or worker.runs.get(run.task) is not run:
                continue
            ticket = self.run_tracker.advice.ticket(
                run.task.step_key, worker, now
            )
            allowed = bool(ticket) or save.job.queue.advisor is None
            if not (
                run.should_run
                and allowed
                and _may_start(worker, closed)
                and _same_incarnation(worker, run)
                and _same_kind(worker, save.job, run)
                and _fits(worker, run)
            ):
                unsent.append((worker, run))
                continue
            run.phase = fleet.RunPhase.STARTING
            run.sent_at = now
            record = save.job.progress.tasks[run.task]
            checkpoint = checkpoints.get(run.task.step_key, record.checkpoint)
            starts.append(
                decisions.StartOrder(
                    worker=worker_id,
                    run=run,
                    payload=save.job.spec.payload,
                    checkpoint=checkpoint,
                    ticket=ticket,
                )
            )
        incomplete = {run.task.step_key for _, run in unsent if run.step.gang}
        for start in starts:
            if start.run.task.step_key in incomplete:
                worker = self.run_tracker.workers[start.worker]
                unsent.append((worker, start.run))
        for worker, run in unsent:
            self.run_tracker.drop_run(worker, run, "not-sent", now)
        return [
            start
            for start in starts
            if start.run.task.step_key not in incomplete
        ]

    def _mark_ends_saved(
        self, ends: collections.abc.Iterable[jobs.End]
    ) -> None:
        for end in ends:
            worker = self.run_tracker.workers.get(end.worker)
            if worker is not None and worker.incarnation == end.incarnation:
                worker.unsaved.discard(end.number)

    def _finish_job(
        self, save: jobs.JobSnapshot, now: datetime.timedelta
    ) -> None:
        job = save.job
        if self.run_tracker.jobs.pop(job.spec.job, None) is None:
            return
        self.run_tracker.final[job.spec.job] = now
        self.run_tracker.unsaved_jobs.pop(job.spec.job, None)
        self.run_tracker.unreleased.discard(job.spec.job)
        self.run_tracker.advice.drop(job.spec.job)
        self._mark_ends_saved(job.unsaved_ends)
        failure = job.progress.failed
        logs.emit(
            events.DispatchEvent.JOB_ENDED,
            job=job.spec.job,
            queue=job.spec.queue,
            state=save.state.value,
            **({"reason": failure.value} if failure else {}),
        )


def _gang_checkpoints(
    save: jobs.JobSnapshot,
) -> dict[model.StepKey, ids.CheckpointId]:
    """Return the checkpoint of each gang that a snapshot starts.

    That of any member is valid, and all members must get the same one. It is
    the one that most members have, as reports of the others may be older.
    """
    progress = save.job.progress
    return {
        key: progress.common_checkpoint(key)
        for key in {run.task.step_key for _, run in save.runs if run.step.gang}
    }


def _may_start(
    worker: fleet.Worker, closed: collections.abc.Container[ids.ZoneId]
) -> bool:
    entry = worker.entry
    return (
        entry is not None
        and worker.listed
        and not worker.entry_outdated
        and worker.clock is not None
        and not worker.unknown_demands
        and entry.state is deployment.WorkerState.READY
        and entry.zone not in closed
    )


def _same_incarnation(worker: fleet.Worker, run: fleet.Run) -> bool:
    """Return whether a worker has not restarted since the assignment.

    The stored assignment names the incarnation, by which a later leader tells
    whether the run has ended.
    """
    return run.incarnation in (0, worker.incarnation)


def _same_kind(worker: fleet.Worker, job: jobs.Job, run: fleet.Run) -> bool:
    """Return whether a worker still is of the kind that a task requires."""
    return worker.entry.is_of_kind(job.queue.service, run.step.label)


def _fits(worker: fleet.Worker, run: fleet.Run) -> bool:
    """Return whether a run fits beside those whose starts may be sent.

    The worker's capacity may have shrunk since the run was placed.
    """
    capacity = worker.entry.capacity
    if worker.used.fits(capacity):
        return True
    used = run.step.committed
    for other in worker.runs.values():
        if other.phase is not fleet.RunPhase.ASSIGNED:
            used = used.plus(other.step.committed)
    return used.fits(capacity)
