"""Applies workers' answers to the leader's view of their runs.

An answer is a report, the outcome of an order (start or stop), or the absence
of either.
"""

import datetime

from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import crashes
from turmerichook._internal.dispatch import events
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import incarnations
from turmerichook._internal.dispatch import interference as interferences
from turmerichook._internal.dispatch import jobs
from turmerichook._internal.dispatch import orders
from turmerichook._internal.dispatch import pacing
from turmerichook._internal.dispatch import run_tracker as run_trackers
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model

# Phases in which a worker may list a run that is not being stopped.
_STARTED_PHASES = frozenset(
    (
        fleet.RunPhase.STARTING,
        fleet.RunPhase.UNCERTAIN,
        fleet.RunPhase.RUNNING,
    )
)
# Estimated duration from which on it is worth a write to the store that a task
# has run for some time. Shorter ones have mostly ended when another leader has
# to judge a loss of their worker.
LONG_TASK = datetime.timedelta(seconds=10)


class Settlement:
    """Determines the state of each run from the answers of its worker."""

    def __init__(
        self,
        *,
        run_tracker: run_trackers.RunTracker,
        interference: interferences.Interference,
    ):
        self.run_tracker = run_tracker
        self.interference = interference
        # Number of the latest order outcome or report request. Both share
        # one sequence, which tells whether a report was requested before or
        # after an outcome arrived.
        self.last_sequence_number = 0

    def next_sequence_number(self) -> int:
        """Return a sequence number higher than all returned before."""
        self.last_sequence_number += 1
        return self.last_sequence_number

    def apply_report(
        self,
        worker: fleet.Worker,
        report: orders.Report,
        *,
        requested_at: int,
        now: datetime.timedelta,
    ) -> None:
        """Apply a worker's report.

        :param requested_at: sequence number of the request for the report.
        """
        if not incarnations.accept_report(
            worker,
            report.incarnation,
            self.run_tracker.losses,
            now,
            requested_at=requested_at,
            last_request=self.last_sequence_number,
        ):
            return
        self.run_tracker.crash_counts.note_heard(worker, now)
        worker.record_clock(report, now)
        worker.report_received = True
        if not worker.reachable:
            worker.reachable = True
            logs.emit(
                events.DispatchEvent.WORKER_REACHED, worker=worker.worker
            )
        for end in report.ends:
            if end.number > worker.last_end_number:
                worker.last_end_number = end.number
                # Remains there, and is not acknowledged, if an unexpected
                # error ends its handling.
                worker.unsaved.add(end.number)
                if not self._handle_end(worker, end, now):
                    worker.unsaved.discard(end.number)
        for row in report.running:
            self._handle_running(worker, row, now)
        if report.ends_complete:
            # Otherwise the end of a run that is not listed may follow once
            # the ends listed here have been acknowledged.
            listed = {(row.task, row.run) for row in report.running}
            for run in list(worker.runs.values()):
                if (run.task, run.run) not in listed:
                    self._handle_unreported_run(worker, run, requested_at, now)
        self.run_tracker.orders += pacing.adjust_paces(
            worker, self.interference, now
        )

    def _handle_running(
        self,
        worker: fleet.Worker,
        row: orders.RunningRow,
        now: datetime.timedelta,
    ) -> None:
        run = worker.runs.get(row.task)
        if run is None or run.run != row.run:
            if run is None:
                self._stop_stray(worker, row, now)
            return
        if run.phase in _STARTED_PHASES:
            if run.should_run:
                run.phase = fleet.RunPhase.RUNNING
            else:
                self.run_tracker.stop(worker, run, now, "not-wanted")
        run.last_listed_at = now
        if worker.incarnation and run.incarnation != worker.incarnation:
            self._note_incarnation(worker, run, now)
        if row.percent != run.percent:
            run.percent = row.percent
            run.progress_changed_at = now
        run.measurement = row.measurement
        # A run that is listed has not ended with an earlier incarnation.
        run.crash = None
        if run.first_listed_at is None:
            run.first_listed_at = now
        job = self.run_tracker.jobs.get(row.task.job)
        if job is None:
            return
        job.begun = True
        if now - run.first_listed_at >= crashes.SUSPECT_TIME:
            self._note_proven(worker, run, job, now)
            self._clear_suspicion(job, row.task, now)
            if worker.probation == row.task:
                worker.probation = None
        if row.checkpoint:
            record = job.progress.tasks.get(row.task)
            if record is not None and record.run == row.run:
                record.checkpoint = row.checkpoint

    def _stop_stray(
        self,
        worker: fleet.Worker,
        row: orders.RunningRow,
        now: datetime.timedelta,
    ) -> None:
        """Stop a run that is not assigned to its worker.

        A run of a job that was set aside goes on.
        The run takes its demand of the worker's capacity until it has ended.
        """
        customer, committed, charge = ids.CustomerId(""), None, None
        job = self.run_tracker.jobs.get(row.task.job)
        if job is not None and row.task.step < len(job.spec.steps):
            step = job.spec.steps[row.task.step]
            customer = job.spec.customer
            committed, charge = step.committed, step.demand
        stray = fleet.Run(
            task=row.task,
            run=row.run,
            step=run_trackers.stray_step(committed),
            phase=fleet.RunPhase.STOPPING,
            demand_known=committed is not None,
            customer=customer,
            charge=charge,
        )
        worker.add(stray)
        if row.task.job in self.run_tracker.set_aside:
            stray.phase = fleet.RunPhase.RUNNING
            return
        self.run_tracker.stop(worker, stray, now, "not-assigned")

    def _note_incarnation(
        self, worker: fleet.Worker, run: fleet.Run, now: datetime.timedelta
    ) -> None:
        """Note that the present incarnation of the worker holds a run.

        The worker may have restarted between the assignment and the start.
        """
        run.incarnation = worker.incarnation
        job = self.run_tracker.jobs.get(run.task.job)
        if job is not None and run_trackers.is_current(job, worker, run):
            record = job.progress.tasks[run.task]
            record.incarnation = worker.incarnation
            self.run_tracker.note_change(job.spec.job, now)

    def _note_proven(
        self,
        worker: fleet.Worker,
        run: fleet.Run,
        job: jobs.Job,
        now: datetime.timedelta,
    ) -> None:
        """Note for the next leader that a run did not crash its worker.

        For a short task this is only stored along with other changes.
        """
        if not run_trackers.is_current(job, worker, run):
            return
        record = job.progress.tasks[run.task]
        if not record.proven:
            record.proven = True
            if run.step.long_running or run.step.estimate >= LONG_TASK:
                self.run_tracker.note_proof(job.spec.job, now)

    def _clear_suspicion(
        self, job: jobs.Job, task: model.TaskKey, now: datetime.timedelta
    ) -> None:
        """Forget earlier crashes of workers under a task."""
        if job.suspected(task):
            job.clear_suspicion(task)
            self.run_tracker.note_change(job.spec.job, now)

    def _handle_unreported_run(
        self,
        worker: fleet.Worker,
        run: fleet.Run,
        requested_at: int,
        now: datetime.timedelta,
    ) -> None:
        if requested_at <= run.last_outcome_number:
            return
        match run.phase:
            case fleet.RunPhase.RUNNING:
                self.run_tracker.drop_run(worker, run, "not-listed", now)
            case fleet.RunPhase.UNCERTAIN:
                if run.fenced:
                    self.run_tracker.drop_run(
                        worker, run, "never-started", now
                    )
                else:
                    self.run_tracker.stop(worker, run, now, "uncertain")
            case fleet.RunPhase.STOPPING:
                if run.stop_accepted:
                    self.run_tracker.drop_run(worker, run, "stopped", now)
            case _:
                # The start has not been sent yet, or its outcome has not
                # arrived.
                pass

    def _handle_end(
        self,
        worker: fleet.Worker,
        end: orders.EndRow,
        now: datetime.timedelta,
    ) -> bool:
        """Apply an end; return whether a commit must come before its ack."""
        run = worker.runs.get(end.task)
        job = self.run_tracker.jobs.get(end.task.job)
        matched = run is not None and run.run == end.run
        run_trackers.log_run(
            events.DispatchEvent.RUN_ENDED,
            worker,
            end,
            kind=end.kind.value,
            number=end.number,
            known=matched,
            **_durations(run if matched else None, now),
        )
        if end.task.job in self.run_tracker.set_aside:
            worker.remove(end.task)
            return True
        if not matched:
            return False
        worker.remove(end.task)
        if worker.update_health(end.kind, run, now):
            logs.emit(
                events.DispatchEvent.WORKER_SUSPECTED,
                worker=worker.worker,
                jobs=len(worker.failed_jobs),
            )
        if job is None:
            return False
        finished = _finishes(job, end)
        if not finished and not run_trackers.is_current(job, worker, end):
            return False
        if end.kind in crashes.OWN_ENDS:
            self._clear_suspicion(job, end.task, now)
        job.unsaved_ends.append(
            jobs.End(worker.worker, worker.incarnation, end.number)
        )
        job.begun = True
        self.run_tracker.note_change(job.spec.job, now)
        step = job.spec.steps[end.task.step]
        if finished:
            self.run_tracker.waiting.postponement.note_done(step, now)
            if step.gang:
                self._finish_gang(job, end.task, now)
            else:
                self.run_tracker.enqueue_next(
                    job, job.progress.finish(end.task), now
                )
            return True
        failed = end.kind is model.EndKind.FAILED and not step.long_running
        self.run_tracker.return_task(
            job, end.task, worker.worker, end.checkpoint, failed, now
        )
        return True

    def _finish_gang(
        self, job: jobs.Job, task: model.TaskKey, now: datetime.timedelta
    ) -> None:
        # The end of one member is the end of the whole gang. The other
        # members use their workers' capacity until these report their ends.
        ready: list[model.TaskKey] = []
        for index in range(job.spec.steps[task.step].count):
            member = task._replace(index=index)
            record = job.progress.tasks.get(member)
            if record is not None and record.worker:
                member_worker = self.run_tracker.workers.get(record.worker)
                run = member_worker.runs.get(member) if member_worker else None
                if run is not None:
                    run.should_run = False
            self.run_tracker.waiting.remove(member)
            ready += job.progress.finish(member)
        self.run_tracker.enqueue_next(job, ready, now)

    def apply_start_outcome(
        self,
        worker: fleet.Worker,
        run: fleet.Run,
        outcome: orders.Outcome,
        now: datetime.timedelta,
    ) -> None:
        """Apply the outcome of a start order."""
        if worker.runs.get(run.task) is not run:
            return
        if run.phase is not fleet.RunPhase.STARTING:
            # A report or a stop has changed the phase in the meantime.
            return
        run.last_outcome_number = self.next_sequence_number()
        match outcome:
            case orders.Accepted():
                run.phase = fleet.RunPhase.RUNNING
                run.progress_changed_at = run.last_listed_at = now
                self._mark_job_begun(run)
                if not run.should_run:
                    self.run_tracker.stop(worker, run, now, "not-wanted")
            case orders.Refused(reason=reason):
                self._handle_refusal(worker, run, reason, now)
            case orders.Unknown(detail=detail):
                run.phase = fleet.RunPhase.UNCERTAIN
                run_trackers.log_run(
                    events.DispatchEvent.START_UNKNOWN,
                    worker,
                    run,
                    detail=detail,
                )

    def _handle_refusal(
        self,
        worker: fleet.Worker,
        run: fleet.Run,
        reason: orders.RefusalReason,
        now: datetime.timedelta,
    ) -> None:
        run_trackers.log_run(
            events.DispatchEvent.START_REFUSED,
            worker,
            run,
            reason=reason.value,
        )
        run.crash = None
        match reason:
            case orders.RefusalReason.NO_ROOM:
                worker.no_room_until = now + fleet.NO_ROOM_PAUSE
            case orders.RefusalReason.NOT_CONNECTED:
                self.mark_unreachable(worker, now)
            case orders.RefusalReason.NO_TICKET:
                self.run_tracker.advice.refused(
                    run.task.step_key, worker.worker
                )
            case orders.RefusalReason.UNHEALTHY:
                worker.no_room_until = now + fleet.SUSPENSION_TIME
        self.run_tracker.drop_run(worker, run, f"refused-{reason.value}", now)

    def _mark_job_begun(self, run: fleet.Run) -> None:
        job = self.run_tracker.jobs.get(run.task.job)
        if job is not None:
            job.begun = True

    def apply_stop_outcome(
        self,
        worker: fleet.Worker,
        run: fleet.Run,
        outcome: orders.Outcome,
    ) -> None:
        """Apply the outcome of a stop order."""
        if worker.runs.get(run.task) is not run:
            return
        match outcome:
            case orders.Accepted():
                run.last_outcome_number = self.next_sequence_number()
                run.stop_accepted = True
            case orders.Refused(reason=orders.RefusalReason.OLD_RUN):
                run.last_outcome_number = self.next_sequence_number()
                run.stop_accepted = True
            case _:
                # The watchdog repeats the stop until the worker answers.
                pass

    def mark_unreachable(
        self, worker: fleet.Worker, now: datetime.timedelta
    ) -> None:
        """Mark a worker as unreachable, as it has not answered."""
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
        """Mark a worker as unlisted and its runs as lost.

        Called when another incarnation answers at the worker's address.
        """
        worker.listed = False
        self.run_tracker.crash_counts.note_ended(worker, now)
        self.run_tracker.losses.mark_lost(worker, now, certain=True)
        for run in list(worker.runs.values()):
            if run.phase is not fleet.RunPhase.ASSIGNED:
                self.run_tracker.drop_run(
                    worker, run, "incarnation-ended", now
                )


def _durations(
    run: fleet.Run | None, now: datetime.timedelta
) -> dict[str, int]:
    """Return log fields with the times until and since a run's start."""
    if run is None or run.sent_at is None or run.placed_at is None:
        return {}
    return {
        "release_ms": (run.sent_at - run.placed_at) // clocks.MILLISECOND,
        "run_ms": (now - run.sent_at) // clocks.MILLISECOND,
    }


def _finishes(job: jobs.Job, end: orders.EndRow) -> bool:
    """Return whether a task is done with this end of one of its runs."""
    steps = job.spec.steps
    return (
        end.kind is model.EndKind.DONE
        and end.task.step < len(steps)
        and not steps[end.task.step].long_running
    )
