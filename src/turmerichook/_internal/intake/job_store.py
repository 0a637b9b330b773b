"""Reads and writes of jobs in the store on behalf of callers."""

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
from turmerichook._internal import token_bucket
from turmerichook._internal.workflow import model
from turmerichook._internal.workflow import progress as progresses
from turmerichook._internal.workflow import stored
from turmerichook import exceptions

RETRY_PAUSE = datetime.timedelta(milliseconds=60)
# Largest number of final states in the cache of ``JobStore``. A final state
# never changes, so a cached one is returned without a read of the store.
FINAL_STATES_MAX = 2000

# Rate and burst of stored cancellations of jobs that do not exist. All entry
# processes share the few hundred writes that the store allows each second, and
# these cancellations stay in the store for minutes.
EARLY_CANCELS_PER_S = 5.0
EARLY_CANCELS_BURST = 10.0

ReadResult = typing.TypeVar("ReadResult")


class NoResultReason(enum.Enum):
    """Reason why the outcome of a request is missing."""

    # The write has not taken effect and certainly never will.
    NOT_STORED = "not-stored"
    # The write may have taken effect, or may still take effect later.
    OUTCOME_UNKNOWN = "outcome-unknown"
    # The store could not be read.
    NOT_READ = "not-read"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Stored:
    """The submission or cancellation is durable.

    :param repeated: whether it was durable before this request.
    """

    repeated: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NoSuchJob:
    """The store has no job of this id.

    The job was never submitted, its submission has not taken effect yet, or
    its state has been removed after the retention time.
    """


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TooManyUnknownJobs:
    """The cancellation of a job that does not exist was not stored.

    :param retry_after: time after which it can be stored.
    """

    retry_after: datetime.timedelta


