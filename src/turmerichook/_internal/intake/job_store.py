"""Jobs as callers see them, read from and written to the store."""

import collections.abc
import dataclasses
import datetime
import enum
import typing

from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import keys
from turmerichook._internal.intake import events
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import ids
from turmerichook._internal.storage import interface
from turmerichook._internal.workflow import model
from turmerichook._internal.workflow import stored
from turmerichook import exceptions

RETRY_PAUSE = datetime.timedelta(milliseconds=60)
# Final states that are kept, so that the store is not asked again.
FINAL_STATES_MAX = 2000

T = typing.TypeVar("T")


class Unsettled(enum.Enum):
    """Why a request has no result."""

    # Certainly nothing was written, now or later.
    NOT_STORED = "not-stored"
    # It may have been written, or may still be.
    OUTCOME_UNKNOWN = "outcome-unknown"
    # The store could not be read.
    NOT_READ = "not-read"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Stored:
    """The request is durable.

    :param repeated: whether it already was.
    """

    repeated: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NoSuchJob:
    """Nobody has submitted the job."""


class JobStore:
    """Submits and cancels jobs, and tells their states."""

    def __init__(self, *, storage: interface.Storage, clock: clocks.Clock):
        self.storage = storage
        self.clock = clock
        self.final: dict[ids.JobId, model.JobState] = {}

    async def submit(
        self, spec: model.JobSpec, until: datetime.timedelta
    ) -> Stored | Unsettled:
        """Store a job unless it is stored already.

        :param until: reading of the monotonic clock at which to give up.
        """
        commit = interface.Commit(
            expect={
                keys.job(spec.job): interface.ABSENT,
                keys.progress(spec.job): interface.ABSENT,
            },
            writes=(
                interface.Write(
                    key=keys.job(spec.job), value=stored.encode_spec(spec)
                ),
                # The job counts in its queue's length until it begins.
                interface.Write(
                    key=keys.waiting(spec.queue, spec.job), value=b""
                ),
            ),
        )
        outcome = await self._write(commit, until)
        if isinstance(outcome, Unsettled):
            return outcome
        return Stored(repeated=isinstance(outcome, interface.Conflict))

    async def cancel(
        self, job: ids.JobId, until: datetime.timedelta
    ) -> Stored | NoSuchJob | Unsettled:
        """Store a job's cancellation."""
        while True:
            found = await self._find(job, until)
            match found:
                case Unsettled() | NoSuchJob():
                    return found
                case model.JobState():
                    return Stored(repeated=True)
            key = keys.job(job)
            commit = interface.Commit(
                expect={key: found.revision},
                writes=(interface.Write(key=keys.cancel(job), value=b""),),
            )
            outcome = await self._write(commit, until)
            match outcome:
                case Unsettled():
                    return outcome
                case interface.Committed():
                    return Stored(repeated=False)
            # The job became final meanwhile, and has left the inbox.

    async def state(
        self, job: ids.JobId, until: datetime.timedelta
    ) -> model.JobState | NoSuchJob | Unsettled:
        """Return a job's state."""
        if job in self.final:
            return self.final[job]
        item = await self._read(keys.progress(job), until)
        if item is None:
            # Not begun, or not submitted; ``_find`` tells which.
            found = await self._find(job, until)
            if isinstance(found, interface.Item):
                return model.JobState.QUEUED
            return found
        if isinstance(item, Unsettled):
            return item
        return self._decode(job, item)

    async def _find(
        self, job: ids.JobId, until: datetime.timedelta
    ) -> interface.Item | model.JobState | NoSuchJob | Unsettled:
        """Return the job's item, or its state once it is final."""
        if job in self.final:
            return self.final[job]
        item = await self._read(keys.job(job), until)
        if item is not None:
            # Or that the store could not be read.
            return item
        # A job leaves the inbox when it becomes final.
        item = await self._read(keys.progress(job), until)
        match item:
            case Unsettled():
                return item
            case None:
                return NoSuchJob()
        return self._decode(job, item)

    def _decode(
        self, job: ids.JobId, item: interface.Item
    ) -> model.JobState | Unsettled:
        try:
            state = stored.decode_state(job, item.value)
        except exceptions.StoredValueError:
            return Unsettled.NOT_READ
        if state.final:
            while len(self.final) >= FINAL_STATES_MAX:
                del self.final[next(iter(self.final))]
            self.final[job] = state
        return state

    async def pending(
        self, queue: ids.QueueId, until: datetime.timedelta
    ) -> int | Unsettled:
        """Return the number of a queue's jobs that have not begun.

        It is read anew for each question, so that its age does not depend on
        a leader. Pages are not a snapshot, but no job that waits throughout
        is missed.
        """
        began = self.clock.monotonic()
        prefix = keys.waiting_prefix(queue)
        page = await self._page(prefix, "", until)
        revision = page.revision if isinstance(page, interface.Page) else 0
        count, pages = 0, 1
        while isinstance(page, interface.Page):
            count += len(page.items)
            if not page.more:
                break
            page = await self._page(prefix, page.items[-1].key, until)
            pages += 1
        read = self.clock.monotonic() - began
        if isinstance(page, Unsettled):
            logs.emit(
                events.IntakeEvent.QUEUE_LENGTH_UNANSWERED,
                queue=queue,
                reason=page.value,
                read_ms=read // clocks.MILLISECOND,
            )
            return page
        logs.emit(
            events.IntakeEvent.QUEUE_LENGTH_ANSWERED,
            queue=queue,
            length=count,
            revision=revision,
            pages=pages,
            read_ms=read // clocks.MILLISECOND,
        )
        return count

    async def _read(
        self, key: str, until: datetime.timedelta
    ) -> interface.Item | Unsettled | None:
        return await self._repeat(lambda: self.storage.get(key), until)

    async def _page(
        self, prefix: str, after: str, until: datetime.timedelta
    ) -> interface.Page | Unsettled:
        return await self._repeat(
            lambda: self.storage.page(prefix, after=after), until
        )

    async def _repeat(
        self,
        read: collections.abc.Callable[[], collections.abc.Awaitable[T]],
        until: datetime.timedelta,
    ) -> T | Unsettled:
        while True:
            try:
                return await read()
            except exceptions.TurmerichookError:
                # Counted by the observed storage; a read may be repeated.
                if self.clock.monotonic() + RETRY_PAUSE >= until:
                    return Unsettled.NOT_READ
                await self.clock.sleep(RETRY_PAUSE)

    async def _write(
        self, commit: interface.Commit, until: datetime.timedelta
    ) -> interface.Committed | interface.Conflict | Unsettled:
        """Apply a commit that may be repeated.

        A commit that was certainly not applied ends the attempt at once, so
        that the caller can go elsewhere. After one whose outcome is unknown
        only an answer tells what became of it.
        """
        unknown = False
        while True:
            try:
                return await self.storage.commit(commit)
            except exceptions.StoreOutcomeUnknownError:
                unknown = True
            except exceptions.StoreError:
                if not unknown:
                    return Unsettled.NOT_STORED
            if self.clock.monotonic() + RETRY_PAUSE >= until:
                return Unsettled.OUTCOME_UNKNOWN
            await self.clock.sleep(RETRY_PAUSE)
