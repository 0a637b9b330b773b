"""The owner of one zone: turns events into durable decisions.

One asyncio task owns the zone's state. Worker links, the job watch and the
host list refresh put messages into its inbox. In each round it applies the
messages, decides, commits one group to the journal, and only then sends
starts and acknowledges results.
"""

import asyncio
import collections.abc
import dataclasses
import datetime
import uuid

from turmerichook._internal import clock as clocks
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import ids
from turmerichook._internal.models import site
from turmerichook._internal.platform import hosts
from turmerichook._internal.platform import store as stores
from turmerichook._internal.platform import workers
from turmerichook._internal.scheduling import authority as authorities
from turmerichook._internal.scheduling import events
from turmerichook._internal.scheduling import jobs
from turmerichook._internal.scheduling import journal as journals
from turmerichook._internal.scheduling import links
from turmerichook._internal.scheduling import messages
from turmerichook._internal.scheduling import ownership
from turmerichook._internal.scheduling import plan
from turmerichook._internal.scheduling import sharing
from turmerichook._internal.scheduling import state as states
from turmerichook import exceptions

GROUP_INTERVAL = datetime.timedelta(milliseconds=200)
TICK = datetime.timedelta(seconds=1)
HOSTS_INTERVAL = datetime.timedelta(seconds=2)
JOBS_WAIT = datetime.timedelta(seconds=30)
RETRY_DELAY = datetime.timedelta(seconds=1)
PLACEMENTS_PER_ROUND = 1000
# A start whose fate is unknown this long after it was sent has been refused
# by its ``not_after``, unless the worker's inventory shows it.
START_FATE_KNOWN = authorities.START_AUTHORITY


@dataclasses.dataclass(frozen=True, kw_only=True)
class HostsChanged:
    """A new host list."""

    listing: hosts.HostListing


