"""The owner of one zone, which decides where its tasks run.

Only one asyncio task changes the zone's state. Worker links, the feeds and the
record writer put messages into its inbox. In each round this task applies the
messages, makes decisions, commits them to the journal as one group, and only
then sends starts and acknowledges the workers' events.
"""

import asyncio
import collections.abc
import datetime
import random

from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import ids
from turmerichook._internal.providers import hosts
from turmerichook._internal.scheduling import announcements
from turmerichook._internal.scheduling import authority as authorities
from turmerichook._internal.scheduling import cancels
from turmerichook._internal.scheduling import environment as environments
from turmerichook._internal.scheduling import events
from turmerichook._internal.scheduling import feeds
from turmerichook._internal.scheduling import job_board
from turmerichook._internal.scheduling import journal
from turmerichook._internal.scheduling import journal_store
from turmerichook._internal.scheduling import lapses
from turmerichook._internal.scheduling import link_set
from turmerichook._internal.scheduling import links
from turmerichook._internal.scheduling import messages
from turmerichook._internal.scheduling import ownership
from turmerichook._internal.scheduling import record_writer
from turmerichook._internal.scheduling import records
from turmerichook._internal.scheduling import rounds
from turmerichook._internal.scheduling import sharing
from turmerichook._internal.scheduling import state as states
from turmerichook._internal.scheduling import stops
from turmerichook._internal.scheduling import strays
from turmerichook._internal.scheduling import unknown_hosts
from turmerichook._internal.scheduling import worker_reports
from turmerichook import exceptions

RETRY_DELAY = datetime.timedelta(seconds=1)


