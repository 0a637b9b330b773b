"""Tests of what failed and cancelled calls tell of the store."""

import asyncio
import datetime

from turmerichook._internal import clock as clocks
from turmerichook._internal.metrics import registry
from turmerichook._internal.storage import observed
from turmerichook import exceptions


class SilentStorage:
    """A store whose calls fail, or get no answer at all."""

    def __init__(self):
        self.silent = False

    async def get(self, key):
        if self.silent:
            await asyncio.Event().wait()
        raise exceptions.StoreUnavailableError(message="no answer")


class TestCancelledCall:
    """Pattern: a call is given up, as another one has settled it."""

    def test_tells_nothing_of_the_store(self, monkeypatch):
        """Guards against a lost store that counts as reachable again.

        Copies of a commit and renewals that are under way are cancelled at
        the end of a term; callers then wait for a store that is away.
        """
        monkeypatch.setattr(observed, "LOST_AFTER", datetime.timedelta())

        async def scenario():
            inner = SilentStorage()
            storage = observed.ObservedStorage(
                storage=inner,
                metrics=registry.Registry(),
                clock=clocks.SystemClock(),
            )
            for _ in range(2):
                try:
                    await storage.get("a")
                except exceptions.StoreError:
                    pass
            before = storage.reachable
            inner.silent = True
            call = asyncio.create_task(storage.get("a"))
            await asyncio.sleep(0.01)
            call.cancel()
            await asyncio.gather(call, return_exceptions=True)
            return before, storage.reachable

        before, after = asyncio.run(scenario())
        assert not before
        assert not after
