"""What workers report, applied to the zone's tasks and the journal."""

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

# States after which a task is tried again with a growing delay. Of finished
# tasks only replicas are, since they are meant to run until they are stopped.
ENDED_BY_ITSELF = (workers.TaskState.FAILED, workers.TaskState.FINISHED)


class WorkerReports:
    """Applies answers once the zone's wanted tasks are known."""

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
        # Boot id and highest applied event of each worker that answered.
        self.seen: dict[ids.HostId, tuple[ids.BootId, int]] = {}
        # Events to acknowledge once the journal holds their entries.
        self.acknowledgements: dict[ids.HostId, tuple[ids.BootId, int]] = {}
        # Starts that wait for the journal, and those that were sent. The
        # latter are kept as long as the attempt is, since an inventory that
        # was asked for before it may come late and not list it.
        self.starts: dict[ids.TaskId, states.StartCommand] = {}
        self.sent: dict[ids.TaskId, tuple[ids.Attempt, datetime.timedelta]]
        self.sent = {}
        # Hosts whose inventory is known. Others may run attempts, or sizes,
        # of a former owner that the ledger does not hold.
        self.listed: set[ids.HostId] = set()
        # Hosts that refused a start; they may run another attempt.
        self.refusing: set[ids.HostId] = set()

    def answered(self, report: links.Answered) -> None:
        """Apply a worker's answer."""
        host = report.host
        answer = report.answer
        boot, last = self.seen.get(host, (answer.boot, 0))
        if boot != answer.boot:
            last = 0
            self.return_host(host)
        for event in answer.events:
            if event.sequence > last:
                self._event(host, event)
                last = event.sequence
        self.seen[host] = (answer.boot, last)
        self.acknowledgements[host] = (answer.boot, last)
        self.sharing.answered(host, answer, self.clock.monotonic())
        if report.inventory:
            self.listed.add(host)
            self._inventory(report)
        if host in self.listed:
            self._usable(host)

    def unreachable(self, host: ids.HostId) -> None:
        """Give a worker no new tasks until it lists what it runs."""
        self.listed.discard(host)
        if host in self.state.usable:
            self.state.usable.discard(host)
            logs.emit(events.SchedulingEvent.WORKER_UNREACHABLE, host=host)

    def return_host(self, host: ids.HostId) -> None:
        """Note that nothing runs on a host any more."""
        names = self.state.on_host(host)
        if names:
            logs.emit(
                events.SchedulingEvent.WORKER_LOST, host=host, tasks=len(names)
            )
        for name in names:
            task = self.state.tasks.get(name)
            if task is not None and task.host == host:
                self.return_task(name, task.attempt, None)
            else:
                self.state.ledger.release(host, name)
        self.strays.listed(host, set())

    def return_task(
        self,
        name: ids.TaskId,
        attempt: ids.Attempt,
        checkpoint: ids.CheckpointId | None,
        *,
        failed: bool = False,
    ) -> None:
        """Note that an attempt has certainly ended without a result.

        :param failed: whether the task itself failed.
        """
        if checkpoint and len(checkpoint) > journals.CHECKPOINT_BYTES:
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
                # A replica that is no longer wanted leaves nothing behind.
                self.journal.append(journals.Forgotten(task=name))
        if entries:
            self._forget_start(name, attempt)
            logs.emit(
                events.SchedulingEvent.TASK_RETURNED,
                task=name,
                attempt=attempt,
                checkpoint=checkpoint,
            )

    def doubtful_hosts(self, now: datetime.timedelta) -> set[ids.HostId]:
        """Return the hosts whose inventory must show the fate of a start."""
        found = set(self.refusing)
        self.refusing.clear()
        for name, (attempt, sent) in list(self.sent.items()):
            task = self.state.tasks.get(name)
            if task is None or task.attempt != attempt or task.host is None:
                del self.sent[name]
            elif task.phase is not states.Phase.ASSIGNED:
                continue
            elif now - sent > authorities.START_FATE_KNOWN:
                found.add(task.host)
        return found

    def _usable(self, host: ids.HostId) -> None:
        known = self.state.hosts.get(host)
        if known is None or known.state is not hosts.HostState.LIVE:
            return
        if host not in self.state.usable:
            self.state.usable.add(host)
            logs.emit(events.SchedulingEvent.WORKER_RETURNED, host=host)

    def _event(self, host: ids.HostId, event: workers.TaskEvent) -> None:
        self.sharing.event(event, self.clock.monotonic())
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
                self._finished(host, event)
            case _:
                self._returned(host, event)

    def _finished(self, host: ids.HostId, event: workers.TaskEvent) -> None:
        if not plan.is_batch(event.task):
            # A replica that ended by itself is started again.
            self._returned(host, event)
            return
        entries = self.state.ended(
            event.task,
            event.attempt,
            succeeded=True,
            now=self.clock.monotonic(),
        )
        self._append(entries)
        self.strays.ended(host, event.task, event.attempt, None, finished=True)

    def _returned(self, host: ids.HostId, event: workers.TaskEvent) -> None:
        if event.state is workers.TaskState.REFUSED:
            self.refusing.add(host)
        self.return_task(
            event.task,
            event.attempt,
            event.checkpoint,
            failed=event.state in ENDED_BY_ITSELF,
        )
        self.strays.ended(host, event.task, event.attempt, event.checkpoint)

    def _inventory(self, report: links.Answered) -> None:
        host = report.host
        running = {
            (item.task, item.attempt): item for item in report.answer.running
        }
        for name in self.state.on_host(host):
            task = self.state.tasks.get(name)
            if task is None or task.host != host:
                continue
            item = running.pop((name, task.attempt), None)
            if item is not None:
                self.state.running(
                    name, item.attempt, item.address, self.clock.monotonic()
                )
                self.sharing.inventory(host, item)
            elif self._never_ran(name, task, report.sent):
                self.return_task(name, task.attempt, None)
        self.strays.listed(host, set(running))
        for item in running.values():
            self.strays.running(host, item, self.clock.monotonic())

    def _never_ran(
        self,
        name: ids.TaskId,
        task: states.Task,
        asked: datetime.timedelta,
    ) -> bool:
        """Tell whether an attempt missing from an inventory cannot run.

        A start of a former owner is refused by the worker once it has
        answered this owner. This owner's start may still be on its way
        until ``not_after`` has passed, so the inventory must have been
        asked for later than that; an inventory may also arrive late.
        """
        if name in self.starts:
            return False
        attempt, sent = self.sent.get(name, (None, None))
        if attempt != task.attempt:
            return True
        return asked - sent > authorities.START_FATE_KNOWN

    def _forget_start(self, name: ids.TaskId, attempt: ids.Attempt) -> None:
        command = self.starts.get(name)
        if command is not None and command.attempt == attempt:
            del self.starts[name]

    def _append(self, entries: list[journals.Entry]) -> None:
        for entry in entries:
            self.journal.append(entry)
