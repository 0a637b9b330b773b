"""Commits of the leader, one after the other.

Each commit names the leader's claim and the previous commit as conditions.
So a commit of a former leader fails, and one whose answer was lost can take
effect at most once and never after a later one.
"""

import asyncio
import datetime
import typing

from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import events
from turmerichook._internal.dispatch import keys
from turmerichook._internal.dispatch import leadership
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import ids
from turmerichook._internal.storage import interface
from turmerichook import exceptions

# Two conditions and the sequence key itself.
OVERHEAD_ENTRIES = 3
# Entries that one commit may carry besides.
ROOM = interface.COMMIT_ENTRIES - OVERHEAD_ENTRIES
# Refused calls are charged too.
RETRY_PAUSE = datetime.timedelta(milliseconds=150)
# A commit is sent again beside the first call when that takes this much longer
# than usual. A lost answer shows only after the store's time-out of 1 s, in
# which all other commits wait.
PATIENCE_FACTOR = 4
# Above what the network and a busy process add to a call now and then.
PATIENCE_MIN = datetime.timedelta(milliseconds=100)
# Calls at once; two are often not enough where a third of answers is lost.
CALLS_MAX = 4
# Calls over which the usual time is taken.
USUAL_CALLS = 8

Outcome = interface.Committed | interface.Conflict


class Pending(typing.NamedTuple):
    """No call has settled the commit so far.

    :param failed: whether a call has ended without an answer.
    """

    error: str
    failed: bool


class CommitLog:
    """Writes of one term."""

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
        # Time that a call with an answer has taken lately.
        self.usual = datetime.timedelta()

    async def open(self) -> None:
        """Read where the previous leader's commits ended."""
        item = await self.storage.get(keys.SEQUENCE)
        self.sequence = item.revision if item else interface.ABSENT

    async def write(
        self,
        writes: tuple[interface.Write, ...],
        removals: tuple[str, ...],
    ) -> bool:
        """Make changes durable; tell whether they are.

        False means that there is a later leader and that this commit has
        not taken effect and never will.
        """
        self.number += 1
        mark = f"{self.term.token}:{self.number}".encode()
        commit = interface.Commit(
            expect={
                keys.LEADER: ids.Revision(self.term.token),
                keys.SEQUENCE: self.sequence,
            },
            writes=(interface.Write(key=keys.SEQUENCE, value=mark), *writes),
            removals=removals,
        )
        return self._settle(await self._send(commit), mark)

    async def _send(self, commit: interface.Commit) -> Outcome:
        """Send a commit until an answer settles it.

        A call without an answer is repeated beside the first one, since
        any of them settles the commit and only one can take effect.
        """
        calls: dict[asyncio.Task[Outcome], datetime.timedelta] = {}
        repeated = False
        try:
            while True:
                call = asyncio.create_task(self.storage.commit(commit))
                calls[call] = self.clock.monotonic()
                limit = self._patience() if len(calls) < CALLS_MAX else None
                answer = await self._first(calls, limit)
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
                    answer = await self._first(calls, RETRY_PAUSE)
                    if not isinstance(answer, Pending):
                        return answer
                elif answer.failed:
                    await self.clock.sleep(RETRY_PAUSE)
        finally:
            for call in calls:
                call.cancel()

    async def _first(
        self,
        calls: dict[asyncio.Task[Outcome], datetime.timedelta],
        limit: datetime.timedelta | None,
    ) -> Outcome | Pending:
        """Wait for the first answer, and forget calls that have failed."""
        done, _ = await asyncio.wait(
            calls,
            timeout=None if limit is None else limit.total_seconds(),
            return_when=asyncio.FIRST_COMPLETED,
        )
        error = "no answer yet"
        for call in done:
            began = calls.pop(call)
            try:
                answer = call.result()
            except exceptions.StoreError as failure:
                error = str(failure)
                continue
            elapsed = self.clock.monotonic() - began
            self.usual += (elapsed - self.usual) / USUAL_CALLS
            return answer
        return Pending(error=error, failed=bool(done))

    def _patience(self) -> datetime.timedelta:
        return max(PATIENCE_MIN, self.usual * PATIENCE_FACTOR)

    def _settle(
        self,
        outcome: Outcome,
        mark: bytes,
    ) -> bool:
        match outcome:
            case interface.Committed(revision=revision):
                self.sequence = revision
                return True
            case interface.Conflict(items=items):
                last = items.get(keys.SEQUENCE)
                if last is not None and last.value == mark:
                    # An earlier attempt took effect without an answer.
                    self.sequence = last.revision
                    return True
        logs.emit(
            events.DispatchEvent.STALE_LEADER,
            number=self.number,
            epoch=self.term.token,
        )
        self.term.end("superseded")
        return False
