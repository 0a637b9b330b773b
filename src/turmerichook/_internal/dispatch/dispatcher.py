"""State machine that assigns tasks to workers, without any I/O.

Inputs are accepted jobs, cancellations, registry entries, workers' reports
and the answers to orders. Outputs are orders for workers and the jobs whose
progress must be made durable. Only ``committed`` releases a start: the
assignment is durable before the start is sent to the worker, so that a later
leader knows which workers a task may be running on.
"""

import collections.abc
import datetime
import sys

from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import crashes
from turmerichook._internal.dispatch import decisions
from turmerichook._internal.dispatch import events
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import fleet_room
from turmerichook._internal.dispatch import incarnations
from turmerichook._internal.dispatch import interference
from turmerichook._internal.dispatch import jobs
from turmerichook._internal.dispatch import orders
from turmerichook._internal.dispatch import run_tracker as run_trackers
from turmerichook._internal.dispatch import saves
from turmerichook._internal.dispatch import settlement
from turmerichook._internal.dispatch import waiting_step
from turmerichook._internal.dispatch import watchdog
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal.models import policy as policies
from turmerichook._internal.models import resources
from turmerichook._internal.workflow import model
from turmerichook._internal.workflow import progress as progresses
from turmerichook._internal.workflow import stored

# Age of the registry entries, as a share of the contact time, up to which they
# count as current. An order by such an entry has to arrive within that time.
ENTRY_AGE_SHARE_MAX = 0.7


