"""Side tasks that feed an owner's inbox from the store and the host list."""

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

TICK = datetime.timedelta(seconds=1)
HOSTS_INTERVAL = datetime.timedelta(seconds=2)
WATCH_WAIT = datetime.timedelta(seconds=30)
# Changes come in groups, so that a burst of 50 job records a second costs
# five calls a second and not fifty.
WATCH_PAUSE = datetime.timedelta(milliseconds=200)
RETRY_DELAY = datetime.timedelta(seconds=1)
# Entries of one page. 14,000 records of a day in one answer would exceed the
# limit on bodies and the memory that a daemon may hold.
PAGE = 500


@dataclasses.dataclass(frozen=True, kw_only=True)
class HostsChanged:
    """A new host list."""

    listing: hosts.HostListing


@dataclasses.dataclass(frozen=True, kw_only=True)
class JobsChanged:
    """Job records that were read from the store, with their versions.

    :param all_jobs: whether these are all records of the zone.
    :param unreadable: jobs whose records are not understood.
    """

    records: tuple[tuple[jobs.JobRecord, ids.Version], ...]
    removed: tuple[ids.JobId, ...] = ()
    all_jobs: bool = False
    unreadable: tuple[ids.JobId, ...] = ()

    def plus(self, other: "JobsChanged") -> "JobsChanged":
        """Return this page with the next one."""
        return dataclasses.replace(
            self,
            records=self.records + other.records,
            unreadable=self.unreadable + other.unreadable,
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class CancelsChanged:
    """Cancellations by the keys that hold them.

    :param all_cancels: whether these are all cancellations.
    """

    found: dict[str, tuple[jobs.Cancellation, ids.Version]]
    removed: tuple[str, ...] = ()
    all_cancels: bool = False

    def plus(self, other: "CancelsChanged") -> "CancelsChanged":
        """Return this page with the next one."""
        return dataclasses.replace(self, found={**self.found, **other.found})


@dataclasses.dataclass(frozen=True, kw_only=True)
class Tick:
    """Time has passed."""


Changes = collections.abc.Iterable[stores.Entry | stores.Removed]
Make = collections.abc.Callable[..., JobsChanged | CancelsChanged]


class Feeds:
    """Reads what the owner of one zone has to know."""

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
        """Feed the inbox until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._tick())
            group.create_task(self._read_hosts())
            group.create_task(self._follow(jobs.PREFIX, self._jobs_changed))
            group.create_task(
                self._follow(jobs.CANCEL_PREFIX, self._cancels_changed)
            )

    async def _tick(self) -> None:
        while True:
            await self.clock.sleep(TICK)
            await self.inbox.put(Tick())

    async def _read_hosts(self) -> None:
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

    async def _follow(self, prefix: str, make: Make) -> None:
        """List a prefix, then watch it; list again where changes are lost."""
        while True:
            try:
                after = await self._list(prefix, make)
                while True:
                    changes = await self.store.watch(
                        prefix, after=after, wait=WATCH_WAIT
                    )
                    if not changes.complete:
                        break
                    after = changes.revision
                    if changes.changes:
                        message = make(changes.changes, complete=False)
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

    async def _list(self, prefix: str, make: Make) -> ids.Revision:
        """Read all entries and return the revision from which to watch.

        Pages may be of different revisions. Watching from the first page's
        revision brings every change since then again.
        """
        page = await self.store.list(prefix, limit=PAGE)
        after = page.revision
        message = make(page.entries, complete=True)
        while len(page.entries) == PAGE:
            page = await self.store.list(
                prefix, limit=PAGE, start=page.entries[-1].key
            )
            message = message.plus(make(page.entries, complete=True))
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
                    record = _understood(jobs.unpack, change)
                    if record is None:
                        unreadable.append(_job_of(change.key))
                        continue
                    if not complete or record.home == self.zone:
                        records.append((record, change.version))
                case stores.Removed():
                    removed.append(_job_of(change.key))
        return JobsChanged(
            records=tuple(records),
            removed=tuple(removed),
            all_jobs=complete,
            unreadable=tuple(unreadable),
        )

    def _cancels_changed(
        self, changes: Changes, *, complete: bool
    ) -> CancelsChanged:
        found = {}
        removed = []
        for change in changes:
            match change:
                case stores.Entry():
                    record = _understood(jobs.unpack_cancellation, change)
                    if record is not None:
                        found[change.key] = (record, change.version)
                case stores.Removed():
                    removed.append(change.key)
        return CancelsChanged(
            found=found, removed=tuple(removed), all_cancels=complete
        )


def _job_of(key: str) -> ids.JobId:
    return ids.JobId(key.removeprefix(jobs.PREFIX))


def _understood(unpack: collections.abc.Callable, entry: stores.Entry):
    """Return an unpacked value; None if it is not understood."""
    try:
        return unpack(entry.value)
    except exceptions.MessageError as error:
        # One record of a newer version must not hide all the others.
        logs.emit(
            events.SchedulingEvent.RECORD_UNREADABLE,
            key=entry.key,
            error=error,
        )
        return None
