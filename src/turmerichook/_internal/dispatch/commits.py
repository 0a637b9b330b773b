"""Sequential commits of the leader.

Each commit is conditional on the leader's claim and on the previous commit.
So a commit of a former leader fails. A commit whose answer was lost takes
effect at most once, and never after a later commit.
"""

import asyncio
import datetime
import typing

from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import events
from turmerichook._internal.dispatch import keys
from turmerichook._internal.dispatch import leadership
from turmerichook._internal.dispatch import sequence_value
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import ids
from turmerichook._internal.storage import interface
from turmerichook import exceptions

# Entries of each commit for its two conditions and the write of the sequence
# key.
CONDITION_ENTRIES = 3
# Entries of each commit for changes.
CHANGE_ENTRIES_MAX = interface.COMMIT_ENTRIES - CONDITION_ENTRIES
# Pause before a call that follows a failed one. The store charges for refused
# calls too.
RETRY_PAUSE = datetime.timedelta(milliseconds=150)
# A commit is sent again, in parallel with the first call, once that has taken
# this multiple of the average call time. A lost answer is only detected by the
# call time-out of 1 s, during which all other commits have to wait.
RESEND_DELAY_FACTOR = 4
# Shortest delay before a commit is sent again; longer than the usual delays by
# the network or a busy process.
RESEND_DELAY_MIN = datetime.timedelta(milliseconds=100)
# Parallel calls of one commit. Two are often not enough when a third of the
# answers is lost.
PARALLEL_CALLS_MAX = 4
# Weight of the average call time: a new call counts for one in this many.
AVERAGE_CALLS = 8

Outcome = interface.Committed | interface.Conflict


class Pending(typing.NamedTuple):
    """No call of a commit has returned an outcome so far.

    :param error: error of a call that has failed, or that calls are pending.
    :param failed: whether a call has ended without an outcome.
    """

    error: str
    failed: bool


class CommitLog:
    """Writes the commits of one term."""

    def __init__(
        self,
        *,
        storage: interface.Storage,
        term: leadership.Term,
        clock: clocks.Clock,
    ):
        self.storage = storage
        self.term = term
        self.clock = clock
        self.sequence = interface.ABSENT
        self.number = 0
        # Value of the sequence key when the log was opened; None if there has
        # been no commit.
        self.previous_value: bytes | None = None
        # The list of silent workers that this value refers to.
        self.previous_silent: interface.Item | None = None
        # Moving average of the duration of calls with an outcome.
        self.average_call_time = datetime.timedelta()

    async def open(self) -> None:
        """Read the value and revision of the previous leader's commit."""
        item = await self.storage.get(keys.SEQUENCE)
        if item is not None and sequence_value.decode(item.value).silent:
            self.previous_silent = await self.storage.get(keys.SILENT_WORKERS)
        self.previous_value = item.value if item else None
        self.sequence = item.revision if item else interface.ABSENT

    @property
    def next_id(self) -> str:
        """Id of the next commit."""
        return sequence_value.commit_id(self.term.token, self.number + 1)

    async def write(
        self,
        writes: tuple[interface.Write, ...],
        removals: tuple[str, ...],
        lease_notes: sequence_value.LeaseNotes = sequence_value.LeaseNotes(),
    ) -> bool:
        """Commit changes; return True once they are durable.

        False means that there is a later leader and that this commit has
        not taken effect and will not take effect later.

        :param lease_notes: what the next leader has to know of leases.
        """
        value = sequence_value.encode(self.next_id, lease_notes)
        self.number += 1
        commit = interface.Commit(
            expect={
                keys.LEADER: ids.Revision(self.term.token),
                keys.SEQUENCE: self.sequence,
            },
            writes=(
                interface.Write(key=keys.SEQUENCE, value=value),
                *writes,
            ),
            removals=removals,
        )
        return self._apply_outcome(await self._send(commit), value)

    async def _send(self, commit: interface.Commit) -> Outcome:
        """Send a commit until a call returns its outcome.

        While a call is not answered, the commit is sent again in parallel.
        Any of the calls may return the outcome, and only one of them can take
        effect.
        """
        calls: dict[asyncio.Task[Outcome], datetime.timedelta] = {}
        repeated = False
        try:
            while True:
                call = asyncio.create_task(self.storage.commit(commit))
                calls[call] = self.clock.monotonic()
                limit = (
                    self._resend_delay()
                    if len(calls) < PARALLEL_CALLS_MAX
                    else None
                )
                answer = await self._first_outcome(calls, limit)
                if not isinstance(answer, Pending):
                    return answer
                if not repeated:
                    repeated = True
                    logs.emit(
                        events.DispatchEvent.COMMIT_RETRIED,
                        number=self.number,
                        error=answer.error,
                    )
                if answer.failed and calls:
                    answer = await self._first_outcome(calls, RETRY_PAUSE)
                    if not isinstance(answer, Pending):
                        return answer
                elif answer.failed:
                    await self.clock.sleep(RETRY_PAUSE)
        finally:
            for call in calls:
                call.cancel()

    async def _first_outcome(
        self,
        calls: dict[asyncio.Task[Outcome], datetime.timedelta],
        limit: datetime.timedelta | None,
    ) -> Outcome | Pending:
        """Wait for the first outcome; drop the calls that have failed."""
        done, _ = await asyncio.wait(
            calls,
            timeout=None if limit is None else limit.total_seconds(),
            return_when=asyncio.FIRST_COMPLETED,
        )
        error = "no answer from the store yet"
        for call in done:
            began = calls.pop(call)
            try:
                answer = call.result()
            except exceptions.StoreError as failure:
                error = str(failure)
                continue
            elapsed = self.clock.monotonic() - began
            self.average_call_time += (
                elapsed - self.average_call_time
            ) / AVERAGE_CALLS
            return answer
        return Pending(error=error, failed=bool(done))

    def _resend_delay(self) -> datetime.timedelta:
        return max(
            RESEND_DELAY_MIN, self.average_call_time * RESEND_DELAY_FACTOR
        )

    def _apply_outcome(
        self,
        outcome: Outcome,
        value: bytes,
    ) -> bool:
        match outcome:
            case interface.Committed(revision=revision):
                self.sequence = revision
                return True
            case interface.Conflict(items=items):
                sequence_item = items.get(keys.SEQUENCE)
                if sequence_item is not None and sequence_item.value == value:
                    # An earlier call took effect, but its answer was lost.
                    self.sequence = sequence_item.revision
                    return True
        logs.emit(
            events.DispatchEvent.STALE_LEADER,
            number=self.number,
            epoch=self.term.token,
        )
        self.term.end("superseded")
        return False
