"""Background tasks that send an owner updates of jobs, hosts and time.

They read the store and the host list, and put messages into the inbox of the
owner.
"""

import asyncio
import collections.abc
import dataclasses
import datetime

from turmerichook._internal import clock as clocks
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import ids
from turmerichook._internal.providers import hosts
from turmerichook._internal.providers import store as stores
from turmerichook._internal.scheduling import events
from turmerichook._internal.scheduling import jobs
from turmerichook import exceptions

TICK_INTERVAL = datetime.timedelta(seconds=1)
HOSTS_INTERVAL = datetime.timedelta(seconds=2)
WATCH_WAIT = datetime.timedelta(seconds=30)
# Pause between two watch calls. Changes that arrive in the pause are returned
# together, so 50 changed job records a second cost five calls a second rather
# than fifty.
WATCH_PAUSE = datetime.timedelta(milliseconds=200)
RETRY_DELAY = datetime.timedelta(seconds=1)
# Maximum number of entries in one answer of the store. A day's 14,000 job
# records in one answer would exceed the size limit of response bodies and the
# memory limit of a daemon.
PAGE_SIZE = 500


@dataclasses.dataclass(frozen=True, kw_only=True)
class HostsChanged:
    """The host list was read again; it may be unchanged."""

    listing: hosts.HostListing


@dataclasses.dataclass(frozen=True, kw_only=True)
class JobsChanged:
    """Job records that were read from the store, with their versions.

    :param removed: jobs whose records were deleted from the store.
    :param all_jobs: whether ``records`` holds all records of the zone, rather
        than only those that changed.
    :param unreadable: jobs whose records cannot be decoded.
    """

    records: tuple[tuple[jobs.JobRecord, ids.Version], ...]
    removed: tuple[ids.JobId, ...] = ()
    all_jobs: bool = False
    unreadable: tuple[ids.JobId, ...] = ()

    def extended_by(self, other: "JobsChanged") -> "JobsChanged":
        """Return this page of records followed by the next page."""
        return dataclasses.replace(
            self,
            records=self.records + other.records,
            unreadable=self.unreadable + other.unreadable,
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class CancelsChanged:
    """Cancellations that were read from the store, by their keys.

    :param removed: keys that were deleted from the store.
    :param all_cancels: whether ``cancellations`` holds all cancellations in
        the store, rather than only those that changed.
    """

    cancellations: dict[str, tuple[jobs.Cancellation, ids.Version]]
    removed: tuple[str, ...] = ()
    all_cancels: bool = False

    def extended_by(self, other: "CancelsChanged") -> "CancelsChanged":
        """Return this page of cancellations merged with the next page."""
        return dataclasses.replace(
            self, cancellations={**self.cancellations, **other.cancellations}
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Tick:
    """Sent every TICK_INTERVAL, so that the owner checks its time limits."""


Changes = collections.abc.Iterable[stores.Entry | stores.Removed]
MessageFactory = collections.abc.Callable[..., JobsChanged | CancelsChanged]


class Feeds:
    """Sends hosts, jobs, cancellations and ticks to one zone's owner."""

    def __init__(
        self,
        *,
        zone: ids.ZoneId,
        store: stores.Store,
        host_list: hosts.HostList,
        clock: clocks.Clock,
        inbox: asyncio.Queue,
    ):
        self.zone = zone
        self.store = store
        self.host_list = host_list
        self.clock = clock
        self.inbox = inbox

    async def run(self) -> None:
        """Put messages into the inbox until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._send_ticks())
            group.create_task(self._poll_hosts())
            group.create_task(
                self._watch_prefix(jobs.PREFIX, self._jobs_changed)
            )
            group.create_task(
                self._watch_prefix(jobs.CANCEL_PREFIX, self._cancels_changed)
            )

    async def _send_ticks(self) -> None:
        while True:
            await self.clock.sleep(TICK_INTERVAL)
            await self.inbox.put(Tick())

    async def _poll_hosts(self) -> None:
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

    async def _watch_prefix(
        self, prefix: str, make_message: MessageFactory
    ) -> None:
        """Send all entries below a prefix, and then their changes.

        The prefix is listed again when the store can no longer return all
        changes since the last revision that was read.
        """
        while True:
            try:
                after = await self._list(prefix, make_message)
                while True:
                    changes = await self.store.watch(
                        prefix, after=after, wait=WATCH_WAIT
                    )
                    if not changes.complete:
                        break
                    after = changes.revision
                    if changes.changes:
                        message = make_message(changes.changes, complete=False)
                        await self.inbox.put(message)
                        await self.clock.sleep(WATCH_PAUSE)
            except exceptions.TurmerichookError as error:
                logs.emit(
                    events.SchedulingEvent.JOBS_UNREADABLE,
                    zone=self.zone,
                    prefix=prefix,
                    error=error,
                )
                await self.clock.sleep(RETRY_DELAY)

    async def _list(
        self, prefix: str, make_message: MessageFactory
    ) -> ids.Revision:
        """Read all entries and return the revision from which to watch.

        The store may change between two pages. Watching starts at the
        revision of the first page, so that each change since then is
        returned, including changes that a later page already shows.
        """
        page = await self.store.list(prefix, limit=PAGE_SIZE)
        after = page.revision
        message = make_message(page.entries, complete=True)
        while len(page.entries) == PAGE_SIZE:
            page = await self.store.list(
                prefix, limit=PAGE_SIZE, start=page.entries[-1].key
            )
            message = message.extended_by(
                make_message(page.entries, complete=True)
            )
        await self.inbox.put(message)
        return after

    def _jobs_changed(
        self, changes: Changes, *, complete: bool
    ) -> JobsChanged:
        records = []
        removed = []
        unreadable = []
        for change in changes:
            match change:
                case stores.Entry():
                    record = _unpack_entry(jobs.unpack, change)
                    if record is None:
                        unreadable.append(_job_id(change.key))
                        continue
                    if not complete or record.home == self.zone:
                        records.append((record, change.version))
                case stores.Removed():
                    removed.append(_job_id(change.key))
        return JobsChanged(
            records=tuple(records),
            removed=tuple(removed),
            all_jobs=complete,
            unreadable=tuple(unreadable),
        )

    def _cancels_changed(
        self, changes: Changes, *, complete: bool
    ) -> CancelsChanged:
        cancellations = {}
        removed = []
        for change in changes:
            match change:
                case stores.Entry():
                    record = _unpack_entry(jobs.unpack_cancellation, change)
                    if record is not None:
                        cancellations[change.key] = (record, change.version)
                case stores.Removed():
                    removed.append(change.key)
        return CancelsChanged(
            cancellations=cancellations,
            removed=tuple(removed),
            all_cancels=complete,
        )


def _job_id(key: str) -> ids.JobId:
    return ids.JobId(key.removeprefix(jobs.PREFIX))


def _unpack_entry(unpack: collections.abc.Callable, entry: stores.Entry):
    """Return the decoded value of an entry, None if it is malformed."""
    try:
        return unpack(entry.value)
    except exceptions.MessageError as error:
        # A record that a newer version wrote must not prevent the others from
        # being read.
        logs.emit(
            events.SchedulingEvent.RECORD_UNREADABLE,
            key=entry.key,
            error=error,
        )
        return None