class Dispatcher:
    """Jobs, workers and assignments as the current leader knows them."""

    def __init__(
        self,
        *,
        timing: deployment.Timing,
        configuration: deployment.Configuration,
        inherited_leases_until: datetime.timedelta = fleet.ZERO,
        policy: policies.Policy = policies.DEFAULT,
    ):
        self.timing = timing
        self.configuration = configuration
        # Our time as of which all registry entries are up to date; None if no
        # registry is followed. And whether that is too long ago.
        self.registry_confirmed_at: datetime.timedelta | None = None
        self.registry_outdated = False
        self.closed_zones: set[ids.ZoneId] = set()
        self.interference = interference.Interference()
        self.run_tracker = run_trackers.RunTracker(policy=policy)
        self.run_tracker.inherited_leases_until = inherited_leases_until
        self.run_tracker.customers.configure(configuration)
        self.settlement = settlement.Settlement(
            run_tracker=self.run_tracker, interference=self.interference
        )
        self.saves = saves.JobSnapshots(run_tracker=self.run_tracker)
        self.watchdog = watchdog.Watchdog(
            run_tracker=self.run_tracker,
            timing=timing,
            interference=self.interference,
        )
        self.jobs = self.run_tracker.jobs
        self.final = self.run_tracker.final
        self.workers = self.run_tracker.workers
        self.waiting = self.run_tracker.waiting
        self.unsaved_jobs = self.run_tracker.unsaved_jobs

    # Jobs

    def add_job(
        self,
        progress: progresses.Progress,
        *,
        now: datetime.timedelta,
        wall: datetime.timedelta,
    ) -> None:
        """Add an accepted job, which may have progress from an earlier leader.

        A job that has been added before is ignored.
        """
        job_id = progress.spec.job
        if job_id in self.jobs or job_id in self.final:
            return
        job = jobs.Job(
            progress=progress,
            queue=self.queue_of(progress.spec),
            begun=progress.proven_begun,
        )
        self.jobs[job_id] = job
        self.run_tracker.crash_counts.recover(job, now)
        logs.emit(
            events.DispatchEvent.JOB_TAKEN,
            job=job_id,
            queue=progress.spec.queue,
            steps=len(progress.spec.steps),
            tasks=sum(step.count for step in progress.spec.steps),
            work_ms=job.work // clocks.MILLISECOND,
            largest_task=job.largest_demand.text(),
            objective_ms=job.time_allowed() // clocks.MILLISECOND,
            long_running=any(s.long_running for s in progress.spec.steps),
            age_ms=round((wall - progress.spec.accepted) / clocks.MILLISECOND),
            state=progress.state.value,
        )
        for task in progress.assigned():
            record = progress.tasks[task]
            step = progress.spec.steps[task.step]
            self.run_tracker.recover_run(
                task,
                record.worker,
                record.run,
                step,
                now,
                incarnation=record.incarnation,
                proven=record.proven,
                customer=progress.spec.customer,
            )
        if progress.canceled or progress.failed:
            self.run_tracker.stop_job_runs(job, now)
        else:
            self.run_tracker.enqueue(
                job,
                progress.waiting(),
                now,
                # When their last runs ended is not stored.
                ended_at=now - waiting_step.STARVATION_TIME,
            )
            self.open_due(job, wall, now)

    def queue_of(self, spec: model.JobSpec) -> deployment.Queue:
        """Return the queue of a job, with defaults if it was removed."""
        queue = self.configuration.queue(spec.queue)
        if queue is not None:
            return queue
        # The queue has been removed from the configuration. Its jobs still run
        # on workers of the service that they were accepted for, with as many
        # attempts.
        return deployment.Queue(
            queue=spec.queue,
            host="",
            prefix="",
            service=spec.service,
            priority=0,
            max_attempts=max(1, spec.steps[0].max_attempts),
            slack_factor=1.0,
            latency_objective=fleet.ZERO,
            timeout=fleet.ZERO,
        )

    def configure(self, configuration: deployment.Configuration) -> None:
        """Apply a newer configuration to all customers, queues and jobs."""
        self.configuration = configuration
        self.run_tracker.customers.configure(configuration)
        for job in self.jobs.values():
            queue = configuration.queue(job.spec.queue)
            if queue is not None:
                job.queue = queue

    def open_due(
        self, job: jobs.Job, wall: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Enqueue the tasks of all occurrences of a job that are due."""
        progress = job.progress
        repetition = job.spec.repetition
        while progress.opened_occurrences < job.spec.occurrences:
            if (
                repetition
                and repetition.due(progress.opened_occurrences) > wall
            ):
                return
            self.run_tracker.enqueue(job, progress.open_occurrence(), now)

    def open_all_due(
        self, wall: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Enqueue the tasks of all due occurrences of all jobs."""
        for job in self.jobs.values():
            if job.progress.opened_occurrences < job.spec.occurrences:
                if not job.progress.state.final:
                    self.open_due(job, wall, now)

    def cancel(self, job_id: ids.JobId, now: datetime.timedelta) -> None:
        """Cancel a job unless it is unknown or already final."""
        job = self.jobs.get(job_id)
        if job is not None and not job.progress.state.final:
            job.progress.canceled = True
            self.run_tracker.stop_job_runs(job, now)
            self.run_tracker.note_change(job_id, now)

    def uses(self, service: ids.ServiceId) -> bool:
        """Return whether a queue or a job runs on workers of a service."""
        return any(
            queue.service == service for queue in self.configuration.queues
        ) or any(job.queue.service == service for job in self.jobs.values())

    # Registry

    def set_entry(
        self, entry: deployment.WorkerEntry, now: datetime.timedelta
    ) -> None:
        """Add a worker, or update it, from its registry entry.

        The entry of an incarnation that has certainly ended is ignored.
        """
        worker = self.workers.get(entry.worker)
        if worker is None:
            worker = self.run_tracker.add_worker(entry.worker, entry)
            worker.incarnation_known_at = self.settlement.last_sequence_number
        accepted = incarnations.accept_entry(
            worker,
            entry.incarnation,
            self.run_tracker.losses,
            now,
            last_request=self.settlement.last_sequence_number,
        )
        if entry.incarnation in worker.former_incarnations:
            return
        if accepted and entry.incarnation:
            self.run_tracker.crash_counts.note_heard(worker, now)
        if not _same_state(worker.entry, entry):
            logs.emit(
                events.DispatchEvent.WORKER_SEEN,
                worker=entry.worker,
                zone=entry.zone,
                state=entry.state.value,
                capacity=entry.capacity.text(),
            )
            if not worker.used.fits(entry.capacity):
                logs.emit(
                    events.DispatchEvent.CAPACITY_BELOW_USE,
                    worker=entry.worker,
                    capacity=entry.capacity.text(),
                    used=worker.used.text(),
                    runs=len(worker.runs),
                )
        worker.entry = entry
        worker.listed = True
        if entry.remaining is not None:
            worker.shutdown_at = now + entry.remaining
        else:
            worker.shutdown_at = None

    def restore_entry(
        self, worker_id: ids.WorkerId, address: str, *, draining: bool
    ) -> None:
        """Add what is left of the entry of a worker that has runs.

        Nothing is placed on it unless an entry in the registry replaces this
        one, which is not used if there is an entry already.
        """
        worker = self.workers.get(worker_id)
        if worker is None or worker.entry is not None:
            return
        worker.entry = deployment.WorkerEntry(
            worker=worker_id,
            incarnation=0,
            address=address,
            zone=ids.ZoneId(""),
            service=ids.ServiceId(""),
            state=(
                deployment.WorkerState.DRAINING
                if draining
                else deployment.WorkerState.READY
            ),
            capacity=resources.NOTHING,
            labels=frozenset(),
            rack=ids.RackId(""),
            cold=fleet.ZERO,
            remaining=None,
        )

    def remove_entry(self, worker_id: ids.WorkerId) -> None:
        """Record that the registry no longer lists a worker.

        The worker may merely have lost its connection to the store and still
        be running its tasks, so that these stay assigned to the worker until
        their leases have ended.
        """
        worker = self.workers.get(worker_id)
        if worker is not None and worker.listed:
            worker.listed = False
            logs.emit(
                events.DispatchEvent.WORKER_UNLISTED,
                worker=worker_id,
                runs=len(worker.runs),
            )

    def confirm_registry(self, at: datetime.timedelta) -> None:
        """Record that all entries are up to date as of our time ``at``."""
        self.registry_confirmed_at = at

    def check_registry_age(self, now: datetime.timedelta) -> None:
        """Mark the entries that are too old for placement.

        A worker that does not enforce its capacity starts what it is told,
        so that its present capacity must be known.
        """
        confirmed_at = self.registry_confirmed_at
        outdated = (
            confirmed_at is not None
            and now - confirmed_at > self.timing.contact * ENTRY_AGE_SHARE_MAX
        )
        if not outdated and not self.registry_outdated:
            return
        if outdated != self.registry_outdated:
            logs.emit(
                events.DispatchEvent.REGISTRY_OUTDATED
                if outdated
                else events.DispatchEvent.REGISTRY_CURRENT,
                age_ms=round((now - confirmed_at) / clocks.MILLISECOND),
            )
            self.run_tracker.crash_counts.note_registry(now, outdated=outdated)
        self.registry_outdated = outdated
        guarded = {s.service for s in self.configuration.services if s.guarded}
        for worker in self.workers.values():
            worker.entry_unconfirmed = (
                outdated
                and worker.entry is not None
                and worker.entry.service not in guarded
            )

    def pop_orders(self) -> list[decisions.Order]:
        """Return the pending stop and pace orders, and clear the list."""
        pending_orders, self.run_tracker.orders = self.run_tracker.orders, []
        return pending_orders

    # Placement and commits

    def place(
        self,
        now: datetime.timedelta,
        wall: datetime.timedelta,
        limit: int,
        jobs_limit: int = sys.maxsize,
        exhausted: collections.abc.Callable[[], bool] = lambda: False,
    ) -> int:
        """Assign waiting tasks to workers.

        :param limit: maximum number of tasks to assign.
        :param jobs_limit: maximum number of jobs with assignments that no
            commit has made durable yet.
        :param exhausted: returns whether to leave the other steps to the next
            call.
        :returns: the number of tasks assigned.
        """
        self.check_registry_age(now)
        unreleased = self.run_tracker.unreleased
        return self.waiting.place(
            workers=self.workers.values(),
            closed=self.closed_zones,
            approved=lambda step: self.approved(step, now),
            answer_count=self.run_tracker.advice.answer_count,
            assign=self.assign,
            full=lambda: len(unreleased) >= jobs_limit,
            interference=self.interference,
            now=now,
            wall=wall,
            limit=limit,
            exhausted=exhausted,
        )

    def fleet_room(self, now: datetime.timedelta) -> fleet_room.FleetRoom:
        """Return how the workers are used and what waiting tasks lack."""
        return fleet_room.measure(
            self.workers.values(),
            self.waiting.steps.values(),
            self.closed_zones,
            now,
        )

    def approved(
        self, step: waiting_step.WaitingStep, now: datetime.timedelta
    ) -> frozenset[ids.WorkerId] | None:
        """Return the workers that a step's advisor allows; None for all."""
        if step.job.queue.advisor is None:
            return None
        return self.run_tracker.advice.approved(step.key, now)

    def next_question(
        self, now: datetime.timedelta, wall: datetime.timedelta
    ) -> orders.Question | None:
        """Return the next question for the advisor, or None."""
        if all(queue.advisor is None for queue in self.configuration.queues):
            return None
        workers = self.workers.values()
        return self.run_tracker.advice.next_question(
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
        """Assign a task to a worker under a run number."""
        record = job.progress.assign(
            task,
            worker.worker,
            run,
            incarnation=worker.incarnation,
        )
        step = job.spec.steps[task.step]
        new_run = fleet.Run(
            task=task,
            run=run,
            step=step,
            phase=fleet.RunPhase.ASSIGNED,
            progress_changed_at=now,
            placed_at=now,
            incarnation=worker.incarnation,
            customer=job.spec.customer,
        )
        if job.suspected(task) and crashes.probation_allowed(
            self.workers.values()
        ):
            new_run.isolated = crashes.all_begun(worker)
            worker.probation = task
        worker.add(new_run)
        self.run_tracker.note_change(job.spec.job, now)
        self.run_tracker.unreleased.add(job.spec.job)
        run_trackers.log_run(
            events.DispatchEvent.TASK_PLACED,
            worker,
            new_run,
            zone=worker.entry.zone,
            used=worker.used.millicores,
            filling=worker.filler_millicores,
            failures=record.failures,
            crashes=record.crashes,
            unconfirmed=len(record.unconfirmed),
        )

    def next_saves(self, room: int) -> list[jobs.JobSnapshot]:
        """Return snapshots of changed jobs for one commit.

        :param room: maximum number of entries that the snapshots may take
            in the commit.
        """
        return self.saves.take_next(room)

    def committed(
        self, saves: list[jobs.JobSnapshot], now: datetime.timedelta
    ) -> list[decisions.StartOrder]:
        """Record durable snapshots; return the starts that they release."""
        self.check_registry_age(now)
        return self.saves.apply_committed(saves, self.closed_zones, now)

    def add_final(
        self,
        job_id: ids.JobId,
        remainder: dict[model.TaskKey, stored.UnfinishedRun],
        now: datetime.timedelta,
    ) -> None:
        """Record a final job, and stop the runs that it may still have.

        :param remainder: these runs, by task.
        """
        self.final[job_id] = now
        for task, unfinished in remainder.items():
            self.run_tracker.recover_unfinished(task, unfinished, now)


def _same_state(
    previous: deployment.WorkerEntry | None, entry: deployment.WorkerEntry
) -> bool:
    return (
        previous is not None
        and previous.state is entry.state
        and previous.incarnation == entry.incarnation
        and previous.capacity == entry.capacity
    )
