"""Decides what runs where: a pure state machine without I/O.

Inputs are accepted jobs, cancellations, registry entries, workers' reports
and the answers to orders. Outputs are orders for workers and the jobs whose
progress must be made durable. A start is released only by ``committed``: its
assignment is durable before the worker hears of it, so a later leader knows
where a task may run.
"""

import collections.abc
import dataclasses
import datetime

from turmerichook._internal.dispatch import events
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import interference
from turmerichook._internal.dispatch import jobs
from turmerichook._internal.dispatch import orders
from turmerichook._internal.dispatch import pacing
from turmerichook._internal.dispatch import waiting
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.workflow import model
from turmerichook._internal.workflow import progress as progresses
from turmerichook._internal.workflow import stored

MILLISECOND = datetime.timedelta(milliseconds=1)
# A stop without an answer is sent again after this time.
STOP_REPEAT = datetime.timedelta(milliseconds=700)
# A run whose progress stands still for this long is started elsewhere.
STALL_LIMIT = datetime.timedelta(seconds=2)
# Margin for the stop of a run when its worker is about to leave.
LEAVING_MARGIN = datetime.timedelta(seconds=1)

# Stands for the step of a run whose job is no longer known.
STRAY = model.Step(count=1, demand=resources.NOTHING)


@dataclasses.dataclass(frozen=True, kw_only=True)
class StartOrder:
    """A start that is released for sending."""

    worker: ids.WorkerId
    run: fleet.Run
    payload: str
    checkpoint: ids.CheckpointId


@dataclasses.dataclass(frozen=True, kw_only=True)
class StopOrder:
    """A stop to send."""

    worker: ids.WorkerId
    run: fleet.Run


@dataclasses.dataclass(frozen=True, kw_only=True)
class PaceOrder:
    """Another speed for a filler task."""

    worker: ids.WorkerId
    run: fleet.Run
    percent: int


