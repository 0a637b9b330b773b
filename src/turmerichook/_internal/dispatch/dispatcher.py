"""Decides what runs where: a pure state machine without I/O.

Inputs are accepted jobs, cancellations, registry entries, workers' reports
and the answers to orders. Outputs are orders for workers and the jobs whose
progress must be made durable. A start is released only by ``committed``: its
assignment is durable before the worker hears of it, so a later leader knows
where a task may run.
"""

import datetime
import sys

from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import decisions
from turmerichook._internal.dispatch import events
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import incarnations
from turmerichook._internal.dispatch import interference
from turmerichook._internal.dispatch import jobs
from turmerichook._internal.dispatch import orders
from turmerichook._internal.dispatch import run_book
from turmerichook._internal.dispatch import saves
from turmerichook._internal.dispatch import settlement
from turmerichook._internal.dispatch import waiting_step
from turmerichook._internal.dispatch import watchdog
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model
from turmerichook._internal.workflow import progress as progresses


class Dispatcher:
    """State of the leader."""

    def __init__(
        self,
        *,
        timing: deployment.Timing,
        configuration: deployment.Configuration,
        inherited_until: datetime.timedelta = fleet.ZERO,
    ):
        self.timing = timing
        # Our time at which no lease of an earlier leader is left.
        self.inherited_until = inherited_until
        self.configuration = configuration
        self.closed_zones: set[ids.ZoneId] = set()
        self.interference = interference.Interference()
        self.book = run_book.RunBook()
        self.settlement = settlement.Settlement(
            book=self.book, interference=self.interference
        )
        self.saves = saves.Saves(book=self.book)
        self.watchdog = watchdog.Watchdog(book=self.book, timing=timing)
        self.jobs = self.book.jobs
        self.final = self.book.final
        self.workers = self.book.workers
        self.waiting = self.book.waiting
        self.dirty = self.book.dirty

    # Jobs

    def add_job(
        self,
        progress: progresses.Progress,
        *,
        now: datetime.timedelta,
        wall: datetime.timedelta,
    ) -> None:
        """Take an accepted job, new or with earlier progress."""
        job_id = progress.spec.job
        if job_id in self.jobs or job_id in self.final:
            return
        job = jobs.Job(
            progress=progress,
            queue=self._queue(progress.spec),
            begun=progress.begun,
        )
        self.jobs[job_id] = job
        logs.emit(
            events.DispatchEvent.JOB_TAKEN,
            job=job_id,
            queue=progress.spec.queue,
            steps=len(progress.spec.steps),
            tasks=sum(step.count for step in progress.spec.steps),
            age_ms=round((wall - progress.spec.accepted) / clocks.MILLISECOND),
            state=progress.state.value,
        )
        for task in progress.assigned():
            record = progress.tasks[task]
            step = progress.spec.steps[task.step]
            self.book.recover_run(
                task, record.worker, record.run, step, self.inherited_until
            )
        if progress.canceled or progress.failed:
            self.book.stop_all(job, now)
        else:
            self.book.enqueue(job, progress.waiting(), now)
            self.open_due(job, wall, now)

    def _queue(self, spec: model.JobSpec) -> deployment.Queue:
        found = self.configuration.queue(spec.queue)
        if found is not None:
            return found
        # The queue has been removed; its jobs still run where they belonged.
        return deployment.Queue(
            queue=spec.queue,
            host="",
            prefix="",
            service=spec.service,
            priority=0,
            max_attempts=1,
            slack_factor=1.0,
            latency_objective=fleet.ZERO,
            timeout=fleet.ZERO,
        )

    def configure(self, configuration: deployment.Configuration) -> None:
        """Take a newer configuration."""
        self.configuration = configuration
        for job in self.jobs.values():
            found = configuration.queue(job.spec.queue)
            if found is not None:
                job.queue = found

    def open_due(
        self, job: jobs.Job, wall: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Open the occurrences of a job that are due."""
        progress = job.progress
        repetition = job.spec.repetition
        while progress.opened < job.spec.occurrences:
            if repetition and repetition.due(progress.opened) > wall:
                return
            self.book.enqueue(job, progress.open_occurrence(), now)

    def open_all_due(
        self, wall: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Open the occurrences of all jobs that are due."""
        for job in self.jobs.values():
            if job.progress.opened < job.spec.occurrences:
                if not job.progress.state.final:
                    self.open_due(job, wall, now)

    def cancel(self, job_id: ids.JobId, now: datetime.timedelta) -> None:
        """Cancel a job that is not final yet."""
        job = self.jobs.get(job_id)
        if job is not None and not job.progress.state.final:
            job.progress.canceled = True
            self.book.stop_all(job, now)
            self.book.note_change(job_id, now)

    # Registry

    def set_entry(
        self, entry: deployment.WorkerEntry, now: datetime.timedelta
    ) -> None:
        """Take a worker's registry entry."""
        worker = self.workers.get(entry.worker)
        if worker is None:
            worker = fleet.Worker(worker=entry.worker, entry=entry)
            self.workers[entry.worker] = worker
        incarnations.check(worker, entry.incarnation)
        if not _same_life(worker.entry, entry):
            logs.emit(
                events.DispatchEvent.WORKER_SEEN,
                worker=entry.worker,
                zone=entry.zone,
                state=entry.state.value,
                capacity=entry.capacity.text(),
            )
        worker.entry = entry
        worker.listed = True
        if entry.remaining is not None:
            worker.remaining_at = now + entry.remaining
        else:
            worker.remaining_at = None

    def remove_entry(self, worker_id: ids.WorkerId) -> None:
        """Note that a worker is no longer registered.

        It may only be cut off from the store and still run its tasks, so
        these stay assigned until their leases have ended.
        """
        worker = self.workers.get(worker_id)
        if worker is not None and worker.listed:
            worker.listed = False
            logs.emit(
                events.DispatchEvent.WORKER_UNLISTED,
                worker=worker_id,
                runs=len(worker.runs),
            )

    def take_orders(self) -> list[decisions.Order]:
        """Return the stops and paces to send, and forget them."""
        found, self.book.orders = self.book.orders, []
        return found

    # Placement and commits

    def place(
        self,
        now: datetime.timedelta,
        wall: datetime.timedelta,
        limit: int,
        jobs_limit: int = sys.maxsize,
    ) -> int:
        """Give waiting tasks to workers; return how many.

        :param jobs_limit: most jobs with assignments that are not in a commit.
        """
        unreleased = self.book.unreleased
        return self.waiting.place(
            workers=self.workers.values(),
            closed=self.closed_zones,
            approved=lambda step: self._approved(step, now),
            assign=self.assign,
            full=lambda: len(unreleased) >= jobs_limit,
            interference=self.interference,
            now=now,
            wall=wall,
            limit=limit,
        )

    def _approved(
        self, step: waiting_step.WaitingStep, now: datetime.timedelta
    ) -> frozenset[ids.WorkerId] | None:
        if step.job.queue.advisor is None:
            return None
        return self.book.advice.approved(step.key, now)

    def next_question(
        self, now: datetime.timedelta, wall: datetime.timedelta
    ) -> orders.Question | None:
        """Return what the advisor is to be asked next, if anything."""
        if all(queue.advisor is None for queue in self.configuration.queues):
            return None
        workers = self.workers.values()
        return self.book.advice.next_question(
            steps=self.waiting.by_urgency(workers=workers, now=now, wall=wall),
            workers=workers,
            closed=self.closed_zones,
            now=now,
        )

    def assign(
        self,
        job: jobs.Job,
        task: model.TaskKey,
        worker: fleet.Worker,
        run: ids.Attempt,
        now: datetime.timedelta,
    ) -> None:
        """Give a task to a worker."""
        record = job.progress.assign(task, worker.worker, run)
        step = job.spec.steps[task.step]
        placed = fleet.Run(
            task=task,
            run=run,
            step=step,
            phase=fleet.RunPhase.ASSIGNED,
            moved=now,
        )
        worker.add(placed)
        self.book.note_change(job.spec.job, now)
        self.book.unreleased.add(job.spec.job)
        run_book.log_run(
            events.DispatchEvent.TASK_PLACED,
            worker,
            placed,
            zone=worker.entry.zone,
            used=worker.used.millicores,
            filling=worker.filling,
            failures=record.failures,
        )

    def next_saves(self, room: int) -> list[jobs.Save]:
        """Return snapshots of changed jobs for one commit.

        :param room: entries that the commit has for them.
        """
        return self.saves.next(room)

    def committed(
        self, saves: list[jobs.Save], now: datetime.timedelta
    ) -> list[decisions.StartOrder]:
        """Note that snapshots are durable; return the starts they release."""
        return self.saves.committed(saves, self.closed_zones, now)

    def add_final(
        self,
        job_id: ids.JobId,
        remainder: dict[model.TaskKey, tuple[ids.Attempt, ids.WorkerId]],
        now: datetime.timedelta,
    ) -> None:
        """Note a final job and the runs that it may still have."""
        self.final[job_id] = now
        for task, (number, worker_id) in remainder.items():
            run = self.book.recover_run(
                task, worker_id, number, run_book.STRAY, self.inherited_until
            )
            run.wanted = False


def _same_life(
    known: deployment.WorkerEntry | None, entry: deployment.WorkerEntry
) -> bool:
    return (
        known is not None
        and known.state is entry.state
        and known.incarnation == entry.incarnation
        and known.capacity == entry.capacity
    )
