"""Applies the reports of workers to the zone's tasks and the journal."""

import datetime

from turmerichook._internal import clock as clocks
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import ids
from turmerichook._internal.providers import hosts
from turmerichook._internal.providers import workers
from turmerichook._internal.scheduling import authority as authorities
from turmerichook._internal.scheduling import events
from turmerichook._internal.scheduling import journal as journals
from turmerichook._internal.scheduling import journal_store
from turmerichook._internal.scheduling import links
from turmerichook._internal.scheduling import plan
from turmerichook._internal.scheduling import sharing as sharing_module
from turmerichook._internal.scheduling import state as states
from turmerichook._internal.scheduling import strays as stray_module

# States after which a task is started again with a growing delay. Of finished
# tasks only replicas are started again, since they are meant to run until they
# are stopped.
ENDED_BY_ITSELF = (workers.TaskState.FAILED, workers.TaskState.FINISHED)


class WorkerReports:
    """Applies workers' answers, once the zone's wanted tasks are known."""

    def __init__(
        self,
        *,
        state: states.ZoneTasks,
        journal: journal_store.Journal,
        strays: stray_module.Strays,
        sharing: sharing_module.Sharing,
        clock: clocks.Clock,
    ):
        self.state = state
        self.journal = journal
        self.strays = strays
        self.sharing = sharing
        self.clock = clock
        # For each worker that answered, its boot id and the sequence number of
        # the last event that was applied.
        self.last_events: dict[ids.HostId, tuple[ids.BootId, int]] = {}
        # For each worker, the boot id and the last event to acknowledge when
        # the journal entries of its events are durable.
        self.acknowledgements: dict[ids.HostId, tuple[ids.BootId, int]] = {}
        # Starts to send when their journal entries are durable, and the
        # attempts and times of those that were sent. A sent start is kept as
        # long as its attempt is current, since an inventory that was requested
        # before the start may arrive late and not list the attempt.
        self.pending_starts: dict[ids.TaskId, states.StartCommand] = {}
        self.sent_starts: dict[
            ids.TaskId, tuple[ids.Attempt, datetime.timedelta]
        ]
        self.sent_starts = {}
        # Hosts whose inventory was applied. Other hosts may run attempts that
        # a former owner started, or with sizes that a former owner set, which
        # the ledger does not count.
        self.inventoried: set[ids.HostId] = set()
        # Hosts that refused a start, perhaps because they run an attempt of
        # which this owner does not know.
        self.start_refusals: set[ids.HostId] = set()

    def apply_answer(self, report: links.SyncAnswered) -> None:
        """Apply a worker's events, and its inventory if the answer has one."""
        host = report.host
        answer = report.answer
        boot, last = self.last_events.get(host, (answer.boot, 0))
        if boot != answer.boot:
            last = 0
            self.end_attempts_on(host)
        for event in answer.events:
            if event.sequence > last:
                self._apply_event(host, event)
                last = event.sequence
        self.last_events[host] = (answer.boot, last)
        self.acknowledgements[host] = (answer.boot, last)
        self.sharing.apply_answer(host, answer, self.clock.monotonic())
        if report.inventory:
            self.inventoried.add(host)
            self._apply_inventory(report)
        if host in self.inventoried:
            self._mark_usable(host)

    def mark_unreachable(self, host: ids.HostId) -> None:
        """Give a worker no new tasks until its next inventory."""
        self.inventoried.discard(host)
        if host in self.state.usable:
            self.state.usable.discard(host)
            logs.emit(events.SchedulingEvent.WORKER_UNREACHABLE, host=host)

    def end_attempts_on(self, host: ids.HostId) -> None:
        """Record that all attempts on a host have ended without a result."""
        names = self.state.on_host(host)
        if names:
            logs.emit(
                events.SchedulingEvent.WORKER_LOST, host=host, tasks=len(names)
            )
        for name in names:
            task = self.state.tasks.get(name)
            if task is not None and task.host == host:
                self.end_attempt(name, task.attempt, None)
            else:
                self.state.ledger.release(host, name)
        self.strays.apply_inventory(host, set())

    def end_attempt(
        self,
        name: ids.TaskId,
        attempt: ids.Attempt,
        checkpoint: ids.CheckpointId | None,
        *,
        failed: bool = False,
    ) -> None:
        """Record that an attempt has certainly ended without a result.

        :param failed: whether the task ended by itself, rather than by a stop
            or because its worker was lost.
        """
        if checkpoint and len(checkpoint) > journals.MAX_CHECKPOINT_BYTES:
            logs.emit(
                events.SchedulingEvent.CHECKPOINT_TOO_LONG,
                task=name,
                attempt=attempt,
            )
            checkpoint = None
        entries = self.state.returned(
            name,
            attempt,
            checkpoint=checkpoint,
            now=self.clock.monotonic(),
            failed=failed,
        )
        self._append(entries)
        if entries and name not in self.state.tasks:
            if not plan.is_batch(name):
                # The journal needs no entry for a replica that is no longer
                # wanted and has ended.
                self.journal.append(journals.Forgotten(task=name))
        if entries:
            self._forget_start(name, attempt)
            logs.emit(
                events.SchedulingEvent.TASK_RETURNED,
                task=name,
                attempt=attempt,
                checkpoint=checkpoint,
            )

    def hosts_with_uncertain_starts(
        self, now: datetime.timedelta
    ) -> set[ids.HostId]:
        """Return the hosts on which it is uncertain whether a start succeeded.

        Their inventories show whether the attempts run. Each refusal is
        returned only once.
        """
        uncertain = set(self.start_refusals)
        self.start_refusals.clear()
        for name, (attempt, sent) in list(self.sent_starts.items()):
            task = self.state.tasks.get(name)
            if task is None or task.attempt != attempt or task.host is None:
                del self.sent_starts[name]
            elif task.phase is not states.Phase.ASSIGNED:
                continue
            elif now - sent > authorities.START_EXPIRY:
                uncertain.add(task.host)
        return uncertain

    def _mark_usable(self, host: ids.HostId) -> None:
        entry = self.state.hosts.get(host)
        if entry is None or entry.state is not hosts.HostState.LIVE:
            return
        if host not in self.state.usable:
            self.state.usable.add(host)
            logs.emit(events.SchedulingEvent.WORKER_RETURNED, host=host)

    def _apply_event(self, host: ids.HostId, event: workers.TaskEvent) -> None:
        self.sharing.apply_event(event, self.clock.monotonic())
        match event.state:
            case workers.TaskState.RUNNING:
                if self.state.running(
                    event.task,
                    event.attempt,
                    event.address,
                    self.clock.monotonic(),
                ):
                    logs.emit(
                        events.SchedulingEvent.TASK_RUNNING,
                        task=event.task,
                        attempt=event.attempt,
                    )
            case workers.TaskState.FINISHED:
                self._apply_finished(host, event)
            case _:
                self._apply_ended(host, event)

    def _apply_finished(
        self, host: ids.HostId, event: workers.TaskEvent
    ) -> None:
        if not plan.is_batch(event.task):
            # A replica must not end by itself, so it is started again.
            self._apply_ended(host, event)
            return
        entries = self.state.ended(
            event.task,
            event.attempt,
            succeeded=True,
            now=self.clock.monotonic(),
        )
        self._append(entries)
        self.strays.note_ended(
            host, event.task, event.attempt, None, finished=True
        )

    def _apply_ended(self, host: ids.HostId, event: workers.TaskEvent) -> None:
        if event.state is workers.TaskState.REFUSED:
            self.start_refusals.add(host)
        self.end_attempt(
            event.task,
            event.attempt,
            event.checkpoint,
            failed=event.state in ENDED_BY_ITSELF,
        )
        self.strays.note_ended(
            host, event.task, event.attempt, event.checkpoint
        )

    def _apply_inventory(self, report: links.SyncAnswered) -> None:
        host = report.host
        running = {
            (running_task.task, running_task.attempt): running_task
            for running_task in report.answer.running
        }
        for name in self.state.on_host(host):
            task = self.state.tasks.get(name)
            if task is None or task.host != host:
                continue
            running_task = running.pop((name, task.attempt), None)
            if running_task is not None:
                self.state.running(
                    name,
                    running_task.attempt,
                    running_task.address,
                    self.clock.monotonic(),
                )
                self.sharing.apply_inventory(host, running_task)
            elif self._can_never_run(name, task, report.sent):
                self.end_attempt(name, task.attempt, None)
        self.strays.apply_inventory(host, set(running))
        for running_task in running.values():
            self.strays.stop_running(
                host, running_task, self.clock.monotonic()
            )

    def _can_never_run(
        self,
        name: ids.TaskId,
        task: states.Task,
        requested: datetime.timedelta,
    ) -> bool:
        """Tell whether an attempt missing from an inventory can never run.

        It has ended, or its start was lost or refused.

        :param requested: when the inventory was requested.

        The worker refuses starts of former owners once it has answered this
        owner. A start that this owner sent may still arrive until its
        ``not_after`` has passed. As inventories may arrive late, what counts
        is that the inventory was requested after that time.
        """
        if name in self.pending_starts:
            return False
        attempt, sent = self.sent_starts.get(name, (None, None))
        if attempt != task.attempt:
            return True
        return requested - sent > authorities.START_EXPIRY

    def _forget_start(self, name: ids.TaskId, attempt: ids.Attempt) -> None:
        command = self.pending_starts.get(name)
        if command is not None and command.attempt == attempt:
            del self.pending_starts[name]

    def _append(self, entries: list[journals.Entry]) -> None:
        for entry in entries:
            self.journal.append(entry)
