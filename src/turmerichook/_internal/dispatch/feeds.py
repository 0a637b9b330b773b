"""The leader's input: stored progress, callers' inbox, worker registry.

The inbox holds accepted jobs and cancellations. Progress is read once, when
the leader recovers; the inbox and the registry are followed all the time.
"""

import asyncio
import collections.abc
import datetime
import typing

from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import commits
from turmerichook._internal.dispatch import dispatcher as dispatchers
from turmerichook._internal.dispatch import early_cancels
from turmerichook._internal.dispatch import events
from turmerichook._internal.dispatch import keys
from turmerichook._internal.dispatch import leadership
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal import pauses
from turmerichook._internal.storage import follower
from turmerichook._internal.storage import interface
from turmerichook._internal.workflow import progress as progresses
from turmerichook._internal.workflow import stored
from turmerichook import exceptions


# Number of registry reads that begin within the contact time. The entries are
# up to date as of the last but one request, and a call takes time.
REGISTRY_READS = 4


class RegistryFormat(typing.Protocol):
    """Location and format of the workers' registry entries."""

    prefix: str

    def decode(self, key: str, value: bytes) -> deployment.WorkerEntry:
        """Decode an entry.

        :raises MessageError: if the value is not a valid worker entry.
        """

    def worker(self, key: str) -> ids.WorkerId:
        """Return the worker to which the entry with this key belongs."""


