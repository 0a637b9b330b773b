"""State shared by the parts of the dispatcher: jobs, workers and runs."""

import collections
import collections.abc
import dataclasses
import datetime
import typing

from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import advice as advices
from turmerichook._internal.dispatch import crash_counts
from turmerichook._internal.dispatch import crashes
from turmerichook._internal.dispatch import customers
from turmerichook._internal.dispatch import decisions
from turmerichook._internal.dispatch import events
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import jobs
from turmerichook._internal.dispatch import orders
from turmerichook._internal.dispatch import waiting
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal.models import policy as policies
from turmerichook._internal.models import resources
from turmerichook._internal.workflow import model
from turmerichook._internal.workflow import progress as progresses
from turmerichook._internal.workflow import stored

# Time for which the proof that a run did not crash its worker waits to be
# written, so that the tasks of a job share one write. A commit that holds the
# job for another reason writes it sooner.
PROOF_DELAY = datetime.timedelta(seconds=2)
# Step of a run whose job the leader does not hold, so that its demand is
# unknown.
STRAY_STEP = model.Step(count=1, demand=resources.NOTHING)


class RunTracker:
    """The jobs, workers and runs of the leader, and the changes to runs.

    :ivar final: final jobs, and our time at which each final state became
        durable.
    :ivar set_aside: accepted jobs that cannot be read or caused an unexpected
        error. Their runs go on, and their ends are left to a later leader.
    :ivar unsaved_jobs: jobs with progress that is to be written to the store,
        in the order of their first unsaved change, and our time of that
        change.
    :ivar unsaved_proofs: jobs with runs that have proved not to crash their
        worker, and our time of the first one that is not in the store.
    :ivar unreleased: jobs with assignments that are in no commit yet.
    :ivar orders: orders to be sent.
    :ivar inherited_leases_until: our time at which all leases that former
        leaders granted have certainly ended.
    :ivar inherited_until_by_worker: the same for workers that no former leader
        has reached lately; the earlier of both times counts.
    :ivar lease_limits: our time beyond which no lease may last on a worker,
        as the next leader may not expect it.
    """

    def __init__(self, *, policy: policies.Policy = policies.DEFAULT):
        self.inherited_leases_until = fleet.ZERO
        self.inherited_until_by_worker: dict[
            ids.WorkerId, datetime.timedelta
        ] = {}
        self.lease_limits: dict[ids.WorkerId, datetime.timedelta] = {}
        self.jobs: dict[ids.JobId, jobs.Job] = {}
        self.final: dict[ids.JobId, datetime.timedelta] = {}
        self.set_aside: set[ids.JobId] = set()
        self.workers: dict[ids.WorkerId, fleet.Worker] = {}
        self.customers = customers.Customers()
        self.waiting = waiting.WaitingTasks(
            customers=self.customers, policy=policy
        )
        self.advice = advices.AdviceCache()
        self.unsaved_jobs: dict[ids.JobId, datetime.timedelta] = {}
        self.unsaved_proofs: dict[ids.JobId, datetime.timedelta] = {}
        self.unreleased: set[ids.JobId] = set()
        self.orders: list[decisions.Order] = []
        self.losses = crashes.Losses(workers=self.workers)
        self.crash_counts = crash_counts.CrashCounts(
            all_jobs=self.jobs,
            note_change=self.note_change,
            fail_job=self.fail_job,
        )

    def note_change(self, job: ids.JobId, now: datetime.timedelta) -> None:
        """Mark a job's progress as changed, to be written to the store."""
        self.unsaved_jobs.setdefault(job, now)

    def note_proof(self, job: ids.JobId, now: datetime.timedelta) -> None:
        """Have a run's proof written within about ``PROOF_DELAY``."""
        self.unsaved_proofs.setdefault(job, now)

    def save_proofs(self, now: datetime.timedelta) -> None:
        """Mark jobs as changed whose proofs have waited long enough."""
        while self.unsaved_proofs:
            job, noted_at = next(iter(self.unsaved_proofs.items()))
            if now - noted_at < PROOF_DELAY:
                return
            del self.unsaved_proofs[job]
            if job in self.jobs:
                self.note_change(job, now)

    def oldest_unsaved_age(
        self, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Return the age of the oldest unsaved change; zero if none."""
        return now - next(iter(self.unsaved_jobs.values()), now)

    def enqueue(
        self,
        job: jobs.Job,
        tasks: collections.abc.Iterable[model.TaskKey],
        now: datetime.timedelta,
        *,
        ended_at: datetime.timedelta | None = None,
    ) -> None:
        """Add tasks to those that wait for a worker.

        :param ended_at: our time since which their last runs may have been
            over; None if they have just ended, or if there were none.
        """
        for task in tasks:
            record = job.progress.tasks.get(task)
            last_worker = record.worker if record else ids.WorkerId("")
            self.waiting.add(job, task, last_worker, now, ended_at)

    def enqueue_next(
        self,
        job: jobs.Job,
        tasks: collections.abc.Iterable[model.TaskKey],
        now: datetime.timedelta,
    ) -> None:
        """Add tasks to those that wait, unless their job is final."""
        if not job.progress.state.final:
            self.enqueue(job, tasks, now)

    def fail_job(
        self,
        job: jobs.Job,
        task: model.TaskKey,
        now: datetime.timedelta,
        reason: progresses.FailureReason,
    ) -> None:
        """Mark a job as failed and stop its runs, unless it is final.

        :param task: task that must not be started again.
        """
        if job.progress.state.final:
            return
        record = job.progress.tasks[task]
        logs.emit(
            events.DispatchEvent.JOB_FAILED,
            job=task.job,
            task=task.text(),
            run=record.run,
            reason=reason.value,
            failures=record.failures,
            attempts=job.queue.max_attempts,
            crashes=record.crashes,
            certain=record.certain_crashes,
            unconfirmed=len(record.unconfirmed),
        )
        job.progress.failed = reason
        self.stop_job_runs(job, now)

    def stop_job_runs(self, job: jobs.Job, now: datetime.timedelta) -> None:
        """Stop all runs of a job and start no other."""
        self.waiting.drop(job.spec.job)
        self.advice.drop(job.spec.job)
        for task in job.progress.assigned():
            worker = self.workers.get(job.progress.tasks[task].worker)
            run = worker.runs.get(task) if worker else None
            if run is not None:
                self.stop(worker, run, now, "job-ended")

    def stop(
        self,
        worker: fleet.Worker,
        run: fleet.Run,
        now: datetime.timedelta,
        reason: str,
    ) -> None:
        """Stop a run; one whose start is pending is stopped later."""
        run.should_run = False
        if run.phase in (fleet.RunPhase.ASSIGNED, fleet.RunPhase.STARTING):
            # The stop follows once the outcome of the start is known.
            return
        run.phase = fleet.RunPhase.STOPPING
        run.stop_sent = now
        run.stop_accepted = False
        log_run(events.DispatchEvent.RUN_STOPPED, worker, run, reason=reason)
        self.orders.append(decisions.StopOrder(worker=worker.worker, run=run))

    def drop_run(
        self, worker: fleet.Worker, run: fleet.Run, reason: str, now
    ) -> None:
        """Remove a run that has certainly ended or never started.

        Its task waits for a worker again.
        """
        worker.remove(run.task)
        log_run(
            events.DispatchEvent.RUN_LOST,
            worker,
            run,
            reason=reason,
            listed_ago_ms=(
                (now - run.last_listed_at) // clocks.MILLISECOND
                if run.last_listed_at
                else None
            ),
        )
        job = self.jobs.get(run.task.job)
        if job is None:
            return
        if not is_current(job, worker, run):
            return
        # A run that was never listed may not have begun at all.
        ended_at = run.last_listed_at or run.progress_changed_at
        if run.crash is None:
            self.return_task(
                job, run.task, worker.worker, "", False, now, ended_at=ended_at
            )
            return
        job.progress.return_to_queue(run.task, checkpoint="", failed=False)
        self.crash_counts.note(job, worker, run, run.crash, now)
        if not job.progress.state.final:
            self.waiting.add(job, run.task, worker.worker, now, ended_at)

    def return_task(
        self,
        job: jobs.Job,
        task: model.TaskKey,
        worker: ids.WorkerId,
        checkpoint: str,
        failed: bool,
        now: datetime.timedelta,
        *,
        ended_at: datetime.timedelta | None = None,
    ) -> None:
        """Let a task whose run has ended wait for a worker again.

        The job fails instead if the task must not be started again.

        :param ended_at: our time since which the task may not have run;
            None if its run has just ended.
        """
        record = job.progress.return_to_queue(
            task, checkpoint=checkpoint, failed=failed
        )
        self.note_change(job.spec.job, now)
        if failed and record.failures >= job.queue.max_attempts:
            self.fail_job(
                job, task, now, progresses.FailureReason.ATTEMPTS_EXHAUSTED
            )
        if not job.progress.state.final:
            self.waiting.add(job, task, worker, now, ended_at)

    def leases_until(self, worker: fleet.Worker) -> datetime.timedelta | None:
        """Return our time at which all leases on a worker have ended.

        None means that no lease is known. A worker that has answered this
        leader may still hold leases from former leaders.
        """
        if not worker.may_hold_inherited_leases:
            return worker.lapsed_at
        inherited = self.inherited_until_by_worker.get(
            worker.worker, self.inherited_leases_until
        )
        return max(
            min(inherited, self.inherited_leases_until),
            worker.lapsed_at or fleet.ZERO,
        )

    def add_worker(
        self, worker_id: ids.WorkerId, entry: deployment.WorkerEntry | None
    ) -> fleet.Worker:
        """Add a worker without runs and return it."""
        worker = fleet.Worker(
            worker=worker_id,
            entry=entry,
            customer_usage=self.customers.usage,
        )
        self.workers[worker_id] = worker
        return worker

    def recover_run(
        self,
        task: model.TaskKey,
        worker_id: ids.WorkerId,
        number: ids.Attempt,
        step: model.Step,
        now: datetime.timedelta,
        *,
        incarnation: int = 0,
        proven: bool = False,
        customer: ids.CustomerId = ids.CustomerId(""),
        charge: resources.Resources | None = None,
    ) -> fleet.Run:
        """Add a run that a former leader may have started.

        :param step: step of the task; ``STRAY_STEP`` if it is unknown.
        :param incarnation: incarnation of the worker that the task was
            assigned to; 0 if unknown.
        :param proven: see ``progress.TaskRecord``.
        :param customer: see ``fleet.Run``.
        :param charge: see ``fleet.Run``.
        """
        worker = self.workers.get(worker_id)
        if worker is None:
            worker = self.add_worker(worker_id, None)
            worker.reachable = False
        worker.may_hold_inherited_leases = True
        run = fleet.Run(
            task=task,
            run=number,
            step=step,
            phase=fleet.RunPhase.UNCERTAIN,
            demand_known=step is not STRAY_STEP,
            fenced=True,
            incarnation=incarnation,
            customer=customer,
            charge=charge,
            progress_changed_at=now,
            # A former leader may have slowed the run down.
            pace_known=not step.filler,
        )
        if proven:
            run.first_listed_at = now - crashes.SUSPECT_TIME
        worker.add(run)
        return run

    def recover_unfinished(
        self,
        task: model.TaskKey,
        unfinished: stored.UnfinishedRun,
        now: datetime.timedelta,
    ) -> None:
        """Add a run of a final job that is to be stopped."""
        run = self.recover_run(
            task,
            unfinished.worker,
            unfinished.run,
            stray_step(unfinished.committed),
            now,
            customer=unfinished.customer,
            charge=unfinished.charge,
        )
        run.should_run = False


def stray_step(committed: resources.Resources | None) -> model.Step:
    """Return a step for a run that is only to be stopped.

    :param committed: what the run occupies of its worker's capacity; None if
        it is not known.
    """
    if committed is None:
        return STRAY_STEP
    return dataclasses.replace(STRAY_STEP, demand=committed)


def is_current(
    job: jobs.Job, worker: fleet.Worker, run: fleet.Run | orders.EndRow
) -> bool:
    """Return whether a run is the one that its task is assigned to."""
    record = job.progress.tasks.get(run.task)
    return (
        record is not None
        and record.phase is progresses.Phase.ASSIGNED
        and record.worker == worker.worker
        and record.run == run.run
    )


def log_run(
    event: events.DispatchEvent,
    worker: fleet.Worker,
    run: fleet.Run | orders.EndRow,
    **fields: typing.Any,
) -> None:
    """Log an event of a run with the run's identification."""
    logs.emit(
        event,
        job=run.task.job,
        task=run.task.text(),
        run=run.run,
        worker=worker.worker,
        **fields,
    )
