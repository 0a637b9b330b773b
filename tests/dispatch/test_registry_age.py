"""Tests of the age of the registry entries that the leader has read."""

import asyncio
import dataclasses
import datetime

import pytest

from tests.dispatch import fakes
from tests.dispatch import test_leader
from turmerichook._internal import clock as clocks
from turmerichook._internal.models import ids
from turmerichook._internal.storage import follower
from turmerichook._internal.storage import interface
from turmerichook._internal.storage import memory
from turmerichook import exceptions

SECOND = datetime.timedelta(seconds=1)
REVISION = ids.Revision(1)


class SlowStorage:
    """A store whose calls take a second each; the third watch fails."""

    def __init__(self, clock):
        self.clock = clock
        self.waits = []

    async def page(self, prefix, *, after=""):
        self.clock.advance(SECOND)
        return interface.Page(items=(), more=False, revision=REVISION)

    async def watch(self, prefix, *, after, wait):
        self.clock.advance(SECOND)
        self.waits.append(wait)
        if len(self.waits) == 3:
            raise exceptions.StoreUnavailableError(message="down")
        return interface.Changes(changes=(), revision=REVISION)


class EndOfTestError(Exception):
    """Ends a follower, which otherwise runs until it is cancelled."""


class TestConfirmation:
    """A follower tells at which time its items were still up to date."""

    def test_time_of_the_request_counts(self):
        """Guards against entries that are taken for newer than they are.

        A change may be made right after the store has sent its answer, and
        the answer may be late. A call that fails confirms nothing.
        """
        clock = clocks.ManualClock()
        began = clock.uptime()
        storage = SlowStorage(clock)
        confirmed = []

        async def sleep(delay):
            raise EndOfTestError

        clock.sleep = sleep
        feed = follower.Follower(
            storage=storage,
            prefix="servers/",
            clock=clock,
            replace=lambda items: (),
            apply=lambda change: None,
            watch_timeout=SECOND,
            confirm=confirmed.append,
        )
        with pytest.raises(EndOfTestError):
            asyncio.run(feed.run())
        assert confirmed == [began, began + SECOND, began + 2 * SECOND]
        assert storage.waits == [SECOND] * 3


class SplitStorage(memory.MemoryStorage):
    """A store that may refuse reads of the registry only.

    :ivar registry_down: whether reads of the registry are refused.
    """

    registry_down = False

    async def page(self, prefix, *, after=""):
        self._check(prefix)
        return await super().page(prefix, after=after)

    async def watch(self, prefix, *, after, wait):
        self._check(prefix)
        changes = await super().watch(prefix, after=after, wait=wait)
        self._check(prefix)
        return changes

    def _check(self, prefix):
        if self.registry_down and prefix == test_leader.Registry.prefix:
            raise exceptions.StoreUnavailableError(message="down")


class TestUnreadableRegistry:
    """A leader that can commit but cannot read the registry."""

    def test_starts_wait_for_the_registry(self, monkeypatch):
        """Guards against starts by entries from before the failure.

        A capacity may have shrunk since, and the worker does not enforce it.
        """
        timing = dataclasses.replace(fakes.TIMING, contact=300 * fakes.MS)
        monkeypatch.setattr(fakes, "TIMING", timing)

        async def scenario():
            site = test_leader.Site("a", storage=SplitStorage)
            service = dataclasses.replace(
                fakes.CONFIGURATION.services[0], guarded=False
            )
            site.configuration = dataclasses.replace(
                fakes.CONFIGURATION, services=(service,)
            )
            term, running = await site.lead()
            site.submit(fakes.job("0" * 16))
            starts = site.workers.workers["a"].starts
            await site.until(lambda: len(starts) == 1)
            site.storage.registry_down = True
            await asyncio.sleep(0.5)
            site.submit(fakes.job("1" * 16))
            await asyncio.sleep(0.5)
            started = len(starts)
            site.storage.registry_down = False
            await site.until(lambda: len(starts) == 2)
            term.end("end of test")
            await running
            return started

        assert asyncio.run(scenario()) == 1