class JobStore:
    """Submits and cancels jobs, and reads jobs' states and queues' lengths.

    :ivar final_states: cache of the states of jobs that are final.
    :ivar failures: reasons of the failed jobs in this cache.
    """

    def __init__(self, *, storage: interface.Storage, clock: clocks.Clock):
        self.storage = storage
        self.clock = clock
        self.final_states: dict[ids.JobId, model.JobState] = {}
        self.failures: dict[ids.JobId, progresses.FailureReason] = {}
        self.early_cancels = token_bucket.TokenBucket(
            tokens=EARLY_CANCELS_BURST,
            updated_at=clock.monotonic().total_seconds(),
        )

    async def submit(
        self, spec: model.JobSpec, deadline: datetime.timedelta
    ) -> Stored | NoResultReason:
        """Store a job unless a job of this id is stored already.

        :param deadline: reading of the monotonic clock at which to give up.
        """
        commit = interface.Commit(
            expect=_no_such_job(spec.job),
            writes=(
                interface.Write(
                    key=keys.job(spec.job), value=stored.encode_spec(spec)
                ),
                # Counts the job in its queue's length. The leader removes the
                # item once the job has begun.
                interface.Write(
                    key=keys.waiting(spec.queue, spec.job), value=b""
                ),
            ),
        )
        outcome = await self._commit_with_retries(commit, deadline)
        if isinstance(outcome, NoResultReason):
            return outcome
        return Stored(repeated=isinstance(outcome, interface.Conflict))

    async def cancel(
        self, job: ids.JobId, deadline: datetime.timedelta
    ) -> Stored | NoSuchJob | TooManyUnknownJobs | NoResultReason:
        """Store a cancellation of a job unless the job is final.

        The cancellation of a job that does not exist is stored as well: a
        submission of the job may still be under way, and may be carried out
        after this call has returned ``NoSuchJob``.

        :param deadline: reading of the monotonic clock at which to give up.
        """
        while True:
            lookup = await self._find_job(job, deadline)
            match lookup:
                case NoResultReason():
                    return lookup
                case model.JobState():
                    return Stored(repeated=True)
                case interface.Item(revision=revision):
                    result = Stored(repeated=False)
                    expect = {keys.job(job): revision}
                case NoSuchJob():
                    wait = self._take_early_cancel()
                    if wait:
                        return TooManyUnknownJobs(retry_after=wait)
                    result = lookup
                    expect = _no_such_job(job)
            commit = interface.Commit(
                expect=expect,
                writes=(interface.Write(key=keys.cancel(job), value=b""),),
            )
            outcome = await self._commit_with_retries(commit, deadline)
            match outcome:
                case NoResultReason():
                    return outcome
                case interface.Committed():
                    return result
            # Conflict: after the lookup the job was stored, or became final,
            # so that its item was removed from the inbox.

    def _take_early_cancel(self) -> datetime.timedelta:
        """Return how long the cancellation of an unknown job has to wait."""
        return datetime.timedelta(
            seconds=self.early_cancels.take(
                rate=EARLY_CANCELS_PER_S,
                burst=EARLY_CANCELS_BURST,
                now=self.clock.monotonic().total_seconds(),
            )
        )

    async def state(
        self, job: ids.JobId, deadline: datetime.timedelta
    ) -> model.JobState | NoSuchJob | NoResultReason:
        """Return a job's state.

        :param deadline: reading of the monotonic clock at which to give up.
        """
        if job in self.final_states:
            return self.final_states[job]
        item = await self._read_item(keys.progress(job), deadline)
        if item is None:
            # No progress is stored: the job is queued or does not exist.
            lookup = await self._find_job(job, deadline)
            if isinstance(lookup, interface.Item):
                return model.JobState.QUEUED
            return lookup
        if isinstance(item, NoResultReason):
            return item
        return self._decode_state(job, item)

    def failure_reason(
        self, job: ids.JobId
    ) -> progresses.FailureReason | None:
        """Return why a job failed whose state has just been read.

        None if the job has not failed.
        """
        return self.failures.get(job)

    async def _find_job(
        self, job: ids.JobId, deadline: datetime.timedelta
    ) -> interface.Item | model.JobState | NoSuchJob | NoResultReason:
        """Return a job's item in the inbox, or the state of a final job."""
        if job in self.final_states:
            return self.final_states[job]
        item = await self._read_item(keys.job(job), deadline)
        if item is not None:
            # The job's item, or the reason why the store could not be read.
            return item
        # A job's item is removed from the inbox when the job becomes final,
        # while its progress stays.
        item = await self._read_item(keys.progress(job), deadline)
        match item:
            case NoResultReason():
                return item
            case None:
                return NoSuchJob()
        return self._decode_state(job, item)

    def _decode_state(
        self, job: ids.JobId, item: interface.Item
    ) -> model.JobState | NoResultReason:
        try:
            state = stored.decode_state(job, item.value)
            failure = stored.decode_failure(job, item.value)
        except exceptions.StoredValueError:
            return NoResultReason.NOT_READ
        if state.final:
            while len(self.final_states) >= FINAL_STATES_MAX:
                oldest = next(iter(self.final_states))
                del self.final_states[oldest]
                self.failures.pop(oldest, None)
            self.final_states[job] = state
            if failure is not None:
                self.failures[job] = failure
        return state

    async def waiting_jobs_count(
        self, queue: ids.QueueId, deadline: datetime.timedelta
    ) -> int | NoResultReason:
        """Return the number of a queue's jobs that have not begun.

        The jobs are counted in the store for each request, so that the age of
        the result does not depend on a leader. The pages are not a snapshot:
        a job that begins or is accepted during the count may or may not be
        included, but no job that waits during the whole count is missed.

        :param deadline: reading of the monotonic clock at which to give up.
        """
        started = self.clock.monotonic()
        prefix = keys.waiting_prefix(queue)
        page = await self._read_page(prefix, "", deadline)
        revision = page.revision if isinstance(page, interface.Page) else 0
        count, pages = 0, 1
        while isinstance(page, interface.Page):
            count += len(page.items)
            if not page.more:
                break
            page = await self._read_page(prefix, page.items[-1].key, deadline)
            pages += 1
        elapsed = self.clock.monotonic() - started
        if isinstance(page, NoResultReason):
            logs.emit(
                events.IntakeEvent.QUEUE_LENGTH_UNANSWERED,
                queue=queue,
                reason=page.value,
                read_ms=elapsed // clocks.MILLISECOND,
            )
            return page
        logs.emit(
            events.IntakeEvent.QUEUE_LENGTH_ANSWERED,
            queue=queue,
            length=count,
            revision=revision,
            pages=pages,
            read_ms=elapsed // clocks.MILLISECOND,
        )
        return count

    async def _read_item(
        self, key: str, deadline: datetime.timedelta
    ) -> interface.Item | NoResultReason | None:
        return await self._read_with_retries(
            lambda: self.storage.get(key), deadline
        )

    async def _read_page(
        self, prefix: str, after: str, deadline: datetime.timedelta
    ) -> interface.Page | NoResultReason:
        return await self._read_with_retries(
            lambda: self.storage.page(prefix, after=after), deadline
        )

    async def _read_with_retries(
        self,
        read: collections.abc.Callable[
            [], collections.abc.Awaitable[ReadResult]
        ],
        deadline: datetime.timedelta,
    ) -> ReadResult | NoResultReason:
        while True:
            try:
                return await read()
            except exceptions.TurmerichookError:
                # A read has no effect, so it can be repeated. The failure is
                # counted by ``ObservedStorage``.
                if self.clock.monotonic() + RETRY_PAUSE >= deadline:
                    return NoResultReason.NOT_READ
                await self.clock.sleep(RETRY_PAUSE)

    async def _commit_with_retries(
        self, commit: interface.Commit, deadline: datetime.timedelta
    ) -> interface.Committed | interface.Conflict | NoResultReason:
        """Apply a commit, repeating it while its outcome is unknown.

        The commit must be safe to repeat. If the store certainly did not
        apply it, this method returns at once, so that the caller can turn to
        another entry process. Once the outcome of an attempt is unknown,
        only an answer to a later attempt can show whether the commit was
        applied; a later failure cannot.
        """
        outcome_unknown = False
        while True:
            try:
                return await self.storage.commit(commit)
            except exceptions.StoreOutcomeUnknownError:
                outcome_unknown = True
            except exceptions.StoreError:
                if not outcome_unknown:
                    return NoResultReason.NOT_STORED
            if self.clock.monotonic() + RETRY_PAUSE >= deadline:
                return NoResultReason.OUTCOME_UNKNOWN
            await self.clock.sleep(RETRY_PAUSE)


def _no_such_job(job: ids.JobId) -> dict[str, ids.Revision]:
    """Return the conditions of a commit that the store has no such job."""
    return {
        keys.job(job): interface.ABSENT,
        keys.progress(job): interface.ABSENT,
    }
