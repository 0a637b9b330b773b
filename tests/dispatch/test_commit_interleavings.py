"""Commits over a network that delays, loses and reorders calls."""

import asyncio
import datetime
import random

import pytest

from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import commits
from turmerichook._internal.dispatch import keys
from turmerichook._internal.dispatch import leadership
from turmerichook._internal.models import ids
from turmerichook._internal.storage import interface
from turmerichook._internal.storage import memory
from turmerichook import exceptions

MS = datetime.timedelta(milliseconds=1)
COMMITS = 25


class Network(memory.MemoryStorage):
    """A store whose calls and answers take time and are lost.

    A call that its client has given up still arrives.

    :ivar effects: marks of the commits that took effect, in order.
    """

    def __init__(self, *, clock, seed):
        super().__init__(clock=clock)
        self.random = random.Random(seed)
        self.under_way = set()
        self.effects = []

    async def commit(self, commit):
        call = asyncio.create_task(self._arrive(commit))
        self.under_way.add(call)
        call.add_done_callback(self.under_way.discard)
        outcome = await asyncio.shield(call)
        await self._delay()
        if self.random.random() < 0.3:
            await asyncio.sleep(0.02)
            raise exceptions.StoreOutcomeUnknownError(message="no answer")
        return outcome

    async def _arrive(self, commit):
        await self._delay()
        if self.random.random() < 0.15:
            # Held up for longer than the client waits.
            await asyncio.sleep(0.03 * self.random.random())
        outcome = await super().commit(commit)
        if isinstance(outcome, interface.Committed):
            self.effects += [
                write.value
                for write in commit.writes
                if write.key == keys.SEQUENCE
            ]
        return outcome

    async def _delay(self):
        await asyncio.sleep(0.004 * self.random.random() ** 2)


class Leaders:
    """Successive terms over one store."""

    def __init__(self, seed):
        self.clock = clocks.SystemClock()
        self.storage = Network(clock=self.clock, seed=seed)
        # Commits that took effect before the last claim.
        self.claimed = 0

    async def claim(self):
        """Return the log of a new term."""
        lease = await self.storage.grant_lease(60_000 * MS)
        self.storage.put(keys.LEADER, str(lease).encode())
        self.claimed = len(self.storage.effects)
        term = leadership.Term(
            lease=lease,
            token=ids.FencingToken(self.storage.revision),
            confirmed_at=self.clock.uptime(),
            clock=self.clock,
        )
        log = commits.CommitLog(
            storage=self.storage, term=term, clock=self.clock
        )
        await log.open()
        return log

    async def write(self, log):
        """Write until the term ends; return the marks that are durable."""
        done = []
        while log.number < COMMITS:
            if not await log.write((), ()):
                break
            done.append(f"{log.term.token}:{log.number}".encode())
        return done


class TestCopies:
    """Copies of a commit that arrive late, in any order."""

    @pytest.mark.parametrize("seed", range(30))
    def test_take_effect_once_and_in_order(self, seed, monkeypatch):
        """Guards against a late copy that takes effect after its successor.

        A second leader claims the lease while commits of the first and their
        copies are under way.
        """
        monkeypatch.setattr(commits, "RESEND_DELAY_MIN", 3 * MS)
        monkeypatch.setattr(commits, "RETRY_PAUSE", 2 * MS)

        async def scenario():
            leaders = Leaders(seed)
            first = await leaders.claim()
            writing = asyncio.create_task(leaders.write(first))
            await asyncio.sleep(0.15 * leaders.storage.random.random())
            second = await leaders.claim()
            told = [*await writing, *await leaders.write(second)]
            await asyncio.gather(*leaders.storage.under_way)
            return (
                told,
                leaders.storage.effects,
                leaders.claimed,
                second.term.token,
            )

        told, effects, claimed, token = asyncio.run(scenario())
        assert len(set(effects)) == len(effects)
        # The last commit of the first leader may take effect and not be told.
        kept = [mark for mark in effects if mark in told]
        assert kept == told
        assert len(effects) - len(told) <= 1
        later = effects[claimed:]
        assert all(mark.startswith(b"%d:" % token) for mark in later)