Order = StartOrder | StopOrder | PaceOrder


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
        self.jobs: dict[ids.JobId, jobs.Job] = {}
        # Final jobs and our time at which each became durable.
        self.final: dict[ids.JobId, datetime.timedelta] = {}
        self.workers: dict[ids.WorkerId, fleet.Worker] = {}
        self.closed_zones: set[ids.ZoneId] = set()
        self.waiting = waiting.WaitingTasks()
        self.interference = interference.Interference()
        self.dirty: dict[ids.JobId, None] = {}
        self.orders: list[Order] = []
        # Counts order answers and report requests, to tell which came first.
        self.mark = 0

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
        job = jobs.Job(progress=progress, queue=self._queue(progress.spec))
        self.jobs[job_id] = job
        logs.emit(
            events.DispatchEvent.JOB_TAKEN,
            job=job_id,
            queue=progress.spec.queue,
            steps=len(progress.spec.steps),
            tasks=sum(step.count for step in progress.spec.steps),
            age_ms=round((wall - progress.spec.accepted) / MILLISECOND),
            state=progress.state.value,
        )
        for task in progress.assigned():
            record = progress.tasks[task]
            step = progress.spec.steps[task.step]
            self._recover_run(task, record.worker, record.run, step)
        if progress.canceled or progress.failed:
            self._stop_all(job, now)
        else:
            self.open_due(job, wall, now)
            self._enqueue(job, progress.waiting(), now)

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
            self._enqueue(job, progress.open_occurrence(), now)

    def open_all_due(
        self, wall: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Open the occurrences of all jobs that are due."""
        for job in self.jobs.values():
            if job.progress.opened < job.spec.occurrences:
                if not job.progress.state.final:
                    self.open_due(job, wall, now)

    def cancel(self, job_id: ids.JobId, now: datetime.timedelta) -> bool:
        """Cancel a job; tell whether it is known."""
        job = self.jobs.get(job_id)
        if job is None:
            return job_id in self.final
        if not job.progress.state.final:
            job.progress.canceled = True
            self._stop_all(job, now)
            self.dirty[job_id] = None
        return True

    def _fail(self, job: jobs.Job, now: datetime.timedelta) -> None:
        if not job.progress.state.final:
            job.progress.failed = True
            self._stop_all(job, now)

    def _stop_all(self, job: jobs.Job, now: datetime.timedelta) -> None:
        self.waiting.drop(job.spec.job)
        for task in job.progress.assigned():
            worker = self.workers.get(job.progress.tasks[task].worker)
            run = worker.runs.get(task) if worker else None
            if run is not None:
                self._stop(worker, run, now, "job-ended")

    def _enqueue(
        self,
        job: jobs.Job,
        tasks: collections.abc.Iterable[model.TaskKey],
        now: datetime.timedelta,
    ) -> None:
        for task in tasks:
            record = job.progress.tasks.get(task)
            last = record.worker if record else ids.WorkerId("")
            self.waiting.add(job, task, last, now)

    # Registry

    def set_entry(
        self, entry: deployment.WorkerEntry, now: datetime.timedelta
    ) -> None:
        """Take a worker's registry entry."""
        worker = self.workers.get(entry.worker)
        if worker is None:
            worker = fleet.Worker(worker=entry.worker, entry=entry)
            self.workers[entry.worker] = worker
        self._check_incarnation(worker, entry.incarnation)
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

    def _check_incarnation(
        self, worker: fleet.Worker, incarnation: int
    ) -> None:
        if not incarnation or incarnation == worker.incarnation:
            return
        known = worker.incarnation
        if known and incarnation < known:
            # A late word of an earlier life.
            return
        worker.incarnation = incarnation
        if known:
            self._restarted(worker)

    def _restarted(self, worker: fleet.Worker) -> None:
        logs.emit(
            events.DispatchEvent.WORKER_RESTARTED,
            worker=worker.worker,
            runs=len(worker.runs),
        )
        worker.seen_end = 0
        worker.unsaved.clear()
        worker.clock = None
        worker.lease_until = fleet.ZERO
        worker.looked = False
        worker.failing.clear()
        for run in worker.runs.values():
            if run.phase is fleet.RunPhase.RUNNING:
                # The new life may have taken the start; if the next report
                # does not list the run, it ended with the former life.
                run.phase = fleet.RunPhase.UNCERTAIN
                run.fenced = True

    # Workers' answers

    def next_mark(self) -> int:
        """Return a mark that is later than all before."""
        self.mark += 1
        return self.mark

    def take_report(
        self,
        worker: fleet.Worker,
        report: orders.Report,
        *,
        asked: int,
        now: datetime.timedelta,
    ) -> None:
        """Take a worker's report.

        :param asked: mark of the moment at which it was asked for.
        """
        self._check_incarnation(worker, report.incarnation)
        worker.read_clock(report, now)
        worker.looked = True
        if not worker.reachable:
            worker.reachable = True
            logs.emit(
                events.DispatchEvent.WORKER_REACHED, worker=worker.worker
            )
        for end in report.ends:
            if end.number > worker.seen_end:
                worker.seen_end = end.number
                self._take_end(worker, end, now)
        listed = {(row.task, row.run): row for row in report.running}
        for row in report.running:
            self._take_running(worker, row, now)
        for run in list(worker.runs.values()):
            if (run.task, run.run) not in listed:
                self._take_absence(worker, run, asked, now)
        self._relieve(worker, now)

    def _take_running(
        self,
        worker: fleet.Worker,
        row: orders.RunningRow,
        now: datetime.timedelta,
    ) -> None:
        run = worker.runs.get(row.task)
        if run is None or run.run != row.run:
            stray = fleet.Run(
                task=row.task,
                run=row.run,
                step=STRAY,
                phase=fleet.RunPhase.STOPPING,
            )
            if run is None:
                worker.add(stray)
                self._stop(worker, stray, now, "not-assigned")
            return
        if run.phase in (fleet.RunPhase.STARTING, fleet.RunPhase.UNCERTAIN):
            if run.wanted:
                run.phase = fleet.RunPhase.RUNNING
            else:
                self._stop(worker, run, now, "not-wanted")
        if row.percent != run.percent:
            run.percent = row.percent
            run.moved = now
        run.reading = row.reading
        job = self.jobs.get(row.task.job)
        if job is not None and row.checkpoint:
            record = job.progress.tasks.get(row.task)
            if record is not None and record.run == row.run:
                record.checkpoint = row.checkpoint

    def _take_absence(
        self,
        worker: fleet.Worker,
        run: fleet.Run,
        asked: int,
        now: datetime.timedelta,
    ) -> None:
        if asked <= run.settled:
            return
        match run.phase:
            case fleet.RunPhase.RUNNING:
                self._lost(worker, run, "not-listed", now)
            case fleet.RunPhase.UNCERTAIN:
                if run.fenced:
                    self._lost(worker, run, "never-started", now)
                else:
                    self._stop(worker, run, now, "uncertain")
            case fleet.RunPhase.STOPPING:
                if run.stop_accepted:
                    self._lost(worker, run, "stopped", now)
            case _:
                # Not sent yet, or the answer to the start is under way.
                pass

    def _take_end(self, worker: fleet.Worker, end: orders.EndRow, now) -> None:
        run = worker.runs.get(end.task)
        job = self.jobs.get(end.task.job)
        matched = run is not None and run.run == end.run
        logs.emit(
            events.DispatchEvent.RUN_ENDED,
            job=end.task.job,
            task=_task_text(end.task),
            run=end.run,
            worker=worker.worker,
            kind=end.kind.value,
            number=end.number,
            known=matched,
        )
        if not matched:
            return
        worker.remove(end.task)
        if worker.note_end(end.kind, run, now):
            logs.emit(
                events.DispatchEvent.WORKER_SUSPECTED,
                worker=worker.worker,
                jobs=len(worker.failing),
            )
        if job is None:
            return
        worker.unsaved.add(end.number)
        job.unsaved_ends.append(
            jobs.End(worker.worker, worker.incarnation, end.number)
        )
        self.dirty[job.spec.job] = None
        step = job.spec.steps[end.task.step]
        if end.kind is model.EndKind.DONE and not step.long_running:
            if step.gang:
                self._finish_gang(job, end.task, now)
            else:
                self._enqueue_next(job, job.progress.finish(end.task), now)
            return
        failed = end.kind is model.EndKind.FAILED and not step.long_running
        self._return(job, end.task, worker.worker, end.checkpoint, failed, now)

    def _finish_gang(
        self, job: jobs.Job, task: model.TaskKey, now: datetime.timedelta
    ) -> None:
        # One end stands for the ends of all members.
        ready: list[model.TaskKey] = []
        for index in range(job.spec.steps[task.step].count):
            member = task._replace(index=index)
            record = job.progress.tasks.get(member)
            if record is not None and record.worker:
                holder = self.workers.get(record.worker)
                if holder is not None:
                    holder.remove(member)
            self.waiting.remove(member)
            ready += job.progress.finish(member)
        self._enqueue_next(job, ready, now)

    def _enqueue_next(
        self,
        job: jobs.Job,
        tasks: collections.abc.Iterable[model.TaskKey],
        now: datetime.timedelta,
    ) -> None:
        if not job.progress.state.final:
            self._enqueue(job, tasks, now)

    def _return(
        self,
        job: jobs.Job,
        task: model.TaskKey,
        worker: ids.WorkerId,
        checkpoint: str,
        failed: bool,
        now: datetime.timedelta,
    ) -> None:
        record = job.progress.return_to_queue(
            task, checkpoint=checkpoint, failed=failed
        )
        self.dirty[job.spec.job] = None
        if failed and record.failures >= job.queue.max_attempts:
            self._fail(job, now)
        if not job.progress.state.final:
            self.waiting.add(job, task, worker, now)

    def _lost(
        self, worker: fleet.Worker, run: fleet.Run, reason: str, now
    ) -> None:
        """Note that a run has certainly ended or never began."""
        worker.remove(run.task)
        logs.emit(
            events.DispatchEvent.RUN_LOST,
            job=run.task.job,
            task=_task_text(run.task),
            run=run.run,
            worker=worker.worker,
            reason=reason,
        )
        job = self.jobs.get(run.task.job)
        if job is None:
            return
        record = job.progress.tasks.get(run.task)
        if record is not None and record.run == run.run:
            self._return(job, run.task, worker.worker, "", False, now)

    def take_start_outcome(
        self,
        worker: fleet.Worker,
        run: fleet.Run,
        outcome: orders.Outcome,
        now: datetime.timedelta,
    ) -> None:
        """Take the answer to a start."""
        if worker.runs.get(run.task) is not run:
            return
        if run.phase is not fleet.RunPhase.STARTING:
            # A report or a stop has settled the run meanwhile.
            return
        run.settled = self.next_mark()
        match outcome:
            case orders.Accepted():
                run.phase = fleet.RunPhase.RUNNING
                run.began = run.moved = now
                if not run.wanted:
                    self._stop(worker, run, now, "not-wanted")
            case orders.Refused(reason=reason):
                logs.emit(
                    events.DispatchEvent.START_REFUSED,
                    job=run.task.job,
                    task=_task_text(run.task),
                    run=run.run,
                    worker=worker.worker,
                    reason=reason.value,
                )
                if reason is orders.RefusalReason.NO_ROOM:
                    worker.full_until = now + fleet.FULL_PAUSE
                elif reason is orders.RefusalReason.NOT_CONNECTED:
                    self.unreachable(worker, now)
                elif reason is orders.RefusalReason.UNHEALTHY:
                    worker.full_until = now + fleet.SUSPENSION
                self._lost(worker, run, f"refused-{reason.value}", now)
            case orders.Unknown(detail=detail):
                run.phase = fleet.RunPhase.UNCERTAIN
                logs.emit(
                    events.DispatchEvent.START_UNKNOWN,
                    job=run.task.job,
                    task=_task_text(run.task),
                    run=run.run,
                    worker=worker.worker,
                    detail=detail,
                )

    def take_stop_outcome(
        self,
        worker: fleet.Worker,
        run: fleet.Run,
        outcome: orders.Outcome,
    ) -> None:
        """Take the answer to a stop."""
        if worker.runs.get(run.task) is not run:
            return
        match outcome:
            case orders.Accepted():
                run.settled = self.next_mark()
                run.stop_accepted = True
            case orders.Refused(reason=orders.RefusalReason.OLD_RUN):
                run.settled = self.next_mark()
                run.stop_accepted = True
            case _:
                # Sent again until it is answered.
                pass

    def unreachable(
        self, worker: fleet.Worker, now: datetime.timedelta
    ) -> None:
        """Note that a worker gave no answer."""
        if worker.reachable:
            worker.reachable = False
            logs.emit(
                events.DispatchEvent.WORKER_UNREACHABLE,
                worker=worker.worker,
                runs=len(worker.runs),
                listed=worker.listed,
            )

    def incarnation_ended(
        self, worker: fleet.Worker, now: datetime.timedelta
    ) -> None:
        """Note that another incarnation answers at a worker's address."""
        worker.listed = False
        for run in list(worker.runs.values()):
            if run.phase is not fleet.RunPhase.ASSIGNED:
                self._lost(worker, run, "incarnation-ended", now)

    # Orders

    def _stop(
        self,
        worker: fleet.Worker,
        run: fleet.Run,
        now: datetime.timedelta,
        reason: str,
    ) -> None:
        run.wanted = False
        if run.phase in (fleet.RunPhase.ASSIGNED, fleet.RunPhase.STARTING):
            # Stopped once it is known what became of the start.
            return
        run.phase = fleet.RunPhase.STOPPING
        run.stop_sent = now
        run.stop_accepted = False
        logs.emit(
            events.DispatchEvent.RUN_STOPPED,
            job=run.task.job,
            task=_task_text(run.task),
            run=run.run,
            worker=worker.worker,
            reason=reason,
        )
        self.orders.append(StopOrder(worker=worker.worker, run=run))

    def _relieve(self, worker: fleet.Worker, now: datetime.timedelta) -> None:
        """Pace the fillers of a worker by the tail latency of its services."""
        pacing.learn(worker, self.interference, now)
        paces = pacing.next_paces(worker, self.interference, now)
        if not paces:
            return
        logs.emit(
            events.DispatchEvent.FILLER_PACED,
            worker=worker.worker,
            ratio=round(pacing.worst_ratio(worker), 2),
            fillers=len(paces),
            slowest=min(paces.values()),
            fastest=max(paces.values()),
        )
        for run, pace in paces.items():
            run.pace = pace
            self.orders.append(
                PaceOrder(worker=worker.worker, run=run, percent=pace)
            )

    def tick(self, now: datetime.timedelta) -> None:
        """Do what is due: repeat stops, move stalled runs, expire leases."""
        for worker in list(self.workers.values()):
            if not worker.runs:
                if not worker.listed and not worker.reachable:
                    del self.workers[worker.worker]
                continue
            if not worker.reachable and worker.lapsed_at is not None:
                if now > worker.lapsed_at + self.timing.stop_timeout:
                    self._expire(worker, now)
            self._tick_runs(worker, now)

    def _tick_runs(
        self, worker: fleet.Worker, now: datetime.timedelta
    ) -> None:
        leaving = worker.entry is not None and (
            worker.entry.state is deployment.WorkerState.DRAINING
        )
        for run in list(worker.runs.values()):
            if run.phase is fleet.RunPhase.STOPPING:
                if not run.stop_accepted and worker.reachable:
                    if now - run.stop_sent >= STOP_REPEAT:
                        run.stop_sent = now
                        self.orders.append(
                            StopOrder(worker=worker.worker, run=run)
                        )
            elif run.phase is fleet.RunPhase.RUNNING and run.wanted:
                if leaving and self._must_leave(worker, run, now):
                    self._stop(worker, run, now, "worker-leaves")
                elif self._stalled(worker, run, now):
                    self._stop(worker, run, now, "stalled")

    def _must_leave(
        self, worker: fleet.Worker, run: fleet.Run, now: datetime.timedelta
    ) -> bool:
        if run.step.long_running:
            return True
        if worker.remaining_at is None:
            return False
        return now > worker.remaining_at - LEAVING_MARGIN

    def _stalled(
        self, worker: fleet.Worker, run: fleet.Run, now: datetime.timedelta
    ) -> bool:
        if run.step.filler or run.percent >= 100:
            return False
        limit = max(STALL_LIMIT, run.step.estimate)
        return worker.reachable and now - run.moved > limit

    def _expire(self, worker: fleet.Worker, now: datetime.timedelta) -> None:
        lost = [
            run
            for run in worker.runs.values()
            if run.phase is not fleet.RunPhase.ASSIGNED
        ]
        if not lost:
            return
        logs.emit(
            events.DispatchEvent.WORKER_LAPSED,
            worker=worker.worker,
            runs=len(lost),
        )
        for run in lost:
            self._lost(worker, run, "lapsed", now)

    def take_orders(self) -> list[Order]:
        """Return the stops and paces to send, and forget them."""
        found, self.orders = self.orders, []
        return found

    # Placement and commits

    def place(
        self,
        now: datetime.timedelta,
        wall: datetime.timedelta,
        limit: int,
    ) -> int:
        """Give waiting tasks to workers; return how many."""
        return self.waiting.place(
            workers=self.workers.values(),
            closed=self.closed_zones,
            assign=self.assign,
            interference=self.interference,
            now=now,
            wall=wall,
            limit=limit,
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
        worker.add(
            fleet.Run(
                task=task,
                run=run,
                step=step,
                phase=fleet.RunPhase.ASSIGNED,
                moved=now,
            )
        )
        self.dirty[job.spec.job] = None
        logs.emit(
            events.DispatchEvent.TASK_PLACED,
            job=task.job,
            task=_task_text(task),
            run=run,
            worker=worker.worker,
            zone=worker.entry.zone,
            used=worker.used.millicores,
            filling=worker.filling,
            failures=record.failures,
        )

    def next_saves(self, limit: int) -> list[jobs.Save]:
        """Return snapshots of changed jobs for one commit."""
        saves: list[jobs.Save] = []
        for job_id in list(self.dirty):
            if len(saves) == limit:
                break
            del self.dirty[job_id]
            job = self.jobs[job_id]
            ends, job.unsaved_ends = tuple(job.unsaved_ends), []
            saves.append(
                jobs.Save(
                    job=job,
                    runs=tuple(self._assigned_runs(job)),
                    ends=ends,
                    state=job.progress.state,
                    value=stored.encode_progress(job.progress),
                )
            )
        return saves

    def _assigned_runs(
        self, job: jobs.Job
    ) -> collections.abc.Iterator[tuple[ids.WorkerId, fleet.Run]]:
        for task in job.progress.assigned():
            worker_id = job.progress.tasks[task].worker
            worker = self.workers.get(worker_id)
            run = worker.runs.get(task) if worker else None
            if run is not None and run.phase is fleet.RunPhase.ASSIGNED:
                yield worker_id, run

    def committed(
        self, saves: list[jobs.Save], now: datetime.timedelta
    ) -> list[StartOrder]:
        """Note that snapshots are durable; return the starts they release."""
        starts: list[StartOrder] = []
        for save in saves:
            self._note_saved(save.ends)
            for worker_id, run in save.runs:
                worker = self.workers.get(worker_id)
                if worker is None or worker.runs.get(run.task) is not run:
                    continue
                if not run.wanted or not self._may_start(worker):
                    self._lost(worker, run, "not-sent", now)
                    continue
                run.phase = fleet.RunPhase.STARTING
                record = save.job.progress.tasks[run.task]
                starts.append(
                    StartOrder(
                        worker=worker_id,
                        run=run,
                        payload=save.job.spec.payload,
                        checkpoint=record.checkpoint,
                    )
                )
            if save.state.final:
                self._close(save, now)
        return starts

    def _note_saved(self, ends: collections.abc.Iterable[jobs.End]) -> None:
        for end in ends:
            worker = self.workers.get(end.worker)
            if worker is not None and worker.incarnation == end.incarnation:
                worker.unsaved.discard(end.number)

    def _may_start(self, worker: fleet.Worker) -> bool:
        entry = worker.entry
        return (
            entry is not None
            and worker.listed
            and worker.clock is not None
            and entry.state is deployment.WorkerState.READY
            and entry.zone not in self.closed_zones
        )

    def _close(self, save: jobs.Save, now: datetime.timedelta) -> None:
        job = save.job
        if self.jobs.pop(job.spec.job, None) is None:
            return
        self.final[job.spec.job] = now
        self.dirty.pop(job.spec.job, None)
        self._note_saved(job.unsaved_ends)
        logs.emit(
            events.DispatchEvent.JOB_ENDED,
            job=job.spec.job,
            queue=job.spec.queue,
            state=save.state.value,
        )

    def add_final(
        self,
        job_id: ids.JobId,
        remainder: dict[model.TaskKey, tuple[ids.Attempt, ids.WorkerId]],
        now: datetime.timedelta,
    ) -> None:
        """Note a final job and the runs that it may still have."""
        self.final[job_id] = now
        for task, (number, worker_id) in remainder.items():
            run = self._recover_run(task, worker_id, number, STRAY)
            run.wanted = False

    def _recover_run(
        self,
        task: model.TaskKey,
        worker_id: ids.WorkerId,
        number: ids.Attempt,
        step: model.Step,
    ) -> fleet.Run:
        """Note a run that an earlier leader may have started."""
        worker = self.workers.get(worker_id)
        if worker is None:
            worker = fleet.Worker(worker=worker_id, entry=None)
            worker.reachable = False
            self.workers[worker_id] = worker
        worker.lapsed_at = self.inherited_until
        run = fleet.Run(
            task=task,
            run=number,
            step=step,
            phase=fleet.RunPhase.UNCERTAIN,
            fenced=True,
        )
        worker.add(run)
        return run

    def pending(self) -> dict[ids.QueueId, int]:
        """Return the number of jobs without a started task by queue."""
        counts: dict[ids.QueueId, int] = {}
        for job in self.jobs.values():
            if job.progress.state is model.JobState.QUEUED:
                queue = job.spec.queue
                counts[queue] = counts.get(queue, 0) + 1
        return counts


def _same_life(
    known: deployment.WorkerEntry | None, entry: deployment.WorkerEntry
) -> bool:
    return (
        known is not None
        and known.state is entry.state
        and known.incarnation == entry.incarnation
        and known.capacity == entry.capacity
    )


def _task_text(task: model.TaskKey) -> str:
    return f"{task.occurrence}.{task.step}.{task.index}"