@dataclasses.dataclass(frozen=True, kw_only=True)
class JobsChanged:
    """Job records that were read from the store, with their versions."""

    records: tuple[tuple[jobs.JobRecord, ids.Version], ...]
    removed: tuple[ids.JobId, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Tick:
    """Time has passed."""


@dataclasses.dataclass(kw_only=True)
class JobEntry:
    """A job of this zone as last read."""

    record: jobs.JobRecord
    version: ids.Version


class Owner:
    """Runs one zone for one tenure."""

    def __init__(
        self,
        *,
        tenure: ownership.Tenure,
        node: ids.NodeId,
        store: stores.Store,
        pool: workers.WorkerPool,
        host_list: hosts.HostList,
        clock: clocks.Clock,
        configuration: collections.abc.Callable[[], site.Configuration],
        publish: collections.abc.Callable[[object], None],
    ):
        self.tenure = tenure
        self.zone = tenure.zone
        self.epoch = tenure.epoch
        self.node = node
        self.store = store
        self.pool = pool
        self.host_list = host_list
        self.clock = clock
        self.configuration = configuration
        self.publish = publish
        self.inbox: asyncio.Queue = asyncio.Queue()
        self.journal = journals.Journal(
            zone=self.zone, epoch=self.epoch, store=store
        )
        self.state = states.ZoneTasks()
        self.sharing = sharing.Sharing(state=self.state)
        self.links: dict[ids.HostId, links.WorkerLink] = {}
        self.link_tasks: dict[ids.HostId, asyncio.Task] = {}
        self.jobs: dict[ids.JobId, JobEntry] = {}
        self.jobs_known = False
        self.starts: list[states.StartCommand] = []
        # Events to acknowledge once the journal holds their entries.
        self.acknowledgements: list[tuple[ids.HostId, ids.BootId, int]] = []
        self.seen: dict[ids.HostId, tuple[ids.BootId, int]] = {}
        self.sequence = 0

    async def run(self) -> None:
        """Run until cancelled.

        :raises StaleEpochError: if a later owner exists.
        """
        await self._recover()
        async with asyncio.TaskGroup() as group:
            try:
                group.create_task(self._watch_jobs())
                group.create_task(self._watch_hosts())
                group.create_task(self._tick())
                await self._rounds()
            finally:
                for task in self.link_tasks.values():
                    task.cancel()

    async def _recover(self) -> None:
        while True:
            try:
                await self.journal.take_over()
                break
            except exceptions.StaleEpochError:
                raise
            except exceptions.StoreError:
                await self.clock.sleep(RETRY_DELAY)
        logs.emit(
            events.SchedulingEvent.RECOVERED,
            zone=self.zone,
            epoch=self.epoch,
            tasks=len(self.journal.facts),
        )

    async def _rounds(self) -> None:
        while True:
            self._apply(await self.inbox.get())
            while not self.inbox.empty():
                self._apply(self.inbox.get_nowait())
            self._plan()
            self._share()
            self._decide()
            await self._commit()
            await self._complete_jobs()
            self._publish()
            await self.clock.sleep(GROUP_INTERVAL)

    def _apply(self, message: object) -> None:
        match message:
            case links.Answered():
                self._on_answer(message)
            case links.Unreachable():
                self._on_unreachable(message)
            case links.Superseded():
                raise exceptions.StaleEpochError(
                    message=f"a worker of zone {self.zone} has a later owner",
                )
            case HostsChanged():
                self._on_hosts(message.listing)
            case JobsChanged():
                self._on_jobs(message)
            case Tick():
                pass

    # Messages from workers

    def _on_answer(self, report: links.Answered) -> None:
        host = report.host
        answer = report.answer
        known = self.state.hosts.get(host)
        if known is not None and known.state is hosts.HostState.LIVE:
            if host not in self.state.usable:
                self.state.usable.add(host)
                logs.emit(events.SchedulingEvent.WORKER_RETURNED, host=host)
        last = 0
        boot, sequence = self.seen.get(host, (answer.boot, 0))
        if boot == answer.boot:
            last = sequence
        else:
            self._on_restart(host)
        for event in answer.events:
            if event.sequence > last:
                self._on_event(event)
                last = event.sequence
        self.seen[host] = (answer.boot, last)
        self.acknowledgements.append((host, answer.boot, last))
        self.sharing.answered(host, answer, self.clock.monotonic())
        if report.inventory:
            self._on_inventory(host, answer)

    def _on_event(self, event: workers.TaskEvent) -> None:
        now = self.clock.monotonic()
        self.sharing.event(event, now)
        match event.state:
            case workers.TaskState.RUNNING:
                if self.state.running(
                    event.task, event.attempt, event.address
                ):
                    logs.emit(
                        events.SchedulingEvent.TASK_RUNNING,
                        task=event.task,
                        attempt=event.attempt,
                    )
            case workers.TaskState.FINISHED:
                self._journal(
                    self.state.ended(
                        event.task, event.attempt, succeeded=True, now=now
                    )
                )
            case workers.TaskState.FAILED:
                self._journal(
                    self.state.returned(
                        event.task, event.attempt, checkpoint=None, now=now
                    )
                )
            case workers.TaskState.STOPPED | workers.TaskState.REFUSED:
                self._return(event.task, event.attempt, event.checkpoint)

    def _on_inventory(
        self, host: ids.HostId, answer: workers.SyncAnswer
    ) -> None:
        running = {item.task: item for item in answer.running}
        now = self.clock.monotonic()
        for name in self.state.on_host(host):
            task = self.state.tasks.get(name)
            if task is None or task.host != host:
                continue
            item = running.get(name)
            if item is not None and item.attempt == task.attempt:
                self.state.running(name, item.attempt, item.address)
                self.sharing.inventory(host, item)
            elif now - task.since > START_FATE_KNOWN:
                self._return(name, task.attempt, None)

    def _on_restart(self, host: ids.HostId) -> None:
        for name in self.state.on_host(host):
            task = self.state.tasks.get(name)
            if task is not None and task.host == host:
                self._return(name, task.attempt, None)

    def _on_unreachable(self, report: links.Unreachable) -> None:
        host = report.host
        if host in self.state.usable:
            self.state.usable.discard(host)
            logs.emit(events.SchedulingEvent.WORKER_UNREACHABLE, host=host)
        if host not in self.seen:
            # The former owner may have renewed its leases until later than
            # anything this owner has sent.
            return
        age = self.clock.monotonic() - report.last_renewal
        if age > authorities.TASK_TTL_WITH_MARGIN:
            names = self.state.on_host(host)
            if names:
                logs.emit(
                    events.SchedulingEvent.WORKER_LOST,
                    host=host,
                    tasks=len(names),
                )
            self._on_restart(host)

    # Messages from the store and the platform

    def _on_hosts(self, listing: hosts.HostListing) -> None:
        self.state.set_hosts(listing.hosts)
        self.sharing.colocation.set_hosts(listing.hosts)
        for host in listing.hosts:
            if host.state is not hosts.HostState.LIVE:
                self.state.usable.discard(host.host)
            if host.host not in self.links:
                self._link(host)

    def _link(self, host: hosts.Host) -> None:
        link = links.WorkerLink(
            host=host,
            zone=self.zone,
            epoch=self.epoch,
            owner=self.node,
            pool=self.pool,
            clock=self.clock,
            inbox=self.inbox,
        )
        self.links[host.host] = link
        self.link_tasks[host.host] = asyncio.create_task(link.run())

    def _on_jobs(self, message: JobsChanged) -> None:
        self.jobs_known = True
        for record, version in message.records:
            job = record.spec.job
            if record.home == self.zone:
                self.jobs[job] = JobEntry(record=record, version=version)
            else:
                self.jobs.pop(job, None)
        for job in message.removed:
            self.jobs.pop(job, None)

    # Decisions

    def _plan(self) -> None:
        configuration = self.configuration()
        zone = configuration.zones.get(self.zone)
        self.state.weights = configuration.weights
        self.sharing.colocation.configure(configuration)
        self.state.open = (
            zone is not None
            and zone.state is site.ZoneState.IN
            and self.jobs_known
        )
        if not self.jobs_known or zone is None:
            return
        specs = plan.service_tasks(self.zone, configuration)
        for entry in self.jobs.values():
            if entry.record.state is jobs.JobState.ACCEPTED:
                specs += plan.job_tasks(entry.record.spec)
        commands = self.state.want(
            specs, self.journal.facts, self.clock.monotonic()
        )
        for command in commands:
            if isinstance(command, states.StopCommand):
                self._send(command.host, (command.stop,))

    def _share(self) -> None:
        operations = self.sharing.act(self.clock.monotonic())
        for host, batch in operations.items():
            self._send(host, tuple(batch))

    def _decide(self) -> None:
        now = self.clock.monotonic()
        if not self.tenure.authority.remaining(now):
            return
        entries, commands, refused = self.state.decide(
            now, PLACEMENTS_PER_ROUND
        )
        self._journal(entries)
        for command in commands:
            if isinstance(command, states.StartCommand):
                self.starts.append(command)
                logs.emit(
                    events.SchedulingEvent.TASK_PLACED,
                    task=command.task,
                    attempt=command.attempt,
                    host=command.host,
                )
        for absent in refused:
            logs.emit(
                events.SchedulingEvent.TASK_WAITS,
                task=absent.detail,
                reason=absent.reason.value,
            )

    def _journal(self, entries: list[journals.Entry]) -> None:
        for entry in entries:
            self.journal.append(entry)

    def _return(
        self,
        task: ids.TaskId,
        attempt: ids.Attempt,
        checkpoint: ids.CheckpointId | None,
    ) -> None:
        entries = self.state.returned(
            task, attempt, checkpoint=checkpoint, now=self.clock.monotonic()
        )
        self._journal(entries)
        if entries:
            logs.emit(
                events.SchedulingEvent.TASK_RETURNED,
                task=task,
                attempt=attempt,
                checkpoint=checkpoint,
            )

    # Effects

    async def _commit(self) -> None:
        finished = [
            entry
            for entry in self.journal.pending
            if isinstance(entry, journals.Finished)
        ]
        try:
            await self.journal.commit()
        except exceptions.StaleEpochError:
            raise
        except exceptions.StoreError as error:
            logs.emit(
                events.SchedulingEvent.JOURNAL_UNWRITTEN,
                zone=self.zone,
                error=error,
            )
            return
        for entry in finished:
            logs.emit(
                events.SchedulingEvent.TASK_FINISHED,
                task=entry.task,
                attempt=entry.attempt,
                succeeded=entry.succeeded,
            )
        for host, boot, sequence in self.acknowledgements:
            self.links[host].acknowledge(boot, sequence)
        self.acknowledgements.clear()
        self._send_starts()

    def _send_starts(self) -> None:
        now = self.clock.monotonic()
        left = self.tenure.authority.remaining(now)
        batches: dict[ids.HostId, list[workers.Operation]] = {}
        for command in self.starts:
            if not left or not self.state.open:
                logs.emit(
                    events.SchedulingEvent.START_WITHHELD, task=command.task
                )
                self._return(command.task, command.attempt, None)
                continue
            operation = self._start_operation(command, left)
            batches.setdefault(command.host, []).append(operation)
        self.starts.clear()
        for host, operations in batches.items():
            self._send(host, tuple(operations))

    def _start_operation(
        self, command: states.StartCommand, left: datetime.timedelta
    ) -> workers.Start:
        task = self.state.tasks[command.task]
        spec = task.spec
        return workers.Start(
            task=command.task,
            attempt=command.attempt,
            kind=spec.kind,
            resources=self.state.ledger.hosts[command.host].tasks[
                command.task
            ],
            not_after=self.links[command.host].reading_after(left),
            run_time=spec.run_time,
            checkpoint=task.checkpoint,
            slots=spec.slots,
            connections=spec.connections,
        )

    def _send(
        self, host: ids.HostId, operations: tuple[workers.Operation, ...]
    ) -> None:
        link = self.links.get(host)
        if link is not None:
            asyncio.create_task(link.sync(operations=operations))

    async def _complete_jobs(self) -> None:
        for job, entry in list(self.jobs.items()):
            if entry.record.state is not jobs.JobState.ACCEPTED:
                continue
            names = [t.task for t in plan.job_tasks(entry.record.spec)]
            facts = self.journal.facts
            if all(
                name in facts and facts[name].succeeded is not None
                for name in names
            ):
                await self._complete(job, entry, names)

    async def _complete(
        self, job: ids.JobId, entry: JobEntry, names: list[ids.TaskId]
    ) -> None:
        record = dataclasses.replace(
            entry.record,
            state=jobs.JobState.COMPLETED,
            operation=ids.OperationId(uuid.uuid4().hex),
        )
        try:
            version = await self.store.put(
                jobs.key_of(job), jobs.pack(record), expect=entry.version
            )
        except exceptions.StoreError:
            # The job watch brings the newest record; then it is tried again.
            return
        self.jobs[job] = JobEntry(record=record, version=version)
        for name in names:
            self.journal.append(journals.Forgotten(task=name))
        logs.emit(
            events.SchedulingEvent.JOB_COMPLETED, job=job, tasks=len(names)
        )

    def _publish(self) -> None:
        self.sequence += 1
        endpoints = []
        for name, task in self.state.tasks.items():
            if task.spec.kind is not workers.TaskKind.SERVICE:
                continue
            if task.address:
                endpoints.append(
                    [
                        plan.service_of(name),
                        name,
                        task.address,
                        task.spec.slots,
                        task.spec.connections,
                        task.phase is states.Phase.STOPPING,
                    ]
                )
        self.publish(
            messages.EndpointTable(
                zone=self.zone,
                epoch=self.epoch,
                sequence=self.sequence,
                endpoints=endpoints,
            )
        )

    # Side tasks

    async def _tick(self) -> None:
        while True:
            await self.clock.sleep(TICK)
            await self.inbox.put(Tick())

    async def _watch_hosts(self) -> None:
        while True:
            try:
                listing = await self.host_list.hosts(self.zone)
                await self.inbox.put(HostsChanged(listing=listing))
            except exceptions.HostListUnavailableError as error:
                logs.emit(
                    events.SchedulingEvent.HOSTS_UNREADABLE,
                    zone=self.zone,
                    error=error,
                )
            await self.clock.sleep(HOSTS_INTERVAL)

    async def _watch_jobs(self) -> None:
        while True:
            try:
                listing = await self.store.list(jobs.PREFIX)
                await self.inbox.put(_jobs_changed(listing.entries))
                after = listing.revision
                while True:
                    changes = await self.store.watch(
                        jobs.PREFIX, after=after, wait=JOBS_WAIT
                    )
                    if not changes.complete:
                        break
                    after = changes.revision
                    await self.inbox.put(_jobs_changed(changes.changes))
            except exceptions.TurmerichookError as error:
                logs.emit(
                    events.SchedulingEvent.JOBS_UNREADABLE,
                    zone=self.zone,
                    error=error,
                )
                await self.clock.sleep(RETRY_DELAY)


def _jobs_changed(
    changes: collections.abc.Iterable[stores.Entry | stores.Removed],
) -> JobsChanged:
    records = []
    removed = []
    for change in changes:
        match change:
            case stores.Entry():
                records.append((jobs.unpack(change.value), change.version))
            case stores.Removed():
                job = change.key.removeprefix(jobs.PREFIX)
                removed.append(ids.JobId(job))
    return JobsChanged(records=tuple(records), removed=tuple(removed))