class Owner:
    """Schedules the tasks of one zone during one tenure.

    :param tenure: the ownership of the zone, with its epoch and authority.
    """

    def __init__(
        self,
        *,
        tenure: ownership.Tenure,
        environment: environments.Environment,
    ):
        self.tenure = tenure
        self.zone = tenure.zone
        self.epoch = tenure.epoch
        self.environment = environment
        self.clock = environment.clock
        self.inbox: asyncio.Queue = asyncio.Queue()
        self.journal = journal_store.Journal(
            zone=self.zone, epoch=self.epoch, store=environment.store
        )
        # The seed consists of zone and epoch, so that random choices can be
        # reproduced.
        self.state = states.ZoneTasks(
            zone=self.zone,
            generator=random.Random(f"{self.zone}/{self.epoch}"),
        )
        self.stops = stops.StopList(state=self.state)
        self.sharing = sharing.Sharing(state=self.state, stop_list=self.stops)
        self.strays = strays.Strays(
            state=self.state, journal=self.journal, stop_list=self.stops
        )
        self.reports = worker_reports.WorkerReports(
            state=self.state,
            journal=self.journal,
            strays=self.strays,
            sharing=self.sharing,
            clock=self.clock,
        )
        self.links = link_set.LinkSet(
            zone=self.zone,
            epoch=self.epoch,
            node=environment.node,
            pool=environment.pool,
            clock=self.clock,
            inbox=self.inbox,
        )
        self.unknown_hosts = unknown_hosts.UnknownHosts(
            epoch=self.epoch, since=self.clock.monotonic()
        )
        self.announcer = announcements.Announcer(
            zone=self.zone,
            epoch=self.epoch,
            node=environment.node,
            state=self.state,
        )
        self.feeds = feeds.Feeds(
            zone=self.zone,
            store=environment.store,
            host_list=environment.host_list,
            clock=self.clock,
            inbox=self.inbox,
        )
        self.writer = record_writer.RecordWriter(
            store=environment.store, clock=self.clock, inbox=self.inbox
        )
        # Whether the store has confirmed no renewal for so long that task
        # leases are no longer renewed.
        self.renewals_ended = False

    async def run(self) -> None:
        """Run until cancelled.

        The links continue to renew task leases until ``close`` is called.

        :raises StaleEpochError: if the zone has an owner of a higher epoch.
        :raises JournalUnreadableError: if the journal cannot be decoded.
        """
        await self._recover()
        self.board = job_board.JobBoard(
            zone=self.zone, facts=self.journal.state
        )
        self.cancellations = cancels.CancellationTracker(
            zone=self.zone,
            board=self.board,
            store=self.environment.store,
            clock=self.clock,
        )
        self.strays.unreadable_jobs = self.board.unreadable
        self.rounds = rounds.Rounds(owner=self)
        async with asyncio.TaskGroup() as group:
            group.create_task(self.feeds.run())
            group.create_task(self.writer.run())
            group.create_task(self._discard_obsolete())
            await self._run_rounds()

    def close(self) -> None:
        """Stop renewing the leases of the zone's tasks."""
        self.links.stop()

    def note_superseded(self, source: str) -> None:
        """End ``run`` because the zone has an owner of a higher epoch."""
        self.inbox.put_nowait(links.OwnerSuperseded(source=source))

    def note_release(
        self, message: messages.ZoneReleased, received: datetime.timedelta
    ) -> None:
        """Record a former owner's last lease renewals and checkpoints.

        :param received: when the message was received, on this process's
            clock.
        """
        self.unknown_hosts.note_release(
            ids.Epoch(message.epoch), message.ages, received
        )
        # The checkpoints change the zone's state, so they are applied between
        # rounds, from the inbox.
        self.inbox.put_nowait(message)

    def release_message(self) -> messages.ZoneReleased:
        """Return the message to later owners of the zone.

        To be called after ``close``, when no lease is renewed any more.
        """
        return messages.ZoneReleased(
            zone=self.zone,
            epoch=self.epoch,
            ages=self.links.renewal_ages(self.clock.monotonic()),
            checkpoints=self.journal.unwritten_checkpoints(),
        )

    async def _recover(self) -> None:
        while True:
            try:
                await self.journal.take_over()
                break
            except exceptions.StoreError:
                await self.clock.sleep(RETRY_DELAY)
        logs.emit(
            events.SchedulingEvent.RECOVERED,
            zone=self.zone,
            epoch=self.epoch,
            tasks=len(self.journal.state),
        )

    async def _run_rounds(self) -> None:
        while True:
            self._apply(await self.inbox.get())
            while not self.inbox.empty():
                self._apply(self.inbox.get_nowait())
            if self.rounds.prepare():
                self.rounds.decide()
                await self._commit()
                self.rounds.write_records()
            await self.clock.sleep(self.rounds.interval())

    async def _discard_obsolete(self) -> None:
        await self.journal.discard_orphans()
        while True:
            await self.journal.discard_unused()
            await self.cancellations.discard_expired(
                self.environment.configuration()
            )
            await self.clock.sleep(cancels.DISCARD_INTERVAL)

    def _apply(self, message: object) -> None:
        match message:
            case links.SyncAnswered():
                self._on_answer(message)
            case links.WorkerUnreachable():
                self.reports.mark_unreachable(message.host)
            case links.OwnerSuperseded():
                raise exceptions.StaleEpochError(
                    message=f"zone {self.zone} has an owner of a later epoch",
                    context=message.source,
                )
            case feeds.HostsChanged():
                self._on_hosts(message.listing)
            case feeds.JobsChanged():
                self.board.unreadable.update(message.unreadable)
                for job in message.removed:
                    self.board.apply_deletion(job)
                self.board.apply_records(
                    message.records, all_jobs=message.all_jobs
                )
            case feeds.CancelsChanged():
                self.cancellations.apply(message)
            case messages.ZoneReleased():
                for name, (attempt, checkpoint) in message.checkpoints.items():
                    self._append(
                        self.state.record_inherited_checkpoint(
                            name, attempt, checkpoint
                        )
                    )
            case records.Written():
                self._append(self.board.apply_written(message))
                self.rounds.note_written(message)
            case records.Superseded():
                self._append(self.board.apply_superseded(message))
            case feeds.Tick():
                self._on_tick()

    def _on_answer(self, report: links.SyncAnswered) -> None:
        if self.rounds.ready:
            self.reports.apply_answer(report)
            return
        # Before the wanted tasks are known, attempts in the report cannot be
        # matched to them. Nothing is lost: the worker repeats its events, and
        # its inventory is requested again.
        link = self.links.by_host.get(report.host)
        if link is not None:
            link.inventory_due = True

    def _on_hosts(self, listing: hosts.HostListing) -> None:
        now = self.clock.monotonic()
        self.state.set_hosts(listing.hosts)
        self.sharing.colocation.set_hosts(listing.hosts)
        self.unknown_hosts.note_listing(listing, now)
        listed = set()
        for host in listing.hosts:
            if host.state is not hosts.HostState.LIVE:
                self.state.usable.discard(host.host)
            if host.state is not hosts.HostState.GONE:
                self.links.open(host)
                listed.add(host.host)
        for name in list(self.links.by_host):
            if name not in listed and not self.state.on_host(name):
                self.links.close(name)

    def _on_tick(self) -> None:
        now = self.clock.monotonic()
        confirmed = self.tenure.authority.confirmed_sent
        if confirmed != datetime.timedelta.min:
            age = now - confirmed
            ended = age > authorities.UNCONFIRMED_RENEWAL_LIMIT
            self.links.set_renewing(not ended)
            if ended and not self.renewals_ended:
                logs.emit(
                    events.SchedulingEvent.RENEWALS_ENDED, zone=self.zone
                )
            self.renewals_ended = ended
        if not self.rounds.ready:
            return
        uncertain = self.reports.hosts_with_uncertain_starts(now)
        uncertain |= self.stops.hosts_with_repeated_stops()
        for host in uncertain:
            self.links.request_inventory(host)
        for host in lapses.hosts_in_use(self.state, self.strays):
            link = self.links.by_host.get(host)
            if lapses.tasks_certainly_ended(
                host, link, self.unknown_hosts, now
            ):
                self.reports.end_attempts_on(host)

    async def _commit(self) -> None:
        finished = [
            entry
            for entry in self.journal.pending
            if isinstance(entry, journal.Finished)
        ]
        try:
            await self.journal.commit()
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
        for host, (boot, last) in self.reports.acknowledgements.items():
            self.links.acknowledge(host, boot, last)
        self.reports.acknowledgements.clear()
        self.rounds.send_starts()
        await self.journal.fold()

    def _append(self, entries: collections.abc.Iterable) -> None:
        for entry in entries:
            self.journal.append(entry)
