"""Tests of commits over a network that delays, loses and reorders calls."""

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
    """A store with random delays of calls and answers, and lost answers.

    A call that its client has cancelled still reaches the store.

    :ivar effects: values of the sequence key written by the commits that took
        effect, in order.
    """

    def __init__(self, *, clock, seed):
        super().__init__(clock=clock)
        self.random = random.Random(seed)
        self.calls_in_flight = set()
        self.effects = []

    async def commit(self, commit):
        call = asyncio.create_task(self._arrive(commit))
        self.calls_in_flight.add(call)
        call.add_done_callback(self.calls_in_flight.discard)
        outcome = await asyncio.shield(call)
        await self._delay()
        if self.random.random() < 0.3:
            await asyncio.sleep(0.02)
            raise exceptions.StoreOutcomeUnknownError(message="no answer")
        return outcome

    async def _arrive(self, commit):
        await self._delay()
        if self.random.random() < 0.15:
            # Delay the call for longer than the client waits.
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
    """Leaders of successive terms with one store."""

    def __init__(self, seed):
        self.clock = clocks.SystemClock()
        self.storage = Network(clock=self.clock, seed=seed)
        # Number of commits that took effect before the last claim.
        self.effects_before_claim = 0

    async def claim(self):
        """Begin a new term and return its commit log."""
        lease = await self.storage.grant_lease(60_000 * MS)
        self.storage.put(keys.LEADER, str(lease).encode())
        self.effects_before_claim = len(self.storage.effects)
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
        """Write until the term ends.

        Return the sequence values of the commits reported as durable.
        """
        durable = []
        while log.number < COMMITS:
            if not await log.write((), ()):
                break
            durable.append(f"{log.term.token}:{log.number}".encode())
        return durable


class TestCopies:
    """Repeated calls of a commit that reach the store late and reordered."""

    @pytest.mark.parametrize("seed", range(30))
    def test_take_effect_once_and_in_order(self, seed, monkeypatch):
        """Guards against a late call that takes effect after a later commit.

        A second leader claims the lease while commits of the first leader and
        their repeated calls are still on their way to the store.
        """
        monkeypatch.setattr(commits, "RESEND_DELAY_MIN", 3 * MS)
        monkeypatch.setattr(commits, "RETRY_PAUSE", 2 * MS)

        async def scenario():
            leaders = Leaders(seed)
            first = await leaders.claim()
            writing = asyncio.create_task(leaders.write(first))
            await asyncio.sleep(0.15 * leaders.storage.random.random())
            second = await leaders.claim()
            reported = [*await writing, *await leaders.write(second)]
            await asyncio.gather(*leaders.storage.calls_in_flight)
            return (
                reported,
                leaders.storage.effects,
                leaders.effects_before_claim,
                second.term.token,
            )

        reported, effects, effects_before_claim, token = asyncio.run(
            scenario()
        )
        assert len(set(effects)) == len(effects)
        # The last commit of the first leader may take effect without the
        # leader receiving its outcome.
        reported_effects = [value for value in effects if value in reported]
        assert reported_effects == reported
        assert len(effects) - len(reported) <= 1
        second_effects = effects[effects_before_claim:]
        assert all(
            value.startswith(b"%d:" % token) for value in second_effects
        )