class Feeds:
    """Keeps the dispatcher up to date with the store.

    :param changed: set when a change needs a round of the leader.
    :param on_worker: called for each worker whose entry was read.
    :param held: called with the key of each change and the time that its
        application took.
    :ivar early_cancels: cancellations of jobs that are not in the store;
        housekeeping removes them at the end of their retention.
    :ivar orphaned_cancels: keys of cancellations of final jobs, which
        housekeeping removes from the store.
    """

    def __init__(
        self,
        *,
        storage: interface.Storage,
        registry_format: RegistryFormat,
        dispatcher: dispatchers.Dispatcher,
        clock: clocks.Clock,
        changed: asyncio.Event,
        on_worker: collections.abc.Callable[[ids.WorkerId], None],
        held: follower.HeldCallback = lambda key, elapsed: None,
    ):
        self.storage = storage
        self.format = registry_format
        self.dispatcher = dispatcher
        self.clock = clock
        self.changed = changed
        self.on_worker = on_worker
        self.early_cancels = early_cancels.EarlyCancels(
            retention=dispatcher.timing.state_retention
        )
        self.orphaned_cancels: set[str] = set()
        # Stored progress by job; empty once the leader has recovered.
        self.progress: dict[ids.JobId, bytes] = {}
        self.inbox = follower.Follower(
            storage=storage,
            prefix=keys.INBOX_PREFIX,
            clock=clock,
            replace=self._replace_inbox,
            apply=self._apply_inbox,
            held=held,
        )
        self.registry = follower.Follower(
            storage=storage,
            prefix=registry_format.prefix,
            clock=clock,
            replace=self._replace_entries,
            apply=self._apply_entry,
            watch_timeout=min(
                follower.WATCH_TIMEOUT,
                dispatcher.timing.contact / REGISTRY_READS,
            ),
            confirm=self._confirm_registry,
            held=held,
        )

    async def recover(
        self,
        term: leadership.Term,
        *,
        jobs_read: collections.abc.Callable[[], None] = lambda: None,
    ) -> None:
        """Read the state that former leaders have stored.

        Must be called once former leaders cannot change this state any more.
        The registry is read last: until all jobs have been read, a worker's
        report cannot be interpreted and its ends must not be acknowledged.

        :param jobs_read: called before the registry is read, again if that
            has to be repeated.
        """
        while not term.ended.is_set():
            try:
                items, _ = await interface.read_all(
                    self.storage, keys.PROGRESS_PREFIX
                )
                self.progress = {
                    keys.job_id(item.key): item.value for item in items
                }
                await self.inbox.list()
                await self._recover_final()
                jobs_read()
                await self.registry.list()
                break
            except exceptions.StoreError as error:
                logs.emit(
                    events.DispatchEvent.RECOVERY_FAILED, error=str(error)
                )
                await self.clock.sleep(commits.RETRY_PAUSE)
        self.progress.clear()

    async def _recover_final(self) -> None:
        now = self.clock.uptime()
        between = pauses.Pauses(self.clock)
        jobs, final = self.dispatcher.jobs, self.dispatcher.final
        set_aside = self.dispatcher.run_tracker.set_aside
        for job_id, value in self.progress.items():
            await between.pause(self.clock.monotonic())
            if job_id in jobs or job_id in final or job_id in set_aside:
                continue
            try:
                remainder = stored.decode_unfinished_runs(job_id, value)
            except exceptions.StoredValueError as error:
                self._log_unreadable(job_id, error)
                continue
            self.dispatcher.add_final(job_id, remainder, now)

    def _replace_inbox(
        self, items: list[interface.Item]
    ) -> list[interface.Item]:
        # Cancellations first, so that no task of a job is placed in between.
        return [
            item
            for prefix in (keys.CANCEL_PREFIX, keys.JOB_PREFIX)
            for item in items
            if item.key.startswith(prefix)
        ]

    def _apply_inbox(self, change: interface.Item | interface.Removed) -> None:
        if isinstance(change, interface.Removed):
            return
        if change.key.startswith(keys.JOB_PREFIX):
            self._add_job(change)
        else:
            self._add_cancel(change)
        self.changed.set()

    def _add_job(self, item: interface.Item) -> None:
        job_id = keys.job_id(item.key)
        set_aside = self.dispatcher.run_tracker.set_aside
        if (
            job_id in self.dispatcher.jobs
            or job_id in self.dispatcher.final
            or job_id in set_aside
        ):
            return
        # Stays in the set if an error ends this method. A cancellation then
        # stays in the store for a later leader.
        set_aside.add(job_id)
        canceled = self.early_cancels.apply(job_id)
        try:
            spec = stored.decode_spec(job_id, item.value)
            value = self.progress.get(job_id)
            if value is None:
                progress = progresses.Progress(spec=spec)
            else:
                progress = stored.decode_progress(spec, value)
        except exceptions.StoredValueError as error:
            self._log_unreadable(job_id, error)
            return
        self.dispatcher.add_job(
            progress, now=self.clock.uptime(), wall=self.wall()
        )
        set_aside.discard(job_id)
        if canceled:
            logs.emit(events.DispatchEvent.EARLY_CANCEL_APPLIED, job=job_id)
            self.dispatcher.cancel(job_id, self.clock.uptime())

    def _add_cancel(self, item: interface.Item) -> None:
        job_id = keys.job_id(item.key)
        if job_id in self.dispatcher.jobs:
            self.dispatcher.cancel(job_id, self.clock.uptime())
        elif job_id in self.dispatcher.final:
            self.orphaned_cancels.add(item.key)
        elif job_id not in self.dispatcher.run_tracker.set_aside:
            self.early_cancels.note(job_id, self.clock.uptime())

    def _log_unreadable(
        self, job_id: ids.JobId, error: exceptions.TurmerichookError
    ) -> None:
        logs.emit(
            events.DispatchEvent.JOB_UNREADABLE, job=job_id, error=str(error)
        )

    def _replace_entries(
        self, items: list[interface.Item]
    ) -> list[interface.Item]:
        listed = {self.format.worker(item.key) for item in items}
        for worker in list(self.dispatcher.workers):
            if worker not in listed:
                self.dispatcher.remove_entry(worker)
        return items

    def _apply_entry(self, change: interface.Item | interface.Removed) -> None:
        worker_id = self.format.worker(change.key)
        if isinstance(change, interface.Removed):
            self.dispatcher.remove_entry(worker_id)
            self.changed.set()
            return
        try:
            entry = self.format.decode(change.key, change.value)
        except exceptions.MessageError as error:
            logs.emit(
                events.DispatchEvent.ENTRY_UNREADABLE,
                worker=worker_id,
                error=str(error),
            )
            self.dispatcher.remove_entry(worker_id)
            return
        self.dispatcher.set_entry(entry, self.clock.uptime())
        self.on_worker(worker_id)
        self.changed.set()

    def _confirm_registry(self, sent_at: datetime.timedelta) -> None:
        self.dispatcher.confirm_registry(sent_at)
        self.changed.set()

    def wall(self) -> datetime.timedelta:
        """Return the current Unix time."""
        return datetime.timedelta(seconds=self.clock.now().timestamp())
