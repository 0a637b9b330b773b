"""Commits of the leader, one after the other.

Each commit names the leader's claim and the previous commit as conditions.
So a commit of a former leader fails, and one whose answer was lost can take
effect at most once and never after a later one.
"""

import datetime

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
        attempts = 0
        while True:
            attempts += 1
            try:
                outcome = await self.storage.commit(commit)
                break
            except exceptions.StoreError as error:
                if attempts == 1:
                    logs.emit(
                        events.DispatchEvent.COMMIT_RETRIED,
                        number=self.number,
                        error=str(error),
                    )
                await self.clock.sleep(RETRY_PAUSE)
        return self._settle(outcome, mark)

    def _settle(
        self,
        outcome: interface.Committed | interface.Conflict,
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
