"""Tests of waiting for an event with a time limit."""

import asyncio
import datetime

from turmerichook._internal import clock as clocks

MS = datetime.timedelta(milliseconds=1)


class TestWaitEvent:
    """Waits of the system clock for an event."""

    def test_no_task_is_created(self):
        """Guards against a wait that creates tasks.

        The leader waits several times for each start order. A wait that
        raced the event with a timer would create two tasks each time.
        """

        async def scenario():
            clock = clocks.SystemClock()
            event = asyncio.Event()
            wait = asyncio.create_task(clock.wait_event(event, MS))
            await asyncio.sleep(0)
            tasks = asyncio.all_tasks()
            await wait
            return len(tasks)

        # The task of the scenario and the task that waits.
        assert asyncio.run(scenario()) == 2

    def test_outcome(self):
        """Guards against a wait that ends late or returns a wrong outcome.

        The first wait reaches its limit; in the second the event is set.
        """

        async def scenario():
            clock = clocks.SystemClock()
            event = asyncio.Event()
            before = await clock.wait_event(event, MS)
            asyncio.get_running_loop().call_later(0.001, event.set)
            after = await clock.wait_event(event, 60_000 * MS)
            return before, after

        assert asyncio.run(scenario()) == (False, True)

    def test_cancelled_waiter(self):
        """Guards against a cancellation that is handled as a time-out.

        The cancelled task would continue.
        """

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
