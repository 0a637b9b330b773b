"""Pauses in long work, in which the other tasks of the event loop run."""

import asyncio
import datetime

from turmerichook._internal import clock as clocks

# Longest time for which pieces of work follow each other without a pause. The
# renewal of a lease needs a few turns of the event loop.
HOLD_MAX = 20 * clocks.MILLISECOND


class Pauses:
    """Lets other tasks run between two pieces of work, if it is time.

    A piece of work that takes longer than ``HOLD_MAX`` holds the event loop
    for all of its time.
    """

    def __init__(self, clock: clocks.Clock):
        self.clock = clock
        self.since = clock.monotonic()

    async def pause(self, now: datetime.timedelta) -> datetime.timedelta:
        """Pause if it is time; return the monotonic time afterwards.

        :param now: the monotonic time.
        """
        if now - self.since >= HOLD_MAX:
            await asyncio.sleep(0)
            now = self.since = self.clock.monotonic()
        return now


class TimeLimit:
    """Tells when a time has passed since it was asked for the first time."""

    def __init__(self, clock: clocks.Clock, limit: datetime.timedelta):
        self.clock = clock
        self.limit = limit
        self.since: datetime.timedelta | None = None

    def passed(self) -> bool:
        """Return whether the time has passed."""
        now = self.clock.monotonic()
        if self.since is None:
            self.since = now
        return now - self.since >= self.limit
