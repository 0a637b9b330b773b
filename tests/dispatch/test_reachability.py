"""Tests of the store's reachability after failed and cancelled calls."""

import asyncio
import datetime

from turmerichook._internal import clock as clocks
from turmerichook._internal.metrics import registry
from turmerichook._internal.storage import observed
from turmerichook import exceptions


class SilentStorage:
    """A store whose calls fail, or hang.

    :ivar silent: whether calls hang.
    """

    def __init__(self):
        self.silent = False

    async def get(self, key):
        if self.silent:
            await asyncio.Event().wait()
        raise exceptions.StoreUnavailableError(message="no answer")


class TestCancelledCall:
    """A call is cancelled by its caller before it is answered."""

    def test_does_not_change_reachability(self, monkeypatch):
        """Guards against an unreachable store that counts as reachable.

        Pending commits and renewals are cancelled at the end of a term. If
        that counted as an answer, callers would wait for a store that is
        unreachable.
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
