"""The rounds in which the owner of a zone plans and places tasks."""

import datetime
import typing

from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import ids
from turmerichook._internal.models import site
from turmerichook._internal.providers import workers
from turmerichook._internal.scheduling import decision_round
from turmerichook._internal.scheduling import events
from turmerichook._internal.scheduling import jobs
from turmerichook._internal.scheduling import journal as journals
from turmerichook._internal.scheduling import plan
from turmerichook._internal.scheduling import planner
from turmerichook._internal.scheduling import record_plan
from turmerichook._internal.scheduling import records
from turmerichook._internal.scheduling import state as states
from turmerichook._internal.scheduling import zone_drain

if typing.TYPE_CHECKING:
    from turmerichook._internal.scheduling import owner as owners

ROUND_INTERVAL = datetime.timedelta(milliseconds=200)
# Interval of the rounds until a first worker has reported. With the normal
# interval, a takeover would take several intervals before its first start.
STARTUP_INTERVAL = datetime.timedelta(milliseconds=20)
PLACEMENTS_PER_ROUND = 1000
STATUS_INTERVAL = datetime.timedelta(seconds=2)
RECORDS_INTERVAL = datetime.timedelta(seconds=1)


class Rounds:
    """Plans workloads, places tasks and publishes state for one owner."""

    def __init__(self, *, owner: "owners.Owner"):
        self.owner = owner
        self.zone = owner.zone
        self.clock = owner.clock
        self.state = owner.state
        self.journal = owner.journal
        self.board = owner.board
        self.record_plan = record_plan.RecordPlan(board=owner.board)
        self.reports = owner.reports
        self.drain = zone_drain.ZoneDrain(zone=owner.zone)
        self.peers = owner.environment.peers
        # Whether the wanted workloads are known and were compared with the
        # journal. Before that, reports of workers cannot be interpreted.
        self.ready = False
        self.planner = planner.Planner(
            zone=owner.zone,
            state=owner.state,
            journal=owner.journal,
            board=owner.board,
            clock=owner.clock,
        )
        # Number of assignments that are not yet written to the journal.
        self.unwritten_starts = 0
        self.state.admits = self._journal_admits
        self.status_due = datetime.timedelta()
        self.records_due = datetime.timedelta()
        self.configuration = site.EMPTY

    def interval(self) -> datetime.timedelta:
        """Return the time until the next round."""
        started = self.ready and self.reports.last_events
        return ROUND_INTERVAL if started else STARTUP_INTERVAL

    def prepare(self) -> bool:
        """Update the wanted workloads; False if they are not yet known.

        They are unknown until the configuration, the job records and the
        cancellations have been read.
        """
        configuration = self.owner.environment.configuration()
        known = self.board.listing_complete and self.owner.cancellations.loaded
        if not known or not configuration.zones:
            return False
        now = self.clock.monotonic()
        if configuration is not self.configuration:
            self.configuration = configuration
            self.owner.sharing.colocation.configure(configuration)
        if self.drain.update(configuration, now):
            closed = self.drain.closed
            event = (
                events.SchedulingEvent.ZONE_CLOSED
                if closed
                else events.SchedulingEvent.ZONE_OPENED
            )
            logs.emit(event, zone=self.zone)
        self.state.open = not self.drain.closed
        kept_services = self.drain.kept_services(
            self.state, configuration, self.peers.tables, now
        )
        stops = self.planner.plan_services(configuration, kept_services, now)
        stops += self.planner.plan_jobs(now)
        for command in stops:
            self.owner.stops.add(command, now)
        if not self.ready:
            self._start_up()
        return True

    def decide(self) -> None:
        """Publish state, place waiting tasks, and send the due operations."""
        now = self.clock.monotonic()
        self.announce(now)
        for command in self.drain.evictions(self.state, now):
            self.owner.stops.add(command, now)
        for host, batch in self.owner.sharing.decide(now).items():
            self._send(host, *batch)
        if self.owner.tenure.authority.remaining(now):
            self._place(now)
        for due in self.owner.stops.take_due(now):
            self._send(due.host, due.stop)

    def _send(self, host: ids.HostId, *operations: workers.Operation) -> None:
        boot = self.reports.last_events.get(host)
        if boot is not None:
            self.owner.links.send(host, operations, boot=boot[0])

    def announce(self, now: datetime.timedelta) -> None:
        """Publish the endpoint table, and the zone's status when it is due."""
        publish = self.owner.environment.publish
        publish(self.owner.announcer.table())
        if now >= self.status_due:
            self.status_due = now + STATUS_INTERVAL
            publish(self.owner.announcer.status(now))

    def send_starts(self) -> None:
        """Send the starts whose assignments the journal has stored."""
        now = self.clock.monotonic()
        authority = self.owner.tenure.authority
        # The configuration may have changed while the journal was written.
        configuration = self.owner.environment.configuration()
        allowed = self.zone in configuration.open_zones() and bool(
            authority.remaining(now)
        )
        starts = list(self.reports.pending_starts.values())
        self.reports.pending_starts.clear()
        batches: dict[ids.HostId, list[workers.Operation]] = {}
        for command in starts:
            if not allowed:
                logs.emit(
                    events.SchedulingEvent.START_WITHHELD, task=command.task
                )
                self.reports.end_attempt(command.task, command.attempt, None)
                continue
            if not self._current(command):
                # The attempt was stopped or ended while the journal was
                # written; its start was never sent.
                self.reports.end_attempt(command.task, command.attempt, None)
                continue
            self.reports.sent_starts[command.task] = (command.attempt, now)
            operation = self._start_operation(command)
            batches.setdefault(command.host, []).append(operation)
        for host, operations in batches.items():
            self.owner.links.send(
                host,
                tuple(operations),
                boot=self.reports.last_events[host][0],
                authority_end=authority.end,
            )

    def write_records(self) -> None:
        """Queue the due writes of job records, at most once a second."""
        now = self.clock.monotonic()
        if now < self.records_due or self.journal.pending:
            return
        self.records_due = now + RECORDS_INTERVAL
        entries = self.board.entries_to_forget()
        if self.drain.closed:
            entries += self.board.entries_to_move(
                configuration=self.configuration, busy=self._busy_jobs()
            )
        for entry in entries:
            self.journal.append(entry)
        writes = self.record_plan.due_writes(
            configuration=self.configuration,
            statuses=self.peers.statuses,
            now=self.clock.now(),
            failed=self.state.failed,
        )
        progress = self.record_plan.progress_write(now)
        if progress is not None:
            writes.append(progress)
        for write in writes:
            self.owner.writer.put(write)

    def note_written(self, result: records.Written) -> None:
        """Log the change that a written job record makes."""
        record = result.write.record
        if record is None:
            return
        job = record.spec.job
        if record.home != self.zone:
            logs.emit(
                events.SchedulingEvent.JOB_MOVED, job=job, home=record.home
            )
        elif record.state is jobs.JobState.COMPLETED:
            logs.emit(
                events.SchedulingEvent.JOB_COMPLETED,
                job=job,
                tasks=record.spec.tasks,
            )
        elif record.state is jobs.JobState.CANCELLED:
            logs.emit(events.SchedulingEvent.JOB_CANCELLED, job=job)
        elif record.state is jobs.JobState.FAILED:
            logs.emit(
                events.SchedulingEvent.JOB_FAILED,
                job=job,
                reason=record.detail,
            )

    def _journal_admits(self, task: ids.TaskId, started: int) -> bool:
        return self.journal.state.admits(task, started + self.unwritten_starts)

    def _start_up(self) -> None:
        self.ready = True
        self.owner.strays.find_orphans()
        self.owner.announcer.adopt_addresses(self.peers.tables.get(self.zone))
        for host in self.owner.links.by_host:
            self.owner.links.request_inventory(host)

    def _place(self, now: datetime.timedelta) -> None:
        limit = self.drain.start_limit(
            PLACEMENTS_PER_ROUND, len(self.state.usable), now
        )
        self.unwritten_starts = sum(
            isinstance(entry, journals.Assigned)
            for entry in self.journal.pending
        )
        result = decision_round.decide(self.state, now, limit)
        for entry in result.entries:
            self.journal.append(entry)
        for stop in result.stops:
            self.owner.stops.add(stop, now)
        for start in result.starts:
            self.reports.pending_starts[start.task] = start
        for placed in result.placements:
            logs.emit(events.SchedulingEvent.TASK_PLACED, **placed.fields())
        for preempted in result.preemptions:
            logs.emit(
                events.SchedulingEvent.ROOM_RESERVED, **preempted.fields()
            )
        for wait in result.waits:
            logs.emit(events.SchedulingEvent.TASKS_WAIT, **wait.fields())

    def _current(self, command: states.StartCommand) -> bool:
        """Tell whether a start is for the current attempt of its task."""
        task = self.state.tasks.get(command.task)
        return (
            task is not None
            and task.phase is states.Phase.ASSIGNED
            and task.attempt == command.attempt
            and task.host == command.host
        )

    def _start_operation(self, command: states.StartCommand) -> workers.Start:
        task = self.state.tasks[command.task]
        spec = task.spec
        return workers.Start(
            task=command.task,
            attempt=command.attempt,
            kind=spec.kind,
            resources=command.amount,
            # The link sets this when it sends the start, from the time that
            # the start authority then has left.
            not_after=datetime.timedelta(),
            run_time=spec.run_time,
            checkpoint=task.checkpoint,
            slots=spec.slots,
            connections=spec.connections,
        )

    def _busy_jobs(self) -> set[ids.JobId]:
        return {
            plan.job_of(name)
            for name, task in self.state.tasks.items()
            if task.host is not None
            and task.spec.kind is workers.TaskKind.BATCH
        }
