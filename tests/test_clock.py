"""Tests of waiting with a time limit."""

import asyncio
import datetime

from turmerichook._internal import clock as clocks

MS = datetime.timedelta(milliseconds=1)


class TestWaitEvent:
    """The system's clock waits for an event at little cost."""

    def test_no_task_is_made(self):
        """Guards against two tasks for each wait of the leader."""

        async def scenario():
            clock = clocks.SystemClock()
            event = asyncio.Event()
            wait = asyncio.create_task(clock.wait_event(event, MS))
            await asyncio.sleep(0)
            tasks = asyncio.all_tasks()
            await wait
            return len(tasks)

        # The scenario's task and the one that waits.
        assert asyncio.run(scenario()) == 2

    def test_outcome(self):
        """Guards against a wait that ends late, or tells the wrong reason."""

        async def scenario():
            clock = clocks.SystemClock()
            event = asyncio.Event()
            before = await clock.wait_event(event, MS)
            asyncio.get_running_loop().call_later(0.001, event.set)
            after = await clock.wait_event(event, 60_000 * MS)
            return before, after

        assert asyncio.run(scenario()) == (False, True)

    def test_cancelled_waiter(self):
        """Guards against a cancelled task that goes on as if time was up."""

        async def scenario():
            clock = clocks.SystemClock()
            wait = asyncio.create_task(
                clock.wait_event(asyncio.Event(), 60_000 * MS)
            )
            await asyncio.sleep(0)
            wait.cancel()
            await asyncio.wait((wait,))
            return wait.cancelled()

        assert asyncio.run(scenario())
